package dispatch

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// coldWindow is the period over which the requests to a cold server are counted.
const coldWindow = time.Second

// ColdRateLimiter limits the rate at which one entry instance sends requests to a
// cold server, that is, one that started recently. Each entry instance may use an
// equal share of the rate that such a server can handle. Together they therefore
// stay within that rate under full load, even while they cannot reach each other. If
// there are more entry instances than requests per second, only some of them send.
type ColdRateLimiter struct {
	// sends holds the times of the requests that were sent to the server.
	sends slidingWindow
}

// Allows reports whether this entry instance may send one more request at time
// now to a server that can handle ratePerSecond requests per second.
// entryInstanceCount is the number of entry instances that share this rate,
// including this one. If they are more than the requests per second, rank decides
// which of them send at all, one request per second each; see shareRank.
func (c *ColdRateLimiter) Allows(now time.Time, ratePerSecond float64, entryInstanceCount int, rank float64) bool {
	share := ratePerSecond / float64(max(1, entryInstanceCount))
	limit := int(share)
	if limit == 0 && rank < share {
		limit = 1
	}
	return c.sends.count(now, coldWindow) < limit
}

// shareRank returns a number in [0, 1) that differs from entry instance to entry
// instance and is evenly distributed. Another server gives another order, so that
// the entry instances that send nothing to one cold server send to others.
func shareRank(serverID, entryID string) float64 {
	const hashBits = 53 // a float64 represents integers of up to 53 bits exactly
	return float64(xxhash.Sum64String(serverID+" "+entryID)>>(64-hashBits)) / (1 << hashBits)
}

// RecordSend records that a request was sent at time now.
func (c *ColdRateLimiter) RecordSend(now time.Time) { c.sends.add(now, coldWindow) }
