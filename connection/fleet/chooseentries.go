package fleet

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxEntriesForAll is the largest number of entry instances to all of which an
	// agent connects.
	maxEntriesForAll = 24
	// remoteEntryCount is the number of entry instances of other data centres to which
	// an agent connects in a larger deployment. They keep the agent informed when no
	// entry instance of its own data centre can be reached.
	remoteEntryCount = 2
	// failingPeriod is how long an entry instance must have failed before an agent
	// prefers one that has not.
	failingPeriod = 3 * time.Second
)

// chooseEntries returns the addresses of the entry instances to which an agent
// connects. known maps the addresses of the known entry instances to their data
// centres; a name is empty if the data centre is unknown. failing holds the addresses
// that have failed for at least failingPeriod.
//
// Up to maxEntriesForAll entry instances it chooses all. Of more, it chooses those of
// the agent's own data centre, those of an unknown one, and remoteEntryCount of the
// other data centres. The entry instances relay to each other what the agents of
// their data centre report. A hash of agent and address orders the candidates, which
// spreads the agents over the entry instances.
func chooseEntries(agent, dataCentre string, known map[string]string, failing map[string]bool) map[string]bool {
	chosen := map[string]bool{}
	var remote []string
	for addr, entryDataCentre := range known {
		if len(known) <= maxEntriesForAll || entryDataCentre == "" || entryDataCentre == dataCentre {
			chosen[addr] = true
			continue
		}
		remote = append(remote, addr)
	}
	sort.Slice(remote, func(i, j int) bool {
		if failing[remote[i]] != failing[remote[j]] {
			return !failing[remote[i]]
		}
		return entryRank(agent, remote[i]) < entryRank(agent, remote[j])
	})
	for _, addr := range remote[:min(len(remote), remoteEntryCount)] {
		chosen[addr] = true
	}
	return chosen
}

// entryRank orders entry instances for an agent.
func entryRank(agent, addr string) uint64 { return xxhash.Sum64String(agent + " " + addr) }
