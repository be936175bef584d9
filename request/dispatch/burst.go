package dispatch

import "time"

// burstWindow is the longest time between the start of a request at another
// entry instance and the arrival of a load report that includes the request: one
// report interval plus the network latency.
const burstWindow = 60 * time.Millisecond

// BurstLimiter limits how many requests one entry instance sends within
// burstWindow to a server that becomes free while requests wait. All entry
// instances see the same free slots at the same time, so each may use only an
// equal share of them until the load reports of the others have arrived.
type BurstLimiter struct {
	// sends holds the times of the requests that were sent to the server.
	sends slidingWindow
}

// Allows reports whether this entry instance, one of entryInstanceCount, may send
// one more request to a server. freeSlotCount is the number of slots that no
// request uses, neither of this entry instance nor, according to their load
// reports, of the others. Each entry instance may send at least one request.
func (b *BurstLimiter) Allows(now time.Time, freeSlotCount, entryInstanceCount int) bool {
	recentOwnCount := b.sends.count(now, burstWindow)
	return recentOwnCount < max(1, (freeSlotCount+recentOwnCount)/max(1, entryInstanceCount))
}

// RecordSend records that a request was sent at now.
func (b *BurstLimiter) RecordSend(now time.Time) { b.sends.add(now, burstWindow) }
