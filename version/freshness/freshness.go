// Package freshness decides whether a process may act on its configuration. After
// the start of the process, and after each pause in its execution, a peer or the
// platform must first confirm that the configuration is current.
package freshness

import (
	"sync"
	"time"

	"github.com/rattanway/rattanway/process/pause"
)

// confirmTimeout is the longest time that a process waits for a peer or the
// platform to confirm the configuration of the process. After that time the
// process assumes that the peers and the platform are unreachable, and continues
// with the configuration that it has.
const confirmTimeout = 3 * time.Second

// minRequestInterval is the shortest time between two requests to the peers.
// Requests are repeated because a peer that was paused as well cannot confirm a
// configuration before its own configuration is confirmed.
const minRequestInterval = 200 * time.Millisecond

// Gate decides whether the process may act on its configuration. After the start
// of the process, and after each pause, the configuration must first be
// confirmed. A process that was paused may have missed newer versions, and a
// process that has just started may have received an old version from a peer that
// is behind. A Gate is safe for concurrent use.
type Gate struct {
	detector *pause.Detector
	// confirmationAge returns the time since the configuration was confirmed, or
	// false if the configuration was never confirmed.
	confirmationAge func() (time.Duration, bool)
	// requestConfirmation asks the peers for their configuration. A response
	// confirms or replaces the configuration of this process.
	requestConfirmation func()

	mu sync.Mutex
	// acceptedPauseCount is the number of pauses that the process had had when
	// the configuration was last accepted, after a confirmation or after
	// confirmTimeout. It is -1 until the configuration is first accepted.
	acceptedPauseCount int64
	// observedPauseCount is the number of pauses that Fresh has seen so far.
	observedPauseCount int64
	// waitingSince is the time at which Fresh saw the last pause, or the time
	// of New if there was no pause.
	waitingSince time.Time
	// lastRequestAt is the time of the last request to the peers; zero if there
	// was none since waitingSince.
	lastRequestAt time.Time
}

// New returns a Gate for a configuration that is not confirmed yet.
// confirmationAge returns the time since the configuration was confirmed, or
// false if the configuration was never confirmed. requestConfirmation asks the
// peers for their configuration.
func New(detector *pause.Detector, confirmationAge func() (time.Duration, bool), requestConfirmation func()) *Gate {
	return &Gate{
		detector: detector, confirmationAge: confirmationAge, requestConfirmation: requestConfirmation,
		acceptedPauseCount: -1, waitingSince: time.Now(),
	}
}

// MayConfirmPeers reports whether this process may confirm the configuration of a
// peer. It may do so only if its own configuration has been confirmed since the start
// of the process and since the last pause.
func (g *Gate) MayConfirmPeers() bool {
	age, ok := g.confirmationAge()
	if !ok || !g.Fresh() {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return age < time.Since(g.waitingSince)
}

// Fresh reports whether the process may act on the configuration now. If not, Fresh
// requests a confirmation from the peers in the background, unless the last request
// was less than minRequestInterval ago.
func (g *Gate) Fresh() bool {
	pauseCount := g.detector.PauseCount()
	g.mu.Lock()
	defer g.mu.Unlock()
	if pauseCount == g.acceptedPauseCount {
		return true
	}
	if pauseCount != g.observedPauseCount {
		g.observedPauseCount = pauseCount
		g.waitingSince = time.Now()
		g.lastRequestAt = time.Time{}
	}
	if time.Since(g.lastRequestAt) > minRequestInterval {
		g.lastRequestAt = time.Now()
		go g.requestConfirmation()
	}
	waited := time.Since(g.waitingSince)
	age, ok := g.confirmationAge()
	if waited > confirmTimeout || ok && age < waited {
		g.acceptedPauseCount = pauseCount
		return true
	}
	return false
}

// Wait blocks until the process may act on the configuration, or until done is
// closed.
func (g *Gate) Wait(done <-chan struct{}) {
	const pollInterval = 10 * time.Millisecond
	for !g.Fresh() {
		select {
		case <-done:
			return
		case <-time.After(pollInterval):
		}
	}
}
