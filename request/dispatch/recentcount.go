package dispatch

import (
	"math"
	"time"
)

// recentCount counts events within about the last span of time with two counters, so that
// its size does not depend on the number of events. All calls must use the same span.
type recentCount struct {
	// period is the number of the present period; each is as long as the span.
	period            int64
	current, previous int
}

// add records n events at time now.
func (r *recentCount) add(now time.Time, span time.Duration, n int) {
	r.advance(now, span)
	r.current += n
}

// count returns the number of events of the present period, and of the previous one the
// share that lies within the last span.
func (r *recentCount) count(now time.Time, span time.Duration) int {
	r.advance(now, span)
	if r.previous == 0 {
		return r.current
	}
	passed := float64(now.UnixNano()%int64(span)) / float64(span)
	return r.current + int(math.Ceil(float64(r.previous)*(1-passed)))
}

// advance begins the period of time now.
func (r *recentCount) advance(now time.Time, span time.Duration) {
	period := now.UnixNano() / int64(span)
	switch period - r.period {
	case 0:
	case 1:
		r.period, r.previous, r.current = period, r.current, 0
	default:
		r.period, r.previous, r.current = period, 0, 0
	}
}
