package engine

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/go-faster/errors"

	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/process/eventlog"
)

// startDroppingServer starts a server that responds to the first request only. It
// executes each later request and then closes the connection without a response.
// executions counts the executed requests.
func startDroppingServer(t *testing.T) (addr string, executions *atomic.Int32) {
	executions = &atomic.Int32{}
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		if executions.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), executions
}

// newKeyedCall returns a call with an Idempotency-Key. onceOnly sets whether the
// call is a once-only call.
func newKeyedCall(onceOnly bool) Call {
	return Call{
		ID: "r1", Method: http.MethodPost, Path: "/lots", Body: []byte("{}"), OnceOnly: onceOnly,
		Header: map[string][]string{core.HeaderIdempotencyKey: {"k1"}},
	}
}

func TestOnceOnlyCallIsNeverSentAgain(t *testing.T) {
	Convey("Given a service that executes a call and then closes the reused connection without a response", t, func() {
		addr, executions := startDroppingServer(t)
		client := NewHTTPClient(addr, "")
		first, err := client.Do(context.Background(), newKeyedCall(false))
		So(err, ShouldBeNil)
		drainBody(first.Body)
		executions.Store(1)

		Convey("the HTTP library sends a call with an Idempotency-Key a second time", func() {
			_, err := client.Do(context.Background(), newKeyedCall(false))
			So(err, ShouldNotBeNil)
			So(executions.Load(), ShouldBeGreaterThan, 2)
		})
		Convey("a once-only call is sent once", func() {
			_, err := client.Do(context.Background(), newKeyedCall(true))
			So(err, ShouldNotBeNil)
			So(errors.Is(err, ErrNotSent), ShouldBeFalse)
			So(executions.Load(), ShouldEqual, 2)
		})
	})
	Convey("A call whose connection cannot be opened returns ErrNotSent", t, func() {
		_, err := NewHTTPClient("127.0.0.1:1", "").Do(context.Background(), newKeyedCall(true))
		So(errors.Is(err, ErrNotSent), ShouldBeTrue)
	})
}

func TestOrders(t *testing.T) {
	Convey("An order refused for its fencing number returns another error than an order refused for another reason; an accepted order returns none", t, func() {
		status := http.StatusConflict
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			w.WriteHeader(status)
		}))
		defer server.Close()
		client := NewHTTPClient(strings.TrimPrefix(server.URL, "http://"), "token")
		So(errors.Is(client.Order(context.Background(), Order{}), ErrFenced), ShouldBeTrue)
		status = http.StatusBadRequest
		So(errors.Is(client.Order(context.Background(), Order{}), ErrRefused), ShouldBeTrue)
		status = http.StatusAccepted
		So(client.Order(context.Background(), Order{}), ShouldBeNil)
	})
}

// fakeEngine is an engine whose status is set by the test.
type fakeEngine struct {
	Engine
	status Status
	err    error
}

// Status implements Engine.
func (e *fakeEngine) Status(context.Context) (Status, error) { return e.status, e.err }

func TestMonitor(t *testing.T) {
	Convey("Given a monitor of an engine", t, func() {
		clock := clockwork.NewFakeClock()
		eng := &fakeEngine{status: Status{Boot: "b1"}}
		m := NewMonitor(eng, 0, eventlog.Discard(), clock)
		_, _, ok := m.Status()
		So(ok, ShouldBeFalse)
		m.poll(context.Background())
		_, _, ok = m.Status()
		So(ok, ShouldBeTrue)

		Convey("a change of the load does not close the Changed channel, a change of the loaded versions does", func() {
			changed := m.Changed()
			eng.status.InFlight = 3
			m.poll(context.Background())
			So(isClosed(changed), ShouldBeFalse)
			eng.status.Loaded = []frame.LoadedVersion{{Model: "herbs"}}
			m.poll(context.Background())
			So(isClosed(changed), ShouldBeTrue)
		})
		Convey("an engine is down after one failed poll and up after the next successful one", func() {
			eng.err = errors.New("refused")
			m.poll(context.Background())
			_, _, ok := m.Status()
			So(ok, ShouldBeFalse)
			eng.err = nil
			m.poll(context.Background())
			_, _, ok = m.Status()
			So(ok, ShouldBeTrue)
		})
		Convey("a status that is too old is not used", func() {
			clock.Advance(maxStatusAge + time.Millisecond)
			_, age, ok := m.Status()
			So(ok, ShouldBeFalse)
			So(age, ShouldBeGreaterThan, maxStatusAge)
		})
	})
}

// isClosed reports whether c is closed.
func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
