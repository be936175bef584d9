package spread

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/rattanway/rattanway/core"
)

// originSuspectPeriod is how long after a failed read of the origin an agent
// requests an object from its other owners before it reads the origin again. It
// is longer than a read of a whole version after an outage (48 chunks of 49,152
// bytes over 15 Mbit/s take 1.3 s).
const originSuspectPeriod = 3 * time.Second

// ownerStagger is the delay after which an agent repeats its request to the
// owners ranked before it, in case they started to read the origin at the same
// moment. A request between data centres takes a few milliseconds.
const ownerStagger = 50 * time.Millisecond

// During an outage of the origin, owners fetch an object from each other. When
// the origin is available again, each owner would read it. To avoid that, the
// other owners request the object from an owner that is reading it, and wait for
// this read.

// recordOriginFailure records the time of a failed read of the origin.
func (s *Swarm) recordOriginFailure() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastOriginFailure = s.clock.Now()
}

// originFailedRecently reports whether a read of the origin failed within
// originSuspectPeriod, so that another owner may hold the object already.
func (s *Swarm) originFailedRecently() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.lastOriginFailure.IsZero() && s.clock.Since(s.lastOriginFailure) < originSuspectPeriod
}

// beginOriginRead records that a read of an object from the origin has started.
func (s *Swarm) beginOriginRead(d core.Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.originReads[d]++
}

// endOriginRead records that a read of an object from the origin has ended.
func (s *Swarm) endOriginRead(d core.Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.originReads[d]--
	if s.originReads[d] == 0 {
		delete(s.originReads, d)
	}
}

// isReadingOrigin reports whether an object is being read from the origin.
func (s *Swarm) isReadingOrigin(d core.Digest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.originReads[d] > 0
}

// fetchFromOtherOwners fetches an object from another owner that holds it or is
// reading it from the origin, and waits for a read in progress. Owners that find
// the origin available again at the same moment would all read it. To avoid
// that, an owner requests the object once more, after ownerStagger, from the
// owners ranked before it.
func (s *Swarm) fetchFromOtherOwners(ctx context.Context, o object) ([]byte, error) {
	owners := s.ownerCandidates(o, func(p Peer) bool { return true })
	selfIndex := slices.IndexFunc(owners, func(p Peer) bool { return p.ID == s.cfg.Self.ID })
	others := slices.DeleteFunc(slices.Clone(owners), func(p Peer) bool { return p.ID == s.cfg.Self.ID })
	body, err := s.fetchFromReadingPeers(ctx, o, others)
	if err == nil || selfIndex <= 0 {
		return body, err
	}
	select {
	case <-s.clock.After(ownerStagger):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	return s.fetchFromReadingPeers(ctx, o, others[:selfIndex])
}

// fetchFromReadingPeers requests an object from each of peers in turn, and
// returns it from the first that holds it or is reading it from the origin.
func (s *Swarm) fetchFromReadingPeers(ctx context.Context, o object, peers []Peer) ([]byte, error) {
	for _, p := range peers {
		for {
			req := peerRequest{object: o, tier: tierOriginRead, wait: s.cfg.LongPollTimeout}
			body, _, err := s.fetchFromPeer(ctx, p.Addr, req)
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
