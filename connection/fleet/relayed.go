package fleet

import (
	"github.com/rattanway/rattanway/connection/frame"
)

// LocalAgents returns the connected agents of the hub's data centre that have
// reported a state, by the address of their backend server.
func (h *Hub) LocalAgents() map[string]frame.RelayedAgent {
	h.mu.Lock()
	defer h.mu.Unlock()
	local := make(map[string]frame.RelayedAgent, len(h.agents))
	for server, a := range h.agents {
		if a.reported && a.hello.Instance.DataCentre == h.cfg.DataCentre {
			local[server] = frame.RelayedAgent{
				Instance: a.hello.Instance, ServerAddr: server, LoadedVersions: a.state.LoadedVersions, Loading: a.state.Loading, Proven: a.state.Proven,
			}
		}
	}
	return local
}

// UpdateRelayed updates the agents of another data centre, as an entry instance there
// reports them. agents holds those that are new or have changed, gone the addresses
// of the backend servers of those that have disconnected. If complete is true, agents
// holds all of them.
func (h *Hub) UpdateRelayed(dataCentre string, complete bool, agents []frame.RelayedAgent, gone []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	known := h.relayed[dataCentre]
	if known == nil {
		known = map[string]frame.RelayedAgent{}
		h.relayed[dataCentre] = known
	}
	listed := map[string]bool{}
	listChanged := false
	for _, a := range agents {
		listed[a.ServerAddr] = true
		listChanged = listChanged || known[a.ServerAddr].Instance != a.Instance
		known[a.ServerAddr] = a
		h.publishRelayed(a.ServerAddr, stateOf(a))
	}
	if complete {
		for server := range known {
			if !listed[server] {
				gone = append(gone, server)
			}
		}
	}
	for _, server := range gone {
		delete(known, server)
		h.publishRelayed(server, nil)
	}
	if listChanged || len(gone) > 0 {
		h.notifyChange()
	}
}

// DropRelayed removes all agents of another data centre.
func (h *Hub) DropRelayed(dataCentre string) { h.UpdateRelayed(dataCentre, true, nil, nil) }

// publishRelayed passes on the state of an agent of another data centre, unless the
// agent is connected to this entry instance. h.mu must be held.
func (h *Hub) publishRelayed(server string, state *frame.AgentState) {
	if h.agents[server] == nil {
		h.cfg.OnAgentState(server, state)
	}
}

// relayedState returns the state that an entry instance of another data centre has
// reported for the agent of a backend server; nil if there is none.
func (h *Hub) relayedState(server string) *frame.AgentState {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, agents := range h.relayed {
		if a, ok := agents[server]; ok {
			return stateOf(a)
		}
	}
	return nil
}

// stateOf returns the state that a relayed agent has reported.
func stateOf(a frame.RelayedAgent) *frame.AgentState {
	return &frame.AgentState{LoadedVersions: a.LoadedVersions, Loading: a.Loading, Proven: a.Proven}
}
