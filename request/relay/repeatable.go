package relay

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/labstack/echo/v4"

	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/connection/registry"
	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/process/eventlog"
	"github.com/rattanway/rattanway/request/routing"
)

// repeatableCall is the state of a repeatable call, across all its attempts.
type repeatableCall struct {
	relay    *Relay
	call     *call
	response *callerResponse
	// tried holds the ids of the servers not to be tried again in this round,
	// and failed those of the servers at which an attempt failed.
	tried, failed map[string]bool
	// attempts counts all attempts, and refusals those that an agent refused;
	// switchVersion sets refusals back to 0.
	attempts, refusals int
	// mayHaveRun is true once an attempt has failed, unless the agent's Fail
	// frame reported "not-run".
	mayHaveRun bool
	// failedAt is the time of the last failed attempt.
	failedAt time.Time
	// versionSwitches counts how often the call was switched to another version.
	versionSwitches int
	// lastRefusal is the newest refusal by an agent; nil for none.
	lastRefusal *frame.Refuse
	// releaseRetry releases the retry that the current attempt holds in the
	// retry budget; it does nothing when there is none.
	releaseRetry func()
}

// serveRepeatable serves a repeatable call.
func (r *Relay) serveRepeatable(ctx context.Context, c echo.Context, call *call) error {
	rc := &repeatableCall{relay: r, call: call, tried: map[string]bool{}, failed: map[string]bool{}, releaseRetry: func() {}}
	rc.response = &callerResponse{
		w:               c.Response(),
		streamRequested: call.streamRequested,
		bufferLimit:     r.config.ResponseBufferBytes,
		beforeFirstByte: func() { observeFirstByte(r.clock.Since(call.arrivedAt)) },
	}
	defer func() { rc.releaseRetry() }()
	p, err := rc.run(ctx)
	switch {
	case err != nil:
		r.log.EventWithError(eventCallerGone, err, eventlog.Fields{"request": call.id, "tokens": rc.response.tokensSent})
		panic(http.ErrAbortHandler)
	case p == nil:
		incrementCounter(metricCallsCompleted)
		r.log.Event(eventCallCompleted, eventlog.Fields{
			"request": call.id, "attempts": rc.attempts, "tokens": rc.response.tokensSent,
			"millis": r.clock.Since(call.arrivedAt).Milliseconds(),
		})
		return nil
	case !rc.response.headerSent:
		return r.refuseCall(c, call.id, p)
	}
	p.RequestID = call.id
	p.Outcome = core.RefusalIncomplete
	incrementCounter(metricCallsAborted)
	r.log.Event(eventResponseAborted, eventlog.Fields{"request": call.id, "tokens": rc.response.tokensSent, "detail": p.Detail})
	rc.response.abort(p)
	return nil
}

// run makes attempts until the response is complete. It returns a Problem when
// no further attempt is possible, and an error when the caller disconnected.
func (rc *repeatableCall) run(ctx context.Context) (*Problem, error) {
	for {
		server, ok := rc.relay.picker.Pick(rc.call.routingQuery(rc.tried))
		if !ok && rc.startNextRound(ctx) {
			continue
		}
		if !ok {
			return rc.finalProblem("no backend server can take the call"), nil
		}
		rc.attempts++
		res := rc.runAttempt(ctx, server)
		rc.releaseRetry()
		rc.relay.recordAttempt(rc.call, server, res)
		if res.result == routing.ResultOK {
			return nil, nil
		}
		if res.result == routing.ResultCancelled {
			return nil, res.err
		}
		if p := rc.prepareNextAttempt(ctx, server, res); p != nil {
			return p, nil
		}
	}
}

// prepareNextAttempt prepares the attempt after one that was refused or failed.
// It returns a Problem when there is to be no further attempt.
func (rc *repeatableCall) prepareNextAttempt(ctx context.Context, server registry.Server, res attemptResult) *Problem {
	rc.tried[server.Instance.ID] = true
	if ctx.Err() != nil {
		return rc.finalProblem("the deadline has passed")
	}
	if res.refusal != nil {
		return rc.afterRefusal(ctx, res.refusal)
	}
	return rc.afterFailure(ctx, server, res)
}

// afterRefusal decides whether the call is offered to another server after a
// refusal by an agent. A call whose response has not begun is refused early, so
// that its caller can try elsewhere soon. The search is longer for a response
// that has begun and for a call within the fair share of its client account.
func (rc *repeatableCall) afterRefusal(ctx context.Context, refusal *frame.Refuse) *Problem {
	config := rc.relay.config
	rc.lastRefusal = refusal
	rc.refusals++
	if rc.response.headerSent {
		if rc.relay.picker.NoFreeSlot(rc.call.routingQuery(rc.tried)) && !rc.startNextRound(ctx) {
			return rc.finalProblem("no backend server goes on with the answer: " + string(refusal.Reason))
		}
		return nil
	}
	if refusal.Reason == frame.ReasonStaleConfig && rc.relay.pauseBeforeOffer(ctx, rc.call, config.StaleConfigTimeout) {
		clear(rc.tried)
		return nil
	}
	age := rc.relay.clock.Since(rc.call.arrivedAt)
	if rc.call.withinFairShare && age < config.FairShareMaxAge {
		if rc.refusals%config.MaxRefusals == 0 {
			clear(rc.tried)
		}
		return nil
	}
	pastRefuseAge := age >= config.RefuseAfter
	if rc.refusals >= config.MaxRefusals || pastRefuseAge && rc.relay.picker.NoFreeSlot(rc.call.routingQuery(rc.tried)) {
		if rc.switchVersion(ctx) {
			return nil
		}
		return rc.finalProblem("backend servers refused the call: " + string(refusal.Reason))
	}
	return nil
}

// switchVersion switches a refused call, if no part of it may have run, to
// another version of its model. The first switch happens at once; each further
// one follows a pause and is made only while the call is younger than
// FairShareMaxAge. It reports whether it switched the version.
func (rc *repeatableCall) switchVersion(ctx context.Context) bool {
	if rc.mayHaveRun || rc.call.service != "" {
		return false
	}
	currentDigest := rc.call.request.Digest
	otherDigest, ok := rc.relay.picker.AlternativeDigest(rc.call.request.Model, currentDigest)
	if !ok || rc.versionSwitches > 0 && !rc.relay.pauseBeforeOffer(ctx, rc.call, rc.relay.config.FairShareMaxAge) {
		return false
	}
	rc.versionSwitches++
	rc.call.request.Digest = otherDigest
	rc.refusals = 0
	clear(rc.tried)
	rc.relay.log.Event(eventCallOtherVersion, eventlog.Fields{
		"request": rc.call.id, "from": currentDigest.Short(), "to": otherDigest.Short(), "refused": rc.lastRefusal.Reason,
	})
	return true
}

// pauseBeforeOffer waits for RetryPause before a call is offered again, for
// example until agents have received the newest configuration. It returns false
// without waiting when the call has reached maxAge, and false when ctx ends.
func (r *Relay) pauseBeforeOffer(ctx context.Context, c *call, maxAge time.Duration) bool {
	if r.clock.Since(c.arrivedAt) >= maxAge {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-r.clock.After(r.config.RetryPause):
		return true
	}
}

// startNextRound waits for RetryPause and makes the servers that refused the
// call eligible again; in the second half of ResumeTimeout also those that
// failed. It returns false when the response has not begun, when ResumeTimeout
// has passed since the last failure, or when ctx ends.
func (rc *repeatableCall) startNextRound(ctx context.Context) bool {
	config := rc.relay.config
	if !rc.response.headerSent || rc.relay.clock.Since(rc.failedAt) >= config.ResumeTimeout {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-rc.relay.clock.After(config.RetryPause):
	}
	clear(rc.tried)
	if rc.relay.clock.Since(rc.failedAt) < config.ResumeTimeout/2 {
		maps.Copy(rc.tried, rc.failed)
	}
	return true
}

// afterFailure decides whether the call is retried or resumed after a failed
// attempt. It returns a Problem when the call is neither.
func (rc *repeatableCall) afterFailure(ctx context.Context, server registry.Server, res attemptResult) *Problem {
	config := rc.relay.config
	rc.failedAt = rc.relay.clock.Now()
	rc.failed[server.Instance.ID] = true
	rc.mayHaveRun = rc.mayHaveRun || res.failOutcome != core.RefusalNotRun
	if rc.attempts-rc.refusals >= config.MaxAttempts {
		return rc.finalProblem("every attempt failed")
	}
	if rc.response.headerSent && !rc.response.isEventStream() {
		return rc.finalProblem("the answer broke off")
	}
	ctx, cancel := context.WithTimeout(ctx, config.RetryBudgetTimeout)
	defer cancel()
	releaseRetry, ok := rc.relay.retryBudget.acquire(ctx)
	if !ok {
		incrementCounter(metricRetryBudgetSpent)
		rc.relay.log.Event(eventRetryBudgetSpent, eventlog.Fields{"request": rc.call.id})
		return rc.finalProblem("the attempt failed and the retry budget is spent")
	}
	rc.releaseRetry = releaseRetry
	incrementCounter(metricRetries)
	rc.relay.log.Event(eventCallRetried, eventlog.Fields{
		"request": rc.call.id, "after": server.Instance.ID, "tokens": rc.response.tokensSent,
	})
	return nil
}

// finalProblem returns the Problem for the call as a whole. Its outcome is
// "unknown" if any attempt may have run, and "not-run" otherwise.
func (rc *repeatableCall) finalProblem(detail string) *Problem {
	retryAfter := rc.relay.config.RetryAfter
	if rc.lastRefusal != nil && rc.lastRefusal.RetryAfterMillis > 0 {
		retryAfter = time.Duration(rc.lastRefusal.RetryAfterMillis) * time.Millisecond
	}
	if rc.mayHaveRun {
		return newProblem(http.StatusBadGateway, core.RefusalUnknown, detail).withRetryAfter(retryAfter)
	}
	return newProblem(http.StatusServiceUnavailable, core.RefusalNotRun, detail).withRetryAfter(retryAfter)
}

// runAttempt makes one attempt to run the call at server.
func (rc *repeatableCall) runAttempt(ctx context.Context, server registry.Server) attemptResult {
	config := rc.relay.config
	firstTimeout, nextTimeout := config.ResponseIdleTimeout, config.ResponseIdleTimeout
	if rc.call.streamRequested {
		firstTimeout, nextTimeout = config.FirstTokenTimeout, config.StallTimeout
	}
	attemptCtx, monitored := rc.relay.stallMonitor.add(ctx, server.Instance.ID, firstTimeout, nextTimeout)
	defer rc.relay.stallMonitor.remove(monitored)
	reader := &responseReader{
		id:         rc.call.id,
		digest:     rc.call.request.Digest,
		onProgress: monitored.recordProgress,
		onHead:     rc.handleHead,
		onData:     rc.handleData,
	}
	req := rc.call.attemptRequest(ctx, rc.response.tokensSent)
	x, err := rc.relay.opener.Open(ctx, server.Instance, rc.call.id, frame.KindRequest, req)
	if err != nil {
		return rc.classifyFailure(ctx, failedAttempt(err))
	}
	res := reader.read(attemptCtx, x)
	res.closeExchange(x)
	if res.result == routing.ResultOK {
		if err := rc.response.finish(); err != nil {
			return rc.classifyFailure(ctx, failedAttempt(callerWriteError{err}))
		}
	}
	return rc.classifyFailure(ctx, res)
}

// handleHead processes the Head frame of an attempt. Statuses 502, 503 and 504
// fail the attempt, so that the call is retried.
func (rc *repeatableCall) handleHead(head frame.Head) error {
	if head.Status == http.StatusServiceUnavailable || head.Status == http.StatusBadGateway || head.Status == http.StatusGatewayTimeout {
		return fmt.Errorf("%w: status %d", errOverloaded, head.Status)
	}
	if rc.response.headerSent && head.Status != rc.response.head.Status {
		return fmt.Errorf("%w: status %d of the resumed response", errResponseFailed, head.Status)
	}
	rc.response.beginAttempt(head)
	return nil
}

// handleData processes a chunk of the body and releases the retry, because the
// budget counts a retry only until its first byte.
func (rc *repeatableCall) handleData(data frame.Data) error {
	rc.releaseRetry()
	if err := rc.response.write(data); err != nil {
		return callerWriteError{err}
	}
	return nil
}

// classifyFailure changes a failed result to cancelled when the caller
// disconnected, so that routing does not count it as a failure of the server.
func (rc *repeatableCall) classifyFailure(ctx context.Context, res attemptResult) attemptResult {
	if res.result != routing.ResultFailed {
		return res
	}
	var writeErr callerWriteError
	if errors.As(res.err, &writeErr) || errors.Is(ctx.Err(), context.Canceled) {
		res.result = routing.ResultCancelled
	}
	return res
}
