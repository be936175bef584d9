package routing

import (
	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/process/eventlog"
	"github.com/rattanway/rattanway/version/declare"
)

// PinnedDigest implements Picker. It returns the digest of the declared version
// if at least half of the replicas have loaded this version. Otherwise it returns
// the digest of the version that most servers have loaded, so that the model
// stays available during a rollout.
func (r *Router) PinnedDigest(model string) (core.Digest, bool) {
	snapshot := r.configHolder.Current()
	m, ok := snapshot.Set.Models[model]
	if !ok {
		return "", false
	}
	serverCounts := r.countServersByDigest(snapshot.Set, model)
	declared := snapshot.Set.Versions[m.Version]
	if declared != nil && canTakeOver(serverCounts[declared.Manifest], m.Replicas) {
		r.recordPinnedDigest(model, declared.Manifest, declared.Manifest)
		return declared.Manifest, true
	}
	best := mostLoadedVersion(snapshot.Set, m, serverCounts)
	if best == "" {
		return "", false
	}
	if declared != nil {
		r.recordPinnedDigest(model, best, declared.Manifest)
	}
	return best, true
}

// AlternativeDigest implements Picker. During a rollout over servers that cannot
// hold two versions at once, some servers have the declared version, and others
// still have the previous version. Until every replica has loaded the declared
// version, AlternativeDigest returns the digest of the version that is not
// pinned.
func (r *Router) AlternativeDigest(model string, pinned core.Digest) (core.Digest, bool) {
	snapshot := r.configHolder.Current()
	m, ok := snapshot.Set.Models[model]
	if !ok {
		return "", false
	}
	declared := snapshot.Set.Versions[m.Version]
	serverCounts := r.countServersByDigest(snapshot.Set, model)
	if declared == nil || serverCounts[declared.Manifest] >= m.Replicas {
		return "", false
	}
	if pinned != declared.Manifest {
		return declared.Manifest, serverCounts[declared.Manifest] > 0
	}
	delete(serverCounts, pinned)
	alternative := mostLoadedVersion(snapshot.Set, m, serverCounts)
	return alternative, alternative != ""
}

// countServersByDigest returns the number of available servers that have loaded
// each version of model, by the digest of the version.
func (r *Router) countServersByDigest(set *declare.Set, model string) map[core.Digest]int {
	counts := map[core.Digest]int{}
	servers := r.reg.All()
	for i := range servers {
		s := &servers[i]
		if unavailableReason(set, s) != "" {
			continue
		}
		for _, l := range s.Report.Loaded {
			if l.Model == model {
				counts[l.Digest]++
			}
		}
	}
	return counts
}

// canTakeOver reports whether new calls may run on a version. serverCount is the
// number of servers that have loaded it; there must be at least one, and at least
// half as many as the model has replicas.
func canTakeOver(serverCount, replicaCount int) bool {
	return serverCount > 0 && 2*serverCount >= replicaCount
}

// mostLoadedVersion returns the digest of the version of m that is loaded on the
// most servers, or "" if none is loaded. Of versions with equally many servers it
// takes the one that m declares as current, or else the first by name.
func mostLoadedVersion(set *declare.Set, m *declare.Model, serverCounts map[core.Digest]int) core.Digest {
	var best *declare.Version
	for _, v := range set.Versions {
		if v.Model != m.Name || serverCounts[v.Manifest] == 0 {
			continue
		}
		if best == nil || isPreferred(m, v, best, serverCounts) {
			best = v
		}
	}
	if best == nil {
		return ""
	}
	return best.Manifest
}

// isPreferred reports whether mostLoadedVersion takes v rather than best. The
// version on more servers is preferred, then the version that m declares as
// current, then the first by name.
func isPreferred(m *declare.Model, v, best *declare.Version, serverCounts map[core.Digest]int) bool {
	if serverCounts[v.Manifest] != serverCounts[best.Manifest] {
		return serverCounts[v.Manifest] > serverCounts[best.Manifest]
	}
	if best.Name == m.Version || v.Name == m.Version {
		return v.Name == m.Version
	}
	return v.Name < best.Name
}

// recordPinnedDigest records pinned, the digest of the version on which new calls
// to model run. declared is the digest of the declared version. If the recorded
// digest changes and pinned differs from declared, the change is logged.
func (r *Router) recordPinnedDigest(model string, pinned, declared core.Digest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pinnedDigests[model] == pinned {
		return
	}
	r.pinnedDigests[model] = pinned
	if pinned == declared {
		return
	}
	r.log.Event(eventOlderVersionPinned, eventlog.Fields{
		"model": model, "digest": pinned.Short(), "declared": declared.Short(),
	})
}
