package orders

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/version/declare"
)

func TestComputePlan(t *testing.T) {
	Convey("A plan is computed again only when the set or the list of live instances has changed", t, func() {
		live := []core.Instance{{ID: "gpu-1"}, {ID: "gpu-2"}}
		c := &Controller{
			cfg:            Config{Self: core.Instance{ID: "gpu-1"}},
			liveInstances:  func() []core.Instance { return live },
			setRegionShare: func(int64) {},
		}
		set := declare.NewSet()
		first := c.computePlan(set)
		So(c.computePlan(set), ShouldPointTo, first)

		live = []core.Instance{{ID: "gpu-1"}}
		second := c.computePlan(set)
		So(second, ShouldNotPointTo, first)
		So(c.computePlan(set), ShouldPointTo, second)
		So(c.computePlan(set.Clone()), ShouldNotPointTo, second)
	})
}
