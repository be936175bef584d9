package serve

import (
	"context"
	"sync"

	"github.com/rattanway/rattanway/core"
)

// versionCalls counts the running calls of each model version, so that a version
// can be drained before the engine unloads it.
type versionCalls struct {
	mu            sync.Mutex
	runningCounts map[core.Digest]int
	draining      map[core.Digest]bool
	// changed is closed and replaced when the last running call of a version
	// ends.
	changed chan struct{}
}

func newVersionCalls() *versionCalls {
	return &versionCalls{
		runningCounts: map[core.Digest]int{},
		draining:      map[core.Digest]bool{},
		changed:       make(chan struct{}),
	}
}

// begin counts a new call of version d. It returns false, and counts nothing,
// while the version is draining.
func (v *versionCalls) begin(d core.Digest) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.draining[d] {
		return false
	}
	v.runningCounts[d]++
	return true
}

// end removes from the count a call of version d for which begin returned true.
func (v *versionCalls) end(d core.Digest) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.runningCounts[d]--
	if v.runningCounts[d] > 0 {
		return
	}
	delete(v.runningCounts, d)
	close(v.changed)
	v.changed = make(chan struct{})
}

// isIdle reports whether no call of version d is running, and returns a channel
// that is closed when the result may have changed.
func (v *versionCalls) isIdle(d core.Digest) (bool, <-chan struct{}) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.runningCounts[d] == 0, v.changed
}

// DrainVersion makes the handler refuse new calls of the version with manifest
// digest d and waits until its running calls have ended, or returns an error
// when ctx ends first. In both cases the handler refuses calls of the version
// until ResumeVersion is called.
func (h *Handler) DrainVersion(ctx context.Context, d core.Digest) error {
	h.versionCalls.mu.Lock()
	h.versionCalls.draining[d] = true
	h.versionCalls.mu.Unlock()
	for {
		idle, changed := h.versionCalls.isIdle(d)
		if idle {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return core.WrapStep("drain version", "", ctx.Err())
		}
	}
}

// ResumeVersion makes the handler accept calls of the version with manifest
// digest d again.
func (h *Handler) ResumeVersion(d core.Digest) {
	h.versionCalls.mu.Lock()
	defer h.versionCalls.mu.Unlock()
	delete(h.versionCalls.draining, d)
}
