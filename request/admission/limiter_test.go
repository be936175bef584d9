package admission

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/connection/frame"
)

func newLimiter(cfg Config) (*AdaptiveLimiter, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	cfg.Metrics = metrics.NewRegistry()
	return New(cfg, clock), clock
}

// startAcquire calls Acquire in a goroutine and returns a channel that receives
// the reason for the refusal, or the empty reason once a slot has been acquired.
func startAcquire(l *AdaptiveLimiter, req SlotRequest) <-chan frame.Reason {
	reasons := make(chan frame.Reason, 1)
	go func() {
		_, reason := l.Acquire(context.Background(), req)
		reasons <- reason
	}()
	return reasons
}

// acquireQueued calls startAcquire and returns once the request is in the queue.
func acquireQueued(l *AdaptiveLimiter, req SlotRequest) <-chan frame.Reason {
	queuedBefore := l.Load().Queued
	reasons := startAcquire(l, req)
	for deadline := time.Now().Add(5 * time.Second); l.Load().Queued == queuedBefore; {
		if time.Now().After(deadline) {
			panic("the call is not in the queue after 5 s")
		}
		<-time.After(time.Millisecond)
	}
	return reasons
}

func TestLimiterQueue(t *testing.T) {
	Convey("Given a limiter with one slot in use", t, func() {
		l, clock := newLimiter(Config{Limit: 1})
		release, reason := l.Acquire(context.Background(), SlotRequest{Account: "large"})
		So(reason, ShouldBeEmpty)

		Convey("a waiter is refused after the maximum wait", func() {
			reasons := acquireQueued(l, SlotRequest{Account: "a"})
			So(clock.BlockUntilContext(context.Background(), 1), ShouldBeNil)
			clock.Advance(DefaultMaxQueueWait)
			So(<-reasons, ShouldEqual, frame.ReasonFull)
		})
		Convey("a waiter is refused as expired when its deadline passes first", func() {
			reasons := acquireQueued(l, SlotRequest{Account: "a", Deadline: clock.Now().Add(DefaultMaxQueueWait / 2)})
			So(clock.BlockUntilContext(context.Background(), 1), ShouldBeNil)
			clock.Advance(DefaultMaxQueueWait / 2)
			So(<-reasons, ShouldEqual, frame.ReasonExpired)
		})
		Convey("a waiter of higher priority gets a slot first, regardless of arrival", func() {
			low := acquireQueued(l, SlotRequest{Account: "a"})
			high := acquireQueued(l, SlotRequest{Account: "b", Priority: 5})
			release(Outcome{})
			So(<-high, ShouldBeEmpty)
			So(low, ShouldBeEmpty)
		})
		Convey("a call of higher priority displaces the waiter of lowest priority from a full queue", func() {
			low := acquireQueued(l, SlotRequest{Account: "a"})
			for range minQueueLength - 1 {
				acquireQueued(l, SlotRequest{Account: "b", Priority: 3})
			}
			high := startAcquire(l, SlotRequest{Account: "c", Priority: 5})
			So(<-low, ShouldEqual, frame.ReasonFull)
			So(high, ShouldBeEmpty)
		})
		Convey("a full queue refuses the account that fills it, and another account's call displaces one of that account", func() {
			l, _ := newLimiter(Config{Limit: 2, ColdLimit: 2})
			release, _ := l.Acquire(context.Background(), SlotRequest{Account: "large"})
			_, reason := l.Acquire(context.Background(), SlotRequest{Account: "large"})
			So(reason, ShouldBeEmpty)
			var large []<-chan frame.Reason
			for range minQueueLength {
				large = append(large, acquireQueued(l, SlotRequest{Account: "large"}))
			}
			So(<-startAcquire(l, SlotRequest{Account: "large"}), ShouldEqual, frame.ReasonFull)
			small := startAcquire(l, SlotRequest{Account: "small"})
			So(<-large[minQueueLength-1], ShouldEqual, frame.ReasonFull)
			release(Outcome{})
			So(<-small, ShouldBeEmpty)
		})
		Convey("the account with the fewest calls per share gets a slot first", func() {
			l, _ := newLimiter(Config{Limit: 4, ColdLimit: 4})
			for range 3 {
				_, reason := l.Acquire(context.Background(), SlotRequest{Account: "big", Share: 4})
				So(reason, ShouldBeEmpty)
			}
			release, _ := l.Acquire(context.Background(), SlotRequest{Account: "small", Share: 1})
			small := acquireQueued(l, SlotRequest{Account: "small", Share: 1})
			big := acquireQueued(l, SlotRequest{Account: "big", Share: 4})
			_, reason := l.Acquire(cancelledContext(), SlotRequest{Account: "other"})
			So(reason, ShouldEqual, frame.ReasonExpired)
			release(Outcome{})
			So(<-small, ShouldBeEmpty)
			So(big, ShouldBeEmpty)
		})
	})
}

func cancelledContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// runOneCall acquires a slot and releases it with the outcome. It does nothing if
// Acquire refuses the call.
func runOneCall(l *AdaptiveLimiter, o Outcome) {
	release, reason := l.Acquire(context.Background(), SlotRequest{Account: "a"})
	if reason == "" {
		release(o)
	}
}

func TestLimiterAdaptsLimit(t *testing.T) {
	Convey("Given a limiter for a cold server", t, func() {
		l, clock := newLimiter(Config{Limit: 32, ColdLimit: 4})
		shedCount := 0
		shedCalls := make(chan struct{}, 64)
		fillSlots := func() {
			for l.Load().InFlight < l.Load().Limit {
				_, reason := l.Acquire(context.Background(), SlotRequest{Account: "a", Shed: func() { shedCalls <- struct{}{} }})
				So(reason, ShouldBeEmpty)
			}
		}
		So(l.Load().Limit, ShouldEqual, 4)
		So(l.State(), ShouldEqual, frame.StateCold)
		// passWindow advances the clock past settleTime and then by one window, and
		// passes two samples with this time per token to the limiter.
		passWindow := func(timePerToken time.Duration) {
			clock.Advance(settleTime)
			l.Observe(Sample{TimePerToken: timePerToken})
			clock.Advance(windowTime)
			l.Observe(Sample{TimePerToken: timePerToken})
		}
		finishCalls := func() {
			for range 8 {
				l.mu.Lock()
				l.adaptToOutcome(Outcome{}, true)
				l.mu.Unlock()
			}
		}

		Convey("the limit does not grow on finished calls before their time per token was evaluated", func() {
			fillSlots()
			l.Observe(Sample{TimePerToken: 5 * time.Millisecond})
			for range 4 {
				l.mu.Lock()
				l.adaptToOutcome(Outcome{}, true)
				l.mu.Unlock()
			}
			So(l.Load().Limit, ShouldEqual, 4)
		})
		Convey("the limit grows one step per window while the token rate grows", func() {
			for range 5 {
				fillSlots()
				passWindow(5 * time.Millisecond)
				finishCalls()
			}
			So(l.Load().Limit, ShouldEqual, 9)
			So(l.State(), ShouldEqual, frame.StateWarming)

			Convey("the limit falls to the number of calls with the best token rate when one more call lowers the rate", func() {
				fillSlots()
				passWindow(7 * time.Millisecond)
				So(l.Load().Limit, ShouldEqual, 9)
				passWindow(7 * time.Millisecond)
				So(l.Load().Limit, ShouldEqual, 8)
				l.runningByAccount["a"]--
				passWindow(5 * time.Millisecond)
				finishCalls()
				So(l.Load().Limit, ShouldEqual, 8)
			})
			Convey("a decrease is undone when fewer calls are no faster", func() {
				fillSlots()
				passWindow(7 * time.Millisecond)
				passWindow(7 * time.Millisecond)
				So(l.Load().Limit, ShouldEqual, 8)
				l.runningByAccount["a"]--
				passWindow(7 * time.Millisecond)
				So(l.Load().Limit, ShouldEqual, 9)
			})
			Convey("the limit is reset to the cold limit and calls are shed when the time per token jumps", func() {
				fillSlots()
				passWindow(50 * time.Millisecond)
				So(l.Load().Limit, ShouldEqual, 4)
				for range 5 {
					<-shedCalls
					shedCount++
				}
				So(shedCount, ShouldEqual, 5)
			})
			Convey("the limit is reset to the cold limit after a restart", func() {
				l.Reset()
				So(l.State(), ShouldEqual, frame.StateCold)
			})
			Convey("the limit is decreased when the engine refuses a call", func() {
				fillSlots()
				clock.Advance(settleTime)
				l.mu.Lock()
				l.adaptToOutcome(Outcome{Overloaded: true}, true)
				l.mu.Unlock()
				So(l.Load().Limit, ShouldEqual, 6)
			})
		})
		Convey("without samples, as with a plain service, the limit grows with finished calls", func() {
			clock.Advance(time.Minute)
			finishCalls()
			So(l.Load().Limit, ShouldEqual, 5)
			finishCalls()
			So(l.Load().Limit, ShouldEqual, 5)
			clock.Advance(settleTime + windowTime)
			finishCalls()
			So(l.Load().Limit, ShouldEqual, 6)
		})
		Convey("the limit does not grow while few slots are in use", func() {
			clock.Advance(time.Minute)
			for range 100 {
				runOneCall(l, Outcome{})
			}
			So(l.Load().Limit, ShouldEqual, 4)
		})
		Convey("a limit of one grows although each finished call adds only a fraction", func() {
			l, clock := newLimiter(Config{Limit: 4, ColdLimit: 1})
			for range 2 {
				release, _ := l.Acquire(context.Background(), SlotRequest{Account: "a"})
				clock.Advance(settleTime)
				l.Observe(Sample{TimePerToken: time.Millisecond})
				clock.Advance(windowTime)
				l.Observe(Sample{TimePerToken: time.Millisecond})
				release(Outcome{})
			}
			So(l.Load().Limit, ShouldEqual, 2)
		})
		Convey("a declared limit below the present limit applies at once", func() {
			l.Configure(2, 1)
			So(l.Load().Limit, ShouldEqual, 2)
		})
	})
}

func TestSmallerStepAfterOvershoot(t *testing.T) {
	Convey("Given a limiter whose limit has grown past the capacity of the server", t, func() {
		const capacity = 40
		timePerToken := func(calls int) time.Duration {
			overload := max(1, float64(calls)/capacity)
			return time.Duration(float64(5*time.Millisecond) * overload * overload * overload)
		}
		l, clock := newLimiter(Config{Limit: 4 * capacity, ColdLimit: capacity})
		var releases []func(Outcome)
		// cycle takes all slots and passes two windows of samples to the limiter, with
		// the time per token of the server at this number of calls. Then it ends half
		// of the calls.
		cycle := func() {
			for l.Load().InFlight < l.Load().Limit {
				release, reason := l.Acquire(context.Background(), SlotRequest{Account: "a"})
				So(reason, ShouldBeEmpty)
				releases = append(releases, release)
			}
			calls := l.Load().InFlight
			for range 2 {
				clock.Advance(settleTime)
				l.Observe(Sample{TimePerToken: timePerToken(calls)})
				clock.Advance(windowTime)
				l.Observe(Sample{TimePerToken: timePerToken(calls)})
			}
			for _, release := range releases[:calls/2] {
				release(Outcome{})
			}
			releases = releases[calls/2:]
		}
		cycle()
		for l.Load().Limit > capacity {
			So(l.Load().Limit, ShouldEqual, 44)
			cycle()
		}

		Convey("the limit falls to the best number of calls measured, and the next step is half as large", func() {
			for l.Load().Limit == capacity {
				cycle()
			}
			So(l.Load().Limit, ShouldEqual, 42)
		})
	})
}

func TestServerCapacityDrops(t *testing.T) {
	Convey("Given a limiter for a server with a capacity of twelve long calls", t, func() {
		capacity := 12.0
		timePerToken := func(calls int) time.Duration {
			overload := max(1, float64(calls)/capacity)
			return time.Duration(float64(50*time.Millisecond) * overload * overload * overload)
		}
		l, clock := newLimiter(Config{Limit: 11, ColdLimit: 8})
		fillSlots := func() {
			for l.Load().InFlight < l.Load().Limit {
				_, reason := l.Acquire(context.Background(), SlotRequest{Account: "a"})
				So(reason, ShouldBeEmpty)
			}
		}
		// passWindow advances the clock past settleTime and then by one window. No call
		// ends in this time.
		passWindow := func() {
			clock.Advance(settleTime)
			l.Observe(Sample{TimePerToken: timePerToken(l.Load().InFlight)})
			clock.Advance(windowTime)
			l.Observe(Sample{TimePerToken: timePerToken(l.Load().InFlight)})
		}
		finishCalls := func() {
			for range 4 {
				l.mu.Lock()
				l.adaptToOutcome(Outcome{}, true)
				l.mu.Unlock()
			}
		}
		for l.Load().Limit < 11 {
			fillSlots()
			passWindow()
			finishCalls()
		}

		Convey("the limit falls in proportion to the lower capacity, regardless of rates measured with fewer calls", func() {
			fillSlots()
			passWindow()
			passWindow()
			capacity = 9
			for range stableDecreaseWindows - 1 {
				passWindow()
			}
			So(l.Load().Limit, ShouldEqual, 11)
			passWindow()
			So(l.Load().Limit, ShouldEqual, 8)
		})
		Convey("a slowdown of two windows does not change the limit", func() {
			fillSlots()
			passWindow()
			capacity = 9
			passWindow()
			passWindow()
			capacity = 12
			passWindow()
			passWindow()
			So(l.Load().Limit, ShouldEqual, 11)
		})
		Convey("a token rate far below the one measured with one call less resets the limit to the cold limit", func() {
			fillSlots()
			capacity = 6
			passWindow()
			passWindow()
			So(l.Load().Limit, ShouldEqual, 8)
		})
	})
}

func TestGrowthPauseWithLongCalls(t *testing.T) {
	Convey("Given a limiter whose calls hold their slots for three seconds", t, func() {
		l, clock := newLimiter(Config{Limit: 16, ColdLimit: 8})
		for range 8 {
			release, _ := l.Acquire(context.Background(), SlotRequest{Account: "a"})
			clock.Advance(3 * time.Second)
			release(Outcome{})
		}
		Convey("after a decrease the limit does not grow for four times three seconds", func() {
			l.mu.Lock()
			l.limit, l.stepStart = 9, clock.Now()
			l.decrease(8, reasonTokenRate)
			l.mu.Unlock()
			So(l.growthPausedUntil.Sub(clock.Now()), ShouldEqual, failedStepPauseFactor*3*time.Second)
		})
	})
}
