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
	// controlBytesPerSecond is the bandwidth that a process may use for control
	// messages.
	controlBytesPerSecond = 3 << 10
	// maxHeartbeatShare is the share of controlBytesPerSecond that heartbeats may
	// use.
	maxHeartbeatShare = 0.6
	// frameOverheadBytes is the size of the headers sent with one report: those of
	// a masked WebSocket frame, of a TCP segment and of the acknowledgement of
	// that segment.
	frameOverheadBytes = 6 + 2*52
)

// instancesAtTargetSize returns a list with the target number of entry instances,
// 330, and the given number of agents.
func instancesAtTargetSize(agentCount int) []core.Instance {
	list := entryInstances(55, "w1", "w2", "w3", "e1", "e2", "e3")
	for i := range agentCount {
		list = append(list, core.Instance{ID: fmt.Sprintf("server-%d", i), Role: core.RoleAgent, DataCentre: "w1", Region: "w"})
	}
	return list
}

func TestHeartbeatBudget(t *testing.T) {
	last := frame.Report{State: frame.StateReady, Limit: 1000, ConfigNumber: 1 << 20, HeartbeatMillis: 10_000}
	current := last
	current.InFlight, current.Queued = 1000, 1000
	raw, err := frame.Encode(frame.KindReport, withoutUnchangedFields(current, last))
	if err != nil {
		t.Fatal(err)
	}
	reportBytes := float64(len(raw) + frameOverheadBytes)
	self := core.Instance{ID: "gpu-1", DataCentre: "w1", Region: "w"}

	for _, agentCount := range []int{600, 1300} {
		Convey(fmt.Sprintf("With %d agents, heartbeats stay within their share of a process's bandwidth for control messages", agentCount), t, func() {
			list := instancesAtTargetSize(agentCount)
			homeCount := len(Select(self, list, DefaultMaxLocalHomes, DefaultHomesPerRemoteDataCentre, defaultMinHomes))
			reportsPerSecond := 1 / HeartbeatInterval(registry.DefaultHeartbeatInterval, list, homeCount).Seconds()
			agentBytesPerSecond := float64(homeCount) * reportsPerSecond * reportBytes
			entryBytesPerSecond := float64(agentCount*homeCount) / 330 * reportsPerSecond * reportBytes
			So(agentBytesPerSecond, ShouldBeLessThan, maxHeartbeatShare*controlBytesPerSecond)
			So(entryBytesPerSecond, ShouldBeLessThan, maxHeartbeatShare*controlBytesPerSecond)
		})
	}
	Convey("With few agents the heartbeat interval is the configured one", t, func() {
		list := append(entryInstances(1, "w1", "w2", "w3", "e1"), instancesAtTargetSize(19)[330:]...)
		So(HeartbeatInterval(5*time.Second, list, 4), ShouldEqual, 5*time.Second)
		So(HeartbeatInterval(100*time.Millisecond, list, 4), ShouldEqual, 100*time.Millisecond)
		So(HeartbeatInterval(5*time.Second, nil, 0), ShouldEqual, 5*time.Second)
	})
}
