package spread

import (
	"sync"

	"golang.org/x/time/rate"

	"github.com/rattanway/rattanway/core"
)

// regionLimiter limits the bandwidth that one agent may use on the link between
// its region and the others. While the agent fetches versions, its share of the
// region's budget is proportional to the number of chunks that it owns, since
// only owners read over the link. At other times all agents have equal shares. In
// both cases the shares of all agents of a region add up to the budget.
type regionLimiter struct {
	*BandwidthLimiter

	mu sync.Mutex
	// budget is the limit of all agents of the region together, in bytes per
	// second; 0 means no limit.
	budget int64
	// evenShare is the limit of this agent while it fetches no version, in
	// bytes per second; 0 means no limit.
	evenShare int64
	// ownedByVersion maps each version that is being fetched, by manifest
	// digest, to its chunks that this agent owns.
	ownedByVersion map[core.Digest]ownedChunks
}

// ownedChunks is a summary of the chunks of a version that this agent owns.
type ownedChunks struct {
	// ownedCount is the number of owned chunks, and totalCount the number of all
	// chunks of the version.
	ownedCount, totalCount int
	// maxChunkBytes is the size of the largest owned chunk, in bytes.
	maxChunkBytes int64
}

// newRegionLimiter returns a regionLimiter without a limit.
func newRegionLimiter() *regionLimiter {
	return &regionLimiter{
		BandwidthLimiter: &BandwidthLimiter{limiter: rate.NewLimiter(rate.Inf, maxBytesPerWait)},
		ownedByVersion:   map[core.Digest]ownedChunks{},
	}
}

// update calls change with r.mu held, and then sets the limit and the burst size
// that follow from the changed fields.
func (r *regionLimiter) update(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
	var sum ownedChunks
	for _, o := range r.ownedByVersion {
		sum.ownedCount += o.ownedCount
		sum.totalCount += o.totalCount
		sum.maxChunkBytes = max(sum.maxChunkBytes, o.maxChunkBytes)
	}
	// The burst size allows a complete owned chunk to be read at once. The due
	// times already spread the reads of the chunks over time.
	r.limiter.SetBurst(int(max(maxBytesPerWait, sum.maxChunkBytes)))
	r.limiter.SetLimit(r.currentLimit(sum))
}

// currentLimit returns the limit of this agent. sum holds the totals of the
// versions that are being fetched. The caller must hold r.mu.
func (r *regionLimiter) currentLimit(sum ownedChunks) rate.Limit {
	switch {
	case r.budget > 0 && sum.totalCount > 0:
		return rate.Limit(float64(r.budget) * float64(max(1, sum.ownedCount)) / float64(sum.totalCount))
	case r.evenShare > 0:
		return rate.Limit(r.evenShare)
	}
	return rate.Inf
}

// regionBudget returns the limit of all agents of the region together, in bytes
// per second.
func (r *regionLimiter) regionBudget() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget
}

// SetRegionBudget sets the bandwidth that all agents of this region together may
// use on the link to other regions, in bytes per second; 0 means no limit. It
// has no effect if Config.RegionBytesPerSecond is set.
func (s *Swarm) SetRegionBudget(bytesPerSecond int64) {
	if s.cfg.RegionBytesPerSecond == 0 {
		s.regionLimiter.update(func() { s.regionLimiter.budget = bytesPerSecond })
	}
}

// SetRegionShare sets the bandwidth that this agent may use on the link to other
// regions while it fetches no version, in bytes per second; 0 means no limit.
func (s *Swarm) SetRegionShare(bytesPerSecond int64) {
	s.regionLimiter.update(func() { s.regionLimiter.evenShare = bytesPerSecond })
}

// setOwnedChunks records the chunks of a version that this agent owns, and the
// number of all chunks of the version. If totalCount is 0, it removes the version.
func (r *regionLimiter) setOwnedChunks(version core.Digest, own []dueChunk, totalCount int) {
	o := ownedChunks{ownedCount: len(own), totalCount: totalCount}
	for _, c := range own {
		o.maxChunkBytes = max(o.maxChunkBytes, c.Size)
	}
	r.update(func() {
		delete(r.ownedByVersion, version)
		if totalCount > 0 {
			r.ownedByVersion[version] = o
		}
	})
}
