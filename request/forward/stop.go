package forward

import (
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

// Stop describes the planned stop of the process.
type Stop struct {
	// BegunAt is when the stop began.
	BegunAt time.Time
	// AcceptUntil is the time until which the load balancer may assign connections to
	// this instance.
	AcceptUntil time.Time
	// AnswerAt is when the requests that are still in progress are answered.
	AnswerAt time.Time
}

// mayBegin reports whether a request that no server has run may be sent to one. Its
// response must be complete before AnswerAt: that is certain if its deadline is not
// later, and likely if it takes no longer than usual. After AcceptUntil, other instances
// get the client's next connection, so the request is refused unless it is certain.
// usual is 0 if it is not known.
func (s *Stop) mayBegin(now, deadline time.Time, usual time.Duration) bool {
	switch {
	case !deadline.After(s.AnswerAt):
		return true
	case usual == 0 || now.After(s.AcceptUntil):
		return false
	}
	return !now.Add(usual).After(s.AnswerAt)
}

// BeginStop begins the planned stop of the process. From now on, each connection is
// closed after the next response on it, servers get no more time than until s.AnswerAt,
// and requests that would take longer are refused. At s.AnswerAt the handler answers the
// requests that are still in progress: with a refusal if no server has run them, and with
// an error otherwise. A process that ended first would leave these clients without any
// response.
func (h *Handler) BeginStop(s Stop) {
	h.stop.Store(&s)
	h.cfg.Clock.AfterFunc(s.AnswerAt.Sub(h.cfg.Clock.Now()), h.end)
}

// EndStop makes the handler answer the requests in progress now, and refuse all others.
func (h *Handler) EndStop() {
	s := *h.stop.Load()
	s.AcceptUntil, s.AnswerAt = s.BegunAt, h.cfg.Clock.Now()
	h.stop.Store(&s)
	h.end()
}

// ended reports whether Stop.AnswerAt has come.
func (h *Handler) ended() bool {
	stop := h.stop.Load()
	return stop != nil && !h.cfg.Clock.Now().Before(stop.AnswerAt)
}

// errStopping means that a request is not sent to a server because the process stops
// before the response would be complete.
var errStopping = errors.New("the instance stops")

// refusalOfStop returns the refusal of a request that no server has run. Until
// Stop.AcceptUntil, the client's next connection may come to this instance again, so it is
// told to wait; after that, other instances get it.
func (c *call) refusalOfStop() *refusal {
	r := &refusal{status: http.StatusServiceUnavailable, reason: errStopping.Error()}
	if left := c.stop.Load().AcceptUntil.Sub(c.cfg.Clock.Now()); left > 0 {
		r.retryAfter = min(left, retryAfterUnready)
	}
	return r
}

// mayBegin reports whether the planned stop of the process, if there is one, leaves enough
// time to send the request to a server. A request that may have run is sent in any case,
// as no refusal would be true of it.
func (c *call) mayBegin() bool {
	stop := c.stop.Load()
	return stop == nil || len(c.mayHaveRunAt) > 0 ||
		stop.mayBegin(c.cfg.Clock.Now(), c.dispatchReq.Deadline, c.durations.usual(c.route.Name))
}

// timeLeft returns the time from now until the deadline of the request or the end of the
// process's stop, whichever is earlier.
func (c *call) timeLeft(now time.Time) time.Duration {
	left := c.dispatchReq.Deadline.Sub(now)
	if stop := c.stop.Load(); stop != nil {
		left = min(left, stop.AnswerAt.Sub(now))
	}
	return left
}

// errNoTime means that a request is not sent to a server because no time is left for it.
var errNoTime = errors.New("no time left")

// checkTime returns why the request must not be sent to a server with the time that is
// left: there is none, or the process stops too soon. It returns nil if it may be sent.
func (c *call) checkTime(left time.Duration) error {
	switch {
	case left < time.Millisecond:
		return errNoTime
	case !c.mayBegin():
		return errStopping
	}
	return nil
}
