// Package instances polls the platform's list of instances, which lags behind the
// real state of the instances, and keeps the last known list while the platform is
// unreachable.
package instances

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/process/eventlog"
	"github.com/rattanway/rattanway/process/platform"
)

// DefaultInterval is the default of Config.Interval.
const DefaultInterval = 2 * time.Second

var (
	eventListChanged = eventlog.Define(601, "instances-changed", logrus.InfoLevel,
		"The list of live and leaving instances changed.")
	eventListReadFailed = eventlog.Define(602, "instances-unread", logrus.WarnLevel,
		"The list of instances could not be read from the platform; the last known one stays in use.")
)

// Fallback reads the list of instances from a peer. The Watcher calls it when it
// could not read the list from the platform.
type Fallback func(ctx context.Context) ([]core.Instance, error)

// Config holds the settings of a Watcher.
type Config struct {
	// Interval is the time between two reads of the list. Default 2 s.
	Interval time.Duration
	// Seeds are the instances that All returns until the first list has been read.
	Seeds []core.Instance
	// RemovalDelay is how long an instance that is missing from the list is
	// kept. An instance that the previous list marked as leaving is not kept.
	// Default 60 s.
	RemovalDelay time.Duration
	// MassRemovalDelay is used instead of RemovalDelay when more than half of the
	// instances are missing from the list at once. Default 10 min.
	MassRemovalDelay time.Duration
	// Clock is the source of time; nil means the system clock.
	Clock clockwork.Clock
}

// applyDefaults sets the fields that are not set to their defaults.
func (c *Config) applyDefaults() {
	core.SetDefault(&c.Interval, DefaultInterval)
	core.SetDefault(&c.RemovalDelay, defaultRemovalDelay)
	core.SetDefault(&c.MassRemovalDelay, defaultMassRemovalDelay)
	if c.Clock == nil {
		c.Clock = clockwork.NewRealClock()
	}
}

// Watcher polls the list of instances and holds the last known list. It is safe
// for concurrent use.
type Watcher struct {
	cfg      Config
	source   platform.InstanceLister
	fallback Fallback
	log      *eventlog.Logger

	mu sync.RWMutex
	// list holds the listed instances and the missing ones that are kept.
	list []core.Instance
	// missing holds, by ID, the missing instances that are kept.
	missing map[string]missingInstance
	// tag is the tag of the platform's list read last.
	tag string
	// changed is closed when list changes.
	changed chan struct{}
	// failing is true if the last read from the platform failed.
	failing bool
}

// NewWatcher returns a Watcher that holds cfg.Seeds until Run has read a list
// from source. fallback may be nil.
func NewWatcher(cfg Config, source platform.InstanceLister, fallback Fallback, log *eventlog.Logger) *Watcher {
	cfg.applyDefaults()
	return &Watcher{
		cfg:      cfg,
		source:   source,
		fallback: fallback,
		log:      log,
		list:     cfg.Seeds,
		missing:  map[string]missingInstance{},
		changed:  make(chan struct{}),
	}
}

// All returns the last known list. The caller must not modify it.
func (w *Watcher) All() []core.Instance {
	w.mu.RLock()
	defer w.mu.RUnlock()
	return w.list
}

// WithRole returns the instances of the last known list that have the given role.
func (w *Watcher) WithRole(role core.Role) []core.Instance {
	var matching []core.Instance
	for _, in := range w.All() {
		if in.Role == role {
			matching = append(matching, in)
		}
	}
	return matching
}

// Changed returns a channel that is closed when the list next changes.
func (w *Watcher) Changed() <-chan struct{} {
	w.mu.RLock()
	defer w.mu.RUnlock()
	return w.changed
}

// Run reads the list at intervals of Config.Interval, with jitter, until ctx ends.
// It returns nil.
func (w *Watcher) Run(ctx context.Context) error {
	for {
		w.refresh(ctx)
		jitter := time.Duration(rand.Int64N(int64(w.cfg.Interval) / 4))
		select {
		case <-time.After(w.cfg.Interval - w.cfg.Interval/8 + jitter):
		case <-ctx.Done():
			return nil
		}
	}
}

// refresh reads the list from the platform and updates the known list. If that
// read fails, it uses the fallback, if any. It also removes the expired missing
// instances.
func (w *Watcher) refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, w.cfg.Interval)
	defer cancel()
	w.mu.RLock()
	tag := w.tag
	w.mu.RUnlock()
	list, tag, err := w.source.List(ctx, tag)
	defer w.removeExpired()
	switch {
	case err == nil:
		w.replaceList(list, tag)
		return
	case errors.Is(err, platform.ErrNotModified):
		w.clearFailure()
		return
	}
	w.logFailure(err)
	if w.fallback == nil {
		return
	}
	list, err = w.fallback(context.WithoutCancel(ctx))
	if err == nil && len(list) > 0 {
		w.mergePeerList(list)
	}
}

// replaceList sets the known list to the platform's list plus the missing
// instances that are kept.
func (w *Watcher) replaceList(list []core.Instance, tag string) {
	w.mu.Lock()
	w.tag = tag
	w.failing = false
	kept := w.updateMissing(list)
	w.setList(append(append([]core.Instance{}, list...), kept...))
	w.mu.Unlock()
	w.log.Event(eventListChanged, eventlog.Fields{"instances": len(list), "lingering": len(kept)})
}

// setList sets the known list and closes the channel of Changed. The caller holds
// w.mu.
func (w *Watcher) setList(list []core.Instance) {
	w.list = list
	close(w.changed)
	w.changed = make(chan struct{})
}

// mergePeerList adds the instances of a peer's list to the known list. For an
// instance that is in both lists it takes the peer's description. It removes no
// instance, because the peer's list may be older or incomplete.
func (w *Watcher) mergePeerList(list []core.Instance) {
	w.mu.Lock()
	defer w.mu.Unlock()
	indexByID := map[string]int{}
	merged := make([]core.Instance, 0, len(w.list)+len(list))
	for _, in := range append(append([]core.Instance{}, w.list...), list...) {
		i, ok := indexByID[in.ID]
		if ok {
			merged[i] = in
			continue
		}
		indexByID[in.ID] = len(merged)
		merged = append(merged, in)
	}
	if equalLists(merged, w.list) {
		return
	}
	w.tag = ""
	w.setList(merged)
}

// clearFailure records that the last read from the platform succeeded.
func (w *Watcher) clearFailure() {
	w.mu.Lock()
	w.failing = false
	w.mu.Unlock()
}

// logFailure records that a read from the platform failed. It logs err only if the
// previous read succeeded.
func (w *Watcher) logFailure(err error) {
	w.mu.Lock()
	first := !w.failing
	w.failing = true
	w.mu.Unlock()
	if first {
		w.log.EventWithError(eventListReadFailed, err, nil)
	}
}

// equalLists reports whether a and b hold the same instances in the same order.
func equalLists(a, b []core.Instance) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}
