package homes

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/connection/registry"
	"github.com/rattanway/rattanway/core"
)

const (
	// nodeBudget is the bandwidth that a node may use for control messages, in
	// bytes per second.
	nodeBudget = 3 << 10
	// heartbeatShare is the share of nodeBudget that heartbeats may use.
	heartbeatShare = 0.6
	// frameOverhead is the size of the headers that one report costs, in bytes:
	// those of a masked WebSocket frame, of a TCP segment and of the
	// acknowledgement of that segment.
	frameOverhead = 6 + 2*52
)

// instancesAtTargetSize returns a list with the target number of entry instances,
// 330, and the given number of agents.
func instancesAtTargetSize(agents int) []core.Instance {
	list := entryInstances(55, "w1", "w2", "w3", "e1", "e2", "e3")
	for i := range agents {
		list = append(list, core.Instance{ID: fmt.Sprintf("server-%d", i), Role: core.RoleAgent, DataCentre: "w1", Region: "w"})
	}
	return list
}

func TestHeartbeatBudget(t *testing.T) {
	last := frame.Report{State: frame.StateReady, Limit: 1000, Config: 1 << 20, HeartbeatMillis: 10_000}
	current := last
	current.InFlight, current.Queued = 1000, 1000
	raw, err := frame.Encode(frame.KindReport, withoutUnchanged(current, last))
	if err != nil {
		t.Fatal(err)
	}
	reportBytes := float64(len(raw) + frameOverhead)
	self := core.Instance{ID: "gpu-1", DataCentre: "w1", Region: "w"}

	for _, agents := range []int{600, 1300} {
		Convey(fmt.Sprintf("With %d agents, heartbeats stay within their share of a node's bandwidth", agents), t, func() {
			list := instancesAtTargetSize(agents)
			homes := len(Select(self, list, DefaultMaxLocal, DefaultPerRemote, defaultMinHomes))
			reportsPerSecond := 1 / HeartbeatInterval(registry.DefaultHeartbeat, list, homes).Seconds()
			agentBytesPerSecond := float64(homes) * reportsPerSecond * reportBytes
			entryBytesPerSecond := float64(agents*homes) / 330 * reportsPerSecond * reportBytes
			So(agentBytesPerSecond, ShouldBeLessThan, heartbeatShare*nodeBudget)
			So(entryBytesPerSecond, ShouldBeLessThan, heartbeatShare*nodeBudget)
		})
	}
	Convey("With few agents the heartbeat interval is the configured one", t, func() {
		list := append(entryInstances(1, "w1", "w2", "w3", "e1"), instancesAtTargetSize(19)[330:]...)
		So(HeartbeatInterval(5*time.Second, list, 4), ShouldEqual, 5*time.Second)
		So(HeartbeatInterval(100*time.Millisecond, list, 4), ShouldEqual, 100*time.Millisecond)
		So(HeartbeatInterval(5*time.Second, nil, 0), ShouldEqual, 5*time.Second)
	})
}
