package dispatch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/connection/exchange"
	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/version/catalog"
)

// situation is a state of the servers in which requests are explained and then sent.
type situation struct {
	name string
	// arrange returns a fixture in this state, and next the next request.
	arrange func() *schedulerFixture
	next    func(f *schedulerFixture) *Request
	// excluded is the reason for which server "a" gets no first request, and decision what
	// becomes of that.
	excluded Exclusion
	decision Decision
}

// arranged returns a function that makes a fixture and changes it.
func arranged(make func() *schedulerFixture, change func(f *schedulerFixture)) func() *schedulerFixture {
	return func() *schedulerFixture {
		f := make()
		change(f)
		return f
	}
}

// align advances the clock to the begin of a period after which the ranks of entry instances
// are the same again, so that the outcome does not depend on when the test runs.
func (f *schedulerFixture) align() {
	f.clock.Advance(rankRotation - time.Duration(f.clock.Now().UnixNano()%int64(rankRotation)))
}

// newAlignedFixture is newSchedulerFixture with an aligned clock.
func newAlignedFixture() *schedulerFixture {
	f := newSchedulerFixture()
	f.align()
	return f
}

// withServer returns a function that makes a fixture in which server "a" is changed.
func withServer(change func(f *schedulerFixture, a *catalog.Server)) func() *schedulerFixture {
	return arranged(newAlignedFixture, func(f *schedulerFixture) {
		f.setServers(f.changed("a", func(a *catalog.Server) { change(f, a) }), f.server("b", "catania"))
	})
}

// after returns a function that makes a fixture with something that has happened at server "a".
func after(happens func(s *Scheduler, a *catalog.Server)) func() *schedulerFixture {
	return arranged(newAlignedFixture, func(f *schedulerFixture) { happens(f.scheduler, f.holder.Current().Servers["a"]) })
}

// fill takes every slot.
func (f *schedulerFixture) fill() {
	for f.clock.Advance(time.Second); ; f.clock.Advance(time.Second) {
		if _, ok := f.scheduler.TryAcquire(f.request()); !ok {
			break
		}
	}
	f.hear()
}

// hear makes each server send something now, so that none counts as stalled.
func (f *schedulerFixture) hear() {
	for id := range f.holder.Current().Servers {
		f.scheduler.RecordActivity(Slot{Server: f.server(id, "")})
	}
}

func plain(f *schedulerFixture) *Request { return f.request() }

func urgent(priority int) func(f *schedulerFixture) *Request {
	return func(f *schedulerFixture) *Request { return f.urgentRequest(priority) }
}

func withRequest(change func(r *Request)) func(f *schedulerFixture) *Request {
	return func(f *schedulerFixture) *Request {
		r := f.urgentRequest(0)
		change(r)
		return r
	}
}

func situations() []situation {
	pause := func(s *Scheduler, ids ...string) {
		for _, id := range ids {
			s.RecordPause(s.holder.Current().Servers[id], 3*time.Second)
		}
	}
	return []situation{
		{"free servers", newAlignedFixture, plain, NotExcluded, Sends},
		{"free servers with estimates", arranged(newTimesFixture, (*schedulerFixture).align), plain, NotExcluded, Sends},
		{"full, no wait allowed", arranged(newAlignedFixture, (*schedulerFixture).fill), plain, NoFreeSlot, Refuses},
		{"full, a wait allowed", arranged(newAlignedFixture, (*schedulerFixture).fill), urgent(0), NoFreeSlot, Waits},
		{"several priorities", newUsedFixture, urgent(1), NoFreeSlot, Waits},
		{"several priorities, the least urgent", arranged(newUsedFixture, func(f *schedulerFixture) {
			f.setServers(f.server("a", "palermo"), f.server("c", "palermo"))
		}), urgent(2), NoFreeSlot, Waits},
		{"a slot reserved", arranged(newAlignedFixture, func(f *schedulerFixture) {
			f.setPriorities(0, 1, 2)
			f.setServers(f.server("a", "palermo"))
			f.clock.Advance(time.Second)
			for range 2 {
				f.scheduler.TryAcquire(f.request())
				f.clock.Advance(time.Second)
			}
			f.hear()
			f.scheduler.recordShort("label", f.scheduler.urgencyOf("label"), 0, f.clock.Now(), observedHere)
		}), urgent(1), SlotsReserved, Waits},
		{"leaving by the list", withServer(func(_ *schedulerFixture, a *catalog.Server) { a.Leaving = true }), plain, Leaving, Sends},
		{"leaving by its own word", after(func(s *Scheduler, a *catalog.Server) { s.RecordLeaving(a) }), plain, Leaving, Sends},
		{"paused", after(func(s *Scheduler, _ *catalog.Server) { pause(s, "a") }), plain, ServerPaused, Sends},
		{"all paused", after(func(s *Scheduler, _ *catalog.Server) { pause(s, "a", "b") }), urgent(0), ServerPaused, Refuses},
		{"backoff", after(func(s *Scheduler, a *catalog.Server) { s.stateOf(a.ID).health.Record(Unreachable, s.clock.Now()) }), plain, Backoff, Sends},
		{"stalled", arranged(newAlignedFixture, func(f *schedulerFixture) {
			f.scheduler.beginAcquire(f.request())
			f.clock.Advance(700 * time.Millisecond)
		}), urgent(0), ServerStalled, Sends},
		{"unheard since a stall", arranged(newAlignedFixture, func(f *schedulerFixture) {
			slot, _ := f.scheduler.TryAcquire(f.request())
			f.clock.Advance(time.Second)
			f.scheduler.Release(slot, Stalled)
			f.clock.Advance(1500 * time.Millisecond)
			only := f.request()
			only.OnlyServers = map[string]bool{"a": true}
			f.scheduler.TryAcquire(only)
		}), plain, Unheard, Sends},
		{"weights outdated", arranged(newAlignedFixture, func(f *schedulerFixture) {
			now := f.clock.Now()
			f.holder.MergeWeights(catalog.Weights{Model: "herbs", Version: 2, DeclaredAt: now.Add(-8 * time.Second)}, now)
			f.setServers(f.server("a", "palermo"), f.changed("b", func(b *catalog.Server) { b.LoadedVersions = map[string]int{"herbs": 2} }))
		}), plain, WeightsOutdated, Sends},
		{"no weights anywhere", arranged(newAlignedFixture, func(f *schedulerFixture) { f.setServers(f.server("a", "palermo")) }),
			withRequest(func(r *Request) { r.Model = "spices" }), NoWeights, Refuses},
		{"loading weights", after(func(s *Scheduler, a *catalog.Server) { s.SetAgentState(a.Addr, &frame.AgentState{Loading: true}) }), plain, LoadingWeights, Sends},
		{"load not proven", after(func(s *Scheduler, a *catalog.Server) { delete(s.provenLoads, a.Addr) }), plain, LoadUnproven, Sends},
		{"another version needed", newAlignedFixture, withRequest(func(r *Request) { r.Version = 7 }), OtherVersion, Refuses},
		{"region not allowed by the route", newAlignedFixture, withRequest(func(r *Request) { r.RouteRegions = []string{"east"} }), RouteRegion, Sends},
		{"region not allowed by the account", newAlignedFixture, withRequest(func(r *Request) { r.AccountRegions = []string{"east"} }), AccountRegion, Sends},
		{"data centre out", arranged(newAlignedFixture, func(f *schedulerFixture) {
			f.holder.Apply([]catalog.Change{{DataCentreOut: "palermo"}}, false, false, f.clock.Now())
		}), plain, DataCentreOut, Sends},
		{"over a named limit", after(func(s *Scheduler, a *catalog.Server) { s.RecordLimit(a, 0, true) }), plain, OverNamedLimit, Sends},
		{"over the cold limit", arranged(withServer(func(f *schedulerFixture, a *catalog.Server) {
			a.ColdUntil, a.Slots = f.clock.Now().Add(time.Minute), 40
		}), func(f *schedulerFixture) {
			f.setServers(f.holder.Current().Servers["a"])
			for range 8 {
				f.scheduler.TryAcquire(f.request())
				f.clock.Advance(70 * time.Millisecond)
			}
		}), plain, OverColdLimit, Refuses},
		{"left to others", arranged(newAlignedFixture, func(f *schedulerFixture) {
			f.setServers(f.server("a", "palermo"))
			f.scheduler.UpdatePeerLoads("peer", exchange.LoadReport{InstanceCount: 9, RunningByServer: map[string]int{"b": 1}})
			f.scheduler.TryAcquire(f.request())
		}), plain, LeftToOthers, Refuses},
		{"quarantined", after(func(s *Scheduler, _ *catalog.Server) { endServers(s.quarantine, s.clock.Now(), 3, "stem") }),
			withRequest(func(r *Request) { r.PromptParts = parts("stem") }), NotExcluded, Refuses},
	}
}

// TestExplainEqualsAcquire guards against explanations that tell something else than what
// happens then, and against explanations that change what happens: a scheduler and its copy get
// the same requests, and only the first is asked before each.
func TestExplainEqualsAcquire(t *testing.T) {
	for _, situation := range situations() {
		Convey("Given "+situation.name, t, func() {
			f := situation.arrange()

			Convey("the first explanation names the reason and the outcome", func() {
				e := f.scheduler.Explain(situation.next(f))
				So(e.Decision, ShouldEqual, situation.decision)
				So(e.Servers[0].Slot.Server.ID, ShouldEqual, "a")
				So(e.Servers[0].Excluded.String(), ShouldEqual, situation.excluded.String())
			})
			Convey("each request goes where the explanation says, and as it would without one", func() {
				other := f.scheduler.Copy()
				for range 12 {
					counters := countersOf(f)
					explained := f.scheduler.Explain(situation.next(f))
					So(f.scheduler.Explain(situation.next(f)), ShouldResemble, explained)
					So(countersOf(f), ShouldResemble, counters)
					So(differences(f.scheduler, other, true), ShouldBeEmpty)
					req := situation.next(f)
					w, slot, err := f.scheduler.beginAcquire(req)
					soEqual(f, &explained, req, w, slot, err)

					_, otherSlot, otherErr := other.beginAcquire(situation.next(f))
					So(otherErr, ShouldEqual, err)
					So(serverID(otherSlot), ShouldEqual, serverID(slot))
					So(differences(f.scheduler, other, true), ShouldBeEmpty)
					f.clock.Advance(30 * time.Millisecond)
				}
			})
		})
	}
}

// soEqual asserts that an explanation tells what has happened to a request.
func soEqual(f *schedulerFixture, e *Explanation, req *Request, w *waiter, slot Slot, err error) {
	So(err, ShouldEqual, e.Err)
	So(serverID(e.Slot), ShouldEqual, serverID(slot))
	chosen := ""
	for _, server := range e.Servers {
		if server.Chosen {
			chosen = server.Slot.Server.ID
			So(server.Excluded, ShouldEqual, NotExcluded)
		}
	}
	So(chosen, ShouldEqual, serverID(slot))
	if err == nil {
		So(e.Decision, ShouldEqual, Sends)
		return
	}
	if w == nil {
		So(e.Decision, ShouldEqual, Refuses)
	} else {
		So(e.Decision, ShouldEqual, Waits)
		So(e.MaxWait, ShouldEqual, w.waitsUntil.Sub(f.clock.Now()))
	}
	for range 10 {
		retryAfter := f.scheduler.RetryAfter(req, err)
		So(retryAfter, ShouldBeGreaterThanOrEqualTo, e.MinRetryAfter)
		So(retryAfter, ShouldBeLessThanOrEqualTo, e.MaxRetryAfter)
	}
}

func serverID(slot Slot) string {
	if slot.Server == nil {
		return ""
	}
	return slot.Server.ID
}

// countersOf returns the counters that the scheduler of a fixture has registered.
func countersOf(f *schedulerFixture) map[string]map[string]any {
	return f.scheduler.cfg.Metrics.GetAll()
}

// TestExplainedQueue guards against a wrong place in the queue.
func TestExplainedQueue(t *testing.T) {
	Convey("Given full servers and two waiting requests of priority 0 and one of priority 2", t, func() {
		f := newAlignedFixture()
		f.setPriorities(0, 1, 2)
		f.fill()
		for _, priority := range []int{0, 2, 0} {
			w, _, _ := f.scheduler.beginAcquire(f.urgentRequest(priority))
			So(w, ShouldNotBeNil)
		}
		Convey("a request of priority 1 is behind two of three", func() {
			e := f.scheduler.Explain(f.urgentRequest(1))
			So([]int{e.WaitingCount, e.AheadCount}, ShouldResemble, []int{3, 2})
		})
	})
}
