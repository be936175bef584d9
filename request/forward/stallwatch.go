package forward

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rattanway/rattanway/request/dispatch"
	"github.com/rattanway/rattanway/version/catalog"
)

// stallWatch closes the connection to a server that sends nothing for too long,
// if another server can run the request, and to one that has not begun the request when
// its weights become outdated.
type stallWatch struct {
	call *call
	// slot is the slot of the attempt.
	slot dispatch.Slot
	// retryReq describes the request for the search for another server: the present
	// server counts as tried.
	retryReq dispatch.Request
	ctx      context.Context
	// abort closes the connection.
	abort func()
	mu    sync.Mutex // protects timer, cancelSearch and found
	// timer is nil if the connection is not watched.
	timer *time.Timer
	// cancelSearch ends the search for a slot at another server; nil without a search.
	cancelSearch context.CancelFunc
	// found is the slot that the search has found; nil without one.
	found *dispatch.Slot
	// stalled is true once the watch has closed the connection because of a stall.
	stalled atomic.Bool
	// pending is the request until it begins; nil before awaitBegin.
	pending *dispatch.PendingBegin
}

// newStallWatch returns a watch that waits for the first byte of a response. If
// the request must not be sent to another server, the watch does nothing.
func (c *call) newStallWatch(ctx context.Context, abort func(), slot dispatch.Slot) *stallWatch {
	w := &stallWatch{call: c, ctx: ctx, abort: abort, slot: slot, retryReq: c.dispatchReq}
	w.retryReq.TriedServers = maps.Clone(c.dispatchReq.TriedServers)
	w.retryReq.TriedServers[slot.Server.ID] = true
	if !c.route.Repeatable() || len(c.mayHaveRunAt)+1 >= c.route.MaxServers {
		return w
	}
	timeout := firstEventTimeout
	if c.route.Kind != catalog.KindStream {
		timeout = responseTimeoutFactor * c.route.FirstByteObjective
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(timeout, w.onTimeout)
	return w
}

// onTimeout closes the connection if another server has a free slot and the retry
// budget allows a retry. Otherwise the connection stays open, because the server
// may still respond. Without a free slot, onTimeout is called again after
// stallRecheckInterval. If the retry budget does not allow a retry, it is called
// again only after the server has sent an event. A stream whose server is silent waits
// for a slot.
func (w *stallWatch) onTimeout() {
	scheduler := w.call.cfg.Scheduler
	recheck := stallRecheckInterval
	// The silence of a server that runs no streams says nothing: it responds only at the
	// end of a request.
	if w.call.route.Kind == catalog.KindStream {
		untilSilent := scheduler.UntilSilent(w.slot)
		if untilSilent <= 0 {
			w.leaveSilentServer()
			return
		}
		recheck = min(recheck, max(untilSilent, time.Millisecond))
	}
	switch {
	case w.ctx.Err() != nil:
		return
	case !scheduler.HasFreeSlot(&w.retryReq):
		w.resetTimer(recheck)
		return
	case !scheduler.TakeRetry(w.retryReq.Service):
		return
	}
	w.stalled.Store(true)
	w.abort()
}

// leaveSilentServer waits for a slot at another server, before the requests that wait
// for one, and then closes the connection if the retry budget allows a retry. The wait
// ends without a slot when the server sends an event, when the attempt ends, or when too
// little time is left.
func (w *stallWatch) leaveSilentServer() {
	scheduler := w.call.cfg.Scheduler
	ctx, cancel := context.WithDeadline(w.ctx, w.retryReq.Deadline.Add(-minRetryTime))
	defer cancel()
	if !w.beginSearch(cancel) {
		return
	}
	slot, err := scheduler.AcquireBeforeWaiting(ctx, &w.retryReq)
	if err != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	// The budget is asked last, so that only a move counts as a retry.
	if ctx.Err() != nil || !scheduler.TakeRetry(w.retryReq.Service) {
		scheduler.Release(slot, dispatch.Cancelled)
		return
	}
	w.found = &slot
	w.stalled.Store(true)
	w.abort()
}

// beginSearch records how to end the search for another slot. It returns false if the
// connection is no longer watched.
func (w *stallWatch) beginSearch(cancel context.CancelFunc) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer == nil {
		return false
	}
	w.cancelSearch = cancel
	return true
}

// endSearch ends the search for another slot, if one is in progress. The caller holds
// w.mu.
func (w *stallWatch) endSearch() {
	if w.cancelSearch != nil {
		w.cancelSearch()
		w.cancelSearch = nil
	}
}

// awaitBegin begins to wait for the begin of the request at the server of slot. It
// returns false if the request must not be sent, because the weights there are too old.
func (w *stallWatch) awaitBegin(slot dispatch.Slot) bool {
	var ok bool
	w.pending, ok = w.call.cfg.Scheduler.AwaitBegin(slot, w.call.dispatchReq.Model, w.abort)
	return ok
}

// recordActivity restarts the timeout, because the server has sent an event. It
// does nothing once the watch has closed the connection.
func (w *stallWatch) recordActivity() {
	w.pending.End()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer == nil || w.stalled.Load() {
		return
	}
	w.endSearch()
	w.timer.Reset(eventTimeout)
}

// resetTimer makes the next call of onTimeout happen after d. It does nothing if
// the connection is not watched.
func (w *stallWatch) resetTimer(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil {
		w.timer.Reset(d)
	}
}

// stop ends the watch. It does not close the connection. The request goes on in the slot
// that the watch has found, unless it has one already.
func (w *stallWatch) stop() {
	if w.pending != nil {
		w.pending.End()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil {
		w.timer.Stop()
		w.timer = nil
	}
	w.endSearch()
	if w.found == nil {
		return
	}
	if w.call.moveTarget == nil {
		w.call.moveTarget = w.found
	} else {
		w.call.cfg.Scheduler.Release(*w.found, dispatch.Cancelled)
	}
	w.found = nil
}

// closedConn reports whether the watch has closed the connection, or is about to.
func (w *stallWatch) closedConn() bool { return w.pending.Recalled() || w.stalled.Load() }

// markClosed returns r. If the watch has closed the connection, it first sets
// the outcome to [dispatch.Outdated] or [dispatch.Stalled].
func (w *stallWatch) markClosed(r attemptResult) attemptResult {
	if w.pending.Recalled() {
		r.outcome, r.err = dispatch.Outdated, errOutdated
		return r
	}
	if w.stalled.Load() {
		r.outcome, r.err, r.retryCounted = dispatch.Stalled, errStalled, true
	}
	return r
}
