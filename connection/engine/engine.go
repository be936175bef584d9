// Package engine implements an agent's client of the model engine or plain service
// beside it. docs/protocol/engine.md describes the protocol, which is plain HTTP.
package engine

import (
	"context"
	"io"

	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/core"
)

// Status is an engine's status report. It may lag behind the actual state.
type Status struct {
	// Loaded lists the loaded model versions, which can serve calls.
	Loaded []frame.LoadedVersion `json:"loaded"`
	// InFlight is the number of running calls.
	InFlight int `json:"inFlight"`
	// Queued is the number of waiting calls.
	Queued int `json:"queued"`
	// Fence is the highest fencing number that the engine has accepted.
	Fence uint64 `json:"fence"`
	// Boot is an id that changes each time the engine starts or becomes cold.
	Boot string `json:"boot"`
}

// Order instructs an engine to load or unload a model version.
type Order struct {
	// Fence is the fencing number of the order. The engine refuses an order whose
	// number is lower than the highest number that the engine has accepted.
	Fence uint64 `json:"fence"`
	// Action is "load" or "unload".
	Action string `json:"action"`
	// Model is the name of the model.
	Model string `json:"model"`
	// Version is the name of the version.
	Version string `json:"version"`
	// Digest is the manifest digest of the version.
	Digest core.Digest `json:"digest"`
	// Source is the URL prefix at which the agent serves verified weights to the
	// engine, as SOURCE/manifests/DIGEST and SOURCE/chunks/DIGEST.
	Source string `json:"source"`
}

// Call is one call to the engine or service.
type Call struct {
	// ID is the request id. It is sent in X-Request-Id, and the response must
	// carry it too.
	ID string
	// Method, Path, Header and Body are those of the HTTP request.
	Method string
	Path   string
	Header map[string][]string
	Body   []byte
	// Digest is the manifest digest of the model version that must serve the
	// call; empty for a plain service.
	Digest core.Digest
	// OnceOnly is true for a once-only call, which is sent on a new connection and
	// never sent again.
	OnceOnly bool
	// ResumeTokens is the number of tokens that the caller has already received;
	// the engine continues the response after them.
	ResumeTokens int
	// Priority is from 0 (lowest) to 9 (highest).
	Priority int
}

// Response is an engine's response with its body still unread.
type Response struct {
	// ID is the request id in the response.
	ID string
	// Status is the HTTP status.
	Status int
	// Header is the HTTP header.
	Header map[string][]string
	// Digest is the manifest digest that the engine itself computed from the
	// weights that served the call; empty for a plain service.
	Digest core.Digest
	// Body is the response body. Reaching its end without an error does not prove
	// that a streamed response is complete; see frame.End.
	Body io.ReadCloser
}

// Engine is the model engine or plain service beside an agent.
type Engine interface {
	// Status reads the current status from the engine.
	Status(ctx context.Context) (Status, error)
	// Order sends an order and returns once the engine has accepted or refused
	// it.
	Order(ctx context.Context, o Order) error
	// Do sends a call and returns the start of the response. Cancelling ctx
	// cancels the call at the engine.
	Do(ctx context.Context, c Call) (Response, error)
}
