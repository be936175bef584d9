// Package admission runs at the agent, the process in front of a backend server.
// It limits how many calls run at once at that server, and queues further calls.
// Only the agent sees the calls of all entry instances, so only its limit is
// authoritative. A server is cold if it has just started or has lost its warm
// state. The limit of a cold server begins low and grows.
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
	// Share is the account's relative share of the slots when slots are scarce;
	// values below 1 count as 1.
	Share int
	// Priority is a number from 0 (lowest) to 9 (highest).
	Priority int
	// Deadline is the time at which the caller gives up; zero if it never does.
	Deadline time.Time
	// Shed, if set, ends the call early because the server has turned cold. It is
	// called at most once. It is nil for once-only calls, which must not be ended
	// early.
	Shed func()
}

// Sample holds what was measured on a running call since the previous sample of
// the call.
type Sample struct {
	// TimeToFirstToken is the time to the first byte of the response; 0 if it is not
	// part of this sample.
	TimeToFirstToken time.Duration
	// TimePerToken is the mean time between tokens; 0 if it is not part of this
	// sample.
	TimePerToken time.Duration
}

// Outcome describes how an admitted call ended.
type Outcome struct {
	// TimeToFirstToken is the time to the first byte of the response; 0 if there was
	// none.
	TimeToFirstToken time.Duration
	// TimePerToken is the mean time between tokens; 0 if unknown.
	TimePerToken time.Duration
	// Overloaded is true if the engine refused the call because of overload, or sent
	// no data in time.
	Overloaded bool
	// Ignored is true if the limiter must not adapt to this call, because the call
	// was cancelled or failed for another reason than overload.
	Ignored bool
}

// Limiter limits the number of calls that run at once at a backend server.
type Limiter interface {
	// Acquire waits in the queue for a slot. It returns either a release
	// function, which must be called exactly once, or the reason for the
	// refusal.
	Acquire(ctx context.Context, req SlotRequest) (release func(Outcome), refusalReason frame.Reason)
	// Observe adapts the limit to a sample of a running call. Samples show earlier
	// than finished calls that a server has turned cold.
	Observe(s Sample)
	// Load returns the current limit and the numbers of running and queued calls.
	Load() frame.Load
	// State returns frame.StateReady at the declared limit, frame.StateCold at the
	// cold limit, and frame.StateWarming in between.
	State() frame.State
	// Reset lowers the limit to the cold limit. The caller calls it when the server
	// has restarted or turned cold.
	Reset()
	// Configure sets the declared limits of the backend server.
	Configure(limit, coldLimit int)
}
