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
	// DefaultMaxQueueWait is the default of Config.MaxQueueWait.
	DefaultMaxQueueWait = 40 * time.Millisecond
	// DefaultMaxQueueRatio is the default of Config.MaxQueueRatio.
	DefaultMaxQueueRatio = 0.5
	// DefaultGrowthPerCall is the default of Config.GrowthPerCall.
	DefaultGrowthPerCall = 0.5
	// minQueueLength is the lowest value of the maximum queue length.
	minQueueLength = 4
	// nearLimitRatio is the fraction of the limit that must be in use for a finished
	// call to raise the limit.
	nearLimitRatio = 0.75
)

var (
	eventLimitConfigured = eventlog.Define(413, "limit-configured", logrus.InfoLevel, "The declared limits of the backend server changed.")
)

// Config holds the settings of a limiter. Zero values take the defaults.
type Config struct {
	// Limit is the declared limit: the maximum number of concurrent calls of a warm
	// server; at least 1.
	Limit int
	// ColdLimit is the cold limit: the maximum number of concurrent calls of a cold
	// server; from 1 to Limit.
	ColdLimit int
	// MaxQueueWait is the longest time for which a call waits in the queue.
	MaxQueueWait time.Duration
	// MaxQueueRatio is the maximum length of the queue, as a fraction of the current
	// limit; it is never below minQueueLength calls.
	MaxQueueRatio float64
	// GrowthPerCall is the number of calls by which a finished call raises the
	// limit. Calls raise the limit only while at least nearLimitRatio of the limit
	// is in use and growth is not paused.
	GrowthPerCall float64
	// Fixed keeps the limit at the value of Limit: there is no cold limit, no growth
	// and no decrease.
	Fixed bool
	// Log receives the events; nil discards them.
	Log *eventlog.Logger
	// Metrics receives the gauge of the limit; nil means metrics.DefaultRegistry.
	Metrics metrics.Registry
}

func (c *Config) applyDefaults() {
	c.Limit = max(c.Limit, 1)
	c.ColdLimit = min(max(c.ColdLimit, 1), c.Limit)
	if c.MaxQueueWait <= 0 {
		c.MaxQueueWait = DefaultMaxQueueWait
	}
	if c.MaxQueueRatio <= 0 {
		c.MaxQueueRatio = DefaultMaxQueueRatio
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
	// shed is true once Shed was called to end the call early.
	shed bool
}

// AdaptiveLimiter is a Limiter for the calls of one backend server. It adapts the
// limit to the token rate, the number of tokens per second of all calls together.
// The limit grows while more calls give a higher token rate, and is decreased
// when fewer calls give a higher token rate. The limit grows in steps; the token
// rate is evaluated in each step.
type AdaptiveLimiter struct {
	cfg        Config
	clock      clockwork.Clock
	limitGauge metrics.Gauge

	mu           sync.Mutex
	limit        float64
	runningCalls []*runningCall
	// runningByAccount holds the number of slots in use by account. A slot that is
	// given to a waiter counts at once, before the call is in runningCalls.
	runningByAccount map[string]int
	queue            queue
	// window holds the samples of the time per token that have not been evaluated
	// yet.
	window window
	// firstTokenTracker tracks the time to the first token.
	firstTokenTracker latencyTracker
	// perTokenTracker tracks the time per token.
	perTokenTracker latencyTracker
	curve           rateCurve
	// finishedCallCount is the number of calls since the last sample that finished
	// while the limit could grow.
	finishedCallCount int
	// stepEvaluated is true once the token rate near the limit has been evaluated in
	// the present growth step.
	stepEvaluated bool
	// collapsedWindowCount is the number of consecutive windows up to now with a
	// collapsed token rate (see rateCurve.collapsed).
	collapsedWindowCount int
	// pendingDecrease is the last decrease, until its effect on the token rate has
	// been evaluated.
	pendingDecrease pendingDecrease
	// overloadedWindowCount is the number of consecutive windows up to now with too
	// many calls.
	overloadedWindowCount int
	// overloadCallCount is the number of calls in flight when the limit was last
	// decreased after overloaded windows. It is 0 if there was no such decrease, or
	// if the server has handled that many calls since.
	overloadCallCount int
	// settledAt is the time from which samples enter the rate curve again.
	settledAt time.Time
	// cooldownEnd is the time from which the limit may be decreased again after a
	// reset to the cold limit.
	cooldownEnd time.Time
	// stepStart is the start of the present growth step. The steps separate the
	// effects of successive increases on the token rate.
	stepStart time.Time
	// stepLimit is the highest value that the limit may reach in the present growth
	// step.
	stepLimit float64
	// decreasedTo is the limit after the last decrease.
	decreasedTo float64
	// growthPausedUntil is the end of the growth pause; the limit may grow from then
	// on.
	growthPausedUntil time.Time
	// nextGrowthPause is the length of the next growth pause, unless a failed growth
	// step requires a longer one.
	nextGrowthPause time.Duration
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
		limitGauge:       metrics.GetOrRegisterGauge("agent.limit", cfg.Metrics),
		runningByAccount: map[string]int{},
	}
	l.nextGrowthPause = minGrowthPause
	l.setLimit(float64(cfg.ColdLimit))
	l.stepLimit = l.limit
	return l
}

// setLimit sets the limit and the gauge of the limit. A value above the declared
// limit counts as the declared limit; so does any value if the limiter is fixed.
// The caller holds l.mu.
func (l *AdaptiveLimiter) setLimit(limit float64) {
	if l.cfg.Fixed {
		limit = float64(l.cfg.Limit)
	}
	l.limit = min(limit, float64(l.cfg.Limit))
	l.limitGauge.Update(int64(l.limit))
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
func (l *AdaptiveLimiter) Acquire(ctx context.Context, req SlotRequest) (release func(Outcome), refusalReason frame.Reason) {
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

// enqueue adds w to the queue. If the queue is full, w must displace another
// waiter (see queue.displace); if w cannot, enqueue returns false. The caller
// holds l.mu.
func (l *AdaptiveLimiter) enqueue(w *waiter) bool {
	maxLength := max(minQueueLength, int(l.limit*l.cfg.MaxQueueRatio))
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

// wait waits until w gets a slot or is refused. It returns the results of
// Acquire.
func (l *AdaptiveLimiter) wait(ctx context.Context, w *waiter) (func(Outcome), frame.Reason) {
	maxWait, reason := l.cfg.MaxQueueWait, frame.ReasonFull
	if remaining := w.request.Deadline.Sub(l.clock.Now()); !w.request.Deadline.IsZero() && remaining < maxWait {
		maxWait, reason = remaining, frame.ReasonExpired
	}
	timer := l.clock.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case refusalReason := <-w.result:
		return l.finishAcquire(w, refusalReason)
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
	return l.finishAcquire(w, <-w.result)
}

// finishAcquire returns the results of Acquire for w. If refusalReason is empty,
// w was given a slot, and finishAcquire adds the call to the running calls.
func (l *AdaptiveLimiter) finishAcquire(w *waiter, refusalReason frame.Reason) (func(Outcome), frame.Reason) {
	if refusalReason != "" {
		return nil, refusalReason
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

// admit gives a free slot to a new call and returns the call. The caller holds
// l.mu.
func (l *AdaptiveLimiter) admit(req SlotRequest) *runningCall {
	l.runningByAccount[req.Account]++
	return l.track(req)
}

// track adds a new call to the running calls and returns the call. The slot of
// the call must already be counted in runningByAccount. The caller holds l.mu.
func (l *AdaptiveLimiter) track(req SlotRequest) *runningCall {
	call := &runningCall{request: req, start: l.clock.Now()}
	l.runningCalls = append(l.runningCalls, call)
	return call
}

// grantFreeSlots gives the free slots to waiters, in the order of the queue. The
// caller holds l.mu.
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

// releaseFunc returns the release function for call, which frees the slot of call
// and adapts the limit to the outcome.
func (l *AdaptiveLimiter) releaseFunc(call *runningCall) func(Outcome) {
	return func(o Outcome) {
		l.mu.Lock()
		defer l.mu.Unlock()
		nearLimit := l.isNearLimit(l.inFlight())
		l.freeSlot(call)
		if !o.Ignored && !call.shed {
			l.meanSlotTime.add(l.clock.Since(call.start))
		}
		l.adaptToOutcome(o, nearLimit && !call.shed)
		l.grantFreeSlots()
	}
}

// isNearLimit reports whether callCount is at least nearLimitRatio of the limit.
// The caller holds l.mu.
func (l *AdaptiveLimiter) isNearLimit(callCount int) bool {
	return float64(callCount) >= nearLimitRatio*math.Floor(l.limit)
}

// freeSlot frees the slot of call. It does nothing if the slot is already free.
// The caller holds l.mu.
func (l *AdaptiveLimiter) freeSlot(call *runningCall) {
	i := slices.Index(l.runningCalls, call)
	if i < 0 {
		return
	}
	l.runningCalls = slices.Delete(l.runningCalls, i, i+1)
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
