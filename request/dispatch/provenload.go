package dispatch

import (
	"maps"
	"time"

	"github.com/go-faster/errors"

	"github.com/rattanway/rattanway/connection/exchange"
	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/version/catalog"
)

const (
	// proofWait is the time after the start of this entry instance in which agents that are
	// there connect and report. Until then, a request may wait for a server whose load is not
	// proven. Agents dial again every 0.3 s at the latest.
	proofWait = time.Second
	// maxProvenModels is the largest number of models in a proof that a peer reports.
	maxProvenModels = 64
	// maxServerAddrLength is the longest address of a server in a peer's report, in bytes.
	maxServerAddrLength = 64
)

// provenLoad is the last proven load of a server.
type provenLoad struct {
	load frame.ProvenLoad
	changeMark
}

func (p *provenLoad) clone() *provenLoad {
	c := *p
	c.load.Versions = maps.Clone(p.load.Versions)
	return &c
}

// provenLoads holds the last proven load of each server by the server's address. A proof
// stays valid after the agent that has found it has ended or disconnected, and any entry
// instance may report it.
type provenLoads map[string]*provenLoad

// record records a proof that o has observed, and reports whether it is new. Only the server's
// own agent, and not a peer, replaces the proof of a later start or load by that of an earlier
// one; nil and a proof of an earlier load of the same start change nothing.
func (p provenLoads) record(addr string, load *frame.ProvenLoad, o observer, changes *changeCounter) bool {
	if load == nil {
		return false
	}
	if old := p[addr]; old != nil {
		sameStart := old.load.StartUnixMs == load.StartUnixMs
		if load.Equal(&old.load) || (sameStart || o != observedHere) && !load.Newer(&old.load) {
			return false
		}
	}
	entry := &provenLoad{load: *load}
	changes.mark(&entry.changeMark, o)
	p[addr] = entry
	return true
}

// version returns the version of a model that a server holds, and whether this version is
// proven. The server list tells which version a server has loaded, but not whether it loaded the
// right chunks; it may also be older than the proof.
func (p provenLoads) version(server *catalog.Server, model string) (version int, proven bool) {
	version = server.LoadedVersions[model]
	entry := p[server.Addr]
	if entry == nil || entry.load.StartUnixMs != server.StartUnixMs {
		return version, false
	}
	if held := entry.load.Versions[model]; version <= held {
		return held, true
	}
	return version, false
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

// changedSince returns the proofs that have changed since the change with number since, for
// peers.
func (p provenLoads) changedSince(since uint64, scope exchange.EvidenceScope) []frame.ServerLoad {
	var changed []frame.ServerLoad
	for addr, entry := range p {
		if entry.lastChange(scope) > since {
			changed = append(changed, frame.ServerLoad{ServerAddr: addr, Load: entry.load})
		}
	}
	return changed
}

// ProvenLoad returns the last load of the server at addr that is known to be proven; nil if
// there is none.
func (s *Scheduler) ProvenLoad(addr string) *frame.ProvenLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	if entry := s.provenLoads[addr]; entry != nil {
		return &entry.load
	}
	return nil
}

// mergeProvenLoads applies the proofs that o reports. The error names the first invalid value.
// The caller holds s.mu.
func (s *Scheduler) mergeProvenLoads(loads []frame.ServerLoad, o observer) error {
	var invalid error
	changed := false
	for _, l := range loads {
		switch {
		case l.ServerAddr == "" || len(l.ServerAddr) > maxServerAddrLength:
			invalid = errors.Errorf("address of a server with a proven load has %d bytes, allowed are 1 to %d", len(l.ServerAddr), maxServerAddrLength)
		case len(l.Load.Versions) > maxProvenModels:
			invalid = errors.Errorf("proven load of server %s has %d models, allowed are %d", l.ServerAddr, len(l.Load.Versions), maxProvenModels)
		default:
			changed = s.provenLoads.record(l.ServerAddr, &l.Load, o, s.changes) || changed
		}
	}
	if changed {
		s.assignWaiting()
	}
	return invalid
}

// awaitsProof reports whether a request may wait for a server because its load is not proven
// yet: this entry instance has just started. The caller holds s.mu.
func (s *Scheduler) awaitsProof(excluded Exclusion, now time.Time) bool {
	return excluded == LoadUnproven && now.Sub(s.startedAt) < proofWait
}
