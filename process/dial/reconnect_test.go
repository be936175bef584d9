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

func TestKeepConnected(t *testing.T) {
	backoff := Backoff{MinDelay: 80 * time.Millisecond, MaxDelay: 300 * time.Millisecond, ResetAfter: 1500 * time.Millisecond}

	Convey("A machine that starts a little later than the others is reached soon after its start", t, func() {
		synctest.Test(t, func(t *testing.T) {
			// Before upAfter every packet to the machine is lost, so each attempt
			// lasts until its timeout.
			const upAfter = 400 * time.Millisecond
			ctx, cancel := context.WithCancel(t.Context())
			start := time.Now()
			var reached time.Duration
			KeepConnected(ctx, clockwork.NewRealClock(), backoff, func(_ context.Context, timeout time.Duration) error {
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
	Convey("Only the first of several failures in a row is reported; a connection that lasts longer than ResetAfter starts a new series", t, func() {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			reportCount, attemptCount := 0, 0
			KeepConnected(ctx, clockwork.NewRealClock(), backoff, func(_ context.Context, timeout time.Duration) error {
				attemptCount++
				if timeout > Timeout {
					t.Errorf("timeout %s", timeout)
				}
				switch {
				case attemptCount == 20:
					cancel()
				case attemptCount == 10:
					<-time.After(2 * backoff.ResetAfter)
				}
				return errors.New("refused")
			}, func(error) { reportCount++ })
			if reportCount != 2 {
				t.Errorf("%d failures were reported", reportCount)
			}
		})
	})
}
