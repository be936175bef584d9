package spread

import (
	"time"

	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/process/eventlog"
)

// maxRankingAge is how long a ranking is used before it is computed again from
// the current peers.
const maxRankingAge = time.Second

// inRegion reports whether p is in this agent's region.
func (s *Swarm) inRegion(p Peer) bool { return p.Region == s.cfg.Self.Region }

// inDataCentre reports whether p is in this agent's data centre.
func (s *Swarm) inDataCentre(p Peer) bool {
	return p.DataCentre == s.cfg.Self.DataCentre && p.Region == s.cfg.Self.Region
}

// ranking returns the ranking of the agents that need or hold a version.
func (s *Swarm) ranking(version core.Digest) *ranking {
	s.mu.Lock()
	v, ok := s.fetches[version]
	s.mu.Unlock()
	if !ok {
		return newRanking(s.cfg.Peers(version))
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	now := s.clock.Now()
	if v.ranking == nil || now.Sub(v.rankedAt) >= maxRankingAge {
		v.ranking = newRanking(v.peers())
		v.rankedAt = now
	}
	return v.ranking
}

// ownerCandidates returns the agents that may own an object: of the agents that
// satisfy include and are not suspected, the first Config.MaxOwners in the order of
// the ranking.
func (s *Swarm) ownerCandidates(o object, include func(Peer) bool) []Peer {
	eligible := func(p Peer) bool { return include(p) && !s.isSuspected(p.Addr) }
	return s.ranking(o.version).topPeers(o.digest, s.cfg.MaxOwners, eligible)
}

// isSuspected reports whether the peer at addr is currently suspected. Suspected
// peers are skipped.
func (s *Swarm) isSuspected(addr string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	until, ok := s.suspects[addr]
	if ok && !s.clock.Now().Before(until) {
		delete(s.suspects, addr)
		return false
	}
	return ok
}

// markSuspect marks the peer at addr as suspected for Config.SuspectPeriod.
func (s *Swarm) markSuspect(addr string, err error) {
	s.mu.Lock()
	_, already := s.suspects[addr]
	s.suspects[addr] = s.clock.Now().Add(s.cfg.SuspectPeriod)
	s.mu.Unlock()
	if !already {
		s.log.EventWithError(eventPeerSuspect, err, eventlog.Fields{"peer": addr})
	}
}

// clearSuspicion ends the suspicion of a peer that sent a complete object.
func (s *Swarm) clearSuspicion(addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.suspects, addr)
}
