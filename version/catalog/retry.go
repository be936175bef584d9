package catalog

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// minRetryDelay and maxRetryDelay are the shortest and the longest pause
	// after a failed call, before jitter.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 600 * time.Millisecond
	// minRetryPause is the shortest pause after a call that failed late.
	minRetryPause = 50 * time.Millisecond
	// minRetryNowInterval is the shortest time between two retries out of turn. A slow
	// store needs up to half a second for a response.
	minRetryNowInterval = time.Second
)

// RetryNow makes a Follower that does not reach the store call it now, instead of at the
// end of a pause or of a call whose packets may be lost. It is called when there is a
// sign that the network of this machine works again. It does nothing while a response is
// coming in.
func (f *Follower) RetryNow() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	if !f.unavailable || !f.respondingSince.IsZero() || now.Sub(f.lastRetryNow) < minRetryNowInterval {
		return
	}
	f.lastRetryNow = now
	if f.cancelCall != nil {
		f.cancelCall()
	}
	select {
	case f.retryNow <- struct{}{}:
	default:
	}
}

// poll is pollOnce, which RetryNow can end during an outage and overtakeCall at any time.
func (f *Follower) poll(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.setCancelCall(cancel)
	err := f.pollOnce(ctx)
	if f.setCancelCall(nil) {
		return nil
	}
	return err
}

// setCancelCall sets the function that ends the call in flight, which has no response yet. It
// reports whether the call before was ended because it was overtaken.
func (f *Follower) setCancelCall(cancel context.CancelFunc) (ended bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	ended = f.callEnded
	f.cancelCall, f.callOvertaken, f.callEnded, f.respondingSince = cancel, false, false, time.Time{}
	return ended
}

// overtakeCall ends the call in flight as soon as its response has begun, because a peer has
// delivered the large values that it brings. A call without a response goes on, so that an
// outage of the store is noticed. The caller must hold f.mu.
func (f *Follower) overtakeCall() {
	f.callOvertaken = f.cancelCall != nil
	f.endOvertakenCall()
}

// endOvertakenCall ends the call in flight if it is overtaken and its response has begun. The
// caller must hold f.mu.
func (f *Follower) endOvertakenCall() {
	if !f.callOvertaken || f.respondingSince.IsZero() {
		return
	}
	f.lastResponseAt = f.respondingSince
	f.callEnded = true
	f.cancelCall()
}

// pauseBeforeRetry waits for delay with jitter, counted from the begin of the failed call, for
// RetryNow, or until ctx ends. It waits for at least minRetryPause. An outage ends at some time
// between the begins of two calls, and the longer that is, the longer servers that have left are
// taken for missing.
func (f *Follower) pauseBeforeRetry(ctx context.Context, delay time.Duration) {
	f.mu.Lock()
	elapsed := f.clock.Since(f.callBegunAt)
	f.mu.Unlock()
	select {
	case <-f.clock.After(max(minRetryPause, delay/2+rand.N(delay)-elapsed)):
	case <-f.retryNow:
	case <-ctx.Done():
	}
}
