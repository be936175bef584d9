// Package pause detects that this process was suspended for a while. State from
// before a pause may be out of date; the process must confirm it before using it
// again.
package pause

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/rattanway/rattanway/process/eventlog"
)

const (
	// sampleInterval is the time between two samples of the clock.
	sampleInterval = 100 * time.Millisecond
	// Threshold is the shortest time between two samples that counts as a pause
	// of the process.
	Threshold = time.Second
)

var eventPaused = eventlog.Define(610, "process-paused", logrus.WarnLevel,
	"This process did not run for a while; it confirms its configuration before it takes new work.")

// Detector samples the clock and counts the pauses of this process. It is safe
// for concurrent use.
type Detector struct {
	log     *eventlog.Logger
	started time.Time

	mu sync.Mutex
	// lastSample is the time of the last sample, counted from started.
	lastSample time.Duration
	pauseCount int64
}

// New returns a Detector whose first sample is the current time.
func New(log *eventlog.Logger) *Detector {
	return &Detector{log: log, started: time.Now()}
}

// Run samples the clock at each sampleInterval until ctx ends. It returns nil.
func (d *Detector) Run(ctx context.Context) error {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			d.PauseCount()
		}
	}
}

// PauseCount samples the clock and returns the number of pauses so far. If a
// pause has just ended that Run has not detected yet, PauseCount counts and logs
// it.
func (d *Detector) PauseCount() int64 {
	gap, pauseCount := d.sample()
	if gap >= Threshold {
		d.log.Event(eventPaused, eventlog.Fields{"seconds": gap.Seconds()})
	}
	return pauseCount
}

// sample samples the clock and returns the time since the previous sample and
// the number of pauses. It updates the sample and the number under one lock,
// because a concurrent caller must not see the new sample with the old number.
func (d *Detector) sample() (time.Duration, int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Since(d.started)
	gap := now - d.lastSample
	d.lastSample = now
	if gap >= Threshold {
		d.pauseCount++
	}
	return gap, d.pauseCount
}
