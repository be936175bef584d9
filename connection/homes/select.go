package homes

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"github.com/rattanway/rattanway/core"
)

// Select returns the entry instances with which the agent self should register: up
// to maxLocal in the agent's own data centre, and up to perRemote in each other
// data centre. If these are fewer than minHomes, further entry instances are
// added, the nearest first (see sortByDistance). Rendezvous hashing keeps the
// choice stable and spreads the agents evenly over the entry instances. Leaving
// entry instances are not chosen.
func Select(self core.Instance, entries []core.Instance, maxLocal, perRemote, minHomes int) []core.Instance {
	byDataCentre := map[string][]core.Instance{}
	for _, e := range entries {
		if e.Role != core.RoleEntry || e.Leaving {
			continue
		}
		byDataCentre[e.DataCentre] = append(byDataCentre[e.DataCentre], e)
	}
	var chosen, remaining []core.Instance
	for dc, list := range byDataCentre {
		ranked := rank(self.ID, list)
		count := perRemote
		if dc == self.DataCentre {
			count = maxLocal
		}
		count = min(count, len(ranked))
		chosen = append(chosen, ranked[:count]...)
		remaining = append(remaining, ranked[count:]...)
	}
	if missingCount := minHomes - len(chosen); missingCount > 0 {
		sortByDistance(self, remaining)
		chosen = append(chosen, remaining[:min(missingCount, len(remaining))]...)
	}
	return chosen
}

// HeartbeatInterval returns the longest time between two reports of an agent
// that has homeCount homes. The interval is base if the entry instances in the
// list have on average at most MaxFullRateAgents registered agents each. With
// more agents the interval grows in proportion, so that the rate of reports at
// an entry instance does not grow.
func HeartbeatInterval(base time.Duration, list []core.Instance, homeCount int) time.Duration {
	entryCount, agentCount := 0, 0
	for _, in := range list {
		switch in.Role {
		case core.RoleEntry:
			entryCount++
		case core.RoleAgent:
			agentCount++
		}
	}
	if entryCount == 0 {
		return base
	}
	agentsPerEntry := float64(agentCount*homeCount) / float64(entryCount)
	return time.Duration(float64(base) * max(1, agentsPerEntry/MaxFullRateAgents))
}

// rank returns list in the order of rendezvous hashing for key, the preferred
// instance first.
func rank(key string, list []core.Instance) []core.Instance {
	byID := map[string]core.Instance{}
	ids := make([]string, 0, len(list))
	for _, in := range list {
		byID[in.ID] = in
		ids = append(ids, in.ID)
	}
	sort.Strings(ids)
	ranked := make([]core.Instance, 0, len(ids))
	for len(ids) > 0 {
		table := rendezvous.New(ids, xxhash.Sum64String)
		first := table.Lookup(key)
		ranked = append(ranked, byID[first])
		ids = remove(ids, first)
	}
	return ranked
}

// remove returns ids without id.
func remove(ids []string, id string) []string {
	kept := ids[:0:0]
	for _, other := range ids {
		if other != id {
			kept = append(kept, other)
		}
	}
	return kept
}

// sortByDistance sorts remaining: instances of the agent's own data centre first,
// then of its own region, then the others. A hash of agent and instance orders
// those at the same distance.
func sortByDistance(self core.Instance, remaining []core.Instance) {
	distance := func(in core.Instance) int {
		switch {
		case in.DataCentre == self.DataCentre:
			return 0
		case in.Region == self.Region:
			return 1
		default:
			return 2
		}
	}
	sort.Slice(remaining, func(i, j int) bool {
		di, dj := distance(remaining[i]), distance(remaining[j])
		if di != dj {
			return di < dj
		}
		return xxhash.Sum64String(self.ID+remaining[i].ID) < xxhash.Sum64String(self.ID+remaining[j].ID)
	})
}
