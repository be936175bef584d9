package dispatch

import (
	"time"

	"github.com/rattanway/rattanway/connection/frame"
)

// agentReport is the latest report of an agent about its server.
type agentReport struct {
	state frame.AgentState
	// loadingSince is the time of the first report that the server is loading
	// weights, if all reports since then have said the same. It has no meaning while
	// the server is not loading.
	loadingSince time.Time
	// receivedAt is when the report arrived.
	receivedAt time.Time
}

// SetAgentState records the state that an agent reports for the server at addr;
// nil removes the recorded state, but not what the agent has proven.
func (s *Scheduler) SetAgentState(addr string, state *frame.AgentState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == nil {
		delete(s.agents, addr)
		return
	}
	loadingSince := s.agents[addr].loadingSince
	if !s.agents[addr].state.Loading {
		loadingSince = s.clock.Now()
	}
	s.agents[addr] = agentReport{*state, loadingSince, s.clock.Now()}
	s.provenLoads.record(addr, state.Proven, observedHere, s.changes)
	s.assignWaiting()
}
