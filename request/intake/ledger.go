package intake

import "time"

// Sizes, in bytes.
const (
	// partBytes is the size of the parts from the pool. A body of 4 MiB has 256 of them, and one
	// that is just larger than its first part wastes at most one.
	partBytes = 16 << 10
	// firstPartBytes is the largest size of the first part of a body, which is not from the
	// pool. Most bodies have 300 to 700 bytes and get no other part. A holder with no more than
	// this is never ended: that would free next to nothing.
	firstPartBytes = 4 << 10
	// smallBytes is how much a small body holds at most: 64 KiB after its first part.
	smallBytes = firstPartBytes + 64<<10
)

const (
	// slowAfter is the time without a further part after which an unfinished body is ended
	// before others when the budget is used up: 64 KiB/s.
	slowAfter = 250 * time.Millisecond
	// minRateSpan is the time within which an unfinished body must get a further part while more
	// than half of the budget is in use: 8 KiB/s. A client that sends a body of 4 MiB within a
	// minute is ten times as fast.
	minRateSpan = 2 * time.Second
)

// limits are the limits of a ledger, in bytes.
type limits struct {
	// total is the limit for everything together, and forLarge the one for bodies that are not
	// small. The difference is reserved for small bodies.
	total, forLarge int64
}

// Holder is what one client makes the process hold: a request body, or the head of a request.
// The zero value holds nothing. Its fields belong to the ledger.
type Holder struct {
	// begunAt is when the holder got its first bytes, progressAt when it got its last ones.
	begunAt, progressAt time.Time
	held                int64
	// waiting is the number of bytes for which the holder waits.
	waiting int64
	// ended is why the holder is to be ended; nil if it is not.
	ended error
	// end makes the reader of the client's bytes stop. It does not block.
	end        func()
	unfinished bool
	next, prev *Holder
}

// isLarge reports whether the holder counts as a large body if it holds n more bytes.
func (h *Holder) isLarge(n int64) bool { return h.held+n > smallBytes }

// verdict is the answer of a ledger to a holder that asks for bytes.
type verdict int

const (
	// granted means that the holder has the bytes.
	granted verdict = iota
	// wait means that others are being ended, so that the holder may get the bytes soon.
	wait
	// refused means that the holder does not get the bytes.
	refused
)

// ledger decides which holders get bytes of a budget and which are ended. It takes the time as
// an argument and does nothing else. It is not safe for concurrent use.
type ledger struct {
	limits limits
	// used is what all holders hold, usedByLarge what the large ones hold.
	used, usedByLarge int64
	// ending is what the holders that are to be ended still hold, endingLarge what the large
	// ones of them hold, and waiting the bytes for which holders wait, which are not in used.
	ending, endingLarge, waiting int64
	// unfinished is a ring of the holders that may be ended; the value itself is no holder.
	unfinished Holder
	// measuredFrom is from when on the progress of holders counts: since more than half of the
	// budget is in use.
	measuredFrom time.Time
	// paused is for how long the process did not run. All times of the ledger are earlier by
	// this much, so that clients whose bytes the process has not read do not seem slow.
	paused time.Duration
}

// newLedger returns an empty ledger.
func newLedger(l limits) *ledger {
	g := &ledger{limits: l}
	g.unfinished.next, g.unfinished.prev = &g.unfinished, &g.unfinished
	return g
}

// runTime returns the time of the ledger for a time of the clock.
func (g *ledger) runTime(now time.Time) time.Time { return now.Add(-g.paused) }

// isTight reports whether more than half of the budget is in use.
func (g *ledger) isTight() bool { return g.used > g.limits.total/2 }

// shortage returns how many bytes must be released before h can get n more. Those that large
// bodies must release are largeOnly.
func (g *ledger) shortage(h *Holder, n int64) (bytes, largeOnly int64) {
	bytes = g.used + n - g.limits.total
	if h.isLarge(n) {
		more := n
		if !h.isLarge(0) {
			more += h.held
		}
		largeOnly = g.usedByLarge + more - g.limits.forLarge
	}
	return max(0, bytes), max(0, largeOnly)
}

// take gives h n more bytes if they fit. Otherwise it marks others as ended with the error
// errEndedForRoom, which the caller ends, or refuses the bytes.
func (g *ledger) take(h *Holder, n int64, now time.Time) (verdict, []*Holder) {
	g.waiting -= h.waiting
	h.waiting = 0
	if h.ended != nil {
		return refused, nil
	}
	now = g.runTime(now)
	bytes, largeOnly := g.shortage(h, n)
	if bytes == 0 && largeOnly == 0 {
		g.add(h, n, now)
		return granted, nil
	}
	var victims []*Holder
	for g.ending < bytes || g.endingLarge < largeOnly {
		victim := chooseVictim(g, h, g.endingLarge < largeOnly, now)
		if victim == nil {
			return refused, victims
		}
		g.markEnded(victim, errEndedForRoom)
		victims = append(victims, victim)
	}
	h.waiting = n
	g.waiting += n
	return wait, victims
}

// add records that h holds n more bytes. now is in the time of the ledger, as in the functions
// below except endSlow.
func (g *ledger) add(h *Holder, n int64, now time.Time) {
	if h.held == 0 {
		h.begunAt = now
	}
	h.progressAt = now
	wasTight := g.isTight()
	if h.isLarge(0) {
		g.usedByLarge += n
	} else if h.isLarge(n) {
		g.usedByLarge += h.held + n
	}
	h.held += n
	g.used += n
	if !wasTight && g.isTight() {
		g.measuredFrom = now
	}
	if h.held > firstPartBytes && !h.unfinished {
		h.unfinished = true
		h.prev, h.next = g.unfinished.prev, &g.unfinished
		h.prev.next, h.next.prev = h, h
	}
}

// stopWaiting records that h no longer waits for bytes.
func (g *ledger) stopWaiting(h *Holder) {
	g.waiting -= h.waiting
	h.waiting = 0
}

// markEnded records that h is to be ended because of err.
func (g *ledger) markEnded(h *Holder, err error) {
	h.ended = err
	g.ending += h.held
	if h.isLarge(0) {
		g.endingLarge += h.held
	}
}

// finish records that h has got all bytes of its client and is not to be ended any more. It
// returns the reason if h is to be ended already, and nil otherwise.
func (g *ledger) finish(h *Holder) error {
	if h.ended == nil {
		g.unlink(h)
	}
	return h.ended
}

func (g *ledger) unlink(h *Holder) {
	if h.unfinished {
		h.prev.next, h.next.prev = h.next, h.prev
		h.unfinished, h.prev, h.next = false, nil, nil
	}
}

// release records that h holds nothing any more, and resets it. Nothing else reduces the use of
// the budget.
func (g *ledger) release(h *Holder) {
	g.unlink(h)
	g.stopWaiting(h)
	g.used -= h.held
	if h.isLarge(0) {
		g.usedByLarge -= h.held
	}
	if h.ended != nil {
		g.ending -= h.held
		if h.isLarge(0) {
			g.endingLarge -= h.held
		}
	}
	*h = Holder{end: h.end}
}

// move makes to, which holds nothing, hold what from holds, which is finished.
func (g *ledger) move(from, to *Holder) {
	to.begunAt, to.progressAt, to.held = from.begunAt, from.progressAt, from.held
	*from = Holder{}
}

// chooseVictim returns the unfinished holder to end so that h can get bytes; nil if h is to be
// refused. If largeOnly is set, only large bodies help. It answers clients that begin many bodies
// and do not finish them. Holders without progress come first, those with the most bytes held
// for longest before others. If all make progress, the one that began last is ended, h itself
// included: it has cost least, and those before it finish.
func chooseVictim(g *ledger, h *Holder, largeOnly bool, now time.Time) *Holder {
	var slow *Holder
	var slowCost float64
	newest := h
	for o := g.unfinished.next; o != &g.unfinished; o = o.next {
		if o == h || o.ended != nil || largeOnly && !o.isLarge(0) {
			continue
		}
		if idle := g.idleTime(o, now); o.waiting == 0 && idle >= slowAfter {
			if cost := float64(o.held) * idle.Seconds(); cost > slowCost {
				slow, slowCost = o, cost
			}
		}
		// Small bodies are not ended for large ones.
		if h.held > 0 && o.begunAt.After(newest.begunAt) && (o.isLarge(0) || !h.isLarge(0)) {
			newest = o
		}
	}
	switch {
	case slow != nil:
		return slow
	case newest != h:
		return newest
	}
	return nil
}

// idleTime returns for how long h has made no progress.
func (g *ledger) idleTime(h *Holder, now time.Time) time.Duration {
	if h.progressAt.Before(g.measuredFrom) {
		return now.Sub(g.measuredFrom)
	}
	return now.Sub(h.progressAt)
}

// endSlow marks the unfinished holders that are slower than the least rate as ended with the
// error errTooSlow, and returns them. While at most half of the budget is in use there are none,
// so that clients on slow links are served in calm.
func (g *ledger) endSlow(now time.Time) []*Holder {
	if !g.isTight() {
		return nil
	}
	now = g.runTime(now)
	var slow []*Holder
	for h := g.unfinished.next; h != &g.unfinished; h = h.next {
		if h.ended == nil && h.waiting == 0 && g.idleTime(h, now) >= minRateSpan {
			g.markEnded(h, errTooSlow)
			slow = append(slow, h)
		}
	}
	return slow
}
