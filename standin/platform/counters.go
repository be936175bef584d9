package platform

import "sync"

// counters holds counters of requests and bytes for each store.
type counters struct {
	mu sync.Mutex
	// counts holds the counters by store and name.
	counts map[string]map[string]int64
}

// newCounters returns counters that are all zero.
func newCounters() *counters { return &counters{counts: map[string]map[string]int64{}} }

// add adds n to the counter with this name of a store.
func (c *counters) add(store, name string, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts[store] == nil {
		c.counts[store] = map[string]int64{}
	}
	c.counts[store][name] += int64(n)
}

// snapshot returns a copy of all counters by store and name. The names are reads,
// notModified, commits, conflicts, writes, refused, bytesIn and bytesOut.
func (c *counters) snapshot() map[string]map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := map[string]map[string]int64{}
	for store, counts := range c.counts {
		all[store] = map[string]int64{}
		for name, n := range counts {
			all[store][name] = n
		}
	}
	return all
}
