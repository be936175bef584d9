package exchange

import (
	"testing"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/test/wait"
	"github.com/rattanway/rattanway/version/catalog"
)

// TestReportsMakeATableLate guards against reports whose positions the catalogue does not see.
func TestReportsMakeATableLate(t *testing.T) {
	Convey("A table of which a peer reports a newer revision is behind", t, func() {
		registry := gometrics.NewRegistry()
		a, b := newTestInstance(t, "a"), newIdleTestInstance(t, "b")
		b.declaredFollower.RegisterMetrics(registry)
		content := func(revision uint64) catalog.TableContent {
			return catalog.TableContent{Rows: []catalog.Row{{Key: "config", Revision: revision}}, ChangeRevision: revision, ReadRevision: revision}
		}
		b.declaredFollower.AdoptIfNewer(content(6), "store")
		a.declaredFollower.AdoptIfNewer(content(7), "store")
		// Without a request b stays behind.
		b.requests[catalog.TableDeclared] = tableRequest{time.Now(), time.Hour}
		b.start()
		b.AddPeer(a.cfg.Self.Addr, "")
		behind := registry.Get("catalog.declared.behind.milliseconds").(gometrics.Gauge)
		So(wait.Until(func() bool { return behind.Value() > 0 }), ShouldBeTrue)
		b.declaredFollower.AdoptIfNewer(content(7), "a")
		So(behind.Value(), ShouldEqual, 0)
		So(registry.Get("catalog.declared.revision").(gometrics.Gauge).Value(), ShouldEqual, 7)
	})
}
