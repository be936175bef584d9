package routing

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/connection/registry"
	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/process/eventlog"
	"github.com/rattanway/rattanway/version/confstore"
	"github.com/rattanway/rattanway/version/declare"
)

const (
	oldDigest = core.Digest("sha256:old")
	newDigest = core.Digest("sha256:new")
)

// fixture is a Router over servers named DATACENTRE-N.
type fixture struct {
	router       *Router
	reg          *registry.Registry
	configHolder *confstore.Holder
	set          *declare.Set
	clock        *clockwork.FakeClock
}

func newFixture(p Policy, limits map[string]int) *fixture {
	f := &fixture{reg: registry.New(), configHolder: confstore.NewHolder(), set: declare.NewSet(), clock: clockwork.NewFakeClock()}
	for _, dc := range []string{"palermo", "trapani", "catania"} {
		f.set.DataCentres[dc] = &declare.DataCentre{Name: dc}
	}
	f.set.Models["herbs"] = &declare.Model{Name: "herbs", Version: "v2", Replicas: 4}
	f.set.Versions["v1"] = &declare.Version{Name: "v1", Model: "herbs", Manifest: oldDigest}
	f.set.Versions["v2"] = &declare.Version{Name: "v2", Model: "herbs", Manifest: newDigest}
	for id, limit := range limits {
		f.put(id, oldDigest, frame.Report{State: frame.StateReady, Limit: limit})
	}
	f.publish()
	f.router = New(Config{Self: core.Instance{DataCentre: "palermo", Region: "west"}, Policy: p, Seed: 5},
		f.reg, f.configHolder, eventlog.Discard(), f.clock)
	return f
}

// put declares a server and registers it with a report that lists the loaded
// weights d.
func (f *fixture) put(id string, d core.Digest, report frame.Report) {
	dc, region := id[:7], "west"
	if dc == "catania" {
		region = "east"
	}
	f.set.BackendServers[id] = &declare.BackendServer{Name: id, DataCentre: dc, Limit: 10}
	report.Loaded = []frame.Loaded{{Model: "herbs", Digest: d}}
	f.reg.Put(registry.Server{Instance: core.Instance{ID: id, DataCentre: dc, Region: region}, Incarnation: "1", Report: report})
}

// publish makes a copy of the configuration set current. The copy is needed
// because a set must not be changed once it is current.
func (f *fixture) publish() {
	set := *f.set
	f.configHolder.Offer(&declare.Snapshot{Number: f.configHolder.Current().Number + 1, Set: &set})
}

// pick returns the ID of the server chosen for a call on the old version, or "".
func (f *fixture) pick(tried ...string) string {
	q := Query{Model: "herbs", Digest: oldDigest, Tried: map[string]bool{}}
	for _, id := range tried {
		q.Tried[id] = true
	}
	s, _ := f.router.Pick(q)
	return s.Instance.ID
}

func TestPickOrder(t *testing.T) {
	Convey("Given a server in each data centre", t, func() {
		f := newFixture(PolicyTwoChoices, map[string]int{"palermo-1": 10, "trapani-1": 10, "catania-1": 10})
		Convey("calls fill the entry instance's data centre, then its region, then other regions", func() {
			var order []string
			for range 27 {
				order = append(order, f.pick())
			}
			for i, dc := range []string{"palermo", "trapani", "catania"} {
				for _, id := range order[i*9 : i*9+9] {
					So(id, ShouldEqual, dc+"-1")
				}
			}
		})
		Convey("a data centre taken out of service gets no calls", func() {
			f.set.DataCentres = map[string]*declare.DataCentre{
				"palermo": {Name: "palermo", Out: true}, "trapani": {Name: "trapani"}, "catania": {Name: "catania"}}
			f.publish()
			So(f.pick(), ShouldEqual, "trapani-1")
		})
		Convey("a leaving, suspect or undeclared server gets no calls", func() {
			f.reg.Update("palermo-1", "1", func(s *registry.Server) { s.Report.State = frame.StateLeaving })
			f.reg.Update("trapani-1", "1", func(s *registry.Server) { s.Suspect = true })
			So(f.pick(), ShouldEqual, "catania-1")
			delete(f.set.BackendServers, "catania-1")
			f.publish()
			So(f.pick(), ShouldEqual, "")
		})
		Convey("a server with other weights gets no calls", func() {
			f.put("palermo-1", newDigest, frame.Report{State: frame.StateReady, Limit: 10})
			So(f.pick(), ShouldEqual, "trapani-1")
		})
		Convey("a cold server gets no more than its limit", func() {
			f.put("palermo-1", oldDigest, frame.Report{State: frame.StateCold, Limit: 2})
			count := map[string]int{}
			for range 60 {
				count[f.pick()]++
			}
			So(count["palermo-1"], ShouldEqual, 2)
		})
	})
}

func TestEjection(t *testing.T) {
	Convey("Given a server that fails", t, func() {
		f := newFixture(PolicyTwoChoices, map[string]int{"palermo-1": 10, "trapani-1": 10})
		for range defaultEjectFailures {
			So(f.pick(), ShouldEqual, "palermo-1")
			f.router.Done("palermo-1", ResultFailed, nil)
		}
		So(f.router.Suspended("palermo-1"), ShouldBeTrue)
		So(f.pick(), ShouldEqual, "trapani-1")
		Convey("one call probes it after the ejection, and a success ends the ejection", func() {
			f.clock.Advance(defaultEjectBase)
			So(f.pick(), ShouldEqual, "palermo-1")
			So(f.pick(), ShouldEqual, "trapani-1")
			f.router.Done("palermo-1", ResultOK, nil)
			So(f.pick(), ShouldEqual, "palermo-1")
		})
		Convey("a failed probe ejects it for longer", func() {
			f.clock.Advance(defaultEjectBase)
			So(f.pick(), ShouldEqual, "palermo-1")
			f.router.Done("palermo-1", ResultFailed, nil)
			f.clock.Advance(defaultEjectBase)
			So(f.pick(), ShouldEqual, "trapani-1")
		})
		Convey("it is chosen if there is no other server", func() {
			f.reg.Update("trapani-1", "1", func(s *registry.Server) { s.Suspect = true })
			So(f.pick(), ShouldEqual, "palermo-1")
		})
	})
}

func TestPin(t *testing.T) {
	Convey("Given a new version that few of four servers have loaded", t, func() {
		f := newFixture(PolicyTwoChoices, map[string]int{"palermo-1": 10, "palermo-2": 10, "trapani-1": 10, "catania-1": 10})
		ready := frame.Report{State: frame.StateReady, Limit: 10}
		pin := func() core.Digest {
			d, _ := f.router.PinnedDigest("herbs")
			return d
		}
		f.put("palermo-1", newDigest, ready)
		So(pin(), ShouldEqual, oldDigest)
		f.put("palermo-2", newDigest, ready)
		So(pin(), ShouldEqual, newDigest)
		_, ok := f.router.PinnedDigest("none")
		So(ok, ShouldBeFalse)

		Convey("calls may run on both versions until every replica has loaded the new one", func() {
			other, ok := f.router.AlternativeDigest("herbs", newDigest)
			So(ok, ShouldBeTrue)
			So(other, ShouldEqual, oldDigest)
			other, ok = f.router.AlternativeDigest("herbs", oldDigest)
			So(ok, ShouldBeTrue)
			So(other, ShouldEqual, newDigest)
			f.put("trapani-1", newDigest, ready)
			f.put("catania-1", newDigest, ready)
			_, ok = f.router.AlternativeDigest("herbs", newDigest)
			So(ok, ShouldBeFalse)
			_, ok = f.router.AlternativeDigest("none", newDigest)
			So(ok, ShouldBeFalse)
		})
	})
}

// TestPoliciesCompared gives each policy the same calls over servers with
// different limits and compares how many choices find a full server: with four
// entry instances, the present number, and with 55, the number for which a data
// centre is designed.
func TestPoliciesCompared(t *testing.T) {
	Convey("Given servers with different limits and reports up to a second old", t, func() {
		policies := []Policy{PolicyRandom, PolicyRoundRobin, PolicyLeastLoaded, PolicyTwoChoices}
		refused := map[int]map[Policy]float64{4: {}, 55: {}}
		for entryCount, percent := range refused {
			for _, p := range policies {
				percent[p], _ = simulate(p, entryCount, false)
			}
			t.Logf("percent of choices refused, %d entry instances: %v", entryCount, percent)
			So(percent[PolicyTwoChoices], ShouldBeLessThan, percent[PolicyRandom])
			So(percent[PolicyTwoChoices], ShouldBeLessThan, percent[PolicyRoundRobin])
		}
		So(refused[55][PolicyTwoChoices], ShouldBeLessThan, refused[55][PolicyLeastLoaded])
	})
}

// simulate runs entry instances that choose servers by the reports that each
// has received, which are up to a second old. It returns the percentage of
// choices that found the server full, and the percentage of calls that found
// their prompt's prefix in the server's cache.
func simulate(p Policy, entryCount int, affinity bool) (refusedPercent, hitPercent float64) {
	limits := map[string]int{}
	for i := range 12 {
		limits["palermo-"+strconv.Itoa(i)] = 10 + 10*(i%3)
	}
	entryInstances := make([]*fixture, entryCount)
	for i := range entryInstances {
		entryInstances[i] = newFixture(p, limits)
		entryInstances[i].router.config.PrefixAffinity = affinity
	}
	rng := rand.New(rand.NewPCG(5, 5))
	load := map[string]int{}
	ends := map[int][]func(){}
	calls, refused, hits := 0, 0, 0
	caches := map[string]*prefixCache{}
	for id := range limits {
		caches[id] = &prefixCache{}
	}
	for tick := range 6_000 { // a tick is 10 ms; a call lasts 0.5 to 3 s
		for _, end := range ends[tick] {
			end()
		}
		delete(ends, tick)
		for i, f := range entryInstances {
			if (tick+7*i)%100 == 0 {
				f.report(load)
			}
			f.clock.Advance(10 * time.Millisecond)
		}
		if rng.Float64() > 0.75 {
			continue
		}
		f := entryInstances[rng.IntN(len(entryInstances))]
		prefix := uint64(1 + rng.IntN(prefixCount))
		s, _ := f.router.Pick(Query{Model: "herbs", Digest: oldDigest, Prefix: prefix})
		id := s.Instance.ID
		calls++
		if load[id] >= limits[id] {
			refused++
			f.router.Done(id, ResultRefused, &frame.Load{Limit: limits[id], InFlight: load[id]})
			continue
		}
		load[id]++
		if caches[id].access(prefix) {
			hits++
		}
		at := tick + 50 + rng.IntN(250)
		ends[at] = append(ends[at], func() {
			load[id]--
			f.router.Done(id, ResultOK, nil)
		})
	}
	return 100 * float64(refused) / float64(calls), 100 * float64(hits) / float64(calls-refused)
}

// prefixCount is the number of different prompt prefixes, and prefixCacheSize the
// number of them that a server caches.
const (
	prefixCount     = 400
	prefixCacheSize = 64
)

// prefixCache is a server's cache of prompt prefixes, the most recently used
// last.
type prefixCache struct{ prefixes []uint64 }

// access moves or adds the prefix p to the end of the cache and reports whether
// the cache held it.
func (c *prefixCache) access(p uint64) (hit bool) {
	if i := slices.Index(c.prefixes, p); i >= 0 {
		c.prefixes = slices.Delete(c.prefixes, i, i+1)
		hit = true
	}
	c.prefixes = append(c.prefixes, p)
	c.prefixes = c.prefixes[max(0, len(c.prefixes)-prefixCacheSize):]
	return hit
}

func TestPrefixAffinityCompared(t *testing.T) {
	Convey("Given 400 prompt prefixes and servers that cache 64 of them each", t, func() {
		for _, entryCount := range []int{4, 55} {
			refusedWithout, hitsWithout := simulate(PolicyTwoChoices, entryCount, false)
			refusedWith, hitsWith := simulate(PolicyTwoChoices, entryCount, true)
			t.Logf("%d entry instances: cache hits %.1f %% without affinity, %.1f %% with; refused %.2f %% without, %.2f %% with",
				entryCount, hitsWithout, hitsWith, refusedWithout, refusedWith)
			So(hitsWith, ShouldBeGreaterThan, hitsWithout)
		}
	})
}

// report updates the reports of all servers with these numbers of running calls.
func (f *fixture) report(load map[string]int) {
	for _, s := range f.reg.All() {
		f.reg.Update(s.Instance.ID, "1", func(s *registry.Server) {
			s.Report.InFlight = load[s.Instance.ID]
			s.LastSeen = f.clock.Now()
		})
	}
}

// BenchmarkPick measures one decision with the number of servers that an entry
// instance is designed to have.
func BenchmarkPick(b *testing.B) {
	limits := map[string]int{}
	for i := range 120 {
		limits["palermo-"+strconv.Itoa(i)] = 40
	}
	f := newFixture(PolicyTwoChoices, limits)
	for b.Loop() {
		f.router.Done(f.pick(), ResultOK, nil)
	}
}
