package relay

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"strings"
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
	// tried holds the ids of the servers not to be tried again in this round of
	// the search for a server (see startNextRound).
	// failed holds the ids of the servers at which an attempt failed.
	tried, failed map[string]bool
	// attemptCount counts all attempts.
	// refusalsSinceSwitch counts the attempts that an agent refused since
	// switchVersion last switched the version.
	attemptCount, refusalsSinceSwitch int
	// mayHaveRun is true once an attempt has failed, unless the agent's Fail
	// frame reported "not-run".
	mayHaveRun bool
	// lastFailedAt is the time of the last failed attempt.
	lastFailedAt time.Time
	// versionSwitchCount counts how often the call was switched to another version.
	versionSwitchCount int
	// lastRefusal is the newest refusal by an agent; nil if there was no
	// refusal.
	lastRefusal *frame.Refuse
	// releaseRetry removes the current attempt from the count of the retry
	// budget. It does nothing if the attempt is not a retry.
	releaseRetry func()
}

// serveRepeatable serves a repeatable call: it sends the complete response, or
// refuses the call, or aborts a response that has begun.
func (r *Relay) serveRepeatable(ctx context.Context, c echo.Context, call *call) error {
	rc := &repeatableCall{relay: r, call: call, tried: map[string]bool{}, failed: map[string]bool{}, releaseRetry: func() {}}
	rc.response = &callerResponse{
		w:                c.Response(),
		streamRequested:  call.streamRequested,
		maxBufferedBytes: r.config.ResponseBufferBytes,
		beforeFirstByte:  func() { observeFirstByte(r.clock.Since(call.arrivedAt)) },
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
			"request": call.id, "attempts": rc.attemptCount, "tokens": rc.response.tokensSent,
			"millis": r.clock.Since(call.arrivedAt).Milliseconds(),
		})
		return nil
	case !rc.response.headerSent:
		return r.refuseCall(c, call.id, p)
	}
	p.RequestID = call.id
	p.Outcome = core.OutcomeIncomplete
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
		rc.attemptCount++
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

// prepareNextAttempt prepares the next attempt after res, the result of a
// refused or failed attempt at server. It returns nil, or a Problem for the
// caller when there is to be no further attempt.
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
// refusal by an agent. It returns nil if so, and otherwise a Problem for the
// caller. A call whose response has not begun is refused early, so that its caller
// can try elsewhere soon. The search for a server is longer for a response that
// has begun and for a call within the fair share of its client account.
func (rc *repeatableCall) afterRefusal(ctx context.Context, refusal *frame.Refuse) *Problem {
	config := rc.relay.config
	rc.lastRefusal = refusal
	rc.refusalsSinceSwitch++
	if rc.response.headerSent {
		if rc.relay.picker.NoFreeSlot(rc.call.routingQuery(rc.tried)) && !rc.startNextRound(ctx) {
			return rc.finalProblem("no backend server goes on with the answer: " + string(refusal.Reason))
		}
		return nil
	}
	if refusal.Reason == frame.ReasonStaleConfig && rc.relay.pauseBeforeOffer(ctx, rc.call, config.StaleConfigMaxAge) {
		clear(rc.tried)
		return nil
	}
	age := rc.relay.clock.Since(rc.call.arrivedAt)
	if rc.call.withinFairShare && age < config.FairShareMaxAge {
		if rc.refusalsSinceSwitch%config.MaxRefusals == 0 {
			clear(rc.tried)
		}
		return nil
	}
	pastRefuseAge := age >= config.RefuseAfter
	if rc.refusalsSinceSwitch >= config.MaxRefusals || pastRefuseAge && rc.relay.picker.NoFreeSlot(rc.call.routingQuery(rc.tried)) {
		if rc.switchVersion(ctx) {
			return nil
		}
		return rc.finalProblem("backend servers refused the call: " + string(refusal.Reason))
	}
	return nil
}

// switchVersion switches a refused call to another version of its model. It
// returns false, and does not switch the version, if any part of the call may
// have run. The first switch happens at once. Each further switch follows a
// pause, and is made only while the call is younger than FairShareMaxAge.
func (rc *repeatableCall) switchVersion(ctx context.Context) bool {
	if rc.mayHaveRun || rc.call.service != "" { // plain services have no versions
		return false
	}
	currentDigest := rc.call.request.Digest
	otherDigest, ok := rc.relay.picker.AlternativeDigest(rc.call.request.Model, currentDigest)
	if !ok || rc.versionSwitchCount > 0 && !rc.relay.pauseBeforeOffer(ctx, rc.call, rc.relay.config.FairShareMaxAge) {
		return false
	}
	rc.versionSwitchCount++
	rc.call.request.Digest = otherDigest
	rc.refusalsSinceSwitch = 0
	clear(rc.tried)
	rc.relay.log.Event(eventCallOtherVersion, eventlog.Fields{
		"request": rc.call.id, "from": currentDigest.Short(), "to": otherDigest.Short(), "refused": rc.lastRefusal.Reason,
	})
	return true
}

// pauseBeforeOffer waits for RetryPause before a call is offered again, for
// example so that agents can receive the newest configuration. It returns false
// when ctx ends meanwhile, and returns false without waiting when the call has
// reached maxAge.
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

// startNextRound starts the next round of the search for a server that resumes the
// response. It waits for RetryPause and makes the servers that refused the call
// eligible again. Once half of ResumeTimeout has passed since the last failure, it
// does the same for the servers at which an attempt failed. It returns false when
// the response has not begun, when ResumeTimeout has passed since the last
// failure, or when ctx ends.
func (rc *repeatableCall) startNextRound(ctx context.Context) bool {
	config := rc.relay.config
	if !rc.response.headerSent || rc.relay.clock.Since(rc.lastFailedAt) >= config.ResumeTimeout {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-rc.relay.clock.After(config.RetryPause):
	}
	clear(rc.tried)
	if rc.relay.clock.Since(rc.lastFailedAt) < config.ResumeTimeout/2 {
		maps.Copy(rc.tried, rc.failed)
	}
	return true
}

// afterFailure decides whether the call is retried, or its response resumed, after
// a failed attempt. It returns nil if so, and otherwise a Problem for the caller.
func (rc *repeatableCall) afterFailure(ctx context.Context, server registry.Server, res attemptResult) *Problem {
	config := rc.relay.config
	rc.lastFailedAt = rc.relay.clock.Now()
	rc.failed[server.Instance.ID] = true
	rc.mayHaveRun = rc.mayHaveRun || res.failOutcome != core.OutcomeNotRun
	if rc.attemptCount-rc.refusalsSinceSwitch >= config.MaxAttempts {
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

// finalProblem returns the Problem with which the call ends. The outcome of the
// Problem is "unknown" if any attempt may have run, and "not-run" otherwise.
func (rc *repeatableCall) finalProblem(detail string) *Problem {
	retryAfter := rc.relay.config.RetryAfter
	if rc.lastRefusal != nil && rc.lastRefusal.RetryAfterMillis > 0 {
		retryAfter = time.Duration(rc.lastRefusal.RetryAfterMillis) * time.Millisecond
	}
	if rc.mayHaveRun {
		return newProblem(http.StatusBadGateway, core.OutcomeUnknown, detail).withRetryAfter(retryAfter)
	}
	return newProblem(http.StatusServiceUnavailable, core.OutcomeNotRun, detail).withRetryAfter(retryAfter)
}

// runAttempt makes one attempt to run the call on server.
func (rc *repeatableCall) runAttempt(ctx context.Context, server registry.Server) attemptResult {
	config := rc.relay.config
	firstIdleLimit, laterIdleLimit := config.ResponseIdleTimeout, config.ResponseIdleTimeout
	if rc.call.streamRequested {
		firstIdleLimit, laterIdleLimit = config.FirstTokenTimeout, config.StallTimeout
	}
	attemptCtx, monitored := rc.relay.stallMonitor.add(ctx, server.Instance.ID, firstIdleLimit, laterIdleLimit)
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
		return rc.cancelledIfCallerGone(ctx, failedAttempt(err))
	}
	res := reader.read(attemptCtx, x)
	res.closeExchange(x)
	if res.result == routing.ResultOK {
		if err := rc.response.finish(); err != nil {
			return rc.cancelledIfCallerGone(ctx, failedAttempt(callerWriteError{err}))
		}
	}
	return rc.cancelledIfCallerGone(ctx, res)
}

// handleHead processes the Head frame of an attempt. Statuses 502, 503 and 504
// fail the attempt, so that the call may be retried. A status or a Content-Type that
// differs from the one already sent to the caller fails the attempt too.
func (rc *repeatableCall) handleHead(head frame.Head) error {
	if head.Status == http.StatusServiceUnavailable || head.Status == http.StatusBadGateway || head.Status == http.StatusGatewayTimeout {
		return fmt.Errorf("%w: status %d", errServerStatus, head.Status)
	}
	if rc.response.headerSent && head.Status != rc.response.head.Status {
		return fmt.Errorf("%w: status %d of the resumed response", errResponseFailed, head.Status)
	}
	if rc.response.headerSent && mediaType(head) != mediaType(rc.response.head) {
		return fmt.Errorf("%w: Content-Type %.64q of the resumed response", errResponseFailed, mediaType(head))
	}
	rc.response.beginAttempt(head)
	return nil
}

// mediaType returns the Content-Type in a Head frame, without parameters.
func mediaType(head frame.Head) string {
	media, _, _ := strings.Cut(http.Header(head.Header).Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(media))
}

// handleData writes a chunk of the body to the response. It also releases the
// retry, because the retry budget counts a retry only until its first byte.
func (rc *repeatableCall) handleData(data frame.Data) error {
	rc.releaseRetry()
	if err := rc.response.write(data); err != nil {
		return callerWriteError{err}
	}
	return nil
}

// cancelledIfCallerGone changes a failed result to cancelled when the caller has
// disconnected, so that routing does not count a failure of the server. It returns
// other results unchanged.
func (rc *repeatableCall) cancelledIfCallerGone(ctx context.Context, res attemptResult) attemptResult {
	if res.result != routing.ResultFailed {
		return res
	}
	var writeErr callerWriteError
	if errors.As(res.err, &writeErr) || errors.Is(ctx.Err(), context.Canceled) {
		res.result = routing.ResultCancelled
	}
	return res
}
