package dispatch

import (
	"fmt"
	"testing"

	"github.com/rattanway/rattanway/connection/exchange"
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
