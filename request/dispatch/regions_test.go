package dispatch

import (
	"testing"

	"github.com/go-faster/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/version/catalog"
)

// Guards against a request that reaches a server outside its regions, because it was tried
// again, waited or moved by the regions that were declared when it arrived.
func TestRegionsChangeWhileARequestIsInProgress(t *testing.T) {
	// declare puts a configuration in force whose route "r" and account "growers" have regions.
	declare := func(f *schedulerFixture, version int64, route, account []string) {
		f.holder.Apply([]catalog.Change{{Config: &catalog.Config{
			Version: version, Services: f.holder.Current().Config.Services,
			Routes: []catalog.Route{{Name: "r", Regions: route}}, Accounts: []catalog.Account{{Name: "growers", Regions: account}},
		}}}, false, false, f.clock.Now())
	}
	// request returns a request that has arrived while palermo, in west, was its home.
	request := func(f *schedulerFixture) *Request {
		declare(f, 2, []string{"west"}, nil)
		req := f.request()
		req.Route, req.Account, req.RouteRegions, req.Config = "r", "growers", []string{"west"}, f.holder.Current().Config
		return req
	}
	west, east := []string{"west"}, []string{"east"}

	Convey("The next attempt goes to the regions that are declared by then", t, func() {
		for _, regions := range [][2][]string{{east, nil}, {nil, east}, {east, east}} {
			f := newSchedulerFixture()
			req := request(f)
			declare(f, 3, regions[0], regions[1])
			id, err := f.acquire(req)
			So(err, ShouldBeNil)
			So(id, ShouldEqual, "b")
		}
	})

	Convey("It goes nowhere if no region is left", t, func() {
		f := newSchedulerFixture()
		req := request(f)
		declare(f, 3, west, east)
		_, err := f.acquire(req)
		So(errors.Is(err, ErrNoServer), ShouldBeTrue)
	})

	Convey("A request that waits gets no slot outside the regions that are declared by then", t, func() {
		f := newSchedulerFixture()
		req := request(f)
		req.FirstByteObjective = 1 << 40
		only := f.request()
		only.RouteRegions = west
		var slot Slot
		for range 2 + maxServerQueueLength {
			slot, _ = f.scheduler.TryAcquire(only)
		}
		w, _, err := f.scheduler.beginAcquire(req)
		So(errors.Is(err, ErrFull), ShouldBeTrue)
		So(w, ShouldNotBeNil)
		declare(f, 3, east, nil)
		f.scheduler.Release(slot, Served)
		So(w.assigned, ShouldBeTrue)
		So((<-w.slot).Server.ID, ShouldEqual, "b")
	})

	Convey("A stream does not move to a slot that it got before", t, func() {
		f := newSchedulerFixture()
		f.setServers(f.server("a", "palermo"), f.server("b", "catania"), f.server("c", "palermo"))
		req := request(f)
		from, ok := f.scheduler.TryAcquire(req)
		So(ok, ShouldBeTrue)
		f.scheduler.SetAgentState(from.Server.Addr, &frame.AgentState{LoadedVersions: map[string]int{"herbs": 1}, Loading: true})
		f.clock.Advance(moveDelay)
		search := f.scheduler.StartMoveSearch(req, from)
		So(search, ShouldNotBeNil)
		declare(f, 3, east, nil)
		slot, ok := search.Take()
		So(!ok || slot.Server.ID == "b", ShouldBeTrue)
		slot, ok = search.Take()
		So(ok, ShouldBeTrue)
		So(slot.Server.ID, ShouldEqual, "b")
	})

	Convey("What a newer configuration lacks keeps its regions", t, func() {
		f := newSchedulerFixture()
		req := request(f)
		f.holder.Apply([]catalog.Change{{Config: &catalog.Config{Version: 3, Services: f.holder.Current().Config.Services}}}, false, false, f.clock.Now())
		id, err := f.acquire(req)
		So(err, ShouldBeNil)
		So(id, ShouldEqual, "a")
	})
}
