package dispatch

import (
	"testing"
	"time"

	"github.com/go-faster/errors"
	. "github.com/smartystreets/goconvey/convey"
)

func TestQuietServerBehindANarrowLink(t *testing.T) {
	// only lists one server with many places and fills none.
	only := func() *deskRig {
		g := newDeskRig()
		a := g.server("a", "palermo")
		a.Slots = 100
		g.list(a)
		return g
	}
	demand := func(g *deskRig) *Demand {
		q := g.demand()
		q.Objective = 400 * time.Millisecond
		q.Arrived = q.Arrived.Add(-time.Second) // it does not wait here
		return q
	}
	const silence = 601 * time.Millisecond // over 1.5 objectives

	Convey("A server that sends nothing while requests run there gets no more, until it is heard", t, func() {
		g := only()
		first, err := g.desk.Acquire(t.Context(), demand(g))
		So(err, ShouldBeNil)
		g.clock.Advance(silence)
		_, err = g.take(demand(g))
		So(errors.Is(err, ErrFull), ShouldBeTrue)
		g.desk.Heard(first)
		_, err = g.take(demand(g))
		So(err, ShouldBeNil)
	})

	Convey("One with nothing to answer may be silent", t, func() {
		g := only()
		first, err := g.desk.Acquire(t.Context(), demand(g))
		So(err, ShouldBeNil)
		g.clock.Advance(silence)
		g.desk.Release(first, Ended)
		_, err = g.take(demand(g))
		So(err, ShouldBeNil)
	})

	Convey("Requests with a longer objective wait for their answers longer", t, func() {
		g := only()
		slow := func() *Demand {
			q := demand(g)
			q.Objective = 3 * time.Second
			q.Arrived = q.Arrived.Add(-10 * time.Second)
			return q
		}
		_, err := g.take(slow())
		So(err, ShouldBeNil)
		g.clock.Advance(4 * time.Second)
		_, err = g.take(slow())
		So(err, ShouldBeNil)
	})

	Convey("Under full load a narrow link holds a few requests and not one for each place", t, func() {
		g := only()
		sent := 0
		for range 100 { // 50 requests a second for two seconds
			if _, err := g.take(demand(g)); err == nil {
				sent++
			}
			g.clock.Advance(20 * time.Millisecond)
		}
		So(sent, ShouldBeLessThanOrEqualTo, int(silence/(20*time.Millisecond))+1)
	})
}
