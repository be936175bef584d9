package routing

import "time"

// ejection is the outlier detection state of one server. A server that fails or
// stalls repeatedly is ejected: it gets no calls for a while. After that, it gets
// one call at a time as a probe, until a probe succeeds or the server is ejected
// again.
type ejection struct {
	// consecutiveFailures counts the failures since the last success.
	consecutiveFailures int
	// ejectionCount counts the ejections since the last success.
	ejectionCount int
	// ejectedUntil is the earliest time of the next probe; zero when the server
	// is not ejected.
	ejectedUntil time.Time
	// probing is true while a probe is running.
	probing bool
}

// excludes reports whether the server must not be chosen at time now, because the
// server is ejected until later or a probe is running.
func (e *ejection) excludes(now time.Time) bool {
	if e.ejectedUntil.IsZero() {
		return false
	}
	return e.probing || now.Before(e.ejectedUntil)
}

// markChosen records that the server was chosen for a call. If the server is
// ejected, this call is a probe.
func (e *ejection) markChosen() {
	if !e.ejectedUntil.IsZero() {
		e.probing = true
	}
}

// recordSuccess clears the state. It reports whether this ends an ejection.
func (e *ejection) recordSuccess() bool {
	wasEjected := !e.ejectedUntil.IsZero()
	*e = ejection{}
	return wasEjected
}

// recordFailure counts a failure at time now. It returns the duration of the new
// ejection if this failure ejects the server, and otherwise 0.
func (e *ejection) recordFailure(now time.Time, c Config) time.Duration {
	e.consecutiveFailures++
	wasProbe := e.probing
	e.probing = false
	if !wasProbe && (e.consecutiveFailures < c.EjectionThreshold || now.Before(e.ejectedUntil)) {
		return 0
	}
	duration := c.MaxEjectionTime
	if e.ejectionCount < 16 {
		duration = min(c.MaxEjectionTime, c.BaseEjectionTime<<e.ejectionCount)
	}
	e.ejectionCount++
	e.ejectedUntil = now.Add(duration)
	return duration
}
