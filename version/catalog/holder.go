package catalog

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rattanway/rattanway/process/eventlog"
)

// Change is one decoded row of the platform's store. Exactly one of the parts
// is set; Removed says that the row is gone.
type Change struct {
	// Config is a new configuration.
	Config *Config
	// Server is a listed server, or its ID alone when it is removed.
	Server *Server
	// Out names a data centre that is taken out, or back when removed.
	Out string
	// Weights names declared weights.
	Weights *Weights
	// Removed says that the row was deleted.
	Removed bool
}

// Holder keeps the newest Snapshot. It is safe for concurrent use.
type Holder struct {
	log     *eventlog.Logger
	mu      sync.Mutex
	current atomic.Pointer[Snapshot]
	changed chan struct{}
}

// NewHolder returns a Holder of an empty snapshot.
func NewHolder(log *eventlog.Logger) *Holder {
	h := &Holder{log: log, changed: make(chan struct{})}
	h.current.Store(&Snapshot{})
	return h
}

// Current returns the newest snapshot.
func (h *Holder) Current() *Snapshot { return h.current.Load() }

// Changed returns a channel that is closed at the next change.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// Apply puts changes into force. With whole set they are the complete content
// of the operators' rows or, with servers set, of the list of servers, and
// what they do not name is removed.
func (h *Holder) Apply(changes []Change, whole, servers bool, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	next := h.copyOf()
	if whole && servers {
		next.Servers = map[string]*Server{}
		next.ServersKnown = true
	}
	if whole && !servers {
		next.Out = map[string]bool{}
	}
	before := h.current.Load()
	for i := range changes {
		h.apply(next, &changes[i], now)
	}
	next.index()
	h.noteServers(before, next)
	h.current.Store(next)
	close(h.changed)
	h.changed = make(chan struct{})
}

// copyOf returns a copy of the current snapshot that may be changed.
func (h *Holder) copyOf() *Snapshot {
	next := *h.current.Load()
	next.Servers = cloned(next.Servers)
	next.Out = cloned(next.Out)
	next.Weights = cloned(next.Weights)
	return &next
}

func cloned[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return map[K]V{}
	}
	return maps.Clone(m)
}

// apply puts one change into a snapshot that is being built.
func (h *Holder) apply(next *Snapshot, c *Change, now time.Time) {
	switch {
	case c.Config != nil:
		h.applyConfig(next, c.Config)
	case c.Server != nil && c.Removed:
		delete(next.Servers, c.Server.ID)
	case c.Server != nil:
		next.Servers[c.Server.ID] = c.Server
	case c.Out != "" && c.Removed:
		delete(next.Out, c.Out)
		h.log.Event(eventDataCentre, eventlog.Fields{"dataCentre": c.Out, "out": false})
	case c.Out != "":
		if !h.current.Load().Out[c.Out] {
			h.log.Event(eventDataCentre, eventlog.Fields{"dataCentre": c.Out, "out": true})
		}
		next.Out[c.Out] = true
	case c.Weights != nil && !c.Removed:
		h.applyWeights(next, *c.Weights, now)
	}
}

// applyConfig puts a configuration into force unless it is older.
func (h *Holder) applyConfig(next *Snapshot, c *Config) {
	if next.Config != nil && c.Version <= next.Config.Version {
		return
	}
	before := int64(0)
	if next.Config != nil {
		before = next.Config.Version
	}
	next.Config = c
	next.hosts = nil
	h.log.Event(eventConfig, eventlog.Fields{
		"number": c.Version, "before": before,
		"routes": len(c.Routes), "services": len(c.Services), "accounts": len(c.Accounts),
	})
}

// maxBefore is how many earlier versions of a model are remembered; versions
// are seconds apart at the least and due within seconds.
const maxBefore = 8

// applyWeights notes declared weights unless they are older.
func (h *Holder) applyWeights(next *Snapshot, w Weights, now time.Time) {
	old, ok := next.Weights[w.Model]
	if ok && w.Version <= old.Version {
		return
	}
	if ok {
		w.Before = append([]Weights{{Model: old.Model, Version: old.Version, Known: old.Known}}, old.Before...)
		w.Before = w.Before[:min(len(w.Before), maxBefore)]
	}
	if w.Known.IsZero() {
		w.Known = now
	}
	next.Weights[w.Model] = w
	h.log.Event(eventWeights, eventlog.Fields{
		"model": w.Model, "version": w.Version, "ageMs": now.Sub(w.Known).Milliseconds(),
	})
}

// Learn takes in since when a version is known elsewhere. It corrects a guess,
// adds an earlier version, and puts a newer one into force that the store has
// not told yet.
func (h *Holder) Learn(w Weights, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	next := h.copyOf()
	current, ok := next.Weights[w.Model]
	switch {
	case !ok || w.Version > current.Version:
		h.applyWeights(next, w, now)
	case w.Version == current.Version && (current.Guessed || earlier(w, current)):
		current.Known, current.Guessed = w.Known, false
		next.Weights[w.Model] = current
		h.log.Event(eventWeights, eventlog.Fields{
			"model": w.Model, "version": w.Version, "ageMs": now.Sub(w.Known).Milliseconds(), "told": true,
		})
	case w.Version < current.Version && addBefore(&current, w):
		next.Weights[w.Model] = current
	default:
		return
	}
	next.index()
	h.current.Store(next)
	close(h.changed)
	h.changed = make(chan struct{})
}

// learnTolerance is the difference between two accounts of a version's age that
// is put down to the time that messages take.
const learnTolerance = 100 * time.Millisecond

// earlier reports whether a version is told to be known for longer.
func earlier(told, current Weights) bool {
	return current.Known.Sub(told.Known) > learnTolerance
}

// addBefore adds an earlier version, or corrects since when it is known. It
// reports whether anything changed.
func addBefore(current *Weights, w Weights) bool {
	i, found := slices.BinarySearchFunc(current.Before, w.Version, func(o Weights, v int) int { return v - o.Version })
	if found && !earlier(w, current.Before[i]) || !found && len(current.Before) >= maxBefore {
		return false
	}
	before := slices.Clone(current.Before)
	if found {
		before[i].Known = w.Known
	} else {
		before = slices.Insert(before, i, w)
	}
	current.Before = before
	return true
}

// noteServers logs which servers came, changed their state or went.
func (h *Holder) noteServers(before, after *Snapshot) {
	for id, v := range after.Servers {
		old, ok := before.Servers[id]
		if ok && old.Leaving == v.Leaving && old.Addr == v.Addr && maps.Equal(old.Weights, v.Weights) {
			continue
		}
		h.log.Event(eventServer, eventlog.Fields{
			"server": id, "service": v.Service, "addr": v.Addr, "dataCentre": v.DataCentre,
			"leaving": v.Leaving, "weights": v.Weights,
		})
	}
	for id, v := range before.Servers {
		if _, ok := after.Servers[id]; !ok {
			h.log.Event(eventServerGone, eventlog.Fields{"server": id, "service": v.Service, "addr": v.Addr})
		}
	}
}
