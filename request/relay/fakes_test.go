package relay

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
	"github.com/labstack/echo/v4"

	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/connection/registry"
	"github.com/rattanway/rattanway/connection/work"
	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/process/eventlog"
	"github.com/rattanway/rattanway/request/once"
	"github.com/rattanway/rattanway/request/routing"
	"github.com/rattanway/rattanway/version/confstore"
	"github.com/rattanway/rattanway/version/declare"
)

const (
	testKey    = "key-of-consorzio"
	testDigest = core.Digest("sha256:aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa")
)

// fakeAgent is the behaviour of an agent in one exchange. msg is the first
// message of the entry instance.
type fakeAgent func(x *fakeExchange, kind frame.Kind, msg any)

// fakeExchange is an exchange between an entry instance and a fakeAgent. The
// entry instance uses its exported methods.
type fakeExchange struct {
	toEntryInstance chan any
	toAgent         chan any
	closed          chan struct{}
	closeOnce       sync.Once
}

func (x *fakeExchange) Send(_ frame.Kind, msg any) error {
	select {
	case x.toAgent <- msg:
		return nil
	case <-x.closed:
		return errors.New("closed")
	}
}

func (x *fakeExchange) Receive(ctx context.Context) (any, error) {
	select {
	case msg, ok := <-x.toEntryInstance:
		if !ok {
			return nil, errors.New("connection reset")
		}
		return msg, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (x *fakeExchange) Close(bool) { x.closeOnce.Do(func() { close(x.closed) }) }

// sendToEntryInstance sends messages to the entry instance, and stops once the
// entry instance has closed the exchange.
func (x *fakeExchange) sendToEntryInstance(msgs ...any) {
	for _, m := range msgs {
		select {
		case x.toEntryInstance <- m:
		case <-x.closed:
			return
		}
	}
}

// breakConnection makes the entry instance's next Receive return the error of a
// reset connection.
func (x *fakeExchange) breakConnection() { close(x.toEntryInstance) }

// fakeOpener opens exchanges with fakeAgents.
type fakeOpener struct {
	mu     sync.Mutex
	agents map[string]fakeAgent
	// opened lists the agents of all exchanges, in the order of opening.
	opened []string
	// running counts the exchanges that agents have not finished.
	running sync.WaitGroup
}

func (o *fakeOpener) Open(_ context.Context, agent core.Instance, _ string, kind frame.Kind, msg any) (work.Exchange, error) {
	o.mu.Lock()
	respond, ok := o.agents[agent.ID]
	o.opened = append(o.opened, agent.ID)
	o.mu.Unlock()
	if !ok {
		return nil, errors.New("connection refused")
	}
	x := &fakeExchange{toEntryInstance: make(chan any), toAgent: make(chan any, 1), closed: make(chan struct{})}
	o.running.Go(func() { respond(x, kind, msg) })
	return x, nil
}

// fixture is a Relay with fake agents, served by a real HTTP server.
type fixture struct {
	opener *fakeOpener
	relay  *Relay
	holder *confstore.Holder
	server *httptest.Server
}

// newFixture starts a Relay with the given agents. An agent whose id begins
// with "booking" runs the plain service booking; every other agent runs an
// engine.
func newFixture(t *testing.T, config Config, onceRecords *once.RecordStore, agents map[string]fakeAgent) *fixture {
	t.Helper()
	fx := &fixture{opener: &fakeOpener{agents: agents}, holder: confstore.NewHolder()}
	reg := registry.New()
	set := testDeclarations()
	for id := range agents {
		service := ""
		if strings.HasPrefix(id, "booking") {
			service = "booking"
		}
		set.BackendServers[id] = &declare.BackendServer{Name: id, DataCentre: "palermo", Limit: 100, ColdLimit: 5, Service: service}
		reg.Put(registry.Server{
			Instance:    core.Instance{ID: id, Role: core.RoleAgent, DataCentre: "palermo", Region: "west"},
			Incarnation: "i1", Service: service,
			Report: frame.Report{State: frame.StateReady, Limit: 100, Loaded: []frame.LoadedVersion{{Model: "labels", Digest: testDigest}}},
		})
	}
	fx.holder.Offer(&declare.Snapshot{Number: 1, Set: set})
	clock := clockwork.NewRealClock()
	router := routing.New(routing.Config{Self: core.Instance{DataCentre: "palermo", Region: "west"}, Policy: routing.PolicyRoundRobin},
		reg, fx.holder, eventlog.Discard(), clock)
	fx.relay = New(config, fx.holder, router, fx.opener, onceRecords, eventlog.Discard(), clock)
	e := echo.New()
	fx.relay.Register(e)
	fx.server = httptest.NewServer(e)
	fx.server.Config.ErrorLog = nil
	t.Cleanup(fx.server.Close)
	return fx
}

// testDeclarations returns declarations without backend servers.
func testDeclarations() *declare.Set {
	set := declare.NewSet()
	set.DataCentres["palermo"] = &declare.DataCentre{Name: "palermo", Region: "west"}
	set.Models["labels"] = &declare.Model{Name: "labels", Version: "v1", Replicas: 1}
	set.Versions["v1"] = &declare.Version{Name: "v1", Model: "labels", Manifest: testDigest}
	set.ClientAccounts["consorzio"] = &declare.ClientAccount{Name: "consorzio", KeyHash: core.DigestOf([]byte(testKey))}
	set.Services["booking"] = &declare.Service{Name: "booking", Routes: []declare.Route{
		{Method: "GET", Path: "/units", Repeatable: true},
		{Method: "POST", Path: "/deposits"},
	}}
	return set
}

// post sends a call. header holds alternating names and values of header fields.
func (fx *fixture) post(path, body string, header ...string) (*http.Response, error) {
	req, err := http.NewRequest(http.MethodPost, fx.server.URL+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	return http.DefaultClient.Do(req)
}

// tokenEvent returns the event with token n.
func tokenEvent(n int) []byte { return fmt.Appendf(nil, "data: {\"token\":\"t%d\"}\n\n", n) }

// streamingAgent returns an agent that streams tokens from ResumeTokens up to
// total and then ends the response. If breakAfter is not 0, it breaks the
// connection when the response has that many tokens.
func streamingAgent(total, breakAfter int) fakeAgent {
	return func(x *fakeExchange, _ frame.Kind, msg any) {
		req := msg.(frame.Request)
		x.sendToEntryInstance(&frame.Head{ID: req.ID, Status: 200, Digest: testDigest, Header: map[string][]string{"Content-Type": {"text/event-stream"}}})
		var sent bytes.Buffer
		for n := req.ResumeTokens; n < total; n++ {
			if breakAfter > 0 && n >= breakAfter {
				x.breakConnection()
				return
			}
			sent.Write(tokenEvent(n))
			x.sendToEntryInstance(&frame.Data{ID: req.ID, Body: tokenEvent(n), Tokens: 1})
		}
		done := []byte("data: [DONE]\n\n")
		sent.Write(done)
		x.sendToEntryInstance(&frame.Data{ID: req.ID, Body: done})
		x.sendToEntryInstance(endFrame(req.ID, sent.Bytes()))
	}
}

// endFrame returns the End frame of a response with the given body.
func endFrame(id string, body []byte) *frame.End {
	return &frame.End{ID: id, BodyBytes: int64(len(body)), BodyChecksum: xxhash.Sum64(body), Load: frame.Load{Limit: 100}}
}

// completeStream returns the body of a complete stream with total tokens.
func completeStream(total int) string {
	var b strings.Builder
	for n := range total {
		b.Write(tokenEvent(n))
	}
	return b.String() + "data: [DONE]\n\n"
}
