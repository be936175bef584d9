package forward

import (
	"context"
	"maps"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/rattanway/rattanway/process/eventlog"
	"github.com/rattanway/rattanway/request/dispatch"
	"github.com/rattanway/rattanway/version/catalog"
)

// run makes attempts at servers until a complete response has been forwarded or
// no further attempt is allowed.
func (c *call) run(ctx context.Context) {
	c.cfg.Scheduler.CountRequest(c.dispatchReq.Service)
	defer c.discardUnusedHedge()
	for {
		slot, hedge, err := c.acquireSlot(ctx)
		if err != nil {
			c.giveUp(ctx, err)
			return
		}
		result := c.makeAttempt(ctx, slot, hedge)
		if result.mayHaveRun {
			c.mayHaveRunAt[slot.Server.ID] = true
		}
		c.cfg.Scheduler.Release(slot, result.outcome)
		c.recordEffect(slot.Server, &result)
		if result.outcome == dispatch.Served {
			c.recordAnswered(slot, &result)
			return
		}
		// A stream that has begun has no other way on but a server that is full for a
		// moment, if the others load weights.
		hasNoSlot := result.outcome == dispatch.Full || result.outcome == dispatch.Paused
		if !hasNoSlot || result.mayHaveRun || !c.headerSent {
			c.dispatchReq.TriedServers[slot.Server.ID] = true
		}
		if result.mayHaveRun {
			c.dispatchReq.MaxRetryWait = retryWait
			if c.headerSent {
				c.dispatchReq.MaxRetryWait = streamRetryWait(c.route, c.lastWriteAt, c.cfg.Clock.Now())
			}
		}
		if err := c.decideRetry(ctx, slot, &result); err != nil {
			c.giveUp(ctx, err)
			return
		}
	}
}

// streamRetryWait returns how long a stream that has begun may wait for a slot at another
// server from now on: as long as its client waits for the next event, the last of which was
// written at lastEventAt.
func streamRetryWait(route *catalog.Route, lastEventAt, now time.Time) time.Duration {
	patience := max(minStreamPatience, objectivePatience*route.FirstByteObjective, gapPatience*route.EventGapObjective)
	return max(retryWait, lastEventAt.Add(patience-streamRestartTime).Sub(now))
}

// acquireSlot acquires a slot for the next attempt. If the request goes on with a hedge, it
// returns this and its slot.
func (c *call) acquireSlot(ctx context.Context) (dispatch.Slot, *hedge, error) {
	if h := c.nextHedge; h != nil {
		c.nextHedge = nil
		return h.slot, h, nil
	}
	slot, err := c.cfg.Scheduler.Acquire(ctx, &c.dispatchReq)
	return slot, nil, err
}

// discardUnusedHedge discards the hedge with which the request was to go on, if the request
// ended before that, for example because the client left.
func (c *call) discardUnusedHedge() {
	if c.nextHedge != nil {
		c.nextHedge.discard()
	}
}

// recordAnswered logs and counts a request with a complete response.
func (c *call) recordAnswered(slot dispatch.Slot, r *attemptResult) {
	now := c.cfg.Clock.Now()
	c.stats.answered.Inc(1)
	wasWhole := c.attemptCount == 1 && c.httpReq.Header.Get(c.cfg.Headers.LastEventID) == ""
	if wasWhole && r.status < http.StatusMultipleChoices {
		c.durations.record(c.route.Name, now.Sub(r.sentAt))
	}
	c.stats.lastByte.Update(now.Sub(c.dispatchReq.ArrivedAt))
	f := eventlog.Fields{"running": slot.RunningCount, "version": slot.Version, "remote": slot.Remote}
	if !r.begunAt.IsZero() {
		f["beginMs"] = r.begunAt.Sub(r.sentAt).Milliseconds()
	}
	if !c.firstByteAt.IsZero() {
		c.stats.firstByte.Update(c.firstByteAt.Sub(c.dispatchReq.ArrivedAt))
		f["firstMs"] = c.firstByteAt.Sub(c.dispatchReq.ArrivedAt).Milliseconds()
	}
	c.logEvent(eventAnswered, f)
}

// decideRetry returns nil if the request is to be sent again, and otherwise the
// reason why not. It is called after an attempt whose outcome is not
// [dispatch.Served], and logs the attempt and this decision.
func (c *call) decideRetry(ctx context.Context, slot dispatch.Slot, r *attemptResult) error {
	err := c.checkRetry(ctx, r)
	follows := "sent again"
	switch {
	case err != nil:
		follows = err.Error()
	case c.nextHedge != nil:
		follows = "goes on with a hedge"
	}
	c.logAttempt(slot, r, follows)
	return err
}

// logAttempt logs an attempt that has not served the request, and what follows.
func (c *call) logAttempt(slot dispatch.Slot, r *attemptResult, follows string) {
	cause := ""
	if r.err != nil {
		cause = r.err.Error()
	}
	begunMs := int64(-1)
	if !r.begunAt.IsZero() {
		begunMs = c.cfg.Clock.Now().Sub(r.begunAt).Milliseconds()
	}
	c.logEvent(eventAttemptFailed, eventlog.Fields{
		"parts": clipParts(c.dispatchReq.PromptParts), "begunMs": begunMs,
		"server": slot.Server.ID, "addr": slot.Server.Addr, "outcome": r.outcome.String(), "mayHaveRun": r.mayHaveRun,
		"cause": cause, "status": r.status, "follows": follows, "version": slot.Version, "running": slot.RunningCount,
	})
}

// checkRetry returns nil if the request may be sent again after an attempt with
// result r, and otherwise the reason why not. If the request may have arrived at
// the server, the next attempt is a retry: checkRetry counts it in the retry
// budget, unless r.retryCounted is set.
func (c *call) checkRetry(ctx context.Context, r *attemptResult) error {
	switch {
	case ctx.Err() != nil:
		return ctx.Err()
	case errors.Is(r.err, errStopping), errors.Is(r.err, errNoTime):
		return r.err
	case r.outcome == dispatch.Cancelled:
		return errors.Wrap(errNoRetry, "ended")
	case c.nextHedge != nil:
		return nil // the request has been sent again already
	case c.timeLeft(c.cfg.Clock.Now()) < minRetryTime:
		return errors.Wrap(errNoRetry, "no time left")
	case c.attemptCount >= maxAttempts:
		return errors.Wrap(errNoRetry, "sent often enough")
	case r.mayHaveRun && !c.route.Repeatable():
		return errors.Wrap(errNoRetry, "may not be repeated")
	case !c.hasServerLeft():
		return errors.Wrap(errNoRetry, "no server left to try")
	case r.retryCounted:
		return nil
	case r.mayHaveArrived && !c.cfg.Scheduler.TakeRetry(c.dispatchReq.Service):
		return dispatch.ErrRetryBudget
	}
	return nil
}

// hasServerLeft reports whether a server may get the request after those that may have run it:
// a further one, or one whose hedge was overtaken. In the latter case only such a server may.
func (c *call) hasServerLeft() bool {
	if len(c.mayHaveRunAt) < c.route.MaxServers {
		return true
	}
	c.dispatchReq.OnlyServers = maps.Clone(c.mayHaveRunAt)
	for id := range c.mayHaveRunAt {
		if !c.dispatchReq.TriedServers[id] {
			return true
		}
	}
	return false
}

// giveUp ends a request for which no complete response was forwarded. If the
// client has left or the response has begun, it aborts the client connection.
// Otherwise it sends c.serverError or, if this is nil, an error response.
func (c *call) giveUp(ctx context.Context, cause error) {
	if c.nextHedge != nil {
		c.mayHaveRunAt[c.nextHedge.slot.Server.ID] = true
	}
	if c.clientGone || c.httpReq.Context().Err() != nil {
		c.stats.clientLeft.Inc(1)
		c.logEvent(eventClientLeft, eventlog.Fields{"reason": "client closed the connection"})
		c.breakOff()
	}
	if c.headerSent {
		c.stats.failed.Inc(1)
		c.logEvent(eventFailed, eventlog.Fields{"reason": "stream broken off: " + cause.Error(), "lastEvent": c.lastEventID})
		c.breakOff()
	}
	if c.serverError != nil {
		if err := c.writeResponse(c.serverError); err != nil {
			panic(http.ErrAbortHandler)
		}
		c.logEvent(eventAnswered, eventlog.Fields{"status": c.serverError.status, "reason": cause.Error()})
		return
	}
	late := ctx.Err() != nil || errors.Is(cause, errNoTime)
	switch {
	case len(c.mayHaveRunAt) == 0 && (c.ended() || errors.Is(cause, errStopping)):
		c.refuse(c.refusalOfStop())
	case c.ended():
		c.fail(http.StatusGatewayTimeout, "no answer before the instance stops")
	case len(c.mayHaveRunAt) == 0 && late:
		c.refuse(&refusal{status: http.StatusServiceUnavailable, reason: "no place before the deadline"})
	case len(c.mayHaveRunAt) == 0:
		c.refuse(&refusal{http.StatusServiceUnavailable, cause.Error(), c.cfg.Scheduler.RetryAfter(&c.dispatchReq, c.slotError(cause))})
	case late:
		c.fail(http.StatusGatewayTimeout, "no answer before the deadline")
	default:
		c.fail(http.StatusBadGateway, cause.Error())
	}
}

// breakOff ends the client connection in a way that shows that the response is not
// complete. It does not return. The missing last chunk shows that. A client of HTTP/1.0
// gets no chunks, so its connection is reset.
func (c *call) breakOff() {
	if c.headerSent && !c.httpReq.ProtoAtLeast(1, 1) {
		if conn, _, err := http.NewResponseController(c.w).Hijack(); err == nil {
			if tcp, ok := conn.(interface{ SetLinger(sec int) error }); ok {
				// If this fails, the connection has ended already.
				_ = tcp.SetLinger(0)
			}
			_ = conn.Close()
		}
	}
	panic(http.ErrAbortHandler)
}

// slotError returns the error that determines the Retry-After value. If a server
// was tried, there are servers that can run the request, so the error is
// [dispatch.ErrFull]. Otherwise it is cause.
func (c *call) slotError(cause error) error {
	if len(c.dispatchReq.TriedServers) > 0 && !errors.Is(cause, dispatch.ErrQuarantined) {
		return dispatch.ErrFull
	}
	return cause
}

// fail sends an error response to a request that may have run, and counts and
// logs it.
func (c *call) fail(status int, reason string) {
	c.w.Header().Set(c.cfg.Headers.RequestID, c.requestID)
	http.Error(c.w, reason, status)
	c.stats.failed.Inc(1)
	c.logEvent(eventFailed, eventlog.Fields{"status": status, "reason": reason})
}
