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

// rig is a Router over servers named DATACENTRE-N.
type rig struct {
	router *Router
	reg    *registry.Registry
	holder *confstore.Holder
	set    *declare.Set
	clock  *clockwork.FakeClock
}

func newRig(p Policy, limits map[string]int) *rig {
	g := &rig{reg: registry.New(), holder: confstore.NewHolder(), set: declare.NewSet(), clock: clockwork.NewFakeClock()}
	for _, dc := range []string{"palermo", "trapani", "catania"} {
		g.set.DataCentres[dc] = &declare.DataCentre{Name: dc}
	}
	g.set.Models["herbs"] = &declare.Model{Name: "herbs", Version: "v2", Replicas: 4}
	g.set.Versions["v1"] = &declare.Version{Name: "v1", Model: "herbs", Manifest: oldDigest}
	g.set.Versions["v2"] = &declare.Version{Name: "v2", Model: "herbs", Manifest: newDigest}
	for id, limit := range limits {
		g.put(id, oldDigest, frame.Report{State: frame.StateReady, Limit: limit})
	}
	g.publish()
	g.router = New(Config{Self: core.Instance{DataCentre: "palermo", Region: "west"}, Policy: p, Seed: 5},
		g.reg, g.holder, eventlog.Discard(), g.clock)
	return g
}

func (g *rig) put(id string, d core.Digest, report frame.Report) {
	dc, region := id[:7], "west"
	if dc == "catania" {
		region = "east"
	}
	g.set.BackendServers[id] = &declare.BackendServer{Name: id, DataCentre: dc, Limit: 10}
	report.Loaded = []frame.Loaded{{Model: "herbs", Digest: d}}
	g.reg.Put(registry.Server{Instance: core.Instance{ID: id, DataCentre: dc, Region: region}, Incarnation: "1", Report: report})
}

// publish puts the set in force; sets are never changed once in force, so it
// is copied first.
func (g *rig) publish() {
	set := *g.set
	g.holder.Offer(&declare.Snapshot{Number: g.holder.Current().Number + 1, Set: &set})
}

func (g *rig) pick(tried ...string) string {
	q := Query{Model: "herbs", Digest: oldDigest, Tried: map[string]bool{}}
	for _, id := range tried {
		q.Tried[id] = true
	}
	s, _ := g.router.Pick(q)
	return s.Instance.ID
}

func TestPickOrder(t *testing.T) {
	Convey("Given a server in each data centre", t, func() {
		g := newRig(PolicyTwoChoices, map[string]int{"palermo-1": 10, "trapani-1": 10, "catania-1": 10})
		Convey("calls fill the own data centre, then the region, then others", func() {
			var order []string
			for range 27 {
				order = append(order, g.pick())
			}
			for i, dc := range []string{"palermo", "trapani", "catania"} {
				for _, id := range order[i*9 : i*9+9] {
					So(id, ShouldEqual, dc+"-1")
				}
			}
		})
		Convey("a data centre that is out gets nothing", func() {
			g.set.DataCentres = map[string]*declare.DataCentre{
				"palermo": {Name: "palermo", Out: true}, "trapani": {Name: "trapani"}, "catania": {Name: "catania"}}
			g.publish()
			So(g.pick(), ShouldEqual, "trapani-1")
		})
		Convey("a leaving, suspect, undeclared or down server gets nothing", func() {
			g.reg.Update("palermo-1", "1", func(s *registry.Server) { s.Report.State = frame.StateLeaving })
			g.reg.Update("trapani-1", "1", func(s *registry.Server) { s.Suspect = true })
			So(g.pick(), ShouldEqual, "catania-1")
			delete(g.set.BackendServers, "catania-1")
			g.publish()
			So(g.pick(), ShouldEqual, "")
		})
		Convey("a server with other weights gets nothing", func() {
			g.put("palermo-1", newDigest, frame.Report{State: frame.StateReady, Limit: 10})
			So(g.pick(), ShouldEqual, "trapani-1")
		})
		Convey("a cold server gets no more than its limit", func() {
			g.put("palermo-1", oldDigest, frame.Report{State: frame.StateCold, Limit: 2})
			count := map[string]int{}
			for range 60 {
				count[g.pick()]++
			}
			So(count["palermo-1"], ShouldEqual, 2)
		})
	})
}

func TestEjection(t *testing.T) {
	Convey("Given a server that fails", t, func() {
		g := newRig(PolicyTwoChoices, map[string]int{"palermo-1": 10, "trapani-1": 10})
		for range defaultEjectFailures {
			So(g.pick(), ShouldEqual, "palermo-1")
			g.router.Done("palermo-1", ResultFailed, nil)
		}
		So(g.router.Suspended("palermo-1"), ShouldBeTrue)
		So(g.pick(), ShouldEqual, "trapani-1")
		Convey("one call probes it later, and a success brings it back", func() {
			g.clock.Advance(defaultEjectBase)
			So(g.pick(), ShouldEqual, "palermo-1")
			So(g.pick(), ShouldEqual, "trapani-1")
			g.router.Done("palermo-1", ResultOK, nil)
			So(g.pick(), ShouldEqual, "palermo-1")
		})
		Convey("a failed probe keeps it out for longer", func() {
			g.clock.Advance(defaultEjectBase)
			So(g.pick(), ShouldEqual, "palermo-1")
			g.router.Done("palermo-1", ResultFailed, nil)
			g.clock.Advance(defaultEjectBase)
			So(g.pick(), ShouldEqual, "trapani-1")
		})
		Convey("it is chosen all the same when there is no other", func() {
			g.reg.Update("trapani-1", "1", func(s *registry.Server) { s.Suspect = true })
			So(g.pick(), ShouldEqual, "palermo-1")
		})
	})
}

func TestPin(t *testing.T) {
	Convey("Given a new version that stands on few of four servers", t, func() {
		g := newRig(PolicyTwoChoices, map[string]int{"palermo-1": 10, "palermo-2": 10, "trapani-1": 10, "catania-1": 10})
		ready := frame.Report{State: frame.StateReady, Limit: 10}
		pin := func() core.Digest {
			d, _ := g.router.Pin("herbs")
			return d
		}
		g.put("palermo-1", newDigest, ready)
		So(pin(), ShouldEqual, oldDigest)
		g.put("palermo-2", newDigest, ready)
		So(pin(), ShouldEqual, newDigest)
		_, ok := g.router.Pin("none")
		So(ok, ShouldBeFalse)

		Convey("both versions may answer until every replica holds the new one", func() {
			other, ok := g.router.Alternative("herbs", newDigest)
			So(ok, ShouldBeTrue)
			So(other, ShouldEqual, oldDigest)
			other, ok = g.router.Alternative("herbs", oldDigest)
			So(ok, ShouldBeTrue)
			So(other, ShouldEqual, newDigest)
			g.put("trapani-1", newDigest, ready)
			g.put("catania-1", newDigest, ready)
			_, ok = g.router.Alternative("herbs", newDigest)
			So(ok, ShouldBeFalse)
			_, ok = g.router.Alternative("none", newDigest)
			So(ok, ShouldBeFalse)
		})
	})
}

// TestPoliciesCompared gives each policy the same calls over servers of
// unlike limits, and compares how many choices find a full server: with the four entry
// instances of today, and with as many as a data centre has at the target.
func TestPoliciesCompared(t *testing.T) {
	Convey("Given servers of unlike limits and reports of a second's age", t, func() {
		policies := []Policy{PolicyRandom, PolicyRoundRobin, PolicyLeastLoaded, PolicyTwoChoices}
		refused := map[int]map[Policy]float64{4: {}, 55: {}}
		for entries, percent := range refused {
			for _, p := range policies {
				percent[p], _ = simulate(p, entries, false)
			}
			t.Logf("percent of choices refused, %d entry instances: %v", entries, percent)
			So(percent[PolicyTwoChoices], ShouldBeLessThan, percent[PolicyRandom])
			So(percent[PolicyTwoChoices], ShouldBeLessThan, percent[PolicyRoundRobin])
		}
		So(refused[55][PolicyTwoChoices], ShouldBeLessThan, refused[55][PolicyLeastLoaded])
	})
}

// simulate lets entry instances choose, each with its own reports of
// a second's age, and returns the percentages of choices that found the server full, and of
// calls that found their prompt's prefix in the server's cache.
func simulate(p Policy, instances int, affinity bool) (refusedPercent, hitPercent float64) {
	limits := map[string]int{}
	for i := range 12 {
		limits["palermo-"+strconv.Itoa(i)] = 10 + 10*(i%3)
	}
	entries := make([]*rig, instances)
	for i := range entries {
		entries[i] = newRig(p, limits)
		entries[i].router.config.PrefixAffinity = affinity
	}
	rng := rand.New(rand.NewPCG(5, 5))
	load := map[string]int{}
	ends := map[int][]func(){}
	calls, refused, hits := 0, 0, 0
	caches := map[string]*prefixes{}
	for id := range limits {
		caches[id] = &prefixes{}
	}
	for tick := range 6_000 { // a tick is 10 ms; a call lasts 0.5 to 3 s
		for _, end := range ends[tick] {
			end()
		}
		delete(ends, tick)
		for i, g := range entries {
			if (tick+7*i)%100 == 0 {
				g.report(load)
			}
			g.clock.Advance(10 * time.Millisecond)
		}
		if rng.Float64() > 0.75 {
			continue
		}
		g := entries[rng.IntN(len(entries))]
		prefix := uint64(1 + rng.IntN(prefixCount))
		s, _ := g.router.Pick(Query{Model: "herbs", Digest: oldDigest, Prefix: prefix})
		id := s.Instance.ID
		calls++
		if load[id] >= limits[id] {
			refused++
			g.router.Done(id, ResultRefused, &frame.Load{Limit: limits[id], InFlight: load[id]})
			continue
		}
		load[id]++
		if caches[id].use(prefix) {
			hits++
		}
		at := tick + 50 + rng.IntN(250)
		ends[at] = append(ends[at], func() {
			load[id]--
			g.router.Done(id, ResultOK, nil)
		})
	}
	return 100 * float64(refused) / float64(calls), 100 * float64(hits) / float64(calls-refused)
}

// prefixCount is the number of prefixes that prompts begin with, and
// prefixRoom how many of them a server's memory holds.
const (
	prefixCount = 400
	prefixRoom  = 64
)

// prefixes is a server's cache of prompt prefixes, the newest last.
type prefixes struct{ held []uint64 }

func (c *prefixes) use(p uint64) (hit bool) {
	if i := slices.Index(c.held, p); i >= 0 {
		c.held = slices.Delete(c.held, i, i+1)
		hit = true
	}
	c.held = append(c.held, p)
	c.held = c.held[max(0, len(c.held)-prefixRoom):]
	return hit
}

func TestPrefixAffinityCompared(t *testing.T) {
	Convey("Given 400 prompt prefixes and servers that each hold 64 of them", t, func() {
		for _, entries := range []int{4, 55} {
			refusedWithout, hitsWithout := simulate(PolicyTwoChoices, entries, false)
			refusedWith, hitsWith := simulate(PolicyTwoChoices, entries, true)
			t.Logf("%d entry instances: cache hits %.1f %% without affinity, %.1f %% with; refused %.2f %% without, %.2f %% with",
				entries, hitsWithout, hitsWith, refusedWithout, refusedWith)
			So(hitsWith, ShouldBeGreaterThan, hitsWithout)
		}
	})
}

func (g *rig) report(load map[string]int) {
	for _, s := range g.reg.All() {
		g.reg.Update(s.Instance.ID, "1", func(s *registry.Server) {
			s.Report.InFlight = load[s.Instance.ID]
			s.Heard = g.clock.Now()
		})
	}
}

// BenchmarkPick measures a decision over as many servers as register with an
// entry instance at the target.
func BenchmarkPick(b *testing.B) {
	limits := map[string]int{}
	for i := range 120 {
		limits["palermo-"+strconv.Itoa(i)] = 40
	}
	g := newRig(PolicyTwoChoices, limits)
	for b.Loop() {
		g.router.Done(g.pick(), ResultOK, nil)
	}
}
