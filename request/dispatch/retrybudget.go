package dispatch

import "time"

// RetryLimits limits the retries of the requests to a service.
type RetryLimits struct {
	// Ratio is the allowed number of retries as a fraction of the number of
	// requests.
	Ratio float64
	// Slack is the number of retries that are allowed within a window beyond those
	// that Ratio allows. It applies to all entry instances together.
	Slack float64
	// Window is the period over which requests and retries are counted.
	Window time.Duration
}

// usableBudgetShare is the fraction of the limits that is used. The rest is a
// margin, because the windows of different entry instances begin at different
// times.
const usableBudgetShare = 0.8

// optionalRetryShare is the fraction of the retry budget that optional retries
// may use. An optional retry is one that the request does not need in order to
// succeed. The rest of the budget is reserved for requests that fail.
const optionalRetryShare = 0.5

// retryBucketCount is the number of buckets into which the window is divided. A
// bucket holds the counts of one part of the window.
const retryBucketCount = 20

// RetryBudget limits the retries of one entry instance for a service, so that
// retries do not overload the servers when many servers fail together. All entry
// instances share the slack equally.
type RetryBudget struct {
	limits        RetryLimits
	requestCounts [retryBucketCount]int
	retryCounts   [retryBucketCount]int
	// newestBucket is the number of the newest bucket, counted in bucket widths from
	// the Unix epoch.
	newestBucket int64
}

// NewRetryBudget returns a retry budget with no requests or retries counted.
func NewRetryBudget(l RetryLimits) *RetryBudget { return &RetryBudget{limits: l} }

// advance clears the buckets that have left the window, and returns the index of
// the current bucket.
func (b *RetryBudget) advance(now time.Time) int {
	bucketWidth := int64(max(1, b.limits.Window/retryBucketCount))
	current := now.UnixNano() / bucketWidth
	if current-b.newestBucket >= retryBucketCount {
		b.newestBucket = current - retryBucketCount
	}
	for b.newestBucket < current {
		b.newestBucket++
		b.requestCounts[b.newestBucket%retryBucketCount], b.retryCounts[b.newestBucket%retryBucketCount] = 0, 0
	}
	return int(current % retryBucketCount)
}

// CountRequest counts a request that arrived at time now. Retries are counted by
// TakeRetry and TakeOptionalRetry.
func (b *RetryBudget) CountRequest(now time.Time) { b.requestCounts[b.advance(now)]++ }

// TakeRetry reports whether the budget allows a retry at time now, and if so
// counts the retry. entryInstanceCount is the number of entry instances that
// share the slack, including this one.
func (b *RetryBudget) TakeRetry(now time.Time, entryInstanceCount int) bool {
	return b.take(now, entryInstanceCount, 1)
}

// TakeOptionalRetry is like [RetryBudget.TakeRetry], for an optional retry. It
// allows fewer retries; see optionalRetryShare.
func (b *RetryBudget) TakeOptionalRetry(now time.Time, entryInstanceCount int) bool {
	return b.take(now, entryInstanceCount, optionalRetryShare)
}

// take reports whether the retries in the window, including one more, are at most
// share times the budget. If so, it counts the retry.
func (b *RetryBudget) take(now time.Time, entryInstanceCount int, share float64) bool {
	i := b.advance(now)
	var requestCount, retryCount int
	for k := range retryBucketCount {
		requestCount += b.requestCounts[k]
		retryCount += b.retryCounts[k]
	}
	allowed := usableBudgetShare * (b.limits.Ratio*float64(requestCount) + b.limits.Slack/float64(max(1, entryInstanceCount)))
	if float64(retryCount)+1 > share*allowed {
		return false
	}
	b.retryCounts[i]++
	return true
}

// CountRequest counts a request in the retry budget of its service.
func (s *Scheduler) CountRequest(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryBudgetOf(service).CountRequest(s.clock.Now())
}

// TakeRetry reports whether the retry budget of the service allows a retry now,
// and if so counts the retry.
func (s *Scheduler) TakeRetry(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retryBudgetOf(service).TakeRetry(s.clock.Now(), s.knownEntryInstanceCount())
}

// retryBudgetOf returns the retry budget of a service, and creates it if there is
// none. The caller holds s.mu.
func (s *Scheduler) retryBudgetOf(service string) *RetryBudget {
	r, ok := s.retryBudgets[service]
	if !ok {
		r = NewRetryBudget(s.cfg.RetryLimits)
		s.retryBudgets[service] = r
	}
	return r
}
