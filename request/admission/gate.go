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

// Defaults of a Config.
const (
	// DefaultMaxWait is the longest wait in the queue.
	DefaultMaxWait = 40 * time.Millisecond
	// DefaultQueueShare is the length of the queue as a share of the limit.
	DefaultQueueShare = 0.5
	// DefaultGrowth is the growth of the limit per finished call.
	DefaultGrowth = 0.5
	// minQueue is the least length of the queue.
	minQueue = 4
	// busyShare is the share of the limit that must be in use for a finished
	// call to let the limit grow.
	busyShare = 0.75
)

var (
	eventConfigured = eventlog.Define(413, "limit-configured", logrus.InfoLevel, "The declared limits of the server changed.")
)

// Config sets up a Gate. Zero values take the defaults.
type Config struct {
	// Limit is the most calls that the warm server bears.
	Limit int
	// ColdLimit is the most calls that the cold server bears.
	ColdLimit int
	// MaxWait is the longest wait in the queue.
	MaxWait time.Duration
	// QueueShare is the length of the queue as a share of the limit.
	QueueShare float64
	// Growth is added to the limit by each finished call while the limit is
	// in use and latency holds.
	Growth float64
	// Fixed keeps the limit at Limit, without a cold ramp and without falls.
	Fixed bool
	// Log takes the events; nil means none.
	Log *eventlog.Logger
	// Metrics takes the gauges; nil means metrics.DefaultRegistry.
	Metrics metrics.Registry
}

func (c *Config) applyDefaults() {
	c.Limit = max(c.Limit, 1)
	c.ColdLimit = min(max(c.ColdLimit, 1), c.Limit)
	if c.MaxWait <= 0 {
		c.MaxWait = DefaultMaxWait
	}
	if c.QueueShare <= 0 {
		c.QueueShare = DefaultQueueShare
	}
	if c.Growth <= 0 {
		c.Growth = DefaultGrowth
	}
	if c.Log == nil {
		c.Log = eventlog.Discard()
	}
	if c.Metrics == nil {
		c.Metrics = metrics.DefaultRegistry
	}
}

// admitted is a call that holds a slot.
type admitted struct {
	ticket Ticket
	since  time.Time
	shed   bool
}

// Gate is the Limiter of one backend server.
type Gate struct {
	cfg   Config
	clock clockwork.Clock
	gauge metrics.Gauge

	mu       sync.Mutex
	limit    float64
	calls    []*admitted
	running  map[string]int
	queue    queue
	window   window
	first    latency
	perToken latency
	curve    curve
	// unsampled counts the calls that finished since the last sample; judged
	// is true when a window has been judged since the last step.
	unsampled int
	judged    bool
	// collapses counts the windows in a row whose token rate was far below
	// what was seen with as many calls.
	collapses int
	// trial is the last fall while its effect has not been seen.
	trial fallTrial
	// worse counts the windows in a row in which fewer calls were better.
	worse int
	// tooMany is the number of calls from which the limit fell last because
	// fewer were better; 0 when it has not or has been borne since.
	tooMany int
	// settled is when samples enter the curve again, and cooled when the
	// limit may fall again after a fall to the cold limit.
	settled time.Time
	cooled  time.Time
	// stepStart is the start of the present step of growth and stepTo the
	// limit that it may reach, so that what each step does to the pace is
	// seen before the next.
	stepStart time.Time
	stepTo    float64
	// fellTo is the limit after the last fall; heldUntil is when it may grow
	// again, and hold how long it is held after the next fall.
	fellTo    float64
	heldUntil time.Time
	hold      time.Duration
	// slotTime is the mean time for which a call holds its slot.
	slotTime mean
}

var _ Limiter = (*Gate)(nil)

// New returns a Gate at the cold limit.
func New(cfg Config, clock clockwork.Clock) *Gate {
	cfg.applyDefaults()
	g := &Gate{
		cfg:     cfg,
		clock:   clock,
		gauge:   metrics.GetOrRegisterGauge("agent.limit", cfg.Metrics),
		running: map[string]int{},
	}
	g.hold = minHold
	g.setLimit(float64(cfg.ColdLimit))
	g.stepTo = g.limit
	return g
}

// setLimit changes the limit; the lock is held.
func (g *Gate) setLimit(limit float64) {
	if g.cfg.Fixed {
		limit = float64(g.cfg.Limit)
	}
	g.limit = min(limit, float64(g.cfg.Limit))
	g.gauge.Update(int64(g.limit))
}

// Configure implements Limiter.
func (g *Gate) Configure(limit, coldLimit int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	cfg := g.cfg
	cfg.Limit, cfg.ColdLimit = limit, coldLimit
	cfg.applyDefaults()
	if cfg.Limit == g.cfg.Limit && cfg.ColdLimit == g.cfg.ColdLimit {
		return
	}
	g.cfg = cfg
	g.setLimit(max(g.limit, float64(cfg.ColdLimit)))
	g.stepTo = g.limit
	g.cfg.Log.Event(eventConfigured, eventlog.Fields{"limit": cfg.Limit, "cold_limit": cfg.ColdLimit, "now": int(g.limit)})
	g.hand()
}

// Acquire implements Limiter.
func (g *Gate) Acquire(ctx context.Context, t Ticket) (release func(Outcome), refused frame.Reason) {
	g.mu.Lock()
	if g.queue.len() == 0 && g.free() {
		a := g.admit(t)
		g.mu.Unlock()
		return g.releaser(a), ""
	}
	w := &waiter{ticket: t, done: make(chan frame.Reason, 1)}
	if !g.enqueue(w) {
		g.mu.Unlock()
		return nil, frame.ReasonFull
	}
	g.mu.Unlock()
	return g.wait(ctx, w)
}

// enqueue puts w in the queue, displacing another when it is full.
func (g *Gate) enqueue(w *waiter) bool {
	room := max(minQueue, int(g.limit*g.cfg.QueueShare))
	if g.queue.len() >= room {
		out := g.queue.displace(w.ticket, g.running)
		if out == nil {
			return false
		}
		out.done <- frame.ReasonFull
	}
	g.queue.push(w)
	return true
}

// wait waits for w's slot.
func (g *Gate) wait(ctx context.Context, w *waiter) (func(Outcome), frame.Reason) {
	longest, reason := g.cfg.MaxWait, frame.ReasonFull
	if left := w.ticket.Deadline.Sub(g.clock.Now()); !w.ticket.Deadline.IsZero() && left < longest {
		longest, reason = left, frame.ReasonExpired
	}
	timer := g.clock.NewTimer(longest)
	defer timer.Stop()
	select {
	case answer := <-w.done:
		return g.handed(w, answer)
	case <-ctx.Done():
		reason = frame.ReasonExpired
	case <-timer.Chan():
	}
	g.mu.Lock()
	left := g.queue.remove(w)
	g.mu.Unlock()
	if left {
		return nil, reason
	}
	return g.handed(w, <-w.done)
}

// handed turns the queue's answer to w into Acquire's result.
func (g *Gate) handed(w *waiter, answer frame.Reason) (func(Outcome), frame.Reason) {
	if answer != "" {
		return nil, answer
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.releaser(g.track(w.ticket)), ""
}

// free reports whether a slot is free; the lock is held.
func (g *Gate) free() bool { return g.inFlight() < int(g.limit) }

// inFlight counts the slots in use; the lock is held.
func (g *Gate) inFlight() int {
	n := 0
	for _, calls := range g.running {
		n += calls
	}
	return n
}

// admit gives a slot to t; the lock is held.
func (g *Gate) admit(t Ticket) *admitted {
	g.running[t.Account]++
	return g.track(t)
}

// track remembers the call of a slot already given; the lock is held.
func (g *Gate) track(t Ticket) *admitted {
	a := &admitted{ticket: t, since: g.clock.Now()}
	g.calls = append(g.calls, a)
	return a
}

// hand gives free slots to waiters; the lock is held.
func (g *Gate) hand() {
	for g.free() {
		w := g.queue.pop(g.running)
		if w == nil {
			return
		}
		g.running[w.ticket.Account]++
		w.done <- ""
	}
}

// releaser returns the function that ends a's slot.
func (g *Gate) releaser(a *admitted) func(Outcome) {
	return func(o Outcome) {
		g.mu.Lock()
		defer g.mu.Unlock()
		busy := g.busy(g.inFlight())
		g.drop(a)
		if !o.Cancelled && !a.shed {
			g.slotTime.add(g.clock.Since(a.since))
		}
		g.learn(o, busy && !a.shed)
		g.hand()
	}
}

// busy reports whether so many calls use the limit; the lock is held.
func (g *Gate) busy(calls int) bool { return float64(calls) >= busyShare*math.Floor(g.limit) }

// drop frees a's slot; the lock is held.
func (g *Gate) drop(a *admitted) {
	i := slices.Index(g.calls, a)
	if i < 0 {
		return
	}
	g.calls = slices.Delete(g.calls, i, i+1)
	account := a.ticket.Account
	g.running[account]--
	if g.running[account] == 0 {
		delete(g.running, account)
	}
}

// Load implements Limiter.
func (g *Gate) Load() frame.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return frame.Load{Limit: int(g.limit), InFlight: g.inFlight(), Queued: g.queue.len()}
}

// State implements Limiter.
func (g *Gate) State() frame.State {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.limit >= float64(g.cfg.Limit):
		return frame.StateReady
	case g.limit <= float64(g.cfg.ColdLimit):
		return frame.StateCold
	default:
		return frame.StateWarming
	}
}
