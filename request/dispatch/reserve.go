package dispatch

import (
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/rattanway/rattanway/connection/exchange"
	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/process/eventlog"
)

const (
	// shortageMemory is how long more urgent requests that were short of slots count.
	shortageMemory = 2 * time.Second
	// shortageWaitShare is the part of its objective that a request must have waited to
	// count as short of slots.
	shortageWaitShare = 0.1
	// shortageInterval is the least time between two reports of one priority to the same
	// entry instances: they count for 2 s, and bytes between regions are scarce.
	shortageInterval = 250 * time.Millisecond
	// maxReserved is the largest number of slots of a server that are kept from less urgent
	// requests; one for each step of priority below that.
	maxReserved = 2
	// maxShortages bounds the shortages in one report of a peer.
	maxShortages = 64
	// maxServiceNameLength is the longest name of a service in a peer's report, in bytes.
	maxServiceNameLength = 256
)

var eventSlotsReserved = eventlog.Define(561, "slots-reserved", logrus.InfoLevel,
	"Requests of a priority were short of slots, for the first time within 2 s: less urgent requests of the service leave the last slots of each server free from now on, until none of the more urgent ones has been short for 2 s. The field near is missing if this entry instance observed it, and tells otherwise whether another one of this data centre did.")

// shortage is when requests of a priority were last short of slots.
type shortage struct {
	at time.Time
	// changed and markedAt hold, for each observer, the number of the last change that it or
	// a closer one observed, and when that was.
	changed  [observedHere + 1]uint64
	markedAt [observedHere + 1]time.Time
}

// mark numbers a change that o observed at time now, unless there has been one within
// shortageInterval.
func (sh *shortage) mark(c *changeCounter, o observer, now time.Time) {
	c.count++
	for scope := observedFar; scope <= o; scope++ {
		if now.Sub(sh.markedAt[scope]) >= shortageInterval {
			sh.changed[scope], sh.markedAt[scope] = c.count, now
		}
	}
}

// observerOf returns the farthest observer whose changes belong to a scope.
func observerOf(scope exchange.EvidenceScope) observer {
	switch scope {
	case exchange.ObservedHere:
		return observedHere
	case exchange.ObservedNear:
		return observedNear
	}
	return observedFar
}

// recordShort records that requests of a priority were short of slots at time at, as o has
// observed. Those of the least urgent priority reserve nothing. The caller holds s.mu.
func (s *Scheduler) recordShort(service string, u *serviceUrgency, priority int, at time.Time, o observer) {
	if priority < 0 || priority >= len(u.levels)-1 {
		return
	}
	sh := u.shortages[priority]
	if sh == nil {
		sh = &shortage{}
		u.shortages[priority] = sh
	}
	if !at.After(sh.at) {
		return
	}
	now := s.clock.Now()
	if now.Sub(sh.at) >= shortageMemory {
		f := eventlog.Fields{"service": service, "priority": priority}
		if o != observedHere {
			f["near"] = o == observedNear
		}
		s.cfg.Log.Event(eventSlotsReserved, f)
	}
	sh.at = at
	sh.mark(s.changes, o, now)
}

// reserved returns the number of slots of each server that requests of a priority must leave
// free, because more urgent ones were short of slots. It is 0 for a priority that gets less
// than its share.
func (u *serviceUrgency) reserved(priority int, now time.Time) int {
	if u == nil || priority == movePriority || u.counts.owed(priority, now) {
		return 0
	}
	own, steps := u.step(priority), 0
	for p, short := range u.shortages {
		if now.Sub(short.at) < shortageMemory {
			steps = max(steps, own-u.step(p))
		}
	}
	return min(maxReserved, steps)
}

// withReservation returns the limit of a server for requests that must leave reserved slots
// free. A small server keeps half of its limit for them.
func withReservation(limit, reserved int) int { return limit - min(reserved, limit/2) }

// reserve lowers the limits of the candidates for a request that must leave slots free for
// more urgent ones. The caller holds s.mu.
func (s *Scheduler) reserve(req *Request, all []Candidate, now time.Time) {
	reserved := s.urgencyOf(req.Service).reserved(req.Priority, now)
	if reserved == 0 {
		return
	}
	for i := range all {
		all[i].Limit = withReservation(all[i].Limit, reserved)
	}
}

// reservationCount returns the number of priorities for which slots are reserved. The caller
// holds s.mu.
func (s *Scheduler) reservationCount(now time.Time) int {
	n := 0
	for _, u := range s.urgency.services {
		for _, sh := range u.shortages {
			if now.Sub(sh.at) < shortageMemory {
				n++
			}
		}
	}
	return n
}

// changedShortages returns the shortages that have changed since the change with number
// since and still count, for peers. The caller holds s.mu.
func (s *Scheduler) changedShortages(since uint64, scope exchange.EvidenceScope, now time.Time) []frame.Shortage {
	var changed []frame.Shortage
	for name, u := range s.urgency.services {
		for priority, sh := range u.shortages {
			if age := now.Sub(sh.at); sh.changed[observerOf(scope)] > since && age < shortageMemory && len(changed) < maxShortages {
				changed = append(changed, frame.Shortage{Service: name, Priority: priority, AgeMs: age.Milliseconds()})
			}
		}
	}
	return changed
}

// mergeShortages applies the shortages that o reports. It ignores those of services and
// priorities that are not in use here. The error names the first invalid value. The caller
// holds s.mu.
func (s *Scheduler) mergeShortages(shortages []frame.Shortage, o observer, now time.Time) error {
	if len(shortages) > maxShortages {
		return errors.Errorf("report has %d shortages, allowed are %d", len(shortages), maxShortages)
	}
	var invalid error
	for _, sh := range shortages {
		if err := checkShortage(sh); err != nil {
			invalid = errors.Join(invalid, err)
			continue
		}
		if u := s.urgencyOf(sh.Service); u != nil {
			s.recordShort(sh.Service, u, sh.Priority, now.Add(-time.Duration(sh.AgeMs)*time.Millisecond), o)
		}
	}
	return invalid
}

// checkShortage returns an error that names the first invalid value of a shortage that a peer
// has reported.
func checkShortage(sh frame.Shortage) error {
	switch {
	case sh.Service == "" || len(sh.Service) > maxServiceNameLength:
		return errors.Errorf("name of a service with a shortage has %d bytes, allowed are 1 to %d", len(sh.Service), maxServiceNameLength)
	case sh.AgeMs < 0 || sh.AgeMs > shortageMemory.Milliseconds():
		return errors.Errorf("shortage of service %q was %d ms ago, allowed are 0 to %d", sh.Service, sh.AgeMs, shortageMemory.Milliseconds())
	}
	return nil
}
