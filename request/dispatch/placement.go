package dispatch

import "time"

const (
	// localPreference is how many more requests than the least loaded server a
	// server of the own data centre may run and still be chosen. A request to
	// another data centre uses bandwidth between regions; one more request in
	// a batch costs about 0.1 ms per token.
	localPreference = 4
	// referenceLimit is the limit to which the loads of servers with other
	// limits are scaled, so that localPreference has the same meaning for all
	// servers.
	referenceLimit = 16
)

// Candidate is a server that could run a request, with its load.
type Candidate struct {
	// Slot is the slot that the request gets if this candidate is chosen.
	Slot Slot
	// Limit is the number of requests that the server may have at once; 0 if
	// it must not get any now.
	Limit int
	// Penalty is added to the load of a server whose requests fail often.
	Penalty float64
}

// scaledLoad returns the load with the penalty, scaled to referenceLimit.
func (c *Candidate) scaledLoad() float64 {
	return (float64(c.Slot.Running) + c.Penalty) * referenceLimit / float64(max(1, c.Limit))
}

// hasFreeSlot reports whether the server runs fewer requests than its limit.
func (c *Candidate) hasFreeSlot() bool { return c.Slot.Running < c.Limit }

// ChooseCandidate returns the index of a candidate with a free slot, or -1 if
// there is none. It chooses the least loaded one in the own data centre, unless
// one in another data centre has a load lower by more than localPreference. This
// evens out the load when clients are distributed unevenly over the data centres.
// The search starts at index start; the first of equally loaded candidates is
// chosen.
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
	// minRetryAfterFull gives a slot time to become free, and still lets the
	// client's next attempt meet its objective: an objective of 300 ms covers a
	// wait of 40 ms for a slot, this pause and about 180 ms at a full server.
	minRetryAfterFull = 30 * time.Millisecond
	// retryAfterJitter spreads the next attempts of clients that were refused
	// at the same time.
	retryAfterJitter = 50 * time.Millisecond
	// minRetryAfterNone applies when no server can run the request: fetching
	// and loading weights takes at least this long.
	minRetryAfterNone = 2 * time.Second
)

// RetryAfterFull returns the Retry-After of a refusal because all slots were
// taken. random is a random number in [0, 1).
func RetryAfterFull(random float64) time.Duration {
	return minRetryAfterFull + time.Duration(random*float64(retryAfterJitter))
}

// RetryAfterUnavailable returns the Retry-After of a refusal because no server
// can run the request. random is a random number in [0, 1).
func RetryAfterUnavailable(random float64) time.Duration {
	return minRetryAfterNone + time.Duration(random*float64(retryAfterJitter))
}
