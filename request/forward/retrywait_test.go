package forward

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/request/dispatch"
	"github.com/rattanway/rattanway/test/wait"
	"github.com/rattanway/rattanway/version/catalog"
)

// Guards against streams that are broken off although their clients would still wait, and a
// slot becomes free in that time.
func TestStreamWaitsForASlotAsLongAsItsClient(t *testing.T) {
	// run sends a stream whose server breaks off after event 1. The only slot at the other
	// server is free from freeAfter on; never if that is 0. It returns the response, and how
	// long it took.
	run := func(t *testing.T, freeAfter time.Duration) (clientResponse, time.Duration) {
		breaksOff := newServer(t, "first", func(r receivedRequest, _ int) string {
			_, _ = io.WriteString(r.conn, streamHeader(r)+chunk(event(1)))
			return ""
		})
		second := newServer(t, "second", func(r receivedRequest, _ int) string {
			return streamHeader(r) + chunk(event(2)) + lastChunk
		})
		f := newFixture(t, nil, breaksOff)
		f.listSecond(breaksOff, second, 1)
		slot, free := f.scheduler.TryAcquire(&dispatch.Request{
			Service: "registry", Deadline: time.Now().Add(time.Minute), TriedServers: map[string]bool{"first": true},
		})
		So(free, ShouldBeTrue)
		if freeAfter > 0 {
			time.AfterFunc(freeAfter, func() { f.scheduler.Release(slot, dispatch.Served) })
		}
		start := time.Now()
		r := f.send(t, http.MethodPost, "/resumable/", "")
		return r, time.Since(start)
	}

	Convey("A stream goes on in a slot that becomes free 1.5 s after its server broke off", t, func() {
		r, _ := run(t, 1500*time.Millisecond)
		So(r.err, ShouldBeNil)
		So(r.body, ShouldEqual, event(1)+event(2))
	})

	Convey("Without a slot it is broken off before its client gives up", t, func() {
		r, took := run(t, 0)
		So(r.err, ShouldNotBeNil)
		So(r.body, ShouldEqual, event(1))
		So(took, ShouldBeLessThan, 2*time.Second)
	})

	Convey("A stream whose client leaves waits no longer", t, func() {
		breaksOff := newServer(t, "first", func(r receivedRequest, _ int) string {
			_, _ = io.WriteString(r.conn, streamHeader(r)+chunk(event(1)))
			return ""
		})
		full := newServer(t, "second", func(r receivedRequest, _ int) string { return notRunResponse(r) })
		f := newFixture(t, nil, breaksOff)
		f.listSecond(breaksOff, full, 1)
		_, free := f.scheduler.TryAcquire(&dispatch.Request{
			Service: "registry", Deadline: time.Now().Add(time.Minute), TriedServers: map[string]bool{"first": true},
		})
		So(free, ShouldBeTrue)
		conn, err := net.Dial("tcp", f.httpServer.Listener.Addr().String())
		So(err, ShouldBeNil)
		_, err = io.WriteString(conn, "POST /resumable/ HTTP/1.1\r\nHost: example\r\nX-Id: id-1\r\nAuthorization: Token k1\r\nContent-Length: 0\r\n\r\n")
		So(err, ShouldBeNil)
		So(wait.Until(func() bool { return f.handler.ActiveCount() == 1 && breaksOff.requestCount() == 1 }), ShouldBeTrue)
		start := time.Now()
		So(conn.Close(), ShouldBeNil)
		So(wait.Until(func() bool { return f.handler.ActiveCount() == 0 }), ShouldBeTrue)
		So(time.Since(start), ShouldBeLessThan, 500*time.Millisecond)
		So(full.requestCount(), ShouldEqual, 0)
	})
}

func TestStreamRetryWait(t *testing.T) {
	Convey("A stream waits as long as its client, less the time to go on, and retryWait at least", t, func() {
		now := time.Now()
		for _, c := range []struct{ objective, gap, sinceEvent, want time.Duration }{
			{300 * time.Millisecond, 50 * time.Millisecond, 0, 1700 * time.Millisecond},
			{300 * time.Millisecond, 50 * time.Millisecond, 500 * time.Millisecond, 1200 * time.Millisecond},
			{300 * time.Millisecond, 50 * time.Millisecond, 1900 * time.Millisecond, retryWait},
			{time.Second, 50 * time.Millisecond, 500 * time.Millisecond, 3200 * time.Millisecond},
			{300 * time.Millisecond, 400 * time.Millisecond, 500 * time.Millisecond, 2400 * time.Millisecond},
		} {
			r := catalog.Route{FirstByteObjective: c.objective, EventGapObjective: c.gap}
			So(streamRetryWait(&r, now.Add(-c.sinceEvent), now), ShouldEqual, c.want)
		}
	})
}
