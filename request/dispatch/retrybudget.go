package dispatch

import "time"

// RetryLimits limits the retries of the requests to a service.
type RetryLimits struct {
	// Ratio is the number of retries allowed per request.
	Ratio float64
	// Slack is the number of retries allowed per window beyond the ratio, for
	// all entry instances together.
	Slack float64
	// Window is the period over which requests and retries are counted.
	Window time.Duration
}

// retryMargin is the fraction of the limits that is used, because the windows
// of the entry instances do not begin at the same time.
const retryMargin = 0.8

// optionalRetryShare is the fraction of the retry budget that optional retries
// may use; the rest is reserved for requests that fail.
const optionalRetryShare = 0.5

// retryBuckets is the number of buckets into which the window is divided.
const retryBuckets = 20

// RetryBudget is the retry budget of one entry instance for a service. It
// prevents retries from overloading the servers when many servers fail together.
// All entry instances share the slack equally.
type RetryBudget struct {
	limits   RetryLimits
	requests [retryBuckets]int
	retries  [retryBuckets]int
	// newest is the number of the newest bucket since the Unix epoch.
	newest int64
}

// NewRetryBudget returns a retry budget with no requests or retries counted.
func NewRetryBudget(l RetryLimits) *RetryBudget { return &RetryBudget{limits: l} }

// advance clears the buckets that have left the window, and returns the index of
// the current bucket.
func (b *RetryBudget) advance(now time.Time) int {
	width := int64(max(1, b.limits.Window/retryBuckets))
	current := now.UnixNano() / width
	if current-b.newest >= retryBuckets {
		b.newest = current - retryBuckets
	}
	for b.newest < current {
		b.newest++
		b.requests[b.newest%retryBuckets], b.retries[b.newest%retryBuckets] = 0, 0
	}
	return int(current % retryBuckets)
}

// CountRequest counts a request; its retries are counted by the other methods.
func (b *RetryBudget) CountRequest(now time.Time) { b.requests[b.advance(now)]++ }

// TakeRetry counts a retry and returns true if the budget of this entry
// instance, one of entryInstances, allows the retry now.
func (b *RetryBudget) TakeRetry(now time.Time, entryInstances int) bool {
	return b.take(now, entryInstances, 1)
}

// TakeOptionalRetry is like [RetryBudget.TakeRetry] for a retry that the request
// does not need in order to succeed. It leaves a part of the budget to requests
// that fail.
func (b *RetryBudget) TakeOptionalRetry(now time.Time, entryInstances int) bool {
	return b.take(now, entryInstances, optionalRetryShare)
}

// take counts a retry and returns true if the retries stay within a share of the
// budget.
func (b *RetryBudget) take(now time.Time, entryInstances int, share float64) bool {
	i := b.advance(now)
	var requests, retries int
	for k := range retryBuckets {
		requests += b.requests[k]
		retries += b.retries[k]
	}
	allowed := retryMargin * (b.limits.Ratio*float64(requests) + b.limits.Slack/float64(max(1, entryInstances)))
	if float64(retries)+1 > share*allowed {
		return false
	}
	b.retries[i]++
	return true
}
