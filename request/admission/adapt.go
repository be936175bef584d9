package admission

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/rattanway/rattanway/process/eventlog"
)

const (
	// stepShare is the most growth in one window, as a share of the limit;
	// one call is always let in.
	stepShare = 0.1
	// overloadFactor is what the limit falls to, as a share, when the engine
	// refuses.
	overloadFactor = 0.7
	// settleTime is the time after a change of the limit in which samples do
	// not enter the curve: they still tell of the time before it.
	settleTime = 150 * time.Millisecond
	// coolTime is the time after a fall to the cold limit in which no other
	// fall follows.
	coolTime = 400 * time.Millisecond
	// minHold and maxHold bound the time for which the limit does not grow
	// again after a fall; it doubles with each fall that helped.
	minHold = 2 * time.Second
	maxHold = 30 * time.Second
	// leastTry is the least time for which a step of growth is on trial.
	leastTry = time.Second
	// holdCalls is the least hold after a step of growth that failed, in the
	// mean time for which a call holds its slot: a step too far lasts as long
	// as the calls that it let in, so that at most a fifth of the time goes to
	// trying.
	holdCalls = 4
	// holdOverShare is the growth beyond the last fall that ends doubling.
	holdOverShare = 1.25
	// jumpRatio is the recent mean over the baseline that tells of a server
	// turned cold.
	jumpRatio = 3.0
	// helpedRatio is the token rate after a fall, over the one before, below
	// which the fall is taken back.
	helpedRatio = 1.0
	// worseWindows is the number of windows in a row in which fewer calls must
	// have been better for the limit to fall.
	worseWindows = 2
	// standingWindows is the same for a limit that stands: a hiccup of the
	// machine must not count.
	standingWindows = 4
	// coldWindows is the number of collapsed windows that tell of the same.
	coldWindows = 2
	// firstJumpRatio is the same for first tokens, whose times differ with
	// the length of the prompt and with prefix hits.
	firstJumpRatio = 10.0
)

// Why a limit fell.
const (
	// fellTokenRate is a higher token rate with fewer calls.
	fellTokenRate = "token rate"
	// fellBearsLess is a lower token rate than before with as many calls:
	// what was seen with fewer calls does not hold any more either.
	fellBearsLess = "bears less"
)

var (
	eventLimitFell  = eventlog.Define(410, "limit-fell", logrus.WarnLevel, "The concurrency limit fell because the server slowed down or refused.")
	eventTurnedCold = eventlog.Define(411, "turned-cold", logrus.WarnLevel, "The server turned cold; the limit is the cold limit again.")
	eventUndone     = eventlog.Define(416, "limit-fall-undone", logrus.InfoLevel, "A fall of the limit did not raise the token rate and was taken back: the cause is not the number of calls.")
	eventReady      = eventlog.Define(412, "limit-full", logrus.InfoLevel, "The concurrency limit has grown to the declared limit.")
	eventShed       = eventlog.Define(414, "calls-shed", logrus.WarnLevel, "Running calls were ended early because the server had turned cold.")
)

// learn adapts the limit to a finished call; the lock is held.
func (g *Gate) learn(o Outcome, busy bool) {
	if o.Overloaded {
		g.fall(g.limit*overloadFactor, "overloaded")
		g.trial = fallTrial{}
		return
	}
	if o.Cancelled || !busy || g.clock.Now().Before(g.heldUntil) {
		return
	}
	g.unsampled++
	g.step(g.clock.Now())
	was := g.limit
	g.setLimit(max(g.limit, min(g.limit+g.cfg.Growth, g.stepTo)))
	if g.limit > g.fellTo*holdOverShare {
		g.hold = minHold
	}
	if was < float64(g.cfg.Limit) && g.limit >= float64(g.cfg.Limit) {
		g.cfg.Log.Event(eventReady, eventlog.Fields{"limit": int(g.limit)})
	}
}

// step begins the next step of growth when the pace at the present limit has
// been judged, or when the server's calls give no samples; the lock is held.
func (g *Gate) step(now time.Time) {
	unsampled := float64(g.unsampled) > g.limit
	if now.Sub(g.stepStart) < settleTime+windowTime || !g.judged && !unsampled {
		return
	}
	g.stepStart, g.stepTo, g.judged = now, g.limit+g.stepSize(), false
	g.settle(now)
}

// trying reports whether the limit has grown within the time of a call, so
// that a worse pace is likely the growth's doing; the lock is held.
func (g *Gate) trying() bool {
	return g.limit < float64(g.cfg.Limit) && g.clock.Since(g.stepStart) <= max(g.slotTime.value, leastTry)
}

// stepSize returns the most growth in one step. Below a number of calls that
// was too many before, a step goes half of the way; the lock is held.
func (g *Gate) stepSize() float64 {
	most := g.limit * stepShare
	if left := float64(g.tooMany) - g.limit; left > 0 {
		most = min(most, left/2)
	}
	return max(1, most)
}

// Observe implements Limiter.
func (g *Gate) Observe(s Sample) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.unsampled = 0
	if now.Before(g.cooled) {
		return
	}
	if s.FirstToken > 0 {
		g.first.add(s.FirstToken)
	}
	if s.PerToken > 0 {
		g.window.add(now, s.PerToken, g.inFlight())
	}
	if g.first.above(firstJumpRatio) {
		g.cool("first token")
	}
	if g.window.full(now) {
		g.judge(now)
	}
}

// judge adapts the limit to the pace of a full window; the lock is held.
func (g *Gate) judge(now time.Time) {
	w := g.window
	g.window = window{}
	g.perToken.add(w.mean())
	if g.perToken.above(jumpRatio) {
		g.cool("token pace")
		return
	}
	level, steady := w.level()
	if !steady {
		return
	}
	if g.curve.collapsed(now, w.mean(), level) {
		g.collapses++
		if g.collapses >= coldWindows {
			g.cool("token rate")
		}
		return
	}
	g.collapses = 0
	if now.Before(g.settled) {
		return
	}
	rate := float64(level) / w.mean().Seconds()
	if g.fallFailed(level, rate) {
		g.undoFall()
		return
	}
	if share := g.curve.dropped(now, rate, level); share < droppedShare {
		g.worsened(level, int(share*float64(level)), rate, fellBearsLess)
		return
	}
	g.curve.add(now, rate, level)
	g.judged = g.busy(level)
	best, ok := g.curve.better(now, level, g.perToken.baseline)
	if !ok {
		g.worse = 0
		if level >= g.tooMany {
			g.tooMany = 0
		}
		return
	}
	g.judged = false
	g.worsened(level, best, rate, fellTokenRate)
}

// worsened notes a window in which so many calls as best would have been
// better than level; after some in a row the limit falls there. The lock is
// held.
func (g *Gate) worsened(level, best int, rate float64, why string) {
	g.worse++
	if g.worse < worseWindows || !g.trying() && g.worse < standingWindows {
		return
	}
	from := g.limit
	g.fall(float64(max(best, g.cfg.ColdLimit)), why)
	g.trial = fallTrial{from: from, rate: rate}
	g.tooMany = level
	if why == fellBearsLess {
		g.curve.clear()
	}
}

// fallTrial is a fall whose effect on the token rate has not been seen yet.
type fallTrial struct {
	// from is the limit before the fall, 0 when no fall is on trial.
	from float64
	// rate is the token rate before the fall.
	rate float64
}

// fallFailed ends the trial of the last fall once its effect is seen, and
// reports whether it did not help: then it was not the number of calls that
// made the server slow. The lock is held.
func (g *Gate) fallFailed(level int, rate float64) bool {
	if g.trial.from <= g.limit || level > int(g.limit) {
		return false
	}
	if rate < g.trial.rate*helpedRatio {
		return true
	}
	g.trial = fallTrial{}
	g.hold = min(2*g.hold, maxHold)
	return false
}

// undoFall takes the last fall back and forgets the curve, which was seen
// under other conditions; the lock is held.
func (g *Gate) undoFall() {
	was := int(g.limit)
	g.setLimit(g.trial.from)
	g.trial = fallTrial{}
	g.heldUntil = time.Time{}
	g.forgetCurve()
	g.settle(g.clock.Now())
	g.cfg.Log.Event(eventUndone, eventlog.Fields{"was": was, "limit": int(g.limit)})
}

// fall lowers the limit and holds it there for a time; the lock is held.
func (g *Gate) fall(limit float64, why string) {
	now := g.clock.Now()
	if g.cfg.Fixed || now.Before(g.settled) || now.Before(g.cooled) || limit >= g.limit {
		return
	}
	was := int(g.limit)
	g.setLimit(max(limit, 1))
	g.stepTo = g.limit
	g.fellTo = g.limit
	held := g.hold
	if g.trying() {
		held = min(max(held, holdCalls*g.slotTime.value), maxHold)
	}
	g.heldUntil = now.Add(held)
	g.worse = 0
	g.settle(now)
	g.cfg.Log.Event(eventLimitFell, eventlog.Fields{
		"why": why, "was": was, "limit": int(g.limit), "in_flight": g.inFlight(), "held_ms": held.Milliseconds(),
	})
}

// forgetCurve forgets what was seen at each number of calls; the lock is held.
func (g *Gate) forgetCurve() {
	g.curve.clear()
	g.tooMany = 0
}

// settle keeps samples out of the curve for a time; the lock is held.
func (g *Gate) settle(now time.Time) {
	g.settled = now.Add(settleTime)
	g.window = window{}
}

// Reset implements Limiter.
func (g *Gate) Reset() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cool("restart")
}

// cool goes back to the cold limit and sheds the calls above it; the lock is
// held.
func (g *Gate) cool(why string) {
	if g.cfg.Fixed {
		return
	}
	was := int(g.limit)
	g.setLimit(min(g.limit, float64(g.cfg.ColdLimit)))
	g.stepTo = g.limit
	g.forgetCurve()
	g.trial = fallTrial{}
	g.collapses = 0
	now := g.clock.Now()
	g.cooled = now.Add(coolTime)
	g.fellTo, g.hold, g.heldUntil = g.limit, minHold, now.Add(minHold)
	g.settle(g.cooled)
	g.first.settle()
	g.perToken.settle()
	g.cfg.Log.Event(eventTurnedCold, eventlog.Fields{"why": why, "was": was, "limit": int(g.limit), "in_flight": g.inFlight()})
	g.shed(g.inFlight() - int(g.limit))
}

// shed ends up to n repeatable calls early, lowest priority and newest first;
// the lock is held.
func (g *Gate) shed(n int) {
	ended := 0
	for priority := 0; priority <= maxPriority && ended < n; priority++ {
		for i := len(g.calls) - 1; i >= 0 && ended < n; i-- {
			a := g.calls[i]
			if a.shed || a.ticket.Shed == nil || a.ticket.Priority != priority {
				continue
			}
			a.shed = true
			ended++
			go a.ticket.Shed()
		}
	}
	if ended > 0 {
		g.cfg.Log.Event(eventShed, eventlog.Fields{"calls": ended})
	}
}

// maxPriority is the highest priority.
const maxPriority = 9
