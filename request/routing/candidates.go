package routing

import (
	"strconv"

	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/connection/registry"
	"github.com/rattanway/rattanway/process/eventlog"
	"github.com/rattanway/rattanway/version/declare"
)

// Reasons for which a registered server is not a candidate.
const (
	skipUndeclared    = "undeclared"
	skipSuspect       = "suspect" // missed heartbeats
	skipLeaving       = "leaving"
	skipDataCentreOut = "dataCentreOut"
	skipDown          = "down"
	skipHoldsOther    = "holdsOther" // other weights or another service
	skipTried         = "tried"
	skipEjected       = "ejected"
)

// nearlyFullRatio is the lowest load ratio (load divided by limit) at which a
// server counts as nearly full, so that calls go to more distant servers.
const nearlyFullRatio = 0.9

// distance classifies a server by its location relative to the entry instance.
type distance int

// The distances, nearest first.
const (
	sameDataCentre distance = iota
	sameRegion
	otherRegion
	distanceCount // the number of distances
)

// String returns the name of the distance in log lines.
func (d distance) String() string {
	return [...]string{"own data centre", "own region", "other region"}[d]
}

// candidate is a server that could run the call.
type candidate struct {
	server *registry.Server
	state  *serverState
	// load is the estimated number of calls at the server, running and queued.
	load     int
	distance distance
}

// hasFreeSlot reports whether the estimated load is below the server's limit.
func (c candidate) hasFreeSlot() bool { return c.load < c.server.Report.Limit }

// loadRatio returns the estimated load divided by the server's limit.
func (c candidate) loadRatio() float64 {
	return float64(c.load) / float64(max(1, c.server.Report.Limit))
}

// isColdOrWarming reports whether the server started recently or turned cold, and
// does not have its full limit yet.
func (c candidate) isColdOrWarming() bool {
	return c.server.Report.State == frame.StateCold || c.server.Report.State == frame.StateWarming
}

// candidateSet holds the candidates for one routing decision.
type candidateSet struct {
	// configNumber is the number of the configuration that was used.
	configNumber uint64
	candidates   []candidate
	// skippedCounts holds the number of skipped servers by the reason for skipping
	// them.
	skippedCounts map[string]int
}

// fields returns the log fields that describe the query and the candidates.
func (s candidateSet) fields(q Query) eventlog.Fields {
	f := eventlog.Fields{
		"request":    q.RequestID,
		"config":     s.configNumber,
		"candidates": len(s.candidates),
		"skipped":    s.skippedCounts,
		"attempt":    len(q.TriedServers) + 1,
	}
	if q.Service != "" {
		f["service"] = q.Service
		return f
	}
	f["model"] = q.Model
	f["digest"] = q.Digest.Short()
	return f
}

// findCandidates divides the registered servers into candidates and skipped
// servers. Ejected servers are skipped, but if there is no other candidate, they
// are the candidates. The caller holds r.mu.
func (r *Router) findCandidates(q Query) candidateSet {
	snapshot := r.configHolder.Current()
	found := candidateSet{configNumber: snapshot.Number, skippedCounts: map[string]int{}}
	var ejected []candidate
	now := r.clock.Now()
	servers := r.reg.All()
	found.candidates = make([]candidate, 0, len(servers))
	for i := range servers {
		s := &servers[i]
		reason := skipReason(snapshot.Set, s, q)
		if reason != "" {
			found.skippedCounts[reason]++
			continue
		}
		state := r.stateOf(s)
		c := candidate{server: s, state: state, load: state.estimatedLoad(s), distance: r.distanceTo(s)}
		if state.ejection.excludes(now) {
			found.skippedCounts[skipEjected]++
			ejected = append(ejected, c)
			continue
		}
		found.candidates = append(found.candidates, c)
	}
	if len(found.candidates) == 0 {
		found.candidates = ejected
	}
	return found
}

// estimatedLoad returns the estimated number of calls at s. This is the number
// that s last reported, plus the attempts that this entry instance has started
// since the report, minus those that have ended since the report. The result is
// at least the number of running attempts of this entry instance.
func (state *serverState) estimatedLoad(s *registry.Server) int {
	estimate := s.Report.InFlight + s.Report.Queued + state.inFlight - state.inFlightAtReport
	return max(estimate, state.inFlight)
}

// skipReason returns the reason for which s is not a candidate for q, or "" if
// there is none. It does not consider whether s is ejected.
func skipReason(set *declare.Set, s *registry.Server, q Query) string {
	if reason := unavailableReason(set, s); reason != "" {
		return reason
	}
	if q.TriedServers[s.Instance.ID] {
		return skipTried
	}
	if q.Service != "" && s.Service == q.Service {
		return ""
	}
	if q.Service == "" && s.Service == "" && s.HasLoaded(q.Model, q.Digest) {
		return ""
	}
	return skipHoldsOther
}

// unavailableReason returns the reason for which s must not get any new call, or
// "" if there is none. It does not consider whether s is ejected.
func unavailableReason(set *declare.Set, s *registry.Server) string {
	declared, ok := set.BackendServers[s.Instance.ID]
	if !ok {
		return skipUndeclared
	}
	if s.Suspect {
		return skipSuspect
	}
	if declared.Leaving || s.Instance.Leaving || s.Report.State == frame.StateLeaving {
		return skipLeaving
	}
	if dc, ok := set.DataCentres[s.Instance.DataCentre]; !ok || dc.Out {
		return skipDataCentreOut
	}
	if s.Report.State == frame.StateDown || s.Report.Limit <= 0 {
		return skipDown
	}
	return ""
}

func (r *Router) distanceTo(s *registry.Server) distance {
	if s.Instance.DataCentre == r.config.Self.DataCentre {
		return sameDataCentre
	}
	if s.Instance.Region == r.config.Self.Region {
		return sameRegion
	}
	return otherRegion
}

// choose picks a candidate and returns the reason for the choice, or false if
// there is no candidate. It prefers the nearest servers that are not nearly full,
// then any server with a free slot. If no server has a free slot, it picks among
// the servers that are neither cold nor warming, because the agent of such a
// server may queue the call. If all servers are cold or warming, it picks among
// these. For the second and further attempts of a call, near servers are not
// preferred: the reported loads do not yet include the latest calls of other
// entry instances, so that near servers may have less free capacity than was
// reported. The caller holds r.mu.
func (r *Router) choose(q Query, found candidateSet) (candidate, string, bool) {
	if len(found.candidates) == 0 {
		return candidate{}, "no candidate", false
	}
	for d := sameDataCentre; d < distanceCount && len(q.TriedServers) == 0; d++ {
		atDistance := filter(found.candidates, func(c candidate) bool { return c.distance == d && c.loadRatio() < nearlyFullRatio })
		if len(atDistance) > 0 {
			c, reason := r.applyPolicy(q, atDistance)
			return c, d.String() + ", " + reason, true
		}
	}
	if withFreeSlot := filter(found.candidates, candidate.hasFreeSlot); len(withFreeSlot) > 0 {
		c, reason := r.applyPolicy(q, withFreeSlot)
		return c, "any with a free slot, " + reason, true
	}
	fullyWarm := filter(found.candidates, func(c candidate) bool { return !c.isColdOrWarming() })
	if len(fullyWarm) == 0 {
		fullyWarm = found.candidates
	}
	q.Prefix = 0 // a shorter wait for a slot matters more than a cached prefix
	c, reason := r.applyPolicy(q, fullyWarm)
	return c, "none has a free slot, " + reason, true
}

// applyPolicy chooses among equally preferred candidates, by prefix affinity if
// possible and otherwise by the configured policy. It returns the reason for the
// choice, too.
func (r *Router) applyPolicy(q Query, candidates []candidate) (candidate, string) {
	n := len(candidates)
	if n == 1 {
		return candidates[0], "only one"
	}
	if r.config.PrefixAffinity && q.Prefix != 0 {
		if c, ok := pickByPrefix(q.Prefix, candidates); ok {
			return c, "prefix affinity, one of " + strconv.Itoa(n)
		}
	}
	switch r.config.Policy {
	case PolicyRandom:
		return candidates[r.rng.IntN(n)], "random of " + strconv.Itoa(n)
	case PolicyRoundRobin:
		r.roundRobinCount++
		return nextRoundRobin(candidates, r.roundRobinCount), "next of " + strconv.Itoa(n)
	case PolicyLeastLoaded:
		return leastLoaded(candidates), "least loaded of " + strconv.Itoa(n)
	}
	i := r.rng.IntN(n)
	j := (i + 1 + r.rng.IntN(n-1)) % n
	if candidates[j].loadRatio() < candidates[i].loadRatio() {
		i, j = j, i
	}
	return candidates[i], "less loaded than " + candidates[j].server.Instance.ID
}

// leastLoaded returns the first of the candidates with the lowest load ratio.
func leastLoaded(candidates []candidate) candidate {
	best := candidates[0]
	for _, c := range candidates[1:] {
		if c.loadRatio() < best.loadRatio() {
			best = c
		}
	}
	return best
}

// nextRoundRobin returns the candidate for the round-robin choice with the number
// choiceCount. The candidates take turns in the order of the servers' IDs.
func nextRoundRobin(candidates []candidate, choiceCount int) candidate {
	position := choiceCount % len(candidates)
	for _, c := range candidates {
		smallerIDCount := 0
		for _, other := range candidates {
			if other.server.Instance.ID < c.server.Instance.ID {
				smallerIDCount++
			}
		}
		if smallerIDCount == position {
			return c
		}
	}
	return candidates[0]
}

func filter(candidates []candidate, keep func(candidate) bool) []candidate {
	var kept []candidate
	for _, c := range candidates {
		if keep(c) {
			kept = append(kept, c)
		}
	}
	return kept
}
