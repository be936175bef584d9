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

func newGate(cfg Config) (*Gate, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	cfg.Metrics = metrics.NewRegistry()
	return New(cfg, clock), clock
}

// acquire starts an Acquire and returns where its answer comes.
func acquire(g *Gate, t Ticket) <-chan frame.Reason {
	done := make(chan frame.Reason, 1)
	go func() {
		_, reason := g.Acquire(context.Background(), t)
		done <- reason
	}()
	return done
}

// queued starts an Acquire that has to wait, and returns once it does.
func queued(g *Gate, t Ticket) <-chan frame.Reason {
	before := g.Load().Queued
	done := acquire(g, t)
	for deadline := time.Now().Add(5 * time.Second); g.Load().Queued == before; {
		if time.Now().After(deadline) {
			panic("the call does not wait in the queue")
		}
		<-time.After(time.Millisecond)
	}
	return done
}

func TestGateQueue(t *testing.T) {
	Convey("Given a gate with one slot in use", t, func() {
		g, clock := newGate(Config{Limit: 1})
		release, reason := g.Acquire(context.Background(), Ticket{Account: "large"})
		So(reason, ShouldBeEmpty)

		Convey("a waiter is refused when its wait is over", func() {
			done := queued(g, Ticket{Account: "a"})
			So(clock.BlockUntilContext(context.Background(), 1), ShouldBeNil)
			clock.Advance(DefaultMaxWait)
			So(<-done, ShouldEqual, frame.ReasonFull)
		})
		Convey("a waiter whose caller gives up first is told so", func() {
			done := queued(g, Ticket{Account: "a", Deadline: clock.Now().Add(DefaultMaxWait / 2)})
			So(clock.BlockUntilContext(context.Background(), 1), ShouldBeNil)
			clock.Advance(DefaultMaxWait / 2)
			So(<-done, ShouldEqual, frame.ReasonExpired)
		})
		Convey("higher priority goes first, whatever came before", func() {
			low := queued(g, Ticket{Account: "a"})
			high := queued(g, Ticket{Account: "b", Priority: 5})
			release(Outcome{})
			So(<-high, ShouldBeEmpty)
			So(low, ShouldBeEmpty)
		})
		Convey("a full queue takes a call of higher priority in place of the lowest", func() {
			low := queued(g, Ticket{Account: "a"})
			for range minQueue - 1 {
				queued(g, Ticket{Account: "b", Priority: 3})
			}
			high := acquire(g, Ticket{Account: "c", Priority: 5})
			So(<-low, ShouldEqual, frame.ReasonFull)
			So(high, ShouldBeEmpty)
		})
		Convey("a full queue refuses the account that fills it and takes another's call", func() {
			g, _ := newGate(Config{Limit: 2, ColdLimit: 2})
			release, _ := g.Acquire(context.Background(), Ticket{Account: "large"})
			_, reason := g.Acquire(context.Background(), Ticket{Account: "large"})
			So(reason, ShouldBeEmpty)
			var large []<-chan frame.Reason
			for range minQueue {
				large = append(large, queued(g, Ticket{Account: "large"}))
			}
			So(<-acquire(g, Ticket{Account: "large"}), ShouldEqual, frame.ReasonFull)
			small := acquire(g, Ticket{Account: "small"})
			So(<-large[minQueue-1], ShouldEqual, frame.ReasonFull)
			release(Outcome{})
			So(<-small, ShouldBeEmpty)
		})
		Convey("an account's share counts: three times the share, three times the calls", func() {
			g, _ := newGate(Config{Limit: 4, ColdLimit: 4})
			for range 3 {
				_, reason := g.Acquire(context.Background(), Ticket{Account: "big", Share: 4})
				So(reason, ShouldBeEmpty)
			}
			release, _ := g.Acquire(context.Background(), Ticket{Account: "small", Share: 1})
			small := queued(g, Ticket{Account: "small", Share: 1})
			big := queued(g, Ticket{Account: "big", Share: 4})
			_, reason := g.Acquire(cancelled(), Ticket{Account: "other"})
			So(reason, ShouldEqual, frame.ReasonExpired)
			release(Outcome{})
			So(<-small, ShouldBeEmpty)
			So(big, ShouldBeEmpty)
		})
	})
}

func cancelled() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// finishOne runs one call through a full gate.
func finishOne(g *Gate, o Outcome) {
	release, reason := g.Acquire(context.Background(), Ticket{Account: "a"})
	if reason == "" {
		release(o)
	}
}

func TestGateLimit(t *testing.T) {
	Convey("Given a gate in front of a cold server", t, func() {
		g, clock := newGate(Config{Limit: 32, ColdLimit: 4})
		shed := 0
		shedCalls := make(chan struct{}, 64)
		fill := func() {
			for g.Load().InFlight < g.Load().Limit {
				_, reason := g.Acquire(context.Background(), Ticket{Account: "a", Shed: func() { shedCalls <- struct{}{} }})
				So(reason, ShouldBeEmpty)
			}
		}
		So(g.Load().Limit, ShouldEqual, 4)
		So(g.State(), ShouldEqual, frame.StateCold)
		// window lets one window of samples with this pace pass.
		window := func(pace time.Duration) {
			clock.Advance(settleTime)
			g.Observe(Sample{PerToken: pace})
			clock.Advance(windowTime)
			g.Observe(Sample{PerToken: pace})
		}
		grow := func() {
			for range 8 {
				g.mu.Lock()
				g.learn(Outcome{}, true)
				g.mu.Unlock()
			}
		}

		Convey("it does not grow on finished calls alone before their pace was judged", func() {
			fill()
			g.Observe(Sample{PerToken: 5 * time.Millisecond})
			for range 4 {
				g.mu.Lock()
				g.learn(Outcome{}, true)
				g.mu.Unlock()
			}
			So(g.Load().Limit, ShouldEqual, 4)
		})
		Convey("it grows a step for each window while the token rate grows", func() {
			for range 5 {
				fill()
				window(5 * time.Millisecond)
				grow()
			}
			So(g.Load().Limit, ShouldEqual, 9)
			So(g.State(), ShouldEqual, frame.StateWarming)

			Convey("falls to where the rate was best when one call more lowers it", func() {
				fill()
				window(7 * time.Millisecond)
				So(g.Load().Limit, ShouldEqual, 9)
				window(7 * time.Millisecond)
				So(g.Load().Limit, ShouldEqual, 8)
				g.running["a"]--
				window(5 * time.Millisecond)
				grow()
				So(g.Load().Limit, ShouldEqual, 8)
			})
			Convey("takes the fall back when fewer calls are no faster", func() {
				fill()
				window(7 * time.Millisecond)
				window(7 * time.Millisecond)
				So(g.Load().Limit, ShouldEqual, 8)
				g.running["a"]--
				window(7 * time.Millisecond)
				So(g.Load().Limit, ShouldEqual, 9)
			})
			Convey("goes back to the cold limit and sheds when the pace jumps", func() {
				fill()
				window(50 * time.Millisecond)
				So(g.Load().Limit, ShouldEqual, 4)
				for range 5 {
					<-shedCalls
					shed++
				}
				So(shed, ShouldEqual, 5)
			})
			Convey("goes back to the cold limit at a restart", func() {
				g.Reset()
				So(g.State(), ShouldEqual, frame.StateCold)
			})
			Convey("falls when the engine refuses", func() {
				fill()
				clock.Advance(settleTime)
				g.mu.Lock()
				g.learn(Outcome{Overloaded: true}, true)
				g.mu.Unlock()
				So(g.Load().Limit, ShouldEqual, 6)
			})
		})
		Convey("without samples, as in front of a service, it grows by finished calls", func() {
			clock.Advance(time.Minute)
			grow()
			So(g.Load().Limit, ShouldEqual, 5)
			grow()
			So(g.Load().Limit, ShouldEqual, 5)
			clock.Advance(settleTime + windowTime)
			grow()
			So(g.Load().Limit, ShouldEqual, 6)
		})
		Convey("it does not grow while it is not used", func() {
			clock.Advance(time.Minute)
			for range 100 {
				finishOne(g, Outcome{})
			}
			So(g.Load().Limit, ShouldEqual, 4)
		})
		Convey("it grows from a cold limit of one, though each call adds only a part", func() {
			g, clock := newGate(Config{Limit: 4, ColdLimit: 1})
			for range 2 {
				release, _ := g.Acquire(context.Background(), Ticket{Account: "a"})
				clock.Advance(settleTime)
				g.Observe(Sample{PerToken: time.Millisecond})
				clock.Advance(windowTime)
				g.Observe(Sample{PerToken: time.Millisecond})
				release(Outcome{})
			}
			So(g.Load().Limit, ShouldEqual, 2)
		})
		Convey("a declared limit below the present one takes force at once", func() {
			g.Configure(2, 1)
			So(g.Load().Limit, ShouldEqual, 2)
		})
	})
}

func TestGrowthAfterAStepTooFar(t *testing.T) {
	Convey("Given a gate in front of a server that bears as many calls as it lets in", t, func() {
		const bears = 40
		pace := func(calls int) time.Duration {
			over := max(1, float64(calls)/bears)
			return time.Duration(float64(5*time.Millisecond) * over * over * over)
		}
		g, clock := newGate(Config{Limit: 4 * bears, ColdLimit: bears})
		var running []func(Outcome)
		// turn lets a window pass at the server's pace; then half of the calls
		// finish.
		turn := func() {
			for g.Load().InFlight < g.Load().Limit {
				release, reason := g.Acquire(context.Background(), Ticket{Account: "a"})
				So(reason, ShouldBeEmpty)
				running = append(running, release)
			}
			calls := g.Load().InFlight
			for range 2 {
				clock.Advance(settleTime)
				g.Observe(Sample{PerToken: pace(calls)})
				clock.Advance(windowTime)
				g.Observe(Sample{PerToken: pace(calls)})
			}
			for _, release := range running[:calls/2] {
				release(Outcome{})
			}
			running = running[calls/2:]
		}
		turn()
		for g.Load().Limit > bears {
			So(g.Load().Limit, ShouldEqual, 44)
			turn()
		}

		Convey("it falls at once to the best number of calls seen, and grows half as far the next time", func() {
			for g.Load().Limit == bears {
				turn()
			}
			So(g.Load().Limit, ShouldEqual, 42)
		})
	})
}

func TestServerThatBearsLessThanBefore(t *testing.T) {
	Convey("Given a gate in front of a server that bore twelve long calls", t, func() {
		bears := 12.0
		pace := func(calls int) time.Duration {
			over := max(1, float64(calls)/bears)
			return time.Duration(float64(50*time.Millisecond) * over * over * over)
		}
		g, clock := newGate(Config{Limit: 11, ColdLimit: 8})
		fill := func() {
			for g.Load().InFlight < g.Load().Limit {
				_, reason := g.Acquire(context.Background(), Ticket{Account: "a"})
				So(reason, ShouldBeEmpty)
			}
		}
		// window lets one window pass in which no call ends.
		window := func() {
			clock.Advance(settleTime)
			g.Observe(Sample{PerToken: pace(g.Load().InFlight)})
			clock.Advance(windowTime)
			g.Observe(Sample{PerToken: pace(g.Load().InFlight)})
		}
		grow := func() {
			for range 4 {
				g.mu.Lock()
				g.learn(Outcome{}, true)
				g.mu.Unlock()
			}
		}
		for g.Load().Limit < 11 {
			fill()
			window()
			grow()
		}

		Convey("its limit falls at once by as much as it bears less, past what was seen with fewer calls", func() {
			fill()
			window()
			window()
			bears = 9
			for range standingWindows - 1 {
				window()
			}
			So(g.Load().Limit, ShouldEqual, 11)
			window()
			So(g.Load().Limit, ShouldEqual, 8)
		})
		Convey("a hiccup of two windows changes nothing", func() {
			fill()
			window()
			bears = 9
			window()
			window()
			bears = 12
			window()
			window()
			So(g.Load().Limit, ShouldEqual, 11)
		})
		Convey("a rate far below the one seen with a call less means that it has turned cold", func() {
			fill()
			bears = 6
			window()
			window()
			So(g.Load().Limit, ShouldEqual, 8)
		})
	})
}

func TestStepTooFarWithLongCalls(t *testing.T) {
	Convey("Given a gate whose calls hold their slots for three seconds", t, func() {
		g, clock := newGate(Config{Limit: 16, ColdLimit: 8})
		for range 8 {
			release, _ := g.Acquire(context.Background(), Ticket{Account: "a"})
			clock.Advance(3 * time.Second)
			release(Outcome{})
		}
		Convey("the limit does not grow for four times as long after a fall", func() {
			g.mu.Lock()
			g.limit, g.stepStart = 9, clock.Now()
			g.fall(8, fellTokenRate)
			g.mu.Unlock()
			So(g.heldUntil.Sub(clock.Now()), ShouldEqual, holdCalls*3*time.Second)
		})
	})
}
