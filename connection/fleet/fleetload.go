package fleet

import (
	"slices"
	"time"

	"github.com/rattanway/rattanway/connection/frame"
)

// maxLoadsAge is how long the load of the fleet is used again for other agents. It is
// counted over all servers, and several hundred agents may be connected.
const maxLoadsAge = 200 * time.Millisecond

// loadTimes measures how long servers load, from the order on.
type loadTimes struct {
	// since holds when the servers began that load at present, by address.
	since map[string]time.Time
	// mean is the moving mean of the last loads; 0 if there was none.
	mean time.Duration
}

// record records the state that an agent reports for its server.
func (t *loadTimes) record(server string, loading bool, now time.Time) {
	begun, ok := t.since[server]
	switch {
	case loading && !ok:
		t.since[server] = now
	case !loading && ok:
		delete(t.since, server)
		if t.mean == 0 {
			t.mean = now.Sub(begun)
		}
		t.mean += (now.Sub(begun) - t.mean) / 8
	}
}

// fleetLoad returns the load of the fleet for a heartbeat.
func (h *Hub) fleetLoad() frame.FleetLoad {
	if h.cfg.ServiceLoads == nil {
		return frame.FleetLoad{}
	}
	now := h.cfg.Clock.Now()
	h.mu.Lock()
	load, at, mean := h.lastLoad, h.lastLoadAt, h.loadTimes.mean
	h.mu.Unlock()
	if !at.IsZero() && now.Sub(at) < maxLoadsAge {
		return load
	}
	load = frame.FleetLoad{Services: slices.Clone(h.cfg.ServiceLoads())}
	for i := range load.Services {
		load.Services[i].LoadMs = mean.Milliseconds()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastLoad, h.lastLoadAt = load, now
	return load
}
