package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/labstack/echo/v4"

	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/connection/registry"
	"github.com/rattanway/rattanway/connection/work"
	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/process/eventlog"
	"github.com/rattanway/rattanway/request/once"
	"github.com/rattanway/rattanway/request/routing"
)

// errHoldExpired is returned when the agent no longer holds the slot for the
// call, because the hold time has passed. The agent may have given the slot to
// another call.
var errHoldExpired = errors.New("the held slot has expired")

// errResponseTooLarge is returned when the response to a once-only call exceeds
// MaxResponseBytes.
var errResponseTooLarge = errors.New("response is too large")

// serveOnce serves a once-only call: it sends the complete response, or refuses
// the call.
func (r *Relay) serveOnce(ctx context.Context, c echo.Context, call *call) error {
	outcome, p := r.resolveOutcome(ctx, call)
	if p == nil {
		// A record or an agent of an earlier release may hold such an outcome.
		if err := core.CheckFinalStatus(outcome.Status); err != nil {
			p = newProblem(http.StatusBadGateway, core.OutcomeUnknown, "the server's response: "+err.Error())
		}
	}
	if p != nil {
		return r.refuseCall(c, call.id, p)
	}
	resp := &callerResponse{
		w:               c.Response(),
		beforeFirstByte: func() { observeFirstByte(r.clock.Since(call.arrivedAt)) },
		head:            frame.Head{Status: outcome.Status, Header: outcome.Header},
		buffered:        outcome.Body,
	}
	if err := resp.finish(); err != nil {
		r.log.EventWithError(eventCallerGone, err, eventlog.Fields{"request": call.id})
		panic(http.ErrAbortHandler)
	}
	incrementCounter(metricCallsCompleted)
	r.log.Event(eventCallCompleted, eventlog.Fields{
		"request": call.id, "millis": r.clock.Since(call.arrivedAt).Milliseconds(),
	})
	return nil
}

// resolveOutcome returns the recorded outcome of the call. If there is no
// recorded outcome, it runs the call and returns the new outcome, or the
// Problem to send to the caller.
func (r *Relay) resolveOutcome(ctx context.Context, call *call) (*once.Outcome, *Problem) {
	if call.idempotencyKey == "" {
		runOutcome, p, _ := r.offerToServers(ctx, call, nil)
		return runOutcome, p
	}
	if r.onceRecords == nil {
		return nil, newProblem(http.StatusServiceUnavailable, core.OutcomeNotRun, once.ErrTableUnavailable.Error())
	}
	keyed := &keyedCall{Call: once.Call{
		RequestID:     call.id,
		Account:       call.account.Name,
		Service:       call.service,
		Key:           call.idempotencyKey,
		RequestDigest: once.RequestDigest(call.request.Method, call.request.Path, call.request.Body),
	}}
	for {
		outcome, next, err := r.onceRecords.Resolve(ctx, keyed.Call, r.queryAttempt)
		if err != nil {
			return nil, r.problemFromResolveError(err)
		}
		if outcome != nil {
			return outcome, nil
		}
		keyed.nextAttempt = next
		keyed.claim = nil
		runOutcome, p, err := r.offerToServers(ctx, call, keyed)
		if errors.Is(err, once.ErrAlreadyClaimed) {
			continue
		}
		if p != nil && p.Outcome == core.OutcomeNotRun && r.onceRecords.ChangedSince(ctx, keyed.Call, next, keyed.claim) {
			continue
		}
		return runOutcome, p
	}
}

// keyedCall is one submission of a once-only call with an Idempotency-Key. The
// caller may submit the call several times with the same key.
type keyedCall struct {
	once.Call
	// nextAttempt is the attempt that this submission may claim next.
	nextAttempt once.NextAttempt
	// claim is the claim of nextAttempt; nil until this submission has claimed the
	// attempt.
	claim *once.Claim
}

// problemFromResolveError returns the Problem for an error of
// once.RecordStore.Resolve. When the record cannot be read, the outcome is
// "unknown" instead of "not-run", because an earlier submission with the same key
// may have run.
func (r *Relay) problemFromResolveError(err error) *Problem {
	if errors.Is(err, once.ErrKeyReused) {
		return newProblem(http.StatusUnprocessableEntity, core.OutcomeNotRun, once.ErrKeyReused.Error())
	}
	status, detail := http.StatusBadGateway, once.ErrOutcomeUnknown.Error()
	if errors.Is(err, once.ErrTableUnavailable) {
		status, detail = http.StatusServiceUnavailable, once.ErrTableUnavailable.Error()
	}
	return newProblem(status, core.OutcomeUnknown, detail).withRetryAfter(r.config.RetryAfter)
}

// offerToServers offers the call to one server after another until an agent
// admits the call, and runs the call there. keyed is nil for calls without an
// Idempotency-Key. The error is once.ErrAlreadyClaimed when another submission
// has claimed keyed.nextAttempt first, and nil otherwise.
func (r *Relay) offerToServers(ctx context.Context, call *call, keyed *keyedCall) (*once.Outcome, *Problem, error) {
	tried := map[string]bool{}
	retryAfter := r.config.RetryAfter
	detail := "no backend server can take the call"
	for len(tried) < r.config.MaxAttempts {
		server, ok := r.picker.Pick(call.routingQuery(tried))
		if !ok {
			break
		}
		tried[server.Instance.ID] = true
		attempt := &onceAttempt{relay: r, call: call, keyed: keyed, server: server}
		outcome, p, err := attempt.run(ctx)
		if outcome != nil || p != nil || errors.Is(err, once.ErrAlreadyClaimed) {
			return outcome, p, err
		}
		detail = attempt.notRunDetail(err)
		if attempt.retryAfter > 0 {
			retryAfter = attempt.retryAfter
		}
		if attempt.refusalReason == frame.ReasonStaleConfig && r.pauseBeforeOffer(ctx, call, r.config.StaleConfigMaxAge) {
			clear(tried)
		}
		if ctx.Err() != nil || errors.Is(err, once.ErrTableUnavailable) {
			break
		}
	}
	return nil, newProblem(http.StatusServiceUnavailable, core.OutcomeNotRun, detail).withRetryAfter(retryAfter), nil
}

// queryAttempt sends an attempt query to an agent and returns the response. An
// attempt that has not started when the agent receives the query never starts.
// once.RecordStore.Resolve calls this function.
func (r *Relay) queryAttempt(ctx context.Context, agent core.Instance, key string, attempt int) (frame.AttemptStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, r.config.AttemptQueryTimeout)
	defer cancel()
	id := key
	x, err := r.opener.Open(ctx, agent, id, frame.KindAttemptQuery, frame.AttemptQuery{ID: id, Key: key, AttemptNumber: attempt})
	if err != nil {
		return frame.AttemptStatus{}, err
	}
	msg, err := receiveWithTimeout(ctx, x, id, r.config.AttemptQueryTimeout)
	status, ok := msg.(*frame.AttemptStatus)
	x.Close(ok)
	if ok {
		return withForwardedHeader(*status), nil
	}
	if err == nil {
		err = errUnexpectedFrame
	}
	return frame.AttemptStatus{}, core.WrapStep("ask", agent.ID, err)
}

// withForwardedHeader returns a copy of status whose outcome has only the header
// fields that are forwarded to callers. The record does not have the other fields
// either, so the caller gets the same response from the agent's copy of the
// outcome and from the record.
func withForwardedHeader(status frame.AttemptStatus) frame.AttemptStatus {
	if status.Outcome == nil {
		return status
	}
	outcome := *status.Outcome
	outcome.Header = forwardedHeader(outcome.Header)
	status.Outcome = &outcome
	return status
}

// onceAttempt is one attempt to run a once-only call on one server.
type onceAttempt struct {
	relay *Relay
	call  *call
	// keyed is nil for calls without an Idempotency-Key.
	keyed  *keyedCall
	server registry.Server
	// retryAfter is the time that the agent suggested when it refused the call;
	// 0 for none.
	retryAfter time.Duration
	// refusalReason is the agent's reason for not admitting the call; "" for none.
	refusalReason frame.Reason
}

// run offers the call to the agent, and runs the call if the agent admits it.
// If it returns only an error, the call did not run and may be offered to
// another server, unless the error is once.ErrAlreadyClaimed.
func (oa *onceAttempt) run(ctx context.Context) (*once.Outcome, *Problem, error) {
	x, admitted, res := oa.offer(ctx)
	if res.result != routing.ResultOK {
		oa.relay.recordAttempt(oa.call, oa.server, res)
		return nil, nil, res.err
	}
	if err := oa.claimAndCheckHold(ctx, admitted); err != nil {
		x.Close(false)
		oa.relay.recordAttempt(oa.call, oa.server, attemptResult{result: routing.ResultCancelled, err: err})
		return nil, nil, err
	}
	// From here on the call may run, so the attempt continues even if the caller
	// disconnects.
	ctx, cancel := oa.detachFromCaller(ctx)
	defer cancel()
	outcome, res := oa.runAdmitted(ctx, x)
	res.closeExchange(x)
	oa.relay.recordAttempt(oa.call, oa.server, res)
	return oa.conclude(ctx, outcome, res)
}

// notRunDetail returns the text that gives the caller the reason why the call was
// not run. The text does not contain err itself, which names peers and rows that
// only the log may show.
func (oa *onceAttempt) notRunDetail(err error) string {
	switch {
	case oa.refusalReason != "":
		return "backend servers refused the call: " + string(oa.refusalReason)
	case errors.Is(err, once.ErrTableUnavailable):
		return once.ErrTableUnavailable.Error()
	}
	return "the call was not run: no backend server could be reached in time"
}

// admittedOffer is an agent's Admit frame and the time at which the call was
// offered.
type admittedOffer struct {
	frame.Admit
	offeredAt time.Time
}

// offer offers the call to the agent and waits until the agent admits or
// refuses the call. The exchange is open only if the agent admitted the call.
func (oa *onceAttempt) offer(ctx context.Context) (work.Exchange, admittedOffer, attemptResult) {
	req := oa.call.attemptRequest(ctx, 0)
	if oa.keyed != nil {
		req.Key = oa.keyed.RowKey()
		req.AttemptNumber = oa.keyed.nextAttempt.Attempt
	}
	offeredAt := oa.relay.clock.Now()
	x, err := oa.relay.opener.Open(ctx, oa.server.Instance, oa.call.id, frame.KindOffer, req)
	if err != nil {
		return nil, admittedOffer{}, failedAttempt(err)
	}
	msg, err := receiveWithTimeout(ctx, x, oa.call.id, oa.relay.config.AdmitTimeout)
	switch m := msg.(type) {
	case *frame.Admit:
		return x, admittedOffer{Admit: *m, offeredAt: offeredAt}, attemptResult{result: routing.ResultOK}
	case *frame.Refuse:
		x.Close(true)
		oa.refusalReason = m.Reason
		oa.retryAfter = time.Duration(m.RetryAfterMillis) * time.Millisecond
		err = errors.Errorf("refused by %s: %s", oa.server.Instance.ID, m.Reason)
		return nil, admittedOffer{}, attemptResult{result: routing.ResultRefused, load: &m.Load, refusal: m, err: err}
	}
	x.Close(false)
	if err == nil {
		err = errUnexpectedFrame
	}
	return nil, admittedOffer{}, failedAttempt(err)
}

// claimAndCheckHold claims the attempt of a keyed call for the agent
// incarnation that admitted the call. It returns an error if the claim fails,
// if the agent no longer holds the slot, or if ctx has ended; in the last two
// cases it records that the attempt was not run.
func (oa *onceAttempt) claimAndCheckHold(ctx context.Context, admitted admittedOffer) error {
	if oa.keyed != nil {
		claim, err := oa.relay.onceRecords.Claim(ctx, oa.keyed.Call, oa.keyed.nextAttempt, oa.server.Instance, admitted.Incarnation)
		if err != nil {
			return err
		}
		oa.keyed.claim = claim
	}
	holdDuration := time.Duration(admitted.HoldMillis) * time.Millisecond
	expired := oa.relay.clock.Since(admitted.offeredAt) >= holdDuration
	if !expired && ctx.Err() == nil {
		return nil
	}
	oa.recordInBackground(ctx, (*once.Claim).RecordNotRun)
	if expired {
		return errHoldExpired
	}
	return ctx.Err()
}

// detachFromCaller returns a context with the deadline of ctx that is not
// cancelled when the caller disconnects.
func (oa *onceAttempt) detachFromCaller(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	ctx = context.WithoutCancel(ctx)
	if !ok {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, deadline)
}

// runAdmitted instructs the agent, with a Go frame, to run the call and reads the
// response.
func (oa *onceAttempt) runAdmitted(ctx context.Context, x work.Exchange) (*once.Outcome, attemptResult) {
	oa.relay.log.Event(eventOnceGo, eventlog.Fields{"request": oa.call.id, "server": oa.server.Instance.ID})
	if err := x.Send(frame.KindGo, frame.Go{ID: oa.call.id}); err != nil {
		return nil, failedAttempt(err)
	}
	attemptCtx, monitored := oa.relay.stallMonitor.add(ctx, oa.server.Instance.ID, oa.relay.config.ResponseIdleTimeout, oa.relay.config.ResponseIdleTimeout)
	defer oa.relay.stallMonitor.remove(monitored)
	outcome := &once.Outcome{}
	reader := &responseReader{
		id:         oa.call.id,
		onProgress: monitored.recordProgress,
		onHead: func(head frame.Head) error {
			outcome.Status = head.Status
			outcome.Header = forwardedHeader(head.Header)
			return nil
		},
		onData: func(data frame.Data) error {
			outcome.Body = append(outcome.Body, data.Body...)
			if len(outcome.Body) > oa.relay.config.MaxResponseBytes {
				return errResponseTooLarge
			}
			return nil
		},
	}
	return outcome, reader.read(attemptCtx, x)
}

// conclude records the result of a keyed call, and returns the outcome or the
// Problem to send to the caller. The error is always nil.
func (oa *onceAttempt) conclude(ctx context.Context, outcome *once.Outcome, res attemptResult) (*once.Outcome, *Problem, error) {
	retryAfter := oa.relay.config.RetryAfter
	if res.result == routing.ResultOK {
		oa.recordInBackground(ctx, func(c *once.Claim, ctx context.Context) error { return c.RecordOutcome(ctx, *outcome) })
		return outcome, nil, nil
	}
	if res.refusal != nil {
		oa.recordInBackground(ctx, (*once.Claim).RecordNotRun)
		detail := "the server did not run the call: " + string(res.refusal.Reason)
		return nil, newProblem(http.StatusServiceUnavailable, core.OutcomeNotRun, detail).withRetryAfter(retryAfter), nil
	}
	if res.failOutcome == core.OutcomeNotRun {
		oa.recordInBackground(ctx, (*once.Claim).RecordNotRun)
		return nil, newProblem(http.StatusServiceUnavailable, core.OutcomeNotRun, "the server did not run the call").withRetryAfter(retryAfter), nil
	}
	oa.recordInBackground(ctx, (*once.Claim).RecordLost)
	return nil, newProblem(http.StatusBadGateway, core.OutcomeUnknown, "the server was lost after it was told to run the call").withRetryAfter(retryAfter), nil
}

// recordInBackground records the result of a claimed attempt in the background,
// because the table may be unreachable for long. Drain waits until the recording
// ends. Without a claim there is nothing to record.
func (oa *onceAttempt) recordInBackground(ctx context.Context, write func(*once.Claim, context.Context) error) {
	if oa.keyed == nil || oa.keyed.claim == nil {
		return
	}
	claim := oa.keyed.claim
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), oa.relay.config.RecordTimeout)
	oa.relay.beginBackgroundWork()
	go func() {
		defer oa.relay.endWork()
		defer cancel()
		_ = write(claim, ctx) // the Claim logs the error
	}()
}
