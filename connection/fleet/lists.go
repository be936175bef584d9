package fleet

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// listsFrom is how many entry instances send an agent the list of agents: one
// may be lost without a gap. The list is the largest message here, about 100
// bytes for each agent, and every change of the fleet sends it again.
const listsFrom = 2

// chooseLists answers a large fleet whose agents come and go: of the connected
// entry instances, given with their data centres, an agent takes the list from
// a few of its own data centre, so that no list crosses the links between
// them. Only where it is connected to none there does it take others. Agents
// choose differently, so that the load spreads.
func chooseLists(agent, dataCentre string, connected map[string]string) map[string]bool {
	var addrs []string
	for addr := range connected {
		addrs = append(addrs, addr)
	}
	rank := func(addr string) uint64 { return xxhash.Sum64String(agent + " " + addr) }
	sort.Slice(addrs, func(i, j int) bool {
		a, b := addrs[i], addrs[j]
		if near := connected[a] == dataCentre; near != (connected[b] == dataCentre) {
			return near
		}
		return rank(a) < rank(b)
	})
	chosen := map[string]bool{}
	for _, addr := range addrs {
		far := connected[addr] != dataCentre
		if len(chosen) == listsFrom || far && len(chosen) > 0 && connected[addrs[0]] == dataCentre {
			break
		}
		chosen[addr] = true
	}
	return chosen
}
