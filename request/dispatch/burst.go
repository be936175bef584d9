package dispatch

import "time"

// burstWindow is the longest time from the start of a request of another entry
// instance until a load report that includes the request arrives here: one report
// interval plus the network latency.
const burstWindow = 60 * time.Millisecond

// BurstLimiter limits how many requests one entry instance sends within
// burstWindow to a server that becomes free while requests wait. All entry
// instances see the same free slots at the same time, so each may use only an
// equal share of them until the load reports of the others have arrived.
type BurstLimiter struct {
	// sends holds the times of the requests that were sent to the server.
	sends slidingWindow
}

// Allows reports whether this entry instance may send one more request to the
// server at time now. freeSlotCount is the number of free slots at the server, as
// far as this entry instance knows from its own requests and from the load
// reports of the others. entryInstanceCount is the number of entry instances that
// share these slots, including this one. Each may send at least one request per
// burstWindow.
func (b *BurstLimiter) Allows(now time.Time, freeSlotCount, entryInstanceCount int) bool {
	recentOwnCount := b.sends.count(now, burstWindow)
	return recentOwnCount < max(1, (freeSlotCount+recentOwnCount)/max(1, entryInstanceCount))
}

// RecordSend records that a request was sent at time now.
func (b *BurstLimiter) RecordSend(now time.Time) { b.sends.add(now, burstWindow) }
