package admission

import (
	"slices"

	"github.com/rattanway/rattanway/connection/frame"
)

// waiter is a slot request in the queue.
type waiter struct {
	request SlotRequest
	// result receives the reason for the refusal, or an empty reason when the waiter
	// gets a slot. The channel buffers one value, so that the sender does not block.
	result chan frame.Reason
}

// queue holds the waiting slot requests. The request with the highest priority
// gets the next slot. Within a priority it is the request whose account has the
// lowest number of running calls divided by the share of the account. Among equal
// requests the one that arrived first gets the slot.
type queue struct {
	// waiting holds the waiters in the order of their arrival.
	waiting []*waiter
}

func (q *queue) len() int { return len(q.waiting) }

func (q *queue) push(w *waiter) { q.waiting = append(q.waiting, w) }

// remove removes w and reports whether w was in the queue.
func (q *queue) remove(w *waiter) bool {
	i := slices.Index(q.waiting, w)
	if i < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, i, i+1)
	return true
}

// pop removes and returns the waiter that gets the next slot, or returns nil if
// the queue is empty.
func (q *queue) pop(runningByAccount map[string]int) *waiter {
	firstIndex := -1
	for i, w := range q.waiting {
		if firstIndex < 0 || goesBefore(w.request, q.waiting[firstIndex].request, runningByAccount) {
			firstIndex = i
		}
	}
	if firstIndex < 0 {
		return nil
	}
	w := q.waiting[firstIndex]
	q.waiting = slices.Delete(q.waiting, firstIndex, firstIndex+1)
	return w
}

// goesBefore reports whether a gets a slot before b. b must have arrived before
// a.
func goesBefore(a, b SlotRequest, runningByAccount map[string]int) bool {
	if a.Priority != b.Priority {
		return a.Priority > b.Priority
	}
	return callsPerShare(runningByAccount[a.Account], a) < callsPerShare(runningByAccount[b.Account], b)
}

// callsPerShare returns callCount, the number of calls of the account of req,
// divided by the account's share.
func callsPerShare(callCount int, req SlotRequest) float64 {
	return float64(callCount) / float64(max(req.Share, 1))
}

// displace makes room for the new request req in a full queue. It removes and
// returns the waiter that would get a slot last, if req may displace it, and
// otherwise returns nil. req may displace a waiter of lower priority. It may also
// displace a waiter of the same priority if the account of that waiter has more
// calls per share than the account of req would have with req. Waiting calls
// count like running ones.
func (q *queue) displace(req SlotRequest, runningByAccount map[string]int) *waiter {
	callCounts := q.callsByAccount(runningByAccount)
	lastIndex := -1
	for i, w := range q.waiting {
		if lastIndex < 0 || !goesBefore(w.request, q.waiting[lastIndex].request, callCounts) {
			lastIndex = i
		}
	}
	if lastIndex < 0 {
		return nil
	}
	w := q.waiting[lastIndex]
	if w.request.Priority > req.Priority {
		return nil
	}
	if w.request.Priority == req.Priority && callsPerShare(callCounts[w.request.Account], w.request) <= callsPerShare(callCounts[req.Account]+1, req) {
		return nil
	}
	q.waiting = slices.Delete(q.waiting, lastIndex, lastIndex+1)
	return w
}

// callsByAccount returns the number of running and waiting calls of each account.
func (q *queue) callsByAccount(runningByAccount map[string]int) map[string]int {
	counts := make(map[string]int, len(runningByAccount))
	for account, n := range runningByAccount {
		counts[account] = n
	}
	for _, w := range q.waiting {
		counts[w.request.Account]++
	}
	return counts
}
