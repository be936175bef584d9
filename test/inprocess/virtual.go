package inprocess

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
)

// settleTime is the virtual time that a test waits at its end until background
// loops have ended by themselves. No background loop runs that long after the last
// call.
const settleTime = 10 * time.Second

// RunInVirtualTime runs a test in virtual time: the clock advances only while
// every goroutine is blocked, so that results do not depend on the machine's
// speed.
func RunInVirtualTime(t *testing.T, test func(t *testing.T)) {
	// The first meter starts a goroutine of the metrics library. That goroutine
	// never ends, so it must start outside the synctest bubble.
	metrics.NewMeter().Stop()
	synctest.Test(t, func(t *testing.T) {
		test(t)
		<-time.After(settleTime)
	})
}
