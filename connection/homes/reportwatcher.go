package homes

import (
	"context"
	"sync"
	"time"

	"github.com/rattanway/rattanway/connection/frame"
)

// reportWatcher checks the agent's report for changes and notifies all
// registrations, so that the number of checks does not grow with the number of
// homes.
type reportWatcher struct {
	// build returns the current report.
	build func() frame.Report

	mu sync.Mutex
	// lastNotified is the report for which changed was last closed and replaced.
	lastNotified frame.Report
	// changed is closed when a report must be sent before the next heartbeat.
	changed chan struct{}
}

func newReportWatcher(build func() frame.Report) *reportWatcher {
	return &reportWatcher{build: build, changed: make(chan struct{})}
}

// refresh returns the current report, and a channel that is closed when a later
// report must be sent before the next heartbeat.
func (w *reportWatcher) refresh() (frame.Report, <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	current := w.build()
	if mustSendEarly(current, w.lastNotified) {
		w.lastNotified = current
		close(w.changed)
		w.changed = make(chan struct{})
	}
	return current, w.changed
}

// run checks the report every reportCheckInterval until ctx ends.
func (w *reportWatcher) run(ctx context.Context) {
	ticker := time.NewTicker(reportCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		w.refresh()
	}
}
