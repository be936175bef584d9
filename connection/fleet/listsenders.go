package fleet

import "sort"

// listSenderCount is the number of entry instances that send an agent the list of
// agents. With two, the list stays up to date when the connection to one of them
// is lost. More would cost bandwidth: the list is the largest message of this
// package, about 100 bytes for each agent, and is sent again whenever an agent
// connects or disconnects.
const listSenderCount = 2

// chooseListSenders returns the addresses of the entry instances from which an
// agent requests the list of agents. connected maps the addresses of the
// connected entry instances to their data centres.
//
// It chooses up to listSenderCount entry instances of the agent's own data centre,
// so that the list does not cross the links between data centres. It chooses entry
// instances of other data centres only if none of the agent's own data centre is
// connected. A hash of agent and address orders the candidates, which spreads the
// agents over the entry instances.
func chooseListSenders(agent, dataCentre string, connected map[string]string) map[string]bool {
	var addrs []string
	for addr := range connected {
		addrs = append(addrs, addr)
	}
	sort.Slice(addrs, func(i, j int) bool {
		a, b := addrs[i], addrs[j]
		if local := connected[a] == dataCentre; local != (connected[b] == dataCentre) {
			return local
		}
		return entryRank(agent, a) < entryRank(agent, b)
	})
	chosen := map[string]bool{}
	for _, addr := range addrs {
		remote := connected[addr] != dataCentre
		if len(chosen) == listSenderCount || remote && len(chosen) > 0 && connected[addrs[0]] == dataCentre {
			break
		}
		chosen[addr] = true
	}
	return chosen
}
