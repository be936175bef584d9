package dispatch

import "time"

// coldWindow is the period over which the requests to a cold server are counted.
const coldWindow = time.Second

// ColdRateLimiter limits the requests per second that one entry instance sends
// to a cold server, which started recently, to an equal share of the rate that
// such a server can handle. The total of all entry instances then stays within
// that rate under full load, even while they cannot reach each other.
type ColdRateLimiter struct {
	sends slidingWindow
}

// Allows reports whether this entry instance, one of entryInstances, may send
// one more request at now to a server that can handle perSecond requests per
// second.
func (c *ColdRateLimiter) Allows(now time.Time, perSecond float64, entryInstances int) bool {
	share := max(1, int(perSecond)/max(1, entryInstances))
	return c.sends.count(now, coldWindow) < share
}

// RecordSend records that a request was sent at now.
func (c *ColdRateLimiter) RecordSend(now time.Time) { c.sends.add(now, coldWindow) }
