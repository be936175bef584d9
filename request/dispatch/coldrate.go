package dispatch

import "time"

// coldWindow is the period over which the requests to a cold server are counted.
const coldWindow = time.Second

// ColdRateLimiter limits the rate at which one entry instance sends requests to a
// cold server, that is, one that started recently. Each entry instance may use an
// equal share of the rate that such a server can handle. Together they therefore
// stay within that rate under full load, even while they cannot reach each other.
type ColdRateLimiter struct {
	// sends holds the times of the requests that were sent to the server.
	sends slidingWindow
}

// Allows reports whether this entry instance may send one more request at time
// now to a server that can handle ratePerSecond requests per second.
// entryInstanceCount is the number of entry instances that share this rate,
// including this one. The share of each is at least one request per second.
func (c *ColdRateLimiter) Allows(now time.Time, ratePerSecond float64, entryInstanceCount int) bool {
	share := max(1, int(ratePerSecond)/max(1, entryInstanceCount))
	return c.sends.count(now, coldWindow) < share
}

// RecordSend records that a request was sent at time now.
func (c *ColdRateLimiter) RecordSend(now time.Time) { c.sends.add(now, coldWindow) }
