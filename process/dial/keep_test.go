package dial

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"
)

func TestKeep(t *testing.T) {
	pauses := Pauses{Least: 80 * time.Millisecond, Most: 300 * time.Millisecond, Steady: 1500 * time.Millisecond}

	Convey("A machine that comes up a little after the others is reached soon", t, func() {
		synctest.Test(t, func(t *testing.T) {
			// Until then its packets are lost: a try lasts its whole timeout.
			const upAfter = 400 * time.Millisecond
			ctx, cancel := context.WithCancel(t.Context())
			start := time.Now()
			var reached time.Duration
			Keep(ctx, clockwork.NewRealClock(), pauses, func(_ context.Context, timeout time.Duration) error {
				if time.Since(start) >= upAfter {
					reached = time.Since(start)
					cancel()
					return nil
				}
				<-time.After(timeout)
				return errors.New("i/o timeout")
			}, func(error) {})
			if reached > upAfter+Timeout/3 {
				t.Errorf("reached after %s", reached)
			}
		})
	})
	Convey("Only the first of several ends in a row is told, and each steady connection counts anew", t, func() {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			told, n := 0, 0
			Keep(ctx, clockwork.NewRealClock(), pauses, func(_ context.Context, timeout time.Duration) error {
				n++
				if timeout > Timeout {
					t.Errorf("timeout %s", timeout)
				}
				switch {
				case n == 20:
					cancel()
				case n == 10:
					<-time.After(2 * pauses.Steady)
				}
				return errors.New("refused")
			}, func(error) { told++ })
			if told != 2 {
				t.Errorf("%d ends were told", told)
			}
		})
	})
}
