package forward

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// beginChunked opens a connection, sends the head of a request and the first chunk of its
// body, and returns functions that send the rest and read the response.
func (f *handlerFixture) beginChunked(path, deadlineMs string) (finish func(), read func() clientResponse) {
	conn, err := net.Dial("tcp", f.httpServer.Listener.Addr().String())
	So(err, ShouldBeNil)
	_, err = io.WriteString(conn, "POST "+path+" HTTP/1.1\r\nHost: example\r\nX-Id: id-1\r\nAuthorization: Token k1\r\n"+
		"X-Deadline: "+deadlineMs+"\r\nTransfer-Encoding: chunked\r\n\r\n"+chunk("lot"))
	So(err, ShouldBeNil)
	finish = func() {
		// The handler may have closed the connection.
		_, _ = io.WriteString(conn, chunk(" 7")+lastChunk)
	}
	return finish, func() clientResponse {
		defer func() { _ = conn.Close() }()
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			return clientResponse{err: err}
		}
		body, err := io.ReadAll(resp.Body)
		return clientResponse{resp.StatusCode, resp.Header, string(body), err}
	}
}

// Guards against servers that run requests whose deadline passed before the body was
// complete.
func TestBodyThatEndsAfterTheDeadline(t *testing.T) {
	for _, path := range []string{"/safe/", "/unsafe/", "/resumable/"} {
		Convey("A request to "+path+" whose body is not complete at its deadline gets 408 then and reaches no server", t, func() {
			server := newOKServer(t, "s1")
			f := newFixture(t, nil, server)
			// From now on the pool has an open connection to the server.
			So(f.send(t, http.MethodPost, path, "").status, ShouldEqual, http.StatusOK)
			sentAt := time.Now()
			finish, read := f.beginChunked(path, "300")
			finished := time.AfterFunc(time.Second, finish)
			defer finished.Stop()
			r := read()
			So(server.requestCount(), ShouldEqual, 1)
			So(r.err, ShouldBeNil)
			So(r.status, ShouldEqual, http.StatusRequestTimeout)
			So(time.Since(sentAt), ShouldBeLessThan, time.Second)
		})
	}

	Convey("The time before the deadline decides whether a request is sent", t, func() {
		f := newFixture(t, nil, newOKServer(t, "s1"))
		now := time.Now()
		c := call{Handler: f.handler}
		c.dispatchReq.Deadline = now.Add(time.Millisecond)
		So(c.checkTime(c.timeLeft(now)), ShouldBeNil)
		So(c.checkTime(c.timeLeft(now.Add(time.Microsecond))), ShouldEqual, errNoTime)
		So(c.checkTime(c.timeLeft(now.Add(time.Hour))), ShouldEqual, errNoTime)
	})

	Convey("A body that is not complete at the end of a stop gets 503 then", t, func() {
		server := newOKServer(t, "s1")
		f := newFixture(t, nil, server)
		_, read := f.beginChunked("/stream/", "5000")
		now := time.Now()
		f.handler.BeginStop(Stop{BegunAt: now, AcceptUntil: now, AnswerAt: now.Add(300 * time.Millisecond)})
		r := read()
		So(r.err, ShouldBeNil)
		So(r.status, ShouldEqual, http.StatusServiceUnavailable)
		// Other instances get the client's next connection, so it need not wait.
		So(r.header.Get("Retry-After"), ShouldBeEmpty)
		So(time.Since(now), ShouldBeLessThan, 2*time.Second)
		So(server.requestCount(), ShouldEqual, 0)
	})
}
