package forward

import (
	"context"
	"net/http"

	"github.com/go-faster/errors"

	"github.com/rattanway/rattanway/process/eventlog"
	"github.com/rattanway/rattanway/request/dispatch"
)

// run sends the request until it is answered, or until it must not be sent
// again.
func (c *call) run(ctx context.Context) {
	c.cfg.Desk.First(c.demand.Service)
	defer c.giveBack()
	for {
		place, err := c.place(ctx)
		if err != nil {
			c.giveUp(ctx, err)
			return
		}
		result := c.send(ctx, place)
		c.cfg.Desk.Release(place, result.outcome)
		if result.outcome == dispatch.Served {
			c.finish(place)
			return
		}
		c.demand.Tried[place.Server.ID] = true
		if result.mayHaveRun {
			c.demand.Patience = repeatPatience
		}
		if err := c.next(ctx, place, &result); err != nil {
			c.giveUp(ctx, err)
			return
		}
	}
}

// place returns the place that the request was given when it left its server,
// or acquires one.
func (c *call) place(ctx context.Context) (dispatch.Place, error) {
	if c.moved != nil {
		place := *c.moved
		c.moved = nil
		return place, nil
	}
	return c.cfg.Desk.Acquire(ctx, &c.demand)
}

// giveBack returns a place that was not used, as the client left or the time is
// over.
func (c *call) giveBack() {
	if c.moved != nil {
		c.cfg.Desk.Release(*c.moved, dispatch.Ended)
	}
}

// finish notes a request that was answered whole.
func (c *call) finish(place dispatch.Place) {
	now := c.cfg.Clock.Now()
	c.meters.answered.Inc(1)
	c.meters.whole.Update(now.Sub(c.demand.Arrived))
	f := eventlog.Fields{"running": place.Running, "version": place.Version, "remote": place.Remote}
	if !c.first.IsZero() {
		c.meters.firstByte.Update(c.first.Sub(c.demand.Arrived))
		f["firstMs"] = c.first.Sub(c.demand.Arrived).Milliseconds()
	}
	c.note(eventAnswered, f)
}

// next decides whether the request is sent once more after a failed sending.
func (c *call) next(ctx context.Context, place dispatch.Place, r *result) error {
	err := c.mayRepeat(ctx, r)
	follows := "sent again"
	if err != nil {
		follows = err.Error()
	}
	cause := ""
	if r.err != nil {
		cause = r.err.Error()
	}
	c.note(eventSending, eventlog.Fields{
		"server": place.Server.ID, "addr": place.Server.Addr, "outcome": r.outcome.String(), "mayHaveRun": r.mayHaveRun,
		"cause": cause, "status": r.status, "follows": follows, "version": place.Version, "running": place.Running,
	})
	return err
}

// mayRepeat returns nil when the request may be sent again now.
func (c *call) mayRepeat(ctx context.Context, r *result) error {
	switch {
	case ctx.Err() != nil:
		return ctx.Err()
	case r.outcome == dispatch.Ended:
		return errors.Wrap(errStop, "ended")
	case c.demand.Deadline.Sub(c.cfg.Clock.Now()) < leastTime:
		return errors.Wrap(errStop, "no time left")
	case c.sends >= maxSends:
		return errors.Wrap(errStop, "sent often enough")
	case r.mayHaveRun && !c.route.Repeatable():
		return errors.Wrap(errStop, "may not be repeated")
	case len(c.ran) >= c.route.MaxServers:
		return errors.Wrap(errStop, "no server left to try")
	case r.repeatTaken:
		return nil
	case r.arrived && !c.cfg.Desk.Repeat(c.demand.Service):
		return dispatch.ErrRepeats
	}
	return nil
}

// giveUp gives the request its final answer when no server answered it.
func (c *call) giveUp(ctx context.Context, cause error) {
	if c.gone || c.r.Context().Err() != nil {
		c.meters.left.Inc(1)
		c.note(eventLeft, eventlog.Fields{"reason": "client closed the connection"})
		panic(http.ErrAbortHandler)
	}
	if c.started {
		c.meters.failed.Inc(1)
		c.note(eventFailed, eventlog.Fields{"reason": "stream broken off: " + cause.Error(), "lastEvent": c.lastEvent})
		panic(http.ErrAbortHandler)
	}
	if c.held != nil {
		if err := c.deliver(c.held); err != nil {
			panic(http.ErrAbortHandler)
		}
		c.note(eventAnswered, eventlog.Fields{"status": c.held.status, "reason": cause.Error()})
		return
	}
	late := ctx.Err() != nil
	switch {
	case len(c.ran) == 0 && late:
		c.refuse(&refusal{status: http.StatusServiceUnavailable, reason: "no place before the deadline"})
	case len(c.ran) == 0:
		c.refuse(&refusal{http.StatusServiceUnavailable, cause.Error(), dispatch.RetryAfter(c.placeError(cause))})
	case late:
		c.fail(http.StatusGatewayTimeout, "no answer before the deadline")
	default:
		c.fail(http.StatusBadGateway, cause.Error())
	}
}

// placeError tells a request that was turned away everywhere from one that no
// server could run.
func (c *call) placeError(cause error) error {
	if len(c.demand.Tried) > 0 {
		return dispatch.ErrFull
	}
	return cause
}

// fail answers a request that may have run.
func (c *call) fail(status int, reason string) {
	c.w.Header().Set(c.cfg.Headers.RequestID, c.id)
	http.Error(c.w, reason, status)
	c.meters.failed.Inc(1)
	c.note(eventFailed, eventlog.Fields{"status": status, "reason": reason})
}
