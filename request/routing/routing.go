// Package routing chooses the backend server for each attempt at a call. It runs
// at an entry instance, balances the load with a preference for near servers, and
// ejects servers that fail repeatedly, that is, sends them no calls for a while.
package routing

import (
	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/connection/registry"
	"github.com/rattanway/rattanway/core"
)

// Query describes an attempt for which a backend server is to be chosen.
type Query struct {
	// RequestID is the ID of the request, for log lines.
	RequestID string
	// Model and Digest are set for model calls: the name of the model and the
	// manifest digest of the version on which the call must run.
	Model  string
	Digest core.Digest
	// Service is set for calls to a plain service.
	Service string
	// Prefix is the hash of the prefix of the prompt; 0 if there is none.
	Prefix uint64
	// TriedServers holds the IDs of the servers at which earlier attempts of this
	// call were made.
	TriedServers map[string]bool
}

// Picker chooses the backend server for each attempt, using the results of
// earlier attempts.
type Picker interface {
	// PinnedDigest returns the manifest digest of the version on which new calls to
	// model run, or false if no available server has loaded any version of model.
	PinnedDigest(model string) (core.Digest, bool)
	// AlternativeDigest returns the manifest digest of another version of model than
	// the pinned one. It is for a call that finds no free slot at the servers with
	// the pinned version. It returns false unless a rollout is in progress, during
	// which each of the two versions is loaded on a part of the servers.
	AlternativeDigest(model string, pinned core.Digest) (core.Digest, bool)
	// NoFreeSlot reports whether no server that could run the call has a free slot,
	// according to the estimated loads. It returns true if no server could run the
	// call.
	NoFreeSlot(q Query) bool
	// Suspended reports whether the server with this ID is registered but gets no
	// calls, because the server is ejected or its agent has missed heartbeats.
	Suspended(id string) bool
	// Pick returns a server for an attempt, or false if none is available. After
	// each Pick that returned true, Done must be called exactly once.
	Pick(q Query) (registry.Server, bool)
	// Done records the end of an attempt at the server with this ID. load is the
	// load in the last frame that the agent sent, or nil if there was none.
	Done(id string, r Result, load *frame.Load)
}

// Result says how an attempt ended.
type Result uint8

// The results of an attempt.
const (
	// ResultOK means that the complete response was received.
	ResultOK Result = iota
	// ResultRefused means that the agent did not admit the call.
	ResultRefused
	// ResultFailed means that the server failed, stalled or ended the response
	// early.
	ResultFailed
	// ResultCancelled means that the attempt was cancelled, for example because
	// the caller disconnected.
	ResultCancelled
)

// String returns the name of the result in log lines.
func (r Result) String() string {
	return [...]string{"whole", "refused", "failed", "cancelled"}[r]
}
