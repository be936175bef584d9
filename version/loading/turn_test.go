package loading

import (
	"strconv"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/version/spread"
)

// turnsOf returns the turns of n agents after a start, in order of the agents.
func turnsOf(t Turns, declared []Wanted, n int, start time.Time) []time.Duration {
	var agents []spread.Peer
	for i := range n {
		agents = append(agents, spread.Peer{ID: "agent-" + strconv.Itoa(i)})
	}
	var all []time.Duration
	for _, a := range agents {
		all = append(all, t.Turn(declared, agents, a.ID).Sub(start))
	}
	return all
}

func TestTurnsUnderFullLoad(t *testing.T) {
	turns := Turns{First: 2 * time.Second, Last: 7 * time.Second}
	start := time.Now()
	declared := func(version int, after time.Duration) Wanted {
		return Wanted{Model: model, Version: version, Known: start.Add(after)}
	}
	within := func(all []time.Duration, first, last time.Duration) {
		for _, at := range all {
			So(at, ShouldBeBetweenOrEqual, first, last)
		}
	}

	Convey("Servers change over one after the other within the version's time", t, func() {
		all := turnsOf(turns, []Wanted{declared(2, 0)}, 11, start)
		within(all, 2*time.Second, 7*time.Second)
		different := map[time.Duration]bool{}
		for _, at := range all {
			different[at] = true
		}
		So(different, ShouldHaveLength, 11)
	})

	Convey("A version that comes 2 s later is waited for, within the time of the first", t, func() {
		all := turnsOf(turns, []Wanted{declared(2, 0), declared(3, 2*time.Second)}, 11, start)
		within(all, 4*time.Second, 7*time.Second)
	})

	Convey("A version that comes too late for that leaves the turns as they were", t, func() {
		before := turnsOf(turns, []Wanted{declared(2, 0)}, 11, start)
		after := turnsOf(turns, []Wanted{declared(2, 0), declared(3, 4*time.Second)}, 11, start)
		So(after, ShouldResemble, before)
	})
}
