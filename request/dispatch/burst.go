package dispatch

import (
	"math"
	"time"
)

const (
	// burstWindow is the longest time from the start of a request of another entry
	// instance until a load report that includes the request arrives here: one report
	// interval plus the network latency.
	burstWindow = 60 * time.Millisecond
	// demandWindow is the same for a server that entry instances of all data centres
	// want; their reports may come through a relay.
	demandWindow = 120 * time.Millisecond
	// rankRotation is the time in which the rank of each entry instance at a server in
	// demand passes through all values.
	rankRotation = 2 * time.Second
	// remoteShare is the part of their share that entry instances of other data centres
	// use of a server in demand. Those of its own data centre share the same slots.
	remoteShare = 0.5
)

// BurstLimiter limits how many requests one entry instance sends to a server before
// the load reports of the others arrive. All entry instances see the same free slots
// at the same time, so each may use only an equal share of them until then.
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

// AllowsInDemand is Allows for a server that many entry instances want at once. If they
// are more than the free slots, those whose rank is low at time now send one request
// each per demandWindow; see rotatedRank. demandAge is the time since the server was
// known to be in demand: after demandWindow, more and more of them may send. remote is
// true if the server is in another data centre.
func (b *BurstLimiter) AllowsInDemand(now time.Time, freeSlotCount, entryInstanceCount int, rank float64, demandAge time.Duration, remote bool) bool {
	recentOwnCount := b.sends.count(now, demandWindow)
	share := float64(freeSlotCount+recentOwnCount) / float64(max(1, entryInstanceCount))
	if share < 1 {
		share *= math.Exp2(max(0, demandAge-demandWindow).Seconds() / demandWindow.Seconds())
		if remote {
			share *= remoteShare
		}
		share = min(1, share)
	}
	return recentOwnCount < shareByRank(share, rotatedRank(rank, now))
}

// RecordSend records that a request was sent at time now.
func (b *BurstLimiter) RecordSend(now time.Time) { b.sends.add(now, demandWindow) }

// rotatedRank returns the rank that an entry instance with the given rank has at time
// now, so that each is among the lowest in turn. The ranks stay evenly spaced, and few
// entry instances get a low rank at a time.
func rotatedRank(rank float64, now time.Time) float64 {
	passed := float64(now.UnixMilli()%rankRotation.Milliseconds()) / float64(rankRotation.Milliseconds())
	_, rotated := math.Modf(rank + passed)
	return rotated
}
