package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/go-faster/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/connection/exchange"
)

func TestShareRanks(t *testing.T) {
	Convey("The ranks of any number of entry instances are evenly spaced", t, func() {
		for count := 1; count <= 80; count++ {
			var ranks []float64
			for position := range count {
				ranks = append(ranks, shareRank("a", rankPlace(position, count)))
			}
			slices.Sort(ranks)
			for i := 1; i < count; i++ {
				So(ranks[i]-ranks[i-1], ShouldAlmostEqual, 1/float64(count), 1e-9)
			}
		}
	})
	Convey("Of the entry instances of one data centre, which are neighbours, each share has nearly its part of the low ranks", t, func() {
		const count, perDataCentre = 60, 12
		for first := 0; first+perDataCentre <= count; first++ {
			for share := 0.05; share < 1; share += 0.05 {
				low := 0
				for position := first; position < first+perDataCentre; position++ {
					low += shareByRank(share, shareRank("a", rankPlace(position, count)))
				}
				So(float64(low), ShouldAlmostEqual, share*perDataCentre, 2)
			}
		}
	})
}

// demandFixture holds the schedulers of the entry instances of one data centre, with one
// server there.
type demandFixture struct {
	*schedulerFixture
	all     []*Scheduler
	running [][]Slot // by entry instance
}

func newDemandFixture(slots, count int) *demandFixture {
	f := &demandFixture{schedulerFixture: newSchedulerFixture(), running: make([][]Slot, count)}
	server := f.server("a", "palermo")
	server.Slots = slots
	f.setServers(server)
	for i := range count {
		s := NewScheduler(f.scheduler.cfg, f.holder, f.clock)
		proveListed(s)
		s.SetEntryInstances(count, i)
		f.all = append(f.all, s)
	}
	f.report()
	return f
}

// report delivers the present counts of each entry instance to the others.
func (f *demandFixture) report() {
	counts := make([]map[string]int, len(f.all))
	for i, s := range f.all {
		counts[i] = s.RunningByServer()
	}
	for i, s := range f.all {
		for peer := range f.all {
			if peer != i {
				s.UpdatePeerLoads(fmt.Sprint(peer), exchange.LoadReport{RunningByServer: counts[peer], Complete: true, InstanceCount: 1})
			}
		}
	}
}

// runningCount returns the number of requests at the server.
func (f *demandFixture) runningCount() int {
	sum := 0
	for _, slots := range f.running {
		sum += len(slots)
	}
	return sum
}

// TestLastingShortage guards against queues at servers whose slots become free while all
// entry instances of the data centre wait for one, and against slots that stay empty.
func TestLastingShortage(t *testing.T) {
	Convey("While twelve entry instances have more requests than a server can run, it has few more than its slots, seldom fewer, and each gets its part", t, func() {
		const (
			slots, count                  = 8, 12
			step, reportTime, serviceTime = 10 * time.Millisecond, 50 * time.Millisecond, 600 * time.Millisecond
			duration                      = 30 * time.Second
		)
		f := newDemandFixture(slots, count)
		started := make([]int, count)
		// The server runs the requests in the order in which they arrive.
		type run struct {
			endsAt   time.Time
			instance int
		}
		var runs []run
		most, sum, steps := 0, 0, 0
		for passed := time.Duration(0); passed < duration; passed += step {
			now := f.clock.Now()
			for len(runs) > 0 && !runs[0].endsAt.After(now) {
				i := runs[0].instance
				runs = runs[1:]
				f.all[i].Release(f.running[i][0], Served)
				f.running[i] = f.running[i][1:]
			}
			for i, s := range f.all {
				slot, err := s.Acquire(t.Context(), f.request())
				if err != nil {
					continue
				}
				begins := now
				if ahead := len(runs); ahead >= slots {
					begins = runs[ahead-slots].endsAt
				}
				runs = append(runs, run{begins.Add(serviceTime), i})
				f.running[i] = append(f.running[i], slot)
				started[i]++
			}
			if passed%reportTime == 0 {
				f.report()
			}
			most = max(most, f.runningCount())
			sum += min(slots, f.runningCount())
			steps++
			f.clock.Advance(step)
		}
		So(most, ShouldBeLessThanOrEqualTo, 2*(slots+maxServerQueueLength))
		So(float64(sum)/float64(steps), ShouldBeGreaterThan, 0.9*slots)
		total := 0
		for _, n := range started {
			total += n
		}
		for _, n := range started {
			So(n, ShouldBeGreaterThan, total/count/2)
		}
	})
}

// TestLastPlaceAtAServer guards against a queue at a server that has one place left, while
// the other servers are nearly full as well.
func TestLastPlaceAtAServer(t *testing.T) {
	Convey("Of twelve entry instances that see the last place of a server, few use it", t, func() {
		const slots, count = 8, 12
		f := newDemandFixture(slots, count)
		for _, s := range f.all {
			if slot, err := s.Acquire(t.Context(), f.request()); err == nil {
				s.Release(slot, Served)
			}
		}
		f.clock.Advance(demandMemory)
		for i, s := range f.all {
			for peer := range f.all {
				if peer != i {
					s.UpdatePeerLoads(fmt.Sprint(peer), exchange.LoadReport{InstanceCount: 1})
				}
			}
			s.UpdatePeerLoads(fmt.Sprint((i+1)%count), exchange.LoadReport{RunningByServer: map[string]int{"a": slots}, InstanceCount: 1})
		}
		sent := 0
		for _, s := range f.all {
			if _, err := s.Acquire(t.Context(), f.request()); err == nil {
				sent++
			}
		}
		So(sent, ShouldBeBetweenOrEqual, 1, 2)
	})
}

func TestServersThatAreNotInDemand(t *testing.T) {
	Convey("Given 59 entry instances and a server in the data centre of 12 of them, with fewer slots", t, func() {
		f := newSchedulerFixture()
		server := f.server("a", "palermo")
		server.Slots = 8
		f.setServers(server)
		var all []*Scheduler
		for i := range 59 {
			s := NewScheduler(f.scheduler.cfg, f.holder, f.clock)
			proveListed(s)
			s.SetEntryInstances(59, i)
			for peer := range 11 {
				s.UpdatePeerLoads(fmt.Sprint(peer), exchange.LoadReport{InstanceCount: 1})
			}
			all = append(all, s)
		}
		plain := f.request()
		plain.Model = ""
		Convey("a request to a plain service gets a slot at once, whichever entry instance receives it", func() {
			for _, s := range all {
				_, err := s.Acquire(t.Context(), plain)
				So(err, ShouldBeNil)
			}
		})
		Convey("a server that has just become ready is open to some of them at once, and to each after demandMemory", func() {
			deferred := 0
			for _, s := range all {
				if _, err := s.Acquire(t.Context(), f.request()); err != nil {
					So(errors.Is(err, ErrFull), ShouldBeTrue)
					deferred++
				}
			}
			So(deferred, ShouldBeGreaterThan, 0)
			f.clock.Advance(demandMemory)
			for _, s := range all {
				_, err := s.Acquire(t.Context(), f.request())
				So(err, ShouldBeNil)
			}
		})
	})
}
