package dispatch

import (
	"time"

	"github.com/rattanway/rattanway/version/catalog"
)

// demandMemory is the time after which a server is in demand no longer, unless it is
// known to be so again.
const demandMemory = 5 * demandWindow

// seenWeights is a version of the weights that a server holds.
type seenWeights struct {
	version int
	// since is when a request first found the version there.
	since time.Time
}

// burstAllows reports whether this entry instance may send one more request to a server
// with freeSlotCount free slots before it hears how many the others have sent. version
// is the version of the weights there. The caller holds s.mu.
func (s *Scheduler) burstAllows(st *serverState, server *catalog.Server, req *Request, version, freeSlotCount int, now time.Time) bool {
	remote := server.DataCentre != s.cfg.DataCentre
	count := s.peers.activeCount(remote)
	if freeSlotCount != maxServerQueueLength {
		st.lastPlaceSince = time.Time{}
	} else if st.lastPlaceSince.IsZero() {
		st.lastPlaceSince = now
	}
	if age := s.demandAge(st, req, version, now); age < demandMemory {
		return st.burstLimiter.AllowsInDemand(now, freeSlotCount, count, s.shareRankAt(server), age, remote)
	}
	return st.burstLimiter.Allows(now, freeSlotCount, count)
}

// demandAge returns the time since other entry instances probably wanted the slots of a
// server with weights as well: since it became ready with a version of them, since all
// its slots but the one in its queue were found taken, or since all servers were full
// when a request here needed one. It is demandMemory if that is longer ago, and for a
// plain service. The caller holds s.mu.
func (s *Scheduler) demandAge(st *serverState, req *Request, version int, now time.Time) time.Duration {
	if req.Model == "" {
		return demandMemory
	}
	age := min(demandMemory, now.Sub(st.weightsSince(req.Model, version, now)))
	if !st.lastPlaceSince.IsZero() {
		age = min(age, now.Sub(st.lastPlaceSince))
	}
	if shortAt, ok := s.shortAt[req.Service]; ok {
		age = min(age, now.Sub(shortAt))
	}
	return age
}

// weightsSince returns since when a version of a model's weights is known to be at the
// server.
func (st *serverState) weightsSince(model string, version int, now time.Time) time.Time {
	seen, ok := st.seenWeights[model]
	if !ok || seen.version != version {
		if st.seenWeights == nil {
			st.seenWeights = map[string]seenWeights{}
		}
		seen = seenWeights{version, now}
		st.seenWeights[model] = seen
	}
	return seen.since
}

// recordShortage records that a request of a service needs a server while all of them
// are full or none can run it. The caller holds s.mu.
func (s *Scheduler) recordShortage(service string, candidates []Candidate, now time.Time) {
	for i := range candidates {
		if !candidates[i].full() {
			return
		}
	}
	s.shortAt[service] = now
}
