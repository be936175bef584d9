package dispatch

import (
	"cmp"
	"slices"
)

// OrderWaiting returns the waiting requests in the order in which they are
// offered a free slot. Requests with the lowest priority value go first. Within
// a priority, every second slot goes to the request with the least work, so
// that more requests are served during a long overload. The other slots go to
// the earliest arrival, so that large requests are served too. assigned is the
// number of slots assigned to waiting requests so far.
func OrderWaiting(waiting []*waiter, assigned int) []*waiter {
	if assigned%2 == 0 || len(waiting) < 2 {
		return waiting
	}
	order := slices.Clone(waiting)
	slices.SortStableFunc(order, func(a, b *waiter) int {
		return cmp.Or(cmp.Compare(a.request.Priority, b.request.Priority), cmp.Compare(a.request.Work, b.request.Work))
	})
	return order
}
