package work

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/process/eventlog"
)

// The events that a Server logs.
var (
	eventConnectionRefused = eventlog.Define(120, "work-connection-refused", logrus.WarnLevel,
		"An agent could not accept a work connection from an entry instance.")
	eventConnectionBroken = eventlog.Define(121, "work-connection-broken", logrus.WarnLevel,
		"An agent closed a work connection because it failed to handle a request on it.")
	eventRequestGivenUp = eventlog.Define(122, "work-request-given-up", logrus.InfoLevel,
		"An agent received a request that the entry instance had already given up; the request was not started.")
)

// Server accepts work connections at an agent and passes each request on a
// connection to a Handler. It implements http.Handler; the peer token must be
// checked before ServeHTTP is called.
type Server struct {
	handler Handler
	log     *eventlog.Logger

	mu     sync.Mutex
	conns  map[*frame.Conn]bool
	closed bool
}

// NewServer returns a Server that passes requests to handler.
func NewServer(handler Handler, log *eventlog.Logger) *Server {
	return &Server{handler: handler, log: log, conns: map[*frame.Conn]bool{}}
}

// ServeHTTP upgrades r to a work connection, handles the requests on it and
// returns when the connection has ended.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, err := frame.Accept(w, r)
	if err != nil {
		s.log.EventWithError(eventConnectionRefused, err, eventlog.Fields{"peer": r.RemoteAddr})
		return
	}
	if !s.track(conn) {
		_ = conn.Close()
		return
	}
	defer s.untrack(conn)
	s.serve(conn)
}

// Close closes every connection and refuses new connections. It aborts the
// requests that still run, so the Handler should be drained first.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for conn := range s.conns {
		_ = conn.Close()
	}
}

// track adds conn to the open connections. It returns false if the Server is
// closed.
func (s *Server) track(conn *frame.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[conn] = true
	return true
}

// untrack removes conn from the open connections and closes it.
func (s *Server) untrack(conn *frame.Conn) {
	s.mu.Lock()
	delete(s.conns, conn)
	s.mu.Unlock()
	_ = conn.Close()
}

// serve handles the requests on a connection, one after the other, until the
// connection ends or the Handler returns an error.
func (s *Server) serve(conn *frame.Conn) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	frames := make(chan frame.Frame)
	go receiveAll(ctx, cancel, conn, frames)

	x := &agentExchange{conn: conn, frames: frames}
	for {
		first, err := x.Receive(ctx)
		if err != nil {
			return
		}
		if conn.PeerClosed() {
			// The entry instance gave the request up, for example while this process
			// was paused. Starting the request would waste a slot.
			s.log.Event(eventRequestGivenUp, eventlog.Fields{"peer": conn.Peer()})
			return
		}
		if err := s.handler.Handle(ctx, first, x); err != nil {
			s.log.EventWithError(eventConnectionBroken, err, eventlog.Fields{"peer": conn.Peer()})
			return
		}
	}
}

// receiveAll sends the frames that conn receives to the channel frames. It
// returns, and cancels ctx, when the connection ends.
func receiveAll(ctx context.Context, cancel context.CancelFunc, conn *frame.Conn, frames chan<- frame.Frame) {
	defer cancel()
	for {
		f, err := conn.Receive(time.Time{})
		if err != nil {
			return
		}
		select {
		case frames <- f:
		case <-ctx.Done():
			return
		}
	}
}

// agentExchange implements AgentExchange on one connection.
type agentExchange struct {
	conn   *frame.Conn
	frames <-chan frame.Frame
}

// Send implements AgentExchange.
func (x *agentExchange) Send(kind frame.Kind, msg any) error { return x.conn.Send(kind, msg) }

// Peer implements AgentExchange.
func (x *agentExchange) Peer() string { return x.conn.Peer() }

// Receive implements AgentExchange.
func (x *agentExchange) Receive(ctx context.Context) (frame.Frame, error) {
	select {
	case f := <-x.frames:
		return f, nil
	case <-ctx.Done():
		return frame.Frame{}, core.WrapStep("receive frame", x.conn.Peer(), ctx.Err())
	}
}
