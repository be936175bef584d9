package relay

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/core"
)

const streamBody = `{"model":"labels","stream":true,"prompt":"oregano"}`

// readBody reads the body of a response to its end.
func readBody(resp *http.Response) (string, error) {
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return string(raw), err
}

// refusalOutcome returns the outcome in the problem document of a response.
func refusalOutcome(resp *http.Response) core.FailureOutcome {
	var p Problem
	raw, _ := readBody(resp)
	_ = json.Unmarshal([]byte(raw), &p)
	return p.Outcome
}

func TestStreamedResponses(t *testing.T) {
	Convey("Given servers that hold the pinned weights", t, func() {
		Convey("a complete response is forwarded byte for byte with request id and digest", func() {
			fx := newFixture(t, Config{}, nil, map[string]fakeAgent{"a": streamingAgent(50, 0)})
			resp, err := fx.post("/v1/completions", streamBody, core.HeaderRequestID, "r-1")
			So(err, ShouldBeNil)
			got, err := readBody(resp)
			So(err, ShouldBeNil)
			So(got, ShouldEqual, completeStream(50))
			So(resp.Header.Get(core.HeaderRequestID), ShouldEqual, "r-1")
			So(resp.Header.Get(core.HeaderDigest), ShouldEqual, string(testDigest))
		})
		Convey("a response that ends early is resumed at another server without a gap", func() {
			fx := newFixture(t, Config{}, nil, map[string]fakeAgent{"a": streamingAgent(50, 20), "b": streamingAgent(50, 0)})
			for range 2 { // one call starts at a, the other at b
				resp, err := fx.post("/v1/completions", streamBody)
				So(err, ShouldBeNil)
				got, err := readBody(resp)
				So(err, ShouldBeNil)
				So(got, ShouldEqual, completeStream(50))
			}
			So(fx.opener.opened, ShouldHaveLength, 3)
		})
		Convey("a response that no server can resume is aborted with an error event", func() {
			fx := newFixture(t, Config{ResumeTimeout: 200 * time.Millisecond}, nil, map[string]fakeAgent{"a": streamingAgent(50, 20)})
			resp, err := fx.post("/v1/completions", streamBody)
			So(err, ShouldBeNil)
			got, err := readBody(resp)
			So(err, ShouldNotBeNil)
			So(got, ShouldContainSubstring, "event: error")
			So(got, ShouldContainSubstring, `"outcome":"incomplete"`)
			So(got, ShouldNotContainSubstring, "[DONE]")
		})
		Convey("a frame with the id of another request is never forwarded", func() {
			wrongID := func(x *fakeExchange, _ frame.Kind, msg any) {
				id := msg.(frame.Request).ID
				x.sendToEntryInstance(&frame.Head{ID: id, Status: 200, Digest: testDigest},
					&frame.Data{ID: "other", Body: []byte("data: SECRET\n\n"), Tokens: 1})
			}
			fx := newFixture(t, Config{}, nil, map[string]fakeAgent{"a": wrongID, "b": streamingAgent(5, 0)})
			for range 2 {
				resp, err := fx.post("/v1/completions", streamBody)
				So(err, ShouldBeNil)
				got, err := readBody(resp)
				So(err, ShouldBeNil)
				So(got, ShouldEqual, completeStream(5))
			}
		})
		Convey("a response from other weights is never forwarded", func() {
			wrongDigest := func(x *fakeExchange, _ frame.Kind, msg any) {
				id := msg.(frame.Request).ID
				x.sendToEntryInstance(&frame.Head{ID: id, Status: 200, Digest: "sha256:bb"}, &frame.Data{ID: id, Body: tokenEvent(0), Tokens: 1})
			}
			fx := newFixture(t, Config{}, nil, map[string]fakeAgent{"a": wrongDigest})
			resp, err := fx.post("/v1/completions", streamBody)
			So(err, ShouldBeNil)
			So(resp.StatusCode, ShouldEqual, http.StatusBadGateway)
			So(refusalOutcome(resp), ShouldEqual, core.OutcomeUnknown)
		})
		Convey("a caller without a valid key is refused", func() {
			fx := newFixture(t, Config{}, nil, map[string]fakeAgent{"a": streamingAgent(5, 0)})
			resp, err := fx.post("/v1/completions", streamBody, "Authorization", "Bearer wrong")
			So(err, ShouldBeNil)
			So(resp.StatusCode, ShouldEqual, http.StatusUnauthorized)
			So(refusalOutcome(resp), ShouldEqual, core.OutcomeNotRun)
		})
	})
}

func TestRequestIDsInFlight(t *testing.T) {
	Convey("Given two calls in flight with the same request id from the caller", t, func() {
		started, release := make(chan struct{}), make(chan struct{})
		blockingAgent := func(x *fakeExchange, kind frame.Kind, msg any) {
			started <- struct{}{}
			<-release
			streamingAgent(1, 0)(x, kind, msg)
		}
		fx := newFixture(t, Config{}, nil, map[string]fakeAgent{"a": blockingAgent})
		ids := make(chan string, 2)
		for range 2 {
			go func() {
				resp, err := fx.post("/v1/completions", streamBody, core.HeaderRequestID, "same")
				if err == nil {
					_, _ = readBody(resp)
					ids <- resp.Header.Get(core.HeaderRequestID)
				}
			}()
			<-started
		}
		close(release)
		So(<-ids, ShouldNotEqual, <-ids)
	})
}

func TestStaleAgents(t *testing.T) {
	Convey("Given an agent that has not received the newest configuration yet", t, func() {
		var offers atomic.Int32
		staleTwice := func(next fakeAgent) fakeAgent {
			return func(x *fakeExchange, kind frame.Kind, msg any) {
				if offers.Add(1) <= 2 {
					x.sendToEntryInstance(&frame.Refuse{ID: msg.(frame.Request).ID, Reason: frame.ReasonStaleConfig, Load: frame.Load{Limit: 100}})
					return
				}
				next(x, kind, msg)
			}
		}
		onceAgent := func(x *fakeExchange, _ frame.Kind, msg any) {
			id := msg.(frame.Request).ID
			x.sendToEntryInstance(&frame.Admit{ID: id, HoldMillis: 1000})
			<-x.toAgent
			x.sendToEntryInstance(&frame.Head{ID: id, Status: 201}, &frame.Data{ID: id, Body: []byte("done")}, endFrame(id, []byte("done")))
		}
		Convey("a repeatable call is sent again until the agent admits it", func() {
			fx := newFixture(t, Config{}, nil, map[string]fakeAgent{"a": staleTwice(streamingAgent(5, 0))})
			resp, err := fx.post("/v1/completions", streamBody)
			So(err, ShouldBeNil)
			got, _ := readBody(resp)
			So(got, ShouldEqual, completeStream(5))
		})
		Convey("a once-only call is offered again until the agent admits it", func() {
			fx := newFixture(t, Config{}, nil, map[string]fakeAgent{"booking-1": staleTwice(onceAgent)})
			resp, err := fx.post("/services/booking/deposits", "1")
			So(err, ShouldBeNil)
			got, _ := readBody(resp)
			So(got, ShouldEqual, "done")
		})
	})
}

func TestEndIsVerified(t *testing.T) {
	Convey("Given an agent whose End frame has a wrong checksum", t, func() {
		wrongChecksum := func(x *fakeExchange, _ frame.Kind, msg any) {
			id := msg.(frame.Request).ID
			x.sendToEntryInstance(&frame.Head{ID: id, Status: 200, Digest: testDigest},
				&frame.Data{ID: id, Body: []byte("data: [DONE]\n\n")},
				&frame.End{ID: id, BodyBytes: 14, BodyChecksum: 1})
		}
		fx := newFixture(t, Config{}, nil, map[string]fakeAgent{"a": wrongChecksum})
		Convey("the closing event is not sent to the caller", func() {
			resp, err := fx.post("/v1/completions", streamBody)
			So(err, ShouldBeNil)
			got, _ := readBody(resp)
			So(strings.Contains(got, "[DONE]"), ShouldBeFalse)
			So(resp.StatusCode, ShouldEqual, http.StatusBadGateway)
		})
	})
}
