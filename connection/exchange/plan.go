package exchange

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rattanway/rattanway/core"
)

// maxMeshInstances is the largest number of entry instances that all connect to each
// other. Every pair exchanges up to 40 messages per second, so a mesh of 59 would
// exchange 68,000 per second.
const maxMeshInstances = 24

// relayRetryDelay is how long an entry instance that failed as a relay is passed over
// while another one can be the relay.
const relayRetryDelay = 3 * time.Second

// connectionPlan holds the connections that an entry instance should have.
type connectionPlan struct {
	// peers holds the addresses of the entry instances to which it reports its own
	// load.
	peers map[string]bool
	// followed holds, by data centre, the addresses of the entry instances of which
	// one reports the load of the whole data centre.
	followed map[string][]string
}

// planConnections returns the connections of the entry instance self. known maps the
// addresses of the other entry instances to their data centres; a name is empty if
// the data centre is unknown.
//
// Up to maxMeshInstances entry instances all connect to each other. In a larger
// deployment only those of one data centre do, and each follows every other data
// centre through one entry instance there. The number of connections then grows with
// the number of entry instances in a data centre and with the number of data centres,
// not with the number of all entry instances. The price is that the load of other
// data centres arrives about 100 ms later.
func planConnections(self core.Instance, known map[string]string) connectionPlan {
	plan := connectionPlan{peers: map[string]bool{}, followed: map[string][]string{}}
	mesh := len(known)+1 <= maxMeshInstances
	for addr, dataCentre := range known {
		if mesh || dataCentre == "" || dataCentre == self.DataCentre {
			plan.peers[addr] = true
			continue
		}
		plan.followed[dataCentre] = append(plan.followed[dataCentre], addr)
	}
	return plan
}

// chooseRelay returns the address of the entry instance through which self follows a
// data centre. A hash of self and the address orders addrs, which spreads the
// followers over the entry instances. failedAt holds when a connection to an address
// last failed: an address is passed over for relayRetryDelay. If all have failed, the
// one that failed first is chosen. addrs must not be empty.
func chooseRelay(self string, addrs []string, failedAt map[string]time.Time, now time.Time) string {
	sorted := append([]string(nil), addrs...)
	sort.Slice(sorted, func(i, j int) bool { return rank(self, sorted[i]) < rank(self, sorted[j]) })
	best := sorted[0]
	for _, addr := range sorted {
		failed, ok := failedAt[addr]
		if !ok || now.Sub(failed) >= relayRetryDelay {
			return addr
		}
		if failed.Before(failedAt[best]) {
			best = addr
		}
	}
	return best
}

// rank orders the candidates other for self.
func rank(self, other string) uint64 { return xxhash.Sum64String(self + " " + other) }
