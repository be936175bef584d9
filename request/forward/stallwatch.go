package forward

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/rattanway/rattanway/process/eventlog"
	"github.com/rattanway/rattanway/request/dispatch"
	"github.com/rattanway/rattanway/version/catalog"
)

// stallWatch begins a hedge of an attempt whose server sends nothing for too long, if
// another server can run the request. It closes the connection to the first server once the
// request has begun at the second one.
type stallWatch struct {
	call *call
	ctx  context.Context
	// slot is the slot of the attempt.
	slot dispatch.Slot
	// abort closes the connection.
	abort func()
	// pending is the request until it begins; nil if it has not been sent.
	pending *dispatch.PendingBegin
	// exchange is that of the attempt; nil for the rest of the response to a hedge.
	exchange *serverExchange
	// attemptServers lists the servers of the attempts so far.
	attemptServers []string
	// runHedge runs a hedge in the background and then calls hedgeEnded. Tests replace it.
	runHedge func(*hedge)
	// takenOver is true once the hedge has begun and the watch has closed the connection.
	takenOver atomic.Bool
	// reason is the outcome of the attempt if takenOver is true.
	reason dispatch.Outcome

	mu sync.Mutex // protects the fields below
	// timer is nil if the attempt has ended or must not be hedged. It is due at dueAt.
	timer *time.Timer
	dueAt time.Time
	// retryReq describes the request for the search for another server: those that have got
	// it count as tried. The map in it is not changed.
	retryReq dispatch.Request
	// runsLeft is the number of further servers that may run the request, and attemptsLeft
	// the number of further attempts.
	runsLeft, attemptsLeft int
	// cancelSearch ends the search for a slot at another server; nil without a search.
	cancelSearch context.CancelFunc
	// hedge is the hedge in progress; nil without one.
	hedge *hedge
	// spent are the hedges that have ended without taking over.
	spent []spentHedge
	// lastEventID and headerSent describe what the client has of the response.
	lastEventID string
	headerSent  bool
	// silentSince is when the server last sent an event, or got the request.
	silentSince time.Time
}

// spentHedge is a hedge that has ended without taking over.
type spentHedge struct {
	server     string
	mayHaveRun bool
	// overtaken is true if the first server went on before the hedge had begun.
	overtaken bool
	// serverError is the 5xx response of the server; nil if there was none.
	serverError *response
}

// newStallWatch returns a watch over an attempt that waits for its first event or, if the
// response is no stream, for the response. If the request must not be sent to another server,
// the watch does nothing.
func (c *call) newStallWatch(ctx context.Context, abort func(), slot dispatch.Slot) *stallWatch {
	w := &stallWatch{
		call: c, ctx: ctx, abort: abort, slot: slot, retryReq: c.dispatchReq, attemptServers: slices.Clone(c.attemptServers),
		runsLeft: c.route.MaxServers - len(c.mayHaveRunAt) - 1, attemptsLeft: maxAttempts - c.attemptCount,
		lastEventID: c.lastEventID, headerSent: c.headerSent, silentSince: c.cfg.Clock.Now(),
	}
	w.runHedge = func(h *hedge) {
		go func() {
			h.run()
			w.hedgeEnded(h)
		}()
	}
	w.addTried(slot.Server.ID)
	if !c.route.Repeatable() || !w.mayHedge() {
		return w
	}
	timeout := firstEventTimeout
	if c.route.Kind != catalog.KindStream {
		timeout = responseTimeoutFactor * c.route.FirstByteObjective
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dueAt = c.cfg.Clock.Now().Add(timeout)
	w.timer = time.AfterFunc(timeout, w.onTimeout)
	return w
}

// addTried excludes a server from further searches. The caller holds w.mu.
func (w *stallWatch) addTried(server string) {
	tried := maps.Clone(w.retryReq.TriedServers)
	tried[server] = true
	w.retryReq.TriedServers = tried
}

// mayHedge reports whether a further server may get the request. The caller holds w.mu, unless
// the watch is new.
func (w *stallWatch) mayHedge() bool { return w.hedge == nil && w.runsLeft > 0 && w.attemptsLeft > 0 }

// onTimeout begins a hedge if another server has a free slot and the retry budget allows a
// retry. Without a free slot, onTimeout is called again after stallRecheckInterval. If the
// retry budget does not allow a retry, it is called again only after the server has sent an
// event. A stream whose server is silent waits for a slot. A call that is late means that
// this process did not run: what the server has sent meanwhile is read first.
func (w *stallWatch) onTimeout() {
	if !w.isDue() {
		return
	}
	scheduler := w.call.cfg.Scheduler
	recheck := stallRecheckInterval
	// The silence of a server that runs no streams says nothing: it responds only at the
	// end of a request.
	if w.call.route.Kind == catalog.KindStream {
		untilSilent := scheduler.UntilSilent(w.slot)
		if untilSilent <= 0 {
			w.searchBeforeWaiting()
			return
		}
		recheck = min(recheck, max(untilSilent, time.Millisecond))
	}
	req, ok := w.searchRequest(nil)
	if !ok || w.ctx.Err() != nil || w.call.timeLeft(w.call.cfg.Clock.Now()) < minRetryTime {
		return
	}
	slot, ok := scheduler.TryAcquire(req)
	if !ok {
		w.resetTimer(recheck)
		return
	}
	w.beginHedge(w.ctx, slot)
}

// isDue reports whether a search for another server may begin. If a hedge is in progress, which
// may fail, or the timer has fired late, it makes onTimeout be called again.
func (w *stallWatch) isDue() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.hedge != nil || w.call.cfg.Clock.Now().Sub(w.dueAt) > maxTimerDelay {
		w.arm(stallRecheckInterval)
		return false
	}
	return true
}

// searchBeforeWaiting waits for a slot at another server, before the requests that wait
// for one, and then begins a hedge. The wait ends without a slot when the server sends an
// event, when the attempt ends, or when too little time is left.
func (w *stallWatch) searchBeforeWaiting() {
	ctx, cancel := context.WithDeadline(w.ctx, w.call.dispatchReq.Deadline.Add(-minRetryTime))
	defer cancel()
	req, ok := w.searchRequest(cancel)
	if !ok {
		return
	}
	if slot, err := w.call.cfg.Scheduler.AcquireBeforeWaiting(ctx, req); err == nil {
		w.beginHedge(ctx, slot)
	}
}

// searchRequest returns the request for a search that cancel ends; cancel is nil if the
// search does not wait. It returns false if the attempt must not be hedged.
func (w *stallWatch) searchRequest(cancel context.CancelFunc) (*dispatch.Request, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer == nil || !w.mayHedge() {
		return nil, false
	}
	if cancel != nil {
		w.cancelSearch = cancel
	}
	req := w.retryReq
	return &req, true
}

// moveRequest returns the request for the search of a streamMover. It returns false if the
// attempt must not be hedged.
func (w *stallWatch) moveRequest() (*dispatch.Request, bool) { return w.searchRequest(nil) }

// endSearch ends the search for another slot, if one is in progress. The caller holds
// w.mu.
func (w *stallWatch) endSearch() {
	if w.cancelSearch != nil {
		w.cancelSearch()
		w.cancelSearch = nil
	}
}

// beginHedge begins a hedge in a slot that a search has found, unless the search was
// cancelled by the end of ctx or the retry budget does not allow it.
func (w *stallWatch) beginHedge(ctx context.Context, slot dispatch.Slot) {
	w.mu.Lock()
	defer w.mu.Unlock()
	scheduler := w.call.cfg.Scheduler
	// The budget is asked last, so that only a hedge counts as a retry.
	if ctx.Err() != nil || w.timer == nil || !w.mayHedge() || !scheduler.TakeRetry(w.retryReq.Service) {
		scheduler.Release(slot, dispatch.Cancelled)
		return
	}
	w.launch(slot, dispatch.Stalled)
}

// beginMove begins a hedge for a stream that is to be moved. Its retry is counted already.
func (w *stallWatch) beginMove(slot dispatch.Slot) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer == nil || !w.mayHedge() {
		w.call.cfg.Scheduler.Release(slot, dispatch.Cancelled)
		return
	}
	w.launch(slot, dispatch.Moved)
}

// launch begins a hedge. The caller holds w.mu.
func (w *stallWatch) launch(slot dispatch.Slot, reason dispatch.Outcome) {
	w.endSearch()
	w.attemptsLeft--
	w.hedge = w.newHedge(slot, reason)
	w.call.stats.attempts.Inc(1)
	w.call.logEvent(eventHedged, eventlog.Fields{
		"server": slot.Server.ID, "first": w.slot.Server.ID, "reason": reason.String(),
		"silentMs": w.call.cfg.Clock.Now().Sub(w.silentSince).Milliseconds(), "version": slot.Version, "running": slot.RunningCount,
	})
	w.runHedge(w.hedge)
}

// hedgeEnded is called when a hedge has begun at its server or failed. In the first case the
// hedge takes over, unless it is no longer needed.
func (w *stallWatch) hedgeEnded(h *hedge) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.hedge != h {
		return
	}
	if h.body != nil && h.exchange != nil && w.headerSent {
		// The header was sent after the hedge had begun.
		h.result = attemptResult{outcome: dispatch.Cancelled, err: errNoStream, mayHaveArrived: true, mayHaveRun: true}
		h.close()
		h.exchange, h.body = nil, nil
	}
	if h.exchange != nil {
		w.reason = h.reason
		w.takenOver.Store(true)
		w.abort()
		return
	}
	w.spend(h.result, h.takeBody())
	w.call.cfg.Scheduler.Release(h.slot, h.result.outcome)
	w.call.recordEffect(h.slot.Server, &h.result)
	h.cancel()
	if h.reason == dispatch.Stalled {
		w.arm(stallRecheckInterval)
	}
}

// spend records the result of the hedge in progress, which does not take over. errorResponse is
// its 5xx response, or nil. The caller holds w.mu.
func (w *stallWatch) spend(r attemptResult, errorResponse *response) {
	w.spent = append(w.spent, spentHedge{
		server: w.hedge.slot.Server.ID, mayHaveRun: r.mayHaveRun, overtaken: errors.Is(r.err, errOvertaken), serverError: errorResponse,
	})
	w.attemptServers = append(w.attemptServers, w.hedge.slot.Server.ID)
	w.call.logAttempt(w.hedge.slot, &r, "the first server is still waited for")
	if r.mayHaveRun {
		w.runsLeft--
		w.addTried(w.hedge.slot.Server.ID)
	}
	w.hedge = nil
}

// recordActivity stops the timeout, because the server has sent an event. A hedge that was
// begun because of its silence is discarded. It does nothing once a hedge has taken over.
func (w *stallWatch) recordActivity() {
	if w.pending != nil {
		w.pending.End()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer == nil || w.takenOver.Load() {
		return
	}
	w.timer.Stop()
	w.endSearch()
	w.silentSince = w.call.cfg.Clock.Now()
	if h := w.hedge; h != nil && h.reason == dispatch.Stalled {
		w.spend(attemptResult{outcome: dispatch.Cancelled, err: errOvertaken, mayHaveArrived: true, mayHaveRun: true}, nil)
		h.discard()
	}
}

// recordForwarded records what the client has of the response.
func (w *stallWatch) recordForwarded(lastEventID string, headerSent bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastEventID, w.headerSent = lastEventID, headerSent
}

// awaitNext restarts the timeout, because the client has got an event.
func (w *stallWatch) awaitNext() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer == nil || w.takenOver.Load() {
		return
	}
	w.arm(eventTimeout)
}

// arm makes the next call of onTimeout happen after d. It does nothing if the attempt must
// not be hedged. The caller holds w.mu.
func (w *stallWatch) arm(d time.Duration) {
	if w.timer != nil {
		w.dueAt = w.call.cfg.Clock.Now().Add(d)
		w.timer.Reset(d)
	}
}

// resetTimer is like arm, for callers that do not hold w.mu.
func (w *stallWatch) resetTimer(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.arm(d)
}

// stop ends the watch. It does not close the connection. The request goes on with the hedge
// in progress, if there is one. Only the goroutine of the call calls stop.
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
	c := w.call
	for _, s := range w.spent {
		c.attemptCount++
		c.attemptServers = append(c.attemptServers, s.server)
		c.keepError(s.serverError)
		if s.mayHaveRun {
			c.mayHaveRunAt[s.server] = true
			c.dispatchReq.TriedServers[s.server] = !s.overtaken
			c.dispatchReq.MaxRetryWait = retryWait
		}
	}
	w.spent = nil
	if w.hedge != nil {
		c.nextHedge = w.hedge
		w.hedge = nil
	}
}

// recalled reports whether the request has been recalled, because the weights of the server
// became outdated before it began the request.
func (w *stallWatch) recalled() bool { return w.pending != nil && w.pending.Recalled() }

// closedConn reports whether the watch has closed the connection, or is about to.
func (w *stallWatch) closedConn() bool { return w.recalled() || w.takenOver.Load() }

// markClosed returns r. If the watch has closed the connection, it first sets the outcome to
// [dispatch.Outdated], [dispatch.Stalled] or [dispatch.Moved].
func (w *stallWatch) markClosed(r attemptResult) attemptResult {
	switch {
	case w.recalled():
		r.outcome, r.err = dispatch.Outdated, errOutdated
	case w.takenOver.Load() && w.reason == dispatch.Moved:
		r.outcome, r.err = dispatch.Moved, errMoved
	case w.takenOver.Load():
		r.outcome, r.err = dispatch.Stalled, errStalled
	}
	return r
}
