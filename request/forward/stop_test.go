package forward

import (
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/test/wait"
	"github.com/rattanway/rattanway/version/catalog"
)

// newSilentServer starts a server that responds to nothing until the test ends.
func newSilentServer(t *testing.T) *fakeServer {
	t.Helper()
	return newServer(t, "silent", func(receivedRequest, int) string {
		<-t.Context().Done()
		return ""
	})
}

// Guards against requests that are cut off without any response because the process ends.
func TestRequestsAreAnsweredBeforeTheStop(t *testing.T) {
	// sendAll sends n requests and returns a channel with their responses.
	sendAll := func(f *handlerFixture, n int) <-chan clientResponse {
		responses := make(chan clientResponse, n)
		for range n {
			go func() { responses <- f.send(t, http.MethodPost, "/unsafe/", "", "X-Deadline", "4000") }()
		}
		return responses
	}

	for _, late := range []bool{false, true} {
		Convey("Requests at a silent server get a response when the process stops; sent after the signal: "+strconv.FormatBool(late), t, func() {
			silent := newServer(t, "silent", func(r receivedRequest, n int) string {
				if n == 1 {
					return fullResponse(r, http.StatusOK, "lot 7")
				}
				<-t.Context().Done()
				return ""
			})
			f := newFixture(t, nil, silent)
			// The usual duration of the route is known, and short.
			So(f.send(t, http.MethodPost, "/unsafe/", "").status, ShouldEqual, http.StatusOK)
			start := time.Now()
			var responses <-chan clientResponse
			if !late {
				responses = sendAll(f, 1)
				So(wait.Until(func() bool { return silent.requestCount() == 2 }), ShouldBeTrue)
			}
			now := time.Now()
			f.handler.BeginStop(Stop{BegunAt: now, AcceptUntil: now.Add(time.Second), AnswerAt: now.Add(300 * time.Millisecond)})
			if late {
				responses = sendAll(f, 1)
			}
			r := <-responses
			So(r.err, ShouldBeNil)
			So(r.status, ShouldEqual, http.StatusGatewayTimeout)
			So(time.Since(start), ShouldBeLessThan, 2*time.Second)
			if late {
				ms, err := strconv.Atoi(silent.lastRequest().req.Header.Get("X-Deadline"))
				So(err, ShouldBeNil)
				So(ms, ShouldBeLessThanOrEqualTo, 300)
			}
		})
	}
}

// Guards against streams that begin shortly before the process ends and are cut off: a
// refusal is true as long as no server has run the request.
func TestRequestsThatOutlastAStopAreRefused(t *testing.T) {
	for _, path := range []string{"/stream/", "/resumable/", "/unsafe/"} {
		Convey("A request to "+path+" whose body is complete when too little time is left gets 503 and reaches no server", t, func() {
			slow := newServer(t, "slow", func(r receivedRequest, n int) string {
				_, _ = io.WriteString(r.conn, streamHeader(r)+chunk(event(1)))
				if n > 1 {
					<-t.Context().Done()
					return ""
				}
				<-time.After(600 * time.Millisecond)
				return chunk(event(2)) + lastChunk
			})
			f := newFixture(t, nil, slow)
			// The usual duration of the route is known.
			So(f.send(t, http.MethodPost, path, "").status, ShouldEqual, http.StatusOK)

			finish, read := f.beginChunked(path, "5000")
			now := time.Now()
			f.handler.BeginStop(Stop{BegunAt: now, AcceptUntil: now.Add(time.Second), AnswerAt: now.Add(1200 * time.Millisecond)})
			<-time.After(300 * time.Millisecond)
			finish()
			r := read()
			So(r.err, ShouldBeNil)
			So(r.status, ShouldEqual, http.StatusServiceUnavailable)
			So(r.header.Get("Retry-After"), ShouldNotBeEmpty)
			So(slow.requestCount(), ShouldEqual, 1)
		})
	}

	Convey("A server that gets a request again during a stop gets no more time than the stop leaves", t, func() {
		var f *handlerFixture
		breaking := newServer(t, "breaking", func(r receivedRequest, n int) string {
			if n == 1 {
				now := time.Now()
				f.handler.BeginStop(Stop{BegunAt: now, AcceptUntil: now.Add(time.Second), AnswerAt: now.Add(time.Second)})
				return ""
			}
			return fullResponse(r, http.StatusOK, "lot 7")
		})
		other := newOKServer(t, "other")
		f = newFixture(t, nil, breaking, other)
		So(wait.Until(func() bool {
			return f.send(t, http.MethodPost, "/safe/", "", "X-Deadline", "5000").status == http.StatusOK && breaking.requestCount() == 1
		}), ShouldBeTrue)
		ms, err := strconv.Atoi(other.lastRequest().req.Header.Get("X-Deadline"))
		So(err, ShouldBeNil)
		So(ms, ShouldBeBetweenOrEqual, 1, 1000)
	})

	Convey("Whether a request may begin depends on the time that is left", t, func() {
		begunAt := time.Unix(1000, 0)
		at := func(s float64) time.Time { return begunAt.Add(time.Duration(s * float64(time.Second))) }
		stop := Stop{BegunAt: begunAt, AcceptUntil: at(2.5), AnswerAt: at(7)}
		for _, c := range []struct {
			now, deadline float64
			usual         time.Duration
			want          bool
		}{
			{now: 1, deadline: 7, usual: 9 * time.Second, want: true},
			{now: 1, deadline: 7.1, usual: 6 * time.Second, want: true},
			{now: 1, deadline: 7.1, usual: 6100 * time.Millisecond, want: false},
			{now: 1, deadline: 7.1, usual: 0, want: false},
			{now: 2.4, deadline: 8, usual: time.Second, want: true},
			{now: 2.6, deadline: 8, usual: time.Second, want: false},
			{now: 2.6, deadline: 6, usual: 0, want: true},
		} {
			So(stop.mayBegin(at(c.now), at(c.deadline), c.usual), ShouldEqual, c.want)
		}
	})

	Convey("The usual duration of a route follows its responses", t, func() {
		u := newUsualDurations()
		So(u.usual("/stream/"), ShouldEqual, 0)
		for range 100 {
			u.record("/stream/", 3*time.Second)
		}
		So(u.usual("/stream/"), ShouldBeBetweenOrEqual, 3*time.Second, 3100*time.Millisecond)
		for range 100 {
			u.record("/stream/", 4*time.Second)
			u.record("/stream/", 2*time.Second)
		}
		So(u.usual("/stream/"), ShouldBeGreaterThan, 4*time.Second)
	})
}

// Guards against a request that is refused, or that stays at a silent server until the
// process ends, although a server may have run it and another one can.
func TestRequestLeavesASilentServerDuringAStop(t *testing.T) {
	Convey("A request at a server that has gone silent moves during a planned stop, in which no other request begins", t, func() {
		silent := newSilentServer(t)
		good := newServer(t, "good", func(r receivedRequest, _ int) string {
			return streamHeader(r) + chunk(event(1)) + lastChunk
		})
		f := newFixture(t, nil, silent)
		responses := make(chan clientResponse, 1)
		go func() { responses <- f.send(t, http.MethodPost, "/resumable/", "", "X-Deadline", "5000") }()
		So(wait.Until(func() bool { return silent.requestCount() == 1 }), ShouldBeTrue)
		f.holder.Apply([]catalog.Change{{Server: f.holder.Current().Servers["silent"]}, {Server: &catalog.Server{
			ID: "good", Service: "registry", Addr: good.listener.Addr().String(), DataCentre: "palermo", Slots: 4,
		}}}, true, true, time.Now())
		now := time.Now()
		f.handler.BeginStop(Stop{BegunAt: now, AcceptUntil: now, AnswerAt: now.Add(4 * time.Second)})
		So(f.send(t, http.MethodPost, "/resumable/", "", "X-Deadline", "5000").status, ShouldEqual, http.StatusServiceUnavailable)
		r := <-responses
		So(r.status, ShouldEqual, http.StatusOK)
		So(r.body, ShouldEqual, event(1))
		So(good.requestCount(), ShouldEqual, 1)
	})
}
