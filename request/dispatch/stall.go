package dispatch

import "time"

// A server with running requests counts as stalled when it has sent nothing for
// minStall, or for stallObjectiveFactor times the objective if that is longer.
const (
	// minStall is well above the pauses of a healthy server: a step of a full engine
	// takes 50 ms, and reading the longest prompts takes 200 ms.
	minStall = 500 * time.Millisecond
	// stallObjectiveFactor is the number of objectives of the next request after
	// which a server that sends nothing would respond to that request too late.
	stallObjectiveFactor = 1.5
)

// StallDetector detects that a server with running requests sends nothing, for
// example because the link to the server has become slow or the server has lost
// power. Such a server gets no more requests until it sends something or has no
// running request of this entry instance left. Further requests would wait in the
// link and reach the server after their clients have left.
type StallDetector struct {
	// lastActivity is when the server last sent something, or last got a request
	// while it had no other running request of this entry instance.
	lastActivity time.Time
}

// RecordActivity records that, at time now, the server sent something, or got a
// request while it had no other running request of this entry instance.
func (d *StallDetector) RecordActivity(now time.Time) { d.lastActivity = now }

// Stalled reports whether the server is stalled at time now. runningCount is the
// number of this entry instance's requests at the server, and objective is the
// objective of the next request. If either of them is 0, Stalled returns false.
func (d *StallDetector) Stalled(now time.Time, runningCount int, objective time.Duration) bool {
	if runningCount == 0 || objective <= 0 {
		return false
	}
	return now.Sub(d.lastActivity) > max(minStall, time.Duration(stallObjectiveFactor*float64(objective)))
}
