package placement

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/version/declare"
)

func TestRegionShare(t *testing.T) {
	Convey("Given a region with a declared link bandwidth and three agents", t, func() {
		set := declare.NewSet()
		set.Regions["west"] = &declare.Region{Name: "west", LinkBytesPerSecond: 3000}
		set.Models["m"] = &declare.Model{Name: "m", Version: "v", Replicas: 4}
		set.Versions["v"] = &declare.Version{Name: "v", Model: "m", Manifest: "d"}
		var live []core.Instance
		for _, id := range []string{"a", "b", "c"} {
			set.BackendServers[id] = &declare.BackendServer{Name: id, DataCentre: "w1"}
			live = append(live, core.Instance{ID: id, Role: core.RoleAgent, DataCentre: "w1", Region: "west"})
		}
		set.BackendServers["e"] = &declare.BackendServer{Name: "e", DataCentre: "e1"}
		live = append(live, core.Instance{ID: "e", Role: core.RoleAgent, DataCentre: "e1", Region: "east"})
		plan := Compute(set, live)

		Convey("the shares of its agents add up to the link bandwidth", func() {
			So(RegionShare(set, plan, live[0]), ShouldEqual, 1000)
		})
		Convey("a region without a declared link bandwidth has no limit", func() {
			So(RegionShare(set, plan, live[3]), ShouldEqual, 0)
		})
	})
}
