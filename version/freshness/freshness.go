// Package freshness decides whether a process may act on its configuration. After
// the start of the process, and after each pause in its execution, a peer or the
// platform must first confirm that the configuration is current.
package freshness

import (
	"sync"
	"time"

	"github.com/rattanway/rattanway/process/pause"
)

// confirmTimeout is how long a process waits for a peer or the platform to confirm
// its configuration. After that time the process assumes that it is cut off
// from them, and continues with the configuration that it has.
const confirmTimeout = 3 * time.Second

// requestInterval is the shortest time between two requests to the peers. Requests
// are repeated because a peer that was paused as well cannot confirm a
// configuration at first.
const requestInterval = 200 * time.Millisecond

// Gate decides whether the process may act on its configuration. After the start
// of the process, and after each pause, the configuration must first be
// confirmed: a process that has just started may have received an old version
// from a peer that is behind. It is safe for concurrent use.
type Gate struct {
	detector *pause.Detector
	// confirmationAge returns how long ago the configuration was confirmed, or
	// false if it never was.
	confirmationAge func() (time.Duration, bool)
	// requestConfirmation requests the peers' configuration, which confirms or
	// replaces the configuration of this process.
	requestConfirmation func()

	mu sync.Mutex
	// acceptedPauses is the number of pauses when the configuration was last
	// accepted, after a confirmation or confirmTimeout; -1 before the first
	// time.
	acceptedPauses int64
	// observedPauses is the number of pauses at the last call of Fresh, and
	// waitingSince the time at which the start of the process or the last
	// pause was observed.
	observedPauses int64
	waitingSince   time.Time
	lastRequest    time.Time
}

// New returns a Gate whose configuration is not confirmed yet. confirmationAge
// returns how long ago the configuration was confirmed, or false if it never was;
// requestConfirmation requests a confirmation from the peers.
func New(detector *pause.Detector, confirmationAge func() (time.Duration, bool), requestConfirmation func()) *Gate {
	return &Gate{
		detector: detector, confirmationAge: confirmationAge, requestConfirmation: requestConfirmation,
		acceptedPauses: -1, waitingSince: time.Now(),
	}
}

// MayConfirmPeers reports whether this process may confirm the configuration of a
// peer: only if its own configuration has been confirmed since its start and its
// last pause.
func (g *Gate) MayConfirmPeers() bool {
	age, ok := g.confirmationAge()
	if !ok || !g.Fresh() {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return age < time.Since(g.waitingSince)
}

// Fresh reports whether the process may act on the configuration now. Until it
// may, Fresh requests confirmations from the peers in the background.
func (g *Gate) Fresh() bool {
	pauses := g.detector.PauseCount()
	g.mu.Lock()
	defer g.mu.Unlock()
	if pauses == g.acceptedPauses {
		return true
	}
	if pauses != g.observedPauses {
		g.observedPauses = pauses
		g.waitingSince = time.Now()
		g.lastRequest = time.Time{}
	}
	if time.Since(g.lastRequest) > requestInterval {
		g.lastRequest = time.Now()
		go g.requestConfirmation()
	}
	waited := time.Since(g.waitingSince)
	age, ok := g.confirmationAge()
	if waited > confirmTimeout || ok && age < waited {
		g.acceptedPauses = pauses
		return true
	}
	return false
}

// Wait blocks until the process may act on the configuration, or done is closed.
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
