package serve

import (
	"context"
	"io"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"github.com/rattanway/rattanway/connection/engine"
	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/connection/work"
	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/process/eventlog"
	"github.com/rattanway/rattanway/request/admission"
)

// maxOnceResponseBytes is the largest response body of a once-only call.
const maxOnceResponseBytes = 4 << 20

// Errors of once-only calls, for logs and Fail frames.
var (
	errResponseTooLong = errors.New("answer too long")
	errStillRunning    = errors.New("call still runs at the deadline")
)

// hasElapsed reports whether more than d has passed from start to now by the
// monotonic clock or by the wall clock. It uses both because the monotonic clock
// may stop while the machine is paused, and the wall clock may be set back.
func hasElapsed(start, now time.Time, d time.Duration) bool {
	return now.Sub(start) > d || now.Round(0).Sub(start.Round(0)) > d
}

// attemptIDOf returns the ledger's id for the attempt that req makes. A call
// without a key is identified by its request id.
func attemptIDOf(req *frame.Request) attemptID {
	if req.Key == "" {
		return attemptID{key: "request/" + req.ID, attempt: 1}
	}
	return attemptID{key: "key/" + req.Key, attempt: req.AttemptNumber}
}

// handleOffer runs an offered once-only call, or sends a refusal: it holds a slot,
// waits for the entry instance's Go frame, and makes the call once.
func (h *Handler) handleOffer(ctx context.Context, first frame.Frame, exchange work.AgentExchange) error {
	var req frame.Request
	if err := first.Decode(&req); err != nil {
		return core.WrapStep("serve offer", exchange.Peer(), err)
	}
	receivedAt := h.clock.Now()
	if reason := h.refusalReason(&req, false); reason != "" {
		return h.sendRefusal(exchange, &req, reason)
	}
	id := attemptIDOf(&req)
	if !h.ledger.beginOffer(id) {
		return h.sendRefusal(exchange, &req, frame.ReasonDuplicate)
	}
	defer h.ledger.endOffer(id)
	release, reason := h.limiter.Acquire(ctx, h.newSlotRequest(&req, receivedAt))
	if reason != "" {
		return h.sendRefusal(exchange, &req, reason)
	}
	slot := &heldSlot{release: release}
	defer slot.free(admission.Outcome{Ignored: true})
	heldSince := h.clock.Now()
	h.logCall(eventSlotHeld, &req, eventlog.Fields{"hold_ms": h.cfg.HoldTimeout.Milliseconds()})
	admit := frame.Admit{ID: req.ID, Incarnation: h.cfg.Incarnation, HoldMillis: h.cfg.HoldTimeout.Milliseconds()}
	if err := exchange.Send(frame.KindAdmit, admit); err != nil {
		return err
	}
	if err := h.awaitGo(ctx, &req, exchange, slot); err != nil {
		return err
	}
	if hasElapsed(heldSince, h.clock.Now(), h.cfg.HoldTimeout) {
		return h.sendRefusal(exchange, &req, frame.ReasonExpired)
	}
	if !h.ledger.start(id) {
		return h.sendRefusal(exchange, &req, frame.ReasonDuplicate)
	}
	return h.runOnce(ctx, &req, exchange, slot, receivedAt)
}

// heldSlot is a slot of the limiter that is released at most once.
type heldSlot struct {
	// release returns the slot to the limiter; nil once it has been called or
	// handed over.
	release func(admission.Outcome)
}

// free releases the slot unless it has been released or handed over.
func (s *heldSlot) free(o admission.Outcome) {
	if s.release == nil {
		return
	}
	s.release(o)
	s.release = nil
}

// takeRelease returns the release function, which the caller must call. After
// takeRelease, free does nothing.
func (s *heldSlot) takeRelease() func(admission.Outcome) {
	release := s.release
	s.release = nil
	return release
}

// awaitGo waits for the entry instance's Go frame. When the hold expires first,
// awaitGo frees the slot and keeps waiting, so that a late Go can be refused.
func (h *Handler) awaitGo(ctx context.Context, req *frame.Request, exchange work.AgentExchange, slot *heldSlot) error {
	holdCtx, cancel := context.WithTimeout(ctx, h.cfg.HoldTimeout)
	defer cancel()
	f, err := exchange.Receive(holdCtx)
	if err != nil && ctx.Err() == nil {
		slot.free(admission.Outcome{Ignored: true})
		f, err = exchange.Receive(ctx)
	}
	if err != nil {
		return err
	}
	if f.Kind != frame.KindGo {
		return core.WrapStep("await go", exchange.Peer(), errors.Wrapf(frame.ErrUnexpectedKind, "kind %d", f.Kind))
	}
	var msg frame.Go
	if err := f.Decode(&msg); err != nil {
		return core.WrapStep("await go", exchange.Peer(), err)
	}
	if msg.ID != req.ID {
		return core.WrapStep("await go", exchange.Peer(), errors.Wrapf(frame.ErrUnexpectedKind, "go for %s, offered %s", msg.ID, req.ID))
	}
	return nil
}

// onceResult is the result of a started once-only call: the outcome, or an error.
type onceResult struct {
	outcome *frame.Outcome
	err     error
}

// runOnce makes the call of a started attempt and sends the result to the entry
// instance. If the deadline passes first, it sends a Fail frame with the outcome
// "unknown". In that case, and when the entry instance disconnects, the call still
// runs to its end, and the ledger keeps the outcome for a later attempt query.
func (h *Handler) runOnce(ctx context.Context, req *frame.Request, exchange work.AgentExchange, slot *heldSlot, receivedAt time.Time) error {
	h.logCall(eventOnceStarted, req, eventlog.Fields{})
	done := make(chan onceResult, 1)
	release := slot.takeRelease()
	h.addActive()
	go func() {
		defer h.removeActive()
		r := h.executeOnce(context.WithoutCancel(ctx), req)
		release(admission.Outcome{Ignored: r.err != nil})
		done <- r
	}()
	var deadline <-chan time.Time
	if req.TimeoutMillis > 0 {
		remaining := time.Duration(req.TimeoutMillis)*time.Millisecond - h.clock.Since(receivedAt)
		timer := h.clock.NewTimer(remaining)
		defer timer.Stop()
		deadline = timer.Chan()
	}
	select {
	case r := <-done:
		return h.sendOnceResult(req, exchange, r)
	case <-deadline:
		return h.sendFailure(exchange, req, core.OutcomeUnknown, errStillRunning)
	case <-ctx.Done():
		return core.WrapStep("serve offer", exchange.Peer(), ctx.Err())
	}
}

// executeOnce makes the call. It records in the ledger the outcome, or that the
// call did not reach the service.
func (h *Handler) executeOnce(ctx context.Context, req *frame.Request) onceResult {
	ctx, cancel := context.WithTimeout(ctx, h.cfg.OnceTimeout)
	defer cancel()
	outcome, err := h.callOnce(ctx, req)
	id := attemptIDOf(req)
	if errors.Is(err, engine.ErrNotSent) {
		h.ledger.markNotSent(id)
	} else {
		h.ledger.finish(id, outcome)
	}
	if err != nil {
		h.log.EventWithError(eventOnceEnded, err, eventlog.Fields{"request": req.ID, "key": req.Key, "attempt": req.AttemptNumber})
		return onceResult{err: err}
	}
	h.logCall(eventOnceEnded, req, eventlog.Fields{"status": outcome.Status, "bytes": len(outcome.Body)})
	return onceResult{outcome: outcome}
}

// callOnce makes the call and reads the complete response.
func (h *Handler) callOnce(ctx context.Context, req *frame.Request) (*frame.Outcome, error) {
	resp, err := h.engine.Do(ctx, newEngineCall(req, true))
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.ID != "" && resp.ID != req.ID {
		return nil, errWrongRequest
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxOnceResponseBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxOnceResponseBytes {
		return nil, errResponseTooLong
	}
	return &frame.Outcome{Status: resp.Status, Header: forwardedHeader(resp.Header), Body: body}, nil
}

// sendOnceResult sends the result of a started call to the entry instance: the
// response, or a Refuse frame if the call provably did not reach the service, or
// a Fail frame otherwise.
func (h *Handler) sendOnceResult(req *frame.Request, exchange work.AgentExchange, r onceResult) error {
	switch {
	case errors.Is(r.err, engine.ErrNotSent):
		return h.sendRefusal(exchange, req, frame.ReasonDown)
	case r.err != nil:
		return h.sendFailure(exchange, req, core.OutcomeUnknown, r.err)
	}
	head := frame.Head{ID: req.ID, Status: r.outcome.Status, Header: r.outcome.Header}
	if err := exchange.Send(frame.KindHead, head); err != nil {
		return err
	}
	if err := exchange.Send(frame.KindData, frame.Data{ID: req.ID, Body: r.outcome.Body}); err != nil {
		return err
	}
	h.logCall(eventCallCompleted, req, eventlog.Fields{"bytes": len(r.outcome.Body)})
	end := frame.End{
		ID: req.ID, BodyBytes: int64(len(r.outcome.Body)), BodyChecksum: xxhash.Sum64(r.outcome.Body), Load: h.limiter.Load(),
	}
	return exchange.Send(frame.KindEnd, end)
}

// handleAttemptQuery sends the state of an attempt in this incarnation of the
// agent, and forbids the attempt unless it has started.
func (h *Handler) handleAttemptQuery(first frame.Frame, exchange work.AgentExchange) error {
	var msg frame.AttemptQuery
	if err := first.Decode(&msg); err != nil {
		return core.WrapStep("serve attempt query", exchange.Peer(), err)
	}
	state, outcome := h.ledger.queryAndForbid(attemptID{key: "key/" + msg.Key, attempt: msg.AttemptNumber})
	h.log.Event(eventAttemptQueried, eventlog.Fields{"request": msg.ID, "key": msg.Key, "attempt": msg.AttemptNumber, "ran": state})
	return exchange.Send(frame.KindAttemptStatus, frame.AttemptStatus{
		ID: msg.ID, Incarnation: h.cfg.Incarnation, State: state, Outcome: outcome,
	})
}
