package dispatch

import "time"

// Outcome is what became of a request at a server.
type Outcome uint8

// The outcomes.
const (
	// Served says that the answer came whole.
	Served Outcome = iota
	// Ended says that the client or its deadline ended the request; it says
	// nothing of the server.
	Ended
	// Full says that the server took no more.
	Full
	// Misdirected says that the server is another one, or does not hold the
	// weights.
	Misdirected
	// Unreachable says that no connection could be opened.
	Unreachable
	// Broken says that the answer failed, broke off or was not an answer.
	Broken
	// Stalled says that the server fell silent.
	Stalled
	// Moved says that the stream goes on at another server, as this one
	// changes its weights; it says nothing of the server.
	Moved
)

// String returns the outcome's name in log lines.
func (o Outcome) String() string {
	return [...]string{"served", "ended", "full", "misdirected", "unreachable", "broken", "stalled", "moved"}[o]
}

// Times for which a server is passed over after an outcome. The first ones
// are about the time in which a server answers; the last one bounds how long a
// server that came back stays unused.
const (
	passOverFull        = 60 * time.Millisecond
	passOverMisdirected = 400 * time.Millisecond
	passOverFailed      = 250 * time.Millisecond
	passOverMost        = 2 * time.Second
)

// Weights of the moving failure rate.
const (
	// failureWeight is the weight of the newest outcome.
	failureWeight = 0.15
	// failurePenalty is the load that a server which always fails appears
	// to have beyond its own.
	failurePenalty = 24
)

// Suspicion answers servers that are down, or fail part of their requests
// while their health check is good: after a failure a server is passed over
// for a while, longer each time in a row, and one that fails often appears
// loaded.
type Suspicion struct {
	until time.Time
	row   int
	rate  float64
}

// Note takes in an outcome at now.
func (s *Suspicion) Note(o Outcome, now time.Time) {
	switch o {
	case Served:
		s.row, s.rate = 0, s.rate*(1-failureWeight)
	case Full:
		s.until = later(s.until, now.Add(passOverFull))
	case Misdirected:
		s.until = later(s.until, now.Add(passOverMisdirected))
	case Unreachable, Stalled:
		s.fail()
		s.until = later(s.until, now.Add(min(passOverMost, passOverFailed<<min(s.row, 8))))
		s.row++
	case Broken:
		s.fail()
	case Ended, Moved:
	}
}

func (s *Suspicion) fail() { s.rate += (1 - s.rate) * failureWeight }

// Barred reports whether the server is passed over at now.
func (s *Suspicion) Barred(now time.Time) bool { return now.Before(s.until) }

// Penalty is the load that the server appears to have beyond its own.
func (s *Suspicion) Penalty() float64 { return s.rate * failurePenalty }

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
