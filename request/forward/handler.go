package forward

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/rattanway/rattanway/process/eventlog"
	"github.com/rattanway/rattanway/request/dispatch"
	"github.com/rattanway/rattanway/version/catalog"
)

// Handler is an [http.Handler] that forwards requests to backend servers.
type Handler struct {
	cfg      Config
	draining atomic.Bool
	active   atomic.Int64
	stats    stats
}

// stats holds the metrics of a [Handler].
type stats struct {
	// answered, refused, failed and left count requests by how they ended; sent
	// counts attempts.
	answered, refused, failed, left, sent metrics.Counter
	// firstByte and lastByte are the times from a request's arrival to the first and
	// the last byte of its response.
	firstByte, lastByte metrics.Timer
}

// New returns a [Handler].
func New(cfg Config) *Handler {
	count := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("requests."+name, cfg.Metrics) }
	timer := func(name string) metrics.Timer {
		return metrics.GetOrRegisterTimer("requests."+name+".nanoseconds", cfg.Metrics)
	}
	return &Handler{cfg: cfg, stats: stats{
		answered: count("answered"), refused: count("refused"), failed: count("failed"),
		left: count("left"), sent: count("sent"),
		firstByte: timer("first-byte"), lastByte: timer("whole"),
	}}
}

// Drain makes the handler close each client connection after its next response.
func (h *Handler) Drain() { h.draining.Store(true) }

// Active returns the number of requests in progress.
func (h *Handler) Active() int64 { return h.active.Load() }

// ServeHTTP implements [http.Handler].
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.active.Add(1)
	defer h.active.Add(-1)
	if h.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	c := h.newCall(w, r)
	c.setWriteTimeout(initialWriteTimeout)
	if refusal := c.resolve(); refusal != nil {
		c.refuse(refusal)
		return
	}
	if refusal := c.readBody(); refusal != nil {
		c.refuse(refusal)
		return
	}
	c.setWriteTimeout(c.dispatchReq.Deadline.Sub(c.dispatchReq.Arrived) + writeMargin)
	ctx, cancel := context.WithDeadline(r.Context(), c.dispatchReq.Deadline)
	defer cancel()
	c.run(ctx)
}

// call is the state of one client request while it is handled.
type call struct {
	*Handler
	w        http.ResponseWriter
	httpReq  *http.Request
	id       string
	snapshot *catalog.Snapshot
	route    *catalog.Route
	account  *catalog.Account
	body     []byte
	// dispatchReq is the request as the scheduler needs it.
	dispatchReq dispatch.Request

	// attempts is the number of times that the request was sent.
	attempts int
	// mayHaveRunAt holds the IDs of the servers that may have run the request.
	mayHaveRunAt map[string]bool
	// movedTo is the slot at which a stream that was moved away from its server
	// continues; nil once the request has been sent there.
	movedTo *dispatch.Slot
	// headerSent is true once the response header was written to the client.
	headerSent bool
	// clientGone is true once the response cannot be written to the client.
	clientGone bool
	// lastEventID is the ID of the last event that the client has received.
	lastEventID string
	// serverError is a server's response with a 5xx status. It is forwarded if no
	// other server gives a better response.
	serverError *response
	// firstByteAt is when the first byte of the response was written.
	firstByteAt time.Time
	// triedServers lists the IDs of the servers to which the request was sent,
	// for the log.
	triedServers []string
}

// refusal is the response to a request that was not run.
type refusal struct {
	status     int
	reason     string
	retryAfter time.Duration
}

func (h *Handler) newCall(w http.ResponseWriter, r *http.Request) *call {
	c := &call{
		Handler: h, w: w, httpReq: r, id: r.Header.Get(h.cfg.Headers.RequestID),
		snapshot: h.cfg.Holder.Current(), mayHaveRunAt: map[string]bool{},
	}
	c.dispatchReq = dispatch.Request{ID: c.id, Arrived: h.cfg.Clock.Now(), Tried: map[string]bool{}}
	c.lastEventID = r.Header.Get(h.cfg.Headers.LastEvent)
	return c
}

// setWriteTimeout limits the time for writing the response, so that a client that
// does not read it cannot block the request.
func (c *call) setWriteTimeout(d time.Duration) {
	if err := http.NewResponseController(c.w).SetWriteDeadline(time.Now().Add(d)); err != nil {
		c.clientGone = true
	}
}

// resolve determines the route, the client account and the scheduling
// requirements of the request, or returns a refusal.
func (c *call) resolve() *refusal {
	if !c.snapshot.Complete() {
		return &refusal{http.StatusServiceUnavailable, "configuration not known yet", retryAfterUnready}
	}
	path, _, _ := strings.Cut(c.httpReq.RequestURI, "?")
	c.route = c.snapshot.Route(c.httpReq.Host, path)
	if c.route == nil {
		return &refusal{status: http.StatusNotFound, reason: "no route"}
	}
	if refusal := c.authenticate(); refusal != nil {
		return refusal
	}
	c.fillDispatchReq()
	return nil
}

// authenticate sets the client account to the one with the request's key, or
// returns a refusal if there is none and the route needs one.
func (c *call) authenticate() *refusal {
	if !c.snapshot.Config.AccountsDeclared {
		return nil
	}
	key, ok := strings.CutPrefix(c.httpReq.Header.Get("Authorization"), c.cfg.Headers.KeyScheme)
	if ok {
		c.account = c.snapshot.Account(strings.TrimSpace(key))
	}
	if c.account == nil && !c.route.AllowAnonymous {
		return &refusal{status: http.StatusUnauthorized, reason: "no account has this key"}
	}
	return nil
}

// fillDispatchReq fills in the request for the scheduler. The deadline is the
// earlier of the route's timeout and the client's deadline.
func (c *call) fillDispatchReq() {
	req := &c.dispatchReq
	req.Service = c.chooseService()
	req.Model = c.httpReq.Header.Get(c.cfg.Headers.Model)
	req.RouteRegions = c.route.Regions
	req.Priority = c.route.Priority
	req.Work = c.estimateWork()
	req.Objective = c.route.FirstByteObjective
	if c.account != nil {
		req.AccountRegions = c.account.Regions
		if c.account.Priority != nil {
			req.Priority = *c.account.Priority
		}
	}
	left := c.route.Timeout
	if ms, err := strconv.ParseFloat(c.httpReq.Header.Get(c.cfg.Headers.Deadline), 64); err == nil && ms > 0 {
		left = min(left, time.Duration(ms*float64(time.Millisecond)))
	}
	req.Deadline = req.Arrived.Add(left)
}

// estimateWork estimates the cost of the request for a server from the token
// counts in its headers. The estimate only orders waiting requests; the work
// of a request without token counts is 0.
func (c *call) estimateWork() float64 {
	prompt, maxAnswer, _ := strings.Cut(c.httpReq.Header.Get(c.cfg.Headers.Tokens), ",")
	answer := c.httpReq.Header.Get(c.cfg.Headers.AnswerTokens)
	if answer == "" {
		answer = maxAnswer
	}
	return parseTokens(prompt) + answerTokenWork*parseTokens(answer)
}

// parseTokens parses a number of tokens. It returns 0 if the number is missing or
// invalid.
func parseTokens(s string) float64 {
	n, err := strconv.ParseFloat(strings.TrimSpace(s), 64)
	if err != nil || !(n > 0) {
		return 0
	}
	return n
}

// chooseService chooses one of the route's services at random, with a probability
// proportional to its weight.
func (c *call) chooseService() string {
	total := 0
	for _, t := range c.route.Targets {
		total += t.Weight
	}
	if total <= 0 {
		return c.route.Targets[0].Service
	}
	n := rand.IntN(total)
	for _, t := range c.route.Targets {
		if n -= t.Weight; n < 0 {
			return t.Service
		}
	}
	return c.route.Targets[0].Service
}

// readBody reads the complete body, so that the request can be sent again.
func (c *call) readBody() *refusal {
	limit := c.snapshot.Config.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if c.httpReq.ContentLength > limit {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body too large"}
	}
	if c.httpReq.ContentLength == 0 {
		return nil
	}
	body, err := io.ReadAll(io.LimitReader(c.httpReq.Body, limit+1))
	if err != nil {
		return &refusal{status: http.StatusRequestTimeout, reason: "body not received: " + err.Error()}
	}
	if int64(len(body)) > limit {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body too large"}
	}
	c.body = body
	return nil
}

// refuse sends the response to a request that has not run.
func (c *call) refuse(r *refusal) {
	header := c.w.Header()
	if c.id != "" {
		header.Set(c.cfg.Headers.RequestID, c.id)
	}
	if r.retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(r.retryAfter.Seconds(), 'f', 3, 64))
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	c.w.WriteHeader(r.status)
	if _, err := io.WriteString(c.w, r.reason+"\n"); err != nil {
		c.logEvent(eventClientLeft, eventlog.Fields{"reason": "client closed the connection during a refusal"})
		return
	}
	c.stats.refused.Inc(1)
	c.logEvent(eventRefused, eventlog.Fields{"status": r.status, "reason": r.reason, "retryAfterMs": r.retryAfter.Milliseconds()})
}

// logEvent logs an event with the fields of the request.
func (c *call) logEvent(e eventlog.Event, f eventlog.Fields) {
	f["request"] = c.id
	f["ms"] = c.cfg.Clock.Now().Sub(c.dispatchReq.Arrived).Milliseconds()
	if c.snapshot.Config != nil {
		f["config"] = c.snapshot.Config.Version
	}
	if c.route != nil {
		f["route"], f["service"] = c.route.Name, c.dispatchReq.Service
	}
	if c.account != nil {
		f["account"] = c.account.Name
	}
	if len(c.triedServers) > 0 {
		f["servers"], f["sends"] = c.triedServers, c.attempts
	}
	c.cfg.Log.Event(e, f)
}

// errNoRetry is returned, wrapped with the reason, when the request must not be
// sent again.
var errNoRetry = errors.New("no further sending")
