package dispatch

import "time"

// A server with running requests counts as stalled when it has sent nothing for
// the longer of minStall and stallObjectives.
const (
	// minStall is well above the pauses of a healthy server: the steps of a full
	// engine take 50 ms, and reading the longest prompts 200 ms.
	minStall = 500 * time.Millisecond
	// stallObjectives is a multiple of the objective of the next request. A
	// server that has sent nothing for that long would respond to that request
	// too late.
	stallObjectives = 1.5
)

// StallDetector detects that a server accepts requests but sends nothing, for
// example because its link has become slow or it has lost power. Such a server
// gets no more requests until it sends something or no request of this entry
// instance is left there. Requests sent anyway would wait in the link and reach
// the server after their clients have left.
type StallDetector struct {
	// lastActivity is when the server last sent something or got a request while
	// it had none.
	lastActivity time.Time
}

// RecordActivity records that the server sent something, or that it had no
// running requests until now.
func (d *StallDetector) RecordActivity(now time.Time) { d.lastActivity = now }

// Stalled reports whether a server that has running requests of this entry
// instance is stalled at now. objective is the objective of the next request;
// without an objective the result is false.
func (d *StallDetector) Stalled(now time.Time, running int, objective time.Duration) bool {
	if running == 0 || objective <= 0 {
		return false
	}
	return now.Sub(d.lastActivity) > max(minStall, time.Duration(stallObjectives*float64(objective)))
}
