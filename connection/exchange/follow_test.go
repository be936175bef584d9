package exchange

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/test/wait"
	"github.com/rattanway/rattanway/version/catalog"
)

// newLargeDeployment starts more than maxMeshInstances instances in the data centres
// "a" and "b". Each knows the first instance of "a" at first, as from its settings.
func newLargeDeployment(t *testing.T) (a, b []*testInstance) {
	t.Helper()
	for i := range maxMeshInstances/2 + 1 {
		a = append(a, newTestInstance(t, fmt.Sprintf("a.%d", i)))
		b = append(b, newTestInstance(t, fmt.Sprintf("b.%d", i)))
	}
	for _, i := range append(a[1:len(a):len(a)], b...) {
		i.AddPeer(a[0].cfg.Self.Addr, "")
	}
	return a, b
}

// allMeet reports whether all instances meet a condition.
func allMeet(instances []*testInstance, condition func(*testInstance) bool) bool {
	for _, i := range instances {
		if !condition(i) {
			return false
		}
	}
	return true
}

func TestLargeDeployment(t *testing.T) {
	Convey("Given two data centres with too many entry instances for a mesh", t, func() {
		a, b := newLargeDeployment(t)
		all := append(a[:len(a):len(a)], b...)
		So(wait.Until(func() bool {
			return allMeet(all, func(i *testInstance) bool { return len(i.knownAddrs()) == len(all) })
		}), ShouldBeTrue)

		Convey("each learns the load and the agents of the other data centre from one report about all of it", func() {
			a[1].loadTracker.set(map[string]int{"s1": 3})
			a[2].agents.setLocal("server", 7)
			for _, i := range a {
				i.agents.setLocal("server", 7)
			}
			So(wait.Until(func() bool {
				return allMeet(b, func(i *testInstance) bool {
					return i.loadTracker.receivedCount("s1") == 3 && i.agents.relayedVersion("server") == 7
				})
			}), ShouldBeTrue)
			for _, i := range a {
				i.agents.setLocal("server", 0)
			}
			So(wait.Until(func() bool {
				return allMeet(b, func(i *testInstance) bool { return i.agents.relayedVersion("server") == 0 })
			}), ShouldBeTrue)
		})

		Convey("they have no connections to every other one, and follow through another entry instance when one ends", func() {
			So(wait.Until(func() bool {
				return allMeet(all, func(i *testInstance) bool {
					plan, _ := i.plan()
					return len(plan.peers) == len(a)-1 && len(plan.followed) == 1 && i.isFollowed("a") != i.isFollowed("b")
				})
			}), ShouldBeTrue)
			relay := chooseRelay(b[0].cfg.Self.ID, addrsOf(a), nil, b[0].cfg.Clock.Now())
			for _, i := range a {
				if i.cfg.Self.Addr == relay {
					i.stop()
					continue
				}
				i.loadTracker.set(map[string]int{"s9": 1})
			}
			So(wait.Until(func() bool { return b[0].loadTracker.receivedCount("s9") > 0 }), ShouldBeTrue)
		})

		Convey("a suspect prompt part reaches each of them, also one that starts later", func() {
			// The connections are not complete yet.
			a[2].evidence.observeHere("early")
			So(wait.Until(func() bool {
				return allMeet(all, func(i *testInstance) bool { return i.evidence.knows("early") })
			}), ShouldBeTrue)
			So(wait.Until(func() bool {
				return allMeet(all, func(i *testInstance) bool {
					plan, _ := i.plan()
					return len(plan.peers) == len(a)-1 && i.isFollowed("a") != i.isFollowed("b")
				})
			}), ShouldBeTrue)
			a[1].evidence.observeHere("part")
			So(wait.Until(func() bool {
				return allMeet(all, func(i *testInstance) bool { return i.evidence.knows("part") })
			}), ShouldBeTrue)
			late := newTestInstance(t, "b.late")
			late.AddPeer(b[0].cfg.Self.Addr, "")
			So(wait.Until(func() bool { return late.evidence.knows("part") }), ShouldBeTrue)
		})

		Convey("changes that one reads from the store reach the others of its data centre, and a table those of the other", func() {
			for _, i := range all {
				i.serversFollower.AdoptIfNewer(catalog.TableContent{
					Rows: []catalog.Row{{Key: "s1", Revision: 1}}, ChangeRevision: 1, ReadRevision: 1,
				}, "store")
			}
			change := catalog.RowChanges{Rows: []catalog.Row{{Key: "s2", Revision: 5}}, Since: 1, Until: 6}
			a[3].serversFollower.ApplyFromPeer(change)
			a[3].SendChanges(catalog.TableServers, change)
			So(wait.Until(func() bool {
				return allMeet(all, func(i *testInstance) bool { return i.holder.Current().Servers["s2"] != nil })
			}), ShouldBeTrue)
		})
	})
}

func TestEvidenceReports(t *testing.T) {
	Convey("Given two large data centres whose entry instances know each other from the start", t, func() {
		var all []*testInstance
		for i := range maxMeshInstances/2 + 1 {
			all = append(all, newIdleTestInstance(t, fmt.Sprintf("a.%d", i)), newIdleTestInstance(t, fmt.Sprintf("b.%d", i)))
		}
		for _, i := range all {
			for _, other := range all {
				i.AddPeer(other.cfg.Self.Addr, other.cfg.Self.DataCentre)
			}
		}
		for _, i := range all {
			i.start()
		}
		// The others of its data centre, and the one through which it follows the other.
		const sources = maxMeshInstances/2 + 1
		So(wait.Until(func() bool {
			return allMeet(all, func(i *testInstance) bool { return i.loadTracker.connectionCount() >= sources })
		}), ShouldBeTrue)

		Convey("a suspect part reaches each of the others in one report, plus at most two for each connection that opens meanwhile", func() {
			observer, others := all[0], all[1:]
			connectionsBefore := map[*testInstance]int{}
			for _, i := range others {
				connectionsBefore[i] = i.loadTracker.connectionCount()
			}
			observer.evidence.observeHere("part")
			So(wait.Until(func() bool {
				return allMeet(others, func(i *testInstance) bool { return i.evidence.knows("part") })
			}), ShouldBeTrue)
			// The relays and the followers that learn it last have sent it on by now.
			observer.evidence.observeHere("next")
			So(wait.Until(func() bool {
				return allMeet(others, func(i *testInstance) bool { return i.evidence.knows("next") })
			}), ShouldBeTrue)
			for _, i := range others {
				reports := i.evidence.mergedCount("part")
				newConnections := i.loadTracker.connectionCount() - connectionsBefore[i]
				if newConnections > 0 {
					t.Logf("%s: %d reports, %d new connections", i.cfg.Self.ID, reports, newConnections)
				}
				So(reports, ShouldBeLessThanOrEqualTo, 1+2*newConnections)
			}
		})
	})
}

// knownAddrs returns the addresses of the known instances, including this one.
func (x *Exchange) knownAddrs() map[string]bool {
	entries, _ := x.KnownEntries()
	addrs := map[string]bool{}
	for _, e := range entries {
		if e.DataCentre != "" {
			addrs[e.Addr] = true
		}
	}
	return addrs
}

// addrsOf returns the addresses of instances.
func addrsOf(instances []*testInstance) []string {
	var addrs []string
	for _, i := range instances {
		addrs = append(addrs, i.cfg.Self.Addr)
	}
	return addrs
}
