// Package inprocess connects the real relay, agents' handlers and stand-in
// engines within one test process, without sockets. Tests of routing and
// admission can therefore run in virtual time (testing/synctest) and give the same
// result on a machine of any speed.
package inprocess

import (
	"context"
	"sync"

	"github.com/go-faster/errors"

	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/connection/work"
	"github.com/rattanway/rattanway/core"
)

// maxBufferedFrames is the largest number of unread frames of an exchange in each
// direction. The buffers of a socket hold more.
const maxBufferedFrames = 64

var errClosed = errors.New("exchange closed")

// Opener is a work.Opener that calls agents' handlers in this process. Frames
// are encoded and decoded as on a connection.
type Opener struct {
	// AgentHandlers maps the id of each agent to its handler.
	AgentHandlers map[string]work.Handler
}

var _ work.Opener = Opener{}

// Open implements work.Opener.
func (o Opener) Open(_ context.Context, agent core.Instance, _ string, kind frame.Kind, msg any) (work.Exchange, error) {
	handler, ok := o.AgentHandlers[agent.ID]
	if !ok {
		return nil, errors.Errorf("no handler for agent %q", agent.ID)
	}
	first, err := encodeFrame(kind, msg)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	x := &exchange{
		toEntry: make(chan frame.Frame, maxBufferedFrames), toAgent: make(chan frame.Frame, maxBufferedFrames),
		ended: ctx.Done(), cancel: cancel, handlerDone: make(chan struct{}),
	}
	go func() {
		defer close(x.handlerDone)
		if err := handler.Handle(ctx, first, agentEnd{x}); err != nil {
			cancel()
		}
	}()
	return x, nil
}

// encodeFrame encodes a message and parses the result, as the two ends of a
// connection do.
func encodeFrame(kind frame.Kind, msg any) (frame.Frame, error) {
	raw, err := frame.Encode(kind, msg)
	if err != nil {
		return frame.Frame{}, err
	}
	return frame.Parse(raw)
}

// exchange carries the frames of one request between an entry instance and an
// agent. The entry instance uses the methods of exchange; the agent uses those of
// agentEnd.
type exchange struct {
	toEntry, toAgent chan frame.Frame
	// ended is closed when the entry instance closes the exchange or the
	// handler fails.
	ended  <-chan struct{}
	cancel context.CancelFunc
	// handlerDone is closed when the handler has returned.
	handlerDone chan struct{}
	closeOnce   sync.Once
}

// Send implements work.Exchange.
func (x *exchange) Send(kind frame.Kind, msg any) error { return x.send(x.toAgent, kind, msg) }

func (x *exchange) send(to chan<- frame.Frame, kind frame.Kind, msg any) error {
	f, err := encodeFrame(kind, msg)
	if err != nil {
		return err
	}
	select {
	case to <- f:
		return nil
	case <-x.ended:
		return errClosed
	}
}

// Receive implements work.Exchange.
func (x *exchange) Receive(ctx context.Context) (any, error) {
	select {
	case f := <-x.toEntry:
		msg, _, err := work.Decode(f)
		return msg, err
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	case <-x.ended:
		return nil, errClosed
	}
}

// Close implements work.Exchange. It cancels the context of the handler. If whole
// is true, it first waits until the handler has returned.
func (x *exchange) Close(whole bool) {
	x.closeOnce.Do(func() {
		if whole {
			<-x.handlerDone
		}
		x.cancel()
	})
}

// agentEnd is the agent's end of an exchange.
type agentEnd struct{ x *exchange }

// Send implements work.AgentExchange.
func (a agentEnd) Send(kind frame.Kind, msg any) error { return a.x.send(a.x.toEntry, kind, msg) }

// Receive implements work.AgentExchange.
func (a agentEnd) Receive(ctx context.Context) (frame.Frame, error) {
	select {
	case f := <-a.x.toAgent:
		return f, nil
	case <-ctx.Done():
		return frame.Frame{}, ctx.Err()
	}
}

// Peer implements work.AgentExchange.
func (a agentEnd) Peer() string { return "entry" }
