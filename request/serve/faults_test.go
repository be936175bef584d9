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
		b := newBench(t, options{
			engine: standin.Config{PerToken: time.Millisecond, FirstToken: time.Millisecond},
			serve:  Config{StallTimeout: 200 * time.Millisecond, FirstByteTimeout: 300 * time.Millisecond},
		})
		req := completionRequest("r1", "20")

		Convey("an answer to another request is never passed on", func() {
			b.engine.SetFaults(standin.Faults{Crossed: true})
			r := b.do(frame.KindRequest, req)
			So(r.word(), ShouldEqual, "failed incomplete")
			So(r.head, ShouldBeNil)
			So(r.body, ShouldBeEmpty)
		})
		Convey("a stream that goes on from other weights ends before the first of them", func() {
			b.engine.SetFaults(standin.Faults{Swap: nextDigest, SwapAfter: 7})
			r := b.do(frame.KindRequest, req)
			So(r.word(), ShouldEqual, "failed incomplete")
			So(r.tokens, ShouldEqual, 7)
			whole, err := standin.Expected(testDigest, req.Body)
			So(err, ShouldBeNil)
			So(strings.HasPrefix(whole, text(r.body)), ShouldBeTrue)
		})
		Convey("weights that the engine does not report are refused as not run", func() {
			req.Digest = nextDigest
			So(b.do(frame.KindRequest, req).word(), ShouldEqual, "refused digest")
			So(b.engine.Counters().Started, ShouldEqual, 0)
		})
		Convey("weights that it reports and does not hold are refused as not run", func() {
			b.engine.SetFaults(standin.Faults{Claim: &frame.Loaded{Model: testModel, Version: "v2", Digest: nextDigest}})
			req.Digest = nextDigest
			told := make(chan core.Digest, 1)
			b.handler.cfg.Distrust = func(d core.Digest) { told <- d }
			So(b.do(frame.KindRequest, req).word(), ShouldEqual, "refused digest")
			So(b.engine.Counters().Started, ShouldEqual, 0)
			So(<-told, ShouldEqual, nextDigest)
		})
		Convey("a stream cut without its last event is never ended as whole", func() {
			b.engine.SetFaults(standin.Faults{Cut: true, CutAfter: 5})
			r := b.do(frame.KindRequest, req)
			So(r.word(), ShouldEqual, "failed incomplete")
			So(r.tokens, ShouldEqual, 5)
		})
		Convey("a stream that stalls is ended within the bound", func() {
			b.engine.SetFaults(standin.Faults{Stall: true, StallAfter: 5})
			r := b.do(frame.KindRequest, req)
			So(r.word(), ShouldEqual, "failed incomplete")
			So(r.tokens, ShouldEqual, 5)
			So(r.fail.Detail, ShouldContainSubstring, errStalled.Error())
		})
		Convey("an engine that never sends a token is given up within the bound", func() {
			b.engine.SetFaults(standin.Faults{Stall: true})
			r := b.do(frame.KindRequest, req)
			So(r.word(), ShouldEqual, "failed incomplete")
			So(r.fail.Detail, ShouldContainSubstring, errFirstByte.Error())
		})
		Convey("an engine that refuses under load makes a refusal that is not run", func() {
			b.engine.SetFaults(standin.Faults{Refuse: true})
			So(b.do(frame.KindRequest, req).word(), ShouldEqual, "refused full")
		})
		Convey("the deadline ends a call at the engine", func() {
			long := completionRequest("r1", "100000")
			long.TimeoutMillis = 200
			r := b.do(frame.KindRequest, long)
			So(r.word(), ShouldEqual, "failed incomplete")
			So(r.fail.Detail, ShouldContainSubstring, errDeadline.Error())
			eventually(t, "the engine sees the cancel", func() bool { return b.engine.Counters().Cancelled == 1 })
		})
		Convey("a new boot id takes the limit back to the cold limit", func() {
			b.gate.Configure(8, 2)
			So(b.do(frame.KindRequest, req).word(), ShouldEqual, "whole")
			So(b.gate.Load().Limit, ShouldEqual, 8)
			b.engine.SetFaults(standin.Faults{Reboot: true})
			So(b.do(frame.KindRequest, req).word(), ShouldEqual, "whole")
			So(b.gate.Load().Limit, ShouldEqual, 2)
		})
	})
}

func TestChecksBeforeNewWork(t *testing.T) {
	Convey("Given an agent in front of an engine", t, func() {
		confirmed, confirming := time.Now(), func() {}
		b := newBench(t, options{serve: Config{Confirmed: func() time.Time {
			confirming()
			return confirmed
		}}})
		req := completionRequest("r1", "1")

		Convey("a call decided on a newer configuration is refused", func() {
			req.Config = 2
			So(b.do(frame.KindRequest, req).word(), ShouldEqual, "refused stale")
		})
		Convey("a configuration that nobody confirmed lately admits nothing", func() {
			confirmed = time.Now().Add(-time.Minute)
			So(b.do(frame.KindRequest, req).word(), ShouldEqual, "refused stale")
		})
		Convey("a data centre that is out takes no new work", func() {
			b.configure(2, func(s *declare.Set) { s.DataCentres["palermo"].Out = true })
			So(b.do(frame.KindRequest, req).word(), ShouldEqual, "refused out")
		})
		Convey("a version that comes in while it is being confirmed decides, not the one before", func() {
			confirming = func() {
				b.configure(2, func(s *declare.Set) { s.DataCentres["palermo"].Out = true })
			}
			So(b.do(frame.KindRequest, req).word(), ShouldEqual, "refused out")
		})
		Convey("a backend server that is to leave takes no new work", func() {
			b.configure(2, func(s *declare.Set) { s.BackendServers["s1"].Leaving = true })
			So(b.do(frame.KindRequest, req).word(), ShouldEqual, "refused leaving")
		})
		Convey("a path that an engine does not answer is refused", func() {
			req.Path = "/engine/orders"
			So(b.do(frame.KindRequest, req).word(), ShouldEqual, "refused unknown-op")
		})
		Convey("an agent that leaves lets the stream in flight end whole", func() {
			ctx, cancel := context.WithTimeout(context.Background(), waitBound)
			defer cancel()
			long := completionRequest("r1", "40")
			x, err := b.pool.Open(ctx, b.agent, "r1", frame.KindRequest, long)
			So(err, ShouldBeNil)
			_, err = x.Receive(ctx)
			So(err, ShouldBeNil)
			b.handler.Leave()
			So(b.do(frame.KindRequest, completionRequest("r2", "1")).word(), ShouldEqual, "refused leaving")
			So(collect(ctx, x).word(), ShouldEqual, "whole")
			x.Close(true)
			So(b.handler.Drain(ctx), ShouldBeNil)
		})
	})
}

// crossedEngine gives the second caller the first one's answer, as an engine
// does that mixes up its connections.
type crossedEngine struct {
	engine.Engine
	kept engine.Answer
}

// Do implements engine.Engine.
func (e *crossedEngine) Do(ctx context.Context, c engine.Call) (engine.Answer, error) {
	if e.kept.Body != nil {
		return e.kept, nil
	}
	var err error
	e.kept, err = e.Engine.Do(context.WithoutCancel(ctx), c)
	if err != nil {
		return engine.Answer{}, err
	}
	<-ctx.Done()
	return engine.Answer{}, ctx.Err()
}

func TestLateAnswer(t *testing.T) {
	Convey("An answer that comes after its call was cancelled is not given to the next call", t, func() {
		b := newBench(t, options{wrap: func(e engine.Engine) engine.Engine { return &crossedEngine{Engine: e} }})
		late := completionRequest("r1", "5")
		late.TimeoutMillis = 100
		So(b.do(frame.KindRequest, late).word(), ShouldEqual, "failed incomplete")
		r := b.do(frame.KindRequest, completionRequest("r2", "5"))
		So(r.word(), ShouldEqual, "failed incomplete")
		So(r.body, ShouldBeEmpty)
	})
}
