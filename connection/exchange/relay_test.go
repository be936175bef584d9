package exchange

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/version/catalog"
)

// newReporting returns the entry instances of a data centre, of which each has had reports
// from all others at the time now.
func newReporting(count int, clock clockwork.Clock) []*Exchange {
	var all []*Exchange
	for i := range count {
		all = append(all, New(Config{Self: core.Instance{ID: fmt.Sprintf("entry-%d", i), DataCentre: "a"}, Clock: clock}))
	}
	for _, x := range all {
		for _, peer := range all {
			if peer != x {
				x.recordReads(peer.cfg.Self.ID, map[catalog.Table]int64{})
			}
		}
	}
	return all
}

// countLimits returns how many instances have the given limit for the declarations of
// other data centres.
func countLimits(instances []*Exchange, limit time.Duration) int {
	n := 0
	for _, x := range instances {
		if x.lagLimit(catalog.TableDeclared, true) == limit {
			n++
		}
	}
	return n
}

// Guards against a configuration that each entry instance of a data centre gets from
// another one over the same narrow link.
func TestOneInstanceRelaysTheDeclarations(t *testing.T) {
	Convey("Given the entry instances of a data centre", t, func() {
		clock := clockwork.NewFakeClock()
		all := newReporting(12, clock)

		Convey("one requests the declarations from other data centres at once, the others later than from peers", func() {
			So(countLimits(all, relayLag), ShouldEqual, 1)
			So(countLimits(all, remoteLag), ShouldEqual, 11)
			for _, x := range all {
				So(x.lagLimit(catalog.TableDeclared, false), ShouldEqual, maxLag)
				So(x.lagLimit(catalog.TableServers, true), ShouldEqual, maxLag)
			}
		})
		Convey("another one does if it is silent", func() {
			var left []*Exchange
			for _, x := range all {
				if x.lagLimit(catalog.TableDeclared, true) != relayLag {
					left = append(left, x)
				}
			}
			clock.Advance(peerReadTimeout)
			for _, x := range left {
				for _, peer := range left {
					if peer != x {
						x.recordReads(peer.cfg.Self.ID, map[catalog.Table]int64{})
					}
				}
			}
			So(countLimits(left, relayLag), ShouldEqual, 1)
		})
		Convey("each does if they are too few to share what they get", func() {
			few := newReporting(minSharedReadInstances-1, clock)
			So(countLimits(few, maxLag), ShouldEqual, len(few))
		})
	})
}

// Guards against whole tables that are sent because a change from elsewhere has overtaken
// the response with patches.
func TestRequestAfterARejectedTable(t *testing.T) {
	Convey("After a response that does not fit the rows here", t, func() {
		i := newIdleTestInstance(t, "a")
		_, err := i.declaredFollower.AdoptIfNewer(catalog.TableContent{
			Rows: []catalog.Row{{Key: "config", Value: []byte("new"), Revision: 7}}, ChangeRevision: 7, ReadRevision: 7, Era: 2,
		}, "peer")
		So(err, ShouldBeNil)
		_, err = i.declaredFollower.AdoptIfNewer(catalog.TableContent{
			Rows: []catalog.Row{{Key: "config", Base: 5, Patches: [][]byte{{1}}, Revision: 9}}, ChangeRevision: 9, ReadRevision: 9, Era: 2,
		}, "peer")
		So(err, ShouldNotBeNil)

		Convey("the next request names the rows that are here by now", func() {
			held := frame.HeldRows{Revisions: map[string]uint64{"config": 7}, Era: 2}
			So(i.heldRows(catalog.TableDeclared, err), ShouldResemble, map[catalog.Table]frame.HeldRows{catalog.TableDeclared: held})
		})
		Convey("it names none if the patches were wrong for these rows", func() {
			_, err = i.declaredFollower.AdoptIfNewer(catalog.TableContent{
				Rows: []catalog.Row{{Key: "config", Base: 7, Patches: [][]byte{{1}}, Revision: 9}}, ChangeRevision: 9, ReadRevision: 9, Era: 2,
			}, "peer")
			So(err, ShouldNotBeNil)
			So(i.heldRows(catalog.TableDeclared, err), ShouldResemble, map[catalog.Table]frame.HeldRows{catalog.TableDeclared: {}})
		})
		Convey("a request for the table of servers names none", func() {
			So(i.heldRows(catalog.TableServers, err), ShouldBeNil)
		})
	})
}
