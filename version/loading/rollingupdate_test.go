package loading

import (
	"strconv"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/version/spread"
)

// loadTimes returns the load times of n agents as durations since start, in the
// order of the agents.
func loadTimes(update RollingUpdate, declared []WantedVersion, n int, start time.Time) []time.Duration {
	var agents []spread.Peer
	for i := range n {
		agents = append(agents, spread.Peer{ID: "agent-" + strconv.Itoa(i)})
	}
	var times []time.Duration
	for _, a := range agents {
		times = append(times, update.LoadTime(declared, agents, a.ID).Sub(start))
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
		times := loadTimes(update, []WantedVersion{declared(2, 0)}, 11, start)
		within(times, 2*time.Second, 7*time.Second)
		different := map[time.Duration]bool{}
		for _, at := range times {
			different[at] = true
		}
		So(different, ShouldHaveLength, 11)
	})

	Convey("The update waits for a version declared 2 s later, but not beyond the last age of the first", t, func() {
		times := loadTimes(update, []WantedVersion{declared(2, 0), declared(3, 2*time.Second)}, 11, start)
		within(times, 4*time.Second, 7*time.Second)
	})

	Convey("A version declared too late for that does not change the load times", t, func() {
		before := loadTimes(update, []WantedVersion{declared(2, 0)}, 11, start)
		after := loadTimes(update, []WantedVersion{declared(2, 0), declared(3, 4*time.Second)}, 11, start)
		So(after, ShouldResemble, before)
	})
}
