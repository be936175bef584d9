package relay

import (
	"context"
	"sync"
)

// retryBudget limits concurrent retries to a share of the calls in flight, so
// that retries cannot amplify an overload. A retry is counted until the first byte
// of its response arrives.
type retryBudget struct {
	// ratio is the limit as a share of the calls in flight; negative for no
	// limit.
	ratio float64
	// minConcurrentRetries is the limit while ratio gives a lower limit.
	minConcurrentRetries int

	mu            sync.Mutex
	callsInFlight int
	// retryCount is the number of retries that were admitted and not released.
	retryCount int
	// retryReleased is closed, and replaced, when a retry is released.
	retryReleased chan struct{}
}

func newRetryBudget(ratio float64, minConcurrentRetries int) *retryBudget {
	return &retryBudget{ratio: ratio, minConcurrentRetries: minConcurrentRetries, retryReleased: make(chan struct{})}
}

// addCall counts one more call in flight until the returned function is called.
func (b *retryBudget) addCall() func() {
	b.adjust(1, 0)
	return func() { b.adjust(-1, 0) }
}

// acquire waits until the budget admits one more retry and counts the retry, or
// returns false when ctx ends first. The first call of release removes the
// retry from the count; further calls do nothing.
func (b *retryBudget) acquire(ctx context.Context) (release func(), ok bool) {
	for {
		b.mu.Lock()
		if b.ratio < 0 || b.retryCount < b.retryLimit() {
			b.retryCount++
			b.mu.Unlock()
			return sync.OnceFunc(func() { b.adjust(0, -1) }), true
		}
		retryReleased := b.retryReleased
		b.mu.Unlock()
		select {
		case <-retryReleased:
		case <-ctx.Done():
			return nil, false
		}
	}
}

// retryLimit returns the number of retries that may wait for their first byte at
// the same time. The caller must hold b.mu.
func (b *retryBudget) retryLimit() int {
	return max(b.minConcurrentRetries, int(b.ratio*float64(b.callsInFlight)))
}

// adjust changes the counts of calls in flight and of retries. If the count of
// retries falls, it wakes the waiting calls of acquire.
func (b *retryBudget) adjust(callsDelta, retriesDelta int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.callsInFlight += callsDelta
	b.retryCount += retriesDelta
	if retriesDelta < 0 {
		close(b.retryReleased)
		b.retryReleased = make(chan struct{})
	}
}
