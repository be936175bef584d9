package routing

import "time"

// ejection is the outlier detection state of one server. A server that fails or
// stalls repeatedly gets no calls for a while. After that, one call at a time
// probes it until one succeeds.
type ejection struct {
	// consecutiveFailures counts the failures since the last success.
	consecutiveFailures int
	// ejections counts the ejections since the last success.
	ejections int
	// ejectedUntil is the earliest time of the next probe; zero when the server
	// is not ejected.
	ejectedUntil time.Time
	// probing is true while a probe is running.
	probing bool
}

// excludes reports whether the server must not be chosen at time now, because it
// is ejected or a probe is running.
func (e *ejection) excludes(now time.Time) bool {
	if e.ejectedUntil.IsZero() {
		return false
	}
	return e.probing || now.Before(e.ejectedUntil)
}

// markChosen records that the server was chosen. For an ejected server the call
// is a probe.
func (e *ejection) markChosen() {
	if !e.ejectedUntil.IsZero() {
		e.probing = true
	}
}

// recordSuccess clears the state and reports whether the server was ejected.
func (e *ejection) recordSuccess() bool {
	wasEjected := !e.ejectedUntil.IsZero()
	*e = ejection{}
	return wasEjected
}

// recordFailure counts a failure. It returns the duration of the ejection if this
// failure ejects the server, or else 0.
func (e *ejection) recordFailure(now time.Time, c Config) time.Duration {
	e.consecutiveFailures++
	wasProbe := e.probing
	e.probing = false
	if !wasProbe && (e.consecutiveFailures < c.EjectFailures || now.Before(e.ejectedUntil)) {
		return 0
	}
	duration := c.EjectMax
	if e.ejections < 16 {
		duration = min(c.EjectMax, c.EjectBase<<e.ejections)
	}
	e.ejections++
	e.ejectedUntil = now.Add(duration)
	return duration
}
