package loading

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/test/wait"
)

// Guards against a load of chunks that turned bad after they were verified, because the
// agent was paused before it sent the order.
func TestPauseBetweenVerificationAndOrder(t *testing.T) {
	Convey("An agent that was paused after the verification verifies again before the order", t, func() {
		f := newFixture(t)
		var once sync.Once
		f.server.onRead = func(chunkNumber int) {
			if chunkNumber == chunkCount-1 {
				once.Do(func() {
					f.clock.ahead.Add(int64(4 * time.Second))
					f.server.mu.Lock()
					defer f.server.mu.Unlock()
					f.server.spoil(0)
				})
			}
		}
		f.declare(1)
		So(wait.Until(func() bool { return f.serves(1) }), ShouldBeTrue)
		So(f.publishedWrong(), ShouldBeEmpty)
		f.server.mu.Lock()
		defer f.server.mu.Unlock()
		So(f.server.acceptedOrders, ShouldEqual, 1)
	})
}

// Guards against a load of chunks that turned bad during a verification that took seconds,
// because the machine is slow.
func TestSlowVerification(t *testing.T) {
	Convey("An agent whose verification took too long verifies again before the order", t, func() {
		f := newFixture(t)
		var once sync.Once
		var slowReads atomic.Int64
		slowReads.Store(chunkCount)
		f.server.onRead = func(int) {
			if slowReads.Add(-1) >= 0 {
				f.clock.ahead.Add(int64(700 * time.Millisecond))
			}
			// The chunk that has been read first turns bad.
			once.Do(func() {
				f.server.mu.Lock()
				defer f.server.mu.Unlock()
				f.server.spoil(0)
			})
		}
		f.declare(1)
		So(wait.Until(func() bool { return f.serves(1) }), ShouldBeTrue)
		So(f.publishedWrong(), ShouldBeEmpty)
		f.server.mu.Lock()
		defer f.server.mu.Unlock()
		So(f.server.acceptedOrders, ShouldEqual, 1)
	})
}

// Guards against the use of weights that a server loaded from chunks that turned bad while
// the load order waited at the server.
func TestLoadOfSpoiltChunksIsRepeated(t *testing.T) {
	// spoilAndAccept carries out a load order after a chunk has turned bad.
	spoilAndAccept := func(f *fixture, version int, acceptedOrders int64) {
		f.server.mu.Lock()
		defer f.server.mu.Unlock()
		f.server.spoil(2)
		_ = f.server.accept(version, acceptedOrders)
	}

	Convey("A chunk turns bad just before the server accepts the order", t, func() {
		f := newFixture(t)
		var once sync.Once
		f.server.onLoad = func(int) error {
			once.Do(func() {
				f.server.mu.Lock()
				defer f.server.mu.Unlock()
				f.server.spoil(2)
			})
			return nil
		}
		f.declare(1)
		So(wait.Until(func() bool { return f.serves(1) }), ShouldBeTrue)
		So(f.publishedWrong(), ShouldBeEmpty)
	})

	Convey("A server accepts an order that the agent has given up", t, func() {
		f := newFixture(t)
		var once sync.Once
		f.server.onLoad = func(version int) error {
			err := error(nil)
			once.Do(func() {
				err = errors.New("timeout")
				time.AfterFunc(50*time.Millisecond, func() { spoilAndAccept(f, version, 0) })
			})
			return err
		}
		f.declare(1)
		So(wait.Until(func() bool { return f.serves(1) }), ShouldBeTrue)
		So(f.publishedWrong(), ShouldBeEmpty)
	})

	Convey("A server accepts an older order when the chunks of a newer version are staged", t, func() {
		f := newFixture(t)
		var once sync.Once
		f.server.onLoad = func(version int) error {
			if version == 2 {
				f.server.mu.Lock()
				defer f.server.mu.Unlock()
				_ = f.server.accept(1, 0)
				return nil
			}
			err := error(nil)
			once.Do(func() {
				f.declare(2)
				err = errors.New("timeout")
			})
			return err
		}
		f.declare(1)
		So(wait.Until(func() bool { return f.serves(2) }), ShouldBeTrue)
		So(f.publishedWrong(), ShouldBeEmpty)
	})

	Convey("An agent starts while the server loads chunks of which one had turned bad", t, func() {
		server := &fakeServer{staged: map[int][]byte{}, startUnixMs: 1, busy: true}
		for i := range chunkCount {
			server.staged[i] = chunkOf(1, i)
		}
		server.spoil(3)
		_ = server.accept(1, 0)
		f := newFixtureWith(t, server, fakeOrigin{}, 0)
		f.declare(1)
		time.AfterFunc(100*time.Millisecond, func() {
			server.mu.Lock()
			defer server.mu.Unlock()
			server.busy = false
		})
		So(wait.Until(func() bool { return f.serves(1) }), ShouldBeTrue)
		So(f.publishedWrong(), ShouldBeEmpty)
	})
}

// Guards against the use of a load of spoilt chunks whose agent ended before it had read the
// staged chunks back: the agent that started in its place took the load for proven.
func TestAgentEndsBeforeItsLoadIsProven(t *testing.T) {
	// serverWithLoad returns a server that has loaded version 1 on the order of an agent that
	// has ended; spoilt is the number of a chunk that was wrong, or -1.
	serverWithLoad := func(spoilt int) *fakeServer {
		server := newFakeServer()
		for i := range chunkCount {
			server.staged[i] = chunkOf(1, i)
		}
		if spoilt >= 0 {
			server.spoil(spoilt)
		}
		_ = server.accept(1, 0)
		return server
	}
	orders := func(server *fakeServer) int64 {
		server.mu.Lock()
		defer server.mu.Unlock()
		return server.acceptedOrders
	}

	Convey("A load of a spoilt chunk is repeated by the next agent", t, func() {
		f := newFixtureWith(t, serverWithLoad(3), fakeOrigin{}, 0)
		f.declare(1)
		So(wait.Until(func() bool { return f.serves(1) }), ShouldBeTrue)
		So(f.publishedWrong(), ShouldBeEmpty)
	})

	Convey("A load of the right chunks is used without another order", t, func() {
		f := newFixtureWith(t, serverWithLoad(-1), fakeOrigin{}, 0)
		f.declare(1)
		So(wait.Until(func() bool { return f.serves(1) }), ShouldBeTrue)
		So(orders(f.server), ShouldEqual, 1)
	})

	Convey("A proven load is used although a staged chunk has turned bad since", t, func() {
		server := serverWithLoad(-1)
		server.spoil(2)
		f := newFixtureWith(t, server, fakeOrigin{}, 0)
		f.loader.ConfirmLoad(ProvenLoad{StartUnixMs: 1, AcceptedOrders: 1, Weights: map[string]int{model: 1}})
		f.declare(1)
		So(wait.Until(func() bool { return f.serves(1) }), ShouldBeTrue)
		So(orders(f.server), ShouldEqual, 1)
	})

	Convey("What an agent has proven is published with the state", t, func() {
		f := newFixture(t)
		f.declare(1)
		So(wait.Until(func() bool { return f.serves(1) }), ShouldBeTrue)
		f.mu.Lock()
		defer f.mu.Unlock()
		So(f.published.Proven, ShouldResemble, &ProvenLoad{StartUnixMs: 1, AcceptedOrders: 1, Weights: map[string]int{model: 1}})
	})

	Convey("No chunk is staged while the server holds wrong chunks, or the next agent would take them for right", t, func() {
		for _, declared := range []int{1, 2} {
			server := serverWithLoad(3)
			var stagedBeside atomic.Int64
			server.onStage = func(int, []byte) {
				for _, version := range []int{1, 2} {
					if server.holds(version) && !server.holdsExactly(version) {
						stagedBeside.Add(1)
					}
				}
			}
			f := newFixtureWith(t, server, fakeOrigin{}, 0)
			f.declare(declared)
			So(wait.Until(func() bool { return f.serves(declared) }), ShouldBeTrue)
			So(stagedBeside.Load(), ShouldEqual, 0)
		}
	})

	Convey("The version that the server holds may be declared later than the agent starts", t, func() {
		server := serverWithLoad(-1)
		f := newFixtureWith(t, server, fakeOrigin{}, 0)
		time.AfterFunc(100*time.Millisecond, func() { f.declare(1) })
		So(wait.Until(func() bool { return f.serves(1) }), ShouldBeTrue)
		So(orders(server), ShouldEqual, 1)
	})
}

// Guards against each way in which a load is taken as proven without evidence.
func TestLoadProof(t *testing.T) {
	report := func(boot, orders int64, version int, busy bool) Report {
		r := Report{StartUnixMs: boot, AcceptedOrderCount: orders, Busy: busy, Weights: map[string]int{}}
		if version > 0 {
			r.Weights[model] = version
		}
		return r
	}

	Convey("What the server holds when the agent starts is usable if the server has accepted no order", t, func() {
		p := newLoadProof()
		p.observe(report(1, 0, 1, false))
		So(p.usable(report(1, 0, 1, false)), ShouldBeTrue)
		p = newLoadProof()
		p.observe(report(1, 3, 1, false))
		So(p.usable(report(1, 3, 1, false)), ShouldBeFalse)
		So(p.objection(report(1, 3, 1, false)), ShouldBeEmpty)
	})

	Convey("What an earlier agent has proven is usable, for the same start of the server, orders and version", t, func() {
		for _, c := range []struct {
			proven ProvenLoad
			usable bool
		}{
			{ProvenLoad{StartUnixMs: 1, AcceptedOrders: 3, Weights: map[string]int{model: 2}}, true},
			{ProvenLoad{StartUnixMs: 1, AcceptedOrders: 2, Weights: map[string]int{model: 2}}, false},
			{ProvenLoad{StartUnixMs: 2, AcceptedOrders: 3, Weights: map[string]int{model: 2}}, false},
			{ProvenLoad{StartUnixMs: 1, AcceptedOrders: 3, Weights: map[string]int{model: 1}}, false},
		} {
			p := newLoadProof()
			p.observe(report(1, 3, 2, false))
			p.disprove(report(1, 3, 2, false))
			p.confirm(c.proven)
			p.confirm(ProvenLoad{StartUnixMs: 1, AcceptedOrders: 1, Weights: map[string]int{model: 1}})
			p.observe(report(1, 3, 2, false))
			So(p.usable(report(1, 3, 2, false)), ShouldEqual, c.usable)
		}
	})

	Convey("A load that is in progress when the agent starts is not usable", t, func() {
		p := newLoadProof()
		p.observe(report(1, 3, 1, true))
		So(p.usable(report(1, 3, 1, true)), ShouldBeFalse)
		p.observe(report(1, 3, 2, false))
		So(p.usable(report(1, 3, 2, false)), ShouldBeFalse)
		So(p.objection(report(1, 3, 2, false)), ShouldBeEmpty)
	})

	Convey("A load is usable once it is proven, with the version that was proven", t, func() {
		p := newLoadProof()
		p.observe(report(1, 0, 1, false))
		p.observe(report(1, 1, 1, true))
		So(p.usable(report(1, 1, 1, true)), ShouldBeFalse)
		p.prove(report(1, 1, 1, true), map[string]int{model: 2})
		So(p.usable(report(1, 1, 1, true)), ShouldBeTrue)
		So(p.usable(report(1, 1, 2, false)), ShouldBeTrue)
		So(p.usable(report(1, 1, 3, false)), ShouldBeFalse)
		So(p.objection(report(1, 1, 3, false)), ShouldNotBeEmpty)
	})

	Convey("Chunks that were staged since the last report before the acceptance prove nothing", t, func() {
		p := newLoadProof()
		p.observe(report(1, 0, 1, false))
		p.stagedSince = true
		So(p.objection(report(1, 1, 2, false)), ShouldNotBeEmpty)
		p.observe(report(1, 0, 1, false))
		So(p.objection(report(1, 1, 2, false)), ShouldBeEmpty)
	})

	Convey("A disproved load stays unusable until another one is proven", t, func() {
		p := newLoadProof()
		p.observe(report(1, 0, 1, false))
		p.disprove(report(1, 1, 2, false))
		So(p.usable(report(1, 1, 2, false)), ShouldBeFalse)
		p.stagedSince = true
		p.observe(report(1, 1, 2, false))
		So(p.stagedSince, ShouldBeFalse)
		p.observe(report(1, 2, 0, false))
		So(p.usable(report(1, 2, 0, false)), ShouldBeTrue)
		So(p.objection(report(1, 3, 2, false)), ShouldBeEmpty)
	})

	Convey("A server that restarted with weights and without orders is usable", t, func() {
		p := newLoadProof()
		p.observe(report(1, 2, 1, false))
		p.observe(report(2, 0, 1, false))
		So(p.usable(report(2, 0, 1, false)), ShouldBeTrue)
		p.observe(report(3, 1, 1, false))
		So(p.usable(report(3, 1, 1, false)), ShouldBeFalse)
	})
}
