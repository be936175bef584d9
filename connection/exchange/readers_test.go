package exchange

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/test/wait"
)

// Guards against entry instances that all read the store although one reads for them: those
// that read nothing were not counted among the instances of the data centre.
func TestInstancesThatReadNothingAreCounted(t *testing.T) {
	Convey("The reports of entry instances without a response of the store count", t, func() {
		var all []*testInstance
		for i := range minSharedReadInstances {
			all = append(all, newTestInstance(t, fmt.Sprintf("a.%d", i)))
		}
		for _, i := range all[1:] {
			i.AddPeer(all[0].cfg.Self.Addr, "a")
		}
		reportingCount := func(i *testInstance) int {
			i.mu.Lock()
			defer i.mu.Unlock()
			return len(i.peerReads)
		}
		So(wait.Until(func() bool {
			return allMeet(all, func(i *testInstance) bool { return reportingCount(i) == len(all)-1 })
		}), ShouldBeTrue)
	})
}
