// Package accounts authenticates client accounts by their keys and limits the
// number of calls that each account has in flight at one entry instance.
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

// bearerScheme is the authentication scheme of client keys, with the space that
// follows.
const bearerScheme = "Bearer "

// Errors of [Controller.Admit] and [Controller.Authenticate].
var (
	// ErrUnauthorized is returned when no client account has the given key.
	ErrUnauthorized = errors.New("no client account has this key")
	// ErrTooManyInFlight is returned when the account already has MaxInFlight
	// calls in flight.
	ErrTooManyInFlight = errors.New("the client account has too many calls in flight")
	// ErrFairShare is returned when capacity is short and the account already has
	// its fair share of the calls in flight.
	ErrFairShare = errors.New("capacity is short and the client account has its share")
)

// Controller counts the calls in flight of each client account at one entry
// instance and decides whether further calls are admitted. It is safe for
// concurrent use.
type Controller struct {
	holder *confstore.Holder

	mu sync.Mutex
	// inFlight holds the number of calls in flight by account name, and total
	// their sum.
	inFlight map[string]int
	total    int
}

// New returns a [Controller] for the client accounts in holder's current
// configuration.
func New(holder *confstore.Holder) *Controller {
	return &Controller{holder: holder, inFlight: map[string]int{}}
}

// Authenticate returns the client account with the key in authorization, the
// value of an Authorization header, or [ErrUnauthorized].
func (c *Controller) Authenticate(authorization string) (*declare.ClientAccount, error) {
	key, ok := strings.CutPrefix(authorization, bearerScheme)
	if !ok || key == "" {
		return nil, ErrUnauthorized
	}
	hash := []byte(core.DigestOf([]byte(key)))
	var found *declare.ClientAccount
	for _, a := range c.holder.Current().Set.ClientAccounts {
		if subtle.ConstantTimeCompare(hash, []byte(a.KeyHash)) == 1 {
			found = a
		}
	}
	if found == nil {
		return nil, ErrUnauthorized
	}
	return found, nil
}

// Share returns the weight with which an account takes part in the division of
// capacity, at least 1.
func Share(a *declare.ClientAccount) int { return max(1, a.Share) }

// Admission is the result of admitting one call.
type Admission struct {
	// WithinFairShare is true if the call is within the fair share of its account
	// and other accounts have calls in flight too.
	WithinFairShare bool
	// Release ends the call. The caller must call it exactly once.
	Release func()
}

// Admit admits one more call of an account and counts it. The caller sets
// capacityShort while no server has a free slot for the call; only then is an
// account limited to its fair share. The error is [ErrTooManyInFlight] or [ErrFairShare].
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
	withinFairShare := belowShare && inFlight < c.total
	c.inFlight[a.Name]++
	c.total++
	return Admission{WithinFairShare: withinFairShare, Release: func() { c.release(a.Name) }}, nil
}

// fairShare returns the number of calls, at least 1, that an account gets when
// the calls in flight and one more are divided by weight among this account and
// the others that have calls in flight; fractions are rounded up. The caller
// holds c.mu.
func (c *Controller) fairShare(a *declare.ClientAccount) int {
	weights := 0
	declared := c.holder.Current().Set.ClientAccounts
	for name := range c.inFlight {
		if other, ok := declared[name]; ok && name != a.Name {
			weights += Share(other)
		}
	}
	own := Share(a)
	weights += own
	return ((c.total+1)*own + weights - 1) / weights
}

// release removes one call of an account from the counts.
func (c *Controller) release(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.total--
	c.inFlight[name]--
	if c.inFlight[name] == 0 {
		delete(c.inFlight, name)
	}
}
