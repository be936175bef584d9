package dispatch

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/connection/exchange"
	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/process/eventlog"
	"github.com/rattanway/rattanway/version/catalog"
)

// schedulerFixture holds a [Scheduler] and the catalog and fake clock that it
// uses.
type schedulerFixture struct {
	scheduler *Scheduler
	holder    *catalog.Holder
	clock     *clockwork.FakeClock
}

// newSchedulerFixture returns a fixture with the servers "a" in palermo and "b"
// in catania, each with two slots and version 1 of the weights.
func newSchedulerFixture() *schedulerFixture {
	f := &schedulerFixture{holder: catalog.NewHolder(eventlog.Discard()), clock: clockwork.NewFakeClock()}
	f.holder.Apply([]catalog.Change{{Config: &catalog.Config{Version: 1, Services: map[string]*catalog.Service{
		"label": {Name: "label", ColdRequestsPerSecond: 8},
	}}}}, true, false, f.clock.Now())
	f.setServers(f.server("a", "palermo"), f.server("b", "catania"))
	f.scheduler = NewScheduler(Config{
		DataCentre: "palermo", Regions: map[string]string{"palermo": "west", "catania": "east"},
		RetryLimits: RetryLimits{Ratio: 0.2, Slack: 100, Window: 10 * time.Second}, WeightsDueAfter: 7 * time.Second, MaxWaitShare: 0.1,
	}, f.holder, f.clock)
	proveListed(f.scheduler)
	return f
}

// proveListed makes the loads of the listed servers proven, as if their agents had been
// connected. Nothing of it is reported to peers.
func proveListed(s *Scheduler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, server := range s.holder.Current().Servers {
		orders := int64(0)
		for _, version := range server.LoadedVersions {
			orders = max(orders, int64(version))
		}
		load := frame.ProvenLoad{StartUnixMs: server.StartUnixMs, AcceptedOrders: orders, Versions: server.LoadedVersions}
		if s.provenLoads.record(server.Addr, &load, observedFar, &changeCounter{}) {
			s.provenLoads[server.Addr].changeMark = changeMark{}
		}
	}
}

// server returns a server with two slots and version 1 of the weights.
func (f *schedulerFixture) server(id, dataCentre string) *catalog.Server {
	return &catalog.Server{
		ID: id, Service: "label", Addr: id, DataCentre: dataCentre, Slots: 2, LoadedVersions: map[string]int{"herbs": 1},
	}
}

// setServers replaces the list of servers.
func (f *schedulerFixture) setServers(servers ...*catalog.Server) {
	var all []catalog.Change
	for _, s := range servers {
		all = append(all, catalog.Change{Server: s})
	}
	f.holder.Apply(all, true, true, f.clock.Now())
	if f.scheduler != nil {
		proveListed(f.scheduler)
	}
}

// request returns a request without an objective. It may not wait for a slot.
func (f *schedulerFixture) request() *Request {
	now := f.clock.Now()
	return &Request{
		Service: "label", Model: "herbs", ArrivedAt: now, Deadline: now.Add(time.Second), TriedServers: map[string]bool{},
	}
}

// acquire acquires a slot for a request that may not wait, and returns the ID of
// the slot's server.
func (f *schedulerFixture) acquire(req *Request) (string, error) {
	slot, err := f.scheduler.Acquire(context.Background(), req)
	if err != nil {
		return "", err
	}
	return slot.Server.ID, nil
}

func TestSchedulerFillsEverySlotAndNoMore(t *testing.T) {
	Convey("Requests of another entry instance count until it has sent no message for peerTimeout", t, func() {
		f := newSchedulerFixture()
		f.scheduler.UpdatePeerLoads("other", exchange.LoadReport{RunningByServer: map[string]int{"a": 3, "b": 3}})
		_, err := f.acquire(f.request())
		So(errors.Is(err, ErrFull), ShouldBeTrue)
		f.clock.Advance(peerTimeout)
		_, err = f.acquire(f.request())
		So(err, ShouldBeNil)
	})

	Convey("Every slot is used, with one more request in each server's queue", t, func() {
		f := newSchedulerFixture()
		acquiredCount := 0
		for {
			if _, err := f.acquire(f.request()); err != nil {
				So(errors.Is(err, ErrFull), ShouldBeTrue)
				break
			}
			acquiredCount++
		}
		So(acquiredCount, ShouldEqual, 2*(2+maxServerQueueLength))
	})

	Convey("A slot that becomes free goes to the waiting request with the lowest priority value", t, func() {
		f := newSchedulerFixture()
		var slots []Slot
		for range 2 * (2 + maxServerQueueLength) {
			slot, err := f.scheduler.Acquire(context.Background(), f.request())
			So(err, ShouldBeNil)
			slots = append(slots, slot)
		}
		type result struct {
			priority int
			err      error
		}
		results := make(chan result, 2)
		for _, priority := range []int{2, 1} {
			req := f.request()
			req.Priority, req.FirstByteObjective = priority, time.Second
			go func() {
				_, err := f.scheduler.Acquire(context.Background(), req)
				results <- result{priority, err}
			}()
			So(f.clock.BlockUntilContext(t.Context(), 3-priority), ShouldBeNil)
		}
		f.scheduler.Release(slots[0], Served)
		So(<-results, ShouldResemble, result{1, nil})
		f.clock.Advance(100 * time.Millisecond)
		last := <-results
		So(last.priority, ShouldEqual, 2)
		So(errors.Is(last.err, ErrFull), ShouldBeTrue)
	})
}

// TestManyEntryInstancesAtOneServer guards against a queue at a server that becomes ready
// before the entry instances hear of the requests that the others send there.
func TestManyEntryInstancesAtOneServer(t *testing.T) {
	const (
		perDataCentre, dataCentreCount = 12, 5
		step, reportDelay              = 10 * time.Millisecond, 100 * time.Millisecond
	)
	Convey("Entry instances of five data centres that see one server get few more slots than it has", t, func() {
		f := newSchedulerFixture()
		server := f.server("a", "palermo")
		server.Slots = 8
		f.setServers(server)
		var all []*Scheduler
		for i := range perDataCentre * dataCentreCount {
			cfg := f.scheduler.cfg
			if i >= perDataCentre {
				cfg.DataCentre = "catania"
			}
			s := NewScheduler(cfg, f.holder, f.clock)
			proveListed(s)
			s.SetEntryInstances(perDataCentre*dataCentreCount, i)
			for peer := range perDataCentre - 1 {
				s.UpdatePeerLoads(fmt.Sprint("peer ", peer), exchange.LoadReport{InstanceCount: 1})
			}
			for other := range dataCentreCount - 1 {
				s.UpdatePeerLoads(fmt.Sprint("data centre ", other), exchange.LoadReport{InstanceCount: perDataCentre, Remote: true})
			}
			all = append(all, s)
		}
		count := 0
		for waited := time.Duration(0); waited < reportDelay; waited += step {
			for _, s := range all {
				if _, err := s.Acquire(t.Context(), f.request()); err == nil {
					count++
				}
			}
			f.clock.Advance(step)
		}
		So(count, ShouldBeLessThanOrEqualTo, 2*(server.Slots+maxServerQueueLength))
		So(count, ShouldBeGreaterThan, 0)
	})
}

// TestRequestWaitsForWeights guards against breaking off streams whose server ended or
// loads weights while all other servers load weights.
func TestRequestWaitsForWeights(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	type result struct {
		slot Slot
		err  error
	}
	// acquire acquires a slot for a request that may have run at "a", which loads weights
	// like all others.
	acquire := func(f *schedulerFixture, change func(*Request)) chan result {
		for _, addr := range []string{"a", "b"} {
			f.scheduler.SetAgentState(addr, &frame.AgentState{Loading: true})
		}
		req := f.request()
		req.TriedServers["a"], req.MaxRetryWait, req.Deadline = true, time.Second, f.clock.Now().Add(5*time.Second)
		change(req)
		results := make(chan result, 1)
		go func() {
			slot, err := f.scheduler.Acquire(ctx, req)
			results <- result{slot, err}
		}()
		return results
	}

	Convey("A request that may have run gets the first server that has loaded its weights", t, func() {
		f := newSchedulerFixture()
		results := acquire(f, func(*Request) {})
		So(f.clock.BlockUntilContext(ctx, 1), ShouldBeNil)
		f.clock.Advance(900 * time.Millisecond)
		f.scheduler.SetAgentState("b", &frame.AgentState{LoadedVersions: map[string]int{"herbs": 2}})
		r := <-results
		So(r.err, ShouldBeNil)
		So(r.slot.Server.ID, ShouldEqual, "b")
	})

	Convey("It waits for MaxRetryWait at most, and the error says that no server could run it", t, func() {
		f := newSchedulerFixture()
		results := acquire(f, func(*Request) {})
		So(f.clock.BlockUntilContext(ctx, 1), ShouldBeNil)
		f.clock.Advance(time.Second)
		So(errors.Is((<-results).err, ErrNoServer), ShouldBeTrue)
	})

	Convey("A request that has not run, or has tried every server, does not wait", t, func() {
		for _, change := range []func(*Request){
			func(req *Request) { req.MaxRetryWait, req.FirstByteObjective = 0, time.Second },
			func(req *Request) { req.TriedServers["b"] = true },
			func(req *Request) { req.RouteRegions = []string{"west"} },
		} {
			So(errors.Is((<-acquire(newSchedulerFixture(), change)).err, ErrNoServer), ShouldBeTrue)
		}
	})
}

func TestSchedulerSkipsServers(t *testing.T) {
	Convey("Servers that are leaving, in a data centre taken out of service, or in a region that is not allowed are skipped", t, func() {
		f := newSchedulerFixture()
		leaving := f.server("a", "palermo")
		leaving.Leaving = true
		f.setServers(leaving, f.server("b", "catania"))
		id, err := f.acquire(f.request())
		So(err, ShouldBeNil)
		So(id, ShouldEqual, "b")
		f.holder.Apply([]catalog.Change{{DataCentreOut: "catania"}}, false, false, f.clock.Now())
		_, err = f.acquire(f.request())
		So(errors.Is(err, ErrNoServer), ShouldBeTrue)
		f.setServers(f.server("a", "palermo"))
		req := f.request()
		req.AccountRegions = []string{"east"}
		_, err = f.acquire(req)
		So(errors.Is(err, ErrNoServer), ShouldBeTrue)
	})

	Convey("Servers that load weights are skipped, and so are servers with older weights once the newest version is mandatory", t, func() {
		f := newSchedulerFixture()
		f.scheduler.SetAgentState("a", &frame.AgentState{LoadedVersions: map[string]int{"herbs": 1}, Loading: true})
		id, err := f.acquire(f.request())
		So(err, ShouldBeNil)
		So(id, ShouldEqual, "b")
		f.holder.Apply([]catalog.Change{{Weights: &catalog.Weights{Model: "herbs", Version: 2}}}, false, false, f.clock.Now())
		f.clock.Advance(6 * time.Second)
		_, err = f.acquire(f.request())
		So(err, ShouldBeNil)
		f.clock.Advance(time.Second)
		_, err = f.acquire(f.request())
		So(errors.Is(err, ErrNoServer), ShouldBeTrue)
		f.scheduler.SetAgentState("a", &frame.AgentState{LoadedVersions: map[string]int{"herbs": 2}})
		id, err = f.acquire(f.request())
		So(err, ShouldBeNil)
		So(id, ShouldEqual, "a")
	})

	Convey("A cold server is skipped once this entry instance has used its share of the cold rate", t, func() {
		f := newSchedulerFixture()
		cold := f.server("a", "palermo")
		cold.Slots, cold.ColdUntil = 100, f.clock.Now().Add(time.Minute)
		f.setServers(cold)
		for _, peer := range []string{"x", "y", "z"} {
			f.scheduler.UpdatePeerLoads(peer, exchange.LoadReport{Complete: true})
		}
		// The other entry instances have sent no message for longer than
		// peerTimeout, but the share stays the same.
		f.clock.Advance(2 * peerTimeout)
		acquiredCount := 0
		for {
			if _, err := f.acquire(f.request()); err != nil {
				break
			}
			acquiredCount++
		}
		So(acquiredCount, ShouldEqual, 2)
	})
}

func TestPeerLoads(t *testing.T) {
	start := time.Now()
	report := func(complete bool, running map[string]int) exchange.LoadReport {
		return exchange.LoadReport{RunningByServer: running, Complete: complete}
	}

	Convey("The sums follow the changes of each source, and complete reports replace earlier ones", t, func() {
		p := newPeerLoads()
		So(p.update("x", report(true, map[string]int{"a": 2, "b": 1}), start), ShouldBeFalse)
		p.update("y", report(true, map[string]int{"a": 3}), start)
		So(p.running("a"), ShouldEqual, 5)
		So(p.update("x", report(false, map[string]int{"a": 1}), start), ShouldBeTrue)
		So(p.running("a"), ShouldEqual, 4)
		So(p.update("x", report(true, map[string]int{"b": 4}), start), ShouldBeTrue)
		So(p.running("a"), ShouldEqual, 3)
		So(p.running("b"), ShouldEqual, 4)
	})
	Convey("A source counts until it has sent no report for peerTimeout, and again after its next one", t, func() {
		p := newPeerLoads()
		p.update("x", report(true, map[string]int{"a": 2}), start)
		p.expire(start.Add(peerTimeout - 1))
		So(p.running("a"), ShouldEqual, 2)
		p.expire(start.Add(peerTimeout))
		So(p.running("a"), ShouldEqual, 0)
		So(p.activeCount(true), ShouldEqual, 1)
		p.update("x", report(false, map[string]int{"b": 1}), start.Add(2*peerTimeout))
		So(p.running("a"), ShouldEqual, 2)
		So(p.running("b"), ShouldEqual, 1)
		So(p.activeCount(true), ShouldEqual, 2)
	})
	Convey("A server of the own data centre is shared by the entry instances there, another server by all", t, func() {
		p := newPeerLoads()
		p.update("x", report(true, nil), start)
		p.update("data centre east", exchange.LoadReport{Complete: true, InstanceCount: 12, Remote: true}, start)
		p.update("data centre east", exchange.LoadReport{InstanceCount: 11, Remote: true}, start)
		So(p.activeCount(false), ShouldEqual, 2)
		So(p.activeCount(true), ShouldEqual, 13)
	})
}

func TestLoadOfTheDataCentre(t *testing.T) {
	Convey("The load of the data centre has the requests of its entry instances that report, without those of other data centres", t, func() {
		f := newSchedulerFixture()
		_, err := f.acquire(f.request())
		So(err, ShouldBeNil)
		f.scheduler.UpdatePeerLoads("x", exchange.LoadReport{RunningByServer: map[string]int{"a": 1, "b": 1}})
		f.scheduler.UpdatePeerLoads("data centre east", exchange.LoadReport{RunningByServer: map[string]int{"a": 1}, Remote: true})
		running, count := f.scheduler.RunningInDataCentre()
		So(running, ShouldResemble, map[string]int{"a": 2, "b": 1})
		So(count, ShouldEqual, 2)
		f.clock.Advance(peerTimeout)
		running, count = f.scheduler.RunningInDataCentre()
		So(running, ShouldResemble, map[string]int{"a": 1})
		So(count, ShouldEqual, 1)
	})
}

func TestManyWaitingRequestsWithoutASlot(t *testing.T) {
	Convey("While no server has a free slot, requests with the same requirements cost one search together", t, func() {
		f := newSchedulerFixture()
		f.scheduler.UpdatePeerLoads("x", exchange.LoadReport{RunningByServer: map[string]int{"a": 9, "b": 9}})
		const waitingPerKind = 100
		for i := range 2 * waitingPerKind {
			req := f.request()
			if i%2 == 1 {
				req.RouteRegions = []string{"east"}
			}
			f.scheduler.enqueue(&waiter{request: req, slot: make(chan Slot, 1)})
		}
		before := f.scheduler.choiceCount
		f.scheduler.assignWaiting()
		So(f.scheduler.choiceCount-before, ShouldEqual, 2)

		Convey("and a slot that becomes free goes to those that can use it, as many as there are", func() {
			f.clock.Advance(minPeerAssignInterval)
			f.scheduler.UpdatePeerLoads("x", exchange.LoadReport{RunningByServer: map[string]int{"a": 1}})
			assigned := 0
			for range rankRotation / burstWindow {
				f.clock.Advance(burstWindow)
				f.scheduler.assignWaiting()
			}
			f.scheduler.mu.Lock()
			assigned = 2*waitingPerKind - len(f.scheduler.waiting)
			f.scheduler.mu.Unlock()
			So(assigned, ShouldEqual, 2+maxServerQueueLength-1)
			So(f.scheduler.RunningByServer(), ShouldResemble, map[string]int{"a": assigned})
		})
	})
}
