package forward

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/version/catalog"
)

// answering is a server that answers every request.
func answering(t *testing.T, id string) *server {
	return newServer(t, id, func(a arrival, _ int) string { return whole(a, http.StatusOK, "from "+id) })
}

func TestRequestReachesTheServerUnchanged(t *testing.T) {
	Convey("Method, path, query, body and other headers pass; the system's own headers are its own", t, func() {
		s := answering(t, "s1")
		g := newRig(t, nil, s)
		r := g.ask(t, http.MethodPost, "/unsafe/a%2Fb?x=1&x=2", "lot 7",
			"X-Account", "forged", "X-Own", "forged", "X-Expect-Server", "forged", "X-Other", "kept", "X-Deadline", "900")
		So(r.status, ShouldEqual, http.StatusOK)
		So(r.body, ShouldEqual, "from s1")
		So(r.header.Get("X-Receipt"), ShouldEqual, "r")
		got := s.last()
		So(got.req.Method, ShouldEqual, http.MethodPost)
		So(got.req.RequestURI, ShouldEqual, "/unsafe/a%2Fb?x=1&x=2")
		So(got.req.Host, ShouldEqual, "example")
		So(got.body, ShouldEqual, "lot 7")
		So(got.req.Header.Get("X-Account"), ShouldEqual, "growers")
		So(got.req.Header.Get("X-Own"), ShouldBeEmpty)
		So(got.req.Header.Get("X-Expect-Server"), ShouldEqual, "s1")
		So(got.req.Header.Get("X-Other"), ShouldEqual, "kept")
		So(got.req.Header.Get("Authorization"), ShouldBeEmpty)
		left, err := strconv.Atoi(got.req.Header.Get("X-Deadline"))
		So(err, ShouldBeNil)
		So(left, ShouldBeBetweenOrEqual, 1, 900)
	})
}

func TestRefusalsOfOurOwn(t *testing.T) {
	Convey("What no configuration allows is refused and reaches no server", t, func() {
		s := answering(t, "s1")
		g := newRig(t, nil, s)
		So(g.ask(t, http.MethodGet, "/nothing/", "").status, ShouldEqual, http.StatusNotFound)
		So(g.ask(t, http.MethodGet, "/safe/", "", "Authorization", "Token wrong").status, ShouldEqual, http.StatusUnauthorized)
		So(s.count(), ShouldEqual, 0)
	})

	Convey("A process that knows no configuration answers 503, never 404", t, func() {
		g := newRig(t, nil)
		g.handler.cfg.Holder = catalog.NewHolder(g.handler.cfg.Log)
		r := g.ask(t, http.MethodGet, "/nothing/", "")
		So(r.status, ShouldEqual, http.StatusServiceUnavailable)
		So(r.header.Get("Retry-After"), ShouldNotBeEmpty)
	})

	Convey("Servers in other regions than the route's are not used", t, func() {
		s := answering(t, "s1")
		g := newRig(t, func(c *catalog.Config) { c.Routes[0].Regions = []string{"elsewhere"} }, s)
		So(g.ask(t, http.MethodGet, "/safe/", "").status, ShouldEqual, http.StatusServiceUnavailable)
		So(s.count(), ShouldEqual, 0)
	})
}

func TestWhatMayBeRepeated(t *testing.T) {
	breaking := func(t *testing.T, id string) *server {
		return newServer(t, id, func(arrival, int) string { return "" })
	}

	Convey("A request that may not be repeated and got no answer is 502, and is sent once", t, func() {
		a, b := breaking(t, "s1"), breaking(t, "s2")
		g := newRig(t, nil, a, b)
		So(g.ask(t, http.MethodPost, "/unsafe/", "lot 7").status, ShouldEqual, http.StatusBadGateway)
		So(a.count()+b.count(), ShouldEqual, 1)
	})

	Convey("A safe request is sent to another server", t, func() {
		a, b := breaking(t, "s1"), answering(t, "s2")
		g := newRig(t, nil, a, b)
		for range 3 {
			So(g.ask(t, http.MethodGet, "/safe/", "").body, ShouldEqual, "from s2")
		}
	})

	Convey("A request that a server did not run goes to another, also one that may not be repeated", t, func() {
		a := newServer(t, "s1", func(a arrival, _ int) string { return notRun(a) })
		b := answering(t, "s2")
		g := newRig(t, nil, a, b)
		for range 3 {
			So(g.ask(t, http.MethodPost, "/unsafe/", "lot 7").body, ShouldEqual, "from s2")
		}
	})

	Convey("When no server ran it, the answer is a true 503 with a time to come back", t, func() {
		a := newServer(t, "s1", func(a arrival, _ int) string { return notRun(a) })
		g := newRig(t, nil, a)
		r := g.ask(t, http.MethodPost, "/unsafe/", "lot 7")
		So(r.status, ShouldEqual, http.StatusServiceUnavailable)
		So(r.header.Get("Retry-After"), ShouldNotBeEmpty)
	})

	Convey("A server's own failure is passed on with its receipt", t, func() {
		a := newServer(t, "s1", func(a arrival, _ int) string { return whole(a, http.StatusInternalServerError, "failed") })
		g := newRig(t, nil, a)
		for _, path := range []string{"/unsafe/", "/safe/"} {
			r := g.ask(t, http.MethodPost, path, "")
			So(r.status, ShouldEqual, http.StatusInternalServerError)
			So(r.header.Get("X-Receipt"), ShouldEqual, "r")
			So(r.body, ShouldEqual, "failed")
		}
	})
}

func TestAnswersThatAreNotTheServers(t *testing.T) {
	bad := map[string]func(a arrival) string{
		"without a receipt": func(a arrival) string {
			return "HTTP/1.1 200 X\r\nX-Id: " + a.req.Header.Get("X-Id") + "\r\nContent-Length: 2\r\n\r\nno"
		},
		"with an encoding": func(a arrival) string {
			return strings.Replace(whole(a, 200, "no"), "X-Receipt", "Content-Encoding: gzip\r\nX-Receipt", 1)
		},
		"cut short": func(a arrival) string {
			return strings.Replace(whole(a, 200, "no"), "Content-Length: 2", "Content-Length: 9", 1) + cutHere
		},
		"in no protocol": func(arrival) string { return "garbage\r\n\r\n" },
	}
	for what, script := range bad {
		Convey("An answer "+what+" is never passed on", t, func() {
			a := newServer(t, "s1", func(a arrival, _ int) string { return script(a) })
			g := newRig(t, nil, a)
			So(g.ask(t, http.MethodPost, "/unsafe/", "lot 7").status, ShouldEqual, http.StatusBadGateway)
		})
	}

	Convey("An answer to another request is passed over", t, func() {
		a := newServer(t, "s1", func(a arrival, _ int) string {
			return strings.Replace(whole(a, 200, "stale"), "X-Id: id-1", "X-Id: other", 1) + whole(a, 200, "mine")
		})
		g := newRig(t, nil, a)
		So(g.ask(t, http.MethodPost, "/unsafe/", "lot 7").body, ShouldEqual, "mine")
	})

	Convey("A second answer left on a kept connection reaches nobody", t, func() {
		a := newServer(t, "s1", func(a arrival, n int) string {
			return whole(a, 200, "answer "+strconv.Itoa(n)) + whole(a, 200, "extra")
		})
		g := newRig(t, nil, a)
		for n := 1; n <= 3; n++ {
			So(g.ask(t, http.MethodGet, "/safe/", "").body, ShouldEqual, "answer "+strconv.Itoa(n))
		}
	})
}

func TestStreams(t *testing.T) {
	events := func(from, to int) string {
		all := ""
		for id := from; id <= to; id++ {
			all += event(id)
		}
		return all
	}
	// breaksAfter sends events and part of the next, then cuts the stream.
	breaksAfter := func(n int) func(a arrival, _ int) string {
		return func(a arrival, _ int) string {
			return streamHead(a) + chunk(events(1, n)) + chunk("id: 9") + cutHere
		}
	}

	Convey("A whole stream is passed on as it is", t, func() {
		a := newServer(t, "s1", func(a arrival, _ int) string {
			return streamHead(a) + chunk(events(1, 2)) + chunk(events(3, 3)) + endOfChunks
		})
		r := newRig(t, nil, a).ask(t, http.MethodPost, "/stream/", "prompt")
		So(r.err, ShouldBeNil)
		So(r.body, ShouldEqual, events(1, 3))
	})

	Convey("A resumable stream that breaks goes on at another server after its last event", t, func() {
		continues := func(a arrival, _ int) string {
			last, _ := strconv.Atoi(a.req.Header.Get("Last-Event-Id"))
			if last == 0 {
				return breaksAfter(2)(a, 0)
			}
			return streamHead(a) + chunk(events(last+1, 5)) + endOfChunks
		}
		a, b := newServer(t, "s1", continues), newServer(t, "s2", continues)
		r := newRig(t, nil, a, b).ask(t, http.MethodPost, "/resumable/", "prompt")
		So(r.err, ShouldBeNil)
		So(r.body, ShouldEqual, events(1, 5))
		So(a.count(), ShouldEqual, 1)
		So(b.count(), ShouldEqual, 1)
	})

	Convey("Events that the client has are not repeated, and a gap is never passed on", t, func() {
		repeats := func(a arrival, _ int) string {
			if a.req.Header.Get("Last-Event-Id") == "" {
				return breaksAfter(2)(a, 0)
			}
			return streamHead(a) + chunk(events(1, 2)) + chunk(events(4, 5)) + endOfChunks
		}
		a, b := newServer(t, "s1", repeats), newServer(t, "s2", repeats)
		r := newRig(t, nil, a, b).ask(t, http.MethodPost, "/resumable/", "prompt")
		So(r.err, ShouldNotBeNil)
		So(r.body, ShouldEqual, events(1, 2))
	})

	Convey("A stream that may not be repeated breaks off visibly and runs once", t, func() {
		a, b := newServer(t, "s1", breaksAfter(2)), newServer(t, "s2", breaksAfter(2))
		r := newRig(t, nil, a, b).ask(t, http.MethodPost, "/stream/", "prompt")
		So(r.err, ShouldNotBeNil)
		So(r.body, ShouldEqual, events(1, 2))
		So(a.count()+b.count(), ShouldEqual, 1)
	})
}

func TestSilentServer(t *testing.T) {
	Convey("Without another server to go to, a silent server's late answer is waited for", t, func() {
		a := newServer(t, "s1", func(a arrival, _ int) string {
			<-time.After(silentFactor*300*time.Millisecond + 2*silentAgain)
			return whole(a, http.StatusOK, "late")
		})
		g := newRig(t, nil, a)
		So(g.ask(t, http.MethodGet, "/safe/", "").body, ShouldEqual, "late")
		So(a.count(), ShouldEqual, 1)
	})

	Convey("With one, the request is sent there", t, func() {
		release := make(chan struct{})
		defer close(release)
		a := newServer(t, "s1", func(arrival, int) string {
			<-release
			return ""
		})
		g := newRig(t, nil, a)
		b := answering(t, "s2")
		listed := g.holder.Current().Servers["s1"]
		g.holder.Apply([]catalog.Change{{Server: listed}, {Server: &catalog.Server{
			ID: "s2", Service: "registry", Addr: b.listener.Addr().String(), DataCentre: "elsewhere", Slots: 4,
		}}}, true, true, time.Now())
		So(g.ask(t, http.MethodGet, "/safe/", "").body, ShouldEqual, "from s2")
		So(a.count(), ShouldEqual, 1)
	})
}

func TestBrokenStreamWaitsForAPlace(t *testing.T) {
	Convey("A stream whose server broke is continued once another has a place", t, func() {
		continues := func(a arrival, _ int) string {
			if a.req.Header.Get("Last-Event-Id") == "" {
				return streamHead(a) + chunk(event(1)) + cutHere
			}
			return streamHead(a) + chunk(event(2)) + endOfChunks
		}
		a, b := newServer(t, "s1", continues), newServer(t, "s2", continues)
		g := newRig(t, nil, a, b)
		// The other server is full until another entry instance says otherwise.
		full := map[string]int{"s1": 0, "s2": 9}
		g.desk.PeerLoads("other", full)
		time.AfterFunc(300*time.Millisecond, func() { g.desk.PeerLoads("other", map[string]int{"s2": 0}) })
		r := g.ask(t, http.MethodPost, "/resumable/", "prompt")
		So(r.err, ShouldBeNil)
		So(r.body, ShouldEqual, event(1)+event(2))
	})
}

func TestStreamLeavesAServerThatLoads(t *testing.T) {
	Convey("A stream whose server changes its weights goes on at another server, whole and in order", t, func() {
		const last = 30
		everyEvent := func(a arrival, _ int) string {
			from, _ := strconv.Atoi(a.req.Header.Get("Last-Event-Id"))
			if from > 0 {
				all := ""
				for id := from + 1; id <= last; id++ {
					all += event(id)
				}
				return streamHead(a) + chunk(all) + endOfChunks
			}
			_, _ = io.WriteString(a.conn, streamHead(a))
			for id := 1; id <= last; id++ {
				<-time.After(50 * time.Millisecond)
				if _, err := io.WriteString(a.conn, chunk(event(id))); err != nil {
					return ""
				}
			}
			return endOfChunks
		}
		a, b := newServer(t, "s1", everyEvent), newServer(t, "s2", everyEvent)
		g := newRig(t, nil, a, b)
		time.AfterFunc(100*time.Millisecond, func() {
			for _, s := range []*server{a, b} {
				if s.count() > 0 {
					g.desk.Agent(s.listener.Addr().String(), &frame.AgentState{Loading: true})
				}
			}
		})
		r := g.ask(t, http.MethodPost, "/resumable/", "prompt")
		So(r.err, ShouldBeNil)
		want := ""
		for id := 1; id <= last; id++ {
			want += event(id)
		}
		So(r.body, ShouldEqual, want)
		So(a.count(), ShouldEqual, 1)
		So(b.count(), ShouldEqual, 1)
	})
}

func TestWorkOfARequest(t *testing.T) {
	work := func(tokens, answer string) float64 {
		r := httptest.NewRequest(http.MethodPost, "/resumable/", nil)
		r.Header.Set(names.Tokens, tokens)
		r.Header.Set(names.AnswerTokens, answer)
		c := call{Handler: &Handler{cfg: Config{Headers: names}}, r: r}
		return c.work()
	}
	Convey("It is estimated from what the client says, and bad numbers count as nothing", t, func() {
		So(work("1000,360", "40"), ShouldEqual, 1000+answerWeight*40)
		So(work("1000,360", ""), ShouldEqual, 1000+answerWeight*360)
		So(work("", ""), ShouldEqual, 0)
		So(work("x,NaN", "-3"), ShouldEqual, 0)
	})
}

func TestClientLeaves(t *testing.T) {
	Convey("A server's connection ends within half a second of its client's", t, func() {
		ended := make(chan time.Time, 1)
		a := newServer(t, "s1", func(a arrival, _ int) string {
			_, _ = a.conn.Read(make([]byte, 1)) // returns when the other side closes
			ended <- time.Now()
			return ""
		})
		g := newRig(t, nil, a)
		ctx, leave := context.WithCancel(t.Context())
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, g.front.URL+"/safe/", nil)
		So(err, ShouldBeNil)
		req.Host = "example"
		req.Header.Set("Authorization", "Token k1")
		left := make(chan time.Time, 1)
		go func() {
			for a.count() == 0 {
				<-time.After(time.Millisecond)
			}
			left <- time.Now()
			leave()
		}()
		_, err = http.DefaultTransport.RoundTrip(req)
		So(err, ShouldNotBeNil)
		So((<-ended).Sub(<-left), ShouldBeLessThan, 500*time.Millisecond)
	})
}

func TestDeadline(t *testing.T) {
	Convey("A request that is still running at its route's timeout is answered then", t, func() {
		release := make(chan struct{})
		defer close(release)
		a := newServer(t, "s1", func(arrival, int) string {
			<-release
			return ""
		})
		g := newRig(t, func(c *catalog.Config) { c.Routes[1].Timeout = 200 * time.Millisecond }, a)
		start := time.Now()
		r := g.ask(t, http.MethodPost, "/unsafe/", "lot 7", "X-Deadline", "9000")
		So(r.status, ShouldEqual, http.StatusGatewayTimeout)
		So(time.Since(start), ShouldBeBetween, 200*time.Millisecond, 700*time.Millisecond)
	})
}

func TestStopClosesConnections(t *testing.T) {
	Convey("While the process stops, answers are whole and close their connections", t, func() {
		g := newRig(t, nil, answering(t, "s1"))
		g.handler.Drain()
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, g.front.URL+"/safe/", nil)
		So(err, ShouldBeNil)
		req.Host = "example"
		req.Header.Set("Authorization", "Token k1")
		resp, err := http.DefaultTransport.RoundTrip(req)
		So(err, ShouldBeNil)
		defer func() { _ = resp.Body.Close() }()
		body, err := io.ReadAll(resp.Body)
		So(err, ShouldBeNil)
		So(string(body), ShouldEqual, "from s1")
		So(resp.Close, ShouldBeTrue)
	})
}
