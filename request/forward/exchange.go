package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/rattanway/rattanway/connection/backend"
	"github.com/rattanway/rattanway/request/dispatch"
)

// serverExchange is a request on a connection to a server, and the response to it.
type serverExchange struct {
	conn *backend.Conn
	slot dispatch.Slot
	// stopAbort ends the effect of the context on the connection, like the function that
	// [context.AfterFunc] returns.
	stopAbort func() bool
	// pending is the request until the server begins it.
	pending *dispatch.PendingBegin
	// reused is true if the connection has carried other requests.
	reused bool
	// sentAt is when the request began to be sent.
	sentAt time.Time
	// resp is the response; nil until its head has been read.
	resp *http.Response
}

// newExchange returns an exchange on a connection, which the end of ctx aborts. It returns
// false, and closes the connection, if the weights of the server are too old for the request.
func (c *call) newExchange(ctx context.Context, conn *backend.Conn, slot dispatch.Slot) (*serverExchange, bool) {
	x := &serverExchange{conn: conn, slot: slot, stopAbort: context.AfterFunc(ctx, conn.Abort)}
	var ok bool
	if x.pending, ok = c.cfg.Scheduler.AwaitBegin(slot, c.dispatchReq.Model, conn.Abort); !ok {
		x.close()
	}
	return x, ok
}

// endPending ends the wait for the begin of the request. It reports whether the request has not
// been recalled, which closes the connection.
func (x *serverExchange) endPending() bool {
	x.pending.End()
	return !x.pending.Recalled()
}

// close closes the connection.
func (x *serverExchange) close() {
	x.stopAbort()
	x.pending.End()
	x.conn.Close()
}

// send sends the request and reads the head of the response. If the error of the result is
// not nil, it has closed the connection.
func (c *call) send(ctx context.Context, x *serverExchange, head string) attemptResult {
	x.reused, x.sentAt = x.conn.Used(), c.cfg.Clock.Now()
	resp, err := x.conn.Do(ctx, head, c.httpReq, c.body.Parts(), c.isFinalResponse)
	if err != nil {
		x.conn.Close()
		sent := !errors.Is(err, backend.ErrNotSent)
		return attemptResult{outcome: dispatch.Broken, err: err, sentAt: x.sentAt, mayHaveArrived: sent, mayHaveRun: sent}
	}
	x.resp = resp
	return attemptResult{}
}

// exchange sends the request on a connection and handles the response. Then it
// returns the connection to the pool, or closes the connection if it cannot be
// used again.
func (c *call) exchange(ctx context.Context, conn *backend.Conn, slot dispatch.Slot) attemptResult {
	x, ok := c.newExchange(ctx, conn, slot)
	if !ok {
		return c.markEnded(ctx, attemptResult{outcome: dispatch.Outdated, err: errOutdated})
	}
	defer x.stopAbort()
	watch := c.newStallWatch(ctx, conn.Abort, slot)
	watch.pending, watch.exchange = x.pending, x
	defer watch.stop()
	left := c.timeLeft(c.cfg.Clock.Now())
	if err := c.checkTime(left); err != nil {
		conn.Close()
		return attemptResult{outcome: dispatch.Cancelled, err: err}
	}
	r := c.send(ctx, x, c.requestHead(slot, left, c.lastEventID))
	if errors.Is(r.err, backend.ErrNotSent) {
		return r
	}
	if r.err != nil {
		watch.stop()
		return c.markEnded(ctx, watch.markClosed(r))
	}
	return c.finish(ctx, x, watch, c.receive(ctx, x, watch))
}

// finish returns the result r of an exchange whose response has been handled, and returns
// the connection to the pool or closes it.
func (c *call) finish(ctx context.Context, x *serverExchange, watch *stallWatch, r attemptResult) attemptResult {
	r.sentAt, r.status, r.endedWithConn = x.sentAt, x.resp.StatusCode, backend.EndsWithConn(x.resp)
	watch.stop()
	if r.err != nil {
		x.conn.Close()
		return c.markEnded(ctx, watch.markClosed(r))
	}
	if x.stopAbort() && !watch.closedConn() {
		c.cfg.Pool.Put(x.conn, x.resp)
	}
	return r
}

// receive handles a response and what its header says about the server.
func (c *call) receive(ctx context.Context, x *serverExchange, watch *stallWatch) attemptResult {
	c.cfg.Scheduler.RecordActivity(x.slot)
	paused := c.recordNotices(x.slot, x.resp)
	if x.reused && c.lacksID(x.resp) {
		return c.handleUnidentified(x.resp)
	}
	r := c.handleResponse(ctx, x.resp, x.slot, watch)
	if paused && r.err == nil && (r.outcome == dispatch.Full || r.outcome == dispatch.Broken) {
		r.outcome = dispatch.Paused
	}
	return r
}

// recordNotices records what the header of a response says about the server, and reports
// whether the server asks for a pause.
func (c *call) recordNotices(slot dispatch.Slot, resp *http.Response) (paused bool) {
	c.recordLimit(slot, resp)
	c.recordLeaving(slot, resp)
	return c.recordPause(slot, resp)
}
