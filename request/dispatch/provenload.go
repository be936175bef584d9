package dispatch

import (
	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/version/catalog"
)

// provenLoads holds the last proven load of each server by the server's address. A proof
// stays valid after the agent that has found it has ended or disconnected.
type provenLoads map[string]*frame.ProvenLoad

// record records what the agent of the server at addr has proven. A proof of an earlier load of
// the same start of the server, which another entry instance may have relayed, and nil change
// nothing.
func (p provenLoads) record(addr string, load *frame.ProvenLoad) {
	old := p[addr]
	if load == nil || old != nil && old.StartUnixMs == load.StartUnixMs && old.Newer(load) {
		return
	}
	p[addr] = load
}

// version returns the version of a model that a server holds, and whether this version is
// proven. The server list tells which version a server has loaded, but not whether it
// loaded the right chunks; it may also be older than the proof. Without a proof for this
// start of the server, known is false.
func (p provenLoads) version(server *catalog.Server, model string) (version int, proven, known bool) {
	version = server.LoadedVersions[model]
	load := p[server.Addr]
	if load == nil || load.StartUnixMs != server.StartUnixMs {
		return version, false, false
	}
	if held := load.Versions[model]; version <= held {
		return held, true, true
	}
	return version, false, true
}

// prune removes the proofs of the servers that are neither listed nor have a connected agent.
func (p provenLoads) prune(listed map[string]*catalog.Server, agents map[string]agentReport) {
	if len(listed) == 0 {
		return // the list is not read yet
	}
	addrs := make(map[string]bool, len(listed))
	for _, server := range listed {
		addrs[server.Addr] = true
	}
	for addr := range p {
		if _, connected := agents[addr]; !connected && !addrs[addr] {
			delete(p, addr)
		}
	}
}

// ProvenLoad returns the last load of the server at addr that is known to be proven; nil if
// there is none.
func (s *Scheduler) ProvenLoad(addr string) *frame.ProvenLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.provenLoads[addr]
}
