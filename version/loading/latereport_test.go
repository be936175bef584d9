package loading

import (
	"context"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/core"
)

// reportFault makes the reports of a server fail from a moment on. It is safe for
// concurrent use.
type reportFault struct {
	mu sync.Mutex
	// silentUntil is when a silent server goes on. Reports that are read before that get
	// a response then, or time out.
	silentUntil time.Time
	// err is the error of every report if it is not nil.
	err error
}

// requestTimeout is the time limit of a request to the server.
const requestTimeout = 1500 * time.Millisecond

func (r *reportFault) onReport(ctx context.Context) error {
	r.mu.Lock()
	silence, err := time.Until(r.silentUntil), r.err
	r.mu.Unlock()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	select {
	case <-time.After(silence):
		return nil
	case <-ctx.Done():
		return core.WrapStep("read report", "127.0.0.1:1", ctx.Err())
	}
}

// Guards against requests that are refused because no server has the weights, while the
// server has been silent for a moment.
func TestServerWhoseReportIsLate(t *testing.T) {
	// statesFrom returns the states that are published in the 10 s after begin, which is
	// called while the server holds version 1 and its weights are published.
	statesFrom := func(t *testing.T, begin func(*reportFault)) (states []publishedState, begunAt time.Time) {
		synctest.Test(t, func(t *testing.T) {
			server, fault := newFakeServer(), &reportFault{}
			server.onReport = fault.onReport
			f := newFixtureWith(t, server, fakeOrigin{}, 0)
			f.declare(1)
			for !f.serves(1) {
				<-time.After(10 * time.Millisecond)
			}
			begunAt = time.Now()
			fault.mu.Lock()
			begin(fault)
			fault.mu.Unlock()
			<-time.After(10 * time.Second)
			f.mu.Lock()
			defer f.mu.Unlock()
			for _, state := range f.history {
				if state.at.After(begunAt) {
					states = append(states, state)
				}
			}
		})
		return states, begunAt
	}

	Convey("The weights of a server that is silent for 0.9 to 1.9 s stay published", t, func() {
		for silence := 900 * time.Millisecond; silence <= 1900*time.Millisecond; silence += 100 * time.Millisecond {
			states, _ := statesFrom(t, func(r *reportFault) { r.silentUntil = time.Now().Add(silence) })
			So(states, ShouldBeEmpty)
		}
	})

	Convey("The weights of a server that stays silent are no longer published after 4 s", t, func() {
		states, begunAt := statesFrom(t, func(r *reportFault) { r.silentUntil = time.Now().Add(time.Hour) })
		So(states, ShouldHaveLength, 1)
		So(states[0].version, ShouldEqual, 0)
		So(states[0].at.Sub(begunAt), ShouldBeLessThanOrEqualTo, 4*time.Second)
	})

	Convey("The weights of a server that has ended are no longer published at the next report", t, func() {
		for _, err := range []error{syscall.ECONNREFUSED, syscall.ECONNRESET, errors.New("status 500")} {
			states, begunAt := statesFrom(t, func(r *reportFault) { r.err = core.WrapStep("read report", "127.0.0.1:1", err) })
			So(states, ShouldHaveLength, 1)
			So(states[0].version, ShouldEqual, 0)
			So(states[0].at.Sub(begunAt), ShouldBeLessThanOrEqualTo, idlePollInterval)
		}
	})
}
