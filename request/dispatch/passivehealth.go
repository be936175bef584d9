package dispatch

import "time"

// Outcome is the outcome of one attempt to run a request at a server.
type Outcome uint8

const (
	// Served means that the complete response was received and forwarded.
	Served Outcome = iota
	// Cancelled means that the client left or the deadline passed before the
	// response was complete. This does not count against the server.
	Cancelled
	// Full means that the server refused the request for lack of capacity.
	Full
	// Misdirected means that the server is not the expected instance, or does
	// not hold the required weights.
	Misdirected
	// Unreachable means that no connection could be opened.
	Unreachable
	// Broken means that the response was an error response, incomplete or invalid.
	Broken
	// Stalled means that the server sent nothing for too long.
	Stalled
	// Moved means that the stream continues at another server because the server of
	// this attempt loads new weights. This does not count against the server.
	Moved
	// Outdated means that the server had not begun the request when newer weights than
	// those of the server became mandatory. This does not count against the server.
	Outdated
	// Paused means that the server turned the request away and asked for a pause, or
	// that it had done so before the request was sent. This does not count against the
	// server; the pause is recorded on its own.
	Paused
)

// String returns the name of the outcome in log lines.
func (o Outcome) String() string {
	return [...]string{"served", "ended", "full", "misdirected", "unreachable", "broken", "stalled", "moved", "outdated", "paused"}[o]
}

// Durations of the backoff, in which a server gets no requests. The first three
// are about as long as a server's response time. maxBackoff limits how long a
// server that has recovered stays unused.
const (
	backoffFull        = 60 * time.Millisecond
	backoffMisdirected = 400 * time.Millisecond
	backoffFailed      = 250 * time.Millisecond
	// backoffSilent begins when a server has been silent for silentPeriod or longer. A
	// sound server may be silent for 1.7 s and then goes on.
	backoffSilent = time.Second
	maxBackoff    = 2 * time.Second
)

// Parameters of the failure rate, an exponentially weighted moving average of the
// share of failed requests.
const (
	// failureSmoothingFactor is the share of the newest outcome in the average.
	failureSmoothingFactor = 0.15
	// maxFailurePenalty is the number of requests added to the load of a server
	// whose requests all fail. With a lower failure rate, proportionally fewer are
	// added.
	maxFailurePenalty = 24
)

// PassiveHealth tracks the outcomes of the requests at one server, to detect that
// the server is down, or that it fails some requests although its health check
// succeeds. After a failed connection or a stall the server is in backoff: it
// gets no requests for a time that doubles with each such outcome since the last
// served request, up to maxBackoff. A refused or misdirected request causes a
// short backoff of constant length. A server that fails often also gets a
// penalty, which is added to its load. A stall is a silence of the server, however
// many requests it ran meanwhile.
type PassiveHealth struct {
	// backoffUntil is the end of the current or the last backoff, other than after a
	// stall. stallBackoffUntil is the end of that.
	backoffUntil, stallBackoffUntil time.Time
	// consecutiveFailures is the number of failed connections and stalls since
	// the last served request.
	consecutiveFailures int
	// failureRate is the moving average of the share of failed requests, from 0 to
	// 1.
	failureRate float64
}

// Record updates the health with the outcome of a request that ended at time now.
func (h *PassiveHealth) Record(o Outcome, now time.Time) {
	switch o {
	case Served:
		h.consecutiveFailures, h.failureRate = 0, h.failureRate*(1-failureSmoothingFactor)
	case Full:
		h.backoffUntil = later(h.backoffUntil, now.Add(backoffFull))
	case Misdirected:
		h.backoffUntil = later(h.backoffUntil, now.Add(backoffMisdirected))
	case Unreachable:
		h.backoffUntil = later(h.backoffUntil, now.Add(h.fail(backoffFailed)))
	case Stalled:
		h.RecordStall(now, false)
	case Broken:
		h.raiseFailureRate()
	case Cancelled, Moved, Outdated, Paused:
	}
}

// fail records a failure and returns the length of the backoff after it, which is first
// if the last request was served.
func (h *PassiveHealth) fail(first time.Duration) time.Duration {
	backoff := min(maxBackoff, first<<min(h.consecutiveFailures, 8))
	h.raiseFailureRate()
	h.consecutiveFailures++
	return backoff
}

// RecordStall records a stall at time now. silent is true if the server had sent nothing to
// any request for silentPeriod.
func (h *PassiveHealth) RecordStall(now time.Time, silent bool) {
	first := backoffFailed
	if silent {
		first = backoffSilent
	}
	h.stallBackoffUntil = now.Add(h.fail(first))
}

// RecordActivity records that the server has sent something. That ends the backoff after a
// single stall. A server that stalls again before it has served a request may be behind a
// narrow link, which lets something through now and then.
func (h *PassiveHealth) RecordActivity() {
	if !h.failedAgain() {
		h.stallBackoffUntil = time.Time{}
	}
}

// failedAgain reports whether there was more than one failure since the last served request.
func (h *PassiveHealth) failedAgain() bool { return h.consecutiveFailures > 1 }

func (h *PassiveHealth) raiseFailureRate() {
	h.failureRate += (1 - h.failureRate) * failureSmoothingFactor
}

// InBackoff reports whether the server is in backoff at time now and must not get
// requests.
func (h *PassiveHealth) InBackoff(now time.Time) bool {
	return now.Before(h.backoffUntil) || now.Before(h.stallBackoffUntil)
}

// Penalty returns the number of requests by which the server's load is to be
// raised because of the failure rate.
func (h *PassiveHealth) Penalty() float64 { return h.failureRate * maxFailurePenalty }

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
