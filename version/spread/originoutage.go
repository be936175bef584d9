package spread

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/rattanway/rattanway/core"
)

// During an outage of the origin, owners fetch an object from each other. When
// the origin is available again, every owner of an object could read the object
// from the origin. To avoid that, one owner reads the object, and the other
// owners request the object from this owner and wait for the read.

// For originSuspectPeriod after a failed read of the origin, an owner requests an
// object from the object's other owners before reading the origin again. The
// period is longer than the time to read a complete version after an outage (1.3
// s for 48 chunks of 49,152 bytes over 15 Mbit/s).
const originSuspectPeriod = 3 * time.Second

// ownerRetryDelay is the delay after which an owner requests an object a second
// time from the owners that rank higher, in case one of them has just started to
// read the origin. The delay is longer than a request between data centres, which
// takes a few milliseconds.
const ownerRetryDelay = 50 * time.Millisecond

// recordOriginFailure records the time of a failed read of the origin.
func (s *Swarm) recordOriginFailure() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastOriginFailure = s.clock.Now()
}

// originFailedRecently reports whether a read of the origin failed within the last
// originSuspectPeriod. In that case another owner may already hold the object.
func (s *Swarm) originFailedRecently() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.lastOriginFailure.IsZero() && s.clock.Since(s.lastOriginFailure) < originSuspectPeriod
}

// beginOriginRead records that a read of an object from the origin has started.
func (s *Swarm) beginOriginRead(d core.Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.originReadCounts[d]++
}

// endOriginRead records that a read of an object from the origin has ended.
func (s *Swarm) endOriginRead(d core.Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.originReadCounts[d]--
	if s.originReadCounts[d] == 0 {
		delete(s.originReadCounts, d)
	}
}

// isReadingOrigin reports whether this agent is reading an object from the origin.
func (s *Swarm) isReadingOrigin(d core.Digest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.originReadCounts[d] > 0
}

// fetchFromOtherOwners fetches an object from another owner that holds the object
// or is reading it from the origin; it waits for a read in progress. If several
// owners find the origin available again at the same moment, all of them could
// read the object. To avoid that, an owner requests the object a second time,
// after ownerRetryDelay, from the owners that rank higher.
func (s *Swarm) fetchFromOtherOwners(ctx context.Context, o object) ([]byte, error) {
	owners := s.ownerCandidates(o, func(p Peer) bool { return true })
	selfIndex := slices.IndexFunc(owners, func(p Peer) bool { return p.ID == s.cfg.Self.ID })
	others := slices.DeleteFunc(slices.Clone(owners), func(p Peer) bool { return p.ID == s.cfg.Self.ID })
	body, err := s.fetchFromReadingPeers(ctx, o, others)
	if err == nil || selfIndex <= 0 {
		return body, err
	}
	select {
	case <-s.clock.After(ownerRetryDelay):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	return s.fetchFromReadingPeers(ctx, o, others[:selfIndex])
}

// fetchFromReadingPeers requests an object from peers, one after another, until
// one of them sends the object. A peer sends only an object that it holds or is
// reading from the origin. If no peer sends the object, fetchFromReadingPeers
// returns errMissing.
func (s *Swarm) fetchFromReadingPeers(ctx context.Context, o object, peers []Peer) ([]byte, error) {
	for _, p := range peers {
		for {
			req := peerRequest{object: o, tier: tierOriginRead, maxWait: s.cfg.LongPollTimeout}
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
