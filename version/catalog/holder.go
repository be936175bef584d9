package catalog

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rattanway/rattanway/process/eventlog"
)

// Change is one decoded row of the platform's store. Exactly one of the fields
// Config, Server, DataCentreOut and Weights is set.
type Change struct {
	// Config is a new configuration.
	Config *Config
	// Server is a listed backend server. When Removed is set, only the server's
	// ID is used.
	Server *Server
	// DataCentreOut is the name of a data centre. The data centre is taken out
	// of service or, when Removed is set, put back into service.
	DataCentreOut string
	// Weights is a declared version of a model's weights.
	Weights *Weights
	// Removed reports whether the row was deleted, or could not be decoded.
	Removed bool
	// From names the entry instance that sent the row, for the log; empty if the row was
	// read from the store.
	From string
}

// Holder publishes the newest Snapshot. It is safe for concurrent use.
type Holder struct {
	log     *eventlog.Logger
	mu      sync.Mutex
	current atomic.Pointer[Snapshot]
	changed chan struct{}
}

// NewHolder returns a Holder with an empty snapshot.
func NewHolder(log *eventlog.Logger) *Holder {
	h := &Holder{log: log, changed: make(chan struct{})}
	h.current.Store(&Snapshot{})
	return h
}

// Current returns the newest snapshot.
func (h *Holder) Current() *Snapshot { return h.current.Load() }

// Changed returns a channel that is closed when the next snapshot is published.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// Apply applies changes and publishes the resulting snapshot. If replaceAll is
// true, changes are the complete content of one table. Apply then first clears
// the list of servers if serverTable is true, and otherwise the list of data
// centres taken out of service.
func (h *Holder) Apply(changes []Change, replaceAll, serverTable bool, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	next := h.copyCurrent()
	if replaceAll && serverTable {
		next.Servers = map[string]*Server{}
		next.ServersKnown = true
	}
	if replaceAll && !serverTable {
		next.DataCentresOut = map[string]bool{}
	}
	before := h.current.Load()
	for i := range changes {
		h.applyChange(next, &changes[i], now)
	}
	next.buildIndexes()
	h.logServerChanges(before, next)
	h.current.Store(next)
	close(h.changed)
	h.changed = make(chan struct{})
}

// copyCurrent returns a copy of the current snapshot, which the caller may change.
func (h *Holder) copyCurrent() *Snapshot {
	next := *h.current.Load()
	next.Servers = cloneMap(next.Servers)
	next.DataCentresOut = cloneMap(next.DataCentresOut)
	next.Weights = cloneMap(next.Weights)
	return &next
}

// cloneMap returns a copy of m, or an empty map when m is nil.
func cloneMap[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return map[K]V{}
	}
	return maps.Clone(m)
}

// applyChange applies one change to next, a snapshot that is not published yet.
func (h *Holder) applyChange(next *Snapshot, c *Change, now time.Time) {
	switch {
	case c.Config != nil:
		h.applyConfig(next, c.Config, cmp.Or(c.From, "store"))
	case c.Server != nil && c.Removed:
		delete(next.Servers, c.Server.ID)
	case c.Server != nil:
		next.Servers[c.Server.ID] = c.Server
	case c.DataCentreOut != "" && c.Removed:
		delete(next.DataCentresOut, c.DataCentreOut)
		h.log.Event(eventDataCentre, eventlog.Fields{"dataCentre": c.DataCentreOut, "out": false})
	case c.DataCentreOut != "":
		if !h.current.Load().DataCentresOut[c.DataCentreOut] {
			h.log.Event(eventDataCentre, eventlog.Fields{"dataCentre": c.DataCentreOut, "out": true})
		}
		next.DataCentresOut[c.DataCentreOut] = true
	case c.Weights != nil && !c.Removed:
		h.applyWeights(next, *c.Weights, now)
	}
}

// applyConfig sets the configuration of next unless next has the same version or
// a newer one. from names its source, for the log.
func (h *Holder) applyConfig(next *Snapshot, c *Config, from string) {
	if next.Config != nil && c.Version <= next.Config.Version {
		return
	}
	before := int64(0)
	if next.Config != nil {
		before = next.Config.Version
	}
	next.Config = c
	next.routesByHost = nil
	h.log.Event(eventConfig, eventlog.Fields{
		"number": c.Version, "before": before, "from": from,
		"routes": len(c.Routes), "services": len(c.Services), "accounts": len(c.Accounts),
	})
}

// maxEarlierVersions is the number of earlier versions kept for each model.
// Versions are declared at least seconds apart and become required within
// seconds.
const maxEarlierVersions = 8

// applyWeights makes w the newest version of its model in next, unless next has
// the same version or a newer one.
func (h *Holder) applyWeights(next *Snapshot, w Weights, now time.Time) {
	old, ok := next.Weights[w.Model]
	if ok && w.Version <= old.Version {
		return
	}
	if ok {
		w.EarlierVersions = append([]Weights{{Model: old.Model, Version: old.Version, DeclaredAt: old.DeclaredAt, DeclaredAtEstimated: old.DeclaredAtEstimated}}, old.EarlierVersions...)
		w.EarlierVersions = w.EarlierVersions[:min(len(w.EarlierVersions), maxEarlierVersions)]
	}
	if w.DeclaredAt.IsZero() {
		w.DeclaredAt = now
	}
	next.Weights[w.Model] = w
	h.log.Event(eventWeights, eventlog.Fields{
		"model": w.Model, "version": w.Version, "ageMs": now.Sub(w.DeclaredAt).Milliseconds(),
	})
}

// MergeWeights merges w, a declared version that another process reported;
// w.DeclaredAt is the time at which that process received the declaration. If w
// is this process's newest version of the model, MergeWeights corrects the
// recorded DeclaredAt if this is only an estimate or is later than w.DeclaredAt.
// If w is an earlier version, MergeWeights adds w to EarlierVersions or corrects
// the DeclaredAt there. If w is newer, MergeWeights applies w even if the store
// has not delivered w yet.
func (h *Holder) MergeWeights(w Weights, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	next := h.copyCurrent()
	current, ok := next.Weights[w.Model]
	switch {
	case !ok || w.Version > current.Version:
		h.applyWeights(next, w, now)
	case w.Version == current.Version && (current.DeclaredAtEstimated || declaredEarlier(w, current)):
		current.DeclaredAt, current.DeclaredAtEstimated = w.DeclaredAt, false
		next.Weights[w.Model] = current
		h.log.Event(eventWeights, eventlog.Fields{
			"model": w.Model, "version": w.Version, "ageMs": now.Sub(w.DeclaredAt).Milliseconds(), "told": true,
		})
	case w.Version < current.Version && addEarlierVersion(&current, w):
		next.Weights[w.Model] = current
	default:
		return
	}
	next.buildIndexes()
	h.current.Store(next)
	close(h.changed)
	h.changed = make(chan struct{})
}

// ageTolerance is the largest difference between two declaration times of a
// version that is ignored, because the delivery time of messages can cause it.
const ageTolerance = 100 * time.Millisecond

// declaredEarlier reports whether reported.DeclaredAt is more than ageTolerance
// before current.DeclaredAt.
func declaredEarlier(reported, current Weights) bool {
	return current.DeclaredAt.Sub(reported.DeclaredAt) > ageTolerance
}

// addEarlierVersion adds w to current.EarlierVersions. If the version is already
// in the list, addEarlierVersion corrects the DeclaredAt there. It reports
// whether it changed anything.
func addEarlierVersion(current *Weights, w Weights) bool {
	i, found := slices.BinarySearchFunc(current.EarlierVersions, w.Version, func(earlier Weights, version int) int { return version - earlier.Version })
	if found && !current.EarlierVersions[i].DeclaredAtEstimated && !declaredEarlier(w, current.EarlierVersions[i]) || !found && len(current.EarlierVersions) >= maxEarlierVersions {
		return false
	}
	versions := slices.Clone(current.EarlierVersions)
	if found {
		versions[i].DeclaredAt, versions[i].DeclaredAtEstimated = w.DeclaredAt, false
	} else {
		versions = slices.Insert(versions, i, w)
	}
	current.EarlierVersions = versions
	return true
}

// logServerChanges logs the servers that were added, changed or removed between
// two snapshots.
func (h *Holder) logServerChanges(before, after *Snapshot) {
	for id, server := range after.Servers {
		old, ok := before.Servers[id]
		if ok && old.Leaving == server.Leaving && old.Addr == server.Addr && maps.Equal(old.LoadedVersions, server.LoadedVersions) {
			continue
		}
		h.log.Event(eventServer, eventlog.Fields{
			"server": id, "service": server.Service, "addr": server.Addr, "dataCentre": server.DataCentre,
			"leaving": server.Leaving, "weights": server.LoadedVersions,
		})
	}
	for id, server := range before.Servers {
		if _, ok := after.Servers[id]; !ok {
			h.log.Event(eventServerGone, eventlog.Fields{"server": id, "service": server.Service, "addr": server.Addr})
		}
	}
}
