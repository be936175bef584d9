package dispatch

import "time"

// burstWindow is the time for which the newest requests of other entry
// instances can be missing from their reported load: one interval of the
// exchange of loads plus the network latency.
const burstWindow = 60 * time.Millisecond

// BurstLimiter limits how fast one entry instance fills a server that becomes free
// while requests wait. All entry instances see the same free slots at the same
// moment, so each may use only its share of them until the others have reported
// their load.
type BurstLimiter struct {
	sends slidingWindow
}

// Allows reports whether this entry instance, one of entries, may send one more
// request to a server with free slots.
func (b *BurstLimiter) Allows(now time.Time, free, entries int) bool {
	own := b.sends.count(now, burstWindow)
	return own < max(1, (free+own)/max(1, entries))
}

// RecordSend records that a request was sent at now.
func (b *BurstLimiter) RecordSend(now time.Time) { b.sends.add(now, burstWindow) }
