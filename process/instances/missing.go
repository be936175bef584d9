package instances

import (
	"time"

	"github.com/rattanway/rattanway/core"
)

// Defaults of Config.
const (
	// defaultRemovalDelay is longer than the restart of an instance, so that a
	// restart does not cause replicas of models to move to other instances.
	defaultRemovalDelay = time.Minute
	// defaultMassRemovalDelay is longer than defaultRemovalDelay because a list
	// that lacks most of the instances is probably wrong.
	defaultMassRemovalDelay = 10 * time.Minute
)

// missingInstance is an instance that is missing from the platform's list but
// kept until expiresAt.
type missingInstance struct {
	instance core.Instance
	// expiresAt is the time at which the instance is removed.
	expiresAt time.Time
}

// updateMissing updates w.missing after a read of list from the platform, and
// returns the missing instances that are kept. The caller holds w.mu.
func (w *Watcher) updateMissing(list []core.Instance) []core.Instance {
	listed := map[string]bool{}
	for _, in := range list {
		listed[in.ID] = true
		delete(w.missing, in.ID)
	}
	var newlyMissing []core.Instance
	for _, in := range w.list {
		_, alreadyMissing := w.missing[in.ID]
		if !listed[in.ID] && !in.Leaving && !alreadyMissing {
			newlyMissing = append(newlyMissing, in)
		}
	}
	keepFor := w.cfg.RemovalDelay
	if 2*len(newlyMissing) > len(w.list) {
		keepFor = w.cfg.MassRemovalDelay
	}
	expiresAt := w.cfg.Clock.Now().Add(keepFor)
	for _, in := range newlyMissing {
		w.missing[in.ID] = missingInstance{instance: in, expiresAt: expiresAt}
	}
	var kept []core.Instance
	for _, m := range w.missing {
		kept = append(kept, m.instance)
	}
	return kept
}

// removeExpired removes the missing instances that have been kept until their
// expiresAt.
func (w *Watcher) removeExpired() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.cfg.Clock.Now()
	expired := map[string]bool{}
	for id, m := range w.missing {
		if now.Before(m.expiresAt) {
			continue
		}
		expired[id] = true
		delete(w.missing, id)
	}
	if len(expired) == 0 {
		return
	}
	var list []core.Instance
	for _, in := range w.list {
		if !expired[in.ID] {
			list = append(list, in)
		}
	}
	w.setList(list)
}
