package admission

import (
	"math"
	"time"
)

const (
	// windowTime is the length of a window, the period over which samples of the
	// time per token are averaged.
	windowTime = 100 * time.Millisecond
	// steadyRatio is the largest variation of the number of calls in flight within a
	// window, as a fraction of the maximum, at which the window counts as measured
	// at a constant number of calls.
	steadyRatio = 0.05
	// baselineFallFactor is the smoothing factor of the baseline for a value below
	// it: the fraction of the difference by which the baseline falls.
	baselineFallFactor = 0.1
	// baselineRiseFactor is the smoothing factor of the baseline for a value above
	// it: the fraction of the difference by which the baseline rises.
	baselineRiseFactor = 0.005
	// recentMeanFactor is the smoothing factor of the recent mean.
	recentMeanFactor = 0.5
	// movingAverageFactor is the smoothing factor of a movingAverage.
	movingAverageFactor = 0.1
	// minValueCount is the number of values that a latencyTracker needs before it
	// detects jumps.
	minValueCount = 5
	// maxBaselineRatio limits the influence of a high value on the baseline: a value
	// above maxBaselineRatio times the baseline counts as that product.
	maxBaselineRatio = 1.5
	// minJump is the smallest difference between the recent mean and the baseline
	// that counts as a jump. Scheduling noise on short times stays below it.
	minJump = 10 * time.Millisecond
)

// window holds the sum and the number of samples of the time per token, taken in
// a period of windowTime.
type window struct {
	// start is the time of the first sample.
	start       time.Time
	sum         time.Duration
	sampleCount int
	// minInFlight and maxInFlight are the lowest and the highest number of calls in
	// flight at the time of a sample.
	minInFlight, maxInFlight int
}

// add adds a sample that was taken with inFlight calls in flight.
func (w *window) add(now time.Time, perToken time.Duration, inFlight int) {
	if w.sampleCount == 0 {
		*w = window{start: now, minInFlight: inFlight, maxInFlight: inFlight}
	}
	w.sum += perToken
	w.sampleCount++
	w.minInFlight = min(w.minInFlight, inFlight)
	w.maxInFlight = max(w.maxInFlight, inFlight)
}

// isFull reports whether windowTime has passed since the first sample.
func (w *window) isFull(now time.Time) bool {
	return w.sampleCount > 0 && now.Sub(w.start) >= windowTime
}

// mean returns the mean of the samples. There must be at least one.
func (w *window) mean() time.Duration { return w.sum / time.Duration(w.sampleCount) }

// middleInFlight returns the middle between the lowest and the highest number of
// calls in flight. It returns false if no calls were in flight or the number
// varied by more than steadyRatio.
func (w *window) middleInFlight() (int, bool) {
	steady := float64(w.maxInFlight-w.minInFlight) <= steadyRatio*float64(w.maxInFlight)
	return (w.maxInFlight + w.minInFlight) / 2, steady && w.maxInFlight > 0
}

// latencyTracker compares the recent mean of one kind of latency with the
// baseline, which is the mean while the server was healthy.
type latencyTracker struct {
	// baseline and recent are means, in nanoseconds.
	baseline   float64
	recent     float64
	valueCount int
}

// add takes one more value into account: for the time per token the mean of a
// window, for the time to the first token one sample.
func (l *latencyTracker) add(d time.Duration) {
	mean := float64(d)
	if l.valueCount == 0 {
		l.baseline, l.recent = mean, mean
	}
	l.valueCount++
	l.recent += recentMeanFactor * (mean - l.recent)
	l.baseline += baselineChange(l.baseline, mean)
}

// baselineChange returns the change of a baseline by a new value. The baseline
// rises slowly: if it rose quickly with the latency of a slow server, it would
// hide the slowdown.
func baselineChange(baseline, mean float64) float64 {
	if mean < baseline {
		return baselineFallFactor * (mean - baseline)
	}
	return baselineRiseFactor * (math.Min(mean, maxBaselineRatio*baseline) - baseline)
}

// exceeds reports whether the recent mean is above ratio times the baseline and
// above the baseline by more than minJump. With fewer than minValueCount
// values it returns false.
func (l *latencyTracker) exceeds(ratio float64) bool {
	if l.valueCount < minValueCount {
		return false
	}
	return l.recent > ratio*l.baseline && l.recent-l.baseline > float64(minJump)
}

// resetRecent sets the recent mean to the baseline. It is called after a reset to
// the cold limit.
func (l *latencyTracker) resetRecent() { l.recent = l.baseline }

// movingAverage is an exponentially weighted moving average of durations.
type movingAverage struct{ value time.Duration }

// add takes one more duration into account. The first duration becomes the
// average.
func (m *movingAverage) add(d time.Duration) {
	if m.value == 0 {
		m.value = d
		return
	}
	m.value += time.Duration(movingAverageFactor * float64(d-m.value))
}
