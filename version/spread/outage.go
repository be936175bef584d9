package spread

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/rattanway/rattanway/core"
)

// originDoubt is how long after a failed read of the origin an agent asks the
// other owners of an object before it reads the origin again. It covers the
// reading of a copy after an outage (48 pieces of 49,152 bytes over 15 Mbit/s
// take 1.3 s).
const originDoubt = 3 * time.Second

// ownersApart is how much later a stand-in reads the origin than the owner
// before it when both find it back; a question between data centres takes a
// few milliseconds.
const ownersApart = 50 * time.Millisecond

// An outage of the origin makes owners pass an object on to each other. When the
// origin is back, each of them would read it: one that reads says so, and the
// others wait for it.

// originFailed notes that the origin could not be read.
func (s *Swarm) originFailed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.originFailure = s.clock.Now()
}

// originFailedLately reports whether another owner may hold what this agent is
// about to read.
func (s *Swarm) originFailedLately() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.originFailure.IsZero() && s.clock.Since(s.originFailure) < originDoubt
}

// beginReading notes that an object is being read from the origin.
func (s *Swarm) beginReading(d core.Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reading[d]++
}

// endReading ends beginReading.
func (s *Swarm) endReading(d core.Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reading[d]--
	if s.reading[d] == 0 {
		delete(s.reading, d)
	}
}

// isReading reports whether an object is being read from the origin.
func (s *Swarm) isReading(d core.Digest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reading[d] > 0
}

// fromReaders asks the other owners of an object for what they hold or are
// reading from the origin, and waits for a read that is under way. Owners that
// see the origin come back at the same moment would all read: a later one asks
// those before it once more after a moment.
func (s *Swarm) fromReaders(ctx context.Context, o object) ([]byte, error) {
	owners := s.candidates(o, func(p Peer) bool { return true })
	before := slices.IndexFunc(owners, func(p Peer) bool { return p.ID == s.cfg.Self.ID })
	others := slices.DeleteFunc(slices.Clone(owners), func(p Peer) bool { return p.ID == s.cfg.Self.ID })
	body, err := s.fromReading(ctx, o, others)
	if err == nil || before <= 0 {
		return body, err
	}
	select {
	case <-s.clock.After(ownersApart):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	return s.fromReading(ctx, o, others[:before])
}

// fromReading asks peers in turn for an object that they hold or are reading.
func (s *Swarm) fromReading(ctx context.Context, o object, peers []Peer) ([]byte, error) {
	for _, p := range peers {
		for {
			q := question{object: o, tier: tierReading, wait: s.cfg.Wait}
			body, _, err := s.fetchOnce(ctx, p.Addr, q)
			if err == nil {
				return body, nil
			}
			if !errors.Is(err, errPending) || ctx.Err() != nil {
				break
			}
		}
	}
	return nil, errMissing
}
