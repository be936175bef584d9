package dispatch

import "time"

const (
	// nearBias is how many requests more than the least loaded server a
	// server of the own data centre may run and still be chosen. A request
	// elsewhere costs bytes between regions; one more neighbour in a batch
	// costs about 0.1 ms a token.
	nearBias = 4
	// usualLimit is the limit to which the loads of servers with other limits
	// are scaled, so that nearBias means the same everywhere.
	usualLimit = 16
)

// Candidate is a server that could run a request, with its load.
type Candidate struct {
	// Place is what choosing it would give.
	Place Place
	// Limit is the number of requests it runs at once.
	Limit int
	// Penalty is added to its load: for servers that failed or are slow.
	Penalty float64
}

// load is what the candidate is judged by.
func (c *Candidate) load() float64 {
	return (float64(c.Place.Running) + c.Penalty) * usualLimit / float64(max(1, c.Limit))
}

// hasRoom reports whether a place is free.
func (c *Candidate) hasRoom() bool { return c.Place.Running < c.Limit }

// ChooseUnevenZones answers clients that come unevenly over the data centres:
// the least loaded server with a free place in the own data centre, unless one
// elsewhere is clearly less loaded. turn breaks ties between equals. It returns
// -1 when no candidate has room.
func ChooseUnevenZones(all []Candidate, turn int) int {
	near, far := -1, -1
	for k := range all {
		i := (k + turn) % len(all)
		c := &all[i]
		if !c.hasRoom() {
			continue
		}
		if c.Place.Remote {
			if far < 0 || c.load() < all[far].load() {
				far = i
			}
			continue
		}
		if near < 0 || c.load() < all[near].load() {
			near = i
		}
	}
	if near < 0 || far >= 0 && all[far].load()+nearBias < all[near].load() {
		return far
	}
	return near
}

// Retry-After answers of refusals.
const (
	// returnLeast lets a place become free, and leaves a client that returns
	// the time to be on time: an objective of 300 ms holds a wait of 40 ms
	// here, this pause and about 180 ms at a full server.
	returnLeast = 30 * time.Millisecond
	// returnSpread spreads the returns of clients refused together.
	returnSpread = 50 * time.Millisecond
	// returnDown is sent when no server can run the request at all: fetching
	// and loading weights takes that long and more.
	returnDown = 2 * time.Second
)

// ReturnAfterFull is the pause after which a client that found every place
// taken is to come back. draw is in [0, 1).
func ReturnAfterFull(draw float64) time.Duration {
	return returnLeast + time.Duration(draw*float64(returnSpread))
}

// ReturnAfterDown is the pause when no server holds what the request needs.
func ReturnAfterDown(draw float64) time.Duration {
	return returnDown + time.Duration(draw*float64(returnSpread))
}
