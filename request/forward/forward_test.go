package forward

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/connection/exchange"
	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/version/catalog"
)

// newOKServer starts a server that responds to every request with status 200.
func newOKServer(t *testing.T, id string) *fakeServer {
	return newServer(t, id, func(r receivedRequest, _ int) string { return fullResponse(r, http.StatusOK, "from "+id) })
}

func TestRequestReachesTheServerUnchanged(t *testing.T) {
	Convey("Method, path, query, body and other headers are forwarded, but not the reserved headers of the client", t, func() {
		s := newOKServer(t, "s1")
		f := newFixture(t, nil, s)
		r := f.send(t, http.MethodPost, "/unsafe/a%2Fb?x=1&x=2", "lot 7",
			"X-Account", "forged", "X-Own", "forged", "X-Expect-Server", "forged", "X-Other", "kept", "X-Deadline", "900")
		So(r.status, ShouldEqual, http.StatusOK)
		So(r.body, ShouldEqual, "from s1")
		So(r.header.Get("X-Receipt"), ShouldEqual, "r")
		request := s.lastRequest()
		So(request.req.Method, ShouldEqual, http.MethodPost)
		So(request.req.RequestURI, ShouldEqual, "/unsafe/a%2Fb?x=1&x=2")
		So(request.req.Host, ShouldEqual, "example")
		So(request.body, ShouldEqual, "lot 7")
		So(request.req.Header.Get("X-Account"), ShouldEqual, "growers")
		So(request.req.Header.Get("X-Own"), ShouldBeEmpty)
		So(request.req.Header.Get("X-Expect-Server"), ShouldEqual, "s1")
		So(request.req.Header.Get("X-Other"), ShouldEqual, "kept")
		So(request.req.Header.Get("Authorization"), ShouldBeEmpty)
		remainingMs, err := strconv.Atoi(request.req.Header.Get("X-Deadline"))
		So(err, ShouldBeNil)
		So(remainingMs, ShouldBeBetweenOrEqual, 1, 900)
	})
}

func TestRefusals(t *testing.T) {
	Convey("A request without a route or a valid key is refused and reaches no server", t, func() {
		s := newOKServer(t, "s1")
		f := newFixture(t, nil, s)
		So(f.send(t, http.MethodGet, "/nothing/", "").status, ShouldEqual, http.StatusNotFound)
		So(f.send(t, http.MethodGet, "/safe/", "", "Authorization", "Token wrong").status, ShouldEqual, http.StatusUnauthorized)
		So(s.requestCount(), ShouldEqual, 0)
	})

	Convey("Without a configuration the status is 503, never 404", t, func() {
		f := newFixture(t, nil)
		f.handler.cfg.Holder = catalog.NewHolder(f.handler.cfg.Log)
		r := f.send(t, http.MethodGet, "/nothing/", "")
		So(r.status, ShouldEqual, http.StatusServiceUnavailable)
		So(r.header.Get("Retry-After"), ShouldNotBeEmpty)
	})

	Convey("Servers outside the regions of the route are not used", t, func() {
		s := newOKServer(t, "s1")
		f := newFixture(t, func(c *catalog.Config) { c.Routes[0].Regions = []string{"elsewhere"} }, s)
		So(f.send(t, http.MethodGet, "/safe/", "").status, ShouldEqual, http.StatusServiceUnavailable)
		So(s.requestCount(), ShouldEqual, 0)
	})
}

func TestRetries(t *testing.T) {
	newFailingServer := func(t *testing.T, id string) *fakeServer {
		return newServer(t, id, func(receivedRequest, int) string { return "" })
	}

	Convey("A non-repeatable request is sent once, and gets status 502 if there is no response", t, func() {
		a, b := newFailingServer(t, "s1"), newFailingServer(t, "s2")
		f := newFixture(t, nil, a, b)
		So(f.send(t, http.MethodPost, "/unsafe/", "lot 7").status, ShouldEqual, http.StatusBadGateway)
		So(a.requestCount()+b.requestCount(), ShouldEqual, 1)
	})

	Convey("A safe request without a response is sent to another server", t, func() {
		a, b := newFailingServer(t, "s1"), newOKServer(t, "s2")
		f := newFixture(t, nil, a, b)
		for range 3 {
			So(f.send(t, http.MethodGet, "/safe/", "").body, ShouldEqual, "from s2")
		}
	})

	Convey("A request that a server did not run is sent to another server, even if it is non-repeatable", t, func() {
		a := newServer(t, "s1", func(r receivedRequest, _ int) string { return notRunResponse(r) })
		b := newOKServer(t, "s2")
		f := newFixture(t, nil, a, b)
		for range 3 {
			So(f.send(t, http.MethodPost, "/unsafe/", "lot 7").body, ShouldEqual, "from s2")
		}
	})

	Convey("If no server ran the request, the status is 503 with a Retry-After header", t, func() {
		a := newServer(t, "s1", func(r receivedRequest, _ int) string { return notRunResponse(r) })
		f := newFixture(t, nil, a)
		r := f.send(t, http.MethodPost, "/unsafe/", "lot 7")
		So(r.status, ShouldEqual, http.StatusServiceUnavailable)
		So(r.header.Get("Retry-After"), ShouldNotBeEmpty)
	})

	Convey("An error response of a server is forwarded with its receipt", t, func() {
		a := newServer(t, "s1", func(r receivedRequest, _ int) string {
			return fullResponse(r, http.StatusInternalServerError, "failed")
		})
		f := newFixture(t, nil, a)
		for _, path := range []string{"/unsafe/", "/safe/"} {
			r := f.send(t, http.MethodPost, path, "")
			So(r.status, ShouldEqual, http.StatusInternalServerError)
			So(r.header.Get("X-Receipt"), ShouldEqual, "r")
			So(r.body, ShouldEqual, "failed")
		}
	})
}

func TestInvalidResponses(t *testing.T) {
	invalid := map[string]func(r receivedRequest) string{
		"without a receipt": func(r receivedRequest) string {
			return "HTTP/1.1 200 X\r\nX-Id: " + r.req.Header.Get("X-Id") + "\r\nContent-Length: 2\r\n\r\nno"
		},
		"with an encoding": func(r receivedRequest) string {
			return strings.Replace(fullResponse(r, 200, "no"), "X-Receipt", "Content-Encoding: gzip\r\nX-Receipt", 1)
		},
		"cut short": func(r receivedRequest) string {
			return strings.Replace(fullResponse(r, 200, "no"), "Content-Length: 2", "Content-Length: 9", 1) + closeMarker
		},
		"that is not HTTP": func(receivedRequest) string { return "garbage\r\n\r\n" },
	}
	for description, respond := range invalid {
		Convey("A response "+description+" is never forwarded", t, func() {
			a := newServer(t, "s1", func(r receivedRequest, _ int) string { return respond(r) })
			f := newFixture(t, nil, a)
			So(f.send(t, http.MethodPost, "/unsafe/", "lot 7").status, ShouldEqual, http.StatusBadGateway)
		})
	}

	Convey("A response to another request is ignored", t, func() {
		a := newServer(t, "s1", func(r receivedRequest, _ int) string {
			return strings.Replace(fullResponse(r, 200, "stale"), "X-Id: id-1", "X-Id: other", 1) + fullResponse(r, 200, "mine")
		})
		f := newFixture(t, nil, a)
		So(f.send(t, http.MethodPost, "/unsafe/", "lot 7").body, ShouldEqual, "mine")
	})

	Convey("A second response to one request on a keep-alive connection is not forwarded", t, func() {
		a := newServer(t, "s1", func(r receivedRequest, n int) string {
			return fullResponse(r, 200, "answer "+strconv.Itoa(n)) + fullResponse(r, 200, "extra")
		})
		f := newFixture(t, nil, a)
		for n := 1; n <= 3; n++ {
			So(f.send(t, http.MethodGet, "/safe/", "").body, ShouldEqual, "answer "+strconv.Itoa(n))
		}
	})
}

func TestStreams(t *testing.T) {
	// events returns the events with the IDs from firstID to lastID.
	events := func(firstID, lastID int) string {
		all := ""
		for id := firstID; id <= lastID; id++ {
			all += event(id)
		}
		return all
	}
	// breakAfter returns a respond function for newServer. The server sends n events
	// and a part of another event, and then closes the connection.
	breakAfter := func(n int) func(r receivedRequest, _ int) string {
		return func(r receivedRequest, _ int) string {
			return streamHeader(r) + chunk(events(1, n)) + chunk("id: 9") + closeMarker
		}
	}

	Convey("A complete stream is forwarded unchanged", t, func() {
		a := newServer(t, "s1", func(r receivedRequest, _ int) string {
			return streamHeader(r) + chunk(events(1, 2)) + chunk(events(3, 3)) + lastChunk
		})
		r := newFixture(t, nil, a).send(t, http.MethodPost, "/stream/", "prompt")
		So(r.err, ShouldBeNil)
		So(r.body, ShouldEqual, events(1, 3))
	})

	Convey("A resumable stream that breaks off continues at another server after the last event that was forwarded", t, func() {
		resume := func(r receivedRequest, _ int) string {
			last, _ := strconv.Atoi(r.req.Header.Get("Last-Event-Id"))
			if last == 0 {
				return breakAfter(2)(r, 0)
			}
			return streamHeader(r) + chunk(events(last+1, 5)) + lastChunk
		}
		a, b := newServer(t, "s1", resume), newServer(t, "s2", resume)
		r := newFixture(t, nil, a, b).send(t, http.MethodPost, "/resumable/", "prompt")
		So(r.err, ShouldBeNil)
		So(r.body, ShouldEqual, events(1, 5))
		So(a.requestCount(), ShouldEqual, 1)
		So(b.requestCount(), ShouldEqual, 1)
	})

	Convey("Events that the client has received are not sent again, and a stream with a gap is broken off", t, func() {
		resumeWithGap := func(r receivedRequest, _ int) string {
			if r.req.Header.Get("Last-Event-Id") == "" {
				return breakAfter(2)(r, 0)
			}
			return streamHeader(r) + chunk(events(1, 2)) + chunk(events(4, 5)) + lastChunk
		}
		a, b := newServer(t, "s1", resumeWithGap), newServer(t, "s2", resumeWithGap)
		r := newFixture(t, nil, a, b).send(t, http.MethodPost, "/resumable/", "prompt")
		So(r.err, ShouldNotBeNil)
		So(r.body, ShouldEqual, events(1, 2))
	})

	Convey("A non-repeatable stream runs once, and the client gets an incomplete response if the stream breaks off", t, func() {
		a, b := newServer(t, "s1", breakAfter(2)), newServer(t, "s2", breakAfter(2))
		r := newFixture(t, nil, a, b).send(t, http.MethodPost, "/stream/", "prompt")
		So(r.err, ShouldNotBeNil)
		So(r.body, ShouldEqual, events(1, 2))
		So(a.requestCount()+b.requestCount(), ShouldEqual, 1)
	})
}

func TestStalledServer(t *testing.T) {
	Convey("Without another server, the late response of a stalled server is still forwarded", t, func() {
		a := newServer(t, "s1", func(r receivedRequest, _ int) string {
			<-time.After(responseTimeoutFactor*300*time.Millisecond + 2*stallRecheckInterval)
			return fullResponse(r, http.StatusOK, "late")
		})
		f := newFixture(t, nil, a)
		So(f.send(t, http.MethodGet, "/safe/", "").body, ShouldEqual, "late")
		So(a.requestCount(), ShouldEqual, 1)
	})

	Convey("If there is another server, a request whose server sends nothing is sent there", t, func() {
		release := make(chan struct{})
		defer close(release)
		a := newServer(t, "s1", func(receivedRequest, int) string {
			<-release
			return ""
		})
		f := newFixture(t, nil, a)
		b := newOKServer(t, "s2")
		listed := f.holder.Current().Servers["s1"]
		f.holder.Apply([]catalog.Change{{Server: listed}, {Server: &catalog.Server{
			ID: "s2", Service: "registry", Addr: b.listener.Addr().String(), DataCentre: "elsewhere", Slots: 4,
		}}}, true, true, time.Now())
		So(f.send(t, http.MethodGet, "/safe/", "").body, ShouldEqual, "from s2")
		So(a.requestCount(), ShouldEqual, 1)
	})
}

func TestBrokenStreamWaitsForASlot(t *testing.T) {
	Convey("A stream that broke off is continued as soon as another server has a free slot", t, func() {
		resume := func(r receivedRequest, _ int) string {
			if r.req.Header.Get("Last-Event-Id") == "" {
				return streamHeader(r) + chunk(event(1)) + closeMarker
			}
			return streamHeader(r) + chunk(event(2)) + lastChunk
		}
		a, b := newServer(t, "s1", resume), newServer(t, "s2", resume)
		f := newFixture(t, nil, a, b)
		// Server s2 counts as full until the other entry instance reports that s2 has
		// free slots.
		peerLoads := map[string]int{"s1": 0, "s2": 9}
		f.scheduler.UpdatePeerLoads("other", exchange.LoadReport{RunningByServer: peerLoads})
		time.AfterFunc(300*time.Millisecond, func() {
			f.scheduler.UpdatePeerLoads("other", exchange.LoadReport{RunningByServer: map[string]int{"s2": 0}})
		})
		r := f.send(t, http.MethodPost, "/resumable/", "prompt")
		So(r.err, ShouldBeNil)
		So(r.body, ShouldEqual, event(1)+event(2))
	})
}

func TestStreamMovesAwayFromLoadingServer(t *testing.T) {
	Convey("A stream whose server loads weights continues at another server, and the client gets all events in order", t, func() {
		const lastID = 30
		respond := func(r receivedRequest, _ int) string {
			from, _ := strconv.Atoi(r.req.Header.Get("Last-Event-Id"))
			if from > 0 {
				all := ""
				for id := from + 1; id <= lastID; id++ {
					all += event(id)
				}
				return streamHeader(r) + chunk(all) + lastChunk
			}
			_, _ = io.WriteString(r.conn, streamHeader(r))
			for id := 1; id <= lastID; id++ {
				<-time.After(50 * time.Millisecond)
				if _, err := io.WriteString(r.conn, chunk(event(id))); err != nil {
					return ""
				}
			}
			return lastChunk
		}
		a, b := newServer(t, "s1", respond), newServer(t, "s2", respond)
		f := newFixture(t, nil, a, b)
		time.AfterFunc(100*time.Millisecond, func() {
			for _, s := range []*fakeServer{a, b} {
				if s.requestCount() > 0 {
					f.scheduler.SetAgentState(s.listener.Addr().String(), &frame.AgentState{Loading: true})
				}
			}
		})
		r := f.send(t, http.MethodPost, "/resumable/", "prompt")
		So(r.err, ShouldBeNil)
		want := ""
		for id := 1; id <= lastID; id++ {
			want += event(id)
		}
		So(r.body, ShouldEqual, want)
		So(a.requestCount(), ShouldEqual, 1)
		So(b.requestCount(), ShouldEqual, 1)
	})
}

// TestStreamWaitsForTheServerThatRefusedIt guards against breaking off a stream that has
// begun because the only other server was full for a moment.
func TestStreamWaitsForTheServerThatRefusedIt(t *testing.T) {
	Convey("A stream whose server ends continues at a server that first refuses it", t, func() {
		refused := false
		respond := func(r receivedRequest, _ int) string {
			switch {
			case r.req.Header.Get("Last-Event-Id") == "":
				return streamHeader(r) + chunk(event(1)) + closeMarker
			case !refused:
				refused = true
				return notRunResponse(r)
			}
			return streamHeader(r) + chunk(event(2)) + lastChunk
		}
		a, b := newServer(t, "s1", respond), newServer(t, "s2", respond)
		f := newFixture(t, nil, a, b)
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { _ = f.scheduler.Run(ctx) })
		o := f.send(t, http.MethodPost, "/resumable/", "prompt")
		cancel()
		running.Wait()
		So(o.err, ShouldBeNil)
		So(o.body, ShouldEqual, event(1)+event(2))
		So(a.requestCount()+b.requestCount(), ShouldEqual, 3)
	})
}

// TestStreamWaitsForWeights guards against breaking off a stream whose server ends while
// all other servers load weights.
func TestStreamWaitsForWeights(t *testing.T) {
	Convey("A stream whose server ends continues at the first server that has loaded its weights", t, func() {
		var f *handlerFixture
		setWeights := func(s *fakeServer, loading bool) {
			f.scheduler.SetAgentState(s.listener.Addr().String(), &frame.AgentState{
				Loading: loading, LoadedVersions: map[string]int{"herbs": 1},
			})
		}
		loading := newServer(t, "s2", func(r receivedRequest, _ int) string {
			return streamHeader(r) + chunk(event(2)) + lastChunk
		})
		ending := newServer(t, "s1", func(r receivedRequest, _ int) string {
			time.AfterFunc(200*time.Millisecond, func() { setWeights(loading, false) })
			return streamHeader(r) + chunk(event(1)) + closeMarker
		})
		f = newFixture(t, nil, ending, loading)
		setWeights(ending, false)
		setWeights(loading, true)
		o := f.send(t, http.MethodPost, "/resumable/", "prompt", testHeaders.Model, "herbs")
		So(o.err, ShouldBeNil)
		So(o.body, ShouldEqual, event(1)+event(2))
	})
}

func TestEstimateWork(t *testing.T) {
	estimate := func(tokens, answer string) float64 {
		r := httptest.NewRequest(http.MethodPost, "/resumable/", nil)
		r.Header.Set(testHeaders.Tokens, tokens)
		r.Header.Set(testHeaders.AnswerTokens, answer)
		c := call{Handler: &Handler{cfg: Config{Headers: testHeaders}}, httpReq: r}
		return c.estimateWork()
	}
	Convey("The work is estimated from the client's token counts, and invalid numbers count as 0", t, func() {
		So(estimate("1000,360", "40"), ShouldEqual, 1000+answerTokenWork*40)
		So(estimate("1000,360", ""), ShouldEqual, 1000+answerTokenWork*360)
		So(estimate("", ""), ShouldEqual, 0)
		So(estimate("x,NaN", "-3"), ShouldEqual, 0)
	})
}

func TestClientLeaves(t *testing.T) {
	Convey("The connection to the server is closed within half a second after the client has closed its own", t, func() {
		closedAt := make(chan time.Time, 1)
		a := newServer(t, "s1", func(r receivedRequest, _ int) string {
			_, _ = r.conn.Read(make([]byte, 1)) // returns when the other side closes
			closedAt <- time.Now()
			return ""
		})
		f := newFixture(t, nil, a)
		ctx, disconnect := context.WithCancel(t.Context())
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, f.httpServer.URL+"/safe/", nil)
		So(err, ShouldBeNil)
		req.Host = "example"
		req.Header.Set("Authorization", "Token k1")
		disconnectedAt := make(chan time.Time, 1)
		go func() {
			for a.requestCount() == 0 {
				<-time.After(time.Millisecond)
			}
			disconnectedAt <- time.Now()
			disconnect()
		}()
		_, err = http.DefaultTransport.RoundTrip(req)
		So(err, ShouldNotBeNil)
		So((<-closedAt).Sub(<-disconnectedAt), ShouldBeLessThan, 500*time.Millisecond)
	})
}

func TestDeadline(t *testing.T) {
	Convey("A request that is still running at the end of the route's timeout gets status 504 at that time", t, func() {
		release := make(chan struct{})
		defer close(release)
		a := newServer(t, "s1", func(receivedRequest, int) string {
			<-release
			return ""
		})
		f := newFixture(t, func(c *catalog.Config) { c.Routes[1].Timeout = 200 * time.Millisecond }, a)
		start := time.Now()
		r := f.send(t, http.MethodPost, "/unsafe/", "lot 7", "X-Deadline", "9000")
		So(r.status, ShouldEqual, http.StatusGatewayTimeout)
		So(time.Since(start), ShouldBeBetween, 200*time.Millisecond, 700*time.Millisecond)
	})
}

func TestDrainClosesConnections(t *testing.T) {
	Convey("After BeginStop, responses are complete and the client connections are closed after them", t, func() {
		f := newFixture(t, nil, newOKServer(t, "s1"))
		now := time.Now()
		f.handler.BeginStop(Stop{BegunAt: now, AcceptUntil: now.Add(time.Second), AnswerAt: now.Add(10 * time.Second)})
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, f.httpServer.URL+"/safe/", nil)
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
