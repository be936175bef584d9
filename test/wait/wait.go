// Package wait polls conditions in tests until they hold or a timeout passes.
package wait

import "time"

const (
	// timeout is the longest that one step of a test may take, also on a busy
	// machine.
	timeout = 60 * time.Second
	// pollInterval is the time between two checks of a condition.
	pollInterval = 5 * time.Millisecond
)

// Until polls condition until it returns true, and reports whether it did so
// before the timeout.
func Until(condition func() bool) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); {
		if condition() {
			return true
		}
		<-time.After(pollInterval)
	}
	return false
}
