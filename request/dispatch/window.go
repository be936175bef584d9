package dispatch

import "time"

// window counts what happened within a span.
type window struct {
	at []time.Time
}

// add counts one more.
func (w *window) add(now time.Time, span time.Duration) {
	w.at = append(w.forget(now, span), now)
}

// count returns how many there are.
func (w *window) count(now time.Time, span time.Duration) int {
	w.at = w.forget(now, span)
	return len(w.at)
}

// forget drops what is older than the span.
func (w *window) forget(now time.Time, span time.Duration) []time.Time {
	n := 0
	for n < len(w.at) && now.Sub(w.at[n]) >= span {
		n++
	}
	return append(w.at[:0], w.at[n:]...)
}
