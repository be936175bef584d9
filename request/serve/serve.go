// Package serve handles the calls that entry instances send to an agent: it
// checks that a call may run on this server now, acquires a slot (the
// permission to run one call) from the limiter, calls the engine or service,
// and forwards the response followed by an explicit End frame. A once-only
// call, which must not be executed twice, runs at most once: the entry instance
// offers the call, the agent holds a slot for the call, and the entry instance
// then sends a Go frame.
package serve

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"

	"github.com/rattanway/rattanway/connection/engine"
	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/connection/work"
	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/process/eventlog"
	"github.com/rattanway/rattanway/request/admission"
	"github.com/rattanway/rattanway/version/confstore"
)

// Default values of Config.
const (
	// DefaultHoldTimeout is how long a slot is held for an offered call until the
	// entry instance sends Go.
	DefaultHoldTimeout = 2 * time.Second
	// DefaultFirstByteTimeout is the longest wait for the first byte of a
	// response.
	DefaultFirstByteTimeout = 10 * time.Second
	// DefaultStallTimeout is the longest time between two reads of a response
	// that return data.
	DefaultStallTimeout = 5 * time.Second
	// DefaultOnceTimeout is the longest run time of a once-only call.
	DefaultOnceTimeout = time.Minute
	// DefaultMaxConfirmAge is the greatest age of the last confirmation that
	// the configuration is the newest. New calls are refused while the last
	// confirmation is older.
	DefaultMaxConfirmAge = 10 * time.Second
	// DefaultMaxLedgerRecords is the largest number of records in the ledger,
	// which keeps one record for each attempt to run a once-only call.
	DefaultMaxLedgerRecords = 64 << 10
	// DefaultMaxLedgerBytes is the largest total size of the response bodies
	// that the ledger keeps, in bytes.
	DefaultMaxLedgerBytes = 8 << 20
	// fullRetryAfter is the retry delay suggested when a call is refused
	// because the server is full.
	fullRetryAfter = 500 * time.Millisecond
)

// Config holds the settings of a Handler. Zero values select the defaults.
type Config struct {
	// Self is the agent's own instance.
	Self core.Instance
	// Incarnation identifies this run of the agent process; it changes with
	// each start.
	Incarnation string
	// Service is the name of the plain service that this agent serves; empty
	// when it serves a model engine.
	Service string
	// HoldTimeout is how long a slot is held for an offered call until the entry
	// instance sends Go.
	HoldTimeout time.Duration
	// FirstByteTimeout is the longest wait for the first byte of a response.
	FirstByteTimeout time.Duration
	// StallTimeout is the longest time between two reads of a response that
	// return data.
	StallTimeout time.Duration
	// OnceTimeout is the longest run time of a once-only call; the outcome of a
	// call that exceeds this time is recorded as unknown. OnceTimeout is also
	// the longest wait for the first byte of an engine's response that is not
	// streamed.
	OnceTimeout time.Duration
	// OnWrongVersion is called when the engine did not use the version that a
	// call pins, although the engine reports that version as loaded. The
	// argument is the version's manifest digest. OnWrongVersion may be nil.
	OnWrongVersion func(core.Digest)
	// LastConfirmed returns the time at which the agent's configuration was last
	// known to be the newest; the zero time makes the handler refuse new calls. Nil
	// disables the check.
	LastConfirmed func() time.Time
	// MaxConfirmAge is the greatest age of the last confirmation, as returned
	// by LastConfirmed. New calls are refused while the last confirmation is
	// older.
	MaxConfirmAge time.Duration
	// MaxLedgerRecords is the largest number of records in the ledger, which
	// keeps one record for each attempt to run a once-only call.
	MaxLedgerRecords int
	// MaxLedgerBytes is the largest total size of the response bodies that the
	// ledger keeps, in bytes.
	MaxLedgerBytes int
}

func (c *Config) applyDefaults() {
	core.SetDefault(&c.HoldTimeout, DefaultHoldTimeout)
	core.SetDefault(&c.FirstByteTimeout, DefaultFirstByteTimeout)
	core.SetDefault(&c.StallTimeout, DefaultStallTimeout)
	core.SetDefault(&c.OnceTimeout, DefaultOnceTimeout)
	core.SetDefault(&c.MaxConfirmAge, DefaultMaxConfirmAge)
	core.SetDefault(&c.MaxLedgerRecords, DefaultMaxLedgerRecords)
	core.SetDefault(&c.MaxLedgerBytes, DefaultMaxLedgerBytes)
}

// Handler implements work.Handler for the agent.
type Handler struct {
	cfg     Config
	holder  *confstore.Holder
	limiter admission.Limiter
	engine  engine.Engine
	// status returns the latest status of the engine or service, or false while
	// the engine or service does not respond.
	status  func() (engine.Status, bool)
	log     *eventlog.Logger
	clock   clockwork.Clock
	ledger  *ledger
	watcher *callWatcher
	// versionCalls counts the running calls of each model version.
	versionCalls *versionCalls

	mu sync.Mutex
	// leaving is true once Leave has been called.
	leaving bool
	// activeCount is the number of exchanges being handled plus the number of
	// started once-only calls.
	activeCount int
	// idle is closed when activeCount drops to 0; nil while no Drain waits.
	idle chan struct{}
	// bootID is the boot id that the engine reported last; see SetBootID.
	bootID string
}

var _ work.Handler = (*Handler)(nil)

// New returns a Handler. status returns the latest status of the engine or
// service, or false while the engine or service does not respond.
func New(cfg Config, holder *confstore.Holder, limiter admission.Limiter, eng engine.Engine,
	status func() (engine.Status, bool), log *eventlog.Logger, clock clockwork.Clock) *Handler {
	cfg.applyDefaults()
	return &Handler{
		cfg:          cfg,
		holder:       holder,
		limiter:      limiter,
		engine:       eng,
		status:       status,
		log:          log,
		clock:        clock,
		ledger:       newLedger(cfg.MaxLedgerRecords, cfg.MaxLedgerBytes),
		watcher:      newCallWatcher(cfg, limiter, clock),
		versionCalls: newVersionCalls(),
	}
}

// Handle implements work.Handler.
func (h *Handler) Handle(ctx context.Context, first frame.Frame, exchange work.AgentExchange) error {
	h.addActive()
	defer h.removeActive()
	switch first.Kind {
	case frame.KindRequest:
		return h.handleRequest(ctx, first, exchange)
	case frame.KindOffer:
		return h.handleOffer(ctx, first, exchange)
	case frame.KindAttemptQuery:
		return h.handleAttemptQuery(first, exchange)
	default:
		return core.WrapStep("serve", exchange.Peer(), errors.Wrapf(frame.ErrUnexpectedKind, "kind %d", first.Kind))
	}
}

// Leave makes the handler refuse new calls from now on. Further calls of Leave do
// nothing.
func (h *Handler) Leave() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.leaving {
		return
	}
	h.leaving = true
	h.log.Event(eventLeaving, eventlog.Fields{"active": h.activeCount})
}

// Leaving reports whether the handler refuses new calls, either after Leave or
// because the configuration marks this backend server as leaving.
func (h *Handler) Leaving() bool {
	h.mu.Lock()
	leaving := h.leaving
	h.mu.Unlock()
	return leaving || h.declaredLeaving()
}

// Drain waits until no exchange is being handled and no started once-only call
// runs, or returns an error when ctx ends first.
func (h *Handler) Drain(ctx context.Context) error {
	for {
		h.mu.Lock()
		if h.activeCount == 0 {
			h.mu.Unlock()
			h.log.Event(eventDrained, nil)
			return nil
		}
		if h.idle == nil {
			h.idle = make(chan struct{})
		}
		idle := h.idle
		h.mu.Unlock()
		select {
		case <-idle:
		case <-ctx.Done():
			return core.WrapStep("drain", "", ctx.Err())
		}
	}
}

// addActive counts an exchange or a started once-only call as in flight.
func (h *Handler) addActive() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.activeCount++
}

// removeActive undoes one addActive, and wakes Drain when nothing is in flight
// any more.
func (h *Handler) removeActive() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.activeCount--
	if h.activeCount == 0 && h.idle != nil {
		close(h.idle)
		h.idle = nil
	}
}

// handleRequest runs a repeatable call and forwards the response, or sends a
// refusal.
func (h *Handler) handleRequest(ctx context.Context, first frame.Frame, exchange work.AgentExchange) error {
	var req frame.Request
	if err := first.Decode(&req); err != nil {
		return core.WrapStep("serve request", exchange.Peer(), err)
	}
	if reason := h.refusalReason(&req, true); reason != "" {
		return h.sendRefusal(exchange, &req, reason)
	}
	if !h.versionCalls.begin(req.Digest) {
		return h.sendRefusal(exchange, &req, frame.ReasonDigestMismatch)
	}
	defer h.versionCalls.end(req.Digest)
	receivedAt := h.clock.Now()
	if req.TimeoutMillis > 0 {
		var stop context.CancelFunc
		ctx, stop = context.WithTimeoutCause(ctx, time.Duration(req.TimeoutMillis)*time.Millisecond, errDeadlinePassed)
		defer stop()
	}
	runCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	slotReq := h.newSlotRequest(&req, receivedAt)
	slotReq.Shed = func() { cancel(errShed) }
	release, reason := h.limiter.Acquire(runCtx, slotReq)
	if reason != "" {
		return h.sendRefusal(exchange, &req, reason)
	}
	h.logCall(eventCallAdmitted, &req, eventlog.Fields{"waited_ms": h.clock.Since(receivedAt).Milliseconds()})
	return h.runRepeatable(runCtx, cancel, &req, exchange, release)
}

// newSlotRequest returns the request for a slot that is made to the limiter for
// the call req.
func (h *Handler) newSlotRequest(req *frame.Request, receivedAt time.Time) admission.SlotRequest {
	slotReq := admission.SlotRequest{Account: req.Account, Share: req.Share, Priority: req.Priority}
	if req.TimeoutMillis > 0 {
		slotReq.Deadline = receivedAt.Add(time.Duration(req.TimeoutMillis) * time.Millisecond)
	}
	return slotReq
}

// sendRefusal sends a Refuse frame, which means that no part of the call has
// run.
func (h *Handler) sendRefusal(exchange work.AgentExchange, req *frame.Request, reason frame.Reason) error {
	load := h.limiter.Load()
	h.logCall(eventCallRefused, req, eventlog.Fields{
		"why": reason, "limit": load.Limit, "in_flight": load.InFlight, "queued": load.Queued,
	})
	msg := frame.Refuse{ID: req.ID, Reason: reason, Load: load}
	if reason == frame.ReasonFull {
		msg.RetryAfterMillis = fullRetryAfter.Milliseconds()
	}
	return exchange.Send(frame.KindRefuse, msg)
}

// sendFailure sends a Fail frame for a call without a complete response. outcome
// is the outcome for the caller; cause is the reason, for the log and for the
// detail of the Fail frame.
func (h *Handler) sendFailure(exchange work.AgentExchange, req *frame.Request, outcome core.FailureOutcome, cause error) error {
	h.log.EventWithError(eventCallFailed, cause, eventlog.Fields{"request": req.ID, "account": req.Account, "word": outcome})
	return exchange.Send(frame.KindFail, frame.Fail{ID: req.ID, FailureOutcome: outcome, Detail: cause.Error(), Load: h.limiter.Load()})
}

// logCall logs an event about req, with the fields that identify the call.
func (h *Handler) logCall(e eventlog.Event, req *frame.Request, fields eventlog.Fields) {
	fields["request"] = req.ID
	fields["account"] = req.Account
	if req.Digest != "" {
		fields["digest"] = req.Digest.Short()
	}
	if req.Key != "" {
		fields["key"], fields["attempt"] = req.Key, req.AttemptNumber
	}
	h.log.Event(e, fields)
}
