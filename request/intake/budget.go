package intake

import (
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/rattanway/rattanway/process/eventlog"
)

const (
	// memoryShare is the share of the machine's memory that the budget has: a quarter. Another
	// quarter is for connections; the rest is for the process without them, and for what the
	// garbage collector leaves.
	memoryShare = 4
	// smallShare is the share of the budget that is reserved for small bodies: a quarter.
	smallShare = 4
	// minBudgetBytes is the least budget: 6 MiB of it are for large bodies, so that a body of
	// 4 MiB always fits.
	minBudgetBytes = 8 << 20
	// DefaultMemoryBytes is taken for the memory of a machine whose memory is not known.
	DefaultMemoryBytes = 256 << 20
	// maxWait limits how long a body waits for bytes of bodies that are being ended.
	maxWait = 200 * time.Millisecond
	// checkInterval is the time between two checks of the least rate. If a check is later by
	// more than maxCheckDelay, the process did not run: its clients may have sent what it has
	// not read, so that time does not count.
	checkInterval = 250 * time.Millisecond
	maxCheckDelay = 250 * time.Millisecond
	// tightEventInterval is the least time between two events budget-tight.
	tightEventInterval = 10 * time.Second
)

// RetryAfter is the Retry-After value of a request that is refused for want of memory. Within
// this time, bodies that make no progress are ended.
const RetryAfter = time.Second

// Errors for which a body is not read.
var (
	// ErrTooLarge means that the body is longer than the limit.
	ErrTooLarge = errors.New("body too large")
	// ErrFull means that the budget has no room.
	ErrFull = errors.New("no memory for the body")
	// errEndedForRoom and errTooSlow mean that the body was ended.
	errEndedForRoom = errors.New("body ended to make room for others")
	errTooSlow      = errors.New("body arrives too slowly while memory is short")
)

// Ended reports whether err means that an unfinished body was ended, and whether it was because
// it arrived too slowly.
func Ended(err error) (ended, slow bool) {
	slow = errors.Is(err, errTooSlow)
	return slow || errors.Is(err, errEndedForRoom), slow
}

var (
	eventEnded = eventlog.Define(562, "intake-ended", logrus.InfoLevel,
		"An unfinished request body or head was ended because memory for them is short; the fields give the reason, how many bytes it held, for how long, and for how long without progress. The request has not run.")
	eventTight = eventlog.Define(563, "intake-tight", logrus.WarnLevel,
		"More than half of the budget for request bodies and large heads is in use; a least rate is required of unfinished ones. The fields give the use and the budget in bytes.")
)

// Budget is the memory that a process has for request bodies and large heads. It is safe for
// concurrent use.
type Budget struct {
	log                            *eventlog.Logger
	clock                          clockwork.Clock
	refusedCount, forRoom, tooSlow metrics.Counter

	mu     sync.Mutex
	ledger *ledger
	// unused are the parts in memory that nothing uses. They take no more than the part of the
	// budget that is not in use.
	unused [][]byte
	// released is closed and replaced when bytes are released for which holders wait.
	released chan struct{}
	// checking is true while a check of the least rate is planned, for checkAt.
	checking     bool
	checkAt      time.Time
	tightEventAt time.Time
}

// NewBudget returns the budget of a process on a machine with memoryBytes of memory, or
// DefaultMemoryBytes if that is 0. Its metrics are registered in r.
func NewBudget(memoryBytes int64, log *eventlog.Logger, clock clockwork.Clock, r metrics.Registry) *Budget {
	if memoryBytes <= 0 {
		memoryBytes = DefaultMemoryBytes
	}
	total := max(minBudgetBytes, memoryBytes/memoryShare)
	b := &Budget{
		log: log, clock: clock, ledger: newLedger(limits{total: total, forLarge: total - total/smallShare}),
		released:     make(chan struct{}),
		refusedCount: metrics.GetOrRegisterCounter("intake.refused", r),
		forRoom:      metrics.GetOrRegisterCounter("intake.ended-for-room", r),
		tooSlow:      metrics.GetOrRegisterCounter("intake.ended-slow", r),
	}
	r.GetOrRegister("intake.used.bytes", metrics.NewFunctionalGauge(b.Used))
	r.GetOrRegister("intake.budget.bytes", metrics.NewFunctionalGauge(func() int64 { return total }))
	return b
}

// Used returns how many bytes of the budget are in use.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ledger.used
}

// MaxBodyBytes returns the length of the largest body that fits into an empty budget.
func (b *Budget) MaxBodyBytes() int64 { return b.ledger.limits.forLarge - 2*partBytes }

// Grow makes h hold n more bytes, in memory that is not from the pool. end is called, from
// another goroutine, if h is ended before Finish; it must not block. If Grow returns an error, h
// holds what it did before.
func (b *Budget) Grow(h *Holder, n int64, end func()) error {
	if h.end == nil {
		h.end = end
	}
	return b.take(h, n)
}

// Finish records that h has all bytes of its client and is not to be ended any more.
func (b *Budget) Finish(h *Holder) { _ = b.finish(h) }

// Release records that h holds nothing any more.
func (b *Budget) Release(h *Holder) { b.release(h, nil) }

// finish is like Finish, and returns why h has been ended, or nil.
func (b *Budget) finish(h *Holder) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ledger.finish(h)
}

// endedBy returns why h has been ended; nil if it has not.
func (b *Budget) endedBy(h *Holder) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return h.ended
}

// takePart makes h hold one more part, and returns it empty.
func (b *Budget) takePart(h *Holder) ([]byte, error) {
	if err := b.take(h, partBytes); err != nil {
		return nil, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if n := len(b.unused); n > 0 {
		part := b.unused[n-1]
		b.unused[n-1], b.unused = nil, b.unused[:n-1]
		return part[:0], nil
	}
	return make([]byte, 0, partBytes), nil
}

// take makes h hold n more bytes. It waits for those of holders that are ended for it.
func (b *Budget) take(h *Holder, n int64) error {
	var timeout <-chan time.Time
	for {
		v, released, err := b.tryTake(h, n)
		if v != wait {
			return err
		}
		if timeout == nil {
			timer := b.clock.NewTimer(maxWait)
			defer timer.Stop()
			timeout = timer.Chan()
		}
		select {
		case <-released:
		case <-timeout:
			b.mu.Lock()
			b.ledger.stopWaiting(h)
			b.mu.Unlock()
			b.refusedCount.Inc(1)
			return ErrFull
		}
	}
}

// tryTake asks the ledger for n more bytes, and ends the holders that it chooses. released is
// closed when bytes have been released.
func (b *Budget) tryTake(h *Holder, n int64) (v verdict, released <-chan struct{}, err error) {
	b.mu.Lock()
	now := b.clock.Now()
	v, victims := b.ledger.take(h, n, now)
	if len(victims) > 0 {
		b.wake() // a victim may be waiting itself
	}
	b.dropUnused()
	isTight := b.ledger.isTight()
	if isTight && !b.checking {
		b.planCheck(now)
	}
	logTight := isTight && now.Sub(b.tightEventAt) >= tightEventInterval
	if logTight {
		b.tightEventAt = now
	}
	used, released := b.ledger.used, b.released
	if v == refused {
		if err = h.ended; err == nil {
			err = ErrFull
		}
	}
	b.mu.Unlock()
	if logTight {
		b.log.Event(eventTight, eventlog.Fields{"used": used, "budget": b.ledger.limits.total})
	}
	if errors.Is(err, ErrFull) {
		b.refusedCount.Inc(1)
	}
	b.endAll(victims, now)
	return v, released, err
}

// dropUnused drops unused parts that take more than the part of the budget that is not in use.
// The caller holds b.mu.
func (b *Budget) dropUnused() {
	free := b.ledger.limits.total - b.ledger.used
	for n := len(b.unused); n > 0 && int64(n)*partBytes > free; n = len(b.unused) {
		b.unused[n-1], b.unused = nil, b.unused[:n-1]
	}
}

// wake wakes all that wait for bytes. The caller holds b.mu.
func (b *Budget) wake() {
	if b.ledger.waiting > 0 {
		close(b.released)
		b.released = make(chan struct{})
	}
}

// endAll ends holders that the ledger has marked as ended. Their readers release what they hold.
func (b *Budget) endAll(victims []*Holder, now time.Time) {
	for _, h := range victims {
		b.mu.Lock()
		end, reason := h.end, h.ended
		held, begunAt, progressAt, runTime := h.held, h.begunAt, h.progressAt, b.ledger.runTime(now)
		b.mu.Unlock()
		if reason == nil {
			continue // the reader has released it in the meantime
		}
		if errors.Is(reason, errTooSlow) {
			b.tooSlow.Inc(1)
		} else {
			b.forRoom.Inc(1)
		}
		b.log.Event(eventEnded, eventlog.Fields{
			"reason": reason.Error(), "held": held, "ms": runTime.Sub(begunAt).Milliseconds(), "idleMs": runTime.Sub(progressAt).Milliseconds(),
		})
		end()
	}
}

// planCheck plans the next check of the least rate. The caller holds b.mu.
func (b *Budget) planCheck(now time.Time) {
	b.checking, b.checkAt = true, now.Add(checkInterval)
	b.clock.AfterFunc(checkInterval, b.check)
}

// check ends the holders that are too slow, and plans the next check while more than half of
// the budget is in use.
func (b *Budget) check() {
	b.mu.Lock()
	now := b.clock.Now()
	if late := now.Sub(b.checkAt); late > maxCheckDelay {
		b.ledger.paused += late
	}
	slow := b.ledger.endSlow(now)
	if b.checking = b.ledger.isTight(); b.checking {
		b.planCheck(now)
	}
	b.mu.Unlock()
	b.endAll(slow, now)
}

// release records that h holds nothing any more, and takes parts of the pool back.
func (b *Budget) release(h *Holder, parts [][]byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger.release(h)
	b.unused = append(b.unused, parts...)
	b.dropUnused()
	b.wake()
}

// move makes to, which holds nothing, hold what from holds.
func (b *Budget) move(from, to *Holder) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger.move(from, to)
}
