package dial

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// firstTimeout bounds the first tries to open a connection; each further
	// one may take twice as long, up to Timeout. After a loss of power the
	// first packet to a machine that is not up yet is lost, and the next one
	// would follow after a second.
	firstTimeout = 100 * time.Millisecond
	// firstTries is the number of tries before pauses and timeouts grow:
	// machines that start together are up within about half a second.
	firstTries = 5
)

// Pauses are the pauses between the connections of a Keep.
type Pauses struct {
	// Least and Most bound the pause, which varies by half and doubles after
	// the first tries.
	Least, Most time.Duration
	// Steady is how long a connection must have lasted for its end to count
	// as a new one.
	Steady time.Duration
}

// Keep opens a connection again and again until ctx ends. session opens it
// within timeout and returns when it has ended; lost is told of the first end
// of several in a row.
func Keep(ctx context.Context, clock clockwork.Clock, p Pauses,
	session func(ctx context.Context, timeout time.Duration) error, lost func(error)) {
	pause, timeout, told := p.Least, firstTimeout, false
	for tries := 1; ctx.Err() == nil; tries++ {
		start := clock.Now()
		err := session(ctx, timeout)
		if clock.Since(start) > p.Steady {
			pause, timeout, told, tries = p.Least, firstTimeout, false, 1
		}
		if !told && ctx.Err() == nil {
			lost(err)
			told = true
		}
		select {
		case <-ctx.Done():
		case <-clock.After(pause/2 + rand.N(pause)):
		}
		if tries >= firstTries {
			pause, timeout = min(2*pause, p.Most), min(2*timeout, Timeout)
		}
	}
}
