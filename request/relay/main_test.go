package relay

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain fails when the tests leave a goroutine running, except for the
// goroutine of the metrics library, which runs until the process ends.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreTopFunction("github.com/rcrowley/go-metrics.(*meterArbiter).tick"))
}
