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

// errHoldPassed says that the agent's slot may be free again.
var errHoldPassed = errors.New("the held slot has expired")

// errTooLarge says that the answer to a once-only call is too large.
var errTooLarge = errors.New("answer is too large")

// runOnce serves a call that may not be repeated.
func (r *Relay) runOnce(ctx context.Context, c echo.Context, call *call) error {
	outcome, p := r.settle(ctx, call)
	if p != nil {
		return r.refuse(c, call.id, p)
	}
	a := &answer{
		response: c.Response(),
		first:    func() { observeFirstByte(r.clock.Since(call.arrived)) },
		head:     frame.Head{Status: outcome.Status, Header: outcome.Header},
		pending:  outcome.Body,
	}
	if err := a.finish(); err != nil {
		r.log.Fail(eventGone, err, eventlog.Fields{"request": call.id})
		panic(http.ErrAbortHandler)
	}
	count(metricWhole)
	r.log.Event(eventCallEnded, eventlog.Fields{
		"request": call.id, "millis": r.clock.Since(call.arrived).Milliseconds(),
	})
	return nil
}

// settle finds the outcome of the call, by its record or by running it.
func (r *Relay) settle(ctx context.Context, call *call) (*once.Outcome, *Problem) {
	if call.key == "" {
		o, p, _ := r.offer(ctx, call, nil)
		return o, p
	}
	if r.keeper == nil {
		return nil, refusal(http.StatusServiceUnavailable, core.RefusalNotRun, once.ErrTable.Error())
	}
	keyed := &keyedCall{Call: once.Call{
		RequestID: call.id,
		Account:   call.account.Name,
		Service:   call.service,
		Key:       call.key,
		Request:   once.RequestDigest(call.request.Method, call.request.Path, call.request.Body),
	}}
	for {
		outcome, turn, err := r.keeper.Settle(ctx, keyed.Call, r.ask)
		if err != nil {
			return nil, r.unsettled(err)
		}
		if outcome != nil {
			return outcome, nil
		}
		keyed.turn = turn
		keyed.claim = nil
		o, p, err := r.offer(ctx, call, keyed)
		if errors.Is(err, once.ErrTaken) {
			continue
		}
		if p != nil && p.Outcome == core.RefusalNotRun && r.keeper.Moved(ctx, keyed.Call, turn, keyed.claim) {
			continue
		}
		return o, p
	}
}

// keyedCall is a keyed call, the turn to claim it, and the claim once made.
type keyedCall struct {
	once.Call
	turn  once.Turn
	claim *once.Claim
}

// unsettled turns an error of once.Settle into a refusal. When the record
// cannot be read, an earlier submission with the same key may have run, so
// "not run" might not be true.
func (r *Relay) unsettled(err error) *Problem {
	if errors.Is(err, once.ErrMismatch) {
		return refusal(http.StatusUnprocessableEntity, core.RefusalNotRun, once.ErrMismatch.Error())
	}
	status, detail := http.StatusBadGateway, once.ErrUnknown.Error()
	if errors.Is(err, once.ErrTable) {
		status, detail = http.StatusServiceUnavailable, once.ErrTable.Error()
	}
	return refusal(status, core.RefusalUnknown, detail).after(r.config.RetryAfter)
}

// offer offers the call to one server after another until one admits it, and
// runs it there. keyed is nil for calls without a key. The error is
// once.ErrTaken when another submission came first.
func (r *Relay) offer(ctx context.Context, call *call, keyed *keyedCall) (*once.Outcome, *Problem, error) {
	tried := map[string]bool{}
	after := r.config.RetryAfter
	detail := "no backend server can take the call"
	for len(tried) < r.config.MaxAttempts {
		server, ok := r.picker.Pick(call.query(tried))
		if !ok {
			break
		}
		tried[server.Instance.ID] = true
		run := &onceRun{relay: r, call: call, keyed: keyed, server: server}
		outcome, p, err := run.do(ctx)
		if outcome != nil || p != nil || errors.Is(err, once.ErrTaken) {
			return outcome, p, err
		}
		detail = run.detail(err)
		if run.retryAfter > 0 {
			after = run.retryAfter
		}
		if run.refused == frame.ReasonStale && r.pauseUntil(ctx, call, r.config.ConfigWait) {
			clear(tried)
		}
		if ctx.Err() != nil || errors.Is(err, once.ErrTable) {
			break
		}
	}
	return nil, refusal(http.StatusServiceUnavailable, core.RefusalNotRun, detail).after(after), nil
}

// ask implements once.Asker.
func (r *Relay) ask(ctx context.Context, agent core.Instance, key string, attempt int) (frame.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, r.config.AskTimeout)
	defer cancel()
	id := key
	x, err := r.opener.Open(ctx, agent, id, frame.KindAsk, frame.Ask{ID: id, Key: key, Attempt: attempt})
	if err != nil {
		return frame.Answer{}, err
	}
	msg, err := receiveWithin(ctx, x, id, r.config.AskTimeout)
	answer, ok := msg.(*frame.Answer)
	x.Close(ok)
	if ok {
		return withPassedOn(*answer), nil
	}
	if err == nil {
		err = errWrongKind
	}
	return frame.Answer{}, core.Step("ask", agent.ID, err)
}

// withPassedOn drops from a kept outcome the header fields that are not
// recorded either, so that both ways give the caller the same answer.
func withPassedOn(a frame.Answer) frame.Answer {
	if a.Outcome == nil {
		return a
	}
	kept := *a.Outcome
	kept.Header = passedOn(kept.Header)
	a.Outcome = &kept
	return a
}

// onceRun is one offer of a once-only call to one server.
type onceRun struct {
	relay      *Relay
	call       *call
	keyed      *keyedCall
	server     registry.Server
	retryAfter time.Duration
	// refused is the agent's reason for not admitting the call; "" for none.
	refused frame.Reason
}

// do offers the call and runs it when admitted. An error alone means that
// the call was not run and may be offered to another server.
func (o *onceRun) do(ctx context.Context) (*once.Outcome, *Problem, error) {
	x, admitted, v := o.admit(ctx)
	if v.result != routing.ResultOK {
		o.relay.attemptEnded(o.call, o.server, v)
		return nil, nil, v.err
	}
	if err := o.prepare(ctx, admitted); err != nil {
		x.Close(false)
		o.relay.attemptEnded(o.call, o.server, verdict{result: routing.ResultCancelled, err: err})
		return nil, nil, err
	}
	// From here on the call may run: it goes on even when the caller leaves.
	ctx, cancel := o.detach(ctx)
	defer cancel()
	outcome, v := o.release(ctx, x)
	v.close(x)
	o.relay.attemptEnded(o.call, o.server, v)
	return o.conclude(ctx, outcome, v)
}

// detail says to the caller why the call was not run. Errors name peers and
// rows, which are for the log only.
func (o *onceRun) detail(err error) string {
	switch {
	case o.refused != "":
		return "backend servers refused the call: " + string(o.refused)
	case errors.Is(err, once.ErrTable):
		return once.ErrTable.Error()
	}
	return "the call was not run: no backend server could be reached in time"
}

// admission is the agent's admission and when it was asked for.
type admission struct {
	frame.Admit
	asked time.Time
}

// admit offers the call and waits for a slot.
func (o *onceRun) admit(ctx context.Context) (work.Exchange, admission, verdict) {
	req := o.call.attempt(ctx, 0)
	if o.keyed != nil {
		req.Key = o.keyed.Row()
		req.Attempt = o.keyed.turn.Attempt
	}
	asked := o.relay.clock.Now()
	x, err := o.relay.opener.Open(ctx, o.server.Instance, o.call.id, frame.KindOffer, req)
	if err != nil {
		return nil, admission{}, failed(err)
	}
	msg, err := receiveWithin(ctx, x, o.call.id, o.relay.config.AdmitTimeout)
	switch m := msg.(type) {
	case *frame.Admit:
		return x, admission{Admit: *m, asked: asked}, verdict{result: routing.ResultOK}
	case *frame.Refuse:
		x.Close(true)
		o.refused = m.Reason
		o.retryAfter = time.Duration(m.RetryAfterMillis) * time.Millisecond
		err = errors.Errorf("refused by %s: %s", o.server.Instance.ID, m.Reason)
		return nil, admission{}, verdict{result: routing.ResultRefused, load: &m.Load, refused: m, err: err}
	}
	x.Close(false)
	if err == nil {
		err = errWrongKind
	}
	return nil, admission{}, failed(err)
}

// prepare claims a keyed call for the incarnation that admitted it, and makes
// sure that the slot is still held.
func (o *onceRun) prepare(ctx context.Context, a admission) error {
	if o.keyed != nil {
		claim, err := o.relay.keeper.Claim(ctx, o.keyed.Call, o.keyed.turn, o.server.Instance, a.Incarnation)
		if err != nil {
			return err
		}
		o.keyed.claim = claim
	}
	held := time.Duration(a.HoldMillis) * time.Millisecond
	expired := o.relay.clock.Since(a.asked) >= held
	if !expired && ctx.Err() == nil {
		return nil
	}
	o.record(ctx, (*once.Claim).NotRun)
	if expired {
		return errHoldPassed
	}
	return ctx.Err()
}

// detach returns a context that outlives the caller but not its deadline.
func (o *onceRun) detach(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	ctx = context.WithoutCancel(ctx)
	if !ok {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, deadline)
}

// release sends Go and reads the answer.
func (o *onceRun) release(ctx context.Context, x work.Exchange) (*once.Outcome, verdict) {
	o.relay.log.Event(eventGo, eventlog.Fields{"request": o.call.id, "server": o.server.Instance.ID})
	if err := x.Send(frame.KindGo, frame.Go{ID: o.call.id}); err != nil {
		return nil, failed(err)
	}
	watching, watched := o.relay.watch.add(ctx, o.server.Instance.ID, o.relay.config.AnswerTimeout, o.relay.config.AnswerTimeout)
	defer o.relay.watch.remove(watched)
	outcome := &once.Outcome{}
	rd := &reader{
		id:    o.call.id,
		heard: watched.heard,
		head: func(h frame.Head) error {
			outcome.Status = h.Status
			outcome.Header = passedOn(h.Header)
			return nil
		},
		data: func(d frame.Data) error {
			outcome.Body = append(outcome.Body, d.Body...)
			if len(outcome.Body) > o.relay.config.MaxAnswerBytes {
				return errTooLarge
			}
			return nil
		},
	}
	return outcome, rd.read(watching, x)
}

// conclude records what became of the call and says it to the caller.
func (o *onceRun) conclude(ctx context.Context, outcome *once.Outcome, v verdict) (*once.Outcome, *Problem, error) {
	after := o.relay.config.RetryAfter
	if v.result == routing.ResultOK {
		o.record(ctx, func(c *once.Claim, ctx context.Context) error { return c.Done(ctx, *outcome) })
		return outcome, nil, nil
	}
	if v.refused != nil {
		o.record(ctx, (*once.Claim).NotRun)
		detail := "the server did not run the call: " + string(v.refused.Reason)
		return nil, refusal(http.StatusServiceUnavailable, core.RefusalNotRun, detail).after(after), nil
	}
	if v.word == core.RefusalNotRun {
		o.record(ctx, (*once.Claim).NotRun)
		return nil, refusal(http.StatusServiceUnavailable, core.RefusalNotRun, "the server did not run the call").after(after), nil
	}
	o.record(ctx, (*once.Claim).Lost)
	return nil, refusal(http.StatusBadGateway, core.RefusalUnknown, "the server was lost after it was told to run the call").after(after), nil
}

// record writes the end of a keyed call in the background, as the table may
// be out of reach for long; Drain waits for it.
func (o *onceRun) record(ctx context.Context, write func(*once.Claim, context.Context) error) {
	if o.keyed == nil || o.keyed.claim == nil {
		return
	}
	claim := o.keyed.claim
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), o.relay.config.RecordTimeout)
	o.relay.hold()
	go func() {
		defer o.relay.end()
		defer cancel()
		_ = write(claim, ctx) // the keeper has logged the error
	}()
}
