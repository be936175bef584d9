package admission

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/process/eventlog"
)

// Defaults of a Config, and other parameters of an AdaptiveLimiter.
const (
	// DefaultMaxQueueWait is the longest wait in the queue.
	DefaultMaxQueueWait = 40 * time.Millisecond
	// DefaultQueueRatio is the maximum length of the queue, as a fraction of the
	// limit.
	DefaultQueueRatio = 0.5
	// DefaultGrowthPerCall is the growth of the limit per finished call.
	DefaultGrowthPerCall = 0.5
	// minQueueLength is the lower bound of the maximum queue length.
	minQueueLength = 4
	// nearLimitRatio is the fraction of the limit that must be in use for a
	// finished call to raise the limit.
	nearLimitRatio = 0.75
)

var (
	eventLimitConfigured = eventlog.Define(413, "limit-configured", logrus.InfoLevel, "The declared limits of the backend server changed.")
)

// Config holds the settings of a limiter. Zero values take the defaults.
type Config struct {
	// Limit is the largest number of concurrent calls of a warm server.
	Limit int
	// ColdLimit is the largest number of concurrent calls of a cold server.
	ColdLimit int
	// MaxQueueWait is the longest wait in the queue.
	MaxQueueWait time.Duration
	// QueueRatio is the maximum length of the queue, as a fraction of the limit.
	QueueRatio float64
	// GrowthPerCall is added to the limit by each finished call while the limit
	// is in use and calls do not slow down.
	GrowthPerCall float64
	// Fixed keeps the limit constant at Limit: no cold limit, no growth and no
	// decreases.
	Fixed bool
	// Log receives the events; nil discards them.
	Log *eventlog.Logger
	// Metrics receives the gauges; nil means metrics.DefaultRegistry.
	Metrics metrics.Registry
}

func (c *Config) applyDefaults() {
	c.Limit = max(c.Limit, 1)
	c.ColdLimit = min(max(c.ColdLimit, 1), c.Limit)
	if c.MaxQueueWait <= 0 {
		c.MaxQueueWait = DefaultMaxQueueWait
	}
	if c.QueueRatio <= 0 {
		c.QueueRatio = DefaultQueueRatio
	}
	if c.GrowthPerCall <= 0 {
		c.GrowthPerCall = DefaultGrowthPerCall
	}
	if c.Log == nil {
		c.Log = eventlog.Discard()
	}
	if c.Metrics == nil {
		c.Metrics = metrics.DefaultRegistry
	}
}

// runningCall is a call that holds a slot.
type runningCall struct {
	request SlotRequest
	start   time.Time
	// shed is true once the call has been ended early.
	shed bool
}

// AdaptiveLimiter is a Limiter for the calls of one backend server that adapts
// its limit. The limit grows while the token rate grows with the number of
// calls. It is decreased when fewer calls have a higher token rate. The token
// rate is the number of tokens per second of all calls together.
type AdaptiveLimiter struct {
	cfg   Config
	clock clockwork.Clock
	gauge metrics.Gauge

	mu               sync.Mutex
	limit            float64
	calls            []*runningCall
	runningByAccount map[string]int
	queue            queue
	window           window
	firstToken       latencyTracker
	perToken         latencyTracker
	curve            rateCurve
	// finishedSinceSample counts the calls that finished since the last sample.
	// stepEvaluated is true once a window has been evaluated in the present
	// growth step.
	finishedSinceSample int
	stepEvaluated       bool
	// collapsedWindows counts the consecutive windows in which the token rate was
	// far below the one measured before with as many calls.
	collapsedWindows int
	// pending is the last decrease while its effect has not been measured.
	pending pendingDecrease
	// worseWindows counts the consecutive windows in which fewer calls would have
	// been better.
	worseWindows int
	// overloadedAt is the number of calls in flight at the last decrease because
	// fewer calls would have been better; 0 when there was none or the server has
	// handled that many since.
	overloadedAt int
	// settledAt is the time from which samples enter the rate curve again.
	// cooldownEnd is the time from which the limit may be decreased again after a
	// reset to the cold limit.
	settledAt   time.Time
	cooldownEnd time.Time
	// stepStart is the start of the present growth step and stepLimit the limit
	// that it may reach. Steps keep the effects of successive increases on the
	// token rate apart.
	stepStart time.Time
	stepLimit float64
	// decreasedTo is the limit after the last decrease. growthPausedUntil is the
	// time from which the limit may grow again, and growthPause the length of the
	// pause after the next decrease.
	decreasedTo       float64
	growthPausedUntil time.Time
	growthPause       time.Duration
	// meanSlotTime is the mean time for which a call holds its slot.
	meanSlotTime movingAverage
}

var _ Limiter = (*AdaptiveLimiter)(nil)

// New returns an AdaptiveLimiter whose limit is the cold limit.
func New(cfg Config, clock clockwork.Clock) *AdaptiveLimiter {
	cfg.applyDefaults()
	l := &AdaptiveLimiter{
		cfg:              cfg,
		clock:            clock,
		gauge:            metrics.GetOrRegisterGauge("agent.limit", cfg.Metrics),
		runningByAccount: map[string]int{},
	}
	l.growthPause = minGrowthPause
	l.setLimit(float64(cfg.ColdLimit))
	l.stepLimit = l.limit
	return l
}

// setLimit sets the limit and its gauge. The caller holds l.mu.
func (l *AdaptiveLimiter) setLimit(limit float64) {
	if l.cfg.Fixed {
		limit = float64(l.cfg.Limit)
	}
	l.limit = min(limit, float64(l.cfg.Limit))
	l.gauge.Update(int64(l.limit))
}

// Configure implements Limiter.
func (l *AdaptiveLimiter) Configure(limit, coldLimit int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	cfg := l.cfg
	cfg.Limit, cfg.ColdLimit = limit, coldLimit
	cfg.applyDefaults()
	if cfg.Limit == l.cfg.Limit && cfg.ColdLimit == l.cfg.ColdLimit {
		return
	}
	l.cfg = cfg
	l.setLimit(max(l.limit, float64(cfg.ColdLimit)))
	l.stepLimit = l.limit
	l.cfg.Log.Event(eventLimitConfigured, eventlog.Fields{"limit": cfg.Limit, "cold_limit": cfg.ColdLimit, "now": int(l.limit)})
	l.grantFreeSlots()
}

// Acquire implements Limiter.
func (l *AdaptiveLimiter) Acquire(ctx context.Context, req SlotRequest) (release func(Outcome), refused frame.Reason) {
	l.mu.Lock()
	if l.queue.len() == 0 && l.hasFreeSlot() {
		call := l.admit(req)
		l.mu.Unlock()
		return l.releaseFunc(call), ""
	}
	w := &waiter{request: req, result: make(chan frame.Reason, 1)}
	if !l.enqueue(w) {
		l.mu.Unlock()
		return nil, frame.ReasonFull
	}
	l.mu.Unlock()
	return l.wait(ctx, w)
}

// enqueue adds w to the queue and reports whether w was added. When the queue
// is full, w may displace another waiter. The caller holds l.mu.
func (l *AdaptiveLimiter) enqueue(w *waiter) bool {
	maxLength := max(minQueueLength, int(l.limit*l.cfg.QueueRatio))
	if l.queue.len() >= maxLength {
		displaced := l.queue.displace(w.request, l.runningByAccount)
		if displaced == nil {
			return false
		}
		displaced.result <- frame.ReasonFull
	}
	l.queue.push(w)
	return true
}

// wait waits until w gets a slot or is refused.
func (l *AdaptiveLimiter) wait(ctx context.Context, w *waiter) (func(Outcome), frame.Reason) {
	longest, reason := l.cfg.MaxQueueWait, frame.ReasonFull
	if remaining := w.request.Deadline.Sub(l.clock.Now()); !w.request.Deadline.IsZero() && remaining < longest {
		longest, reason = remaining, frame.ReasonExpired
	}
	timer := l.clock.NewTimer(longest)
	defer timer.Stop()
	select {
	case refused := <-w.result:
		return l.acquireResult(w, refused)
	case <-ctx.Done():
		reason = frame.ReasonExpired
	case <-timer.Chan():
	}
	l.mu.Lock()
	removed := l.queue.remove(w)
	l.mu.Unlock()
	if removed {
		return nil, reason
	}
	return l.acquireResult(w, <-w.result)
}

// acquireResult returns the results of Acquire for w. refused is the reason for
// its refusal, or empty when w was given a slot.
func (l *AdaptiveLimiter) acquireResult(w *waiter, refused frame.Reason) (func(Outcome), frame.Reason) {
	if refused != "" {
		return nil, refused
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.releaseFunc(l.track(w.request)), ""
}

// hasFreeSlot reports whether a slot is free. The caller holds l.mu.
func (l *AdaptiveLimiter) hasFreeSlot() bool { return l.inFlight() < int(l.limit) }

// inFlight returns the number of slots in use. The caller holds l.mu.
func (l *AdaptiveLimiter) inFlight() int {
	n := 0
	for _, calls := range l.runningByAccount {
		n += calls
	}
	return n
}

// admit gives a slot to a call. The caller holds l.mu.
func (l *AdaptiveLimiter) admit(req SlotRequest) *runningCall {
	l.runningByAccount[req.Account]++
	return l.track(req)
}

// track adds a call to the running calls. Its slot must already be counted in
// runningByAccount. The caller holds l.mu.
func (l *AdaptiveLimiter) track(req SlotRequest) *runningCall {
	call := &runningCall{request: req, start: l.clock.Now()}
	l.calls = append(l.calls, call)
	return call
}

// grantFreeSlots gives the free slots to waiters. The caller holds l.mu.
func (l *AdaptiveLimiter) grantFreeSlots() {
	for l.hasFreeSlot() {
		w := l.queue.pop(l.runningByAccount)
		if w == nil {
			return
		}
		l.runningByAccount[w.request.Account]++
		w.result <- ""
	}
}

// releaseFunc returns the function that frees the slot of call and adapts the
// limit to the outcome.
func (l *AdaptiveLimiter) releaseFunc(call *runningCall) func(Outcome) {
	return func(o Outcome) {
		l.mu.Lock()
		defer l.mu.Unlock()
		nearLimit := l.nearLimit(l.inFlight())
		l.freeSlot(call)
		if !o.Cancelled && !call.shed {
			l.meanSlotTime.add(l.clock.Since(call.start))
		}
		l.adaptToOutcome(o, nearLimit && !call.shed)
		l.grantFreeSlots()
	}
}

// nearLimit reports whether this number of calls is at least nearLimitRatio of
// the limit. The caller holds l.mu.
func (l *AdaptiveLimiter) nearLimit(calls int) bool {
	return float64(calls) >= nearLimitRatio*math.Floor(l.limit)
}

// freeSlot frees the slot of call. The caller holds l.mu.
func (l *AdaptiveLimiter) freeSlot(call *runningCall) {
	i := slices.Index(l.calls, call)
	if i < 0 {
		return
	}
	l.calls = slices.Delete(l.calls, i, i+1)
	account := call.request.Account
	l.runningByAccount[account]--
	if l.runningByAccount[account] == 0 {
		delete(l.runningByAccount, account)
	}
}

// Load implements Limiter.
func (l *AdaptiveLimiter) Load() frame.Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	return frame.Load{Limit: int(l.limit), InFlight: l.inFlight(), Queued: l.queue.len()}
}

// State implements Limiter.
func (l *AdaptiveLimiter) State() frame.State {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.limit >= float64(l.cfg.Limit):
		return frame.StateReady
	case l.limit <= float64(l.cfg.ColdLimit):
		return frame.StateCold
	default:
		return frame.StateWarming
	}
}
