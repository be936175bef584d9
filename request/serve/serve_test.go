package serve

import (
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/connection/engine"
	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/connection/work"
	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/process/eventlog"
	"github.com/rattanway/rattanway/request/admission"
	standin "github.com/rattanway/rattanway/standin/engine"
	"github.com/rattanway/rattanway/standin/service"
	"github.com/rattanway/rattanway/test/inprocess"
	"github.com/rattanway/rattanway/version/confstore"
	"github.com/rattanway/rattanway/version/declare"
)

const (
	testModel  = "oregano"
	waitBound  = 10 * time.Second
	testDigest = core.Digest("sha256:aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa")
	nextDigest = core.Digest("sha256:bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb")
)

// bench is one agent's handler behind a real work connection, with a stand-in
// behind it.
type bench struct {
	t       testing.TB
	engine  *standin.Engine
	service *service.Service
	holder  *confstore.Holder
	gate    *admission.Gate
	handler *Handler
	agent   core.Instance
	opener  work.Opener
	pool    *work.Pool
	clock   clockwork.Clock
}

// options change a bench.
type options struct {
	engine  standin.Config
	gate    admission.Config
	serve   Config
	service bool
	clock   clockwork.Clock
	// wrap stands between the handler and the engine's client.
	wrap func(engine.Engine) engine.Engine
}

func newBench(t testing.TB, o options) *bench {
	b := assemble(t, o, (*bench).listen)
	server := work.NewServer(b.handler, eventlog.Discard())
	listener := httptest.NewServer(server)
	t.Cleanup(func() { server.Close(); listener.Close() })
	b.agent = core.Instance{ID: "s1", Addr: strings.TrimPrefix(listener.URL, "http://")}
	b.pool = work.NewPool(work.PoolConfig{})
	t.Cleanup(b.pool.Close)
	b.opener = b.pool
	return b
}

// newVirtualBench is newBench without sockets, for virtual time.
func newVirtualBench(t testing.TB, o options) *bench {
	b := assemble(t, o, func(_ *bench, handler http.Handler) engine.Engine { return inprocess.NewEngine(handler) })
	b.agent = core.Instance{ID: "s1"}
	b.opener = inprocess.Opener{Agents: map[string]work.Handler{"s1": b.handler}}
	return b
}

// assemble makes the handler and the stand-in behind it; connect returns the
// client of the stand-in's handler.
func assemble(t testing.TB, o options, connect func(*bench, http.Handler) engine.Engine) *bench {
	b := &bench{t: t, holder: confstore.NewHolder(), clock: o.clock}
	if b.clock == nil {
		b.clock = clockwork.NewRealClock()
	}
	client := connect(b, b.backend(o))
	if o.service {
		o.serve.Service = "lots"
	}
	if o.wrap != nil {
		client = o.wrap(client)
	}
	o.serve.Self = core.Instance{ID: "s1", Role: core.RoleAgent, DataCentre: "palermo"}
	o.serve.Incarnation = "inc-1"
	o.gate.Metrics = metrics.NewRegistry()
	if testing.Verbose() {
		o.gate.Log = eventlog.New(os.Stderr, logrus.InfoLevel, "s1")
	}
	if o.gate.Limit == 0 {
		o.gate.Limit, o.gate.ColdLimit = 8, 8
	}
	b.gate = admission.New(o.gate, b.clock)
	status := func() (engine.Status, bool) {
		s, err := client.Status(context.Background())
		return s, err == nil
	}
	b.handler = New(o.serve, b.holder, b.gate, client, status, eventlog.Discard(), b.clock)
	b.configure(1, func(*declare.Set) {})
	return b
}

// backend makes the stand-in and returns its handler.
func (b *bench) backend(o options) http.Handler {
	if o.service {
		b.service = service.New(service.Config{Name: "lots"}, clockwork.NewRealClock())
		return b.service.Handler()
	}
	if o.engine.ColdLimit == 0 {
		o.engine.Slots, o.engine.ColdLimit = 64, 64
	}
	b.engine = standin.New(o.engine, clockwork.NewRealClock())
	b.engine.Preload(frame.Loaded{Model: testModel, Version: "v1", Digest: testDigest})
	return b.engine.Handler()
}

// listen serves the stand-in's handler on the loopback address and returns
// its client.
func (b *bench) listen(handler http.Handler) engine.Engine {
	server := httptest.NewServer(handler)
	b.t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	addr := strings.TrimPrefix(server.URL, "http://")
	if b.service != nil {
		return engine.NewServiceHTTP(addr, "")
	}
	return engine.NewHTTP(addr, "")
}

// configure puts a configuration in force.
func (b *bench) configure(number uint64, change func(*declare.Set)) {
	set := declare.NewSet()
	set.DataCentres["palermo"] = &declare.DataCentre{Name: "palermo"}
	set.BackendServers["s1"] = &declare.BackendServer{Name: "s1"}
	set.Services["lots"] = &declare.Service{Name: "lots", Routes: []declare.Route{
		{Method: "POST", Path: "/lots"}, {Method: "GET", Path: "/lots/", Repeatable: true},
	}}
	change(set)
	b.holder.Offer(&declare.Snapshot{Number: number, Set: set})
}

func completionRequest(id string, tokens string) frame.Request {
	return frame.Request{
		ID: id, Account: "a", Share: 1, Method: http.MethodPost, Path: chatPath, Model: testModel, Digest: testDigest, Config: 1,
		Body: []byte(`{"model":"` + testModel + `","stream":true,"max_tokens":` + tokens +
			`,"messages":[{"role":"user","content":"label ` + id + `"}]}`),
	}
}

// reply is what an exchange gave.
type reply struct {
	head   *frame.Head
	body   []byte
	tokens int
	end    *frame.End
	fail   *frame.Fail
	refuse *frame.Refuse
	err    error
}

// word says how the exchange ended.
func (r reply) word() string {
	switch {
	case r.end != nil:
		return "whole"
	case r.refuse != nil:
		return "refused " + string(r.refuse.Reason)
	case r.fail != nil:
		return "failed " + string(r.fail.Word)
	}
	return "broken"
}

// collect receives frames until the exchange ends.
func collect(ctx context.Context, x work.Exchange) reply {
	var r reply
	for {
		msg, err := x.Receive(ctx)
		if err != nil {
			r.err = err
			return r
		}
		switch m := msg.(type) {
		case *frame.Head:
			r.head = m
		case *frame.Data:
			r.body = append(r.body, m.Body...)
			r.tokens += m.Tokens
		case *frame.End:
			r.end = m
			return r
		case *frame.Fail:
			r.fail = m
			return r
		case *frame.Refuse:
			r.refuse = m
			return r
		}
	}
}

// do sends one request and returns its reply.
func (b *bench) do(kind frame.Kind, req frame.Request) reply {
	ctx, cancel := context.WithTimeout(context.Background(), waitBound)
	defer cancel()
	x, err := b.opener.Open(ctx, b.agent, req.ID, kind, req)
	if err != nil {
		return reply{err: err}
	}
	r := collect(ctx, x)
	x.Close(r.err == nil)
	return r
}

// text joins the tokens of a stream.
func text(stream []byte) string {
	var out strings.Builder
	for _, line := range strings.Split(string(stream), "\n") {
		_, rest, ok := strings.Cut(line, `"content":"`)
		if !ok {
			continue
		}
		token, _, _ := strings.Cut(rest, `"`)
		out.WriteString(token)
	}
	return out.String()
}

// eventually waits for a condition with a bound.
func eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	deadline := time.After(waitBound)
	ticker := time.NewTicker(2 * time.Millisecond)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ticker.C:
		case <-deadline:
			t.Fatalf("not within %s: %s", waitBound, what)
		}
	}
}

func TestRepeatableCall(t *testing.T) {
	Convey("Given an agent in front of an engine", t, func() {
		b := newBench(t, options{engine: standin.Config{PerToken: time.Millisecond, FirstToken: time.Millisecond}})

		Convey("a stream is passed on whole, with its tokens counted", func() {
			req := completionRequest("r1", "20")
			r := b.do(frame.KindRequest, req)
			So(r.word(), ShouldEqual, "whole")
			want, err := standin.Expected(testDigest, req.Body)
			So(err, ShouldBeNil)
			So(text(r.body), ShouldEqual, want)
			So(r.tokens, ShouldEqual, 20)
			So(r.head.Digest, ShouldEqual, testDigest)
			So(r.end.Bytes, ShouldEqual, len(r.body))
			So(r.end.Sum, ShouldEqual, xxhash.Sum64(r.body))
		})
		Convey("a resumed stream goes on after the tokens that the caller has", func() {
			req := completionRequest("r1", "20")
			whole, err := standin.Expected(testDigest, req.Body)
			So(err, ShouldBeNil)
			req.ResumeTokens = 12
			r := b.do(frame.KindRequest, req)
			So(r.tokens, ShouldEqual, 8)
			So(strings.HasSuffix(whole, text(r.body)), ShouldBeTrue)
		})
		Convey("an answer that is not streamed is passed on whole", func() {
			req := completionRequest("r1", "5")
			req.Body = []byte(strings.Replace(string(req.Body), `"stream":true,`, "", 1))
			r := b.do(frame.KindRequest, req)
			So(r.word(), ShouldEqual, "whole")
			want, err := standin.Expected(testDigest, req.Body)
			So(err, ShouldBeNil)
			So(string(r.body), ShouldContainSubstring, want)
		})
		Convey("closing the exchange cancels the call at the engine", func() {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			x, err := b.pool.Open(ctx, b.agent, "r1", frame.KindRequest, completionRequest("r1", "100000"))
			So(err, ShouldBeNil)
			_, err = x.Receive(ctx)
			So(err, ShouldBeNil)
			x.Close(false)
			eventually(t, "the engine sees the cancel", func() bool { return b.engine.Counters().Cancelled == 1 })
			eventually(t, "the slot is free", func() bool { return b.gate.Load().InFlight == 0 })
		})
	})
}
