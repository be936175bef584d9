package dispatch

import "time"

// maxRetryAfterShare is the largest part of the time left to the deadline for which a
// refused client is told to wait. Clients do not honor more.
const maxRetryAfterShare = 3

// RetryAfterBusy returns the Retry-After value for a request that was refused because all
// slots were taken: the expected time until a slot is free, but at least that of
// RetryAfterFull, and at most a third of the time left to the deadline. random is a random
// number in [0, 1).
func RetryAfterBusy(expected, left time.Duration, random float64) time.Duration {
	retryAfter := max(expected, minRetryAfterFull) + time.Duration(random*float64(retryAfterJitter))
	if left > 0 {
		retryAfter = min(retryAfter, left/maxRetryAfterShare)
	}
	return retryAfter
}

// retryAfterBusy returns the Retry-After value for a request of a service with several
// priorities. random is a random number in [0, 1). The caller holds s.mu.
func (s *Scheduler) retryAfterBusy(u *serviceUrgency, req *Request, random float64) time.Duration {
	now := s.clock.Now()
	ahead, _ := s.waitingAhead(u, &waiter{request: req}, now)
	expected, _ := expectedWait(ahead, u.counts.queueRate(now))
	return RetryAfterBusy(expected, req.Deadline.Sub(now), random)
}
