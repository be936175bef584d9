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
	// suspendedIdleLimit is the idle limit of an attempt at a suspended server,
	// unless the attempt's own limit is shorter.
	suspendedIdleLimit = time.Second
)

// Causes with which a stallMonitor cancels attempts.
var (
	errSuspendedIdle = errors.New("suspended server sends no data")
	errStalled       = errors.New("server has sent no data for too long")
)

// stallMonitor cancels attempts whose server has sent no data for too long, and
// cancels them earlier if routing has suspended the server. Of a pause of this
// process, at most two checkIntervals count as idle time, so that data that
// arrived during the pause is read first. The monitor's goroutine runs only
// while there are attempts.
type stallMonitor struct {
	// isServerSuspended reports whether routing has suspended the server with the
	// given id.
	isServerSuspended func(serverID string) bool
	clock             clockwork.Clock

	mu       sync.Mutex
	attempts map[*monitoredAttempt]bool
	// running is true while the goroutine runs.
	running     bool
	lastCheckAt time.Time
}

// monitoredAttempt is an attempt that a stallMonitor checks.
type monitoredAttempt struct {
	serverID string
	cancel   context.CancelCauseFunc
	// laterIdleLimit is the idle limit after the first chunk of the response.
	laterIdleLimit time.Duration

	mu sync.Mutex
	// idleLimit is the idle time at which the attempt is cancelled.
	// idleTime is the time counted since the attempt began or its last chunk
	// arrived. Most of a pause of this process is not counted.
	idleLimit, idleTime time.Duration
}

func newStallMonitor(isServerSuspended func(string) bool, clock clockwork.Clock) *stallMonitor {
	return &stallMonitor{isServerSuspended: isServerSuspended, clock: clock, attempts: map[*monitoredAttempt]bool{}}
}

// add monitors an attempt at a server. firstIdleLimit bounds the wait for the first
// chunk of the response, and laterIdleLimit the wait for each further chunk. The
// returned context is cancelled when a limit is reached. The caller must call
// remove once.
func (m *stallMonitor) add(ctx context.Context, serverID string, firstIdleLimit, laterIdleLimit time.Duration) (context.Context, *monitoredAttempt) {
	ctx, cancel := context.WithCancelCause(ctx)
	a := &monitoredAttempt{serverID: serverID, cancel: cancel, idleLimit: firstIdleLimit, laterIdleLimit: laterIdleLimit}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.attempts[a] = true
	if !m.running {
		m.running = true
		m.lastCheckAt = m.clock.Now()
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
	a.idleLimit = a.laterIdleLimit
}

// addIdleTime adds d to the idle time. It returns the cause with which the caller
// must cancel the attempt, or nil.
func (a *monitoredAttempt) addIdleTime(d time.Duration, serverSuspended bool) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.idleTime += d
	if a.idleTime >= a.idleLimit {
		return errStalled
	}
	if serverSuspended && a.idleTime >= suspendedIdleLimit {
		return errSuspendedIdle
	}
	return nil
}

// run checks the attempts every checkInterval, until there are none.
func (m *stallMonitor) run() {
	for m.check() {
		<-m.clock.After(checkInterval)
	}
}

// check cancels the attempts that have reached an idle limit, and reports whether
// any attempts are monitored.
func (m *stallMonitor) check() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	elapsed := min(now.Sub(m.lastCheckAt), 2*checkInterval)
	m.lastCheckAt = now
	suspendedServers := map[string]bool{}
	for a := range m.attempts {
		serverSuspended, known := suspendedServers[a.serverID]
		if !known {
			serverSuspended = m.isServerSuspended(a.serverID)
			suspendedServers[a.serverID] = serverSuspended
		}
		if err := a.addIdleTime(elapsed, serverSuspended); err != nil {
			a.cancel(err)
		}
	}
	m.running = len(m.attempts) > 0
	return m.running
}
