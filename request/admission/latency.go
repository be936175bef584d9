package admission

import (
	"math"
	"time"
)

const (
	// windowTime is the time over which samples are averaged.
	windowTime = 100 * time.Millisecond
	// steadyShare is the change of the calls in flight during a window, as a
	// share, up to which the window tells of one number of calls.
	steadyShare = 0.05
	// fallWeight and riseWeight are the weights of a new mean in the baseline
	// when it is below and above it.
	fallWeight = 0.1
	riseWeight = 0.005
	// recentWeight is the weight of a new mean in the recent mean.
	recentWeight = 0.5
	// meanWeight is the weight of a new time in a mean.
	meanWeight = 0.1
	// baselineMeans is the number of means before jumps are judged.
	baselineMeans = 5
	// maxBaselineStep bounds a mean that enters the baseline, as a multiple
	// of it.
	maxBaselineStep = 1.5
	// jumpFloor is the least rise that counts, so that scheduling noise on
	// short times does not.
	jumpFloor = 10 * time.Millisecond
)

// window averages the samples of windowTime.
type window struct {
	start time.Time
	sum   time.Duration
	n     int
	// least and most are the bounds of the calls in flight meanwhile.
	least, most int
}

// add takes in a sample seen while calls were in flight.
func (w *window) add(now time.Time, d time.Duration, calls int) {
	if w.n == 0 {
		*w = window{start: now, least: calls, most: calls}
	}
	w.sum += d
	w.n++
	w.least = min(w.least, calls)
	w.most = max(w.most, calls)
}

// full reports whether the window's time has passed.
func (w *window) full(now time.Time) bool { return w.n > 0 && now.Sub(w.start) >= windowTime }

// mean returns the mean of the samples.
func (w *window) mean() time.Duration { return w.sum / time.Duration(w.n) }

// level returns the number of calls in flight, when it was about the same
// all the time.
func (w *window) level() (int, bool) {
	steady := float64(w.most-w.least) <= steadyShare*float64(w.most)
	return (w.most + w.least) / 2, steady && w.most > 0
}

// latency compares the recent mean of one kind of time with its baseline,
// the mean while the server was well.
type latency struct {
	baseline float64
	recent   float64
	means    int
}

// add takes the mean of one window in.
func (l *latency) add(d time.Duration) {
	v := float64(d)
	if l.means == 0 {
		l.baseline, l.recent = v, v
	}
	l.means++
	l.recent += recentWeight * (v - l.recent)
	l.baseline += baselineStep(l.baseline, v)
}

// baselineStep is the change of a baseline by a new mean. It rises slowly: a
// baseline that follows a slow server would hide it.
func baselineStep(baseline, v float64) float64 {
	if v < baseline {
		return fallWeight * (v - baseline)
	}
	return riseWeight * (math.Min(v, maxBaselineStep*baseline) - baseline)
}

// above reports whether the recent mean is above ratio times the baseline.
func (l *latency) above(ratio float64) bool {
	if l.means < baselineMeans {
		return false
	}
	return l.recent > ratio*l.baseline && l.recent-l.baseline > float64(jumpFloor)
}

// settle forgets the recent mean after the limit has been changed.
func (l *latency) settle() { l.recent = l.baseline }

// mean is a weighted mean of times that follows the newest ones.
type mean struct{ value time.Duration }

// add takes one time in; the first is taken as it is.
func (m *mean) add(d time.Duration) {
	if m.value == 0 {
		m.value = d
		return
	}
	m.value += time.Duration(meanWeight * float64(d-m.value))
}
