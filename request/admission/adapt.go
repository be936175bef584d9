package admission

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/rattanway/rattanway/process/eventlog"
)

const (
	// maxStepRatio is the largest growth of the limit in one step, as a
	// fraction of the limit. A step is always at least one call.
	maxStepRatio = 0.1
	// overloadFactor times the limit is the new limit after a call that ended
	// because of overload.
	overloadFactor = 0.7
	// settleTime is the time after a change of the limit in which samples do not
	// enter the rate curve, because they still cover the time before the change.
	settleTime = 150 * time.Millisecond
	// coldCooldown is the time after a reset to the cold limit in which the limit
	// is not decreased and samples are ignored.
	coldCooldown = 400 * time.Millisecond
	// minGrowthPause and maxGrowthPause limit the length of the growth pause, the
	// time after a decrease in which the limit does not grow. The length doubles
	// after each decrease that did not lower the token rate.
	minGrowthPause = 2 * time.Second
	maxGrowthPause = 30 * time.Second
	// minGrowthTrial is the shortest time for which a growth step is on trial. A
	// step on trial counts as the likely cause of a lower token rate.
	minGrowthTrial = time.Second
	// failedStepPauseFactor applies to the growth pause after a failed growth step,
	// one that led to a decrease. The pause is at least failedStepPauseFactor times
	// the mean slot time, the mean time for which a call holds its slot. The calls
	// that the step admitted overload the server until they end, which takes one
	// mean slot time. With a factor of 4, at most 1/(1+4) of the time, a fifth, is
	// spent on failed steps.
	failedStepPauseFactor = 4
	// pauseResetRatio times the limit after the last decrease is a threshold: once
	// the limit is above it, the growth pause returns to minGrowthPause.
	pauseResetRatio = 1.25
	// perTokenJumpRatio times the baseline of the time per token is a threshold: if
	// the recent time per token is above it, the server counts as having turned
	// cold.
	perTokenJumpRatio = 3.0
	// keepDecreaseRatio times the token rate before a decrease is the lowest rate
	// after the decrease at which the decrease is not undone.
	keepDecreaseRatio = 1.0
	// trialDecreaseWindows applies while a growth step is on trial: after this
	// number of consecutive windows with too many calls (see countOverloadedWindow)
	// the limit is decreased.
	trialDecreaseWindows = 2
	// stableDecreaseWindows replaces trialDecreaseWindows while no growth step is on
	// trial. It is larger, so that a short stall of the machine does not decrease
	// the limit.
	stableDecreaseWindows = 4
	// collapseWindows is the number of consecutive windows with a collapsed token
	// rate (see rateCurve.collapsed) after which the server counts as having turned
	// cold.
	collapseWindows = 2
	// firstTokenJumpRatio times the baseline of the time to the first token is a
	// threshold: if the recent time to the first token is above it, the server
	// counts as having turned cold. The ratio is larger than perTokenJumpRatio,
	// because the time to the first token depends on the length of the prompt and on
	// prefix cache hits.
	firstTokenJumpRatio = 10.0
)

// Reasons for decreasing the limit.
const (
	// reasonTokenRate means that the token rate was higher with fewer calls, or is
	// estimated to be.
	reasonTokenRate = "token rate"
	// reasonLessCapacity means that the token rate is lower than an earlier rate at
	// the same number of calls. The earlier rates at other numbers of calls are then
	// outdated too.
	reasonLessCapacity = "less capacity"
)

var (
	eventLimitFell       = eventlog.Define(410, "limit-fell", logrus.WarnLevel, "The concurrency limit was decreased because the server slowed down or refused a call.")
	eventTurnedCold      = eventlog.Define(411, "turned-cold", logrus.WarnLevel, "The server turned cold, so the limit was reset to the cold limit.")
	eventLimitFallUndone = eventlog.Define(416, "limit-fall-undone", logrus.InfoLevel, "A decrease of the limit did not raise the token rate and was undone: the number of calls is not the cause.")
	eventLimitFull       = eventlog.Define(412, "limit-full", logrus.InfoLevel, "The concurrency limit has grown to the declared limit.")
	eventCallsShed       = eventlog.Define(414, "calls-shed", logrus.WarnLevel, "Running calls were ended early because the server had turned cold.")
)

// adaptToOutcome adapts the limit to a finished call. After an overload it
// decreases the limit. Otherwise it lets the limit grow within the present growth
// step, unless the call is ignored, growth is paused or nearLimit is false.
// nearLimit is true if the number of calls in flight was near the limit. The
// caller holds l.mu.
func (l *AdaptiveLimiter) adaptToOutcome(o Outcome, nearLimit bool) {
	if o.Overloaded {
		l.decrease(l.limit*overloadFactor, "overloaded")
		l.pendingDecrease = pendingDecrease{}
		return
	}
	if o.Ignored || !nearLimit || l.clock.Now().Before(l.growthPausedUntil) {
		return
	}
	l.finishedCallCount++
	l.startStepIfDue(l.clock.Now())
	previousLimit := l.limit
	l.setLimit(max(l.limit, min(l.limit+l.cfg.GrowthPerCall, l.stepLimit)))
	if l.limit > l.decreasedTo*pauseResetRatio {
		l.nextGrowthPause = minGrowthPause
	}
	if previousLimit < float64(l.cfg.Limit) && l.limit >= float64(l.cfg.Limit) {
		l.cfg.Log.Event(eventLimitFull, eventlog.Fields{"limit": int(l.limit)})
	}
}

// startStepIfDue starts the next growth step if the token rate at the present
// limit has been evaluated, or if more calls than the limit have finished without
// a sample. A step lasts at least settleTime and windowTime together. The caller
// holds l.mu.
func (l *AdaptiveLimiter) startStepIfDue(now time.Time) {
	noSamples := float64(l.finishedCallCount) > l.limit
	if now.Sub(l.stepStart) < settleTime+windowTime || !l.stepEvaluated && !noSamples {
		return
	}
	l.stepStart, l.stepLimit, l.stepEvaluated = now, l.limit+l.maxStep(), false
	l.startSettling(now)
}

// growthOnTrial reports whether the last growth step is so recent that it is the
// likely cause of a lower token rate, because the calls that it admitted are
// probably still running. The caller holds l.mu.
func (l *AdaptiveLimiter) growthOnTrial() bool {
	return l.limit < float64(l.cfg.Limit) && l.clock.Since(l.stepStart) <= max(l.meanSlotTime.value, minGrowthTrial)
}

// maxStep returns the largest growth of the limit in one step, in calls. While
// the limit is below overloadCallCount, a step covers at most half of the
// distance to that number, but at least one call. The caller holds l.mu.
func (l *AdaptiveLimiter) maxStep() float64 {
	largest := l.limit * maxStepRatio
	if gap := float64(l.overloadCallCount) - l.limit; gap > 0 {
		largest = min(largest, gap/2)
	}
	return max(1, largest)
}

// Observe implements Limiter.
func (l *AdaptiveLimiter) Observe(s Sample) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	l.finishedCallCount = 0
	if now.Before(l.cooldownEnd) {
		return
	}
	if s.TimeToFirstToken > 0 {
		l.firstTokenTracker.add(s.TimeToFirstToken)
	}
	if s.TimePerToken > 0 {
		l.window.add(now, s.TimePerToken, l.inFlight())
	}
	if l.firstTokenTracker.exceeds(firstTokenJumpRatio) {
		l.resetToCold("first token")
	}
	if l.window.isFull(now) {
		l.evaluateWindow(now)
	}
}

// evaluateWindow adapts the limit to the mean time per token in the full window,
// and starts a new window. The caller holds l.mu.
func (l *AdaptiveLimiter) evaluateWindow(now time.Time) {
	w := l.window
	l.window = window{}
	l.perTokenTracker.add(w.mean())
	if l.perTokenTracker.exceeds(perTokenJumpRatio) {
		l.resetToCold("token pace")
		return
	}
	inFlight, steady := w.middleInFlight()
	if !steady {
		return
	}
	if l.curve.collapsed(now, w.mean(), inFlight) {
		l.collapsedWindowCount++
		if l.collapsedWindowCount >= collapseWindows {
			l.resetToCold("token rate")
		}
		return
	}
	l.collapsedWindowCount = 0
	if now.Before(l.settledAt) {
		return
	}
	rate := float64(inFlight) / w.mean().Seconds()
	if l.checkPendingDecrease(inFlight, rate) {
		l.undoDecrease()
		return
	}
	if ratio := l.curve.relativeRate(now, rate, inFlight); ratio < droppedRatio {
		l.countOverloadedWindow(inFlight, int(ratio*float64(inFlight)), rate, reasonLessCapacity)
		return
	}
	l.curve.add(now, rate, inFlight)
	l.stepEvaluated = l.isNearLimit(inFlight)
	best, ok := l.curve.betterCallCount(now, inFlight, l.perTokenTracker.baseline)
	if !ok {
		l.overloadedWindowCount = 0
		if inFlight >= l.overloadCallCount {
			l.overloadCallCount = 0
		}
		return
	}
	l.stepEvaluated = false
	l.countOverloadedWindow(inFlight, best, rate, reasonTokenRate)
}

// countOverloadedWindow counts a window in which inFlight calls were too many for
// the server. After several such windows in a row it decreases the limit to
// suitableCount, the number of calls that the server can handle, but not below
// the cold limit. rate is the token rate in the window. The caller holds l.mu.
func (l *AdaptiveLimiter) countOverloadedWindow(inFlight, suitableCount int, rate float64, reason string) {
	l.overloadedWindowCount++
	if l.overloadedWindowCount < trialDecreaseWindows || !l.growthOnTrial() && l.overloadedWindowCount < stableDecreaseWindows {
		return
	}
	previousLimit := l.limit
	l.decrease(float64(max(suitableCount, l.cfg.ColdLimit)), reason)
	l.pendingDecrease = pendingDecrease{limitBefore: previousLimit, rateBefore: rate}
	l.overloadCallCount = inFlight
	if reason == reasonLessCapacity {
		l.curve.clear()
	}
}

// pendingDecrease is a decrease of the limit whose effect on the token rate has
// not been evaluated yet.
type pendingDecrease struct {
	// limitBefore is the limit before the decrease; 0 if no decrease is pending.
	limitBefore float64
	// rateBefore is the token rate before the decrease.
	rateBefore float64
}

// checkPendingDecrease reports whether the caller must undo the pending decrease.
// It returns false if none is pending or while more calls are in flight than the
// limit allows. After that, it returns true if the token rate is below
// keepDecreaseRatio times the rate before the decrease: then the number of calls
// was not what made the server slow. Otherwise it confirms the decrease and
// doubles the next growth pause. The caller holds l.mu.
func (l *AdaptiveLimiter) checkPendingDecrease(inFlight int, rate float64) bool {
	if l.pendingDecrease.limitBefore <= l.limit || inFlight > int(l.limit) {
		return false
	}
	if rate < l.pendingDecrease.rateBefore*keepDecreaseRatio {
		return true
	}
	l.pendingDecrease = pendingDecrease{}
	l.nextGrowthPause = min(2*l.nextGrowthPause, maxGrowthPause)
	return false
}

// undoDecrease restores the limit from before the pending decrease. It also
// discards the rate curve and overloadCallCount, which were measured under other
// conditions. The caller holds l.mu.
func (l *AdaptiveLimiter) undoDecrease() {
	previousLimit := int(l.limit)
	l.setLimit(l.pendingDecrease.limitBefore)
	l.pendingDecrease = pendingDecrease{}
	l.growthPausedUntil = time.Time{}
	l.forgetCapacity()
	l.startSettling(l.clock.Now())
	l.cfg.Log.Event(eventLimitFallUndone, eventlog.Fields{"was": previousLimit, "limit": int(l.limit)})
}

// decrease lowers the limit to the given value, but to at least 1, and pauses the
// growth of the limit. It does nothing if the limiter is fixed or the given value
// is not lower. It also does nothing before l.settledAt and before l.cooldownEnd,
// that is, shortly after a change of the limit or a reset to the cold limit. The
// caller holds l.mu.
func (l *AdaptiveLimiter) decrease(limit float64, reason string) {
	now := l.clock.Now()
	if l.cfg.Fixed || now.Before(l.settledAt) || now.Before(l.cooldownEnd) || limit >= l.limit {
		return
	}
	previousLimit := int(l.limit)
	l.setLimit(max(limit, 1))
	l.stepLimit = l.limit
	l.decreasedTo = l.limit
	pause := l.nextGrowthPause
	if l.growthOnTrial() {
		pause = min(max(pause, failedStepPauseFactor*l.meanSlotTime.value), maxGrowthPause)
	}
	l.growthPausedUntil = now.Add(pause)
	l.overloadedWindowCount = 0
	l.startSettling(now)
	l.cfg.Log.Event(eventLimitFell, eventlog.Fields{
		"why": reason, "was": previousLimit, "limit": int(l.limit), "in_flight": l.inFlight(), "held_ms": pause.Milliseconds(),
	})
}

// forgetCapacity discards everything that was measured about the capacity of the
// server: the rate curve and overloadCallCount. The caller holds l.mu.
func (l *AdaptiveLimiter) forgetCapacity() {
	l.curve.clear()
	l.overloadCallCount = 0
}

// startSettling keeps samples out of the rate curve until settleTime after from,
// and discards the samples of the present window. The caller holds l.mu.
func (l *AdaptiveLimiter) startSettling(from time.Time) {
	l.settledAt = from.Add(settleTime)
	l.window = window{}
}

// Reset implements Limiter.
func (l *AdaptiveLimiter) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.resetToCold("restart")
}

// resetToCold lowers the limit to the cold limit. It ends as many calls early as
// are above that limit, but only repeatable ones. It does nothing if the limiter
// is fixed. The caller holds l.mu.
func (l *AdaptiveLimiter) resetToCold(reason string) {
	if l.cfg.Fixed {
		return
	}
	previousLimit := int(l.limit)
	l.setLimit(min(l.limit, float64(l.cfg.ColdLimit)))
	l.stepLimit = l.limit
	l.forgetCapacity()
	l.pendingDecrease = pendingDecrease{}
	l.collapsedWindowCount = 0
	now := l.clock.Now()
	l.cooldownEnd = now.Add(coldCooldown)
	l.decreasedTo, l.nextGrowthPause, l.growthPausedUntil = l.limit, minGrowthPause, now.Add(minGrowthPause)
	l.startSettling(l.cooldownEnd)
	l.firstTokenTracker.resetRecent()
	l.perTokenTracker.resetRecent()
	l.cfg.Log.Event(eventTurnedCold, eventlog.Fields{"why": reason, "was": previousLimit, "limit": int(l.limit), "in_flight": l.inFlight()})
	l.shedCalls(l.inFlight() - int(l.limit))
}

// shedCalls ends up to n repeatable calls early. It begins with the lowest
// priority; within a priority it begins with the newest call. The caller holds
// l.mu.
func (l *AdaptiveLimiter) shedCalls(n int) {
	endedCount := 0
	for priority := 0; priority <= maxPriority && endedCount < n; priority++ {
		for i := len(l.runningCalls) - 1; i >= 0 && endedCount < n; i-- {
			call := l.runningCalls[i]
			if call.shed || call.request.Shed == nil || call.request.Priority != priority {
				continue
			}
			call.shed = true
			endedCount++
			go call.request.Shed()
		}
	}
	if endedCount > 0 {
		l.cfg.Log.Event(eventCallsShed, eventlog.Fields{"calls": endedCount})
	}
}

// maxPriority is the highest priority that a call can have.
const maxPriority = 9
