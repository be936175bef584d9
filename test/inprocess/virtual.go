package inprocess

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
)

// settle is longer than the loops that end by themselves go on after the last
// call, in virtual time.
const settle = 10 * time.Second

// Virtually runs a test in virtual time: the clock moves on when every
// goroutine waits, so that no verdict depends on the speed of the machine.
func Virtually(t *testing.T, test func(t *testing.T)) {
	// The first meter starts the library's own goroutine, which must not
	// belong to the test.
	metrics.NewMeter().Stop()
	synctest.Test(t, func(t *testing.T) {
		test(t)
		<-time.After(settle)
	})
}
