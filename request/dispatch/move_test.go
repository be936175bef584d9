package dispatch

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/version/catalog"
)

// newMoveFixture returns a fixture and the slot of a stream that runs at the
// server "a". This server began to load weights moveDelay ago.
func newMoveFixture() (*schedulerFixture, Slot) {
	f := newSchedulerFixture()
	from, err := f.scheduler.Acquire(context.Background(), f.request())
	So(err, ShouldBeNil)
	So(from.Server.ID, ShouldEqual, "a")
	f.scheduler.SetAgentState("a", &frame.AgentState{LoadedVersions: map[string]int{"herbs": 1}, Loading: true})
	So(f.scheduler.StartMoveSearch(f.request(), from), ShouldBeNil)
	f.clock.Advance(moveDelay)
	return f, from
}

func TestMoveWhileServerLoadsWeights(t *testing.T) {
	Convey("A stream at a server that loads weights gets a free slot at another server", t, func() {
		f, from := newMoveFixture()
		m := f.scheduler.StartMoveSearch(f.request(), from)
		So(m, ShouldNotBeNil)
		to, ok := m.Take()
		So(ok, ShouldBeTrue)
		So(to.Server.ID, ShouldEqual, "b")
		So(f.scheduler.RunningByServer(), ShouldResemble, map[string]int{"a": 1, "b": 1})
	})

	Convey("Under full load the stream gets the next free slot, before every waiting request", t, func() {
		f, from := newMoveFixture()
		var slots []Slot
		for range 2 + maxServerQueueLength {
			slot, err := f.scheduler.Acquire(context.Background(), f.request())
			So(err, ShouldBeNil)
			slots = append(slots, slot)
		}
		waited := make(chan error, 1)
		go func() {
			req := f.request()
			req.FirstByteObjective = time.Second
			_, err := f.scheduler.Acquire(context.Background(), req)
			waited <- err
		}()
		So(f.clock.BlockUntilContext(t.Context(), 1), ShouldBeNil)
		m := f.scheduler.StartMoveSearch(f.request(), from)
		_, ok := m.Take()
		So(ok, ShouldBeFalse)
		f.scheduler.Release(slots[0], Served)
		_, ok = m.Take()
		So(ok, ShouldBeTrue)
		f.scheduler.Release(slots[1], Served)
		So(<-waited, ShouldBeNil)
	})

	Convey("A stream does not move to a server whose weights may become outdated before it begins there", t, func() {
		f, from := newMoveFixture()
		f.holder.Apply([]catalog.Change{{Weights: &catalog.Weights{Model: "herbs", Version: 2}}}, false, false, f.clock.Now())
		f.clock.Advance(f.scheduler.cfg.WeightsDueAfter - moveBeginTime - time.Millisecond)
		to, ok := f.scheduler.StartMoveSearch(f.request(), from).Take()
		So(ok, ShouldBeTrue)
		So(to.Version, ShouldEqual, 1)
		f.scheduler.Release(to, Cancelled)

		// A slot that is taken only later is given back.
		late := f.scheduler.StartMoveSearch(f.request(), from)
		f.clock.Advance(time.Millisecond)
		_, ok = late.Take()
		So(ok, ShouldBeFalse)
		late.Cancel()

		m := f.scheduler.StartMoveSearch(f.request(), from)
		So(m, ShouldNotBeNil)
		_, ok = m.Take()
		So(ok, ShouldBeFalse)

		f.scheduler.SetAgentState("b", &frame.AgentState{LoadedVersions: map[string]int{"herbs": 2}})
		to, ok = m.Take()
		So(ok, ShouldBeTrue)
		So(to.Version, ShouldEqual, 2)
	})

	Convey("Cancel releases the new slot of a stream that ends before the move", t, func() {
		f, from := newMoveFixture()
		f.scheduler.StartMoveSearch(f.request(), from).Cancel()
		So(f.scheduler.RunningByServer(), ShouldResemble, map[string]int{"a": 1})
	})

	Convey("Streams are not moved once optional retries have used up their share of the retry budget, and failed requests can still be retried", t, func() {
		f, from := newMoveFixture()
		movedCount := 0
		for {
			m := f.scheduler.StartMoveSearch(f.request(), from)
			if m == nil {
				break
			}
			to, ok := m.Take()
			So(ok, ShouldBeTrue)
			f.scheduler.Release(to, Served)
			movedCount++
		}
		allowed := usableBudgetShare * f.scheduler.cfg.RetryLimits.Slack
		So(movedCount, ShouldEqual, int(optionalRetryShare*allowed))
		So(f.scheduler.TakeRetry("label"), ShouldBeTrue)
	})
}

// TestStreamMovesToAServerThatLeaves guards against a stream that continues at a server
// that began to leave, or whose data centre was taken out, after the slot was assigned.
func TestStreamMovesToAServerThatLeaves(t *testing.T) {
	for name, change := range map[string]func(f *schedulerFixture) catalog.Change{
		"the server leaves": func(f *schedulerFixture) catalog.Change {
			b := f.server("b", "catania")
			b.Leaving = true
			return catalog.Change{Server: b}
		},
		"its data centre is taken out": func(*schedulerFixture) catalog.Change {
			return catalog.Change{DataCentreOut: "catania"}
		},
	} {
		Convey("The assigned slot is not used after "+name, t, func() {
			f, from := newMoveFixture()
			m := f.scheduler.StartMoveSearch(f.request(), from)
			So(m, ShouldNotBeNil)
			f.holder.Apply([]catalog.Change{change(f)}, false, true, f.clock.Now())
			f.clock.Advance(5 * time.Second)
			_, ok := m.Take()
			So(ok, ShouldBeFalse)
			So(f.scheduler.RunningByServer(), ShouldResemble, map[string]int{"a": 1})
			m.Cancel()
			So(f.scheduler.waiting, ShouldBeEmpty)
		})
	}
}
