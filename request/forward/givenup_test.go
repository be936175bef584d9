package forward

import (
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/test/wait"
	"github.com/rattanway/rattanway/version/catalog"
)

// pausingServer is a server that sends the first event of a stream, nothing for pause, and
// then the rest. To other requests it responds after pause.
func pausingServer(t *testing.T, pause time.Duration) *fakeServer {
	return newServer(t, "pausing", func(r receivedRequest, _ int) string {
		if r.req.URL.Path == "/safe/" {
			<-time.After(pause)
			return fullResponse(r, http.StatusOK, "late")
		}
		_, _ = io.WriteString(r.conn, streamHeader(r)+chunk(event(1)))
		<-time.After(pause)
		return chunk(event(2)) + lastChunk
	})
}

// listSecond lists a second server, after first. It takes limit requests at a time.
func (f *handlerFixture) listSecond(first, second *fakeServer, limit int) {
	f.holder.Apply([]catalog.Change{{Server: f.holder.Current().Servers[first.id]}, {Server: &catalog.Server{
		ID: second.id, Service: "registry", Addr: second.listener.Addr().String(), DataCentre: "palermo", Slots: limit - 1,
	}}}, true, true, time.Now())
}

// TestResponseGivenUpAtASilentServer guards against responses that are lost although their
// server goes on: the connection was closed before another server had begun the request.
func TestResponseGivenUpAtASilentServer(t *testing.T) {
	// goesOnAfter is longer than the time after which another server is tried.
	const goesOnAfter = 1500 * time.Millisecond
	for _, path := range []string{"/resumable/", "/safe/"} {
		want := event(1) + event(2)
		if path == "/safe/" {
			want = "late"
		}
		for name, respond := range map[string]func(r receivedRequest, n int) string{
			"refuses it":               func(r receivedRequest, _ int) string { return notRunResponse(r) },
			"breaks off":               func(receivedRequest, int) string { return "" },
			"sends a head and no more": func(r receivedRequest, _ int) string { return streamHeader(r) + closeMarker },
			"is silent as well": func(receivedRequest, int) string {
				<-t.Context().Done()
				return ""
			},
		} {
			Convey("A request to "+path+" gets the response of its server if the second one "+name, t, func() {
				pausing, second := pausingServer(t, goesOnAfter), newServer(t, "second", respond)
				f := newFixture(t, nil, pausing)
				responses := make(chan clientResponse, 1)
				go func() { responses <- f.send(t, http.MethodPost, path, "") }()
				So(wait.Until(func() bool { return pausing.requestCount() == 1 }), ShouldBeTrue)
				f.listSecond(pausing, second, 4)
				r := <-responses
				So(r.err, ShouldBeNil)
				So(r.status, ShouldEqual, http.StatusOK)
				So(r.body, ShouldEqual, want)
				So(second.requestCount(), ShouldBeGreaterThan, 0)
				So(wait.Until(func() bool { return len(f.scheduler.RunningByServer()) == 0 }), ShouldBeTrue)
			})
		}
	}

	Convey("Of several requests that see the same free slot, none is given up", t, func() {
		const requestCount = 12
		var begun sync.WaitGroup
		begun.Add(requestCount)
		pausing := newServer(t, "pausing", func(r receivedRequest, _ int) string {
			_, _ = io.WriteString(r.conn, streamHeader(r))
			if r.req.URL.Path == "/stream/" {
				// The server goes on with one of its requests.
				for id := range 40 {
					<-time.After(50 * time.Millisecond)
					_, _ = io.WriteString(r.conn, chunk(event(id+1)))
				}
				return lastChunk
			}
			begun.Done()
			begun.Wait()
			_, _ = io.WriteString(r.conn, chunk(event(1)))
			<-time.After(goesOnAfter)
			return chunk(event(2)) + lastChunk
		})
		second := newServer(t, "second", func(r receivedRequest, _ int) string {
			// The only slot is not free again while the others wait.
			<-time.After(3 * time.Second)
			return streamHeader(r) + chunk(event(2)) + lastChunk
		})
		f := newFixture(t, nil, pausing)
		listed := *f.holder.Current().Servers["pausing"]
		listed.Slots = 2 * requestCount
		f.holder.Apply([]catalog.Change{{Server: &listed}}, true, true, time.Now())
		var running sync.WaitGroup
		responses := make(chan clientResponse, requestCount)
		running.Go(func() { f.send(t, http.MethodPost, "/stream/", "") })
		for range requestCount {
			running.Go(func() { responses <- f.send(t, http.MethodPost, "/resumable/", "") })
		}
		So(wait.Until(func() bool { return pausing.requestCount() == requestCount+1 }), ShouldBeTrue)
		f.listSecond(pausing, second, 1)
		running.Wait()
		for range requestCount {
			r := <-responses
			So(r.err, ShouldBeNil)
			So(r.body, ShouldEqual, event(1)+event(2))
		}
	})

	Convey("A stream whose server loads weights goes on there if the other server refuses it", t, func() {
		const lastID = 40
		loading := newServer(t, "pausing", func(r receivedRequest, _ int) string {
			_, _ = io.WriteString(r.conn, streamHeader(r))
			for id := 1; id <= lastID; id++ {
				<-time.After(50 * time.Millisecond)
				if _, err := io.WriteString(r.conn, chunk(event(id))); err != nil {
					return ""
				}
			}
			return lastChunk
		})
		second := newServer(t, "second", func(r receivedRequest, _ int) string { return notRunResponse(r) })
		f := newFixture(t, nil, loading)
		responses := make(chan clientResponse, 1)
		go func() { responses <- f.send(t, http.MethodPost, "/resumable/", "") }()
		So(wait.Until(func() bool { return loading.requestCount() == 1 }), ShouldBeTrue)
		f.listSecond(loading, second, 4)
		f.scheduler.SetAgentState(loading.listener.Addr().String(), &frame.AgentState{Loading: true})
		want := ""
		for id := 1; id <= lastID; id++ {
			want += event(id)
		}
		r := <-responses
		So(r.err, ShouldBeNil)
		So(r.body, ShouldEqual, want)
		So(second.requestCount(), ShouldBeGreaterThan, 0)
	})
}
