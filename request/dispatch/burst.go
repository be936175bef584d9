package dispatch

import "time"

// burstWindow is the longest time until a new request of another entry instance
// appears in the load that it reports: one report interval plus the network
// latency.
const burstWindow = 60 * time.Millisecond

// BurstLimiter limits how fast one entry instance fills a server that becomes
// free while requests wait. All entry instances see the same free slots at the
// same time, so each may use only an equal share of them until the others have
// reported their load.
type BurstLimiter struct {
	sends slidingWindow
}

// Allows reports whether this entry instance, one of entryInstances, may send
// one more request to a server with free slots. free excludes the slots that
// its own requests use.
func (b *BurstLimiter) Allows(now time.Time, free, entryInstances int) bool {
	own := b.sends.count(now, burstWindow)
	return own < max(1, (free+own)/max(1, entryInstances))
}

// RecordSend records that a request was sent at now.
func (b *BurstLimiter) RecordSend(now time.Time) { b.sends.add(now, burstWindow) }
