package serve

import (
	"context"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/connection/engine"
	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/core"
	standin "github.com/rattanway/rattanway/standin/engine"
	"github.com/rattanway/rattanway/version/declare"
)

func TestEngineFaults(t *testing.T) {
	Convey("Given an agent in front of an engine", t, func() {
		h := newHarness(t, options{
			engine: standin.Config{TokenInterval: time.Millisecond, TimeToFirstToken: time.Millisecond},
			serve:  Config{StallTimeout: 200 * time.Millisecond, FirstByteTimeout: 300 * time.Millisecond},
		})
		req := completionRequest("r1", "20")

		Convey("a response to another request is never forwarded", func() {
			h.engine.SetFaults(standin.Faults{ForeignResponse: true})
			r := h.do(frame.KindRequest, req)
			So(r.summary(), ShouldEqual, "failed incomplete")
			So(r.head, ShouldBeNil)
			So(r.body, ShouldBeEmpty)
		})
		Convey("a stream whose model version changes is ended before the first token of the other version", func() {
			h.engine.SetFaults(standin.Faults{Swap: otherDigest, SwapAfter: 7})
			r := h.do(frame.KindRequest, req)
			So(r.summary(), ShouldEqual, "failed incomplete")
			So(r.tokenCount, ShouldEqual, 7)
			completeText, err := standin.ExpectedText(testDigest, req.Body)
			So(err, ShouldBeNil)
			So(strings.HasPrefix(completeText, joinTokens(r.body)), ShouldBeTrue)
		})
		Convey("a call for a version that the engine does not report as loaded is refused and does not run", func() {
			req.Digest = otherDigest
			So(h.do(frame.KindRequest, req).summary(), ShouldEqual, "refused digest")
			So(h.engine.Counters().Started, ShouldEqual, 0)
		})
		Convey("a call for a version that the engine falsely reports as loaded is refused and does not run", func() {
			h.engine.SetFaults(standin.Faults{FalseLoaded: &frame.LoadedVersion{Model: testModel, Version: "v2", Digest: otherDigest}})
			req.Digest = otherDigest
			reported := make(chan core.Digest, 1)
			h.handler.cfg.OnWrongVersion = func(d core.Digest) { reported <- d }
			So(h.do(frame.KindRequest, req).summary(), ShouldEqual, "refused digest")
			So(h.engine.Counters().Started, ShouldEqual, 0)
			So(<-reported, ShouldEqual, otherDigest)
		})
		Convey("a stream without its last event is never reported as complete", func() {
			h.engine.SetFaults(standin.Faults{Cut: true, CutAfter: 5})
			r := h.do(frame.KindRequest, req)
			So(r.summary(), ShouldEqual, "failed incomplete")
			So(r.tokenCount, ShouldEqual, 5)
		})
		Convey("a stream that stalls is ended after the stall timeout", func() {
			h.engine.SetFaults(standin.Faults{Stall: true, StallAfter: 5})
			r := h.do(frame.KindRequest, req)
			So(r.summary(), ShouldEqual, "failed incomplete")
			So(r.tokenCount, ShouldEqual, 5)
			So(r.fail.Detail, ShouldContainSubstring, errStalled.Error())
		})
		Convey("a call whose engine sends no token is ended after the first-byte timeout", func() {
			h.engine.SetFaults(standin.Faults{Stall: true})
			r := h.do(frame.KindRequest, req)
			So(r.summary(), ShouldEqual, "failed incomplete")
			So(r.fail.Detail, ShouldContainSubstring, errFirstByteTimeout.Error())
		})
		Convey("a call that an overloaded engine refuses is refused as full", func() {
			h.engine.SetFaults(standin.Faults{Refuse: true})
			So(h.do(frame.KindRequest, req).summary(), ShouldEqual, "refused full")
		})
		Convey("a call is cancelled at the engine when its deadline passes", func() {
			long := completionRequest("r1", "100000")
			long.TimeoutMillis = 200
			r := h.do(frame.KindRequest, long)
			So(r.summary(), ShouldEqual, "failed incomplete")
			So(r.fail.Detail, ShouldContainSubstring, errDeadlinePassed.Error())
			eventually(t, "the engine has counted the cancellation", func() bool { return h.engine.Counters().Cancelled == 1 })
		})
		Convey("a new boot id resets the limit to the cold limit", func() {
			h.limiter.Configure(8, 2)
			So(h.do(frame.KindRequest, req).summary(), ShouldEqual, "whole")
			So(h.limiter.Load().Limit, ShouldEqual, 8)
			h.engine.SetFaults(standin.Faults{Reboot: true})
			So(h.do(frame.KindRequest, req).summary(), ShouldEqual, "whole")
			So(h.limiter.Load().Limit, ShouldEqual, 2)
		})
	})
}

func TestChecksBeforeNewWork(t *testing.T) {
	Convey("Given an agent in front of an engine", t, func() {
		confirmedAt, onConfirmCheck := time.Now(), func() {}
		h := newHarness(t, options{serve: Config{LastConfirmed: func() time.Time {
			onConfirmCheck()
			return confirmedAt
		}}})
		req := completionRequest("r1", "1")

		Convey("a call that was routed with a newer configuration is refused", func() {
			req.ConfigNumber = 2
			So(h.do(frame.KindRequest, req).summary(), ShouldEqual, "refused stale")
		})
		Convey("a call is refused when the configuration has not been confirmed recently", func() {
			confirmedAt = time.Now().Add(-time.Minute)
			So(h.do(frame.KindRequest, req).summary(), ShouldEqual, "refused stale")
		})
		Convey("a call is refused when the data centre is out", func() {
			h.configure(2, func(s *declare.Set) { s.DataCentres["palermo"].Out = true })
			So(h.do(frame.KindRequest, req).summary(), ShouldEqual, "refused out")
		})
		Convey("a configuration that arrives during the confirmation check is the one that is applied", func() {
			onConfirmCheck = func() {
				h.configure(2, func(s *declare.Set) { s.DataCentres["palermo"].Out = true })
			}
			So(h.do(frame.KindRequest, req).summary(), ShouldEqual, "refused out")
		})
		Convey("a call is refused when the backend server is declared as leaving", func() {
			h.configure(2, func(s *declare.Set) { s.BackendServers["s1"].Leaving = true })
			So(h.do(frame.KindRequest, req).summary(), ShouldEqual, "refused leaving")
		})
		Convey("a call to a path that engines do not serve is refused", func() {
			req.Path = "/engine/orders"
			So(h.do(frame.KindRequest, req).summary(), ShouldEqual, "refused unknown-op")
		})
		Convey("a leaving agent completes the stream in flight", func() {
			ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
			defer cancel()
			long := completionRequest("r1", "40")
			exchange, err := h.pool.Open(ctx, h.agent, "r1", frame.KindRequest, long)
			So(err, ShouldBeNil)
			_, err = exchange.Receive(ctx)
			So(err, ShouldBeNil)
			h.handler.Leave()
			So(h.do(frame.KindRequest, completionRequest("r2", "1")).summary(), ShouldEqual, "refused leaving")
			So(collectReply(ctx, exchange).summary(), ShouldEqual, "whole")
			exchange.Close(true)
			So(h.handler.Drain(ctx), ShouldBeNil)
		})
	})
}

// misroutingEngine returns the response to the first call as the response to
// the second call, like an engine that mixes up its connections. The first call
// gets no response.
type misroutingEngine struct {
	engine.Engine
	firstResponse engine.Response
}

// Do implements engine.Engine.
func (e *misroutingEngine) Do(ctx context.Context, c engine.Call) (engine.Response, error) {
	if e.firstResponse.Body != nil {
		return e.firstResponse, nil
	}
	var err error
	e.firstResponse, err = e.Engine.Do(context.WithoutCancel(ctx), c)
	if err != nil {
		return engine.Response{}, err
	}
	<-ctx.Done()
	return engine.Response{}, ctx.Err()
}

func TestLateResponse(t *testing.T) {
	Convey("A response that arrives after its call was cancelled is not forwarded to the next call", t, func() {
		h := newHarness(t, options{wrap: func(e engine.Engine) engine.Engine { return &misroutingEngine{Engine: e} }})
		late := completionRequest("r1", "5")
		late.TimeoutMillis = 100
		So(h.do(frame.KindRequest, late).summary(), ShouldEqual, "failed incomplete")
		r := h.do(frame.KindRequest, completionRequest("r2", "5"))
		So(r.summary(), ShouldEqual, "failed incomplete")
		So(r.body, ShouldBeEmpty)
	})
}
