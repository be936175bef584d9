package serve

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/connection/work"
	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/standin/service"
)

// lotRequest returns a once-only call to the service "lots". An empty key
// makes a call without an Idempotency-Key.
func lotRequest(id, key string, attempt int) frame.Request {
	r := frame.Request{
		ID: id, Account: "a", Share: 1, Method: http.MethodPost, Path: "/lots", ConfigNumber: 1,
		Body: []byte(`{"lot":"` + id + `"}`), Key: key, AttemptNumber: attempt,
	}
	if key != "" {
		r.Header = map[string][]string{core.HeaderIdempotencyKey: {key}}
	}
	return r
}

// openOffer opens an exchange with an offer. It returns the exchange and the
// agent's first message, an Admit or a Refuse.
func (h *harness) openOffer(req frame.Request) (work.Exchange, any) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	exchange, err := h.pool.Open(ctx, h.agent, req.ID, frame.KindOffer, req)
	So(err, ShouldBeNil)
	msg, err := exchange.Receive(ctx)
	So(err, ShouldBeNil)
	return exchange, msg
}

// sendGo sends a Go frame, which starts the offered call, and returns the agent's
// reply.
func sendGo(exchange work.Exchange, id string) reply {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	if err := exchange.Send(frame.KindGo, frame.Go{ID: id}); err != nil {
		return reply{err: err}
	}
	r := collectReply(ctx, exchange)
	exchange.Close(r.err == nil)
	return r
}

// queryAttempt sends an attempt query and returns the AttemptStatus frame, or nil
// if none arrives.
func (h *harness) queryAttempt(key string, attempt int) *frame.AttemptStatus {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	msg := frame.AttemptQuery{ID: "ask", Key: key, AttemptNumber: attempt}
	exchange, err := h.pool.Open(ctx, h.agent, msg.ID, frame.KindAttemptQuery, msg)
	if err != nil {
		return nil
	}
	got, err := exchange.Receive(ctx)
	exchange.Close(err == nil)
	status, _ := got.(*frame.AttemptStatus)
	return status
}

func TestOnceOnlyCall(t *testing.T) {
	Convey("Given an agent in front of a plain service", t, func() {
		h := newHarness(t, options{service: true, serve: Config{HoldTimeout: 300 * time.Millisecond}})

		Convey("an offered call runs once after Go, and its outcome is kept", func() {
			exchange, msg := h.openOffer(lotRequest("r1", "k1", 1))
			So(msg, ShouldHaveSameTypeAs, &frame.Admit{})
			So(h.service.Executions(), ShouldBeEmpty)
			r := sendGo(exchange, "r1")
			So(r.summary(), ShouldEqual, "whole")
			So(h.service.Executions()["k1"], ShouldEqual, 1)
			status := h.queryAttempt("k1", 1)
			So(status.State, ShouldEqual, frame.AttemptRan)
			So(string(status.Outcome.Body), ShouldEqual, string(r.body))
		})
		Convey("an attempt that ran is refused when it is offered again", func() {
			exchange, _ := h.openOffer(lotRequest("r1", "k1", 1))
			sendGo(exchange, "r1")
			_, msg := h.openOffer(lotRequest("r2", "k1", 1))
			So(msg.(*frame.Refuse).Reason, ShouldEqual, frame.ReasonDuplicate)
			So(h.service.Executions()["k1"], ShouldEqual, 1)
		})
		Convey("a call without a key is refused when its request id is used again", func() {
			exchange, _ := h.openOffer(lotRequest("r1", "", 0))
			sendGo(exchange, "r1")
			_, msg := h.openOffer(lotRequest("r1", "", 0))
			So(msg.(*frame.Refuse).Reason, ShouldEqual, frame.ReasonDuplicate)
		})
		Convey("an attempt query before Go forbids the attempt, and Go is refused", func() {
			exchange, _ := h.openOffer(lotRequest("r1", "k1", 1))
			So(h.queryAttempt("k1", 1).State, ShouldEqual, frame.AttemptNotRun)
			So(sendGo(exchange, "r1").summary(), ShouldEqual, "refused duplicate")
			So(h.service.Executions()["k1"], ShouldEqual, 0)
		})
		Convey("when the hold expires the slot is freed, and a later Go is refused", func() {
			exchange, _ := h.openOffer(lotRequest("r1", "k1", 1))
			eventually(t, "the slot is free", func() bool { return h.limiter.Load().InFlight == 0 })
			So(sendGo(exchange, "r1").summary(), ShouldEqual, "refused expired")
			So(h.service.Executions()["k1"], ShouldEqual, 0)
		})
		Convey("a started call runs to its end when the entry instance disconnects, and Drain waits for it", func() {
			h.service.SetFaults(service.Faults{DelayMillis: 200})
			exchange, _ := h.openOffer(lotRequest("r1", "k1", 1))
			So(exchange.Send(frame.KindGo, frame.Go{ID: "r1"}), ShouldBeNil)
			eventually(t, "the call runs", func() bool { return h.service.Executions()["k1"] == 1 })
			exchange.Close(false)
			So(h.queryAttempt("k1", 1).State, ShouldEqual, frame.AttemptRunning)
			h.handler.Leave()
			ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
			defer cancel()
			So(h.handler.Drain(ctx), ShouldBeNil)
			status := h.queryAttempt("k1", 1)
			So(status.State, ShouldEqual, frame.AttemptRan)
			So(status.Outcome.Status, ShouldEqual, http.StatusOK)
		})
		Convey("when the connection to the service is lost during the call, the outcome is unknown and the attempt counts as run", func() {
			h.service.SetFaults(service.Faults{DropAfterExecution: true})
			exchange, _ := h.openOffer(lotRequest("r1", "k1", 1))
			So(sendGo(exchange, "r1").summary(), ShouldEqual, "failed unknown")
			So(h.service.Executions()["k1"], ShouldEqual, 1)
			status := h.queryAttempt("k1", 1)
			So(status.State, ShouldEqual, frame.AttemptRan)
			So(status.Outcome, ShouldBeNil)
		})
		Convey("a once-only call is refused without an offer", func() {
			So(h.do(frame.KindRequest, lotRequest("r1", "k1", 1)).summary(), ShouldEqual, "refused unknown-op")
			So(h.service.Executions(), ShouldBeEmpty)
		})
		Convey("a leaving agent refuses new offers but runs an offer admitted before", func() {
			exchange, _ := h.openOffer(lotRequest("r1", "k1", 1))
			h.handler.Leave()
			_, msg := h.openOffer(lotRequest("r2", "k2", 1))
			So(msg.(*frame.Refuse).Reason, ShouldEqual, frame.ReasonLeaving)
			So(sendGo(exchange, "r1").summary(), ShouldEqual, "whole")
		})
	})
}

// TestOnceOnlyRaces offers each attempt over two exchanges while a third
// exchange queries it concurrently. Each attempt must run at most once, each
// execution must have exactly one complete response, and an attempt that was
// reported as not run must never run.
func TestOnceOnlyRaces(t *testing.T) {
	Convey("Attempts with two concurrent offers and an attempt query run at most once, and never after they were reported as not run", t, func() {
		const keys = 200
		h := newHarness(t, options{service: true})
		h.limiter.Configure(64, 64)
		type raceResult struct {
			replies [2]reply
			status  *frame.AttemptStatus
		}
		results := make([]raceResult, keys)
		var races sync.WaitGroup
		running := make(chan struct{}, 16)
		for i := range results {
			running <- struct{}{}
			races.Add(1)
			go func() {
				defer func() { <-running; races.Done() }()
				key := fmt.Sprintf("k%d", i)
				var offers sync.WaitGroup
				for side := range results[i].replies {
					offers.Add(1)
					go func() {
						defer offers.Done()
						results[i].replies[side] = h.offerAndGo(lotRequest(fmt.Sprintf("r%d-%d", i, side), key, 1))
					}()
				}
				if i%2 == 0 {
					eventually(t, "offered", func() bool { return h.ledgerHasRecord(key) })
				}
				results[i].status = h.queryAttempt(key, 1)
				offers.Wait()
			}()
		}
		races.Wait()
		executions := h.service.Executions()
		states := map[frame.AttemptState]int{}
		for i, result := range results {
			n := executions[fmt.Sprintf("k%d", i)]
			complete := 0
			for _, r := range result.replies {
				if r.end != nil {
					complete++
				}
			}
			states[result.status.State]++
			if n > 1 || complete != n {
				t.Errorf("key %d: %d executions, %d complete responses", i, n, complete)
			}
			if result.status.State == frame.AttemptNotRun && n != 0 {
				t.Errorf("key %d: the attempt was reported as not run, but it ran %d times", i, n)
			}
		}
		t.Logf("attempt states reported: %v", states)
	})
}

// ledgerHasRecord reports whether the ledger has a record of the first attempt
// with key.
func (h *harness) ledgerHasRecord(key string) bool {
	l := h.handler.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.find(attemptID{key: "key/" + key, attempt: 1}) != nil
}

// offerAndGo offers a call, sends a Go frame if the agent admits the call, and
// returns the agent's reply.
func (h *harness) offerAndGo(req frame.Request) reply {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	exchange, err := h.pool.Open(ctx, h.agent, req.ID, frame.KindOffer, req)
	if err != nil {
		return reply{err: err}
	}
	msg, err := exchange.Receive(ctx)
	if refused, ok := msg.(*frame.Refuse); ok {
		exchange.Close(true)
		return reply{refuse: refused}
	}
	if err != nil {
		exchange.Close(false)
		return reply{err: err}
	}
	return sendGo(exchange, req.ID)
}

func TestLedgerEviction(t *testing.T) {
	Convey("Given a full ledger", t, func() {
		l := newLedger(2, 10)
		for _, key := range []string{"a", "b"} {
			id := attemptID{key: key, attempt: 1}
			So(l.beginOffer(id), ShouldBeTrue)
			So(l.start(id), ShouldBeTrue)
			l.endOffer(id)
		}
		c := attemptID{key: "c", attempt: 1}

		Convey("records of running attempts are never evicted, so a new attempt is refused", func() {
			So(l.beginOffer(c), ShouldBeFalse)
		})
		Convey("an attempt whose record was evicted is reported as unknown, never as not run", func() {
			l.finish(attemptID{key: "a", attempt: 1}, &frame.Outcome{Body: []byte("done")})
			So(l.beginOffer(c), ShouldBeTrue)
			state, _ := l.queryAndForbid(attemptID{key: "a", attempt: 1})
			So(state, ShouldEqual, frame.AttemptUnknown)
		})
		Convey("outcomes beyond the size limit are evicted, but the attempts still count as run", func() {
			l.finish(attemptID{key: "a", attempt: 1}, &frame.Outcome{Body: make([]byte, 8)})
			l.finish(attemptID{key: "b", attempt: 1}, &frame.Outcome{Body: make([]byte, 8)})
			state, outcome := l.queryAndForbid(attemptID{key: "a", attempt: 1})
			So(state, ShouldEqual, frame.AttemptRan)
			So(outcome, ShouldBeNil)
		})
	})
}
