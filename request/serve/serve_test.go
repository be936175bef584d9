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
	testModel   = "oregano"
	waitTimeout = 10 * time.Second
	testDigest  = core.Digest("sha256:aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa")
	otherDigest = core.Digest("sha256:bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb")
)

// harness runs one agent's handler between an entry instance, which the test
// plays, and a stand-in for the engine or service.
type harness struct {
	t       testing.TB
	engine  *standin.Engine
	service *service.Service
	holder  *confstore.Holder
	limiter *admission.AdaptiveLimiter
	handler *Handler
	agent   core.Instance
	opener  work.Opener
	pool    *work.Pool
	clock   clockwork.Clock
}

// options are the settings of a harness; zero values select defaults.
type options struct {
	engine  standin.Config
	limiter admission.Config
	serve   Config
	// service selects a stand-in for a plain service instead of an engine.
	service bool
	clock   clockwork.Clock
	// wrap, if set, wraps the client through which the handler calls the engine.
	wrap func(engine.Engine) engine.Engine
}

// newHarness returns a harness whose work connection and connection to the
// stand-in use sockets.
func newHarness(t testing.TB, o options) *harness {
	h := newUnconnectedHarness(t, o, (*harness).serveStandin)
	server := work.NewServer(h.handler, eventlog.Discard())
	listener := httptest.NewServer(server)
	t.Cleanup(func() { server.Close(); listener.Close() })
	h.agent = core.Instance{ID: "s1", Addr: strings.TrimPrefix(listener.URL, "http://")}
	h.pool = work.NewPool(work.PoolConfig{})
	t.Cleanup(h.pool.Close)
	h.opener = h.pool
	return h
}

// newVirtualHarness returns a harness whose connections use no sockets, for tests
// in virtual time.
func newVirtualHarness(t testing.TB, o options) *harness {
	h := newUnconnectedHarness(t, o, func(_ *harness, handler http.Handler) engine.Engine { return inprocess.NewEngineClient(handler) })
	h.agent = core.Instance{ID: "s1"}
	h.opener = inprocess.Opener{AgentHandlers: map[string]work.Handler{"s1": h.handler}}
	return h
}

// newUnconnectedHarness returns a harness with the handler and the stand-in, but
// without the connection of the entry instance. connect returns a client for the
// stand-in's HTTP handler.
func newUnconnectedHarness(t testing.TB, o options, connect func(*harness, http.Handler) engine.Engine) *harness {
	h := &harness{t: t, holder: confstore.NewHolder(), clock: o.clock}
	if h.clock == nil {
		h.clock = clockwork.NewRealClock()
	}
	client := connect(h, h.newStandin(o))
	if o.service {
		o.serve.Service = "lots"
	}
	if o.wrap != nil {
		client = o.wrap(client)
	}
	o.serve.Self = core.Instance{ID: "s1", Role: core.RoleAgent, DataCentre: "palermo"}
	o.serve.Incarnation = "inc-1"
	o.limiter.Metrics = metrics.NewRegistry()
	if testing.Verbose() {
		o.limiter.Log = eventlog.New(os.Stderr, logrus.InfoLevel, "s1")
	}
	if o.limiter.Limit == 0 {
		o.limiter.Limit, o.limiter.ColdLimit = 8, 8
	}
	h.limiter = admission.New(o.limiter, h.clock)
	status := func() (engine.Status, bool) {
		s, err := client.Status(context.Background())
		return s, err == nil
	}
	h.handler = New(o.serve, h.holder, h.limiter, client, status, eventlog.Discard(), h.clock)
	h.configure(1, func(*declare.Set) {})
	return h
}

// newStandin starts the stand-in engine or service of h and returns the stand-in's
// HTTP handler.
func (h *harness) newStandin(o options) http.Handler {
	if o.service {
		h.service = service.New(service.Config{Name: "lots"}, clockwork.NewRealClock())
		return h.service.Handler()
	}
	if o.engine.ColdLimit == 0 {
		o.engine.Slots, o.engine.ColdLimit = 64, 64
	}
	h.engine = standin.New(o.engine, clockwork.NewRealClock())
	h.engine.Preload(frame.LoadedVersion{Model: testModel, Version: "v1", Digest: testDigest})
	return h.engine.Handler()
}

// serveStandin serves the stand-in's handler on the loopback address and returns
// a client for it.
func (h *harness) serveStandin(handler http.Handler) engine.Engine {
	server := httptest.NewServer(handler)
	h.t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	addr := strings.TrimPrefix(server.URL, "http://")
	if h.service != nil {
		return engine.NewServiceHTTPClient(addr, "")
	}
	return engine.NewHTTPClient(addr, "")
}

// configure puts a configuration with the given number in force: the default
// declarations, modified by change.
func (h *harness) configure(number uint64, change func(*declare.Set)) {
	set := declare.NewSet()
	set.DataCentres["palermo"] = &declare.DataCentre{Name: "palermo"}
	set.BackendServers["s1"] = &declare.BackendServer{Name: "s1"}
	set.Services["lots"] = &declare.Service{Name: "lots", Routes: []declare.Route{
		{Method: "POST", Path: "/lots"}, {Method: "GET", Path: "/lots/", Repeatable: true},
	}}
	change(set)
	h.holder.Offer(&declare.Snapshot{Number: number, Set: set})
}

// completionRequest returns a streamed call to the engine. maxTokens, a decimal
// number, is the number of tokens in the response.
func completionRequest(id string, maxTokens string) frame.Request {
	return frame.Request{
		ID: id, Account: "a", Share: 1, Method: http.MethodPost, Path: chatPath, Model: testModel, Digest: testDigest, ConfigNumber: 1,
		Body: []byte(`{"model":"` + testModel + `","stream":true,"max_tokens":` + maxTokens +
			`,"messages":[{"role":"user","content":"label ` + id + `"}]}`),
	}
}

// reply collects the frames that the agent sent in an exchange.
type reply struct {
	head       *frame.Head
	body       []byte
	tokenCount int
	end        *frame.End
	fail       *frame.Fail
	refuse     *frame.Refuse
	err        error
}

// summary describes how the exchange ended, such as "whole" or "refused full".
func (r reply) summary() string {
	switch {
	case r.end != nil:
		return "whole"
	case r.refuse != nil:
		return "refused " + string(r.refuse.Reason)
	case r.fail != nil:
		return "failed " + string(r.fail.FailureOutcome)
	}
	return "broken"
}

// collectReply receives frames until the exchange ends, and returns the reply.
func collectReply(ctx context.Context, exchange work.Exchange) reply {
	var r reply
	for {
		msg, err := exchange.Receive(ctx)
		if err != nil {
			r.err = err
			return r
		}
		switch m := msg.(type) {
		case *frame.Head:
			r.head = m
		case *frame.Data:
			r.body = append(r.body, m.Body...)
			r.tokenCount += m.Tokens
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

// do opens an exchange with req and returns the reply.
func (h *harness) do(kind frame.Kind, req frame.Request) reply {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	exchange, err := h.opener.Open(ctx, h.agent, req.ID, kind, req)
	if err != nil {
		return reply{err: err}
	}
	r := collectReply(ctx, exchange)
	exchange.Close(r.err == nil)
	return r
}

// joinTokens returns the text of all tokens of an event stream.
func joinTokens(stream []byte) string {
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

// eventually waits until condition is true, and fails the test after waitTimeout.
// description describes the condition.
func eventually(t testing.TB, description string, condition func() bool) {
	t.Helper()
	deadline := time.After(waitTimeout)
	ticker := time.NewTicker(2 * time.Millisecond)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ticker.C:
		case <-deadline:
			t.Fatalf("not within %s: %s", waitTimeout, description)
		}
	}
}

func TestRepeatableCall(t *testing.T) {
	Convey("Given an agent in front of an engine", t, func() {
		h := newHarness(t, options{engine: standin.Config{TokenInterval: time.Millisecond, TimeToFirstToken: time.Millisecond}})

		Convey("a stream is forwarded completely, with its tokens counted", func() {
			req := completionRequest("r1", "20")
			r := h.do(frame.KindRequest, req)
			So(r.summary(), ShouldEqual, "whole")
			want, err := standin.ExpectedText(testDigest, req.Body)
			So(err, ShouldBeNil)
			So(joinTokens(r.body), ShouldEqual, want)
			So(r.tokenCount, ShouldEqual, 20)
			So(r.head.Digest, ShouldEqual, testDigest)
			So(r.end.BodyBytes, ShouldEqual, len(r.body))
			So(r.end.BodyChecksum, ShouldEqual, xxhash.Sum64(r.body))
		})
		Convey("a resumed stream continues after the tokens that the caller already has", func() {
			req := completionRequest("r1", "20")
			completeText, err := standin.ExpectedText(testDigest, req.Body)
			So(err, ShouldBeNil)
			req.ResumeTokens = 12
			r := h.do(frame.KindRequest, req)
			So(r.tokenCount, ShouldEqual, 8)
			So(strings.HasSuffix(completeText, joinTokens(r.body)), ShouldBeTrue)
		})
		Convey("a response that is not streamed is forwarded completely", func() {
			req := completionRequest("r1", "5")
			req.Body = []byte(strings.Replace(string(req.Body), `"stream":true,`, "", 1))
			r := h.do(frame.KindRequest, req)
			So(r.summary(), ShouldEqual, "whole")
			want, err := standin.ExpectedText(testDigest, req.Body)
			So(err, ShouldBeNil)
			So(string(r.body), ShouldContainSubstring, want)
		})
		Convey("closing the exchange cancels the call at the engine", func() {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			exchange, err := h.pool.Open(ctx, h.agent, "r1", frame.KindRequest, completionRequest("r1", "100000"))
			So(err, ShouldBeNil)
			_, err = exchange.Receive(ctx)
			So(err, ShouldBeNil)
			exchange.Close(false)
			eventually(t, "the engine has counted the cancellation", func() bool { return h.engine.Counters().Cancelled == 1 })
			eventually(t, "the slot is free", func() bool { return h.limiter.Load().InFlight == 0 })
		})
	})
}
