package dispatch

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/rcrowley/go-metrics"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/connection/exchange"
	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/version/catalog"
)

// setPriorities gives the service of a fixture one route for each priority.
func (f *schedulerFixture) setPriorities(priorities ...int) {
	config := &catalog.Config{Version: f.holder.Current().Config.Version + 1, Services: f.holder.Current().Config.Services}
	for _, p := range priorities {
		config.Routes = append(config.Routes, catalog.Route{Name: fmt.Sprint(p), Priority: p, Targets: []catalog.Target{{Service: "label", Weight: 1}}})
	}
	f.holder.Apply([]catalog.Change{{Config: config}}, true, false, f.clock.Now())
}

// urgentRequest returns a request with a priority and an objective of 400 ms.
func (f *schedulerFixture) urgentRequest(priority int) *Request {
	req := f.request()
	req.Priority, req.Route, req.FirstByteObjective = priority, fmt.Sprint(priority), 400*time.Millisecond
	req.Deadline = req.ArrivedAt.Add(6 * time.Second)
	return req
}

// TestPriorityLevels guards against the part being on where the routes of a service have one
// priority, whatever those of the client accounts, and against a priority of an account that
// does not take precedence over that of the route.
func TestPriorityLevels(t *testing.T) {
	one, two := 1, 2
	route := func(priority int, services ...string) catalog.Route {
		r := catalog.Route{Priority: priority}
		for _, s := range services {
			r.Targets = append(r.Targets, catalog.Target{Service: s, Weight: 1})
		}
		return r
	}
	anonymous, unused := route(0, "a"), route(1, "a", "b")
	anonymous.AllowAnonymous = true
	unused.Targets[0].Weight = 0
	Convey("Services have the levels of their routes and of the client accounts", t, func() {
		for _, c := range []struct {
			name   string
			config *catalog.Config
			want   map[string][]PriorityLevel
		}{
			{"no configuration", nil, map[string][]PriorityLevel{}},
			{"one priority", &catalog.Config{Routes: []catalog.Route{route(1, "a"), route(1, "a", "b"), route(2, "c")}}, map[string][]PriorityLevel{}},
			{"two routes", &catalog.Config{Routes: []catalog.Route{route(2, "a"), route(0, "a", "b"), route(0, "b")}}, map[string][]PriorityLevel{"a": {{0, 0}, {2, 2}}}},
			{"a target without weight", &catalog.Config{Routes: []catalog.Route{route(0, "a"), unused}}, map[string][]PriorityLevel{}},
			{"accounts alone", &catalog.Config{Routes: []catalog.Route{route(0, "a")}, AccountsDeclared: true, Accounts: []catalog.Account{{Priority: &two}, {}}}, map[string][]PriorityLevel{}},
			{"accounts that all have one priority", &catalog.Config{Routes: []catalog.Route{route(0, "a"), route(2, "a")}, AccountsDeclared: true, Accounts: []catalog.Account{{Priority: &one}, {Priority: &one}}}, map[string][]PriorityLevel{"a": {{1, 0}, {1, 2}}}},
			{"accounts with and without a priority", &catalog.Config{Routes: []catalog.Route{route(0, "a"), route(2, "a")}, AccountsDeclared: true, Accounts: []catalog.Account{{Priority: &one}, {}}}, map[string][]PriorityLevel{"a": {{0, 0}, {1, 0}, {1, 2}, {2, 2}}}},
			{"requests without a key", &catalog.Config{Routes: []catalog.Route{anonymous, route(2, "a")}, AccountsDeclared: true, Accounts: []catalog.Account{{Priority: &one}}}, map[string][]PriorityLevel{"a": {{0, 0}, {1, 0}, {1, 2}}}},
		} {
			Convey(c.name, func() { So(PriorityLevels(c.config), ShouldResemble, c.want) })
		}
	})
	Convey("The priority of a request is the index of its level", t, func() {
		f := newSchedulerFixture()
		f.setPriorities(0, 2)
		for _, c := range []struct {
			account *int
			route   int
			want    int
		}{{nil, 0, 0}, {nil, 2, 1}, {nil, 9, 1}} {
			priority, ok := f.scheduler.PriorityOf("label", c.account, c.route)
			So(ok, ShouldBeTrue)
			So(priority, ShouldEqual, c.want)
		}
		_, ok := f.scheduler.PriorityOf("another", nil, 0)
		So(ok, ShouldBeFalse)
	})
}

// TestServiceWithOnePriority guards against changes for deployments whose requests have one
// priority: their wait, Retry-After, slots and reports stay as they are.
func TestServiceWithOnePriority(t *testing.T) {
	Convey("Requests of a service with one priority wait for a share of their objective and reserve nothing, whatever is known", t, func() {
		f := newSchedulerFixture()
		f.setPriorities(1, 1)
		s := f.scheduler
		_, on := s.PriorityOf("label", nil, 1)
		So(on, ShouldBeFalse)
		s.RecordFirstByte("label", 10*time.Millisecond)
		So(s.MergeEvidence(frame.Evidence{Shortages: []frame.Shortage{{Service: "label"}}}, true), ShouldBeNil)
		for range 2 * (2 + maxServerQueueLength) {
			_, err := f.acquire(f.urgentRequest(1))
			So(err, ShouldBeNil)
		}
		req := f.urgentRequest(1)
		w, _, err := s.beginAcquire(req)
		So(errors.Is(err, ErrFull), ShouldBeTrue)
		So(w.waitsUntil.Sub(f.clock.Now()), ShouldEqual, 40*time.Millisecond)
		_, err = s.endWait(context.Background(), w, err)
		So(errors.Is(err, ErrFull), ShouldBeTrue)
		So(s.RetryAfter(req, err), ShouldBeBetweenOrEqual, minRetryAfterFull, minRetryAfterFull+retryAfterJitter)
		evidence, _ := s.Evidence(0, exchange.ObservedAnywhere)
		So(evidence.Empty(), ShouldBeTrue)
	})
}

// TestOrderByUrgency guards against a wait in the wrong order.
func TestOrderByUrgency(t *testing.T) {
	Convey("Of two waiting requests, the first goes first", t, func() {
		for _, c := range []struct {
			name             string
			first, second    waitRank
			whenLeastWork    int
			whenNotLeastWork int
		}{
			{"one that can meet its objective, whatever the priority", waitRank{priority: 2}, waitRank{late: true}, -1, -1},
			{"the more urgent one, whatever else", waitRank{overShare: true, accountSlots: 9, left: 1, work: 9}, waitRank{priority: 1, returning: true}, -1, -1},
			{"one of a priority with less than its share", waitRank{priority: owedPriority}, waitRank{}, -1, -1},
			{"a stream that is moved", waitRank{priority: movePriority}, waitRank{priority: owedPriority}, -1, -1},
			{"an account within its share", waitRank{work: 9}, waitRank{overShare: true, returning: true}, -1, -1},
			{"a client that comes back, but the least work every second time", waitRank{returning: true, accountSlots: 3, work: 9}, waitRank{work: 1}, 1, -1},
			{"the account with fewer slots", waitRank{accountSlots: 1, left: 1}, waitRank{accountSlots: 2}, 0, -1},
			{"the client with less time left", waitRank{left: 0.5}, waitRank{left: 0.6}, 0, -1},
		} {
			Convey(c.name, func() {
				So(compareRanks(&c.first, &c.second, true), ShouldEqual, c.whenLeastWork)
				So(compareRanks(&c.first, &c.second, false), ShouldEqual, c.whenNotLeastWork)
			})
		}
	})

	Convey("A client that was refused has less time left than is usual on its route", t, func() {
		f := newSchedulerFixture()
		now, usual := f.clock.Now(), usualLeft{}
		So(usual.observe("a", 6*time.Second, now), ShouldEqual, 6*time.Second)
		So(usual.observe("a", 5*time.Second, now.Add(usualLeftPeriod)), ShouldEqual, 6*time.Second)
		So(usual.observe("b", time.Second, now), ShouldEqual, time.Second)
		So(usual.observe("a", 5*time.Second, now.Add(2*usualLeftPeriod)), ShouldEqual, 5*time.Second)
		req := f.urgentRequest(0)
		So((&waiter{request: req, usualLeft: 6 * time.Second}).returning(), ShouldBeFalse)
		So((&waiter{request: req, usualLeft: 6*time.Second + minRetryAfterFull}).returning(), ShouldBeTrue)
	})

	Convey("A request that arrives while a more urgent one waits does not take its slot", t, func() {
		f := newSchedulerFixture()
		f.setPriorities(0, 1)
		server := f.server("a", "palermo")
		server.Slots = 1
		f.setServers(server)
		var slot Slot
		for range 1 + maxServerQueueLength {
			f.clock.Advance(demandMemory)
			var err error
			slot, err = f.scheduler.Acquire(context.Background(), f.urgentRequest(0))
			So(err, ShouldBeNil)
			f.scheduler.RecordActivity(slot)
		}
		urgent, _, _ := f.scheduler.beginAcquire(f.urgentRequest(0))
		So(urgent, ShouldNotBeNil)
		f.scheduler.mu.Lock() // as if a place became free without a call of Release
		f.scheduler.stateOf("a").runningCount--
		f.scheduler.mu.Unlock()
		f.clock.Advance(2 * demandWindow)
		f.scheduler.RecordActivity(slot) // the server is not stalled
		_, _, err := f.scheduler.beginAcquire(f.urgentRequest(1))
		So(errors.Is(err, ErrFull), ShouldBeTrue)
		So(urgent.assigned, ShouldBeTrue)
	})
}

// TestShareOfEachPriority guards against a priority that gets no slots while others do, and
// against requests that servers turn away or clients that come back distorting the rates.
func TestShareOfEachPriority(t *testing.T) {
	Convey("A priority that gets less than half of the rate of all is owed slots", t, func() {
		var c decisionCounts
		now := time.UnixMilli(1_000_000)
		for range 10 {
			c.recordArrival(0, now)
			c.addSlot(accountKey{0, "x"}, now)
			c.recordArrival(2, now)
		}
		So(c.owed(2, now), ShouldBeTrue)
		So(c.owed(0, now), ShouldBeFalse)
		for range 4 {
			c.addSlot(accountKey{2, "y"}, now)
		}
		So(c.owed(2, now), ShouldBeFalse)
		for range 2 { // servers turn two of them away
			c.takeBackSlot(accountKey{2, "y"}, now.Add(countPeriod))
		}
		So(c.owed(2, now.Add(countPeriod)), ShouldBeTrue)
		So(c.owed(2, now.Add(3*countPeriod)), ShouldBeFalse)
	})
	Convey("Accounts with many slots of late are over their share", t, func() {
		var c decisionCounts
		now := time.UnixMilli(1_000_000)
		for range 8 {
			c.addSlot(accountKey{0, "x"}, now)
			c.addSlot(accountKey{1, "z"}, now)
		}
		for _, account := range []string{"x", "y", "z", "z"} {
			c.addSlot(accountKey{0, account}, now.Add(countPeriod))
		}
		slots, mean := c.accountSlots(accountKey{0, "x"}, now.Add(countPeriod))
		So([]float64{slots, mean}, ShouldResemble, []float64{9, 4})
	})
}

// TestWaitForObjective guards against waits that make a response late, refusals while a slot
// becomes free in time, and waits for slots that do not become free.
func TestWaitForObjective(t *testing.T) {
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	Convey("A request waits as long as it can meet its objective", t, func() {
		for _, c := range []struct {
			name                                                 string
			objective, firstByte, usualWait, age, expected, want int
			known                                                bool
		}{
			{"slots become free in time", 400, 180, 44, 20, 50, 200, true},
			{"the expected wait is too long", 400, 180, 44, 20, 201, 0, true},
			{"no slot has become free of late", 400, 180, 44, 20, 0, 24, false},
			{"servers are slow: as before", 400, 390, 44, 0, 10, 44, true},
			{"no objective", 0, 180, 0, 0, 10, 0, true},
		} {
			Convey(c.name, func() {
				So(waitForObjective(ms(c.objective), ms(c.firstByte), ms(c.usualWait), ms(c.age), ms(c.expected), c.known), ShouldEqual, ms(c.want))
			})
		}
	})
	Convey("The expected wait follows the slots per second while requests waited", t, func() {
		var c decisionCounts
		var q queueClock
		now := time.UnixMilli(1_000_000)
		_, known := expectedWait(3, c.queueRate(now))
		So(known, ShouldBeFalse)
		for range 20 { // 400 ms with waiting requests and 10 slots, then none wait
			c.at(now).queueTime += q.observe(true, now)
			now = now.Add(assignInterval)
		}
		c.at(now).queueTime += q.observe(false, now)
		c.at(now).queueSlots += 10
		now = now.Add(500 * time.Millisecond)
		c.at(now).queueTime += q.observe(false, now)
		wait, known := expectedWait(4, c.queueRate(now))
		So(known, ShouldBeTrue)
		So(wait, ShouldEqual, 200*time.Millisecond)
	})
	Convey("The time to the first byte begins with the declared figures and follows the observed times", t, func() {
		e := firstByteEstimate{declared: declaredFirstByte(&catalog.Engine{
			Slots: 10, StepTime: 9 * time.Millisecond, StepTimePerRequest: 100 * time.Microsecond, StepsPerPass: 4, PromptTokensPerSecond: 20_000, MeanPromptTokens: 1000,
		})}
		So(e.expected(), ShouldEqual, 110*time.Millisecond)
		for range 100 {
			e.observe(200 * time.Millisecond)
		}
		So(e.expected(), ShouldBeBetween, 199*time.Millisecond, 201*time.Millisecond)
		e.observe(time.Hour)
		So(e.expected(), ShouldBeLessThan, 320*time.Millisecond)
		So(declaredFirstByte(nil), ShouldEqual, 0)
	})
}

// TestReservation guards against less urgent requests that take the last slots while more
// urgent ones are short of them here or elsewhere, and against a reservation that lasts.
func TestReservation(t *testing.T) {
	reservedFor := func(f *schedulerFixture) (n []int) {
		for p := range 4 {
			n = append(n, f.scheduler.urgencyOf("label").reserved(p, f.clock.Now()))
		}
		return append(n, f.scheduler.urgencyOf("label").reserved(movePriority, f.clock.Now()))
	}
	short := func(priority int, age time.Duration) frame.Evidence {
		return frame.Evidence{Shortages: []frame.Shortage{{Service: "label", Priority: priority, AgeMs: age.Milliseconds()}}}
	}
	Convey("With a service of four priorities", t, func() {
		f := newSchedulerFixture()
		f.setPriorities(0, 1, 2, 3)
		Convey("a shortage reserves one slot for each step, two at most, until it is 2 s old", func() {
			So(reservedFor(f), ShouldResemble, []int{0, 0, 0, 0, 0})
			So(f.scheduler.MergeEvidence(short(1, time.Second), false), ShouldBeNil)
			So(reservedFor(f), ShouldResemble, []int{0, 0, 1, 2, 0})
			So(f.scheduler.MergeEvidence(short(0, 0), true), ShouldBeNil)
			So(reservedFor(f), ShouldResemble, []int{0, 1, 2, 2, 0})
			f.clock.Advance(shortageMemory)
			So(reservedFor(f), ShouldResemble, []int{0, 0, 0, 0, 0})
		})
		Convey("the less urgent find fewer slots at a server, and a small server keeps half of its limit for them", func() {
			So(f.scheduler.MergeEvidence(short(0, 0), true), ShouldBeNil)
			count := func(priority int) (n int) {
				for {
					if _, ok := f.scheduler.TryAcquire(f.urgentRequest(priority)); !ok {
						return n
					}
					n++
				}
			}
			So(count(3), ShouldEqual, 2*(2+maxServerQueueLength-1))
			So(count(0), ShouldEqual, 2)
			So([]int{withReservation(13, 2), withReservation(3, 2), withReservation(0, 2)}, ShouldResemble, []int{11, 2, 0})
		})
		Convey("reports are bounded, keep their age, and cover the data centre at a relay", func() {
			s := f.scheduler
			u := s.urgencyOf("label")
			record := func(o observer) { s.recordShort("label", u, 0, f.clock.Now(), o) }
			record(observedNear)
			near, last := s.Evidence(0, exchange.ObservedNear)
			So(near.Shortages, ShouldResemble, []frame.Shortage{{Service: "label"}})
			here, _ := s.Evidence(0, exchange.ObservedHere)
			So(here.Empty(), ShouldBeTrue)
			f.clock.Advance(shortageInterval - time.Millisecond)
			record(observedNear)
			near, last = s.Evidence(last, exchange.ObservedNear)
			So(near.Empty(), ShouldBeTrue)
			f.clock.Advance(time.Millisecond)
			record(observedHere)
			f.clock.Advance(time.Second)
			here, last = s.Evidence(last, exchange.ObservedHere)
			So(here.Shortages, ShouldResemble, []frame.Shortage{{Service: "label", AgeMs: 1000}})
			s.recordShort("label", u, 3, f.clock.Now(), observedHere) // nobody is less urgent
			here, _ = s.Evidence(last, exchange.ObservedHere)
			So(here.Empty(), ShouldBeTrue)
			f.clock.Advance(time.Second)
			all, _ := s.Evidence(0, exchange.ObservedAnywhere)
			So(all.Empty(), ShouldBeTrue)
		})
		Convey("invalid reports have no effect and are named, unknown ones have none", func() {
			for _, e := range []frame.Evidence{short(0, -time.Second), short(0, shortageMemory+time.Millisecond), {Shortages: make([]frame.Shortage, 1)}, {Shortages: make([]frame.Shortage, maxShortages+1)}} {
				So(f.scheduler.MergeEvidence(e, true), ShouldNotBeNil)
			}
			So(f.scheduler.MergeEvidence(short(-9, 0), true), ShouldBeNil)
			So(f.scheduler.MergeEvidence(frame.Evidence{Shortages: []frame.Shortage{{Service: "other"}}}, true), ShouldBeNil)
			So(reservedFor(f), ShouldResemble, []int{0, 0, 0, 0, 0})
		})
		Convey("a priority with less than its share leaves no slots free", func() {
			So(f.scheduler.MergeEvidence(short(0, 0), true), ShouldBeNil)
			c := &f.scheduler.urgencyOf("label").counts
			c.addSlot(accountKey{0, ""}, f.clock.Now())
			c.recordArrival(0, f.clock.Now())
			c.recordArrival(3, f.clock.Now())
			So(reservedFor(f), ShouldResemble, []int{0, 1, 2, 0, 0})
		})
	})
}

// TestPriorityMetrics guards against refusals and waits that operators cannot see.
func TestPriorityMetrics(t *testing.T) {
	Convey("Refused and waiting requests are counted by priority", t, func() {
		f := newSchedulerFixture()
		f.setPriorities(0, 20)
		registry := metrics.NewRegistry()
		cfg := f.scheduler.cfg
		cfg.Metrics = registry
		f.scheduler = NewScheduler(cfg, f.holder, f.clock)
		proveListed(f.scheduler)
		f.scheduler.UpdatePeerLoads("x", exchange.LoadReport{RunningByServer: map[string]int{"a": 9, "b": 9}})
		for _, priority := range []int{0, 20, 20} {
			w, _, err := f.scheduler.beginAcquire(f.urgentRequest(priority))
			f.clock.Advance(40 * time.Millisecond)
			_, err = f.scheduler.endWait(context.Background(), w, err)
			So(errors.Is(err, ErrFull), ShouldBeTrue)
		}
		count := func(name string) int64 { return metrics.GetOrRegisterCounter(name, registry).Count() }
		So(count("slots.refused.priority-0"), ShouldEqual, 1)
		So(count("slots.refused.priority-9"), ShouldEqual, 2)
		So(count("slots.waited.priority-9"), ShouldEqual, 2)
		So(f.scheduler.reservationCount(f.clock.Now()), ShouldEqual, 1)
	})
}

// TestRetryAfterBusy guards against clients that come back before a slot can be free, and
// against values that clients do not honor.
func TestRetryAfterBusy(t *testing.T) {
	Convey("Retry-After is the expected wait, at least the minimum and at most a third of the time left", t, func() {
		So(RetryAfterBusy(200*time.Millisecond, 6*time.Second, 0), ShouldEqual, 200*time.Millisecond)
		So(RetryAfterBusy(0, 6*time.Second, 0.5), ShouldEqual, minRetryAfterFull+retryAfterJitter/2)
		So(RetryAfterBusy(9*time.Second, 6*time.Second, 0.9), ShouldEqual, 2*time.Second)
		So(RetryAfterBusy(0, -time.Second, 0), ShouldEqual, minRetryAfterFull)
	})
}
