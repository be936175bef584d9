package forward

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/request/dispatch"
	"github.com/rattanway/rattanway/test/wait"
)

// withHeader adds header lines to a response.
func withHeader(response, lines string) string {
	return strings.Replace(response, "\r\n", "\r\n"+lines, 1)
}

// leavingLine is the header line of a server that leaves.
const leavingLine = "X-Leaving: 1\r\n"

// TestServerThatLeaves guards against requests to a server that has said that it leaves,
// in whatever response it said so.
func TestServerThatLeaves(t *testing.T) {
	responses := map[string]func(r receivedRequest) string{
		"a plain response": func(r receivedRequest) string { return fullResponse(r, http.StatusOK, "last") },
		"an error":         func(r receivedRequest) string { return fullResponse(r, http.StatusInternalServerError, "") },
		"a refusal":        notRunResponse,
		"a misdirected request": func(receivedRequest) string {
			return "HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n"
		},
		"a response without a receipt": func(receivedRequest) string {
			return "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n"
		},
		"a response that breaks off": func(r receivedRequest) string {
			return strings.Replace(fullResponse(r, http.StatusOK, "no"), "Content-Length: 2", "Content-Length: 9", 1) + closeMarker
		},
		"several headers": func(r receivedRequest) string {
			return withHeader(fullResponse(r, http.StatusOK, "last"), "X-Leaving: 0\r\n")
		},
	}
	for description, respond := range responses {
		Convey("A server that says in "+description+" that it leaves gets no further request", t, func() {
			a := newServer(t, "s1", func(r receivedRequest, _ int) string { return withHeader(respond(r), leavingLine) })
			b := newServer(t, "s2", func(r receivedRequest, _ int) string { return withHeader(respond(r), leavingLine) })
			f := newFixture(t, nil, a, b)
			for range 6 {
				f.send(t, http.MethodGet, "/safe/", "")
			}
			So(a.requestCount(), ShouldEqual, 1)
			So(b.requestCount(), ShouldEqual, 1)
			r := f.send(t, http.MethodGet, "/safe/", "")
			So(r.status, ShouldEqual, http.StatusServiceUnavailable)
		})
	}

	Convey("The head of a stream counts at once, and the stream goes on", t, func() {
		released := make(chan struct{})
		release := sync.OnceFunc(func() { close(released) })
		defer release()
		a := newServer(t, "s1", func(r receivedRequest, _ int) string {
			_, _ = io.WriteString(r.conn, withHeader(streamHeader(r), leavingLine)+chunk(event(1)))
			<-released
			return chunk(event(2)) + lastChunk
		})
		f := newFixture(t, nil, a)
		got := make(chan clientResponse, 1)
		go func() { got <- f.send(t, http.MethodPost, "/resumable/", "prompt") }()
		So(wait.Until(func() bool { return a.requestCount() == 1 }), ShouldBeTrue)
		So(wait.Until(func() bool {
			slot, found := f.scheduler.TryAcquire(&dispatch.Request{Service: "registry"})
			if found {
				f.scheduler.Release(slot, dispatch.Cancelled)
			}
			return !found
		}), ShouldBeTrue)
		So(f.send(t, http.MethodGet, "/safe/", "").status, ShouldEqual, http.StatusServiceUnavailable)
		So(a.requestCount(), ShouldEqual, 1)
		release()
		r := <-got
		So(r.err, ShouldBeNil)
		So(r.body, ShouldEqual, event(1)+event(2))
		So(r.header.Get("X-Leaving"), ShouldEqual, "1")
	})

	Convey("Another value, or a trailer, says nothing", t, func() {
		for _, lines := range []string{"X-Leaving: 0\r\n", "X-Leaving: true\r\n", "X-Leaving:\r\n", "X-Leaving: 11\r\n", "X-Leaving: -1\r\n"} {
			a := newServer(t, "s1", func(r receivedRequest, _ int) string {
				return withHeader(fullResponse(r, http.StatusOK, "from s1"), lines)
			})
			f := newFixture(t, nil, a)
			for range 3 {
				So(f.send(t, http.MethodGet, "/safe/", "").body, ShouldEqual, "from s1")
			}
		}
		a := newServer(t, "s1", func(r receivedRequest, _ int) string {
			return withHeader(streamHeader(r), "Trailer: X-Leaving\r\n") + chunk(event(1)) + "0\r\nX-Leaving: 1\r\n\r\n"
		})
		f := newFixture(t, nil, a)
		for range 3 {
			So(f.send(t, http.MethodPost, "/resumable/", "").body, ShouldEqual, event(1))
		}
	})
}

// pausing returns a respond function of a server that answers each request with the
// given header lines added to the response of respond.
func pausing(lines string, respond func(r receivedRequest) string) func(receivedRequest, int) string {
	return func(r receivedRequest, _ int) string { return withHeader(respond(r), lines) }
}

// TestServerThatAsksForAPause guards against requests to a server that has said for how
// long it wants none, and against taking it for broken.
func TestServerThatAsksForAPause(t *testing.T) {
	failed := func(r receivedRequest) string { return fullResponse(r, http.StatusServiceUnavailable, "") }
	bare := func(receivedRequest) string { return "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n" }
	for description, respond := range map[string]func(receivedRequest) string{
		"a refusal": notRunResponse, "a response with a receipt": failed, "a response without a receipt": bare,
	} {
		Convey("A server that asks for a pause in "+description+" gets no further request", t, func() {
			a := newServer(t, "s1", pausing("Retry-After: 9.5\r\n", respond))
			b := newOKServer(t, "s2")
			f := newFixture(t, nil, a, b)
			// Longer than the backoff of a server that is full.
			for end := time.Now().Add(300 * time.Millisecond); time.Now().Before(end); {
				So(f.send(t, http.MethodGet, "/safe/", "").body, ShouldEqual, "from s2")
			}
			So(a.requestCount(), ShouldEqual, 1)
		})
	}

	Convey("Without another server the client is told the end of the pause at once", t, func() {
		a := newServer(t, "s1", pausing("Retry-After: 9.5\r\n", notRunResponse))
		f := newFixture(t, nil, a)
		for range 3 {
			r := f.send(t, http.MethodPost, "/unsafe/", "lot 7")
			So(r.status, ShouldEqual, http.StatusServiceUnavailable)
			seconds, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
			So(err, ShouldBeNil)
			So(seconds, ShouldBeBetween, 5, 10.5)
		}
		So(a.requestCount(), ShouldEqual, 1)
	})

	Convey("An invalid or missing number of seconds, or another status, is no pause", t, func() {
		for _, c := range []struct{ status, lines string }{
			{"503", ""},
			{"503", "Retry-After: -1\r\n"},
			{"503", "Retry-After: 0\r\n"},
			{"503", "Retry-After: NaN\r\n"},
			{"503", "Retry-After: Inf\r\n"},
			{"503", "Retry-After: 1e999\r\n"},
			{"503", "Retry-After: Fri, 01 Jan 2100 00:00:00 GMT\r\n"},
			{"503", "Retry-After:\r\n"},
			{"429", "Retry-After: 9\r\n"},
			{"500", "Retry-After: 9\r\n"},
			{"200", "Retry-After: 9\r\n"},
		} {
			a := newServer(t, "s1", func(r receivedRequest, _ int) string {
				return strings.Replace(withHeader(fullResponse(r, http.StatusOK, ""), c.lines), " 200 ", " "+c.status+" ", 1)
			})
			f := newFixture(t, nil, a)
			f.send(t, http.MethodPost, "/unsafe/", "")
			f.send(t, http.MethodPost, "/unsafe/", "")
			So(a.requestCount(), ShouldEqual, 2)
		}
	})

	Convey("Any number of seconds above 0 is a pause, the longest of several, and ends", t, func() {
		for _, lines := range []string{
			"Retry-After: 1e9\r\n", "Retry-After: 9\r\nRetry-After: 0.001\r\n", "Retry-After: x\r\nRetry-After: 9\r\n", "Retry-After: 9\r\nX-Leaving: 1\r\n",
		} {
			a := newServer(t, "s1", pausing(lines, notRunResponse))
			f := newFixture(t, nil, a)
			f.send(t, http.MethodPost, "/unsafe/", "")
			So(f.send(t, http.MethodPost, "/unsafe/", "").status, ShouldEqual, http.StatusServiceUnavailable)
			So(a.requestCount(), ShouldEqual, 1)
		}
		a := newServer(t, "s1", func(r receivedRequest, n int) string {
			if n == 1 {
				return withHeader(notRunResponse(r), "Retry-After: 0.2\r\n")
			}
			return fullResponse(r, http.StatusOK, "from s1")
		})
		f := newFixture(t, nil, a)
		So(wait.Until(func() bool { return f.send(t, http.MethodPost, "/unsafe/", "").body == "from s1" }), ShouldBeTrue)
	})
}
