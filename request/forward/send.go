package forward

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/rattanway/rattanway/connection/backend"
	"github.com/rattanway/rattanway/request/dispatch"
)

// attemptResult is the result of one attempt at a server.
type attemptResult struct {
	outcome dispatch.Outcome
	err     error
	// status is the HTTP status of the server's response; 0 without a response.
	status int
	// mayHaveArrived is true if the request may have arrived at the server, and
	// mayHaveRun if the server may also have begun to run the request.
	mayHaveArrived, mayHaveRun bool
	// retryCounted is true if the next attempt, if any, is already counted in the
	// retry budget.
	retryCounted bool
	// sentAt is when the request began to be sent.
	sentAt time.Time
	// begunAt is when the server sent its first event with data, or the header of a
	// response that is no stream; zero if it sent neither.
	begunAt time.Time
	// endedWithConn is true if the response has no length, so that the end of the
	// connection is its end.
	endedWithConn bool
}

// Reasons for which a response is not forwarded, or not completely.
var (
	errNoReceipt       = errors.New("response has no receipt header")
	errEncoded         = errors.New("response body has a Content-Encoding")
	errResponseTooLong = errors.New("response body is too long")
	errNotWanted       = errors.New("server leaves or has asked for a pause")
	errStalled         = errors.New("server sent nothing for too long")
	errOutdated        = errors.New("weights became outdated before the server began the request")
)

// makeAttempt makes one attempt at the server of a slot: it gets a connection,
// sends the request, and forwards the response if it is valid. If h is not nil, the
// attempt has begun already.
func (c *call) makeAttempt(ctx context.Context, slot dispatch.Slot, h *hedge) attemptResult {
	c.attemptCount++
	// A request that may not be repeated uses a new connection, because a server
	// may close an idle connection while the request is being sent. So does a request
	// that comes to a server again: on the earlier connection, a late copy of the
	// earlier response could not be told from the response.
	useNewConn := !c.route.Repeatable() || slices.Contains(c.attemptServers, slot.Server.ID)
	c.attemptServers = append(c.attemptServers, slot.Server.ID)
	if h != nil {
		return c.continueHedge(ctx, h)
	}
	c.stats.attempts.Inc(1)
	return c.onConnection(ctx, slot, useNewConn, func(conn *backend.Conn) attemptResult { return c.exchange(ctx, conn, slot) })
}

// onConnection calls exchange with a connection to the server of a slot. If that was an
// idle one that turns out to be unusable, it calls exchange again with a new one.
func (c *call) onConnection(ctx context.Context, slot dispatch.Slot, useNewConn bool, exchange func(*backend.Conn) attemptResult) attemptResult {
	for {
		conn, err := c.cfg.Pool.Get(ctx, slot.Server.Addr, useNewConn)
		if err != nil {
			return c.markEnded(ctx, attemptResult{outcome: dispatch.Unreachable, err: err})
		}
		if !c.cfg.Scheduler.MaySend(slot) {
			conn.Close()
			return c.markEnded(ctx, attemptResult{outcome: dispatch.Paused, err: errNotWanted})
		}
		r := exchange(conn)
		if !errors.Is(r.err, backend.ErrNotSent) {
			return r
		}
		// The idle connection was no longer usable, and nothing was sent. Try a new
		// one.
		useNewConn = true
	}
}

// markEnded returns r. If ctx has ended, because the client left or the deadline
// passed, it first sets the outcome to [dispatch.Cancelled].
func (c *call) markEnded(ctx context.Context, r attemptResult) attemptResult {
	if ctx.Err() != nil {
		r.outcome = dispatch.Cancelled
	}
	return r
}

// isFinalResponse reports whether resp is a final response to this request. The
// status of such a response is not 1xx, and its request ID is missing or equal to
// the ID of this request.
func (c *call) isFinalResponse(resp *http.Response) bool {
	if resp.StatusCode < http.StatusOK {
		return false
	}
	id := resp.Header.Get(c.cfg.Headers.RequestID)
	return id == "" || id == c.requestID
}

// handleResponse checks a response and forwards it if it is valid. It does not
// forward a 5xx response to a repeatable request, but keeps it in c.serverError.
func (c *call) handleResponse(ctx context.Context, resp *http.Response, slot dispatch.Slot, watch *stallWatch) attemptResult {
	if c.isNotRun(resp) {
		return c.handleNotRun(resp)
	}
	c.mayHaveRunAt[slot.Server.ID] = true
	r := attemptResult{outcome: dispatch.Broken, mayHaveArrived: true, mayHaveRun: true}
	if r.err = c.checkHead(resp); r.err != nil {
		return r
	}
	if c.isEventStream(resp) {
		return c.forwardStream(ctx, resp, slot, watch)
	}
	r.begunAt = c.cfg.Clock.Now()
	watch.recordFirstByte(r.begunAt)
	watch.pending.End()
	complete, err := c.readResponse(resp)
	if err != nil {
		r.err = err
		return r
	}
	if resp.StatusCode >= http.StatusInternalServerError && c.route.Repeatable() {
		c.serverError = complete
		return r
	}
	if c.headerSent {
		// A stream that has begun cannot be continued by a response of another
		// kind.
		return r
	}
	r.outcome = dispatch.Served
	if err := c.writeResponse(complete); err != nil {
		r.outcome, r.err = dispatch.Cancelled, err
	}
	return r
}

// checkHead returns why the response of a server that may have run the request must not be
// forwarded, or nil.
func (c *call) checkHead(resp *http.Response) error {
	switch {
	case resp.Header.Get(c.cfg.Headers.Receipt) == "":
		return errNoReceipt
	case resp.Header.Get("Content-Encoding") != "":
		return errEncoded
	case promisesNotRun(resp.StatusCode) && !c.route.Repeatable():
		return errUnfoundedPromise
	}
	return nil
}

// handleNotRun returns the result of an attempt at a server that did not run the
// request. It reads the response completely, so that the connection can be used
// again.
func (c *call) handleNotRun(resp *http.Response) attemptResult {
	r := attemptResult{outcome: notRunOutcome(resp), mayHaveArrived: true}
	_, r.err = c.readResponse(resp)
	return r
}

// writeResponse writes a complete response to the client. For a HEAD request it
// writes no body.
func (c *call) writeResponse(resp *response) error {
	header := c.w.Header()
	copyHeader(header, resp.header)
	if c.httpReq.Method != http.MethodHead {
		header.Set("Content-Length", strconv.Itoa(resp.size()))
	}
	c.headerSent = true
	c.firstByteAt = c.cfg.Clock.Now()
	c.w.WriteHeader(resp.status)
	if c.httpReq.Method == http.MethodHead {
		return nil
	}
	err := resp.writeBody(c.w)
	c.clientGone = err != nil
	return err
}

// hopByHopHeaders lists the headers that are not forwarded: those that apply to
// one connection only, and Content-Length, which is written anew from the length
// of the body that was read.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true,
}

// connectionHeaders returns the headers that the Connection header lists as
// applying to one connection only.
func connectionHeaders(h http.Header) map[string]bool {
	listed := map[string]bool{}
	for _, line := range h["Connection"] {
		for _, name := range strings.Split(line, ",") {
			listed[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return listed
}

// copyHeader copies all headers except hopByHopHeaders and the headers that the
// Connection header lists.
func copyHeader(to, from http.Header) {
	listed := connectionHeaders(from)
	for name, values := range from {
		if !hopByHopHeaders[name] && !listed[name] {
			to[name] = values
		}
	}
	if _, ok := from["Content-Type"]; !ok {
		// A nil value prevents net/http from guessing a Content-Type.
		to["Content-Type"] = nil
	}
}

// requestHead returns the request line and the header to send to the server. left is the
// time until the deadline, and lastEventID the ID of the last event that the client has.
func (c *call) requestHead(slot dispatch.Slot, left time.Duration, lastEventID string) string {
	names := &c.cfg.Headers
	var b strings.Builder
	b.Grow(512)
	writeHeader := func(name, value string) {
		b.WriteString(name)
		b.WriteString(": ")
		b.WriteString(value)
		b.WriteString("\r\n")
	}
	b.WriteString(c.httpReq.Method + " " + c.httpReq.RequestURI + " HTTP/1.1\r\n")
	writeHeader("Host", c.httpReq.Host)
	listed := connectionHeaders(c.httpReq.Header)
	for name, values := range c.httpReq.Header {
		if hopByHopHeaders[name] || listed[name] || c.isReserved(name) {
			continue
		}
		for _, value := range values {
			writeHeader(name, value)
		}
	}
	if !c.bodyReadAt.IsZero() || c.httpReq.Method != http.MethodGet && c.httpReq.Method != http.MethodHead {
		writeHeader("Content-Length", strconv.FormatInt(c.body.Size(), 10))
	}
	writeHeader(names.Deadline, strconv.FormatInt(left.Milliseconds(), 10))
	writeHeader(names.ExpectServer, slot.Server.ID)
	if c.account != nil {
		writeHeader(names.Account, c.account.Name)
	}
	if c.sentPriority != "" {
		writeHeader(names.Priority, c.sentPriority)
	}
	if slot.Version > 0 {
		writeHeader(names.ExpectVersion, strconv.Itoa(slot.Version))
	}
	if lastEventID != "" {
		writeHeader(names.LastEventID, lastEventID)
	}
	b.WriteString("\r\n")
	return b.String()
}

// isReserved reports whether the client's value of the header name must not be
// forwarded, because the handler sets or removes this header.
func (c *call) isReserved(name string) bool {
	names := &c.cfg.Headers
	switch name {
	case names.Deadline, names.ExpectServer, names.ExpectVersion, names.Account, names.Priority, names.LastEventID, "Authorization", "Expect":
		return true
	}
	for _, reserved := range names.Reserved {
		if name == reserved {
			return true
		}
	}
	return false
}
