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

// repetition is a call that may be repeated, over all its attempts.
type repetition struct {
	relay  *Relay
	call   *call
	answer *answer
	// tried and failed name servers that were tried, and those that failed.
	tried, failed map[string]bool
	// attempts and refusals count what has been tried.
	attempts, refusals int
	// mayHaveRun says that some attempt got beyond admission.
	mayHaveRun bool
	// brokeOff is when the last attempt failed.
	brokeOff time.Time
	// switches counts how often the call was given to another version.
	switches int
	// refused is the newest refusal by an agent.
	refused *frame.Refuse
	// giveBack returns the retry that the running attempt took from the
	// budget.
	giveBack func()
}

// repeat serves a call that may be repeated.
func (r *Relay) repeat(ctx context.Context, c echo.Context, call *call) error {
	rep := &repetition{relay: r, call: call, tried: map[string]bool{}, failed: map[string]bool{}, giveBack: func() {}}
	rep.answer = &answer{
		response: c.Response(),
		stream:   call.stream,
		holdBack: r.config.HoldBackBytes,
		first:    func() { observeFirstByte(r.clock.Since(call.arrived)) },
	}
	defer func() { rep.giveBack() }()
	p, err := rep.run(ctx)
	switch {
	case err != nil:
		r.log.Fail(eventGone, err, eventlog.Fields{"request": call.id, "tokens": rep.answer.tokens})
		panic(http.ErrAbortHandler)
	case p == nil:
		count(metricWhole)
		r.log.Event(eventCallEnded, eventlog.Fields{
			"request": call.id, "attempts": rep.attempts, "tokens": rep.answer.tokens,
			"millis": r.clock.Since(call.arrived).Milliseconds(),
		})
		return nil
	case !rep.answer.started:
		return r.refuse(c, call.id, p)
	}
	p.RequestID = call.id
	p.Outcome = core.RefusalIncomplete
	count(metricCut)
	r.log.Event(eventCut, eventlog.Fields{"request": call.id, "tokens": rep.answer.tokens, "detail": p.Detail})
	rep.answer.cut(p)
	return nil
}

// run makes attempts until the answer is whole (nil, nil), nothing more can
// be tried (a problem), or the caller has gone (an error).
func (rep *repetition) run(ctx context.Context) (*Problem, error) {
	for {
		server, ok := rep.relay.picker.Pick(rep.call.query(rep.tried))
		if !ok && rep.nextRound(ctx) {
			continue
		}
		if !ok {
			return rep.problem("no backend server can take the call"), nil
		}
		rep.attempts++
		v := rep.attempt(ctx, server)
		rep.giveBack()
		rep.relay.attemptEnded(rep.call, server, v)
		if v.result == routing.ResultOK {
			return nil, nil
		}
		if v.result == routing.ResultCancelled {
			return nil, v.err
		}
		if p := rep.again(ctx, server, v); p != nil {
			return p, nil
		}
	}
}

// again prepares the next attempt, or returns why there is none.
func (rep *repetition) again(ctx context.Context, server registry.Server, v verdict) *Problem {
	rep.tried[server.Instance.ID] = true
	if ctx.Err() != nil {
		return rep.problem("the deadline has passed")
	}
	if v.refused != nil {
		return rep.afterRefusal(ctx, v.refused)
	}
	return rep.afterFailure(ctx, server, v)
}

// afterRefusal decides whether another server is offered the call. A call
// whose answer has not begun is refused early, so that its caller can go
// elsewhere; an answer that has begun, and a call within its account's fair
// share, are worth a longer search.
func (rep *repetition) afterRefusal(ctx context.Context, refused *frame.Refuse) *Problem {
	config := rep.relay.config
	rep.refused = refused
	rep.refusals++
	if rep.answer.started {
		if rep.relay.picker.Short(rep.call.query(rep.tried)) && !rep.nextRound(ctx) {
			return rep.problem("no backend server goes on with the answer: " + string(refused.Reason))
		}
		return nil
	}
	if refused.Reason == frame.ReasonStale && rep.relay.pauseUntil(ctx, rep.call, config.ConfigWait) {
		clear(rep.tried)
		return nil
	}
	age := rep.relay.clock.Since(rep.call.arrived)
	if rep.call.due && age < config.DueWithin {
		if rep.refusals%config.MaxRefusals == 0 {
			clear(rep.tried)
		}
		return nil
	}
	late := age >= config.RefuseAfter
	if rep.refusals >= config.MaxRefusals || late && rep.relay.picker.Short(rep.call.query(rep.tried)) {
		if rep.otherVersion(ctx) {
			return nil
		}
		return rep.problem("backend servers refused the call: " + string(refused.Reason))
	}
	return nil
}

// otherVersion gives a call that was refused, and of which no part has run, to
// another version of its model, the first time at once and then after a pause,
// while it is young.
func (rep *repetition) otherVersion(ctx context.Context) bool {
	if rep.mayHaveRun || rep.call.service != "" {
		return false
	}
	pinned := rep.call.request.Digest
	other, ok := rep.relay.picker.Alternative(rep.call.request.Model, pinned)
	if !ok || rep.switches > 0 && !rep.relay.pauseUntil(ctx, rep.call, rep.relay.config.DueWithin) {
		return false
	}
	rep.switches++
	rep.call.request.Digest = other
	rep.refusals = 0
	clear(rep.tried)
	rep.relay.log.Event(eventOtherVersion, eventlog.Fields{
		"request": rep.call.id, "from": pinned.Short(), "to": other.Short(), "refused": rep.refused.Reason,
	})
	return true
}

// pauseUntil waits a little before a call is offered again, such as for a
// configuration that is newer here than at the agents; it reports false when
// the call has reached the age of longest.
func (r *Relay) pauseUntil(ctx context.Context, c *call, longest time.Duration) bool {
	if r.clock.Since(c.arrived) >= longest {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-r.clock.After(r.config.ResumePause):
		return true
	}
}

// nextRound waits a little and lets the servers be tried again that refused,
// later also those that failed, for an answer that has begun and broke off
// not long ago.
func (rep *repetition) nextRound(ctx context.Context) bool {
	config := rep.relay.config
	if !rep.answer.started || rep.relay.clock.Since(rep.brokeOff) >= config.ResumeWithin {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-rep.relay.clock.After(config.ResumePause):
	}
	clear(rep.tried)
	if rep.relay.clock.Since(rep.brokeOff) < config.ResumeWithin/2 {
		maps.Copy(rep.tried, rep.failed)
	}
	return true
}

// afterFailure decides whether the call is retried or resumed.
func (rep *repetition) afterFailure(ctx context.Context, server registry.Server, v verdict) *Problem {
	config := rep.relay.config
	rep.brokeOff = rep.relay.clock.Now()
	rep.failed[server.Instance.ID] = true
	rep.mayHaveRun = rep.mayHaveRun || v.word != core.RefusalNotRun
	if rep.attempts-rep.refusals >= config.MaxAttempts {
		return rep.problem("every attempt failed")
	}
	if rep.answer.started && !rep.answer.streamed() {
		return rep.problem("the answer broke off")
	}
	ctx, cancel := context.WithTimeout(ctx, config.BudgetWait)
	defer cancel()
	giveBack, ok := rep.relay.budget.take(ctx)
	if !ok {
		count(metricNoBudget)
		rep.relay.log.Event(eventNoBudget, eventlog.Fields{"request": rep.call.id})
		return rep.problem("the attempt failed and the retry budget is spent")
	}
	rep.giveBack = giveBack
	count(metricRetries)
	rep.relay.log.Event(eventRetry, eventlog.Fields{
		"request": rep.call.id, "after": server.Instance.ID, "tokens": rep.answer.tokens,
	})
	return nil
}

// problem returns the refusal that is true for the call as a whole.
func (rep *repetition) problem(detail string) *Problem {
	after := rep.relay.config.RetryAfter
	if rep.refused != nil && rep.refused.RetryAfterMillis > 0 {
		after = time.Duration(rep.refused.RetryAfterMillis) * time.Millisecond
	}
	if rep.mayHaveRun {
		return refusal(http.StatusBadGateway, core.RefusalUnknown, detail).after(after)
	}
	return refusal(http.StatusServiceUnavailable, core.RefusalNotRun, detail).after(after)
}

// attempt tries the call at one server.
func (rep *repetition) attempt(ctx context.Context, server registry.Server) verdict {
	config := rep.relay.config
	first, next := config.AnswerTimeout, config.AnswerTimeout
	if rep.call.stream {
		first, next = config.FirstTokenTimeout, config.StallTimeout
	}
	watching, watched := rep.relay.watch.add(ctx, server.Instance.ID, first, next)
	defer rep.relay.watch.remove(watched)
	rd := &reader{
		id:     rep.call.id,
		digest: rep.call.request.Digest,
		heard:  watched.heard,
		head:   rep.head,
		data:   rep.data,
	}
	req := rep.call.attempt(ctx, rep.answer.tokens)
	x, err := rep.relay.opener.Open(ctx, server.Instance, rep.call.id, frame.KindRequest, req)
	if err != nil {
		return rep.blame(ctx, failed(err))
	}
	v := rd.read(watching, x)
	v.close(x)
	if v.result == routing.ResultOK {
		if err := rep.answer.finish(); err != nil {
			return rep.blame(ctx, failed(callerError{err}))
		}
	}
	return rep.blame(ctx, v)
}

func (rep *repetition) head(h frame.Head) error {
	if h.Status == http.StatusServiceUnavailable || h.Status == http.StatusBadGateway || h.Status == http.StatusGatewayTimeout {
		return fmt.Errorf("%w: status %d", errOverload, h.Status)
	}
	if rep.answer.started && h.Status != rep.answer.head.Status {
		return fmt.Errorf("%w: status %d on resuming", errBrokeOff, h.Status)
	}
	rep.answer.begin(h)
	return nil
}

func (rep *repetition) data(d frame.Data) error {
	rep.giveBack()
	if err := rep.answer.data(d); err != nil {
		return callerError{err}
	}
	return nil
}

// blame tells a caller that went away from a server that failed.
func (rep *repetition) blame(ctx context.Context, v verdict) verdict {
	if v.result != routing.ResultFailed {
		return v
	}
	var gone callerError
	if errors.As(v.err, &gone) || errors.Is(ctx.Err(), context.Canceled) {
		v.result = routing.ResultCancelled
	}
	return v
}
