// Package admission limits, at the agent, how many calls run at once at the
// engine or service behind it, and queues the calls above that limit. Only the
// agent sees the calls of all entry instances, so only its limit is
// authoritative. The limit of a cold server, one that has just started or has
// lost its warm state, begins low and grows.
package admission

import (
	"context"
	"time"

	"github.com/rattanway/rattanway/connection/frame"
)

// SlotRequest is a request for a slot to run a call.
type SlotRequest struct {
	// Account is the name of the client account.
	Account string
	// Share is the account's weight when slots are scarce; values below 1 count
	// as 1.
	Share int
	// Priority is 0 (lowest) to 9.
	Priority int
	// Deadline is the time at which the caller gives up; zero means never.
	Deadline time.Time
	// Shed, if set, is called at most once, to end the call early because the
	// server has turned cold. It is nil for once-only calls, which must run to
	// their end.
	Shed func()
}

// Sample holds what was measured on a running call since its last sample.
type Sample struct {
	// TimeToFirstToken is the time to the first byte; 0 when it is not part of this
	// sample.
	TimeToFirstToken time.Duration
	// TimePerToken is the mean time between tokens; 0 when it is not part of this
	// sample.
	TimePerToken time.Duration
}

// Outcome describes how an admitted call ended.
type Outcome struct {
	// TimeToFirstToken is the time to the first byte; 0 when there was none.
	TimeToFirstToken time.Duration
	// TimePerToken is the mean time between tokens; 0 when unknown.
	TimePerToken time.Duration
	// Overloaded is true when the engine refused the call because of overload, or
	// sent no data in time.
	Overloaded bool
	// Ignored is true when the limiter must not adapt to this call, because it
	// was cancelled or failed for another reason than overload.
	Ignored bool
}

// Limiter limits the number of calls that run at once at a backend server.
type Limiter interface {
	// Acquire waits in the queue for a slot. It returns either a release
	// function, which must be called exactly once, or the reason for the
	// refusal.
	Acquire(ctx context.Context, req SlotRequest) (release func(Outcome), refusalReason frame.Reason)
	// Observe adapts the limit to a sample of a running call. Samples show that a
	// server has turned cold before its calls end.
	Observe(s Sample)
	// Load returns the current load.
	Load() frame.Load
	// State returns frame.StateReady at the declared limit, frame.StateCold at the
	// cold limit, and frame.StateWarming in between.
	State() frame.State
	// Reset lowers the limit to the cold limit. It is called when the server has
	// restarted or turned cold.
	Reset()
	// Configure sets the declared limits of the backend server.
	Configure(limit, coldLimit int)
}
