package dispatch

import (
	"maps"
	"slices"
	"time"
)

// moveDelay is how long a server must have been loading new weights before its
// streams may be moved to other servers. Most streams end within this time; the
// longest take 3 s. The last streams of a server may be moved after lastMoveDelay: they
// alone keep all its slots from use, and most of the others have ended by then.
const (
	moveDelay     = 700 * time.Millisecond
	lastMoveDelay = 300 * time.Millisecond
)

// lastStreamsShare is the share of a server's slots in which its last streams run.
const lastStreamsShare = 0.25

// firstMovesShare is the fraction of the retry budget that may be used for the moves of
// streams from servers with more than half of their slots in use. In a rolling update
// under full load, the first streams of each server would otherwise use up the share of
// optional retries, and the last ones would have to stay.
const firstMovesShare = 0.3

// movePriority puts a stream that is to be moved before all waiting requests, for
// two reasons. A pause between events would make the stream late. And the slot
// that the stream leaves is of no use to other requests, because the server of
// that slot is loading weights. The last streams of a server, with lastMovePriority, are
// before other streams, because all slots of the server become usable after them.
const (
	movePriority     = -1
	lastMovePriority = -2
)

// movePlan determines when and how a stream of a server that loads new weights may be
// moved.
type movePlan struct {
	// delay is the least time since the server began to load.
	delay time.Duration
	// priority is the priority of the search for a slot.
	priority int
	// budgetShare is the fraction of the retry budget that may be used.
	budgetShare float64
}

// planMove returns the plan for a stream of a server with the given number of slots that
// still runs remaining streams, this one included. The fewer remain, the more each of
// them costs: a single one keeps the whole server from use.
func planMove(remaining, slots int) movePlan {
	switch {
	case float64(remaining) <= max(1, lastStreamsShare*float64(slots)):
		return movePlan{lastMoveDelay, lastMovePriority, optionalRetryShare}
	case 2*remaining <= slots:
		return movePlan{moveDelay, movePriority, optionalRetryShare}
	}
	return movePlan{moveDelay, movePriority, firstMovesShare}
}

// moveBeginTime is the time that a stream has to begin at its new server: the weights there
// must not become outdated before. A stream that is recalled from the queue of the new server
// may have no other way on.
const moveBeginTime = 2 * time.Second

// MoveSearch is the search for a slot at another server for a running stream.
// Meanwhile, the stream continues at its present server. A server that loads new
// weights serves no other requests until its longest stream has ended. Under full
// load the last few streams are therefore moved to servers that accept requests.
type MoveSearch struct {
	scheduler *Scheduler
	waiter    *waiter
	// startedAt is when the search was counted as a retry.
	startedAt time.Time
}

// StartMoveSearch starts the search for a slot at another server for the stream of
// req, which runs at from, and counts the move as an optional retry. It returns nil
// if the server of from has not been loading new weights for long enough, or if the
// retry budget does not allow the move (see planMove); the stream must then stay. If it
// returns a search, the caller must call Cancel, unless Take has returned a slot.
func (s *Scheduler) StartMoveSearch(req *Request, from Slot) *MoveSearch {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	agent, ok := s.agents[from.Server.Addr]
	if !ok || !agent.state.Loading {
		return nil
	}
	s.peers.expire(now)
	remaining := s.stateOf(from.Server.ID).runningCount + s.peers.running(from.Server.ID)
	plan := planMove(remaining, from.Server.Slots)
	if now.Sub(agent.loadingSince) < plan.delay ||
		!s.retryBudgetOf(req.Service).take(now, s.knownEntryInstanceCount(), plan.budgetShare) {
		return nil
	}
	moveReq := *req
	moveReq.Priority, moveReq.TriedServers = plan.priority, maps.Clone(req.TriedServers)
	moveReq.TriedServers[from.Server.ID] = true
	moveReq.WeightsUntil = now.Add(moveBeginTime)
	w := newWaiter(&moveReq)
	s.enqueue(w)
	s.assignWaiting()
	return &MoveSearch{s, w, now}
}

// Take returns the slot that was assigned to the stream, or false if none has
// been assigned yet. The search ends when Take returns a slot, which the caller
// must then release. A slot at a server that may no longer get the stream, because the
// server has begun to leave since, is given back, and the search goes on.
func (m *MoveSearch) Take() (Slot, bool) {
	s := m.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case slot := <-m.waiter.slot:
		m.waiter.request.WeightsUntil = s.clock.Now().Add(moveBeginTime)
		if s.stillUsable(slot, m.waiter.request) {
			return slot, true
		}
		s.stateOf(slot.Server.ID).end(slot)
		m.waiter = newWaiter(m.waiter.request)
		s.enqueue(m.waiter)
		s.assignWaiting()
	default:
	}
	return Slot{}, false
}

// stillUsable reports whether the server of a slot that was assigned earlier may still
// get the request. The caller holds s.mu.
func (s *Scheduler) stillUsable(slot Slot, req *Request) bool {
	snapshot := s.holder.Current()
	req.updateRegions(snapshot)
	server, listed := snapshot.Servers[slot.Server.ID]
	if !listed || server.Boot() != slot.Server.Boot() || !s.allowed(server, req, snapshot) {
		return false
	}
	version, ok := s.usableVersion(server, req, snapshot, s.clock.Now())
	return ok && version == slot.Version
}

// Cancel ends the search, which then no longer counts as a retry. It must not be called
// after Take has returned a slot. Under full load, most searches end with the stream.
func (m *MoveSearch) Cancel() {
	s := m.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancelWait(m.waiter)
	s.retryBudgetOf(m.waiter.request.Service).returnRetry(m.startedAt, s.clock.Now())
}

// returnRetry takes back the count of a retry that was counted at countedAt and was not
// sent.
func (b *RetryBudget) returnRetry(countedAt, now time.Time) {
	b.advance(now)
	bucket := countedAt.UnixNano() / int64(max(1, b.limits.Window/retryBucketCount))
	if i := bucket % retryBucketCount; b.newestBucket-bucket < retryBucketCount && b.retryCounts[i] > 0 {
		b.retryCounts[i]--
	}
}

// cancelWait removes w from the queue, or releases the slot if one has been
// assigned to w in the meantime. The caller holds s.mu.
func (s *Scheduler) cancelWait(w *waiter) {
	if !w.assigned {
		s.waiting = slices.DeleteFunc(s.waiting, func(other *waiter) bool { return other == w })
		return
	}
	slot := <-w.slot
	s.stateOf(slot.Server.ID).end(slot)
	s.assignWaiting()
}
