package hosted

import (
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"
	gometrics "github.com/rcrowley/go-metrics"

	"github.com/rattanway/rattanway/request/intake"
)

const (
	// maxKeptConns is the number of open connections above which a connection is closed after
	// its response, and a new one must send a request within the time for its head. It is less
	// where memory and descriptors are few; see connCrowd.maxKept.
	maxKeptConns = 4096
	// lastReadTimeout is the time of the read before an idle connection is closed. Only bytes
	// that have arrived already count.
	lastReadTimeout = 5 * time.Millisecond
	// headArrivalTime is the time for which a planned stop waits for the rest of a head.
	headArrivalTime = time.Second
	// readAhead is the size of the HTTP server's read buffer: so much more than a head may
	// be read with it.
	readAhead = 4 << 10
	// headRefusalTimeout and maxDiscarded limit how long, and how much, is read after a
	// refusal, so that the client reads it before the connection is reset.
	headRefusalTimeout = 500 * time.Millisecond
	maxDiscarded       = 4 << 20
)

// headRefusal is the response to a request whose head is too large.
const headRefusal = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\nhead of the request too large\n"

// errHeadTooLarge is the error of a read after a head that was too large.
var errHeadTooLarge = errors.New("head of the request too large")

// clientConns applies the limits of client connections to those of an HTTP server. The
// server's own timeouts cannot be changed while it serves. It is safe for concurrent use.
type clientConns struct {
	connCounts
	limits     *clientLimits
	idleClosed gometrics.Counter
	crowd      connCrowd
}

// newClientConns returns a clientConns whose metrics are registered in r.
func newClientConns(settle time.Duration, r gometrics.Registry) *clientConns {
	return &clientConns{
		limits:     newClientLimits(settle),
		idleClosed: gometrics.GetOrRegisterCounter("connections.idle-closed", r),
		crowd:      connCrowd{closed: gometrics.GetOrRegisterCounter("connections.crowd-closed", r)},
	}
}

// clientListener is a listener whose connections are kept by conns.
type clientListener struct {
	net.Listener
	conns *clientConns
}

// Accept implements [net.Listener].
func (l *clientListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: conn, conns: l.conns, lastHeadAt: time.Now()}, nil
}

// record implements the ConnState hook of [http.Server] for the connections of a
// clientListener.
func (c *clientConns) record(conn net.Conn, state http.ConnState) {
	c.connCounts.record(conn, state)
	if conn, ok := conn.(*clientConn); ok {
		conn.setState(state, c.isFull())
	}
	if state == http.StateNew {
		c.closeCrowd()
	}
}

// countForStop returns the number of connections without a complete head of a request, and
// of those with a request in progress, for [clientStop]. A request whose head has just begun
// to arrive on a connection that was used before counts as in progress: the HTTP server
// still takes the connection for idle and would close it.
func (c *clientConns) countForStop() (unused, active int) {
	unused, active, _ = c.counts()
	now := time.Now()
	for _, conn := range c.inState(http.StateIdle) {
		if conn, ok := conn.(*clientConn); ok && conn.headBegunAfter(now.Add(-headArrivalTime)) {
			active++
		}
	}
	return unused, active
}

// isFull reports whether more connections are open than are kept.
func (c *clientConns) isFull() bool { return c.total() > c.crowd.maxKept() }

// closeIfFull returns a handler that calls next and closes connections after their response
// while more are open than are kept.
func (c *clientConns) closeIfFull(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c.isFull() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// connPhase is what a client connection waits for.
type connPhase int

const (
	// connIdle means that no byte of a further request has been read.
	connIdle connPhase = iota
	// connInHead means that a part of a request's head has been read.
	connInHead
	// connInRequest means that a request is in progress, or that the connection is closed.
	connInRequest
)

// clientConn is a connection of a client. Its reads end at the deadline of the HTTP server
// or at the one by the limits in force, whichever is earlier. A connection of which a byte
// of a request has been read no longer counts as idle, so that no close for idleness cuts a
// request that was read.
type clientConn struct {
	net.Conn
	conns *clientConns

	mu    sync.Mutex
	phase connPhase
	// since is when phase began.
	since time.Time
	// serverDeadline is the deadline of the HTTP server; zero if there is none.
	serverDeadline time.Time
	// headBytes is how much has been read since the first byte of the head.
	headBytes int64
	// lastRead is true during the read before the connection is closed.
	lastRead bool
	// lastHeadAt is when a complete head of a request last arrived, or the connection was
	// accepted.
	lastHeadAt time.Time
	// evicted is true if the connection is closed unless a request arrives at this moment.
	evicted bool
	// head is what a large head takes of the budget, headTaken how much that is.
	head      intake.Holder
	headTaken int64
}

// CloseWrite closes the writing side. The HTTP server calls it to let a client read the
// last response before the connection is closed.
func (c *clientConn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}

// SetLinger sets how long a close waits for data that is not sent yet, as
// [net.TCPConn.SetLinger] does. The handler calls it to reset a connection.
func (c *clientConn) SetLinger(sec int) error {
	if conn, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		return conn.SetLinger(sec)
	}
	return nil
}

// Read implements [net.Conn].
func (c *clientConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	for n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.mayReadOn() {
		n, err = c.Conn.Read(p)
	}
	if n == 0 {
		return n, err
	}
	fits, more := c.received(n)
	if !fits {
		c.refuse(headRefusal)
		return 0, errHeadTooLarge
	}
	if more > 0 {
		if err := c.conns.crowd.budget.Grow(&c.head, more, c.endHead); err != nil {
			c.refuse(memoryRefusal)
			return 0, err
		}
	}
	return n, err
}

// mayReadOn reports whether a connection is to be read on after a read has reached its
// deadline, because the limit has been raised or because a request may have arrived while
// the process was paused.
func (c *clientConn) mayReadOn() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != connIdle {
		return false
	}
	now := time.Now()
	if now.Before(c.deadline()) {
		c.lastRead = false
		return c.applyDeadline() == nil
	}
	if c.lastRead {
		if !c.evicted {
			c.conns.idleClosed.Inc(1)
		}
		return false
	}
	c.lastRead = true
	return c.Conn.SetReadDeadline(now.Add(lastReadTimeout)) == nil
}

// received ends the idle phase and counts the n bytes that have been read. It reports
// whether the head of the request may be so large, and how many more bytes of the budget it
// needs.
func (c *clientConn) received(n int) (fits bool, more int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == connIdle {
		c.begin(connInHead)
	}
	if c.phase != connInHead {
		return true, 0
	}
	c.headBytes += int64(n)
	if c.conns.crowd.budget != nil && c.headBytes > smallHeadBytes {
		more = headMemoryFactor*c.headBytes - c.headTaken
		c.headTaken += more
	}
	return c.headBytes <= c.conns.limits.maxHeadBytes(c.since)+readAhead, more
}

// refuse sends a refusal to a request whose head has not been read completely, and closes the
// connection.
func (c *clientConn) refuse(refusal string) {
	defer func() { _ = c.Conn.Close() }()
	if c.Conn.SetDeadline(time.Now().Add(headRefusalTimeout)) != nil {
		return
	}
	if _, err := io.WriteString(c.Conn, refusal); err != nil || c.CloseWrite() != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, c.Conn, maxDiscarded) // until the client closes or the time is over
}

// headBegunAfter reports whether a part of a request's head has been read, the first byte
// after t.
func (c *clientConn) headBegunAfter(t time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == connInHead && c.since.After(t)
}

// setState follows the state that the HTTP server reports. full is true if more connections
// are open than are kept.
func (c *clientConn) setState(state http.ConnState, full bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.trackHead(state)
	switch {
	case state == http.StateIdle, state == http.StateNew && !full:
		c.begin(connIdle)
	case state == http.StateNew:
		c.begin(connInHead)
	default:
		c.begin(connInRequest)
	}
}

// begin sets the phase. The caller holds c.mu.
func (c *clientConn) begin(phase connPhase) {
	c.phase, c.since, c.headBytes, c.lastRead, c.evicted = phase, time.Now(), 0, false, false
	_ = c.applyDeadline() // if this fails, the connection is closed
}

// deadline returns when a read must end; zero if it may take any time. The caller holds
// c.mu.
func (c *clientConn) deadline() time.Time {
	if c.evicted {
		return time.Unix(1, 0)
	}
	var own time.Time
	switch c.phase {
	case connIdle:
		own = c.conns.limits.idleUntil(c.since)
	case connInHead:
		own = c.conns.limits.headUntil(c.since)
	}
	if own.IsZero() || !c.serverDeadline.IsZero() && c.serverDeadline.Before(own) {
		return c.serverDeadline
	}
	return own
}

// applyDeadline sets the deadline of the connection. The caller holds c.mu.
func (c *clientConn) applyDeadline() error { return c.Conn.SetReadDeadline(c.deadline()) }

// SetReadDeadline implements [net.Conn].
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serverDeadline = t
	return c.applyDeadline()
}

// SetDeadline implements [net.Conn].
func (c *clientConn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}
