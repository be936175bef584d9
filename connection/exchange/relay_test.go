package exchange

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"

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
