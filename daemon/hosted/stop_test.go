package hosted

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/request/forward"
)

// busyServer is a fake of the handler, the listener and the HTTP server for clients. It
// records when it is called.
type busyServer struct {
	clock clockwork.Clock
	// activeUntil is the time until which requests are in progress.
	activeUntil time.Time
	// unused is the number of connections without any request.
	unused int

	mu               sync.Mutex
	stop             forward.Stop
	listenerClosedAt time.Time
	endedAt          time.Time
	shutdownAt       time.Time
	deadline         time.Time
}

// now locks the server and returns the time.
func (s *busyServer) now() time.Time {
	s.mu.Lock()
	return s.clock.Now()
}

func (s *busyServer) BeginStop(stop forward.Stop) { s.stop = stop }

func (s *busyServer) EndStop() {
	s.endedAt = s.now()
	s.mu.Unlock()
}

func (s *busyServer) Close() error {
	s.listenerClosedAt = s.now()
	s.mu.Unlock()
	return nil
}

func (s *busyServer) Shutdown(ctx context.Context) error {
	s.shutdownAt = s.now()
	s.deadline, _ = ctx.Deadline()
	s.mu.Unlock()
	return nil
}

func (s *busyServer) countConns() (unused, active int) {
	if s.clock.Now().Before(s.activeUntil) {
		return s.unused, 1
	}
	return s.unused, 0
}

func TestStopWhileClientsKeepComing(t *testing.T) {
	for _, active := range []time.Duration{0, 5 * time.Second, time.Minute} {
		Convey("A stop accepts connections until the load balancer has detected that the instance is not ready, even if clients keep connecting; requests in progress for "+active.String(), t, func() {
			clock := clockwork.NewFakeClock()
			start := clock.Now()
			server := &busyServer{clock: clock, activeUntil: start.Add(active)}
			stop := clientStop{clock: clock, handler: server, listener: server, server: server, countConns: server.countConns}
			stopped := make(chan error, 1)
			go func() { stopped <- stop.run(7500 * time.Millisecond) }()
			var err error
			for running := true; running; {
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
				if clock.BlockUntilContext(ctx, 1) == nil {
					clock.Advance(stopPollInterval)
				}
				cancel()
				select {
				case err = <-stopped:
					running = false
				default:
				}
			}
			So(err, ShouldBeNil)
			So(server.stop.BegunAt, ShouldEqual, start)
			// The load balancer checks readiness once a second and sends no more
			// connections after two failed checks.
			So(server.listenerClosedAt.Sub(start), ShouldBeGreaterThanOrEqualTo, 2*time.Second)
			// A request that arrives just before the shutdown and takes 4.5 s is
			// completed before SIGKILL.
			So(server.listenerClosedAt.Sub(start), ShouldBeLessThanOrEqualTo, 3*time.Second)
			// Requests are answered before the connections are closed.
			So(server.stop.AnswerAt.Sub(start), ShouldBeBetween, 7*time.Second, 7500*time.Millisecond)
			// Open connections stay open while requests are in progress, and no request
			// begins once connections are closed.
			closesAt := min(max(active, acceptPeriodAfterSignal), 7400*time.Millisecond)
			So(server.endedAt.Sub(start), ShouldBeBetweenOrEqual, closesAt, closesAt+2*stopPollInterval)
			So(server.shutdownAt, ShouldHappenOnOrAfter, server.endedAt)
			So(server.deadline.Sub(start), ShouldBeBetweenOrEqual, closesAt, 7500*time.Millisecond)
		})
	}
}

func TestWhatAStopWaitsFor(t *testing.T) {
	Convey("A stop waits for requests in progress, and for unused connections a short time", t, func() {
		for _, c := range []struct {
			unused, active int
			sinceClose     time.Duration
			want           bool
		}{
			{0, 1, time.Minute, true},
			{1, 0, unusedConnTime - time.Millisecond, true},
			{1, 0, unusedConnTime, false},
			{0, 0, 0, false},
		} {
			stop := clientStop{countConns: func() (int, int) { return c.unused, c.active }}
			So(stop.isBusy(c.sinceClose), ShouldEqual, c.want)
		}
	})
	Convey("A short grace leaves time for the answers after the listener is closed", t, func() {
		clock := clockwork.NewFakeClock()
		server := &busyServer{clock: clock}
		stop := clientStop{clock: clock, handler: server, listener: server, server: server, countConns: server.countConns}
		stopped := make(chan error, 1)
		go func() { stopped <- stop.run(time.Second) }()
		So(clock.BlockUntilContext(t.Context(), 1), ShouldBeNil)
		clock.Advance(time.Second / 2)
		So(<-stopped, ShouldBeNil)
		So(server.stop.AcceptUntil, ShouldHappenBefore, server.stop.AnswerAt)
	})
}

// stopHandler responds to each request, to those on /slow only after a time.
type stopHandler struct{ slow time.Duration }

func (h stopHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/slow" {
		<-time.After(h.slow)
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (stopHandler) BeginStop(forward.Stop) {}
func (stopHandler) EndStop()               {}

// Guards against connections that are closed while others still get responses: their
// clients do not learn whether a request that they have just sent has run.
func TestOpenConnectionsGetResponsesWhileOthersDo(t *testing.T) {
	Convey("Connections opened before a stop, used or not, get responses until the last request in progress has ended", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		handler := stopHandler{slow: acceptPeriodAfterSignal + 1500*time.Millisecond}
		var conns connCounts
		server := &http.Server{Handler: handler, ConnState: conns.record}
		served := make(chan error, 1)
		go func() { served <- server.Serve(listener) }()

		open := func() net.Conn {
			conn, err := net.Dial("tcp", listener.Addr().String())
			So(err, ShouldBeNil)
			return conn
		}
		// request sends a request and returns the status of the response.
		request := func(conn net.Conn, path string) (int, error) {
			if _, err := io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: example\r\n\r\n"); err != nil {
				return 0, err
			}
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				return 0, err
			}
			return resp.StatusCode, nil
		}
		unused, kept, slow := open(), open(), open()
		status, err := request(kept, "/")
		So(err, ShouldBeNil)
		So(status, ShouldEqual, http.StatusServiceUnavailable)
		slowDone := make(chan error, 1)
		go func() {
			_, err := request(slow, "/slow")
			slowDone <- err
		}()

		stop := clientStop{
			clock: clockwork.NewRealClock(), handler: handler, listener: listener, server: server,
			countConns: func() (int, int) {
				unused, active, _ := conns.counts()
				return unused, active
			},
		}
		stopped := make(chan error, 1)
		go func() { stopped <- stop.run(7500 * time.Millisecond) }()
		<-time.After(acceptPeriodAfterSignal + 500*time.Millisecond)
		_, err = net.Dial("tcp", listener.Addr().String())
		So(err, ShouldNotBeNil)
		for _, conn := range []net.Conn{unused, kept} {
			status, err := request(conn, "/")
			So(err, ShouldBeNil)
			So(status, ShouldEqual, http.StatusServiceUnavailable)
		}
		So(<-slowDone, ShouldBeNil)
		So(<-stopped, ShouldBeNil)
		So(<-served, ShouldNotBeNil)
		for _, conn := range []net.Conn{unused, kept, slow} {
			_ = conn.Close()
		}
	})
}

// Guards against stops that close a connection on which a request is just arriving.
func TestStopWhileAHeadArrives(t *testing.T) {
	Convey("A request whose head is arriving on a connection that was used before gets a response", t, func() {
		var handler stopHandler
		var server *http.Server
		addr, conns := serveTCP(t, time.Minute, handler.ServeHTTP, func(s *http.Server) { server = s })
		conn, err := net.Dial("tcp", addr)
		So(err, ShouldBeNil)
		So(send(conn, wholeRequest), ShouldEqual, http.StatusServiceUnavailable)
		stop := clientStop{
			clock: clockwork.NewRealClock(), handler: handler, listener: io.NopCloser(nil), server: server,
			countConns: conns.countForStop,
		}
		const grace = 1200 * time.Millisecond
		stopped := make(chan error, 1)
		go func() { stopped <- stop.run(grace) }()
		<-time.After(grace/2 - 100*time.Millisecond)
		_, err = io.WriteString(conn, wholeRequest[:20])
		So(err, ShouldBeNil)
		<-time.After(300 * time.Millisecond)
		So(send(conn, wholeRequest[20:]), ShouldEqual, http.StatusServiceUnavailable)
		So(<-stopped, ShouldBeNil)
		So(conn.Close(), ShouldBeNil)
	})
}
