package forward

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// resetDelay is the time from the last byte of a response to the reset.
const resetDelay = 50 * time.Millisecond

// respondWithoutLength returns a function that responds with a body that has neither a
// length nor chunks and ends with the connection: after a reset if reset is true.
func respondWithoutLength(protocol, header, body string, reset bool) func(receivedRequest, int) string {
	return func(r receivedRequest, _ int) string {
		head := protocol + " 200 X\r\nX-Id: " + r.req.Header.Get("X-Id") + "\r\nX-Receipt: r\r\n" + header + "\r\n"
		if _, err := io.WriteString(r.conn, head+body); err == nil && reset {
			// A reset discards what the other side has not read yet.
			<-time.After(resetDelay)
			_ = r.conn.(*net.TCPConn).SetLinger(0)
		}
		return ""
	}
}

// TestResponseWithoutLength guards against taking a response that was cut off for a
// complete one, and the reverse, where only the end of the connection ends it.
func TestResponseWithoutLength(t *testing.T) {
	const sse = "Content-Type: text/event-stream\r\n"
	full := func(id string) func(receivedRequest, int) string {
		return func(r receivedRequest, _ int) string { return fullResponse(r, 200, "from "+id) }
	}
	for _, protocol := range []string{"HTTP/1.1", "HTTP/1.0"} {
		Convey("With "+protocol+", a body that ends with the connection is complete, and each request gets a new connection", t, func() {
			s := newServer(t, "s", respondWithoutLength(protocol, "", "whole body", false))
			f := newFixture(t, nil, s)
			for range 3 {
				o := f.send(t, http.MethodGet, "/safe/", "")
				So(o.err, ShouldBeNil)
				So(o.status, ShouldEqual, http.StatusOK)
				So(o.body, ShouldEqual, "whole body")
				So(o.header.Get("Content-Length"), ShouldEqual, "10")
			}
			So(s.requestCount(), ShouldEqual, 3)
			So(s.connCount(), ShouldEqual, 3)
		})
	}
	Convey("A body that is reset is not complete", t, func() {
		cut := newServer(t, "a", respondWithoutLength("HTTP/1.1", "", "half a", true))
		Convey("a request that may be repeated is served by another server", func() {
			f := newFixture(t, nil, cut, newServer(t, "b", full("b")))
			for range 4 {
				o := f.send(t, http.MethodGet, "/safe/", "")
				So(o.err, ShouldBeNil)
				So(o.body, ShouldEqual, "from b")
			}
		})
		Convey("another request fails without promising that it has not run", func() {
			o := newFixture(t, nil, cut).send(t, http.MethodPost, "/unsafe/", "")
			So(o.err, ShouldBeNil)
			So(o.status, ShouldEqual, http.StatusBadGateway)
		})
	})
	Convey("A stream that ends between two events is complete", t, func() {
		s := newServer(t, "s", respondWithoutLength("HTTP/1.1", sse, event(1)+event(2), false))
		o := newFixture(t, nil, s).send(t, http.MethodPost, "/stream/", "")
		So(o.err, ShouldBeNil)
		So(o.body, ShouldEqual, event(1)+event(2))
	})
	for name, cut := range map[string]func(receivedRequest, int) string{
		"ends inside an event":        respondWithoutLength("HTTP/1.1", sse, event(1)+event(2)+"id: 3\ndata: pie", false),
		"ends inside a line":          respondWithoutLength("HTTP/1.1", sse, event(1)+event(2)+"id", false),
		"ends before an event's end":  respondWithoutLength("HTTP/1.1", sse, event(1)+event(2)+"id: 3\ndata: piece 3\n", false),
		"is reset between two events": respondWithoutLength("HTTP/1.1", sse, event(1)+event(2), true),
		"in chunks ends inside an event": func(r receivedRequest, _ int) string {
			return streamHeader(r) + chunk(event(1)+event(2)+"id: 3\n") + lastChunk
		},
	} {
		Convey("A stream that "+name+" has been broken off", t, func() {
			Convey("the client does not get a complete response, and only whole events", func() {
				o := newFixture(t, nil, newServer(t, "a", cut)).send(t, http.MethodPost, "/stream/", "")
				So(o.err, ShouldNotBeNil)
				So(o.body, ShouldEqual, event(1)+event(2))
			})
			Convey("a stream that may be continued goes on at another server", func() {
				respond := func(r receivedRequest, n int) string {
					if r.req.Header.Get("Last-Event-Id") != "2" {
						return cut(r, n)
					}
					return streamHeader(r) + chunk(event(3)) + lastChunk
				}
				a, b := newServer(t, "a", respond), newServer(t, "b", respond)
				o := newFixture(t, nil, a, b).send(t, http.MethodPost, "/resumable/", "")
				So(o.err, ShouldBeNil)
				So(o.body, ShouldEqual, event(1)+event(2)+event(3))
				So(a.requestCount(), ShouldEqual, 1)
				So(b.requestCount(), ShouldEqual, 1)
			})
		})
	}
}
