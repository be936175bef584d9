package dispatch

import (
	"time"

	"github.com/rattanway/rattanway/version/catalog"
)

// Exclusion is why a server does not get a request. The decision about a slot and
// [Scheduler.Explain] take it from the same functions.
type Exclusion uint8

// The reasons, in the order in which they are examined.
const (
	NotExcluded Exclusion = iota
	// Leaving means that the list or the server itself says that it will stop.
	Leaving
	// DataCentreOut means that operators have taken the data centre out of service.
	DataCentreOut
	// AlreadyTried means that the request must not go to this server again.
	AlreadyTried
	// RouteRegion and AccountRegion mean that the route or the client account does not
	// allow the region.
	RouteRegion
	AccountRegion
	// LoadingWeights means that the server's agent loads weights there.
	LoadingWeights
	// NoWeights means that the server holds no weights of the model, WeightsOutdated that it
	// holds a version that may not be used any more, and OtherVersion that the request needs
	// another version.
	NoWeights
	WeightsOutdated
	OtherVersion
	// LoadUnproven means that the server's agent is not connected, and that no agent is known
	// to have proven that the server loaded the right weights.
	LoadUnproven
	// Backoff means that attempts there have failed or were refused just before.
	Backoff
	// ServerStalled means that the server has sent nothing for too long while it runs requests
	// of this entry instance; see [StallDetector].
	ServerStalled
	// Unheard means that the server has sent nothing since an attempt there stalled, and runs
	// a request that finds out whether it goes on.
	Unheard
	// OverNamedLimit means that this entry instance has used up its share of the limit of
	// requests that the server names.
	OverNamedLimit
	// ServerPaused means that the server has asked for a pause.
	ServerPaused
	// OverColdLimit means that this entry instance has used up its share of the requests per
	// second that a cold server takes.
	OverColdLimit
	// NoFreeSlot means that the server runs as many requests as its limit allows.
	NoFreeSlot
	// SlotsReserved means that the free slots are kept for more urgent requests.
	SlotsReserved
	// LeftToOthers means that other entry instances may have taken the free slots; see
	// [BurstLimiter].
	LeftToOthers
)

var exclusionTexts = [...]string{
	"", "leaving", "data centre out", "already tried", "region not allowed by the route", "region not allowed by the client account",
	"loading weights", "no weights", "weights outdated", "other weights", "load not proven", "backoff", "stalled", "unheard since a stall",
	"over the limit that it names", "paused", "over the cold limit", "full", "reserved", "deferred",
}

// String returns the reason as operators read it; it is empty for NotExcluded.
func (e Exclusion) String() string { return exclusionTexts[e] }

// maxRequestsAt returns how many requests may be at a server at once.
func maxRequestsAt(server *catalog.Server) int { return server.Slots + maxServerQueueLength }

// allowed reports whether a server may get a request, apart from the weights that the
// server holds and from its load. The caller holds s.mu.
func (s *Scheduler) allowed(server *catalog.Server, req *Request, snapshot *catalog.Snapshot) bool {
	return s.exclusionByRule(server, req, snapshot) == NotExcluded
}

// exclusionByRule returns why a server may not get a request, apart from the weights that
// the server holds and from its load. The caller holds s.mu.
func (s *Scheduler) exclusionByRule(server *catalog.Server, req *Request, snapshot *catalog.Snapshot) Exclusion {
	region := s.cfg.Regions[server.DataCentre]
	switch {
	case server.Leaving || s.notices.leaving(server):
		return Leaving
	case snapshot.DataCentresOut[server.DataCentre]:
		return DataCentreOut
	case req.TriedServers[server.ID] || req.OnlyServers != nil && !req.OnlyServers[server.ID]:
		return AlreadyTried
	case !catalog.RegionAllowed(req.RouteRegions, region):
		return RouteRegion
	case !catalog.RegionAllowed(req.AccountRegions, region):
		return AccountRegion
	}
	return NotExcluded
}

// usableVersion returns the version of the request's model that a server holds,
// and whether the request may run on this server. For a plain service the version
// is 0. The caller holds s.mu.
func (s *Scheduler) usableVersion(server *catalog.Server, req *Request, snapshot *catalog.Snapshot, now time.Time) (int, bool) {
	version, excluded := s.exclusionByWeights(server, req, snapshot, now)
	return version, excluded == NotExcluded
}

// exclusionByWeights returns the version of the request's model that a server holds, and why
// the request may not run on it. The caller holds s.mu.
func (s *Scheduler) exclusionByWeights(server *catalog.Server, req *Request, snapshot *catalog.Snapshot, now time.Time) (int, Exclusion) {
	if req.Model == "" {
		return 0, NotExcluded
	}
	version, proven := s.provenLoads.version(server, req.Model)
	if agent, ok := s.agents[server.Addr]; ok {
		// The report of the server's own agent is newer than the server list.
		version = agent.state.LoadedVersions[req.Model]
		if agent.state.Loading {
			return version, LoadingWeights
		}
		proven = true
	}
	switch {
	case version == 0:
		return 0, NoWeights
	case req.Version != 0 && req.Version != version:
		return version, OtherVersion
	case version < s.minVersion(req, snapshot, now):
		return version, WeightsOutdated
	case !proven:
		return version, LoadUnproven
	}
	return version, NotExcluded
}

// minVersion returns the oldest version of the weights on which a request may run.
func (s *Scheduler) minVersion(req *Request, snapshot *catalog.Snapshot, now time.Time) int {
	if req.WeightsUntil.After(now) {
		now = req.WeightsUntil
	}
	return snapshot.Weights[req.Model].MinVersion(now, s.cfg.WeightsDueAfter)
}

// exclusionByState returns why the server of a candidate must not get a request now, apart
// from its load. service may be nil. The caller holds s.mu.
func (s *Scheduler) exclusionByState(c *Candidate, st *serverState, req *Request, service *catalog.Service, now time.Time) Exclusion {
	server := c.Slot.Server
	switch {
	case st.health.InBackoff(now):
		return Backoff
	case st.stallDetector.Stalled(now, st.runningCount, req.FirstByteObjective):
		return ServerStalled
	case !st.allowsUnheard(req, now):
		return Unheard
	case !s.limitAllows(st, server, now):
		return OverNamedLimit
	case !c.PausedUntil.IsZero():
		return ServerPaused
	case service != nil && service.ColdRequestsPerSecond > 0 && server.Cold(now) &&
		!st.coldRateLimiter.Allows(now, coldWindow, service.ColdRequestsPerSecond, s.knownEntryInstanceCount(), s.shareRankAt(server)):
		return OverColdLimit
	}
	return NotExcluded
}

// exclusionByLoad returns why a candidate has no free slot. limit is its limit without the
// slots that are reserved for more urgent requests.
func (c *Candidate) exclusionByLoad(limit int) Exclusion {
	switch {
	case c.hasFreeSlot():
		return NotExcluded
	case c.Excluded != NotExcluded:
		return c.Excluded
	case c.Slot.RunningCount >= limit:
		return NoFreeSlot
	case c.full():
		return SlotsReserved
	}
	return LeftToOthers
}
