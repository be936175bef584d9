package forward

import (
	"context"
	"io"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/rattanway/rattanway/connection/backend"
	"github.com/rattanway/rattanway/request/dispatch"
	"github.com/rattanway/rattanway/version/catalog"
)

// result is what became of one sending.
type result struct {
	outcome dispatch.Outcome
	err     error
	// status is that of the server's answer; 0 when there was none.
	status int
	// arrived says that the server got the request, and mayHaveRun that it
	// may have begun to work on it.
	arrived, mayHaveRun bool
	// repeatTaken says that a repeat was already counted for the next
	// sending.
	repeatTaken bool
}

// answer is a server's whole answer.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// Errors of answers that are not the server's own to this request.
var (
	errNoReceipt = errors.New("answer has no receipt")
	errEncoded   = errors.New("answer's body is encoded")
	errTooLong   = errors.New("answer is too long")
	errSilent    = errors.New("server fell silent")
)

// send sends the request to a place once and passes a good answer on.
func (c *call) send(ctx context.Context, place dispatch.Place) result {
	c.sends++
	c.meters.sent.Inc(1)
	c.servers = append(c.servers, place.Server.ID)
	fresh := !c.route.Repeatable()
	for {
		conn, err := c.cfg.Pool.Get(ctx, place.Server.Addr, fresh)
		if err != nil {
			return c.ended(ctx, result{outcome: dispatch.Unreachable, err: err})
		}
		r := c.exchange(ctx, conn, place)
		if !errors.Is(r.err, backend.ErrNotSent) {
			return r
		}
		// The kept connection was at its end; a new one is opened.
		fresh = true
	}
}

// ended marks a result that the client's leaving or the deadline caused.
func (c *call) ended(ctx context.Context, r result) result {
	if ctx.Err() != nil {
		r.outcome = dispatch.Ended
	}
	return r
}

// exchange sends the request on a connection.
func (c *call) exchange(ctx context.Context, conn *backend.Conn, place dispatch.Place) result {
	stop := context.AfterFunc(ctx, conn.Close)
	defer stop()
	watch := c.newWatch(ctx, conn, place)
	defer watch.stop()
	resp, err := conn.Do(ctx, c.head(place), c.r, c.body, c.mine)
	if errors.Is(err, backend.ErrNotSent) {
		conn.Close()
		return result{outcome: dispatch.Broken, err: err}
	}
	if err != nil {
		conn.Close()
		c.ran[place.Server.ID] = true
		return c.ended(ctx, watch.result(result{outcome: dispatch.Broken, err: err, arrived: true, mayHaveRun: true}))
	}
	c.cfg.Desk.Heard(place)
	r := c.take(ctx, resp, place, watch)
	r.status = resp.StatusCode
	if r.err != nil {
		conn.Close()
		return c.ended(ctx, watch.result(r))
	}
	if stop() {
		c.cfg.Pool.Put(conn, resp)
	}
	return r
}

// mine reports whether an answer belongs to this request.
func (c *call) mine(resp *http.Response) bool {
	if resp.StatusCode < http.StatusOK {
		return false
	}
	id := resp.Header.Get(c.cfg.Headers.RequestID)
	return id == "" || id == c.id
}

// take judges an answer and passes it on.
func (c *call) take(ctx context.Context, resp *http.Response, place dispatch.Place, watch *watch) result {
	if resp.StatusCode == http.StatusMisdirectedRequest || resp.Header.Get(c.cfg.Headers.NotRun) != "" {
		return c.notRun(resp)
	}
	c.ran[place.Server.ID] = true
	r := result{outcome: dispatch.Broken, arrived: true, mayHaveRun: true}
	switch {
	case resp.Header.Get(c.cfg.Headers.Receipt) == "":
		r.err = errNoReceipt
		return r
	case resp.Header.Get("Content-Encoding") != "":
		r.err = errEncoded
		return r
	}
	if c.streams(resp) {
		return c.stream(ctx, resp, place, watch)
	}
	whole, err := readAnswer(resp)
	if err != nil {
		r.err = err
		return r
	}
	if resp.StatusCode >= http.StatusInternalServerError && c.route.Repeatable() {
		c.held = whole
		return r
	}
	if c.started {
		// A stream that has begun cannot turn into another answer.
		return r
	}
	r.outcome = dispatch.Served
	if err := c.deliver(whole); err != nil {
		r.outcome, r.err = dispatch.Ended, err
	}
	return r
}

// notRun reads the answer of a server that did not run the request.
func (c *call) notRun(resp *http.Response) result {
	r := result{outcome: dispatch.Full, arrived: true}
	if resp.StatusCode == http.StatusMisdirectedRequest {
		r.outcome = dispatch.Misdirected
	}
	_, r.err = readAnswer(resp)
	return r
}

// readAnswer reads a whole answer.
func readAnswer(resp *http.Response) (*answer, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxAnswerBytes {
		return nil, errTooLong
	}
	return &answer{status: resp.StatusCode, header: resp.Header, body: body}, nil
}

// deliver passes a whole answer on.
func (c *call) deliver(a *answer) error {
	header := c.w.Header()
	copyHeader(header, a.header)
	if c.r.Method != http.MethodHead {
		header.Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	c.started = true
	c.first = c.cfg.Clock.Now()
	c.w.WriteHeader(a.status)
	if c.r.Method == http.MethodHead {
		return nil
	}
	_, err := c.w.Write(a.body)
	c.gone = err != nil
	return err
}

// hopHeaders concern one connection only.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true,
}

// dropped returns the headers of one connection that a header names.
func dropped(h http.Header) map[string]bool {
	named := map[string]bool{}
	for _, line := range h["Connection"] {
		for _, name := range strings.Split(line, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return named
}

// copyHeader copies what is not only for one connection.
func copyHeader(to, from http.Header) {
	named := dropped(from)
	for name, values := range from {
		if !hopHeaders[name] && !named[name] {
			to[name] = values
		}
	}
	if _, ok := from["Content-Type"]; !ok {
		// A nil value keeps the server from guessing one.
		to["Content-Type"] = nil
	}
}

// head writes the request's first line and header as the server is to see it.
func (c *call) head(place dispatch.Place) string {
	names := &c.cfg.Headers
	var b strings.Builder
	b.Grow(512)
	line := func(name, value string) {
		b.WriteString(name)
		b.WriteString(": ")
		b.WriteString(value)
		b.WriteString("\r\n")
	}
	b.WriteString(c.r.Method + " " + c.r.RequestURI + " HTTP/1.1\r\n")
	line("Host", c.r.Host)
	named := dropped(c.r.Header)
	for name, values := range c.r.Header {
		if hopHeaders[name] || named[name] || c.ownHeader(name) {
			continue
		}
		for _, value := range values {
			line(name, value)
		}
	}
	if c.body != nil || c.r.Method != http.MethodGet && c.r.Method != http.MethodHead {
		line("Content-Length", strconv.Itoa(len(c.body)))
	}
	left := max(1, c.demand.Deadline.Sub(c.cfg.Clock.Now()).Milliseconds())
	line(names.Deadline, strconv.FormatInt(left, 10))
	line(names.ExpectServer, place.Server.ID)
	if c.account != nil {
		line(names.Account, c.account.Name)
	}
	if place.Version > 0 {
		line(names.ExpectVersion, strconv.Itoa(place.Version))
	}
	if c.lastEvent != "" {
		line(names.LastEvent, c.lastEvent)
	}
	b.WriteString("\r\n")
	return b.String()
}

// ownHeader reports whether this system alone sets a header.
func (c *call) ownHeader(name string) bool {
	names := &c.cfg.Headers
	switch name {
	case names.Deadline, names.ExpectServer, names.ExpectVersion, names.Account, names.LastEvent, "Authorization", "Expect":
		return true
	}
	for _, own := range names.Own {
		if name == own {
			return true
		}
	}
	return false
}

// watch closes a connection whose server falls silent, if the request can then
// be sent to another server.
type watch struct {
	call  *call
	other dispatch.Demand
	ctx   context.Context
	conn  *backend.Conn
	mu    sync.Mutex
	timer *time.Timer
	fired atomic.Bool
}

// newWatch begins to wait for the first byte of an answer.
func (c *call) newWatch(ctx context.Context, conn *backend.Conn, place dispatch.Place) *watch {
	w := &watch{call: c, ctx: ctx, conn: conn, other: c.demand}
	w.other.Tried = maps.Clone(c.demand.Tried)
	w.other.Tried[place.Server.ID] = true
	if !c.route.Repeatable() || len(c.ran)+1 >= c.route.MaxServers {
		return w
	}
	limit := silentFirst
	if c.route.Kind != catalog.KindStream {
		limit = silentFactor * c.route.Objective
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(limit, w.fire)
	return w
}

// fire ends the exchange if the request can be sent elsewhere: a silent server's
// answer may still come, which is better than none.
func (w *watch) fire() {
	desk := w.call.cfg.Desk
	switch {
	case w.ctx.Err() != nil:
		return
	case !desk.HasRoom(&w.other):
		w.again(silentAgain)
		return
	case !desk.Repeat(w.other.Service):
		return
	}
	w.fired.Store(true)
	w.conn.Close()
}

// progressed notes that the server sent something.
func (w *watch) progressed() {
	if !w.fired.Load() {
		w.again(silentBetween)
	}
}

// again sets the time to the next look, unless the watch has ended.
func (w *watch) again(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil {
		w.timer.Reset(d)
	}
}

func (w *watch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil {
		w.timer.Stop()
		w.timer = nil
	}
}

// result marks a sending that the watch ended.
func (w *watch) result(r result) result {
	if w.fired.Load() {
		r.outcome, r.err, r.repeatTaken = dispatch.Stalled, errSilent, true
	}
	return r
}
