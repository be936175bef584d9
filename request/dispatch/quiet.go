package dispatch

import "time"

// Bounds of a server's silence.
const (
	// quietLeast is the shortest silence that says something: the steps of a
	// full engine take 50 ms, and reading the longest prompts 200 ms.
	quietLeast = 500 * time.Millisecond
	// quietObjectives is the silence in objectives of a request: what is sent
	// after it would be late.
	quietObjectives = 1.5
)

// Quiet answers servers that take requests and send nothing, as behind a link
// that has become narrow, or without power: until something comes from them, or
// nothing of this entry instance is left there, they get nothing more. Requests
// that are sent all the same would wait in the link and arrive after their
// clients have left.
type Quiet struct {
	since time.Time
}

// Heard notes that the server sent something, or that it has nothing to answer.
func (s *Quiet) Heard(now time.Time) { s.since = now }

// Barred reports whether a server with running requests of this entry instance
// gets no more for now. objective is that of the request; 0 for none.
func (s *Quiet) Barred(now time.Time, running int, objective time.Duration) bool {
	if running == 0 || objective <= 0 {
		return false
	}
	return now.Sub(s.since) > max(quietLeast, time.Duration(quietObjectives*float64(objective)))
}
