package exchange

import (
	"fmt"
	"testing"

	gometrics "github.com/rcrowley/go-metrics"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/test/wait"
	"github.com/rattanway/rattanway/version/catalog"
)

func TestMetrics(t *testing.T) {
	Convey("A table that an instance requests is counted at both ends, and so is the end of a connection", t, func() {
		a, b := newTestInstance(t, "a"), newTestInstance(t, "b")
		a.declaredFollower.AdoptIfNewer(catalog.TableContent{
			Rows: []catalog.Row{{Key: "config", Value: make([]byte, 1000), Revision: 7}}, ChangeRevision: 7, ReadRevision: 9,
		}, "store")
		b.AddPeer(a.cfg.Self.Addr, "")
		So(wait.Until(func() bool { return b.metrics.tablesAdopted.Count() == 1 }), ShouldBeTrue)
		So(b.metrics.tablesRequested.Count(), ShouldBeGreaterThanOrEqualTo, 1)
		So(wait.Until(func() bool { return a.metrics.tablesSent.Count() >= 1 }), ShouldBeTrue)
		So(wait.Until(func() bool { return a.metrics.tableBytesSent.Count() == 1000*a.metrics.tablesSent.Count() }), ShouldBeTrue)
		So(a.metrics.tablesAdopted.Count(), ShouldEqual, 0)
		before := a.metrics.connectionsEnded.Count()
		b.stop()
		So(wait.Until(func() bool { return a.metrics.connectionsEnded.Count() > before }), ShouldBeTrue)
	})

	Convey("Changes that a peer's queue does not take are counted", t, func() {
		registry := gometrics.NewRegistry()
		x := New(Config{Self: core.Instance{ID: "self", Addr: "self", DataCentre: "a"}, LoadTracker: &fakeLoadTracker{}, Metrics: registry})
		for i := range minSharedReadInstances {
			x.AddPeer(fmt.Sprint(i), "a")
		}
		x.addChangeQueue("0")
		for range changeQueueLength + 3 {
			x.SendChanges(catalog.TableDeclared, catalog.RowChanges{Until: 1})
		}
		So(registry.Get("exchange.changes.dropped").(gometrics.Counter).Count(), ShouldEqual, 3)
	})

	Convey("Changes that are sent to the others of a data centre are counted", t, func() {
		var all []*testInstance
		for i := range minSharedReadInstances {
			all = append(all, newTestInstance(t, fmt.Sprintf("a.%d", i)))
		}
		for _, i := range all[1:] {
			i.AddPeer(all[0].cfg.Self.Addr, "a")
		}
		queueCount := func() int {
			all[0].mu.Lock()
			defer all[0].mu.Unlock()
			return len(all[0].changeQueues)
		}
		So(wait.Until(func() bool { return queueCount() == len(all)-1 }), ShouldBeTrue)
		all[0].SendChanges(catalog.TableServers, catalog.RowChanges{Until: 1})
		So(wait.Until(func() bool { return all[0].metrics.changesSent.Count() == int64(len(all)-1) }), ShouldBeTrue)
	})
}
