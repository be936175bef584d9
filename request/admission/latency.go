package admission

import (
	"math"
	"time"
)

const (
	// windowTime is the time over which samples are averaged.
	windowTime = 100 * time.Millisecond
	// steadyRatio is the largest variation of the number of calls in flight
	// within a window, as a fraction of the maximum, at which the window counts as
	// measured with one number of calls.
	steadyRatio = 0.05
	// baselineFallWeight is the weight of a new mean that lowers the baseline.
	baselineFallWeight = 0.1
	// baselineRiseWeight is the weight of a new mean that raises the baseline.
	baselineRiseWeight = 0.005
	// recentWeight is the weight of a new mean in the recent mean.
	recentWeight = 0.5
	// movingAverageWeight is the weight of a new value in a moving average.
	movingAverageWeight = 0.1
	// minBaselineMeans is the number of window means that a latencyTracker needs
	// before it detects jumps.
	minBaselineMeans = 5
	// maxBaselineRatio times the baseline is the largest mean that enters the
	// baseline; a larger mean counts as this value.
	maxBaselineRatio = 1.5
	// minJump is the smallest increase that counts as a jump. Scheduling noise on
	// short times stays below it.
	minJump = 10 * time.Millisecond
)

// window averages the samples of the time per token in a period of windowTime.
type window struct {
	// start is the time of the first sample.
	start       time.Time
	sum         time.Duration
	sampleCount int
	// minInFlight and maxInFlight bound the number of calls in flight during the
	// window.
	minInFlight, maxInFlight int
}

// add adds a sample that was taken with this number of calls in flight.
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

// mean returns the mean of the samples.
func (w *window) mean() time.Duration { return w.sum / time.Duration(w.sampleCount) }

// middleInFlight returns the middle of the range of the number of calls in flight
// during the window. It returns false if there were none or the range exceeds
// steadyRatio.
func (w *window) middleInFlight() (int, bool) {
	steady := float64(w.maxInFlight-w.minInFlight) <= steadyRatio*float64(w.maxInFlight)
	return (w.maxInFlight + w.minInFlight) / 2, steady && w.maxInFlight > 0
}

// latencyTracker compares the recent mean of one kind of latency with its
// baseline, the mean while the server was healthy.
type latencyTracker struct {
	// baseline and recent are in nanoseconds.
	baseline  float64
	recent    float64
	meanCount int
}

// add takes one more latency into account: the mean of a window or, for the time
// to the first token, one sample.
func (l *latencyTracker) add(d time.Duration) {
	mean := float64(d)
	if l.meanCount == 0 {
		l.baseline, l.recent = mean, mean
	}
	l.meanCount++
	l.recent += recentWeight * (mean - l.recent)
	l.baseline += baselineChange(l.baseline, mean)
}

// baselineChange returns the change of a baseline by a new mean. The baseline
// rises slowly, because a baseline that rose quickly with the latency of a slow
// server would hide the slowdown.
func baselineChange(baseline, mean float64) float64 {
	if mean < baseline {
		return baselineFallWeight * (mean - baseline)
	}
	return baselineRiseWeight * (math.Min(mean, maxBaselineRatio*baseline) - baseline)
}

// exceeds reports whether the recent mean is above ratio times the baseline.
func (l *latencyTracker) exceeds(ratio float64) bool {
	if l.meanCount < minBaselineMeans {
		return false
	}
	return l.recent > ratio*l.baseline && l.recent-l.baseline > float64(minJump)
}

// resetRecent sets the recent mean to the baseline, after a reset to the cold
// limit.
func (l *latencyTracker) resetRecent() { l.recent = l.baseline }

// movingAverage is an exponentially weighted moving average of durations.
type movingAverage struct{ value time.Duration }

// add takes one more duration into account. The first one becomes the average.
func (m *movingAverage) add(d time.Duration) {
	if m.value == 0 {
		m.value = d
		return
	}
	m.value += time.Duration(movingAverageWeight * float64(d-m.value))
}
