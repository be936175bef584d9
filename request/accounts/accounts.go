// Package accounts authenticates client accounts by their keys. It also limits
// how many calls each account has in flight at one entry instance.
package accounts

import (
	"crypto/subtle"
	"strings"
	"sync"

	"github.com/go-faster/errors"

	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/version/confstore"
	"github.com/rattanway/rattanway/version/declare"
)

// bearerScheme is the authentication scheme before a client's key in the
// Authorization header, with the space that follows.
const bearerScheme = "Bearer "

// Errors of [Controller.Admit] and [Controller.Authenticate].
var (
	// ErrUnauthorized is returned if no client account has the given key.
	ErrUnauthorized = errors.New("no client account has this key")
	// ErrTooManyInFlight is returned if the client account already has as many calls
	// in flight as its MaxInFlight allows.
	ErrTooManyInFlight = errors.New("the client account has too many calls in flight")
	// ErrFairShare is returned if capacity is short and the client account already
	// has its fair share of the calls in flight.
	ErrFairShare = errors.New("capacity is short and the client account has its share")
)

// Controller counts the calls in flight of each client account at one entry
// instance and decides whether further calls are admitted. It is safe for
// concurrent use.
type Controller struct {
	holder *confstore.Holder

	mu sync.Mutex
	// inFlight holds the number of calls in flight by account name; accounts without
	// calls in flight are not in it. totalInFlight is the sum of these numbers.
	inFlight      map[string]int
	totalInFlight int
}

// New returns a [Controller] for the client accounts in holder's current
// configuration.
func New(holder *confstore.Holder) *Controller {
	return &Controller{holder: holder, inFlight: map[string]int{}}
}

// Authenticate returns the client account whose key is in authorization, the
// value of an Authorization header. If no account has this key, or the header
// holds no key, the error is [ErrUnauthorized].
func (c *Controller) Authenticate(authorization string) (*declare.ClientAccount, error) {
	key, ok := strings.CutPrefix(authorization, bearerScheme)
	if !ok || key == "" {
		return nil, ErrUnauthorized
	}
	keyHash := []byte(core.DigestOf([]byte(key)))
	var found *declare.ClientAccount
	for _, a := range c.holder.Current().Set.ClientAccounts {
		if subtle.ConstantTimeCompare(keyHash, []byte(a.KeyHash)) == 1 {
			found = a
		}
	}
	if found == nil {
		return nil, ErrUnauthorized
	}
	return found, nil
}

// Share returns the declared share of an account, but at least 1. Scarce capacity
// is divided among the accounts in proportion to their shares.
func Share(a *declare.ClientAccount) int { return max(1, a.Share) }

// Admission is the result of admitting one call.
type Admission struct {
	// WithinFairShare is true if the call is within the fair share of the account
	// and other accounts also have calls in flight.
	WithinFairShare bool
	// Release removes the call from the calls in flight. It must be called exactly
	// once, after the call has ended.
	Release func()
}

// Admit counts one more call of an account as in flight, or refuses the call.
// capacityShort means that no server has a free slot for the call; only then is
// the account limited to its fair share. The error is [ErrTooManyInFlight] or
// [ErrFairShare].
func (c *Controller) Admit(a *declare.ClientAccount, capacityShort bool) (Admission, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	inFlight := c.inFlight[a.Name]
	if a.MaxInFlight > 0 && inFlight >= a.MaxInFlight {
		return Admission{}, ErrTooManyInFlight
	}
	belowShare := inFlight < c.fairShare(a)
	if capacityShort && !belowShare {
		return Admission{}, ErrFairShare
	}
	withinFairShare := belowShare && inFlight < c.totalInFlight
	c.inFlight[a.Name]++
	c.totalInFlight++
	return Admission{WithinFairShare: withinFairShare, Release: func() { c.release(a.Name) }}, nil
}

// fairShare returns the fair share of an account as a number of calls, at least
// 1. The calls in flight and the new call are divided among this account and the
// other accounts that have calls in flight, in proportion to the shares of these
// accounts. The result is rounded up. The caller holds c.mu.
func (c *Controller) fairShare(a *declare.ClientAccount) int {
	totalShares := 0
	declared := c.holder.Current().Set.ClientAccounts
	for name := range c.inFlight {
		if other, ok := declared[name]; ok && name != a.Name {
			totalShares += Share(other)
		}
	}
	ownShare := Share(a)
	totalShares += ownShare
	return ((c.totalInFlight+1)*ownShare + totalShares - 1) / totalShares
}

// release removes one call of the account with this name from the counts.
func (c *Controller) release(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.totalInFlight--
	c.inFlight[name]--
	if c.inFlight[name] == 0 {
		delete(c.inFlight, name)
	}
}
