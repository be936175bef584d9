package dispatch

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/connection/exchange"
	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/version/catalog"
)

// BenchmarkAssignWaiting measures one attempt to assign slots in a large deployment
// without a free slot: 235 servers and 50 waiting requests of 3 routes.
func BenchmarkAssignWaiting(b *testing.B) {
	f := newSchedulerFixture()
	var servers []*catalog.Server
	load := map[string]int{}
	for i := range 235 {
		id := fmt.Sprintf("server-%d", i)
		servers = append(servers, f.server(id, "palermo"))
		load[id] = 9
	}
	f.setServers(servers...)
	f.scheduler.UpdatePeerLoads("x", exchange.LoadReport{RunningByServer: load, Complete: true})
	for i := range 50 {
		req := f.request()
		req.RouteRegions = [][]string{nil, {"west"}, {"west", "east"}}[i%3]
		f.scheduler.enqueue(&waiter{request: req, slot: make(chan Slot, 1)})
	}
	for b.Loop() {
		f.scheduler.assignWaiting()
	}
}

// newFullReport returns a fixture with 138 servers, and a report of as many suspect parts
// and ends as a peer may send.
func newFullReport() (*schedulerFixture, frame.Evidence) {
	f := newSchedulerFixture()
	var servers []*catalog.Server
	for i := range 138 {
		server := f.server(fmt.Sprintf("server-%d", i), "palermo")
		server.StartUnixMs = f.clock.Now().UnixMilli()
		servers = append(servers, server)
	}
	f.setServers(servers...)
	var e frame.Evidence
	for i := range maxSuspectParts {
		part := frame.SuspectPart{ID: fmt.Sprintf("part-%d", i)}
		for k := range maxEndsOfPart {
			part.Ends = append(part.Ends, frame.PartEnd{Boot: fmt.Sprintf("ended-%d-%d", i, k), AgeMs: int64(k)})
		}
		e.SuspectParts = append(e.SuspectParts, part)
	}
	return f, e
}

// BenchmarkMergeEvidence measures a full report whose parts are known already.
func BenchmarkMergeEvidence(b *testing.B) {
	f, e := newFullReport()
	for b.Loop() {
		if err := f.scheduler.MergeEvidence(e, true); err != nil {
			b.Fatal(err)
		}
	}
}

// TestCostOfAFullReport guards against work for each server and each reported end, which
// blocks the scheduler of an entry instance that has just started.
func TestCostOfAFullReport(t *testing.T) {
	Convey("A report of known ends costs a few allocations for each server and part, not for each pair of server and end", t, func() {
		f, e := newFullReport()
		allocations := testing.AllocsPerRun(2, func() { So(f.scheduler.MergeEvidence(e, true), ShouldBeNil) })
		So(allocations, ShouldBeLessThan, 10*(len(f.holder.Current().Servers)+len(e.SuspectParts)))
	})
}
