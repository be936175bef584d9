package routing

import (
	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/process/eventlog"
	"github.com/rattanway/rattanway/version/declare"
)

// Pin implements Picker. It is the declared version once half of the
// replicas hold it; until then it is the version of the model that most
// servers hold, so that a new version takes over without a gap.
func (r *Router) Pin(model string) (core.Digest, bool) {
	snapshot := r.holder.Current()
	m, ok := snapshot.Set.Models[model]
	if !ok {
		return "", false
	}
	holders := r.holders(snapshot.Set, model)
	declared := snapshot.Set.Versions[m.Version]
	if declared != nil && enough(holders[declared.Manifest], m.Replicas) {
		r.notePin(model, declared.Manifest, declared.Manifest)
		return declared.Manifest, true
	}
	best := mostHeld(snapshot.Set, m, holders)
	if best == "" {
		return "", false
	}
	if declared != nil {
		r.notePin(model, best, declared.Manifest)
	}
	return best, true
}

// Alternative implements Picker. It answers a rollout over servers that have no
// room for two versions: the declared version and the one that it replaces
// share the servers until every replica holds the declared one.
func (r *Router) Alternative(model string, pinned core.Digest) (core.Digest, bool) {
	snapshot := r.holder.Current()
	m, ok := snapshot.Set.Models[model]
	if !ok {
		return "", false
	}
	declared := snapshot.Set.Versions[m.Version]
	holders := r.holders(snapshot.Set, model)
	if declared == nil || holders[declared.Manifest] >= m.Replicas {
		return "", false
	}
	if pinned != declared.Manifest {
		return declared.Manifest, holders[declared.Manifest] > 0
	}
	delete(holders, pinned)
	other := mostHeld(snapshot.Set, m, holders)
	return other, other != ""
}

// holders counts, by digest, the servers that can answer for model.
func (r *Router) holders(set *declare.Set, model string) map[core.Digest]int {
	count := map[core.Digest]int{}
	servers := r.reg.All()
	for i := range servers {
		s := &servers[i]
		if closedReason(set, s) != "" {
			continue
		}
		for _, l := range s.Report.Loaded {
			if l.Model == model {
				count[l.Digest]++
			}
		}
	}
	return count
}

// enough reports whether a version stands on enough servers to take over.
func enough(holders, replicas int) bool {
	return holders > 0 && 2*holders >= replicas
}

// mostHeld returns the declared version that most servers hold; at a tie the
// model's own version, then the first by name.
func mostHeld(set *declare.Set, m *declare.Model, holders map[core.Digest]int) core.Digest {
	var best *declare.Version
	for _, v := range set.Versions {
		if v.Model != m.Name || holders[v.Manifest] == 0 {
			continue
		}
		if best == nil || preferred(m, v, best, holders) {
			best = v
		}
	}
	if best == nil {
		return ""
	}
	return best.Manifest
}

func preferred(m *declare.Model, v, best *declare.Version, holders map[core.Digest]int) bool {
	if holders[v.Manifest] != holders[best.Manifest] {
		return holders[v.Manifest] > holders[best.Manifest]
	}
	if best.Name == m.Version || v.Name == m.Version {
		return v.Name == m.Version
	}
	return v.Name < best.Name
}

// notePin logs when a model comes to be answered by a version other than the
// declared one.
func (r *Router) notePin(model string, pin, declared core.Digest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pinned[model] == pin {
		return
	}
	r.pinned[model] = pin
	if pin == declared {
		return
	}
	r.log.Event(eventOlderVersion, eventlog.Fields{
		"model": model, "digest": pin.Short(), "declared": declared.Short(),
	})
}
