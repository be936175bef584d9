package work

import (
	"context"
	"net"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"

	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/process/eventlog"
)

// handlerFunc is a function that implements Handler.
type handlerFunc func(ctx context.Context, first frame.Frame, x AgentExchange) error

// Handle implements Handler.
func (f handlerFunc) Handle(ctx context.Context, first frame.Frame, x AgentExchange) error {
	return f(ctx, first, x)
}

// startAgent starts an agent with the given handler. It returns a Pool, the agent
// and a function that stops both.
func startAgent(handler handlerFunc) (*Pool, core.Instance, func()) {
	server := NewServer(handler, eventlog.Discard())
	listener := httptest.NewServer(server)
	pool := NewPool(PoolConfig{PeerToken: "peer-token"})
	agent := core.Instance{ID: "gpu-1", Addr: strings.TrimPrefix(listener.URL, "http://")}
	return pool, agent, func() {
		pool.Close()
		server.Close()
		listener.Close()
	}
}

// respondWithEnd returns a handler that responds to each request with an End
// message that carries responseID, or the request's ID if responseID is empty.
func respondWithEnd(responseID string) handlerFunc {
	return func(_ context.Context, first frame.Frame, x AgentExchange) error {
		var req frame.Request
		if err := first.Decode(&req); err != nil {
			return err
		}
		id := responseID
		if id == "" {
			id = req.ID
		}
		return x.Send(frame.KindEnd, frame.End{ID: id})
	}
}

func TestPool(t *testing.T) {
	defer goleak.VerifyNone(t)
	ctx := context.Background()
	Convey("A connection is reused after a finished exchange", t, func() {
		pool, agent, stop := startAgent(respondWithEnd(""))
		defer stop()
		for _, id := range []string{"r1", "r2"} {
			x, err := pool.Open(ctx, agent, id, frame.KindRequest, frame.Request{ID: id})
			So(err, ShouldBeNil)
			msg, err := x.Receive(ctx)
			So(err, ShouldBeNil)
			So(msg.(*frame.End).ID, ShouldEqual, id)
			x.Close(true)
		}
		So(len(pool.idle[agent.Addr]), ShouldEqual, 1)
	})
	Convey("A frame that carries another request's ID is discarded, and its connection is closed", t, func() {
		pool, agent, stop := startAgent(respondWithEnd("r0"))
		defer stop()
		x, err := pool.Open(ctx, agent, "r1", frame.KindRequest, frame.Request{ID: "r1"})
		So(err, ShouldBeNil)
		_, err = x.Receive(ctx)
		So(errors.Is(err, ErrWrongRequestID), ShouldBeTrue)
		So(err.Error(), ShouldContainSubstring, "gpu-1")
		x.Close(true)
		So(pool.idle[agent.Addr], ShouldBeEmpty)
	})
	Convey("Closing an unfinished exchange cancels the context of the agent's handler", t, func() {
		started, ended := make(chan struct{}), make(chan struct{})
		pool, agent, stop := startAgent(func(ctx context.Context, _ frame.Frame, _ AgentExchange) error {
			close(started)
			<-ctx.Done()
			close(ended)
			return ctx.Err()
		})
		defer stop()
		x, err := pool.Open(ctx, agent, "r1", frame.KindRequest, frame.Request{ID: "r1"})
		So(err, ShouldBeNil)
		So(closedWithin(started, 5*time.Second), ShouldBeTrue)
		x.Close(false)
		So(closedWithin(ended, 5*time.Second), ShouldBeTrue)
	})
	Convey("Receive returns when its context ends", t, func() {
		pool, agent, stop := startAgent(func(ctx context.Context, _ frame.Frame, _ AgentExchange) error {
			<-ctx.Done()
			return ctx.Err()
		})
		defer stop()
		x, err := pool.Open(ctx, agent, "r1", frame.KindRequest, frame.Request{ID: "r1"})
		So(err, ShouldBeNil)
		timeoutCtx, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
		defer cancel()
		_, err = x.Receive(timeoutCtx)
		So(errors.Is(err, context.DeadlineExceeded), ShouldBeTrue)
		x.Close(false)
	})
}

// closedWithin reports whether ch is closed before the timeout.
func closedWithin(ch <-chan struct{}, timeout time.Duration) bool {
	select {
	case <-ch:
		return true
	case <-time.After(timeout):
		return false
	}
}

// gatedListener accepts connections that are read only while the gate is open.
type gatedListener struct {
	net.Listener
	gate *sync.RWMutex
}

func (l gatedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return gatedConn{conn.(*net.TCPConn), l.gate}, nil
}

type gatedConn struct {
	*net.TCPConn
	gate *sync.RWMutex
}

// Read waits until the gate is open after data has arrived.
func (c gatedConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.gate.RLock()
	defer c.gate.RUnlock()
	return n, err
}

func TestRequestGivenUpWhileTheAgentIsPaused(t *testing.T) {
	Convey("A request that was given up while the agent did not run is not started", t, func() {
		var handledCount atomic.Int32
		server := NewServer(handlerFunc(func(_ context.Context, first frame.Frame, x AgentExchange) error {
			handledCount.Add(1)
			return respondWithEnd("")(context.Background(), first, x)
		}), eventlog.Discard())
		var gate sync.RWMutex
		listener := httptest.NewUnstartedServer(server)
		listener.Listener = gatedListener{listener.Listener, &gate}
		listener.Start()
		defer listener.Close()
		defer server.Close()
		pool := NewPool(PoolConfig{PeerToken: "peer-token"})
		defer pool.Close()
		agent := core.Instance{ID: "gpu-1", Addr: strings.TrimPrefix(listener.URL, "http://")}
		call := func(id string) Exchange {
			x, err := pool.Open(t.Context(), agent, id, frame.KindRequest, frame.Request{ID: id})
			So(err, ShouldBeNil)
			return x
		}
		x := call("r1")
		_, err := x.Receive(t.Context())
		So(err, ShouldBeNil)
		x.Close(true)
		So(handledCount.Load(), ShouldEqual, 1)

		gate.Lock()
		call("given-up").Close(false)
		gate.Unlock()
		x = call("r3")
		_, err = x.Receive(t.Context())
		So(err, ShouldBeNil)
		x.Close(true)
		server.Close()
		listener.Close()
		So(handledCount.Load(), ShouldEqual, 2)
	})
}
