package dispatch

import (
	"testing"

	"github.com/go-faster/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/version/catalog"
)

// Guards against the use of weights that nobody has proven, because the agent that ordered
// their load ended before it had read the staged chunks back.
func TestAgentGoneBeforeItsLoadIsProven(t *testing.T) {
	// newFixture returns a fixture with the server "a" alone, of which the list says that it
	// holds a version, and whose agent has disconnected.
	newFixture := func(listed int, last frame.AgentState, change func(*catalog.Server)) *schedulerFixture {
		f := newSchedulerFixture()
		f.scheduler.SetAgentState("a", &last)
		f.scheduler.SetAgentState("a", nil)
		a := f.server("a", "palermo")
		a.StartUnixMs, a.LoadedVersions = 5, map[string]int{"herbs": listed}
		if change != nil {
			change(a)
		}
		f.setServers(a)
		return f
	}
	proven := func(version int) *frame.ProvenLoad {
		return &frame.ProvenLoad{StartUnixMs: 5, AcceptedOrders: int64(version), Versions: map[string]int{"herbs": version}}
	}

	Convey("A version in the list that is newer than the last proven one is not used", t, func() {
		f := newFixture(2, frame.AgentState{LoadedVersions: map[string]int{"herbs": 1}, Loading: true, Proven: proven(1)}, nil)
		_, err := f.acquire(f.request())
		So(errors.Is(err, ErrNoServer), ShouldBeTrue)
		So(f.scheduler.Explain(f.request()).Servers[0].Excluded, ShouldEqual, LoadUnproven)
	})

	Convey("The proven version is used while no agent is connected, also if the list is older", t, func() {
		for _, listed := range []int{1, 2} {
			f := newFixture(listed, frame.AgentState{LoadedVersions: map[string]int{"herbs": 2}, Proven: proven(2)}, nil)
			slot, ok := f.scheduler.TryAcquire(f.request())
			So(ok, ShouldBeTrue)
			So(slot.Version, ShouldEqual, 2)
		}
	})

	Convey("A load that was proven before it was complete is used when it is complete", t, func() {
		f := newFixture(2, frame.AgentState{LoadedVersions: map[string]int{"herbs": 1}, Loading: true, Proven: proven(2)}, nil)
		_, err := f.acquire(f.request())
		So(err, ShouldBeNil)
	})

	Convey("An older proof that arrives late does not replace a newer one", t, func() {
		f := newFixture(2, frame.AgentState{LoadedVersions: map[string]int{"herbs": 2}, Proven: proven(2)}, nil)
		f.scheduler.SetAgentState("a", &frame.AgentState{Proven: proven(1)})
		So(f.scheduler.ProvenLoad("a"), ShouldResemble, proven(2))
	})

	Convey("Proofs of servers that are no longer listed are forgotten", t, func() {
		f := newFixture(2, frame.AgentState{Proven: proven(2)}, func(a *catalog.Server) { a.Addr = "other" })
		f.scheduler.RemoveUnlistedServers()
		So(f.scheduler.ProvenLoad("a"), ShouldBeNil)
	})
}
