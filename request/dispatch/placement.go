package dispatch

import (
	"time"

	"github.com/go-faster/errors"
)

const (
	// localPreference is the largest difference between the scaled loads of two
	// servers (see scaledLoad) at which a server in the own data centre is preferred
	// to a less loaded one in another data centre. A request to another data centre
	// uses bandwidth between regions; one more request in a batch costs about 0.1 ms
	// per token.
	localPreference = 4
	// referenceLimit is the limit to which the loads of all servers are scaled, so
	// that localPreference has the same meaning for servers with different limits.
	referenceLimit = 16
)

// Candidate is a server that could run a request, and the load of that server.
type Candidate struct {
	// Slot is the slot that the request gets if this candidate is chosen.
	Slot Slot
	// Limit is the maximum number of requests at the server; 0 if the server must
	// not get a request now.
	Limit int
	// PausedUntil is the end of a pause that the server has asked for; zero if it is not
	// paused.
	PausedUntil time.Time
	// Excluded is why the server must not get a request now; NotExcluded if it may.
	Excluded Exclusion
	// Deferred is true if the server has no free slot for this entry instance now,
	// because others may have taken them; see [BurstLimiter].
	Deferred bool
	// Penalty is the number of requests that is added to the load because the
	// server fails often.
	Penalty float64
	// Expected is the expected time to the first event at the server, and HalfPass half of
	// the time of a pass there; 0 without declared figures of the engine.
	Expected, HalfPass time.Duration
	// Way is the time that the way to another data centre adds, and flow the flow of
	// requests to it; 0 and nil in the own one and without figures of the engine.
	Way  time.Duration
	flow *dataCentreFlow
}

// scaledLoad returns the load, including the penalty, scaled in proportion from
// the server's limit to referenceLimit.
func (c *Candidate) scaledLoad() float64 {
	return (float64(c.Slot.RunningCount) + c.Penalty) * referenceLimit / float64(max(1, c.Limit))
}

// hasFreeSlot reports whether the server runs fewer requests than its limit and may
// get one from this entry instance.
func (c *Candidate) hasFreeSlot() bool { return !c.Deferred && !c.full() }

// full reports whether the server runs as many requests as its limit allows.
func (c *Candidate) full() bool { return c.Slot.RunningCount >= c.Limit }

// ChooseCandidate returns the index of a candidate with a free slot, or -1 if
// there is none. It chooses the least loaded candidate in the own data centre,
// unless the load of a candidate in another data centre is lower by more than
// localPreference. This evens out the load when clients are distributed unevenly
// over the data centres. Of equally loaded candidates, it chooses the first one
// from index start on, where index 0 follows the last index.
func ChooseCandidate(all []Candidate, start int) int {
	local, remote := -1, -1
	for k := range all {
		i := (k + start) % len(all)
		c := &all[i]
		if !c.hasFreeSlot() {
			continue
		}
		if c.Slot.Remote {
			if remote < 0 || c.scaledLoad() < all[remote].scaledLoad() {
				remote = i
			}
			continue
		}
		if local < 0 || c.scaledLoad() < all[local].scaledLoad() {
			local = i
		}
	}
	if local < 0 || remote >= 0 && all[remote].scaledLoad()+localPreference < all[local].scaledLoad() {
		return remote
	}
	return local
}

// Retry-After values of refusals.
const (
	// minRetryAfterFull is long enough for a slot to become free, and short enough
	// for the client's next attempt to meet the objective: an objective of 300 ms
	// covers a wait of 40 ms for a slot, this pause and about 180 ms at a full
	// server.
	minRetryAfterFull = 30 * time.Millisecond
	// retryAfterJitter is the upper limit of the random time that is added. It
	// spreads the next attempts of clients that were refused at the same time.
	retryAfterJitter = 50 * time.Millisecond
	// minRetryAfterUnavailable applies when no server can run the request: fetching
	// and loading weights takes at least this long.
	minRetryAfterUnavailable = 2 * time.Second
)

// RetryAfterFull returns the Retry-After value for a request that was refused
// because all slots were taken. random is a random number in [0, 1).
func RetryAfterFull(random float64) time.Duration {
	return minRetryAfterFull + time.Duration(random*float64(retryAfterJitter))
}

// RetryAfterUnavailable returns the Retry-After value for a request that was
// refused because no server can run it. random is a random number in [0, 1).
func RetryAfterUnavailable(random float64) time.Duration {
	return minRetryAfterUnavailable + time.Duration(random*float64(retryAfterJitter))
}

// RetryAfter returns the Retry-After value for a client whose request got no slot
// because of err. random is a random number in [0, 1).
func RetryAfter(err error, random float64) time.Duration {
	switch {
	case errors.Is(err, ErrNoServer):
		return RetryAfterUnavailable(random)
	case errors.Is(err, ErrQuarantined):
		return quarantineTime
	}
	return RetryAfterFull(random)
}
