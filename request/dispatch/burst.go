package dispatch

import "time"

// burstWindow is the time in which entry instances do not know of each other's
// newest requests: a tick of their exchange and its way.
const burstWindow = 60 * time.Millisecond

// Burst answers a server that becomes free in front of waiting requests: all
// entry instances see the same free places at the same moment, and each takes
// only its share of them until it has heard of the others.
type Burst struct {
	sent window
}

// Allows reports whether one of entries entry instances may send one more
// request to a server with free places.
func (b *Burst) Allows(now time.Time, free, entries int) bool {
	own := b.sent.count(now, burstWindow)
	return own < max(1, (free+own)/max(1, entries))
}

// Sent counts a request.
func (b *Burst) Sent(now time.Time) { b.sent.add(now, burstWindow) }
