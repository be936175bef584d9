package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/rattanway/rattanway/version/catalog"
)

// Acquire returns a slot for a request. If none is free, it waits for at most the
// time that the method maxWait returns. The caller must give the slot back with
// Release. The error is [ErrFull], [ErrPaused], [ErrNoServer], [ErrQuarantined] or the error of
// ctx.
func (s *Scheduler) Acquire(ctx context.Context, req *Request) (Slot, error) {
	w, slot, err := s.beginAcquire(req)
	if w == nil {
		return slot, err
	}
	select {
	case slot := <-w.slot:
		return slot, nil
	case <-w.quarantined:
		return Slot{}, ErrQuarantined
	case <-w.paused:
		return Slot{}, ErrPaused
	case <-s.clock.After(w.waitsUntil.Sub(s.clock.Now())):
	case <-ctx.Done():
		err = ctx.Err()
	}
	return s.endWait(ctx, w, err)
}

// beginAcquire assigns a slot to a request, refuses it, or puts it into the queue. It returns
// the waiter in the last case, with the error if the request gets no slot, and nil otherwise.
func (s *Scheduler) beginAcquire(req *Request) (*waiter, Slot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, u, w := s.clock.Now(), s.urgencyOf(req.Service), &waiter{request: req}
	slot, err := s.assignOnArrival(u, w, now)
	if err == nil {
		slot.countedFor = s.recordDecision(u, w, nil, now)
		return nil, slot, nil
	}
	maxWait := s.maxWait(u, w, now)
	w.waitsUntil = now.Add(maxWait)
	if errors.Is(err, ErrQuarantined) || maxWait <= 0 || errors.Is(err, ErrNoServer) && !s.mayGetServer(req) ||
		errors.Is(err, ErrPaused) && s.pausedBeyond(req, w.waitsUntil) {
		s.recordDecision(u, w, err, now)
		return nil, Slot{}, err
	}
	w.openChannels()
	s.enqueue(w)
	s.observeQueues(now)
	return w, Slot{}, err
}

// endWait ends the wait of a request because of err, unless it has got a slot meanwhile.
func (s *Scheduler) endWait(ctx context.Context, w *waiter, err error) (Slot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.assigned && ctx.Err() == nil {
		return <-w.slot, nil
	}
	s.cancelWait(w)
	now := s.clock.Now()
	s.observeQueues(now)
	s.recordDecision(s.urgencyOf(w.request.Service), w, err, now)
	return Slot{}, err
}

// assignOnArrival assigns a slot to a request that has just arrived. Where requests have
// several priorities, those that wait and go before it are offered the free slots first. The
// caller holds s.mu.
func (s *Scheduler) assignOnArrival(u *serviceUrgency, w *waiter, now time.Time) (Slot, error) {
	w.enqueuedAt = now
	if u == nil {
		return s.assign(w.request)
	}
	req := w.request
	w.usualLeft = u.usualLeft.observe(req.Route, req.Deadline.Sub(req.ArrivedAt), now)
	s.observeQueues(now)
	if !u.queue.waiting {
		return s.assign(req)
	}
	unassignable := map[requirements]error{}
	s.enqueue(w)
	for s.assignNext(w, unassignable) {
	}
	s.waiting = slices.DeleteFunc(s.waiting, func(other *waiter) bool { return other == w })
	if needs, shared := s.requirementsOf(req, now); shared && errors.Is(unassignable[needs], ErrFull) {
		if _, held := s.quarantine.Holds(req.PromptParts, now); !held {
			return Slot{}, ErrFull
		}
	}
	slot, err := s.assign(req)
	if err == nil {
		u.counts.at(now).queueSlots++
	}
	return slot, err
}

// mayGetServer reports whether a request that no server can run now is worth a wait for
// weights: it may have run elsewhere, so that it cannot be refused any more, and a server
// that is otherwise allowed lacks only the weights. The caller holds s.mu.
func (s *Scheduler) mayGetServer(req *Request) bool {
	snapshot := s.holder.Current()
	req.updateRegions(snapshot)
	return req.MaxRetryWait > 0 && slices.ContainsFunc(snapshot.ServersOf(req.Service), func(server *catalog.Server) bool {
		return s.allowed(server, req, snapshot)
	})
}

// maxWait returns how long a request may wait for a slot from now on. The request
// may wait until MaxWaitShare of the objective has passed since the arrival, or
// for MaxRetryWait, whichever ends later. Where requests have several priorities, it may wait
// as long as it can still meet the objective, but not at all if the expected wait is longer;
// see waitForObjective. In all cases the wait ends at the deadline at the latest. A result
// that is not positive means that the request may not wait. The caller holds s.mu.
func (s *Scheduler) maxWait(u *serviceUrgency, w *waiter, now time.Time) time.Duration {
	req, age := w.request, now.Sub(w.request.ArrivedAt)
	usualWait := time.Duration(s.cfg.MaxWaitShare * float64(req.FirstByteObjective))
	objectiveWait := usualWait - age
	if u != nil {
		ahead, samePriority := s.waitingAhead(u, w, now)
		expected, known := expectedWait(ahead, u.counts.queueRate(now))
		objectiveWait = waitForObjective(req.FirstByteObjective, s.firstByteOf(u, req), usualWait, age, expected, known)
		if samePriority >= maxWaitingPerPriority {
			objectiveWait = 0
		}
	}
	return min(max(objectiveWait, req.MaxRetryWait), req.Deadline.Sub(now))
}

// requirementsOf returns the requirements of a request, and whether other requests can have
// the same. The caller holds s.mu.
func (s *Scheduler) requirementsOf(req *Request, now time.Time) (requirements, bool) {
	req.updateRegions(s.holder.Current())
	needs, shared := req.requirements()
	needs.reserved = s.urgency.services[req.Service].reserved(req.Priority, now)
	return needs, shared
}

// observeQueues counts the time during which requests wait, for each service with several
// priorities. The caller holds s.mu.
func (s *Scheduler) observeQueues(now time.Time) {
	for name, u := range s.urgency.services {
		waiting := slices.ContainsFunc(s.waiting, func(w *waiter) bool { return w.request.Service == name })
		if passed := u.queue.observe(waiting, now); passed > 0 {
			u.counts.at(now).queueTime += passed
		}
	}
}

// recordQueueSlot records that a waiting request has got a slot, and returns for what the
// slot was counted. The caller holds s.mu.
func (s *Scheduler) recordQueueSlot(w *waiter, now time.Time) *accountKey {
	u := s.urgencyOf(w.request.Service)
	if u == nil {
		return nil
	}
	s.observeQueues(now)
	u.counts.at(now).queueSlots++
	return s.recordDecision(u, w, nil, now)
}

// recordDecision records how the wait of a request has ended: err is nil if it has got a
// slot. It returns for what the slot was counted; nil if it was not. The caller holds s.mu.
func (s *Scheduler) recordDecision(u *serviceUrgency, w *waiter, err error, now time.Time) *accountKey {
	req := w.request
	if u == nil || req.Priority == movePriority {
		return nil
	}
	waited, full := now.Sub(w.enqueuedAt), errors.Is(err, ErrFull)
	if full || req.FirstByteObjective > 0 && waited.Seconds() > shortageWaitShare*req.FirstByteObjective.Seconds() {
		s.recordShort(req.Service, u, req.Priority, now, observedHere)
	}
	if waited > 0 {
		s.urgencyStats.waited[countedAs(req.Priority)].Inc(1)
	}
	if full {
		s.urgencyStats.refused[countedAs(req.Priority)].Inc(1)
	}
	if req.MaxRetryWait > 0 || err != nil && !full {
		return nil
	}
	if len(req.TriedServers) == 0 && !w.returning() {
		u.counts.recordArrival(req.Priority, now)
	}
	if err != nil {
		return nil
	}
	key := accountKey{req.Priority, req.Account}
	u.counts.addSlot(key, now)
	return &key
}

// recordOutcome takes a slot back whose server has not run the request: a priority or an
// account whose requests are turned away has not had its share. The caller holds s.mu.
func (s *Scheduler) recordOutcome(slot Slot, o Outcome) {
	if slot.countedFor == nil || o != Full && o != Paused && o != Unreachable {
		return
	}
	if u := s.urgencyOf(slot.Server.Service); u != nil {
		u.counts.takeBackSlot(*slot.countedFor, s.clock.Now())
	}
}
