package spread

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/rattanway/rattanway/version/manifest"
)

// schedule hands out the chunks of a version to the workers of one agent. A chunk
// is not requested before its due time. This is the earliest time at which the
// origin's link could have sent all preceding chunks, if the chunks are sent in
// order. The due times spread the owners' reads of the origin over time, and make
// other agents request a chunk only when the chunk's owner is likely to hold it.
type schedule struct {
	clock clockwork.Clock
	// shuffle selects a random order for the chunks that are due.
	shuffle bool

	mu     sync.Mutex
	chunks []dueChunk
}

// dueChunk is a chunk with the time from which it may be requested.
type dueChunk struct {
	manifest.Chunk
	dueAt time.Time
}

// newSchedule returns a schedule of chunks, which must be in the order of their
// due times. If shuffle is true, chunks that are due are handed out in random order.
func newSchedule(chunks []dueChunk, shuffle bool, clock clockwork.Clock) *schedule {
	return &schedule{chunks: chunks, shuffle: shuffle, clock: clock}
}

// next waits until a chunk is due and returns the chunk, or false if no chunk is
// left.
func (s *schedule) next(ctx context.Context) (manifest.Chunk, bool, error) {
	for {
		c, wait, ok := s.take()
		if !ok || wait <= 0 {
			return c, ok, ctx.Err()
		}
		select {
		case <-s.clock.After(wait):
		case <-ctx.Done():
			return manifest.Chunk{}, false, ctx.Err()
		}
	}
}

// take removes and returns a due chunk. If no chunk is due yet, it returns the time
// until the next chunk is due. If no chunk is left, it returns false.
func (s *schedule) take() (manifest.Chunk, time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.chunks) == 0 {
		return manifest.Chunk{}, 0, false
	}
	now := s.clock.Now()
	if wait := s.chunks[0].dueAt.Sub(now); wait > 0 {
		return manifest.Chunk{}, wait, true
	}
	i := 0
	if s.shuffle {
		dueCount := 1
		for dueCount < len(s.chunks) && !s.chunks[dueCount].dueAt.After(now) {
			dueCount++
		}
		i = rand.IntN(dueCount)
	}
	c := s.chunks[i].Chunk
	s.chunks = append(s.chunks[:i], s.chunks[i+1:]...)
	return c, 0, true
}

// splitByOwner returns the chunks of a version in two lists: the chunks that this
// agent owns in its region, and all other chunks. Each chunk has its due time.
func (s *Swarm) splitByOwner(r *ranking, chunks []manifest.Chunk, start time.Time) (own, others []dueChunk) {
	perSecond := s.regionRate(r)
	var precedingBytes int64
	for _, c := range chunks {
		due := start
		if perSecond > 0 {
			due = start.Add(time.Duration(float64(precedingBytes) / perSecond * float64(time.Second)))
		}
		precedingBytes += c.Size
		owner := r.ownerIndex(c.Digest, s.inRegion)
		if owner < 0 || r.peers[owner].ID == s.cfg.Self.ID {
			own = append(own, dueChunk{c, due})
		} else {
			others = append(others, dueChunk{c, due})
		}
	}
	return own, others
}

// regionRate returns the rate at which this region can receive a version, in
// bytes per second. It is the region's even share of the origin's bandwidth. If
// the origin is in another region, the rate is at most the budget of the link
// between regions. 0 means no limit.
func (s *Swarm) regionRate(r *ranking) float64 {
	regions := map[string]bool{s.cfg.Self.Region: true}
	for _, p := range r.peers {
		regions[p.Region] = true
	}
	perSecond := float64(s.cfg.OriginBytesPerSecond) / float64(len(regions))
	budget := float64(s.regionLimiter.regionBudget())
	if s.originInOtherRegion() && budget > 0 && (perSecond == 0 || budget < perSecond) {
		perSecond = budget
	}
	return perSecond
}

// originInOtherRegion reports whether the origin is known to be in another
// region.
func (s *Swarm) originInOtherRegion() bool {
	return s.cfg.OriginRegion != "" && s.cfg.OriginRegion != s.cfg.Self.Region
}
