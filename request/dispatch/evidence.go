package dispatch

import (
	"time"

	"github.com/go-faster/errors"

	"github.com/rattanway/rattanway/connection/exchange"
	"github.com/rattanway/rattanway/connection/frame"
)

// observer tells where something was observed.
type observer int

// The values of observer.
const (
	observedFar  observer = iota // in another data centre
	observedNear                 // at another entry instance of this data centre
	observedHere                 // at this entry instance
)

// changeCounter numbers the changes of all evidence that entry instances report to
// each other.
type changeCounter struct{ count uint64 }

// changeMark holds the numbers of the last changes of one piece of evidence: of any,
// of the last that was observed in this data centre, and of the last that was observed
// by this entry instance.
type changeMark struct{ anywhere, near, here uint64 }

// mark numbers a change that o observed.
func (c *changeCounter) mark(m *changeMark, o observer) {
	c.count++
	m.anywhere = c.count
	if o >= observedNear {
		m.near = c.count
	}
	if o == observedHere {
		m.here = c.count
	}
}

// lastChange returns the number of the last change in a scope.
func (m changeMark) lastChange(scope exchange.EvidenceScope) uint64 {
	switch scope {
	case exchange.ObservedHere:
		return m.here
	case exchange.ObservedNear:
		return m.near
	}
	return m.anywhere
}

// Evidence implements [exchange.EvidenceTracker].
func (s *Scheduler) Evidence(since uint64, scope exchange.EvidenceScope) (frame.Evidence, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changes.count == since {
		return frame.Evidence{}, since
	}
	now := s.clock.Now()
	return frame.Evidence{
		SuspectParts: s.quarantine.changedSince(since, scope, now), RequestLimits: s.changedLimits(since, scope, now),
		Shortages: s.changedShortages(since, scope, now), ProvenLoads: s.provenLoads.changedSince(since, scope),
	}, s.changes.count
}

// MergeEvidence implements [exchange.EvidenceTracker]. It ignores the end of a server
// that has sent something to this entry instance since.
func (s *Scheduler) MergeEvidence(e frame.Evidence, near bool) error {
	if e.Empty() {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := observedFar
	if near {
		o = observedNear
	}
	now := s.clock.Now()
	lastResponses := s.lastResponses()
	goesOn := func(boot string, endedAt time.Time) bool { return lastResponses[boot].After(endedAt) }
	quarantined, released, errParts := s.quarantine.merge(e.SuspectParts, o, goesOn, now)
	s.applyVerdict(quarantined, released)
	return errors.Join(errParts, s.mergeLimits(e.RequestLimits, o, now), s.mergeShortages(e.Shortages, o, now),
		s.mergeProvenLoads(e.ProvenLoads, o))
}
