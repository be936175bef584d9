package orders

import (
	"context"
	"testing"

	"github.com/go-faster/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/connection/engine"
	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/version/declare"
)

func TestRollout(t *testing.T) {
	Convey("Given eight servers with one slot each that have loaded a version", t, func() {
		c := newCluster(t, 8, 1)
		v1 := c.declareVersion("m", "m-1", "", 8)
		So(c.stepUntil(c.allLoaded(v1)), ShouldBeTrue)
		c.minServing = len(c.agents)

		Convey("the next version replaces the loaded version on at most a quarter of the servers at a time", func() {
			v2 := c.declareVersion("m", "m-2", "", 8)
			So(c.stepUntil(c.allLoaded(v2)), ShouldBeTrue)
			So(c.minServing, ShouldBeGreaterThanOrEqualTo, 6)
		})
		Convey("a version that no engine can load is tried on at most two of the servers", func() {
			for _, a := range c.agents {
				a.engine.ignoreOrders = true
			}
			for _, a := range c.agents[:] {
				a.engine.enforcesFencing = false
			}
			v2 := c.declareVersion("m", "m-2", "", 8)
			for range 50 {
				c.step()
			}
			ordered := 0
			for _, a := range c.agents {
				for _, o := range a.engine.orders {
					if o.Digest == v2 || o.Action == actionUnload {
						ordered++
						break
					}
				}
			}
			So(ordered, ShouldBeLessThanOrEqualTo, 2)
		})
		Convey("a server that does not respond delays the others only for a limited time", func() {
			v2 := c.declareVersion("m", "m-2", "", 8)
			gone := c.agents[0]
			gone.server.Close()
			c.agents = c.agents[1:]
			So(c.stepUntil(c.allLoaded(v2)), ShouldBeTrue)
		})
		Convey("rolling back to a version whose chunks are still stored fetches nothing", func() {
			v2 := c.declareVersion("m", "m-2", "", 8)
			So(c.stepUntil(c.allLoaded(v2)), ShouldBeTrue)
			c.declareVersion("m", "m-1", "", 8)
			So(c.stepUntil(c.allLoaded(v1)), ShouldBeTrue)
			for _, a := range c.agents {
				So(a.fetcher.fetchCounts[v1], ShouldEqual, 1)
			}
		})
	})
	Convey("Given four servers with two slots each that have loaded a version", t, func() {
		c := newCluster(t, 4, 2)
		v1 := c.declareVersion("m", "m-1", "", 4)
		So(c.stepUntil(c.allLoaded(v1)), ShouldBeTrue)

		Convey("the old version stays loaded until the new version is rolled out", func() {
			for _, a := range c.agents[:2] {
				a.fetcher.blocked[core.DigestOf([]byte("m-2"))] = true
			}
			v2 := c.declareVersion("m", "m-2", "", 4)
			for range 60 {
				c.step()
			}
			for _, a := range c.agents {
				So(a.engine.digests(), ShouldContain, v1)
			}
			So(c.stepUntil(func() bool { return containsDigest(c.agents[3].engine.loaded, v2) }), ShouldBeTrue)
		})
		Convey("the old version is unloaded once the new version is rolled out", func() {
			v2 := c.declareVersion("m", "m-2", "", 4)
			So(c.stepUntil(c.allLoaded(v1, v2)), ShouldBeTrue)
			So(c.stepUntil(c.allLoaded(v2)), ShouldBeTrue)
		})
		Convey("an adapter is loaded after its base version", func() {
			adapter := c.declareVersion("adapter", "adapter-1", "m-1", 4)
			So(c.stepUntil(c.allLoaded(v1, adapter)), ShouldBeTrue)
		})
	})
}

func TestVersionRepublishedDuringFetch(t *testing.T) {
	Convey("Given a version that is published again with another manifest while it is being fetched", t, func() {
		c := newCluster(t, 2, 1)
		first := core.DigestOf([]byte("m-1"))
		for _, a := range c.agents {
			a.fetcher.blocked[first] = true
		}
		c.declareVersion("m", "m-1", "", 2)
		So(c.stepUntil(func() bool { return c.agents[0].fetcher.fetchCount(first) > 0 }), ShouldBeTrue)
		second := core.DigestOf([]byte("m-1 again"))
		set := *c.set
		set.Versions = map[string]*declare.Version{"m-1": {Name: "m-1", Model: "m", Manifest: second}}
		c.apply(&set)

		Convey("the first fetch is cancelled and only the second manifest is ever ordered", func() {
			So(c.stepUntil(c.allLoaded(second)), ShouldBeTrue)
			So(c.stepUntil(func() bool { return c.agents[0].fetcher.cancelledFetchCount() == 1 }), ShouldBeTrue)
			for _, a := range c.agents {
				for _, o := range a.engine.orders {
					So(o.Digest, ShouldEqual, second)
				}
			}
		})
	})
}

// fetchCount returns the number of fetches of d that were started.
func (f *fakeFetcher) fetchCount(d core.Digest) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fetchCounts[d]
}

// cancelledFetchCount returns the number of fetches that were cancelled.
func (f *fakeFetcher) cancelledFetchCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cancelledFetches
}

func TestOrdersOfReplacedAgent(t *testing.T) {
	Convey("Given an agent that was paused and replaced by another agent during the pause", t, func() {
		c := newCluster(t, 1, 1)
		old := c.agents[0]
		v1 := c.declareVersion("m", "m-1", "", 1)
		So(c.stepUntil(c.allLoaded(v1)), ShouldBeTrue)

		self := old.cfg.Self
		self.Addr = "127.0.0.1:1"
		c.liveInstances = []core.Instance{self}
		replacement := &testAgent{engine: old.engine, fetcher: old.fetcher}
		replacement.Controller = c.newController(self, replacement)
		c.agents = []*testAgent{replacement}
		v2 := c.declareVersion("m", "m-2", "", 1)
		So(c.stepUntil(c.allLoaded(v2)), ShouldBeTrue)
		// The replacement must see the effect of its own order before the old
		// agent resumes; an order without a visible effect is overdue only
		// after LoadTimeout.
		c.step()

		Convey("the resumed agent gets no fencing number and so sends no order", func() {
			_, err := old.fenceCounter.next(context.Background(), old.isListed())
			So(errors.Is(err, ErrSuperseded), ShouldBeTrue)
		})
		Convey("an order that the resumed agent sends with its old fencing number is refused", func() {
			stale := engine.Order{Fence: 1, Action: actionUnload, Model: "m", Version: "m-2", Digest: v2}
			So(old.engine.Order(context.Background(), stale), ShouldNotBeNil)
		})
		Convey("if the engine ignores fencing and executes such an order, the replacement gets the version loaded again", func() {
			old.engine.enforcesFencing = false
			stale := engine.Order{Fence: 1, Action: actionUnload, Model: "m", Version: "m-2", Digest: v2}
			So(old.engine.Order(context.Background(), stale), ShouldBeNil)
			So(old.engine.digests(), ShouldBeEmpty)
			So(c.stepUntil(c.allLoaded(v2)), ShouldBeTrue)
		})
		Convey("the resumed agent gets a fencing number once the platform lists it again", func() {
			c.liveInstances = []core.Instance{old.cfg.Self}
			_, err := old.fenceCounter.next(context.Background(), old.isListed())
			So(err, ShouldBeNil)
		})
	})
}

func TestEngineThatFalselyReportsLoaded(t *testing.T) {
	Convey("Given an engine whose response to a call carried another digest than the version that the engine reports as loaded", t, func() {
		c := newCluster(t, 1, 1)
		v1 := c.declareVersion("m", "m-1", "", 1)
		So(c.stepUntil(c.allLoaded(v1)), ShouldBeTrue)
		a := c.agents[0]
		orderCountBefore := len(a.engine.orders)
		a.RecordDigestMismatch(v1)

		Convey("the version is ordered again", func() {
			So(c.stepUntil(func() bool { return len(a.engine.orders) > orderCountBefore }), ShouldBeTrue)
			last := a.engine.orders[len(a.engine.orders)-1]
			So(last.Action, ShouldEqual, actionLoad)
			So(last.Digest, ShouldEqual, v1)
		})
	})
	Convey("An accepted load that the engine never reports is ordered again after the load timeout", t, func() {
		c := newCluster(t, 1, 1)
		c.agents[0].engine.ignoreOrders = true
		c.declareVersion("m", "m-1", "", 1)
		So(c.stepUntil(func() bool { return len(c.agents[0].engine.orders) >= 2 }), ShouldBeFalse)
		c.clock.Advance(DefaultLoadTimeout)
		So(c.stepUntil(func() bool { return len(c.agents[0].engine.orders) >= 2 }), ShouldBeTrue)
	})
}

func TestAgentRestartedBesideLoadedEngine(t *testing.T) {
	Convey("A restarted agent fetches a version only once the engine no longer reports it as loaded", t, func() {
		c := newCluster(t, 1, 1)
		a := c.agents[0]
		v1 := core.DigestOf([]byte("m-1"))
		a.engine.loaded = []frame.LoadedVersion{{Model: "m", Version: "m-1", Digest: v1}}
		c.declareVersion("m", "m-1", "", 1)
		So(c.stepUntil(func() bool { return a.fetcher.fetchCount(v1) > 0 }), ShouldBeFalse)
		a.engine.loaded = nil
		So(c.stepUntil(c.allLoaded(v1)), ShouldBeTrue)
		So(a.fetcher.fetchCount(v1), ShouldEqual, 1)
	})
}

func TestTableUnavailable(t *testing.T) {
	Convey("Given a table that is unavailable", t, func() {
		c := newCluster(t, 1, 1)
		c.table.down = true
		a := c.agents[0]

		Convey("a version is loaded into a free slot with the fencing number that the engine reports", func() {
			a.engine.fence = 7
			v1 := c.declareVersion("m", "m-1", "", 1)
			So(c.stepUntil(c.allLoaded(v1)), ShouldBeTrue)
			So(a.engine.orders[0].Fence, ShouldEqual, 7)
		})
		Convey("nothing is unloaded until the table is available again", func() {
			old := core.DigestOf([]byte("m-1"))
			a.engine.loaded = []frame.LoadedVersion{{Model: "m", Version: "m-1", Digest: old}}
			v2 := c.declareVersion("m", "m-2", "", 1)
			for range 60 {
				c.step()
			}
			So(a.engine.digests(), ShouldResemble, []core.Digest{old})
			c.table.down = false
			So(c.stepUntil(c.allLoaded(v2)), ShouldBeTrue)
		})
	})
	Convey("A fencing number counts as taken if its commit took effect but had an unknown outcome", t, func() {
		c := newCluster(t, 1, 1)
		c.table.responsesToLose = 1
		f := c.agents[0].fenceCounter
		first, err := f.next(context.Background(), false)
		So(err, ShouldBeNil)
		second, err := f.next(context.Background(), false)
		So(err, ShouldBeNil)
		So([]uint64{first, second}, ShouldResemble, []uint64{1, 2})
	})
}
