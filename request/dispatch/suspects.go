package dispatch

import (
	"slices"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/rattanway/rattanway/connection/exchange"
	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/process/eventlog"
)

var (
	eventPartQuarantined = eventlog.Define(546, "part-quarantined", logrus.WarnLevel,
		"Servers ended one after the other under requests with one prompt part, or under one request that came again, and no such request has run since; such requests are refused. The fields give the part, or the keyed hash of the request, and the number of ends.")
	eventPartReleased = eventlog.Define(547, "part-released", logrus.WarnLevel,
		"Requests with a quarantined prompt part, or a quarantined request, are no longer refused: one ran and its server goes on, or another part explains the ends of the servers.")
)

// Limits of what a peer may report.
const (
	maxPartIDLength   = 256
	maxBootLength     = 128
	maxPromptPosition = 1 << 10
)

// RecordServerEnd records that a boot of a server ended at time at while requests
// with the given prompt parts had just begun there or had not begun.
func (s *Scheduler) RecordServerEnd(boot string, parts []PromptPart, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyVerdict(s.quarantine.RecordEnd(boot, parts, at, s.clock.Now()))
}

// RecordSound records that a request with the given prompt parts has run and that its
// server goes on.
func (s *Scheduler) RecordSound(parts []PromptPart) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyVerdict(nil, s.quarantine.RecordSound(parts, s.clock.Now()))
}

// IsSuspect reports whether servers have ended under the part.
func (s *Scheduler) IsSuspect(part PromptPart) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.quarantine.parts[part.ID] != nil
}

// lastResponses returns when the listed boots of servers last sent something to this
// entry instance, without those that have not. The caller holds s.mu.
func (s *Scheduler) lastResponses() map[string]time.Time {
	times := map[string]time.Time{}
	for _, server := range s.holder.Current().Servers {
		if st := s.servers[server.ID]; st != nil && !st.lastResponseAt.IsZero() {
			times[server.Boot()] = st.lastResponseAt
		}
	}
	return times
}

// RestoreParts adds prompt parts that were quarantined before this process started.
func (s *Scheduler) RestoreParts(parts []frame.SuspectPart) error {
	return s.MergeEvidence(frame.Evidence{SuspectParts: parts}, false)
}

// applyVerdict logs which parts are quarantined and released, and refuses the waiting
// requests that have a quarantined part. The caller holds s.mu.
func (s *Scheduler) applyVerdict(quarantined, released []string) {
	for _, part := range released {
		s.cfg.Log.Event(eventPartReleased, eventlog.Fields{"part": part})
		if s.quarantine.parts[part].observedHere() {
			s.cfg.OnPartChange(frame.SuspectPart{ID: part})
		}
	}
	if len(quarantined) == 0 {
		return
	}
	now := s.clock.Now()
	for _, part := range quarantined {
		p := s.quarantine.parts[part]
		s.cfg.Log.Event(eventPartQuarantined, eventlog.Fields{"part": part, "ends": p.countEnds(nil, now)})
		if p.observedHere() {
			s.cfg.OnPartChange(p.report(part, now))
		}
	}
	s.waiting = slices.DeleteFunc(s.waiting, func(w *waiter) bool {
		_, held := s.quarantine.Holds(w.request.PromptParts, now)
		if held {
			close(w.quarantined)
		}
		return held
	})
}

// changedSince returns the parts that have changed since the change with number since,
// for peers.
func (q *PartQuarantine) changedSince(since uint64, scope exchange.EvidenceScope, now time.Time) []frame.SuspectPart {
	var changed []frame.SuspectPart
	for id, p := range q.parts {
		if p.lastChange(scope) <= since {
			continue
		}
		changed = append(changed, p.report(id, now))
	}
	return changed
}

// report returns the state of the part with the given ID for others.
func (p *suspectPart) report(id string, now time.Time) frame.SuspectPart {
	part := frame.SuspectPart{ID: id, Position: p.position, KnownSound: p.knownSound}
	for _, e := range p.ends {
		if now.Sub(e.at) >= endMemory {
			continue
		}
		part.Ends = append(part.Ends, frame.PartEnd{Boot: e.boot, AgeMs: now.Sub(e.at).Milliseconds(), Refuted: e.refuted})
	}
	part.Separate = min(p.separate, len(part.Ends))
	return part
}

// observedHere reports whether this entry instance observed an end under the part.
func (p *suspectPart) observedHere() bool {
	return slices.ContainsFunc(p.ends, func(e partEnd) bool { return e.observer == observedHere })
}

// merge adds what o reports. Invalid parts and ends, and ends that goesOn refutes, are
// left out. It returns the parts that are quarantined and released because of that.
func (q *PartQuarantine) merge(parts []frame.SuspectPart, o observer, goesOn func(string, time.Time) bool, now time.Time) (quarantined, released []string, invalid error) {
	q.expire(now)
	for _, part := range parts[:min(len(parts), maxSuspectParts+maxSuspectRequests)] {
		if err := checkSuspectPart(part); err != nil {
			invalid = err
			continue
		}
		for _, e := range part.Ends {
			end := partEnd{boot: e.Boot, at: now.Add(-time.Duration(e.AgeMs) * time.Millisecond), refuted: e.Refuted}
			if e.Refuted || !goesOn(end.boot, end.at) {
				q.addEnd(PromptPart{part.ID, part.Position}, end, part.KnownSound, o, now)
			}
		}
		p := q.parts[part.ID]
		if p != nil && !p.knownSound && q.knownSound(PromptPart{part.ID, part.Position}) {
			q.markKnownSound(p, observedHere)
		}
		// A peer that does not know that a whole request is sound counts its ends without
		// regard to their times.
		mayAdopt := p != nil && (p.position != WholeRequest || !p.knownSound || part.KnownSound)
		if mayAdopt && part.Separate > p.separate && part.Separate <= p.unrefutedCount(nil) {
			p.separate = part.Separate
			q.reassessDue = true
		}
	}
	if !q.reassessDue {
		// Most reports reach an entry instance over several others.
		return nil, nil, invalid
	}
	quarantined, released = q.reassess(now)
	return quarantined, released, invalid
}

// checkSuspectPart returns an error that names the first invalid value of a part that
// a peer has reported.
func checkSuspectPart(part frame.SuspectPart) error {
	switch {
	case part.ID == "" || len(part.ID) > maxPartIDLength:
		return errors.Errorf("ID of a prompt part has %d bytes, allowed are 1 to %d", len(part.ID), maxPartIDLength)
	case part.Position < 0 || part.Position > maxPromptPosition:
		return errors.Errorf("prompt part %q has position %d, allowed are 0 to %d", part.ID, part.Position, maxPromptPosition)
	case part.Separate < 0 || part.Separate > len(part.Ends):
		return errors.Errorf("prompt part %q has %d separate ends, allowed are 0 to %d", part.ID, part.Separate, len(part.Ends))
	case len(part.Ends) > maxEndsOfPart:
		return errors.Errorf("prompt part %q has %d ends, allowed are %d", part.ID, len(part.Ends), maxEndsOfPart)
	}
	for _, e := range part.Ends {
		switch {
		case e.Boot == "" || len(e.Boot) > maxBootLength:
			return errors.Errorf("boot under prompt part %q has %d bytes, allowed are 1 to %d", part.ID, len(e.Boot), maxBootLength)
		case e.AgeMs < 0 || e.AgeMs > endMemory.Milliseconds():
			return errors.Errorf("end of %q under prompt part %q is %d ms ago, allowed are 0 to %d", e.Boot, part.ID, e.AgeMs, endMemory.Milliseconds())
		}
	}
	return nil
}
