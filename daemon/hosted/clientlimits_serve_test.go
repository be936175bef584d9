package hosted

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/platform"
	"github.com/rattanway/rattanway/process/eventlog"
	"github.com/rattanway/rattanway/version/catalog"
)

// pipeListener accepts connections in memory, whose deadlines work in virtual time.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	close(l.closed)
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// dial returns the client's end of a new connection.
func (l *pipeListener) dial() net.Conn {
	client, server := net.Pipe()
	l.conns <- server
	return client
}

// clientStand is an entry instance without backend servers, and its clients.
type clientStand struct {
	entry    *entry
	listener *pipeListener
	version  int64
}

// withClientStand calls f in a bubble of virtual time in which an entry instance serves
// clients.
func withClientStand(t *testing.T, f func(*clientStand)) {
	gometrics.NewMeter().Stop() // starts the ticker of all meters outside the bubble
	synctest.Test(t, func(t *testing.T) {
		s := &clientStand{
			entry:    newEntry(platform.Settings{Name: "entry-1"}, Options{Token: "token-of-peers"}, eventlog.Discard()),
			listener: newPipeListener(),
		}
		s.entry.setClientListener(s.listener)
		served := make(chan error, 1)
		go func() { served <- s.entry.clientServer.Serve(s.entry.clientListener) }()
		go func() { _ = s.entry.followCatalog(t.Context()) }()
		f(s)
		_ = s.entry.clientServer.Close()
		<-served
	})
}

// declare puts a configuration with the given limits in force.
func (s *clientStand) declare(limits catalog.Limits) {
	s.version++
	config := &catalog.Config{Version: s.version, Limits: limits}
	s.entry.catalogHolder.Apply([]catalog.Change{{Config: config}}, false, false, time.Now())
	synctest.Wait()
}

const wholeRequest = "GET / HTTP/1.1\r\nHost: example\r\n\r\n"

// send sends a request, or the rest of one, and returns the status of the response; 0 if
// there is none.
func send(conn net.Conn, request string) int {
	go func() { _, _ = io.WriteString(conn, request) }()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// Guards against connections that close under a request although the client keeps to the
// declared idle limit.
func TestRequestWithinTheDeclaredIdleLimit(t *testing.T) {
	// The limits are in force in turn; clients reuse connections that have been idle for up
	// to four fifths of the limit by which they go.
	for name, c := range map[string]struct {
		// before and after are the limits before and after a change, which comes when the
		// connection has been idle for changeAfter.
		before, after, changeAfter time.Duration
		idle                       time.Duration
	}{
		"a limit above the default":                            {60 * time.Second, 60 * time.Second, 0, 48 * time.Second},
		"a raised limit":                                       {15 * time.Second, 60 * time.Second, 10 * time.Second, 48 * time.Second},
		"a raised limit that is known just before":             {15 * time.Second, 60 * time.Second, 15 * time.Second, 48 * time.Second},
		"a lowered limit, by which the client does not go yet": {60 * time.Second, 6 * time.Second, 10 * time.Second, 48 * time.Second},
		"no limit any more, which the client does not know":    {60 * time.Second, 0, 10 * time.Second, 48 * time.Second},
		"a limit that was below the default":                   {6 * time.Second, 6 * time.Second, 0, 4800 * time.Millisecond},
	} {
		Convey("A request on a connection that was idle for four fifths of the limit gets a response: "+name, t, func() {
			var statuses []int
			withClientStand(t, func(s *clientStand) {
				s.declare(catalog.Limits{IdleTimeout: c.before})
				<-time.After(time.Minute)
				conn := s.listener.dial()
				statuses = append(statuses, send(conn, wholeRequest))
				<-time.After(c.changeAfter)
				s.declare(catalog.Limits{IdleTimeout: c.after})
				<-time.After(c.idle - c.changeAfter)
				statuses = append(statuses, send(conn, wholeRequest))
				_ = conn.Close()
			})
			So(statuses, ShouldResemble, []int{http.StatusServiceUnavailable, http.StatusServiceUnavailable})
		})
	}
}

// Guards against heads of requests that are cut although the client keeps to the declared
// limit.
func TestHeadWithinTheDeclaredTimeout(t *testing.T) {
	for _, used := range []bool{false, true} {
		Convey("A head that takes four fifths of a declared timeout above the default gets a response; connection used before: "+strconv.FormatBool(used), t, func() {
			status := 0
			withClientStand(t, func(s *clientStand) {
				s.declare(catalog.Limits{HeaderTimeout: 15 * time.Second})
				conn := s.listener.dial()
				if used {
					send(conn, wholeRequest)
				}
				_, _ = io.WriteString(conn, wholeRequest[:20])
				<-time.After(12 * time.Second)
				status = send(conn, wholeRequest[20:])
				_ = conn.Close()
			})
			So(status, ShouldEqual, http.StatusServiceUnavailable)
		})
	}
}

// Guards against 431 for heads within the declared size.
func TestHeadWithinTheDeclaredSize(t *testing.T) {
	const ok, tooLarge = http.StatusServiceUnavailable, http.StatusRequestHeaderFieldsTooLarge
	for name, c := range map[string]struct{ before, after, size, want int }{
		"a size above the default":                             {128 << 10, 128 << 10, 128 << 10, ok},
		"more than a size above the default":                   {128 << 10, 128 << 10, 200 << 10, tooLarge},
		"much more than a size above the default":              {128 << 10, 128 << 10, 2 << 20, tooLarge},
		"more than a size below the default":                   {16 << 10, 16 << 10, 24 << 10, tooLarge},
		"the default":                                          {0, 0, maxClientHeaderBytes, ok},
		"more than the default":                                {0, 0, 80 << 10, tooLarge},
		"a raised size":                                        {0, 128 << 10, 128 << 10, ok},
		"a lowered size, by which the client does not go yet":  {128 << 10, 16 << 10, 128 << 10, ok},
		"more than the bound of declared sizes":                {1 << 40, 1 << 40, 300 << 10, tooLarge},
		"a size that no request can keep to counts as a floor": {1, 1, 2 << 10, ok},
	} {
		Convey("A head within the declared size gets a response, and a larger one 431: "+name, t, func() {
			var first, second int
			withClientStand(t, func(s *clientStand) {
				s.declare(catalog.Limits{MaxHeaderBytes: int64(c.before)})
				<-time.After(time.Minute)
				s.declare(catalog.Limits{MaxHeaderBytes: int64(c.after)})
				head := strings.TrimSuffix(wholeRequest, "\r\n") + "X: "
				head += strings.Repeat("x", c.size-len(head)-len("\r\n\r\n")) + "\r\n\r\n"
				conn := s.listener.dial()
				first = send(conn, head)
				_ = conn.Close()
				conn = s.listener.dial()
				send(conn, wholeRequest)
				second = send(conn, head)
				_ = conn.Close()
			})
			So([]int{first, second}, ShouldResemble, []int{c.want, c.want})
		})
	}
}
