package dispatch

import "time"

// slidingWindow counts the events within a time span that ends at the present.
type slidingWindow struct {
	// times holds the times of the events, in ascending order.
	times []time.Time
}

// add records an event at time now and drops the events that are at least span
// old.
func (w *slidingWindow) add(now time.Time, span time.Duration) {
	w.times = append(w.recent(now, span), now)
}

// count returns the number of events that are less than span old, and drops the
// others.
func (w *slidingWindow) count(now time.Time, span time.Duration) int {
	w.times = w.recent(now, span)
	return len(w.times)
}

// recent returns the times of the events that are less than span old. It moves
// them to the start of the array of w.times, so the caller must replace w.times.
func (w *slidingWindow) recent(now time.Time, span time.Duration) []time.Time {
	n := 0
	for n < len(w.times) && now.Sub(w.times[n]) >= span {
		n++
	}
	return append(w.times[:0], w.times[n:]...)
}
