package dispatch

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// coldWindow is the period over which the requests to a cold server are counted.
const coldWindow = time.Second

// SharedRateLimiter limits the rate at which one entry instance sends requests to a
// server that takes a limited rate from all entry instances together: a cold server,
// that is, one that started recently, or one that names a limit. Each entry instance
// may use an equal share of the rate. Together they therefore stay within it under full
// load, even while they cannot reach each other. If there are more entry instances than
// requests in the window, only some of them send.
type SharedRateLimiter struct {
	// sends holds the times of the requests that were sent to the server.
	sends slidingWindow
}

// Allows reports whether this entry instance may send one more request at time now to
// a server that can handle ratePerSecond requests per second. window is the period over
// which the requests are counted. entryInstanceCount is the number of entry instances
// that share this rate, including this one. If they are more than the requests in the
// window, rank decides which of them send at all, one request each; see shareRank.
func (l *SharedRateLimiter) Allows(now time.Time, window time.Duration, ratePerSecond float64, entryInstanceCount int, rank float64) bool {
	share := ratePerSecond * window.Seconds() / float64(max(1, entryInstanceCount))
	limit := int(share)
	if limit == 0 && rank < share {
		limit = 1
	}
	return l.sends.count(now, window) < limit
}

// RecordSend records that a request was sent at time now. window is the longest period
// over which the requests are counted.
func (l *SharedRateLimiter) RecordSend(now time.Time, window time.Duration) { l.sends.add(now, window) }

// shareRank returns the rank of an entry instance among count, in [0, 1). position is
// its position in their order, from 0. The ranks are evenly spaced, so that the number
// of those below a bound is exact as long as all entry instances know each other.
// Another server gives another order, so that the entry instances that send nothing to
// one server send to others.
func shareRank(serverID string, position, count int) float64 {
	const hashBits = 53 // a float64 represents integers of up to 53 bits exactly
	first := float64(xxhash.Sum64String(serverID)>>(64-hashBits)) / (1 << hashBits)
	_, rank := math.Modf(first + float64(position)/float64(max(1, count)))
	return rank
}
