package dispatch

import (
	"cmp"
	"slices"
)

// OrderWaiting returns the waiting requests in the order in which they are
// offered the next free slot. waiting must be in the order of the queue: by
// priority, lowest value first, and then by arrival. Among the requests with the
// same priority, every second slot goes to the one with the least work, so that
// more requests are served during a long overload. The other slots go to the one
// that arrived first, so that large requests are served too. assignedCount is
// the number of slots assigned to waiting requests so far.
func OrderWaiting(waiting []*waiter, assignedCount int) []*waiter {
	if assignedCount%2 == 0 || len(waiting) < 2 {
		return waiting
	}
	order := slices.Clone(waiting)
	slices.SortStableFunc(order, func(a, b *waiter) int {
		return cmp.Or(cmp.Compare(a.request.Priority, b.request.Priority), cmp.Compare(a.request.Work, b.request.Work))
	})
	return order
}
