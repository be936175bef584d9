package relay

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
)

const (
	// checkInterval is the time between two checks of the attempts.
	checkInterval = 200 * time.Millisecond
	// suspendedIdleLimit is how long an attempt at a suspended server may go
	// without data.
	suspendedIdleLimit = time.Second
)

// Causes with which a stallMonitor cancels attempts.
var (
	errSuspendedIdle = errors.New("suspended server sends no data")
	errStalled       = errors.New("server has sent no data for too long")
)

// stallMonitor cancels attempts whose server has sent no data for too long, and
// earlier if routing has suspended the server. After a pause of this process only
// a short part of the pause counts as idle time, so that data that arrived
// meanwhile is read first. Its goroutine runs only while there are attempts.
type stallMonitor struct {
	// suspended reports whether routing has suspended the server.
	suspended func(server string) bool
	clock     clockwork.Clock

	mu       sync.Mutex
	attempts map[*monitoredAttempt]bool
	// running is true while the goroutine runs.
	running   bool
	lastCheck time.Time
}

// monitoredAttempt is an attempt that a stallMonitor checks.
type monitoredAttempt struct {
	server string
	cancel context.CancelCauseFunc
	// nextIdleLimit is the idle limit after the first chunk of the response.
	nextIdleLimit time.Duration

	mu sync.Mutex
	// idleLimit is the idle time at which the attempt is cancelled, and idleTime
	// the time since the last chunk of the response.
	idleLimit, idleTime time.Duration
}

func newStallMonitor(suspended func(string) bool, clock clockwork.Clock) *stallMonitor {
	return &stallMonitor{suspended: suspended, clock: clock, attempts: map[*monitoredAttempt]bool{}}
}

// add monitors an attempt at server. firstIdleLimit bounds the wait for the first
// chunk of the response, and nextIdleLimit the wait for each further chunk. The
// returned context is cancelled when a limit is exceeded. The caller must call
// remove once.
func (m *stallMonitor) add(ctx context.Context, server string, firstIdleLimit, nextIdleLimit time.Duration) (context.Context, *monitoredAttempt) {
	ctx, cancel := context.WithCancelCause(ctx)
	a := &monitoredAttempt{server: server, cancel: cancel, idleLimit: firstIdleLimit, nextIdleLimit: nextIdleLimit}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.attempts[a] = true
	if !m.running {
		m.running = true
		m.lastCheck = m.clock.Now()
		go m.run()
	}
	return ctx, a
}

// remove ends the monitoring of an attempt and cancels its context.
func (m *stallMonitor) remove(a *monitoredAttempt) {
	a.cancel(nil)
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.attempts, a)
}

// recordProgress restarts the idle time because a chunk of the response has
// arrived.
func (a *monitoredAttempt) recordProgress() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.idleTime = 0
	a.idleLimit = a.nextIdleLimit
}

// addIdleTime adds d to the idle time. It returns the cause with which the
// attempt must be cancelled, or nil.
func (a *monitoredAttempt) addIdleTime(d time.Duration, suspended bool) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.idleTime += d
	if a.idleTime >= a.idleLimit {
		return errStalled
	}
	if suspended && a.idleTime >= suspendedIdleLimit {
		return errSuspendedIdle
	}
	return nil
}

// run checks the attempts until there are none left.
func (m *stallMonitor) run() {
	for m.check() {
		<-m.clock.After(checkInterval)
	}
}

// check cancels the attempts that exceeded an idle limit, and reports whether
// any attempts are left.
func (m *stallMonitor) check() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	elapsed := min(now.Sub(m.lastCheck), 2*checkInterval)
	m.lastCheck = now
	suspendedByServer := map[string]bool{}
	for a := range m.attempts {
		isSuspended, known := suspendedByServer[a.server]
		if !known {
			isSuspended = m.suspended(a.server)
			suspendedByServer[a.server] = isSuspended
		}
		if err := a.addIdleTime(elapsed, isSuspended); err != nil {
			a.cancel(err)
		}
	}
	m.running = len(m.attempts) > 0
	return m.running
}
