// Package wait lets tests wait for a condition with a bound.
package wait

import "time"

const (
	// bound is the longest that a step of a test may take on a busy machine.
	bound = 60 * time.Second
	// step is the time between two looks.
	step = 5 * time.Millisecond
)

// Until waits until a condition is met, and reports whether it was in time.
func Until(met func() bool) bool {
	for end := time.Now().Add(bound); time.Now().Before(end); {
		if met() {
			return true
		}
		<-time.After(step)
	}
	return false
}
