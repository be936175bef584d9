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
	return l.sends.count(now, window) < shareByRank(share, rank)
}

// RecordSend records that a request was sent at time now. window is the longest period
// over which the requests are counted.
func (l *SharedRateLimiter) RecordSend(now time.Time, window time.Duration) { l.sends.add(now, window) }

// shareByRank returns the number of requests of an entry instance whose share is the
// given number: the whole part of it, or one request if the share is smaller than one
// and the rank is below it. The requests of all then add up to the sum of the shares.
func shareByRank(share, rank float64) int {
	if share < 1 && rank < share {
		return 1
	}
	return int(share)
}

// shareRank returns the rank of an entry instance at a server, in [0, 1). place is its
// place among all entry instances; see rankPlace. Another server gives another order, so
// that the entry instances that send nothing to one server send to others.
func shareRank(serverID string, place float64) float64 {
	const hashBits = 53 // a float64 represents integers of up to 53 bits exactly
	first := float64(xxhash.Sum64String(serverID)>>(64-hashBits)) / (1 << hashBits)
	_, rank := math.Modf(first + place)
	return rank
}

// rankPlace returns the place of an entry instance among count, in [0, 1). position is
// its position in their order, from 0. The places are evenly spaced, so that the number
// of ranks below a bound is exact as long as all entry instances know each other. The
// entry instances of one data centre, neighbours in the order, have places far apart:
// the step between two neighbours is near the golden section of count, and has no
// divisor in common with it, so that each place is taken once.
func rankPlace(position, count int) float64 {
	count = max(1, count)
	step := max(1, int(float64(count)*(math.Phi-1)))
	for greatestCommonDivisor(step, count) != 1 {
		step++
	}
	return float64(position*step%count) / float64(count)
}

// greatestCommonDivisor returns the greatest common divisor of two positive numbers.
func greatestCommonDivisor(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}
