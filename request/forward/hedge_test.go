package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/connection/backend"
	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/test/wait"
	"github.com/rattanway/rattanway/version/catalog"
)

// sendHedged sends a request to first, and lists second when first has got it.
func (f *handlerFixture) sendHedged(t *testing.T, path string, first, second *fakeServer, header ...string) clientResponse {
	t.Helper()
	responses := make(chan clientResponse, 1)
	go func() { responses <- f.send(t, http.MethodPost, path, "", header...) }()
	if !wait.Until(func() bool { return first.requestCount() == 1 }) {
		t.Error("the first server got no request")
	}
	f.listSecond(first, second, 4)
	return <-responses
}

// TestConnectionOfAHedgeIsNotClosedInThePool guards against a request that is cut off
// because the connection of a hedge is closed after it has gone back to the pool.
func TestConnectionOfAHedgeIsNotClosedInThePool(t *testing.T) {
	Convey("After a hedge has taken over, its connection can be used again", t, func() {
		silent := newSilentServer(t)
		second := newOKServer(t, "second")
		f := newFixture(t, nil, silent)
		So(f.sendHedged(t, "/safe/", silent, second).status, ShouldEqual, http.StatusOK)
		addr := second.listener.Addr().String()
		So(wait.Until(func() bool { return len(f.scheduler.RunningByServer()) == 0 }), ShouldBeTrue)
		conn, err := f.pool.Get(t.Context(), addr, false)
		So(err, ShouldBeNil)
		defer conn.Close()
		So(conn.Used(), ShouldBeTrue)
		_, err = conn.Do(t.Context(), "GET / HTTP/1.1\r\nHost: example\r\n\r\n", &http.Request{Method: http.MethodGet}, nil,
			func(*http.Response) bool { return true })
		So(err, ShouldBeNil)
		So(second.connCount(), ShouldEqual, 1)
	})

	Convey("A request that gets the connection at once is not cut off", t, func() {
		const hedgeCount = 60
		silent := newSilentServer(t)
		second := newOKServer(t, "second")
		f := newFixture(t, nil, silent)
		listed := *f.holder.Current().Servers["silent"]
		listed.Slots = 2 * hedgeCount
		f.holder.Apply([]catalog.Change{{Server: &listed}}, true, true, time.Now())
		var running sync.WaitGroup
		for range hedgeCount {
			running.Go(func() { f.send(t, http.MethodPost, "/safe/", "") })
		}
		So(wait.Until(func() bool { return silent.requestCount() == hedgeCount }), ShouldBeTrue)
		f.listSecond(silent, second, 2*hedgeCount)
		done := make(chan struct{})
		go func() { running.Wait(); close(done) }()
		cut := 0
		for ended := false; !ended; {
			select {
			case <-done:
				ended = true
			default:
			}
			conn, err := f.pool.Get(t.Context(), second.listener.Addr().String(), false)
			if err != nil || !conn.Used() {
				if err == nil {
					conn.Close()
				}
				continue
			}
			_, err = conn.Do(t.Context(), "GET / HTTP/1.1\r\nHost: example\r\n\r\n", &http.Request{Method: http.MethodGet}, nil,
				func(*http.Response) bool { return true })
			if err != nil && !errors.Is(err, backend.ErrNotSent) {
				cut++
			}
			conn.Close()
		}
		So(cut, ShouldEqual, 0)
	})
}

// TestLongResponseOfAHedge guards against a response that a hedge has read completely and
// that is then too long to be read again.
func TestLongResponseOfAHedge(t *testing.T) {
	Convey("A response of 3 MB is forwarded", t, func() {
		body := strings.Repeat("lot 7 ", 500_000)
		silent := newSilentServer(t)
		second := newServer(t, "second", func(r receivedRequest, _ int) string { return fullResponse(r, http.StatusOK, body) })
		f := newFixture(t, nil, silent)
		r := f.sendHedged(t, "/safe/", silent, second)
		So(r.status, ShouldEqual, http.StatusOK)
		So(r.body == body, ShouldBeTrue)
		So(wait.Until(func() bool {
			f.handler.bodyParts.mu.Lock()
			defer f.handler.bodyParts.mu.Unlock()
			return f.handler.bodyParts.inUse == 0
		}), ShouldBeTrue)
	})
}

// TestErrorResponseOfAHedge guards against a server's error response that is replaced by one
// of this instance.
func TestErrorResponseOfAHedge(t *testing.T) {
	for name, breaksAfter := range map[string]time.Duration{"before": 700 * time.Millisecond, "after": 1100 * time.Millisecond} {
		Convey("The client gets the error response of the second server if the first one breaks off "+name+" it", t, func() {
			first := newServer(t, "first", func(receivedRequest, int) string {
				<-time.After(breaksAfter)
				return ""
			})
			second := newServer(t, "second", func(r receivedRequest, _ int) string {
				<-time.After(300 * time.Millisecond)
				return fullResponse(r, http.StatusInternalServerError, "no lot")
			})
			f := newFixture(t, nil, first)
			r := f.sendHedged(t, "/safe/", first, second)
			So(r.err, ShouldBeNil)
			So(r.status, ShouldEqual, http.StatusInternalServerError)
			So(r.body, ShouldEqual, "no lot")
			So(r.header.Get("X-Receipt"), ShouldEqual, "r")
		})
	}
}

// TestHedgeThatCannotContinueTheStream guards against a stream that leaves its server for a
// response that cannot continue it.
func TestHedgeThatCannotContinueTheStream(t *testing.T) {
	const comment = ": working\n\n"
	for name, c := range map[string]struct {
		begin  string
		second func(receivedRequest) string
	}{
		"no stream, after a comment": {comment, func(r receivedRequest) string { return fullResponse(r, http.StatusNotFound, "no lot") }},
		"a stream with a gap":        {event(1), func(r receivedRequest) string { return streamHeader(r) + chunk(event(5)) + lastChunk }},
		"a stream without IDs":       {event(1), func(r receivedRequest) string { return streamHeader(r) + chunk("data: piece 2\n\n") + lastChunk }},
	} {
		Convey("A stream stays at a server that goes on if the second one sends "+name, t, func() {
			first := newServer(t, "first", func(r receivedRequest, _ int) string {
				_, _ = io.WriteString(r.conn, streamHeader(r)+chunk(c.begin))
				<-time.After(1800 * time.Millisecond)
				return chunk(event(2)) + lastChunk
			})
			second := newServer(t, "second", func(r receivedRequest, _ int) string { return c.second(r) })
			f := newFixture(t, nil, first)
			r := f.sendHedged(t, "/resumable/", first, second)
			So(second.requestCount(), ShouldBeGreaterThan, 0)
			So(r.err, ShouldBeNil)
			So(r.body, ShouldEqual, c.begin+event(2))
		})
	}
}

// TestHedgeAfterARefusal guards against a late copy of a refusal that is taken for the
// response to a later hedge.
func TestHedgeAfterARefusal(t *testing.T) {
	Convey("A server that gets the request again gets it on a new connection", t, func() {
		pausing := pausingServer(t, 2500*time.Millisecond)
		second := newServer(t, "second", func(r receivedRequest, _ int) string { return notRunResponse(r) })
		f := newFixture(t, nil, pausing)
		So(f.sendHedged(t, "/safe/", pausing, second).status, ShouldEqual, http.StatusOK)
		So(second.requestCount(), ShouldBeGreaterThan, 1)
		So(second.connCount(), ShouldEqual, second.requestCount())
	})
}

// TestServerBreaksOffAfterAHedge guards against a stream that is given up because a hedge
// that it did not need counts as a server tried.
func TestServerBreaksOffAfterAHedge(t *testing.T) {
	Convey("A stream whose server goes on after a pause, and breaks off later, goes on at the second server", t, func() {
		first := newServer(t, "first", func(r receivedRequest, _ int) string {
			_, _ = io.WriteString(r.conn, streamHeader(r)+chunk(event(1)))
			<-time.After(1300 * time.Millisecond)
			_, _ = io.WriteString(r.conn, chunk(event(2)))
			<-time.After(200 * time.Millisecond)
			return "1" + closeMarker
		})
		second := newServer(t, "second", func(r receivedRequest, n int) string {
			if n == 1 { // it has a long prompt to read
				<-time.After(time.Second)
			}
			return streamHeader(r) + chunk(event(3)) + lastChunk
		})
		f := newFixture(t, nil, first)
		r := f.sendHedged(t, "/resumable/", first, second)
		So(r.err, ShouldBeNil)
		So(r.body, ShouldEqual, event(1)+event(2)+event(3))
	})
}

// TestClientLeavesDuringAHedge guards against servers that work on for a client that left.
func TestClientLeavesDuringAHedge(t *testing.T) {
	for _, path := range []string{"/safe/", "/resumable/"} {
		Convey("When the client of a request to "+path+" leaves, both connections end at once", t, func() {
			ended := make(chan time.Time, 2)
			hang := func(r receivedRequest, _ int) string {
				_, _ = r.conn.Read(make([]byte, 1))
				ended <- time.Now()
				return ""
			}
			first, second := newServer(t, "first", hang), newServer(t, "second", hang)
			f := newFixture(t, nil, first)
			client, err := http.NewRequestWithContext(t.Context(), http.MethodPost, f.httpServer.URL+path, nil)
			So(err, ShouldBeNil)
			client.Host = "example"
			client.Header.Set("X-Id", "id-1")
			client.Header.Set("Authorization", "Token k1")
			transport := &http.Transport{DisableKeepAlives: true}
			ctx, leave := context.WithCancel(t.Context())
			go func() {
				if resp, err := transport.RoundTrip(client.WithContext(ctx)); err == nil {
					_ = resp.Body.Close()
				}
			}()
			So(wait.Until(func() bool { return first.requestCount() == 1 }), ShouldBeTrue)
			f.listSecond(first, second, 4)
			So(wait.Until(func() bool { return second.requestCount() == 1 }), ShouldBeTrue)
			leftAt := time.Now()
			leave()
			for range 2 {
				So((<-ended).Sub(leftAt), ShouldBeLessThan, 300*time.Millisecond)
			}
			So(wait.Until(func() bool { return len(f.scheduler.RunningByServer()) == 0 && f.handler.ActiveCount() == 0 }), ShouldBeTrue)
		})
	}
}

// TestMovedStreamWithoutNumericIDs guards against events that a client gets twice, because the
// first server goes on while the hedge of a move begins.
func TestMovedStreamWithoutNumericIDs(t *testing.T) {
	const lastID = 40
	namedEvent := func(id int) string { return fmt.Sprintf("id: e%d\ndata: piece %d\n\n", id, id) }
	Convey("A stream whose server loads weights has each event once", t, func() {
		loading := newServer(t, "loading", func(r receivedRequest, _ int) string {
			_, _ = io.WriteString(r.conn, streamHeader(r))
			for id := 1; id <= lastID; id++ {
				<-time.After(50 * time.Millisecond)
				if _, err := io.WriteString(r.conn, chunk(namedEvent(id))); err != nil {
					return ""
				}
			}
			return lastChunk
		})
		second := newServer(t, "second", func(r receivedRequest, _ int) string {
			<-time.After(200 * time.Millisecond) // it reads the prompt
			last, _ := strconv.Atoi(strings.TrimPrefix(r.req.Header.Get("Last-Event-Id"), "e"))
			out := streamHeader(r)
			for id := last + 1; id <= lastID; id++ {
				out += chunk(namedEvent(id))
			}
			return out + lastChunk
		})
		f := newFixture(t, nil, loading)
		responses := make(chan clientResponse, 1)
		go func() { responses <- f.send(t, http.MethodPost, "/resumable/", "") }()
		So(wait.Until(func() bool { return loading.requestCount() == 1 }), ShouldBeTrue)
		f.listSecond(loading, second, 4)
		f.scheduler.SetAgentState(loading.listener.Addr().String(), &frame.AgentState{Loading: true})
		want := ""
		for id := 1; id <= lastID; id++ {
			want += namedEvent(id)
		}
		r := <-responses
		So(r.err, ShouldBeNil)
		So(r.body, ShouldEqual, want)
	})
}

// TestHeadRequestIsHedged checks a hedge whose response has no body.
func TestHeadRequestIsHedged(t *testing.T) {
	Convey("A HEAD request gets the header of the second server's response", t, func() {
		silent := newSilentServer(t)
		second := newServer(t, "second", func(r receivedRequest, _ int) string {
			return "HTTP/1.1 200 X\r\nX-Id: " + r.req.Header.Get("X-Id") + "\r\nX-Receipt: r\r\nContent-Length: 6\r\n\r\n"
		})
		f := newFixture(t, nil, silent)
		responses := make(chan clientResponse, 1)
		go func() { responses <- f.send(t, http.MethodHead, "/safe/", "") }()
		So(wait.Until(func() bool { return silent.requestCount() == 1 }), ShouldBeTrue)
		f.listSecond(silent, second, 4)
		r := <-responses
		So(r.err, ShouldBeNil)
		So(r.status, ShouldEqual, http.StatusOK)
		So(r.header.Get("X-Receipt"), ShouldEqual, "r")
	})
}

// TestTwoSilentServers guards against a request that stays at two silent servers although a
// third one may run it.
func TestTwoSilentServers(t *testing.T) {
	Convey("A request that three servers may run leaves two silent ones", t, func() {
		silent := func(id string) *fakeServer {
			return newServer(t, id, func(receivedRequest, int) string {
				<-t.Context().Done()
				return ""
			})
		}
		first, second := silent("first"), silent("second")
		third := newServer(t, "third", func(r receivedRequest, _ int) string { return streamHeader(r) + chunk(event(1)) + lastChunk })
		f := newFixture(t, func(c *catalog.Config) { c.Routes[3].MaxServers = 3 }, first)
		responses := make(chan clientResponse, 1)
		go func() { responses <- f.send(t, http.MethodPost, "/resumable/", "") }()
		So(wait.Until(func() bool { return first.requestCount() == 1 }), ShouldBeTrue)
		f.listSecond(first, second, 4)
		So(wait.Until(func() bool { return second.requestCount() == 1 }), ShouldBeTrue)
		f.listSecond(first, third, 4)
		r := <-responses
		So(r.err, ShouldBeNil)
		So(r.status, ShouldEqual, http.StatusOK)
		So(third.requestCount(), ShouldEqual, 1)
	})
}
