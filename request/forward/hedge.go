package forward

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"

	"github.com/go-faster/errors"

	"github.com/rattanway/rattanway/connection/backend"
	"github.com/rattanway/rattanway/request/dispatch"
)

// errOvertaken means that the response of a hedge is not needed, because the first server
// has gone on.
var errOvertaken = errors.New("the first server has gone on")

// hedge is an attempt at a second server that is made while the first server may still
// respond. The connection to the first server is closed only when the request has begun at
// the second one, so that a second server that refuses the request, breaks off or is silent
// costs nothing but a retry.
type hedge struct {
	call *call
	slot dispatch.Slot
	// reason is the outcome of the first attempt if the hedge takes over.
	reason dispatch.Outcome
	// ctx ends when the request ends, and when the hedge is cancelled. That aborts its
	// connection.
	ctx    context.Context
	cancel context.CancelFunc
	// lastEventID is the ID of the last event that the client had when the hedge began.
	lastEventID string
	// headerSent tells whether the client had the header of a response by then.
	headerSent bool
	// useNewConn is true if the server has already got the request.
	useNewConn bool

	// done is closed when exchange and result are set.
	done chan struct{}
	// exchange is the exchange in which the request has begun; nil if the attempt failed
	// with result.
	exchange *serverExchange
	result   attemptResult
	// body is the complete response if the hedge has read one that is no stream. Without an
	// exchange it is a 5xx response.
	body *response
}

// run makes the attempt. It returns when the request has begun at the server, or when the
// attempt has failed.
func (h *hedge) run() {
	defer h.call.body.Release()
	defer close(h.done)
	h.result = h.call.onConnection(h.ctx, h.slot, h.useNewConn, h.attempt)
}

// attempt sends the request on a connection, and reads the response until the request has
// begun.
func (h *hedge) attempt(conn *backend.Conn) attemptResult {
	c := h.call
	x, ok := c.newExchange(h.ctx, conn, h.slot)
	if !ok {
		return c.markEnded(h.ctx, attemptResult{outcome: dispatch.Outdated, err: errOutdated})
	}
	left := c.timeLeft(c.cfg.Clock.Now())
	if left < minRetryTime {
		x.close()
		return attemptResult{outcome: dispatch.Cancelled, err: errNoTime}
	}
	r := c.send(h.ctx, x, c.requestHead(h.slot, left, h.lastEventID))
	begun := false
	if r.err == nil {
		r, begun = h.awaitBegin(x)
	}
	r.sentAt = x.sentAt
	switch {
	case begun:
		h.exchange = x
		return r
	case r.err == nil && x.stopAbort() && x.endPending():
		c.cfg.Pool.Put(conn, x.resp)
		return r
	}
	x.close()
	switch {
	case errors.Is(r.err, backend.ErrNotSent):
		return r
	case x.pending.Recalled():
		r.outcome, r.err = dispatch.Outdated, errOutdated
		return r
	}
	return c.markEnded(h.ctx, r)
}

// awaitBegin reads the response until it is certain that the request goes on at this
// server: the first event with data of a stream, and otherwise the complete response. It
// reports whether that is so. A 5xx response is read completely, but is of no use as long as
// the first server may give a better one.
func (h *hedge) awaitBegin(x *serverExchange) (r attemptResult, begun bool) {
	c := h.call
	paused := c.recordNotices(h.slot, x.resp)
	r = attemptResult{outcome: dispatch.Broken, status: x.resp.StatusCode, mayHaveArrived: true, mayHaveRun: true}
	switch {
	case x.reused && c.lacksID(x.resp):
		r.err = errNoRequestID
	case c.isNotRun(x.resp):
		return h.readRefusal(x, paused), false
	case x.resp.StatusCode >= http.StatusInternalServerError:
		if r.err = c.checkHead(x.resp); r.err == nil {
			r.err = h.readBody(x)
		}
		return r, false
	case c.isEventStream(x.resp):
		if r.err = c.checkHead(x.resp); r.err == nil {
			r.err = h.readFirstEvent(x.resp)
		}
	case h.headerSent:
		r.err = errNoStream
	default:
		if r.err = c.checkHead(x.resp); r.err == nil {
			r.err = h.readBody(x)
		}
	}
	switch {
	case r.err != nil:
	case !x.endPending():
		// The connection is about to be closed.
		r.err = errOutdated
	default:
		r.begunAt = c.cfg.Clock.Now()
		c.cfg.Scheduler.RecordActivity(h.slot)
	}
	return r, r.err == nil
}

// errNoStream means that a stream that has begun cannot go on, because the response of the
// second server is no stream.
var errNoStream = errors.New("response is not a stream of events")

// readRefusal reads the response of a server that has not run the request, so that its
// connection can be used again.
func (h *hedge) readRefusal(x *serverExchange, paused bool) attemptResult {
	r := attemptResult{outcome: notRunOutcome(x.resp), status: x.resp.StatusCode, mayHaveArrived: true}
	if paused {
		r.outcome = dispatch.Paused
	}
	body, err := h.call.bodyParts.read(x.resp)
	if err != nil {
		r.err = err
		return r
	}
	h.call.bodyParts.give(body.parts)
	return r
}

// readBody reads the complete body of a response.
func (h *hedge) readBody(x *serverExchange) error {
	body, err := h.call.bodyParts.read(x.resp)
	if err != nil {
		return err
	}
	h.body = body
	return nil
}

// readFirstEvent reads a stream up to its first event with data, or to its end.
func (h *hedge) readFirstEvent(resp *http.Response) error {
	reader := bufio.NewReaderSize(resp.Body, 1<<10)
	var read bytes.Buffer
	for {
		event, err := readEvent(reader)
		if errors.Is(err, io.EOF) && len(event) == 0 {
			break
		}
		if err != nil {
			return err
		}
		if read.Write(event); read.Len() > maxEventBytes {
			return errNoData
		}
		if hasData(event) {
			if err := h.checkPlace(event); err != nil {
				return err
			}
			break
		}
	}
	resp.Body = struct {
		io.Reader
		io.Closer
	}{io.MultiReader(&read, reader), resp.Body}
	return nil
}

// checkPlace returns why an event with data cannot follow what the client has, or nil.
func (h *hedge) checkPlace(event []byte) error {
	id := eventID(event)
	if !h.headerSent {
		return nil
	}
	if id == "" {
		return errNoEventID
	}
	previous, err := strconv.ParseInt(h.lastEventID, 10, 64)
	if err != nil {
		return nil
	}
	current, err := strconv.ParseInt(id, 10, 64)
	switch {
	case err != nil:
		return errNoEventID
	case current > previous+1:
		return errEventGap
	}
	return nil
}

// close closes the connection of a hedge that has ended, and gives the memory of the body
// back.
func (h *hedge) close() {
	h.cancel()
	if h.exchange != nil {
		h.exchange.close()
	}
	if h.body != nil {
		h.call.bodyParts.give(h.body.parts)
	}
}

// discard ends a hedge that is not needed, and releases its slot.
func (h *hedge) discard() {
	h.cancel()
	go func() {
		<-h.done
		h.close()
		outcome := dispatch.Cancelled
		if h.exchange == nil {
			outcome = h.result.outcome
		}
		h.call.cfg.Scheduler.Release(h.slot, outcome)
	}()
}

// continueHedge continues the request with the attempt of a hedge. It waits until the
// request has begun there, or the attempt has failed.
func (c *call) continueHedge(ctx context.Context, h *hedge) attemptResult {
	watch := c.newStallWatch(ctx, h.cancel, h.slot)
	defer watch.stop()
	<-h.done
	defer h.cancel()
	if h.exchange == nil {
		c.keepError(h.takeBody())
		watch.stop()
		return c.markEnded(ctx, watch.markClosed(h.result))
	}
	watch.pending = h.exchange.pending
	if c.readAhead = h.takeBody(); c.readAhead != nil {
		c.heldParts = append(c.heldParts, c.readAhead.parts...)
	}
	return c.finish(ctx, h.exchange, watch, c.handleResponse(ctx, h.exchange.resp, h.slot, watch))
}

// takeBody returns the complete response that the hedge has read; nil without one. The caller
// gives its parts back.
func (h *hedge) takeBody() *response {
	body := h.body
	h.body = nil
	return body
}

// keepError keeps the 5xx response of a hedge, which may be nil, for the case that no server
// gives a better one.
func (c *call) keepError(resp *response) {
	if resp == nil {
		return
	}
	c.serverError = resp
	c.heldParts = append(c.heldParts, resp.parts...)
}

// newHedge returns a hedge of the attempt that w watches. The caller holds w.mu, and calls run.
func (w *stallWatch) newHedge(slot dispatch.Slot, reason dispatch.Outcome) *hedge {
	h := &hedge{
		call: w.call, slot: slot, reason: reason, lastEventID: w.lastEventID, headerSent: w.headerSent,
		useNewConn: slices.Contains(w.attemptServers, slot.Server.ID), done: make(chan struct{}),
	}
	h.ctx, h.cancel = context.WithCancel(w.ctx)
	// A hedge that is discarded may still send the body when the request has ended.
	h.call.body.Retain()
	return h
}
