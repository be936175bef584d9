package serve

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"

	"github.com/rattanway/rattanway/request/admission"
)

// watchInterval is the time between two checks of the running calls.
const watchInterval = 50 * time.Millisecond

// Causes with which a running call is cancelled.
var (
	errDeadlinePassed   = errors.New("deadline passed")
	errShed             = errors.New("server turned cold")
	errFirstByteTimeout = errors.New("no first byte in time")
	errStalled          = errors.New("answer stalled")
)

// watchedCall is the progress of one running call. The goroutine of the call
// writes the atomic fields and the callWatcher reads them.
type watchedCall struct {
	cancel    context.CancelCauseFunc
	startedAt time.Time
	// firstByteTimeout is the longest wait for the first byte.
	firstByteTimeout time.Duration
	// lastArrivalAt is when the last chunk of the response arrived, in
	// nanoseconds after startedAt; 0 before the first chunk.
	lastArrivalAt atomic.Int64
	// firstTokenAt is when the first chunk with tokens arrived, in nanoseconds
	// after startedAt; 0 before that.
	firstTokenAt atomic.Int64
	// firstTokenCount is the number of tokens in the chunk that arrived at
	// firstTokenAt.
	firstTokenCount atomic.Int64
	// tokenCount is the number of complete tokens that have arrived.
	tokenCount atomic.Int64
	// sending is true while a frame is being sent to the entry instance. A slow
	// entry instance delays the reading of the response, so the call does not
	// count as stalled meanwhile.
	sending atomic.Bool

	// The mutex of the callWatcher guards the following fields.

	// sampledAt is a time in nanoseconds after startedAt. Tokens that arrived
	// up to then have been reported to the limiter or are left out of the
	// reports.
	sampledAt int64
	// sampledTokenCount is the number of tokens that arrived up to sampledAt.
	sampledTokenCount int64
	// reportedTimePerToken is the time per token reported last.
	reportedTimePerToken time.Duration
}

// recordArrival records that a chunk with the given number of tokens arrived.
func (c *watchedCall) recordArrival(clock clockwork.Clock, tokens int) {
	now := max(int64(clock.Since(c.startedAt)), 1)
	if tokens > 0 && c.firstTokenAt.Load() == 0 {
		c.firstTokenCount.Store(int64(tokens))
		c.firstTokenAt.Store(now)
	}
	c.tokenCount.Add(int64(tokens))
	c.lastArrivalAt.Store(now)
}

// callWatcher cancels calls whose response stalls, and reports the time per
// token of all other calls to the limiter. It checks all running calls in one
// goroutine, which ends when there are no calls.
type callWatcher struct {
	cfg     Config
	limiter admission.Limiter
	clock   clockwork.Clock

	mu    sync.Mutex
	calls map[*watchedCall]bool
	// running is true while the goroutine runs.
	running bool
}

func newCallWatcher(cfg Config, limiter admission.Limiter, clock clockwork.Clock) *callWatcher {
	return &callWatcher{cfg: cfg, limiter: limiter, clock: clock, calls: map[*watchedCall]bool{}}
}

// add starts watching a call. cancel cancels the call; firstByteTimeout is the
// longest wait for the first byte of the response.
func (w *callWatcher) add(cancel context.CancelCauseFunc, firstByteTimeout time.Duration) *watchedCall {
	c := &watchedCall{cancel: cancel, startedAt: w.clock.Now(), firstByteTimeout: firstByteTimeout}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls[c] = true
	if !w.running {
		w.running = true
		go w.run()
	}
	return c
}

// remove stops watching a call. It first reports the time per token since the last
// report, unless a frame is being sent.
func (w *callWatcher) remove(c *watchedCall) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.calls, c)
	if !c.sending.Load() {
		w.reportTimePerToken(c, c.lastArrivalAt.Load(), c.lastArrivalAt.Load())
	}
}

// run checks the calls every watchInterval, until there are none.
func (w *callWatcher) run() {
	ticker := w.clock.NewTicker(watchInterval)
	defer ticker.Stop()
	for range ticker.Chan() {
		if !w.checkAll() {
			return
		}
	}
}

// checkAll checks every call once, and returns false if there are no calls.
func (w *callWatcher) checkAll() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.calls {
		w.checkCall(c)
	}
	w.running = len(w.calls) > 0
	return w.running
}

// checkCall cancels c when its first byte is overdue or its response has
// stalled, and otherwise reports the time per token of c. Tokens that arrived
// while a frame was being sent are left out of the report. The caller holds
// w.mu.
func (w *callWatcher) checkCall(c *watchedCall) {
	now := int64(w.clock.Since(c.startedAt))
	lastArrival := c.lastArrivalAt.Load()
	switch {
	case lastArrival == 0 && time.Duration(now) > c.firstByteTimeout:
		c.cancel(errFirstByteTimeout)
	case lastArrival == 0:
		// The first byte is not overdue yet, and there are no tokens to report.
	case c.sending.Load():
		c.sampledAt, c.sampledTokenCount = lastArrival, c.tokenCount.Load()
	case time.Duration(now-lastArrival) > w.cfg.StallTimeout:
		c.cancel(errStalled)
	default:
		w.reportTimePerToken(c, now, lastArrival)
	}
}

// reportTimePerToken reports to the limiter the mean time between the tokens
// that arrived since the last report. If no tokens arrived, it reports the time
// since lastArrival, but only if this time is longer than the time per token
// reported last. now and lastArrival are in nanoseconds after c.startedAt. The
// caller holds w.mu.
func (w *callWatcher) reportTimePerToken(c *watchedCall, now, lastArrival int64) {
	if c.firstTokenAt.Load() == 0 {
		return
	}
	if c.sampledAt == 0 {
		c.sampledAt, c.sampledTokenCount = c.firstTokenAt.Load(), c.firstTokenCount.Load()
	}
	if count := c.tokenCount.Load() - c.sampledTokenCount; count > 0 {
		c.reportedTimePerToken = time.Duration(lastArrival-c.sampledAt) / time.Duration(count)
		c.sampledAt, c.sampledTokenCount = lastArrival, c.sampledTokenCount+count
		w.limiter.Observe(admission.Sample{TimePerToken: c.reportedTimePerToken})
		return
	}
	if gap := time.Duration(now - lastArrival); gap > c.reportedTimePerToken {
		c.reportedTimePerToken = gap
		w.limiter.Observe(admission.Sample{TimePerToken: gap})
	}
}
