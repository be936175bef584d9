package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/process/eventlog"
	"github.com/rattanway/rattanway/version/catalog"
)

// deskRig is a Desk with a clock that stands still.
type deskRig struct {
	desk   *Desk
	holder *catalog.Holder
	clock  *clockwork.FakeClock
}

// newDeskRig returns a Desk before servers "a" in palermo and "b" in catania,
// each with two places and version 1 of the weights.
func newDeskRig() *deskRig {
	g := &deskRig{holder: catalog.NewHolder(eventlog.Discard()), clock: clockwork.NewFakeClock()}
	g.holder.Apply([]catalog.Change{{Config: &catalog.Config{Version: 1, Services: map[string]*catalog.Service{
		"label": {Name: "label", ColdPerSecond: 8},
	}}}}, true, false, g.clock.Now())
	g.list(g.server("a", "palermo"), g.server("b", "catania"))
	g.desk = NewDesk(Config{
		DataCentre: "palermo", Regions: map[string]string{"palermo": "west", "catania": "east"},
		Repeats: RepeatLimits{Ratio: 0.2, Slack: 100, Window: 10 * time.Second}, WeightsDue: 7 * time.Second, Patience: 0.1,
	}, g.holder, g.clock)
	return g
}

func (g *deskRig) server(id, dataCentre string) *catalog.Server {
	return &catalog.Server{
		ID: id, Service: "label", Addr: id, DataCentre: dataCentre, Slots: 2, Weights: map[string]int{"herbs": 1},
	}
}

func (g *deskRig) list(servers ...*catalog.Server) {
	var all []catalog.Change
	for _, s := range servers {
		all = append(all, catalog.Change{Server: s})
	}
	g.holder.Apply(all, true, true, g.clock.Now())
}

func (g *deskRig) demand() *Demand {
	now := g.clock.Now()
	return &Demand{
		Service: "label", Model: "herbs", Arrived: now, Deadline: now.Add(time.Second), Tried: map[string]bool{},
	}
}

// take takes a place without waiting, and returns the server's ID.
func (g *deskRig) take(q *Demand) (string, error) {
	p, err := g.desk.Acquire(context.Background(), q)
	if err != nil {
		return "", err
	}
	return p.Server.ID, nil
}

func TestDeskFillsEveryPlaceAndNoMore(t *testing.T) {
	Convey("What other entry instances run counts, until they fall silent", t, func() {
		g := newDeskRig()
		g.desk.PeerLoads("other", map[string]int{"a": 3, "b": 3})
		_, err := g.take(g.demand())
		So(errors.Is(err, ErrFull), ShouldBeTrue)
		g.clock.Advance(peerAge)
		_, err = g.take(g.demand())
		So(err, ShouldBeNil)
	})

	Convey("Every place is used, with one request more in each server's queue", t, func() {
		g := newDeskRig()
		taken := 0
		for {
			if _, err := g.take(g.demand()); err != nil {
				So(errors.Is(err, ErrFull), ShouldBeTrue)
				break
			}
			taken++
		}
		So(taken, ShouldEqual, 2*(2+queueAtServer))
	})

	Convey("A request that waits gets the place that becomes free, the most urgent first", t, func() {
		g := newDeskRig()
		var held []Place
		for range 2 * (2 + queueAtServer) {
			p, err := g.desk.Acquire(context.Background(), g.demand())
			So(err, ShouldBeNil)
			held = append(held, p)
		}
		type got struct {
			rank int
			err  error
		}
		results := make(chan got, 2)
		for _, rank := range []int{2, 1} {
			q := g.demand()
			q.Rank, q.Objective = rank, time.Second
			go func() {
				_, err := g.desk.Acquire(context.Background(), q)
				results <- got{rank, err}
			}()
			So(g.clock.BlockUntilContext(t.Context(), 3-rank), ShouldBeNil)
		}
		g.desk.Release(held[0], Served)
		So(<-results, ShouldResemble, got{1, nil})
		g.clock.Advance(100 * time.Millisecond)
		last := <-results
		So(last.rank, ShouldEqual, 2)
		So(errors.Is(last.err, ErrFull), ShouldBeTrue)
	})
}

func TestDeskPassesOver(t *testing.T) {
	Convey("Servers that leave, of data centres that are out, and in other regions", t, func() {
		g := newDeskRig()
		leaving := g.server("a", "palermo")
		leaving.Leaving = true
		g.list(leaving, g.server("b", "catania"))
		id, err := g.take(g.demand())
		So(err, ShouldBeNil)
		So(id, ShouldEqual, "b")
		g.holder.Apply([]catalog.Change{{Out: "catania"}}, false, false, g.clock.Now())
		_, err = g.take(g.demand())
		So(errors.Is(err, ErrNone), ShouldBeTrue)
		g.list(g.server("a", "palermo"))
		q := g.demand()
		q.AccountRegions = []string{"east"}
		_, err = g.take(q)
		So(errors.Is(err, ErrNone), ShouldBeTrue)
	})

	Convey("Servers that load, and those on older weights once the newest are due", t, func() {
		g := newDeskRig()
		g.desk.Agent("a", &frame.AgentState{Weights: map[string]int{"herbs": 1}, Loading: true})
		id, err := g.take(g.demand())
		So(err, ShouldBeNil)
		So(id, ShouldEqual, "b")
		g.holder.Apply([]catalog.Change{{Weights: &catalog.Weights{Model: "herbs", Version: 2}}}, false, false, g.clock.Now())
		g.clock.Advance(6 * time.Second)
		_, err = g.take(g.demand())
		So(err, ShouldBeNil)
		g.clock.Advance(time.Second)
		_, err = g.take(g.demand())
		So(errors.Is(err, ErrNone), ShouldBeTrue)
		g.desk.Agent("a", &frame.AgentState{Weights: map[string]int{"herbs": 2}})
		id, err = g.take(g.demand())
		So(err, ShouldBeNil)
		So(id, ShouldEqual, "a")
	})

	Convey("A cold server beyond its share of the cold rate", t, func() {
		g := newDeskRig()
		cold := g.server("a", "palermo")
		cold.Slots, cold.ColdUntil = 100, g.clock.Now().Add(time.Minute)
		g.list(cold)
		for _, peer := range []string{"x", "y", "z"} {
			g.desk.PeerBegan(peer)
		}
		// Cut off from the others, an entry instance keeps to its share.
		g.clock.Advance(2 * peerAge)
		taken := 0
		for {
			if _, err := g.take(g.demand()); err != nil {
				break
			}
			taken++
		}
		So(taken, ShouldEqual, 2)
	})
}
