// Package wait polls conditions in tests until they hold or a timeout passes.
package wait

import "time"

const (
	// timeout is how long Until waits at most. It is long enough for one step of a
	// test on a busy machine.
	timeout = 60 * time.Second
	// pollInterval is the time between two checks of a condition.
	pollInterval = 5 * time.Millisecond
)

// Until polls condition until condition returns true or the timeout passes. It
// reports whether condition returned true.
func Until(condition func() bool) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); {
		if condition() {
			return true
		}
		<-time.After(pollInterval)
	}
	return false
}
