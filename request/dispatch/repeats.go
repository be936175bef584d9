package dispatch

import "time"

// RepeatLimits bound the sendings beyond the first of each request.
type RepeatLimits struct {
	// Ratio is the share of requests that may be repeated.
	Ratio float64
	// Slack is the number of repeats beyond the ratio in a window, for all
	// entry instances together.
	Slack float64
	// Window is the span that is judged.
	Window time.Duration
}

// repeatMargin is the part of the limits that is used: entry instances count
// their own windows, which do not begin together.
const repeatMargin = 0.8

// spareShare is the part of the limits that repeats which could be done without
// may use; the rest is kept for requests that fail.
const spareShare = 0.5

// repeatSlots is the number of parts a window is counted in.
const repeatSlots = 20

// Repeats answers servers that fail together: it bounds what an entry instance
// sends again to a service, so that repeats do not become the load. All entry
// instances share the slack evenly.
type Repeats struct {
	limits   RepeatLimits
	first    [repeatSlots]int
	repeated [repeatSlots]int
	slot     int64
}

// NewRepeats returns an empty count.
func NewRepeats(l RepeatLimits) *Repeats { return &Repeats{limits: l} }

// advance forgets the parts of the window that have passed.
func (r *Repeats) advance(now time.Time) int {
	width := int64(max(1, r.limits.Window/repeatSlots))
	slot := now.UnixNano() / width
	if slot-r.slot >= repeatSlots {
		r.slot = slot - repeatSlots
	}
	for r.slot < slot {
		r.slot++
		r.first[r.slot%repeatSlots], r.repeated[r.slot%repeatSlots] = 0, 0
	}
	return int(slot % repeatSlots)
}

// First counts a request.
func (r *Repeats) First(now time.Time) { r.first[r.advance(now)]++ }

// Take counts a repeat if one of entries entry instances may send it now.
func (r *Repeats) Take(now time.Time, entries int) bool { return r.take(now, entries, 1) }

// TakeSpare counts a repeat that could be done without, if repeats are left
// beyond those that are kept for requests that fail.
func (r *Repeats) TakeSpare(now time.Time, entries int) bool { return r.take(now, entries, spareShare) }

// take counts a repeat if it stays within a share of the limits.
func (r *Repeats) take(now time.Time, entries int, share float64) bool {
	i := r.advance(now)
	var first, repeated int
	for k := range repeatSlots {
		first += r.first[k]
		repeated += r.repeated[k]
	}
	allowed := repeatMargin * (r.limits.Ratio*float64(first) + r.limits.Slack/float64(max(1, entries)))
	if float64(repeated)+1 > share*allowed {
		return false
	}
	r.repeated[i]++
	return true
}
