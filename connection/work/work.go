// Package work carries requests from entry instances to agents over WebSocket
// connections. A Pool at the entry instance keeps connections to each agent, and a
// Server at the agent accepts them. A connection carries one request at a time.
package work

import (
	"context"

	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/core"
)

// Path is the HTTP path at which agents accept work connections.
const Path = "/internal/work"

// Exchange is the entry instance's side of one request on one connection. The
// caller must call Close. A call of Close before the agent's last message cancels
// the request at the agent.
type Exchange interface {
	// Send sends a frame of the given kind with the message msg.
	Send(kind frame.Kind, msg any) error
	// Receive waits for the next frame and returns a pointer to its decoded
	// message. It returns ErrWrongRequestID if the frame carries the ID of
	// another request. After an error, Close closes the connection. The end of
	// ctx closes the connection immediately.
	Receive(ctx context.Context) (any, error)
	// Close ends the exchange. finished must be true only if the agent's last
	// message (End, Fail, Refuse or AttemptStatus) was received: the connection
	// is then reused, otherwise it is closed.
	Close(finished bool)
}

// Opener opens exchanges with agents. *Pool implements it.
type Opener interface {
	// Open gets a connection to the agent and sends the first frame, of the
	// given kind with the message msg. id is the request ID that the agent's
	// frames must carry.
	Open(ctx context.Context, agent core.Instance, id string, kind frame.Kind, msg any) (Exchange, error)
}

// Handler handles requests at an agent.
type Handler interface {
	// Handle handles the request that begins with the frame first, and returns
	// when the exchange is over. If it returns an error, the connection is closed.
	// ctx ends when the entry instance closes the connection.
	Handle(ctx context.Context, first frame.Frame, x AgentExchange) error
}

// AgentExchange is the agent's side of one request on one connection.
type AgentExchange interface {
	// Send sends a frame of the given kind with the message msg.
	Send(kind frame.Kind, msg any) error
	// Receive waits for the next frame from the entry instance, such as Go.
	Receive(ctx context.Context) (frame.Frame, error)
	// Peer identifies the entry instance in errors and log lines.
	Peer() string
}
