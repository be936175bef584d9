package dispatch

import (
	"context"
	"time"
)

// silentPeriod is how long a server that runs streams must have sent nothing at all to this
// entry instance before it counts as silent. Events are due every 50 ms, and clients give
// up a stream after 2 s without one.
const silentPeriod = 900 * time.Millisecond

// UntilSilent returns the time until the server of a slot in use counts as silent if it
// sends nothing more. The time is not positive if the server is silent.
func (s *Scheduler) UntilSilent(slot Slot) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return silentPeriod - s.clock.Now().Sub(s.stateOf(slot.Server.ID).stallDetector.lastActivity)
}

// AcquireBeforeWaiting waits for a slot until ctx ends, before the requests that wait in
// Acquire. It is for a request that has been sent to a server that is silent: it cannot be
// refused any more, and under full load requests that wait take each slot that becomes
// free. The caller must give the slot back with Release. The error is [ErrQuarantined] or
// the error of ctx.
func (s *Scheduler) AcquireBeforeWaiting(ctx context.Context, req *Request) (Slot, error) {
	moveReq := *req
	moveReq.Priority = movePriority
	w := newWaiter(&moveReq)
	s.mu.Lock()
	s.enqueue(w)
	s.assignWaiting()
	s.mu.Unlock()
	select {
	case slot := <-w.slot:
		return slot, nil
	case <-w.quarantined:
		return Slot{}, ErrQuarantined
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancelWait(w)
	return Slot{}, ctx.Err()
}

// recordStall records that the attempt in a slot ended at time now because the server sent
// nothing. The first silence of a server is one failure, however many attempts it ends.
func (st *serverState) recordStall(slot Slot, now time.Time) {
	sameSilence := !st.stalledAt.IsZero() && !slot.assignedAt.After(st.silenceCountedAt)
	if !sameSilence || st.health.failedAgain() {
		st.health.RecordStall(now, now.Sub(st.stallDetector.lastActivity) >= silentPeriod)
		st.silenceCountedAt = now
	}
	st.stalledAt = now
}

// unheardPeriod limits how long a server that does not get any request to respond to is
// treated as one that may still be silent.
const unheardPeriod = 5 * time.Second

// allowsUnheard reports whether a server may get a request. One that has sent nothing
// since an attempt there stalled gets one at a time, to find out whether it goes on, and
// none that has been sent before and has no time to lose. Other servers may get any.
func (st *serverState) allowsUnheard(req *Request, now time.Time) bool {
	if st.stalledAt.IsZero() || now.Sub(st.stalledAt) >= unheardPeriod {
		return true
	}
	return st.runningCount == 0 && len(req.TriedServers) == 0
}
