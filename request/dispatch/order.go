package dispatch

import (
	"cmp"
	"slices"
)

// OrderLastingOverload answers more requests than the servers bear: it returns
// those that wait in the order in which they are offered a free place. The most
// urgent go first. Among those of a rank every second place goes to the one with
// the least work, so that more callers are served, and the others in
// order of arrival, so that no size is left out. given counts the places that
// were given before.
func OrderLastingOverload(waiting []*waiter, given int) []*waiter {
	if given%2 == 0 || len(waiting) < 2 {
		return waiting
	}
	order := slices.Clone(waiting)
	slices.SortStableFunc(order, func(a, b *waiter) int {
		return cmp.Or(cmp.Compare(a.demand.Rank, b.demand.Rank), cmp.Compare(a.demand.Work, b.demand.Work))
	})
	return order
}
