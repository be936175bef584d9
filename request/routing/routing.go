// Package routing chooses, at an entry instance, the backend server for each
// attempt at a call.
package routing

import (
	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/connection/registry"
	"github.com/rattanway/rattanway/core"
)

// Query describes what an attempt needs.
type Query struct {
	// RequestID is for the log line of the decision.
	RequestID string
	// Model and Digest are set for model calls.
	Model  string
	Digest core.Digest
	// Service is set for calls to a plain service.
	Service string
	// Prefix is the hash of the prompt's prefix; 0 for none.
	Prefix uint64
	// Tried names the servers that earlier attempts used.
	Tried map[string]bool
}

// Picker chooses backend servers and learns from what became of attempts.
type Picker interface {
	// Pin returns the manifest digest from which new calls to model are
	// answered now, or false when no server can answer.
	Pin(model string) (core.Digest, bool)
	// Alternative returns another version of model from which a call that the
	// pinned one has no place for may be answered: while a new version comes
	// in, both stand on a part of the servers.
	Alternative(model string, pinned core.Digest) (core.Digest, bool)
	// Short reports whether no server that could take the call has a free
	// slot, as far as this entry instance knows.
	Short(q Query) bool
	// Suspended reports whether the server with this id is registered but
	// gets no calls, because it is silent or was ejected.
	Suspended(id string) bool
	// Pick returns a server, or false when none can be offered the call.
	// Every Pick that returned true is followed by one Done.
	Pick(q Query) (registry.Server, bool)
	// Done reports the end of an attempt at the server with this id; load
	// is what the agent said with its last frame, nil when it said nothing.
	Done(id string, r Result, load *frame.Load)
}

// Result is what became of an attempt.
type Result uint8

// The results of an attempt.
const (
	// ResultOK says that the answer was whole.
	ResultOK Result = iota
	// ResultRefused says that the agent did not admit the call.
	ResultRefused
	// ResultFailed says that the server failed, stalled or broke off.
	ResultFailed
	// ResultCancelled says that the caller went away.
	ResultCancelled
)

// String returns the result's name in log lines.
func (r Result) String() string {
	return [...]string{"whole", "refused", "failed", "cancelled"}[r]
}
