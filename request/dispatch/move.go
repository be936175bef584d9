package dispatch

import (
	"maps"
	"slices"
	"time"
)

// moveAfter is how long a stream may continue at a server that loads new
// weights before it is moved. Most streams end within this time; the longest
// take 3 s.
const moveAfter = 700 * time.Millisecond

// movePriority puts a stream that is to be moved before all waiting requests. No
// other request can use the slot that the stream leaves, because its server is
// loading weights, and a pause between its events makes the stream late.
const movePriority = -1

// Move is the search for a slot at another server for a running stream, which
// continues at its own server in the meantime. A server that loads new weights
// serves no other request until its longest stream has ended. Under full load
// the last few streams are therefore moved to servers that accept requests.
type Move struct {
	scheduler *Scheduler
	w         *waiter
}

// StartMove starts the search for another slot for a stream whose server has
// been loading new weights for moveAfter, and counts the move as an optional
// retry. It returns nil if the stream must stay at its server because that time
// has not passed or the retry budget does not allow the move. The caller must
// call Cancel unless Take has returned a slot.
func (s *Scheduler) StartMove(req *Request, from Slot) *Move {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	agent, ok := s.agents[from.Server.Addr]
	if !ok || !agent.state.Loading || now.Sub(agent.loadingSince) < moveAfter ||
		!s.retryBudgetOf(req.Service).TakeOptionalRetry(now, s.knownEntryInstances()) {
		return nil
	}
	moved := *req
	moved.Priority, moved.Tried = movePriority, maps.Clone(req.Tried)
	moved.Tried[from.Server.ID] = true
	w := &waiter{request: &moved, slot: make(chan Slot, 1)}
	s.enqueue(w)
	s.assignWaiting()
	return &Move{s, w}
}

// Take returns the slot that was assigned to the stream, or false if none has
// been assigned yet. Once it has returned a slot, the search has ended.
func (m *Move) Take() (Slot, bool) {
	select {
	case slot := <-m.w.slot:
		return slot, true
	default:
		return Slot{}, false
	}
}

// Cancel ends a search whose slot was not taken.
func (m *Move) Cancel() {
	m.scheduler.mu.Lock()
	defer m.scheduler.mu.Unlock()
	m.scheduler.cancelWait(m.w)
}

// cancelWait removes a request from the queue, or releases the slot if one has
// been assigned to the request in the meantime. The caller holds s.mu.
func (s *Scheduler) cancelWait(w *waiter) {
	if !w.assigned {
		s.waiting = slices.DeleteFunc(s.waiting, func(other *waiter) bool { return other == w })
		return
	}
	s.stateOf((<-w.slot).Server.ID).running--
	s.assignWaiting()
}
