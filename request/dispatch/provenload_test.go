package dispatch

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/connection/exchange"
	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/version/catalog"
)

// listOnly returns a fixture whose list has one server, "a", with a version of the weights, and
// whose scheduler has started age ago and knows nothing else.
func listOnly(listed int, age time.Duration) *schedulerFixture {
	f := newSchedulerFixture()
	a := f.server("a", "palermo")
	a.StartUnixMs, a.LoadedVersions = 5, map[string]int{"herbs": listed}
	f.scheduler = NewScheduler(f.scheduler.cfg, f.holder, f.clock)
	f.holder.Apply([]catalog.Change{{Server: a}}, true, true, f.clock.Now())
	f.clock.Advance(age)
	return f
}

// proven returns the proof of a load of a version by the server of listOnly.
func proven(version int) *frame.ProvenLoad {
	return &frame.ProvenLoad{StartUnixMs: 5, AcceptedOrders: int64(version), Versions: map[string]int{"herbs": version}}
}

// Guards against the use of weights that nobody has proven, because the agent that ordered
// their load ended before it had read the staged chunks back.
func TestAgentGoneBeforeItsLoadIsProven(t *testing.T) {
	// newFixture returns a fixture with the server "a" alone, of which the list says that it
	// holds a version, and whose agent has disconnected.
	newFixture := func(listed int, last frame.AgentState) *schedulerFixture {
		f := listOnly(listed, time.Minute)
		f.scheduler.SetAgentState("a", &last)
		f.scheduler.SetAgentState("a", nil)
		return f
	}

	Convey("A version in the list that is newer than the last proven one is not used", t, func() {
		f := newFixture(2, frame.AgentState{LoadedVersions: map[string]int{"herbs": 1}, Loading: true, Proven: proven(1)})
		_, err := f.acquire(f.request())
		So(errors.Is(err, ErrNoServer), ShouldBeTrue)
		So(f.scheduler.Explain(f.request()).Servers[0].Excluded, ShouldEqual, LoadUnproven)
	})

	Convey("The proven version is used while no agent is connected, also if the list is older", t, func() {
		for _, listed := range []int{1, 2} {
			f := newFixture(listed, frame.AgentState{LoadedVersions: map[string]int{"herbs": 2}, Proven: proven(2)})
			slot, ok := f.scheduler.TryAcquire(f.request())
			So(ok, ShouldBeTrue)
			So(slot.Version, ShouldEqual, 2)
		}
	})

	Convey("A load that was proven before it was complete is used when it is complete", t, func() {
		f := newFixture(2, frame.AgentState{LoadedVersions: map[string]int{"herbs": 1}, Loading: true, Proven: proven(2)})
		_, err := f.acquire(f.request())
		So(err, ShouldBeNil)
	})

	Convey("An older proof that arrives late does not replace a newer one", t, func() {
		f := newFixture(2, frame.AgentState{LoadedVersions: map[string]int{"herbs": 2}, Proven: proven(2)})
		f.scheduler.SetAgentState("a", &frame.AgentState{Proven: proven(1)})
		So(f.scheduler.ProvenLoad("a"), ShouldResemble, proven(2))
	})

	Convey("Proofs of servers that are no longer listed are forgotten", t, func() {
		f := newFixture(2, frame.AgentState{Proven: proven(2)})
		f.scheduler.RemoveUnlistedServers()
		So(f.scheduler.ProvenLoad("a"), ShouldResemble, proven(2))
		f.setServers(f.server("b", "palermo"))
		f.scheduler.RemoveUnlistedServers()
		So(f.scheduler.ProvenLoad("a"), ShouldBeNil)
	})
}

// Guards against the use of a load that is not proven by an entry instance that has just
// started: until the server's agent had connected, it went by the server list.
func TestStartWhileALoadIsNotProven(t *testing.T) {
	waits := func(f *schedulerFixture) (*waiter, error) {
		req := f.request()
		req.FirstByteObjective = 5 * time.Second
		w, _, err := f.scheduler.beginAcquire(req)
		return w, err
	}

	Convey("A version of which only the list tells is not used, and a request waits for the agent", t, func() {
		f := listOnly(2, 100*time.Millisecond)
		w, err := waits(f)
		So(errors.Is(err, ErrFull), ShouldBeTrue)
		So(w, ShouldNotBeNil)
		So(f.scheduler.Explain(f.request()).Servers[0].Excluded, ShouldEqual, LoadUnproven)
		f.scheduler.SetAgentState("a", &frame.AgentState{LoadedVersions: map[string]int{"herbs": 1}, Loading: true, Proven: proven(1)})
		So(w.assigned, ShouldBeFalse)
		f.scheduler.SetAgentState("a", &frame.AgentState{LoadedVersions: map[string]int{"herbs": 2}, Proven: proven(2)})
		So(w.assigned, ShouldBeTrue)
		So((<-w.slot).Version, ShouldEqual, 2)
	})

	Convey("A peer's report of the proof is enough while the agent stays away", t, func() {
		for _, near := range []bool{true, false} {
			f, peer := listOnly(2, 100*time.Millisecond), listOnly(2, time.Minute)
			w, _ := waits(f)
			peer.scheduler.SetAgentState("a", &frame.AgentState{LoadedVersions: map[string]int{"herbs": 2}, Proven: proven(2)})
			report, _ := peer.scheduler.Evidence(0, exchange.ObservedAnywhere)
			So(report.Empty(), ShouldBeFalse)
			So(f.scheduler.MergeEvidence(report, near), ShouldBeNil)
			So(w.assigned, ShouldBeTrue)
		}
	})

	Convey("A report of another start of the server, or of an older version, is not", t, func() {
		for _, load := range []frame.ProvenLoad{*proven(1), {StartUnixMs: 4, AcceptedOrders: 9, Versions: map[string]int{"herbs": 2}}} {
			f := listOnly(2, 100*time.Millisecond)
			So(f.scheduler.MergeEvidence(frame.Evidence{ProvenLoads: []frame.ServerLoad{{ServerAddr: "a", Load: load}}}, true), ShouldBeNil)
			_, ok := f.scheduler.TryAcquire(f.request())
			So(ok, ShouldBeFalse)
		}
	})

	Convey("A proof is reported once, to those who do not have it from the agent or from others", t, func() {
		f := listOnly(2, time.Minute)
		f.scheduler.SetAgentState("a", &frame.AgentState{Proven: proven(2)})
		report, last := f.scheduler.Evidence(0, exchange.ObservedHere)
		So(report.ProvenLoads, ShouldHaveLength, 1)
		f.scheduler.SetAgentState("a", &frame.AgentState{Proven: proven(2)})
		report, _ = f.scheduler.Evidence(last, exchange.ObservedAnywhere)
		So(report.Empty(), ShouldBeTrue)
		other := listOnly(2, time.Minute)
		So(other.scheduler.MergeEvidence(frame.Evidence{ProvenLoads: []frame.ServerLoad{{ServerAddr: "a", Load: *proven(2)}}}, true), ShouldBeNil)
		report, _ = other.scheduler.Evidence(0, exchange.ObservedHere)
		So(report.Empty(), ShouldBeTrue)
	})

	Convey("Requests are refused at once when agents that are there would have connected", t, func() {
		w, err := waits(listOnly(2, proofWait))
		So(errors.Is(err, ErrNoServer), ShouldBeTrue)
		So(w, ShouldBeNil)
	})

	Convey("Invalid reports are named, and the valid ones beside them count", t, func() {
		f := listOnly(2, time.Minute)
		tooMany := map[string]int{}
		for i := range maxProvenModels + 1 {
			tooMany[strconv.Itoa(i)] = 1
		}
		err := f.scheduler.MergeEvidence(frame.Evidence{ProvenLoads: []frame.ServerLoad{
			{Load: *proven(2)}, {ServerAddr: strings.Repeat("a", maxServerAddrLength+1)}, {ServerAddr: "b", Load: frame.ProvenLoad{Versions: tooMany}},
			{ServerAddr: "a", Load: *proven(2)},
		}}, true)
		So(err, ShouldNotBeNil)
		So(f.scheduler.provenLoads, ShouldHaveLength, 1)
	})
}
