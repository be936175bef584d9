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

// fixture holds a Router and the registry, configuration and clock that it uses.
// The IDs of the servers have the form DATACENTRE-N.
type fixture struct {
	router       *Router
	reg          *registry.Registry
	configHolder *confstore.Holder
	set          *declare.Set
	clock        *clockwork.FakeClock
}

// newFixture returns a fixture whose Router uses policy p. limits holds the
// limits of the servers by server ID; all servers have loaded the old version.
func newFixture(p Policy, limits map[string]int) *fixture {
	f := &fixture{reg: registry.New(), configHolder: confstore.NewHolder(), set: declare.NewSet(), clock: clockwork.NewFakeClock()}
	for _, dc := range []string{"palermo", "trapani", "catania"} {
		f.set.DataCentres[dc] = &declare.DataCentre{Name: dc}
	}
	f.set.Models["herbs"] = &declare.Model{Name: "herbs", Version: "v2", Replicas: 4}
	f.set.Versions["v1"] = &declare.Version{Name: "v1", Model: "herbs", Manifest: oldDigest}
	f.set.Versions["v2"] = &declare.Version{Name: "v2", Model: "herbs", Manifest: newDigest}
	for id, limit := range limits {
		f.putServer(id, oldDigest, frame.Report{State: frame.StateReady, Limit: limit})
	}
	f.publish()
	f.router = New(Config{Self: core.Instance{DataCentre: "palermo", Region: "west"}, Policy: p, Seed: 5},
		f.reg, f.configHolder, eventlog.Discard(), f.clock)
	return f
}

// putServer declares a server and registers it with the given report. It adds to
// the report that the server has loaded the weights with digest d.
func (f *fixture) putServer(id string, d core.Digest, report frame.Report) {
	dc, region := id[:7], "west"
	if dc == "catania" {
		region = "east"
	}
	f.set.BackendServers[id] = &declare.BackendServer{Name: id, DataCentre: dc, Limit: 10}
	report.Loaded = []frame.LoadedVersion{{Model: "herbs", Digest: d}}
	f.reg.Put(registry.Server{Instance: core.Instance{ID: id, DataCentre: dc, Region: region}, Incarnation: "1", Report: report})
}

// publish makes a copy of f.set the next configuration in force. The copy is
// needed because a set in force must not be changed.
func (f *fixture) publish() {
	set := *f.set
	f.configHolder.Offer(&declare.Snapshot{Number: f.configHolder.Current().Number + 1, Set: &set})
}

// pickID returns the ID of the server that is chosen for a call on the old
// version, or "" if none is chosen. tried holds the IDs of the servers at which
// earlier attempts were made.
func (f *fixture) pickID(tried ...string) string {
	q := Query{Model: "herbs", Digest: oldDigest, TriedServers: map[string]bool{}}
	for _, id := range tried {
		q.TriedServers[id] = true
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
				order = append(order, f.pickID())
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
			So(f.pickID(), ShouldEqual, "trapani-1")
		})
		Convey("a leaving, suspect or undeclared server gets no calls", func() {
			f.reg.Update("palermo-1", "1", func(s *registry.Server) { s.Report.State = frame.StateLeaving })
			f.reg.Update("trapani-1", "1", func(s *registry.Server) { s.Suspect = true })
			So(f.pickID(), ShouldEqual, "catania-1")
			delete(f.set.BackendServers, "catania-1")
			f.publish()
			So(f.pickID(), ShouldEqual, "")
		})
		Convey("a server with other weights gets no calls", func() {
			f.putServer("palermo-1", newDigest, frame.Report{State: frame.StateReady, Limit: 10})
			So(f.pickID(), ShouldEqual, "trapani-1")
		})
		Convey("a cold server gets no more than its limit", func() {
			f.putServer("palermo-1", oldDigest, frame.Report{State: frame.StateCold, Limit: 2})
			count := map[string]int{}
			for range 60 {
				count[f.pickID()]++
			}
			So(count["palermo-1"], ShouldEqual, 2)
		})
	})
}

func TestEjection(t *testing.T) {
	Convey("Given a server that has failed repeatedly", t, func() {
		f := newFixture(PolicyTwoChoices, map[string]int{"palermo-1": 10, "trapani-1": 10})
		for range defaultEjectionThreshold {
			So(f.pickID(), ShouldEqual, "palermo-1")
			f.router.Done("palermo-1", ResultFailed, nil)
		}
		So(f.router.Suspended("palermo-1"), ShouldBeTrue)
		So(f.pickID(), ShouldEqual, "trapani-1")
		Convey("after the ejection time the server gets one call as a probe, and gets calls again once the probe succeeds", func() {
			f.clock.Advance(defaultBaseEjectionTime)
			So(f.pickID(), ShouldEqual, "palermo-1")
			So(f.pickID(), ShouldEqual, "trapani-1")
			f.router.Done("palermo-1", ResultOK, nil)
			So(f.pickID(), ShouldEqual, "palermo-1")
		})
		Convey("a failed probe ejects the server for longer", func() {
			f.clock.Advance(defaultBaseEjectionTime)
			So(f.pickID(), ShouldEqual, "palermo-1")
			f.router.Done("palermo-1", ResultFailed, nil)
			f.clock.Advance(defaultBaseEjectionTime)
			So(f.pickID(), ShouldEqual, "trapani-1")
		})
		Convey("the ejected server is chosen if there is no other server", func() {
			f.reg.Update("trapani-1", "1", func(s *registry.Server) { s.Suspect = true })
			So(f.pickID(), ShouldEqual, "palermo-1")
		})
	})
}

func TestPin(t *testing.T) {
	Convey("Given a new version that two of four servers have loaded", t, func() {
		f := newFixture(PolicyTwoChoices, map[string]int{"palermo-1": 10, "palermo-2": 10, "trapani-1": 10, "catania-1": 10})
		ready := frame.Report{State: frame.StateReady, Limit: 10}
		pinned := func() core.Digest {
			d, _ := f.router.PinnedDigest("herbs")
			return d
		}
		f.putServer("palermo-1", newDigest, ready)
		So(pinned(), ShouldEqual, oldDigest)
		f.putServer("palermo-2", newDigest, ready)
		So(pinned(), ShouldEqual, newDigest)
		_, ok := f.router.PinnedDigest("none")
		So(ok, ShouldBeFalse)

		Convey("calls may run on both versions until every replica has loaded the new one", func() {
			other, ok := f.router.AlternativeDigest("herbs", newDigest)
			So(ok, ShouldBeTrue)
			So(other, ShouldEqual, oldDigest)
			other, ok = f.router.AlternativeDigest("herbs", oldDigest)
			So(ok, ShouldBeTrue)
			So(other, ShouldEqual, newDigest)
			f.putServer("trapani-1", newDigest, ready)
			f.putServer("catania-1", newDigest, ready)
			_, ok = f.router.AlternativeDigest("herbs", newDigest)
			So(ok, ShouldBeFalse)
			_, ok = f.router.AlternativeDigest("none", newDigest)
			So(ok, ShouldBeFalse)
		})
	})
}

// TestPoliciesCompared runs each policy with the same rate of calls and with the
// same servers, whose limits differ from one another. It compares how many
// choices find a full server: with 4 entry instances, the present number, and
// with 55, the number for which a data centre is designed.
func TestPoliciesCompared(t *testing.T) {
	Convey("Given servers with different limits and reports up to a second old", t, func() {
		policies := []Policy{PolicyRandom, PolicyRoundRobin, PolicyLeastLoaded, PolicyTwoChoices}
		refusedPercents := map[int]map[Policy]float64{4: {}, 55: {}}
		for entryInstanceCount, percent := range refusedPercents {
			for _, p := range policies {
				percent[p], _ = simulate(p, entryInstanceCount, false)
			}
			t.Logf("percent of choices refused, %d entry instances: %v", entryInstanceCount, percent)
			So(percent[PolicyTwoChoices], ShouldBeLessThan, percent[PolicyRandom])
			So(percent[PolicyTwoChoices], ShouldBeLessThan, percent[PolicyRoundRobin])
		}
		So(refusedPercents[55][PolicyTwoChoices], ShouldBeLessThan, refusedPercents[55][PolicyLeastLoaded])
	})
}

// simulate runs entry instances that choose servers by policy p. Each uses its
// own copy of the servers' reports, which is up to a second old. simulate returns
// the percentage of choices that found the server full. Of the remaining choices,
// it returns the percentage for which the prompt's prefix was in the server's
// cache.
func simulate(p Policy, entryInstanceCount int, affinity bool) (refusedPercent, hitPercent float64) {
	limits := map[string]int{}
	for i := range 12 {
		limits["palermo-"+strconv.Itoa(i)] = 10 + 10*(i%3)
	}
	entryInstances := make([]*fixture, entryInstanceCount)
	for i := range entryInstances {
		entryInstances[i] = newFixture(p, limits)
		entryInstances[i].router.config.PrefixAffinity = affinity
	}
	rng := rand.New(rand.NewPCG(5, 5))
	loadByServer := map[string]int{}
	endsByTick := map[int][]func(){}
	callCount, refusedCount, hitCount := 0, 0, 0
	caches := map[string]*prefixCache{}
	for id := range limits {
		caches[id] = &prefixCache{}
	}
	for tick := range 6_000 { // a tick is 10 ms; a call lasts 0.5 to 3 s
		for _, end := range endsByTick[tick] {
			end()
		}
		delete(endsByTick, tick)
		for i, f := range entryInstances {
			if (tick+7*i)%100 == 0 {
				f.setReports(loadByServer)
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
		callCount++
		if loadByServer[id] >= limits[id] {
			refusedCount++
			f.router.Done(id, ResultRefused, &frame.Load{Limit: limits[id], InFlight: loadByServer[id]})
			continue
		}
		loadByServer[id]++
		if caches[id].access(prefix) {
			hitCount++
		}
		endTick := tick + 50 + rng.IntN(250)
		endsByTick[endTick] = append(endsByTick[endTick], func() {
			loadByServer[id]--
			f.router.Done(id, ResultOK, nil)
		})
	}
	return 100 * float64(refusedCount) / float64(callCount), 100 * float64(hitCount) / float64(callCount-refusedCount)
}

// prefixCount is the number of different prompt prefixes, and prefixCacheSize the
// maximum number of prefixes in the cache of a server.
const (
	prefixCount     = 400
	prefixCacheSize = 64
)

// prefixCache is a server's cache of prompt prefixes. The most recently used
// prefix is the last.
type prefixCache struct{ prefixes []uint64 }

// access moves the prefix p to the end of the cache, or adds it there, and reports
// whether the cache held p before.
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
		for _, entryInstanceCount := range []int{4, 55} {
			refusedWithout, hitsWithout := simulate(PolicyTwoChoices, entryInstanceCount, false)
			refusedWith, hitsWith := simulate(PolicyTwoChoices, entryInstanceCount, true)
			t.Logf("%d entry instances: cache hits %.1f %% without affinity, %.1f %% with; refused %.2f %% without, %.2f %% with",
				entryInstanceCount, hitsWithout, hitsWith, refusedWithout, refusedWith)
			So(hitsWith, ShouldBeGreaterThan, hitsWithout)
		}
	})
}

// setReports updates the reports of all servers; loadByServer holds the number of
// running calls by server ID.
func (f *fixture) setReports(loadByServer map[string]int) {
	for _, s := range f.reg.All() {
		f.reg.Update(s.Instance.ID, "1", func(s *registry.Server) {
			s.Report.InFlight = loadByServer[s.Instance.ID]
			s.LastSeen = f.clock.Now()
		})
	}
}

// BenchmarkPick measures one call of Pick and Done with 120 servers. An entry
// instance is designed for this number of servers.
func BenchmarkPick(b *testing.B) {
	limits := map[string]int{}
	for i := range 120 {
		limits["palermo-"+strconv.Itoa(i)] = 40
	}
	f := newFixture(PolicyTwoChoices, limits)
	for b.Loop() {
		f.router.Done(f.pickID(), ResultOK, nil)
	}
}
