package dispatch

import "time"

// A server with running requests counts as stalled when it has sent nothing for
// minStall, or for stallObjectives times the objective if that is longer.
const (
	// minStall is well above the pauses of a healthy server: the steps of a full
	// engine take 50 ms, and reading the longest prompts 200 ms.
	minStall = 500 * time.Millisecond
	// stallObjectives is a number of objectives of the next request. A server that
	// has sent nothing for this number of objectives would respond to that request
	// too late.
	stallObjectives = 1.5
)

// StallDetector detects that a server with running requests sends nothing, for
// example because its link has become slow or it has lost power. Such a server
// gets no more requests until it sends something or no request of this entry
// instance is left there. Further requests would wait in the link and reach the
// server after their clients have left.
type StallDetector struct {
	// lastActivity is when the server last sent something, or last got a request
	// while none of this entry instance was running there.
	lastActivity time.Time
}

// RecordActivity records that at now the server sent something, or got a request
// while none of this entry instance was running there.
func (d *StallDetector) RecordActivity(now time.Time) { d.lastActivity = now }

// Stalled reports whether the server is stalled at now. runningCount is the number
// of this entry instance's requests at the server; without any the result is
// false. objective is the objective of the next request; 0 makes the result
// false.
func (d *StallDetector) Stalled(now time.Time, runningCount int, objective time.Duration) bool {
	if runningCount == 0 || objective <= 0 {
		return false
	}
	return now.Sub(d.lastActivity) > max(minStall, time.Duration(stallObjectives*float64(objective)))
}
