package exchange

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/version/catalog"
)

// knownEntries returns count addresses for each of the data centres, without the
// address of the first entry instance of the first one.
func knownEntries(count int, dataCentres ...string) map[string]string {
	known := map[string]string{}
	for _, dc := range dataCentres {
		for i := range count {
			known[fmt.Sprintf("%s-%d", dc, i)] = dc
		}
	}
	delete(known, dataCentres[0]+"-0")
	return known
}

func TestPlanConnections(t *testing.T) {
	self := core.Instance{ID: "self", DataCentre: "a"}

	Convey("A small deployment is a mesh", t, func() {
		plan := planConnections(self, knownEntries(8, "a", "b", "c"))
		So(plan.peers, ShouldHaveLength, 23)
		So(plan.followed, ShouldBeEmpty)
	})
	Convey("In a large one, connections grow with the data centre and the number of data centres, not with all instances", t, func() {
		plan := planConnections(self, knownEntries(12, "a", "b", "c", "d", "e"))
		So(plan.peers, ShouldHaveLength, 11)
		So(plan.followed, ShouldHaveLength, 4)
		So(plan.followed["b"], ShouldHaveLength, 12)
	})
	Convey("An entry instance whose data centre is unknown is connected to, so that it becomes known", t, func() {
		known := knownEntries(12, "a", "b", "c")
		known["seed"] = ""
		So(planConnections(self, known).peers, ShouldContainKey, "seed")
	})
}

func TestChooseRelay(t *testing.T) {
	addrs := []string{"b-0", "b-1", "b-2", "b-3"}
	now := time.Now()

	Convey("Followers spread over the entry instances of a data centre", t, func() {
		chosen := map[string]int{}
		for i := range 100 {
			chosen[chooseRelay(fmt.Sprintf("follower-%d", i), addrs, nil, now)]++
		}
		for _, addr := range addrs {
			So(chosen[addr], ShouldBeGreaterThan, 10)
		}
	})
	Convey("An entry instance that failed is passed over for relayRetryDelay", t, func() {
		first := chooseRelay("self", addrs, nil, now)
		failedAt := map[string]time.Time{first: now}
		So(chooseRelay("self", addrs, failedAt, now), ShouldNotEqual, first)
		So(chooseRelay("self", addrs, failedAt, now.Add(relayRetryDelay)), ShouldEqual, first)
	})
	Convey("If all have failed, the one that failed first is chosen", t, func() {
		failedAt := map[string]time.Time{}
		for i, addr := range addrs {
			failedAt[addr] = now.Add(-time.Duration(i) * time.Second / 10)
		}
		So(chooseRelay("self", addrs, failedAt, now), ShouldEqual, "b-3")
	})
}

func TestReadByPeer(t *testing.T) {
	now := time.Now()
	// reads returns the reports of five peers that all read the table.
	reads := func() map[string]peerRead {
		all := map[string]peerRead{}
		for i := range 5 {
			all[fmt.Sprintf("e%d", i)] = peerRead{reportedAt: now, respondedAt: map[catalog.Table]time.Time{catalog.TableServers: now}}
		}
		return all
	}
	// readers returns the entry instances that read the table themselves, given what
	// all report. Each has the reports of the others.
	readers := func(all map[string]peerRead) (out []string) {
		for self := range all {
			others := map[string]peerRead{}
			for id, r := range all {
				if id != self {
					others[id] = r
				}
			}
			if !readByPeer(self, catalog.TableServers, others, now) {
				out = append(out, self)
			}
		}
		return out
	}

	Convey("Of five that read a table, one goes on", t, func() {
		So(readers(reads()), ShouldHaveLength, 1)
	})
	Convey("When the store no longer responds to the reader, or the reader sends no reports, others read", t, func() {
		all := reads()
		reader := readers(all)[0]
		all[reader].respondedAt[catalog.TableServers] = now.Add(-maxReadAge)
		So(readers(all), ShouldHaveLength, 2)
		all = reads()
		all[reader] = peerRead{reportedAt: now.Add(-peerReadTimeout), respondedAt: all[reader].respondedAt}
		So(len(readers(all)), ShouldEqual, 2)
	})
	Convey("When only those that rely on others are left, all read", t, func() {
		all := reads()
		for id := range all {
			all[id] = peerRead{reportedAt: now, respondedAt: map[catalog.Table]time.Time{}}
		}
		So(readers(all), ShouldHaveLength, 5)
	})
	Convey("In a small data centre all read", t, func() {
		all := reads()
		delete(all, "e0")
		delete(all, "e1")
		So(readers(all), ShouldHaveLength, 3)
	})
}

func TestChangesStayInTheDataCentre(t *testing.T) {
	// queues returns an Exchange in data centre "a" with connections to peers in the
	// given data centres, and the queues of these connections.
	queues := func(dataCentres ...string) (*Exchange, []chan frame.TableChanges) {
		x := New(Config{Self: core.Instance{ID: "self", Addr: "self", DataCentre: "a"}, LoadTracker: &fakeLoadTracker{}})
		var all []chan frame.TableChanges
		for i, dc := range dataCentres {
			addr := fmt.Sprint(dc, i)
			x.AddPeer(addr, dc)
			all = append(all, x.addChangeQueue(addr))
		}
		return x, all
	}
	Convey("Changes go to the others of the data centre, not over the links between regions", t, func() {
		x, all := queues("a", "a", "a", "b", "c")
		x.SendChanges(catalog.TableServers, catalog.RowChanges{Until: 1})
		for i, queue := range all {
			So(len(queue) == 1, ShouldEqual, i < 3)
		}
	})
	Convey("In a data centre with few entry instances all read the store, and nothing is sent", t, func() {
		x, all := queues("a", "a", "b", "b", "c")
		x.SendChanges(catalog.TableServers, catalog.RowChanges{Until: 1})
		for _, queue := range all {
			So(len(queue), ShouldEqual, 0)
		}
	})
}
