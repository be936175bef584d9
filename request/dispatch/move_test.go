package dispatch

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/connection/frame"
)

// moveRig returns a Desk on which a stream runs at "a", whose server began to
// change its weights moveAfter ago, with the stream's place.
func moveRig() (*deskRig, Place) {
	g := newDeskRig()
	from, err := g.desk.Acquire(context.Background(), g.demand())
	So(err, ShouldBeNil)
	So(from.Server.ID, ShouldEqual, "a")
	g.desk.Agent("a", &frame.AgentState{Weights: map[string]int{"herbs": 1}, Loading: true})
	So(g.desk.Move(g.demand(), from), ShouldBeNil)
	g.clock.Advance(moveAfter)
	return g, from
}

func TestMoveUnderNewWeights(t *testing.T) {
	Convey("A stream at a server that changes its weights gets a free place elsewhere", t, func() {
		g, from := moveRig()
		m := g.desk.Move(g.demand(), from)
		So(m, ShouldNotBeNil)
		to, ok := m.Take()
		So(ok, ShouldBeTrue)
		So(to.Server.ID, ShouldEqual, "b")
		So(g.desk.Running(), ShouldResemble, map[string]int{"a": 1, "b": 1})
	})

	Convey("Under full load it gets the next place, before every waiting request", t, func() {
		g, from := moveRig()
		var held []Place
		for range 2 + queueAtServer {
			p, err := g.desk.Acquire(context.Background(), g.demand())
			So(err, ShouldBeNil)
			held = append(held, p)
		}
		waits := make(chan error, 1)
		go func() {
			q := g.demand()
			q.Objective = time.Second
			_, err := g.desk.Acquire(context.Background(), q)
			waits <- err
		}()
		So(g.clock.BlockUntilContext(t.Context(), 1), ShouldBeNil)
		m := g.desk.Move(g.demand(), from)
		_, ok := m.Take()
		So(ok, ShouldBeFalse)
		g.desk.Release(held[0], Served)
		_, ok = m.Take()
		So(ok, ShouldBeTrue)
		g.desk.Release(held[1], Served)
		So(<-waits, ShouldBeNil)
	})

	Convey("A stream that ends while it waits gives its place back", t, func() {
		g, from := moveRig()
		g.desk.Move(g.demand(), from).Cancel()
		So(g.desk.Running(), ShouldResemble, map[string]int{"a": 1, "b": 0})
	})

	Convey("Streams stay when repeats run short, and requests that fail are still repeated", t, func() {
		g, from := moveRig()
		moved := 0
		for {
			m := g.desk.Move(g.demand(), from)
			if m == nil {
				break
			}
			to, ok := m.Take()
			So(ok, ShouldBeTrue)
			g.desk.Release(to, Served)
			moved++
		}
		allowed := repeatMargin * g.desk.cfg.Repeats.Slack
		So(moved, ShouldEqual, int(spareShare*allowed))
		So(g.desk.Repeat("label"), ShouldBeTrue)
	})
}
