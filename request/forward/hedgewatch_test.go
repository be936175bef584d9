package forward

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/request/dispatch"
	"github.com/rattanway/rattanway/test/wait"
	"github.com/rattanway/rattanway/version/catalog"
)

// resumableRoute returns a route of streams that can be continued at another server.
func resumableRoute() catalog.Route {
	r := route("/resumable/", catalog.KindStream)
	r.Resumable = true
	return r
}

// TestSearchOfASilentServerEnds guards against a search for a slot that goes on although the
// server has gone on, because a search for a move has taken its place.
func TestSearchOfASilentServerEnds(t *testing.T) {
	Convey("The search of a silent server ends with its next event, also after a search for a move", t, func() {
		var hedged bool
		var left map[string]int
		virtually(t, func(t *testing.T) {
			f := newWatchFixture(t, resumableRoute(), 10)
			f.silentFor(firstEventTimeout + 50*time.Millisecond)
			f.watch.moveRequest()
			f.serverEvent()
			f.releaseBusy()
			hedged = f.hedgedAfter > 0
			left = f.finish()
		})
		So(hedged, ShouldBeFalse)
		So(left, ShouldBeEmpty)
	})
}

// TestServerFallsSilentDuringAMove guards against a request that stays at a silent server
// because the server fell silent while a hedge for a move was in progress.
func TestServerFallsSilentDuringAMove(t *testing.T) {
	Convey("When the hedge of a move fails, a silent server is still left", t, func() {
		var movedAfter, hedgedAfter time.Duration
		var left map[string]int
		virtually(t, func(t *testing.T) {
			f := newWatchFixture(t, resumableRoute(), 10)
			f.serverEvent()
			other := f.busy[0]
			f.busy = f.busy[1:]
			f.watch.beginMove(other)
			f.silentFor(eventTimeout + 300*time.Millisecond)
			movedAfter = f.hedgedAfter
			f.watch.hedge.cancel()
			f.silentFor(2 * stallRecheckInterval)
			hedgedAfter = f.hedgedAfter
			left = f.finish()
		})
		So(hedgedAfter, ShouldBeGreaterThan, movedAfter)
		So(left, ShouldBeEmpty)
	})
}

// TestRequestEndsDuringAHedge guards against a refusal of a request that the server of a
// hedge may have run.
func TestRequestEndsDuringAHedge(t *testing.T) {
	Convey("A request that ends after a refusal of its first server, while a hedge is in progress, gets no refusal", t, func() {
		var status int
		virtually(t, func(t *testing.T) {
			f := newWatchFixture(t, resumableRoute(), 10)
			recorder := httptest.NewRecorder()
			f.call.w = recorder
			f.call.httpReq = httptest.NewRequest(http.MethodPost, "/resumable/", nil)
			f.releaseBusy()
			f.silentFor(firstEventTimeout + 50*time.Millisecond)
			f.watch.stop()
			ctx, cancel := context.WithCancel(t.Context())
			cancel()
			r := attemptResult{outcome: dispatch.Full, mayHaveArrived: true}
			err := f.call.decideRetry(ctx, f.slot, &r)
			f.call.giveUp(ctx, err)
			status = recorder.Code
			f.finish()
		})
		So(status, ShouldEqual, http.StatusGatewayTimeout)
	})

	Convey("A request that its first server refuses after a hedge has failed waits for a third server", t, func() {
		first := newServer(t, "first", func(r receivedRequest, _ int) string {
			<-time.After(1200 * time.Millisecond)
			return notRunResponse(r)
		})
		second := newServer(t, "second", func(receivedRequest, int) string { return "" })
		third := newOKServer(t, "third")
		f := newFixture(t, func(c *catalog.Config) { c.Routes[0].MaxServers = 3 }, first, second, third)
		inUse := map[string][]dispatch.Slot{}
		for {
			slot, ok := f.scheduler.TryAcquire(&dispatch.Request{Service: "registry", TriedServers: map[string]bool{"first": true}})
			if !ok {
				break
			}
			inUse[slot.Server.ID] = append(inUse[slot.Server.ID], slot)
		}
		release := func(id string) {
			for _, slot := range inUse[id] {
				f.scheduler.Release(slot, dispatch.Served)
			}
		}
		responses := make(chan clientResponse, 1)
		go func() { responses <- f.send(t, http.MethodPost, "/safe/", "") }()
		So(wait.Until(func() bool { return first.requestCount() == 1 }), ShouldBeTrue)
		release("second")
		So(wait.Until(func() bool { return second.requestCount() == 1 }), ShouldBeTrue)
		<-time.After(900 * time.Millisecond)
		release("third")
		So((<-responses).status, ShouldEqual, http.StatusOK)
	})
}

// TestHedgeIsRecalledAsItBegins guards against a hedge that takes over although the request
// has been recalled from its server.
func TestHedgeIsRecalledAsItBegins(t *testing.T) {
	Convey("A hedge whose request is recalled just before its first event has not begun", t, func() {
		silent := newSilentServer(t)
		second := newOKServer(t, "second")
		f := newFixtureOf(t, fixtureConfig{scheduler: func(cfg *dispatch.Config) { cfg.WeightsDueAfter = 500 * time.Millisecond }}, silent)
		f.listModel(silent, 1)
		f.declareWeights(1, time.Minute)
		slot := dispatch.Slot{Server: &catalog.Server{ID: "second", Addr: second.listener.Addr().String()}, Version: 1}
		recalled := make(chan struct{})
		pending, ok := f.scheduler.AwaitBegin(slot, "m", func() { close(recalled) })
		So(ok, ShouldBeTrue)
		f.declareWeights(2, time.Minute)
		<-recalled
		conn, err := f.pool.Get(t.Context(), slot.Server.Addr, true)
		So(err, ShouldBeNil)
		defer conn.Close()
		resp := &http.Response{
			StatusCode: http.StatusOK, Header: http.Header{"X-Receipt": {"r"}, "Content-Type": {eventStreamType}},
			Body: io.NopCloser(strings.NewReader(event(1))),
		}
		x := &serverExchange{conn: conn, slot: slot, stopAbort: func() bool { return true }, pending: pending, resp: resp}
		stream := resumableRoute()
		h := &hedge{call: &call{Handler: f.handler, route: &stream}, slot: slot}
		_, begun := h.awaitBegin(x)
		So(begun, ShouldBeFalse)
	})
}

// TestNoHedgeWithoutTime guards against retries that are counted although no time is left to
// send the request.
func TestNoHedgeWithoutTime(t *testing.T) {
	Convey("No hedge of a request that is no stream begins when too little time is left", t, func() {
		var hedged bool
		var left map[string]int
		virtually(t, func(t *testing.T) {
			r := route("/safe/", catalog.KindSafe)
			r.Timeout = 2*time.Second + minRetryTime/2
			f := newWatchFixture(t, r, 10)
			f.silentFor(1900 * time.Millisecond)
			f.releaseBusy()
			f.silentFor(110 * time.Millisecond)
			hedged = f.hedgedAfter > 0
			left = f.finish()
		})
		So(hedged, ShouldBeFalse)
		So(left, ShouldBeEmpty)
	})
}
