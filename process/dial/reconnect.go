package dial

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// initialTimeout is the timeout of each of the first initialAttemptCount
	// attempts to open a connection. The timeout then doubles with each attempt,
	// up to Timeout. The initial value is short because of machines that are
	// still starting after a power failure: the first packet to such a machine
	// is lost, and TCP retransmits it only after a second.
	initialTimeout = 100 * time.Millisecond
	// initialAttemptCount is the number of attempts before pauses and timeouts
	// grow. Until then both are short, because machines that are started
	// together complete their start within about half a second of each other.
	initialAttemptCount = 5
)

// Backoff configures the pauses of KeepConnected between the end of a connection
// and the next attempt.
type Backoff struct {
	// MinDelay is the initial pause. After the first initialAttemptCount
	// attempts the pause doubles with each attempt, up to MaxDelay. Each pause
	// is randomized between 50 % and 150 %.
	MinDelay, MaxDelay time.Duration
	// ResetAfter is how long a connection must have lasted so that the pause and
	// the timeout have their initial values again.
	ResetAfter time.Duration
}

// KeepConnected reopens a connection whenever it ends, until ctx ends. session
// opens the connection within timeout and returns when the connection has ended.
// onLost receives the error of the first session and of each session that lasted
// longer than b.ResetAfter; the errors of the short sessions that follow are not
// reported.
func KeepConnected(ctx context.Context, clock clockwork.Clock, b Backoff,
	session func(ctx context.Context, timeout time.Duration) error, onLost func(error)) {
	pause, timeout, reported := b.MinDelay, initialTimeout, false
	for attempt := 1; ctx.Err() == nil; attempt++ {
		start := clock.Now()
		err := session(ctx, timeout)
		if clock.Since(start) > b.ResetAfter {
			pause, timeout, reported, attempt = b.MinDelay, initialTimeout, false, 1
		}
		if !reported && ctx.Err() == nil {
			onLost(err)
			reported = true
		}
		select {
		case <-ctx.Done():
		case <-clock.After(pause/2 + rand.N(pause)):
		}
		if attempt >= initialAttemptCount {
			pause, timeout = min(2*pause, b.MaxDelay), min(2*timeout, Timeout)
		}
	}
}
