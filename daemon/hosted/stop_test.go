package hosted

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"
)

// busyServer is a server to which clients come without end.
type busyServer struct {
	drained  bool
	shutAt   time.Time
	deadline time.Time
	clock    clockwork.Clock
}

func (s *busyServer) Drain() { s.drained = true }

func (s *busyServer) Shutdown(ctx context.Context) error {
	s.shutAt = s.clock.Now()
	s.deadline, _ = ctx.Deadline()
	return nil
}

func TestStopWhileClientsKeepComing(t *testing.T) {
	Convey("A stop takes connections until the balancer has heard, whatever still comes", t, func() {
		clock := clockwork.NewFakeClock()
		server := &busyServer{clock: clock}
		start := clock.Now()
		done := make(chan error, 1)
		go func() { done <- stopClients(clock, server, server, 7500*time.Millisecond) }()
		So(clock.BlockUntilContext(t.Context(), 1), ShouldBeNil)
		clock.Advance(listenFor)
		So(<-done, ShouldBeNil)
		So(server.drained, ShouldBeTrue)
		// The balancer asks once a second and needs two answers.
		So(server.shutAt.Sub(start), ShouldBeGreaterThanOrEqualTo, 2*time.Second)
		// A request of 4.5 s that came last is still answered before SIGKILL.
		So(server.shutAt.Sub(start), ShouldBeLessThanOrEqualTo, 3*time.Second)
		So(server.deadline.Sub(start), ShouldEqual, 7500*time.Millisecond)
	})
}
