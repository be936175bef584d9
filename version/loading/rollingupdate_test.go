package loading

import (
	"strconv"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/version/spread"
)

// loadDelays returns for each of agentCount agents the time from start to the
// agent's load, in the order of the agents.
func loadDelays(update RollingUpdate, declared []WantedVersion, agentCount int, start time.Time) []time.Duration {
	var agents []spread.Peer
	for i := range agentCount {
		agents = append(agents, spread.Peer{ID: "agent-" + strconv.Itoa(i)})
	}
	var times []time.Duration
	for _, a := range agents {
		times = append(times, update.LoadAt(declared, agents, a.ID).Sub(start))
	}
	return times
}

func TestRollingUpdateLoadTimes(t *testing.T) {
	update := RollingUpdate{FirstAge: 2 * time.Second, LastAge: 7 * time.Second}
	start := time.Now()
	declared := func(version int, after time.Duration) WantedVersion {
		return WantedVersion{Model: model, Version: version, DeclaredAt: start.Add(after)}
	}
	within := func(times []time.Duration, first, last time.Duration) {
		for _, at := range times {
			So(at, ShouldBeBetweenOrEqual, first, last)
		}
	}

	Convey("Servers load one after another between the first and the last age", t, func() {
		delays := loadDelays(update, []WantedVersion{declared(2, 0)}, 11, start)
		within(delays, 2*time.Second, 7*time.Second)
		different := map[time.Duration]bool{}
		for _, at := range delays {
			different[at] = true
		}
		So(different, ShouldHaveLength, 11)
	})

	Convey("The first load waits for a version declared 2 s later, and the last load is still at the last age of the older version", t, func() {
		times := loadDelays(update, []WantedVersion{declared(2, 0), declared(3, 2*time.Second)}, 11, start)
		within(times, 4*time.Second, 7*time.Second)
	})

	Convey("A version declared 4 s later does not change the load times, because too little time would be left for the loads", t, func() {
		before := loadDelays(update, []WantedVersion{declared(2, 0)}, 11, start)
		after := loadDelays(update, []WantedVersion{declared(2, 0), declared(3, 4*time.Second)}, 11, start)
		So(after, ShouldResemble, before)
	})
}
