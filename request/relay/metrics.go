package relay

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/rattanway/rattanway/core"
)

// Names of the metrics of calls from client accounts.
const (
	metricCallsCompleted     = "entry.calls.whole"
	metricCallsRefusedPrefix = "entry.calls.refused."
	metricCallsAborted       = "entry.calls.cut"
	metricRetries            = "entry.attempts.retries"
	metricRetryBudgetSpent   = "entry.attempts.no-budget"
	metricFirstByteTime      = "entry.first-byte"
)

// incrementCounter adds 1 to the named counter.
func incrementCounter(name string) {
	metrics.GetOrRegisterCounter(name, metrics.DefaultRegistry).Inc(1)
}

// countRefusal counts a refused call by its outcome.
func countRefusal(outcome core.FailureOutcome) {
	incrementCounter(metricCallsRefusedPrefix + string(outcome))
}

// observeFirstByte records the time from the arrival of a call to the first byte
// of its response.
func observeFirstByte(d time.Duration) {
	metrics.GetOrRegisterTimer(metricFirstByteTime, metrics.DefaultRegistry).Update(d)
}
