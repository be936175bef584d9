package dispatch

import (
	"cmp"
	"slices"

	"github.com/rattanway/rattanway/connection/frame"
)

// ServiceLoads returns the load of the services with model servers, by the requests of
// all entry instances. Servers that leave and those of data centres that are out are not
// counted.
func (s *Scheduler) ServiceLoads() []frame.ServiceLoad {
	snapshot := s.holder.Current()
	if snapshot.Config == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers.expire(s.clock.Now())
	var loads []frame.ServiceLoad
	for name, service := range snapshot.Config.Services {
		if service.Engine == nil {
			continue
		}
		load := frame.ServiceLoad{Service: name}
		for _, server := range snapshot.ServersOf(name) {
			if server.Leaving || snapshot.DataCentresOut[server.DataCentre] {
				continue
			}
			load.Servers++
			if s.agents[server.Addr].state.Loading {
				load.Loading++
				continue
			}
			load.Slots += server.Slots
			if st, ok := s.servers[server.ID]; ok {
				load.Running += st.runningCount
			}
			load.Running += s.peers.running(server.ID)
		}
		loads = append(loads, load)
	}
	slices.SortFunc(loads, func(a, b frame.ServiceLoad) int { return cmp.Compare(a.Service, b.Service) })
	return loads[:min(len(loads), frame.MaxServiceLoads)]
}
