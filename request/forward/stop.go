package forward

import (
	"net/http"
	"sync"
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

// checkTime returns why the request must not be sent to a server at the given time: no
// time is left, or the process stops too soon. It returns nil if it may be sent.
func (c *call) checkTime(now time.Time) error {
	switch {
	case c.timeLeft(now) < time.Millisecond:
		return errNoTime
	case !c.mayBegin():
		return errStopping
	}
	return nil
}

// usualDurations estimates how long the responses of each route usually take at most. It
// is safe for concurrent use.
type usualDurations struct {
	mu     sync.Mutex
	routes map[string]durationEstimate
}

// maxEstimatedRoutes limits the number of routes with an estimate.
const maxEstimatedRoutes = 1024

func newUsualDurations() usualDurations {
	return usualDurations{routes: map[string]durationEstimate{}}
}

// record adds the duration of a complete response of a route.
func (u *usualDurations) record(route string, d time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	e, known := u.routes[route]
	if !known && len(u.routes) >= maxEstimatedRoutes {
		clear(u.routes)
	}
	u.routes[route] = e.with(d)
}

// usual returns the duration within which the responses of a route are usually complete;
// 0 if there was none yet.
func (u *usualDurations) usual(route string) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.routes[route].limit()
}

// durationEstimate is a running estimate of durations, as that of the round-trip time in
// RFC 6298. The zero value has no durations.
type durationEstimate struct{ mean, deviation time.Duration }

// with returns the estimate with a further duration.
func (e durationEstimate) with(d time.Duration) durationEstimate {
	if e.mean == 0 {
		return durationEstimate{mean: d, deviation: d / 2}
	}
	return durationEstimate{
		mean:      e.mean + (d-e.mean)/8,
		deviation: e.deviation + ((d-e.mean).Abs()-e.deviation)/4,
	}
}

// limit returns the duration that few are longer than.
func (e durationEstimate) limit() time.Duration { return e.mean + 4*e.deviation }
