package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	gometrics "github.com/rcrowley/go-metrics"

	"github.com/rattanway/rattanway/connection/backend"
	"github.com/rattanway/rattanway/process/eventlog"
	"github.com/rattanway/rattanway/request/dispatch"
	"github.com/rattanway/rattanway/version/catalog"
)

// names are the headers of the tests.
var names = Headers{
	RequestID: "X-Id", Deadline: "X-Deadline", Receipt: "X-Receipt", NotRun: "X-Not-Run",
	ExpectServer: "X-Expect-Server", ExpectVersion: "X-Expect-Version", Account: "X-Account", Model: "X-Model",
	Tokens: "X-Tokens", AnswerTokens: "X-Answer-Tokens",
	LastEvent: "Last-Event-Id", KeyScheme: "Token ", Own: []string{"X-Own"},
}

// arrival is a request as a server got it.
type arrival struct {
	req  *http.Request
	body string
	conn net.Conn
}

// server is a backend server that answers each request by a script.
type server struct {
	id       string
	listener net.Listener
	script   func(a arrival, n int) string
	mu       sync.Mutex
	arrivals []arrival
	conns    []net.Conn
	done     sync.WaitGroup
}

// newServer starts a server. script returns the bytes of the answer to its nth
// request; "" closes the connection without one.
func newServer(t *testing.T, id string, script func(a arrival, n int) string) *server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{id: id, listener: listener, script: script}
	s.done.Go(s.accept)
	t.Cleanup(func() {
		_ = listener.Close()
		s.mu.Lock()
		for _, c := range s.conns {
			_ = c.Close()
		}
		s.mu.Unlock()
		s.done.Wait()
	})
	return s
}

func (s *server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns = append(s.conns, conn)
		s.mu.Unlock()
		s.done.Go(func() { s.serve(conn) })
	}
}

func (s *server) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		a := arrival{req, string(body), conn}
		s.mu.Lock()
		s.arrivals = append(s.arrivals, a)
		n := len(s.arrivals)
		s.mu.Unlock()
		out := s.script(a, n)
		if out == "" {
			return
		}
		if _, err := io.WriteString(conn, out); err != nil {
			return
		}
		if strings.HasSuffix(out, cutHere) {
			return
		}
	}
}

// count returns the number of requests that arrived.
func (s *server) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.arrivals)
}

func (s *server) last() arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.arrivals[len(s.arrivals)-1]
}

// cutHere ends an answer after which the server closes the connection.
const cutHere = "\x00cut"

// whole is a server's complete answer.
func whole(a arrival, status int, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nX-Id: %s\r\nX-Receipt: r\r\nContent-Length: %d\r\n\r\n%s",
		status, a.req.Header.Get("X-Id"), len(body), body)
}

// notRun is a server's word that it did not run the request.
func notRun(a arrival) string {
	return "HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nX-Id: " + a.req.Header.Get("X-Id") + "\r\nContent-Length: 0\r\n\r\n"
}

// streamHead begins a chunked stream.
func streamHead(a arrival) string {
	return "HTTP/1.1 200 X\r\nX-Id: " + a.req.Header.Get("X-Id") +
		"\r\nX-Receipt: r\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
}

// chunk is a chunk of a chunked body.
func chunk(s string) string { return strconv.FormatInt(int64(len(s)), 16) + "\r\n" + s + "\r\n" }

// event is one event of a stream.
func event(id int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", id, id) }

const endOfChunks = "0\r\n\r\n"

// rig is a Handler in front of servers, behind a real HTTP listener.
type rig struct {
	front   *httptest.Server
	handler *Handler
	holder  *catalog.Holder
	desk    *dispatch.Desk
	pool    *backend.Pool
}

// newRig puts servers of one service behind a Handler.
func newRig(t *testing.T, change func(*catalog.Config), servers ...*server) *rig {
	t.Helper()
	clock := clockwork.NewRealClock()
	g := &rig{holder: catalog.NewHolder(eventlog.Discard()), pool: backend.NewPool(clock)}
	cfg := &catalog.Config{
		Version:  1,
		Services: map[string]*catalog.Service{"registry": {Name: "registry"}},
		Routes: []catalog.Route{
			route("/safe/", catalog.KindSafe), route("/unsafe/", catalog.KindUnsafe),
			route("/stream/", catalog.KindStream), route("/resumable/", catalog.KindStream),
		},
		Accounts: []catalog.Account{{Name: "growers", Keys: []string{"k1"}}}, AccountsDeclared: true,
	}
	cfg.Routes[3].Resumable = true
	if change != nil {
		change(cfg)
	}
	g.holder.Apply([]catalog.Change{{Config: cfg}}, true, false, time.Now())
	var listed []catalog.Change
	for _, s := range servers {
		listed = append(listed, catalog.Change{Server: &catalog.Server{
			ID: s.id, Service: "registry", Addr: s.listener.Addr().String(), DataCentre: "palermo", Slots: 4,
		}})
	}
	g.holder.Apply(listed, true, true, time.Now())
	g.desk = dispatch.NewDesk(dispatch.Config{
		DataCentre: "palermo", Regions: map[string]string{"palermo": "sicily"},
		Repeats: dispatch.RepeatLimits{Ratio: 0.2, Slack: 100, Window: 10 * time.Second}, Patience: 0.1,
	}, g.holder, clock)
	g.handler = New(Config{
		Headers: names, Holder: g.holder, Desk: g.desk, Pool: g.pool,
		Log: eventlog.Discard(), Clock: clock, Metrics: gometrics.NewRegistry(),
	})
	g.front = httptest.NewServer(g.handler)
	t.Cleanup(func() {
		g.front.CloseClientConnections()
		g.front.Close()
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = g.pool.Run(ctx)
	})
	return g
}

// route is a route of host "example" to the service "registry".
func route(prefix string, kind catalog.Kind) catalog.Route {
	return catalog.Route{
		Name: prefix, Host: "example", Prefix: prefix, Kind: kind, Timeout: 5 * time.Second,
		Objective: 300 * time.Millisecond, MaxServers: 2,
		Targets: []catalog.Target{{Service: "registry", Weight: 1}},
	}
}

// reply is an answer as a client got it.
type reply struct {
	status int
	header http.Header
	body   string
	// err says that the answer broke off.
	err error
}

// ask sends one request on a connection of its own.
func (g *rig) ask(t *testing.T, method, path, body string, header ...string) reply {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, g.front.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "example"
	req.Header.Set("X-Id", "id-1")
	req.Header.Set("Authorization", "Token k1")
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	return reply{resp.StatusCode, resp.Header, string(raw), err}
}
