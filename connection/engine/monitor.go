package engine

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/rattanway/rattanway/process/eventlog"
)

// Defaults of a Monitor.
const (
	// DefaultStatusInterval is the default time between two polls.
	DefaultStatusInterval = 250 * time.Millisecond
	// statusTimeout limits the duration of one poll.
	statusTimeout = time.Second
	// maxStatusAge is the age at which a status becomes too old to be used.
	maxStatusAge = 3 * time.Second
)

var (
	eventEngineUp      = eventlog.Define(420, "engine-up", logrus.InfoLevel, "The engine or service beside the agent responds to status requests, for the first time or again.")
	eventEngineDown    = eventlog.Define(421, "engine-down", logrus.WarnLevel, "The engine or service beside the agent does not respond to a status request.")
	eventEngineChanged = eventlog.Define(422, "engine-changed", logrus.InfoLevel, "The loaded versions, the fencing number or the boot id in the engine's status changed, or the engine came up.")
)

// Monitor polls the status of one engine and stores the newest status.
type Monitor struct {
	engine   Engine
	interval time.Duration
	log      *eventlog.Logger
	clock    clockwork.Clock

	mu           sync.RWMutex
	status       Status
	statusReadAt time.Time
	hasStatus    bool
	// up is true if the last poll succeeded.
	up      bool
	changed chan struct{}
}

// NewMonitor returns a Monitor that polls engine every interval; 0 means
// DefaultStatusInterval.
func NewMonitor(engine Engine, interval time.Duration, log *eventlog.Logger, clock clockwork.Clock) *Monitor {
	if interval <= 0 {
		interval = DefaultStatusInterval
	}
	return &Monitor{engine: engine, interval: interval, log: log, clock: clock, changed: make(chan struct{})}
}

// Run polls until ctx ends, and returns the error of ctx.
func (m *Monitor) Run(ctx context.Context) error {
	ticker := m.clock.NewTicker(m.interval)
	defer ticker.Stop()
	for {
		m.poll(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.Chan():
		}
	}
}

// poll reads the status once. It stores the status, or marks the engine as down if
// the status cannot be read.
func (m *Monitor) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	s, err := m.engine.Status(ctx)
	if err != nil {
		if ctx.Err() != context.Canceled {
			m.markDown(err)
		}
		return
	}
	m.setStatus(s)
}

// setStatus sets the newest status. If the engine came up, or if anything in the
// status except the numbers of calls changed, setStatus closes the channel that
// Changed returned.
func (m *Monitor) setStatus(s Status) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.up {
		m.log.Event(eventEngineUp, eventlog.Fields{"boot": s.Boot})
	}
	differs := !m.hasStatus || !m.up || !sameExceptLoad(m.status, s)
	if differs {
		m.log.Event(eventEngineChanged, eventlog.Fields{"loaded": len(s.Loaded), "fence": s.Fence, "boot": s.Boot})
	}
	m.status, m.statusReadAt, m.hasStatus, m.up = s, m.clock.Now(), true, true
	if differs {
		m.notifyChanged()
	}
}

// markDown marks the engine as down because of err. It logs the event only for an
// engine that was up.
func (m *Monitor) markDown(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.up {
		return
	}
	m.up = false
	m.log.EventWithError(eventEngineDown, err, nil)
	m.notifyChanged()
}

// notifyChanged closes the channel that Changed returned and replaces it. The
// caller must hold the lock.
func (m *Monitor) notifyChanged() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// sameExceptLoad reports whether a and b have the same loaded versions, fencing
// number and boot id. The numbers of calls may differ.
func sameExceptLoad(a, b Status) bool {
	return a.Fence == b.Fence && a.Boot == b.Boot && slices.Equal(a.Loaded, b.Loaded)
}

// Status returns the newest status and its age. ok is false if the engine does
// not respond or the status is too old to be used.
func (m *Monitor) Status() (s Status, age time.Duration, ok bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if !m.hasStatus {
		return Status{}, 0, false
	}
	age = m.clock.Since(m.statusReadAt)
	return m.status, age, m.up && age < maxStatusAge
}

// Changed returns a channel that is closed at the next change: the engine goes up
// or down, or its loaded versions, fencing number or boot id change.
func (m *Monitor) Changed() <-chan struct{} {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.changed
}
