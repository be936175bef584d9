// Package pause notices that this process was stopped for a while, so that
// what it knew before can be confirmed before it is acted on.
package pause

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/rattanway/rattanway/process/eventlog"
)

const (
	// tick is the time between two marks.
	tick = 100 * time.Millisecond
	// Threshold is the gap between two marks that counts as a pause.
	Threshold = time.Second
)

var eventPaused = eventlog.Define(610, "process-paused", logrus.WarnLevel,
	"This process did not run for a while; it confirms its configuration before new work.")

// Detector counts the pauses of this process.
type Detector struct {
	log     *eventlog.Logger
	started time.Time

	mu sync.Mutex
	// marked is the time of the newest mark, since started.
	marked time.Duration
	pauses int64
}

// New returns a Detector that has been marked now.
func New(log *eventlog.Logger) *Detector {
	return &Detector{log: log, started: time.Now()}
}

// Run marks the time until ctx ends.
func (d *Detector) Run(ctx context.Context) error {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			d.Pauses()
		}
	}
}

// Pauses marks the time and returns how many pauses there have been, with one
// that ended just now, before Run noticed it. The mark and the count change
// together: a second caller must not see the new mark with the old count.
func (d *Detector) Pauses() int64 {
	gap, pauses := d.mark()
	if gap >= Threshold {
		d.log.Event(eventPaused, eventlog.Fields{"seconds": gap.Seconds()})
	}
	return pauses
}

// mark returns the time since the mark before and the number of pauses.
func (d *Detector) mark() (time.Duration, int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Since(d.started)
	gap := now - d.marked
	d.marked = now
	if gap >= Threshold {
		d.pauses++
	}
	return gap, d.pauses
}
