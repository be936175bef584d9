package forward

import (
	"testing"

	gometrics "github.com/rcrowley/go-metrics"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) {
	// Starts the goroutine of all meters, which must not belong to the first synctest bubble.
	gometrics.NewMeter().Stop()
	goleak.VerifyTestMain(m, goleak.IgnoreTopFunction("github.com/rcrowley/go-metrics.(*meterArbiter).tick"))
}
