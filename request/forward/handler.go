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
	"github.com/rattanway/rattanway/request/intake"
	"github.com/rattanway/rattanway/version/catalog"
)

// Handler is an [http.Handler] that forwards requests to backend servers.
type Handler struct {
	cfg         Config
	activeCount atomic.Int64
	stats       stats
	// bodyParts limits the memory for response bodies that are read completely.
	bodyParts bodyParts
	endChecks endChecks
	// stop is the planned stop of the process; nil before BeginStop. ending ends at
	// Stop.AnswerAt.
	stop   atomic.Pointer[Stop]
	ending context.Context
	end    context.CancelFunc
	// durations are those of the complete responses, by route.
	durations usualDurations
}

// stats holds the metrics of a [Handler].
type stats struct {
	// answered, refused, failed and clientLeft count the requests by how they ended.
	// attempts counts the attempts at servers.
	answered, refused, failed, clientLeft, attempts metrics.Counter
	// serversEnded counts the servers that were found to have ended while they ran
	// requests.
	serversEnded metrics.Counter
	// firstByte measures the time from the arrival of a request to the first byte of
	// the response, and lastByte the time to the last byte. Only requests with a
	// complete response are measured.
	firstByte, lastByte metrics.Timer
}

// New returns a [Handler] whose metrics are registered in cfg.Metrics.
func New(cfg Config) *Handler {
	count := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("requests."+name, cfg.Metrics) }
	timer := func(name string) metrics.Timer {
		return metrics.GetOrRegisterTimer("requests."+name+".nanoseconds", cfg.Metrics)
	}
	ending, end := context.WithCancel(context.Background())
	if cfg.Intake == nil {
		cfg.Intake = intake.NewBudget(0, cfg.Log, cfg.Clock, cfg.Metrics)
	}
	return &Handler{cfg: cfg, ending: ending, end: end, durations: newUsualDurations(), endChecks: endChecks{running: map[string]*endCheck{}}, stats: stats{
		answered: count("answered"), refused: count("refused"), failed: count("failed"),
		clientLeft: count("left"), attempts: count("sent"),
		serversEnded: metrics.GetOrRegisterCounter("servers.ended", cfg.Metrics),
		firstByte:    timer("first-byte"), lastByte: timer("whole"),
	}}
}

// ActiveCount returns the number of requests in progress.
func (h *Handler) ActiveCount() int64 { return h.activeCount.Load() }

// ServeHTTP implements [http.Handler].
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.activeCount.Add(1)
	defer h.activeCount.Add(-1)
	if h.stop.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	c := h.newCall(w, r)
	defer c.body.Release()
	c.setWriteTimeout(initialWriteTimeout)
	if refusal := c.resolve(); refusal != nil {
		c.refuse(refusal)
		return
	}
	if refusal := c.readBody(); refusal != nil {
		c.refuse(refusal)
		return
	}
	c.dispatchReq.PromptParts = append(c.dispatchReq.PromptParts, c.wholeRequest())
	if !c.mayBegin() {
		c.refuse(c.refusalOfStop())
		return
	}
	c.setWriteTimeout(c.dispatchReq.Deadline.Sub(c.dispatchReq.ArrivedAt) + writeMargin)
	ctx, cancel := context.WithDeadline(r.Context(), c.dispatchReq.Deadline)
	defer cancel()
	defer context.AfterFunc(h.ending, cancel)()
	defer c.releaseBodies()
	c.run(ctx)
}

// call is the state of one client request while it is handled.
type call struct {
	*Handler
	w       http.ResponseWriter
	httpReq *http.Request
	// requestID is the request ID that the client has set; empty if there is none.
	requestID string
	snapshot  *catalog.Snapshot
	route     *catalog.Route
	account   *catalog.Account
	body      intake.Body
	// bodyReadAt is when the body had been read completely; zero before that.
	bodyReadAt time.Time
	// dispatchReq is the description of the request for the scheduler.
	dispatchReq dispatch.Request
	// sentPriority is the priority that servers are told; empty if they are told none.
	sentPriority string

	// attemptCount is the number of attempts at servers so far.
	attemptCount int
	// mayHaveRunAt holds the IDs of the servers that may have run the request.
	mayHaveRunAt map[string]bool
	// nextHedge is the hedge with which the request goes on; nil if there is none, or the
	// request goes on with it already.
	nextHedge *hedge
	// headerSent is true once the response header has been written to the client.
	headerSent bool
	// resumed is true while a stream goes on that another attempt has begun.
	resumed bool
	// clientGone is true once a write to the client has failed, or setting the time
	// limit for writes has failed.
	clientGone bool
	// lastEventID is the ID of the last event that the client has received; empty if
	// there is none. Initially it is the ID in the client's request.
	lastEventID string
	// serverError is the last response with a 5xx status to a repeatable request;
	// nil if there was none. It is forwarded if no server gives a response without a
	// 5xx status.
	serverError *response
	// readAhead is the response of the hedge with which the request goes on, if it has been
	// read completely; nil once it has been used.
	readAhead *response
	// heldParts are the parts of response bodies that the call has read.
	heldParts [][]byte
	// firstByteAt is when the response header was written to the client; zero before
	// that.
	firstByteAt time.Time
	// lastWriteAt is when an event of a stream was last written to the client.
	lastWriteAt time.Time
	// attemptServers lists the ID of the server of each attempt, for the log.
	attemptServers []string
}

// refusal is the response to a request that no server has run.
type refusal struct {
	status int
	// reason is the text in the body of the response.
	reason string
	// retryAfter is the Retry-After value; 0 if there is none.
	retryAfter time.Duration
}

func (h *Handler) newCall(w http.ResponseWriter, r *http.Request) *call {
	c := &call{
		Handler: h, w: w, httpReq: r, requestID: r.Header.Get(h.cfg.Headers.RequestID),
		snapshot: h.cfg.Holder.Current(), mayHaveRunAt: map[string]bool{},
	}
	c.dispatchReq = dispatch.Request{ID: c.requestID, ArrivedAt: h.cfg.Clock.Now(), TriedServers: map[string]bool{}}
	c.lastEventID = r.Header.Get(h.cfg.Headers.LastEventID)
	return c
}

// setWriteTimeout limits the time for writing the response, so that a client that
// does not read the response cannot block the handler.
func (c *call) setWriteTimeout(d time.Duration) {
	if err := http.NewResponseController(c.w).SetWriteDeadline(time.Now().Add(d)); err != nil {
		c.clientGone = true
	}
}

// resolve determines the route, the client account and the scheduling
// requirements of the request. It returns a refusal if the request must not be
// forwarded, and otherwise nil.
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

// authenticate sets c.account to the client account with the key of the request.
// If no account has this key, it returns a refusal, unless the route allows
// anonymous requests. It does nothing if the configuration declares no accounts.
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

// fillDispatchReq fills in the description of the request for the scheduler. The
// deadline is the end of the route's timeout, or the client's deadline if that is
// earlier.
func (c *call) fillDispatchReq() {
	req := &c.dispatchReq
	req.Service = c.chooseService()
	req.Model = c.httpReq.Header.Get(c.cfg.Headers.Model)
	req.Route, req.RouteRegions, req.Config = c.route.Name, c.route.Regions, c.snapshot.Config
	req.Priority = c.route.Priority
	req.Work = c.estimateWork()
	prompt, _, _ := strings.Cut(c.httpReq.Header.Get(c.cfg.Headers.Tokens), ",")
	req.PromptTokens = parseTokens(prompt)
	req.PromptParts = sharedPromptParts(req.Model, c.httpReq.Header.Get(c.cfg.Headers.PromptParts))
	req.FirstByteObjective = c.route.FirstByteObjective
	if c.account != nil {
		req.Account, req.AccountRegions = c.account.Name, c.account.Regions
		if c.account.Priority != nil {
			req.Priority = *c.account.Priority
		}
	}
	remaining := c.route.Timeout
	if ms, err := strconv.ParseFloat(c.httpReq.Header.Get(c.cfg.Headers.Deadline), 64); err == nil && ms > 0 {
		remaining = min(remaining, time.Duration(ms*float64(time.Millisecond)))
	}
	req.Deadline = req.ArrivedAt.Add(remaining)
	var accountPriority *int
	if c.account != nil {
		accountPriority = c.account.Priority
	}
	if priority, ok := c.cfg.Scheduler.PriorityOf(req.Service, accountPriority, c.route.Priority); ok {
		req.Priority = priority
		if c.cfg.Headers.Priority != "" {
			c.sentPriority = strconv.Itoa(min(maxSentPriority, priority))
		}
	}
}

// estimateWork estimates the cost of the request for a server, in prompt tokens,
// from the token counts in the request's headers. It returns 0 if there are no
// token counts. The estimate is used only to order waiting requests.
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

// chooseService chooses one of the route's services at random. The probability of
// a service is proportional to its weight in the route.
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

// readBody reads the complete body into c.body, so that the request can be sent
// more than once. It returns a refusal if this fails, or if it takes until the deadline of
// the request or the end of the process's stop.
func (c *call) readBody() *refusal {
	limit := c.snapshot.Config.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxRequestBodyBytes
	}
	limit = min(limit, c.cfg.Intake.MaxBodyBytes())
	if c.httpReq.ContentLength > limit {
		return c.refusalOfBody(intake.ErrTooLarge)
	}
	if c.httpReq.ContentLength == 0 {
		return nil
	}
	conn := http.NewResponseController(c.w)
	if err := conn.SetReadDeadline(time.Now().Add(c.dispatchReq.Deadline.Sub(c.cfg.Clock.Now()))); err != nil {
		return &refusal{status: http.StatusRequestTimeout, reason: "limit the time for the body: " + err.Error()}
	}
	giveUp := func() { _ = conn.SetReadDeadline(time.Unix(1, 0)) } // if this fails, the connection has ended
	defer context.AfterFunc(c.ending, giveUp)()
	err := c.cfg.Intake.Read(&c.body, c.httpReq.Body, c.httpReq.ContentLength, limit, giveUp)
	if err == nil {
		err = conn.SetReadDeadline(time.Time{})
	}
	if err != nil {
		return c.refusalOfBody(err)
	}
	c.bodyReadAt = c.cfg.Clock.Now()
	return nil
}

// refusalOfBody returns the refusal of a request whose body was not read because of err. The
// rest of the body may not come to an end, so the connection is closed after the refusal.
func (c *call) refusalOfBody(err error) *refusal {
	c.w.Header().Set("Connection", "close")
	ended, slow := intake.Ended(err)
	switch {
	case errors.Is(err, intake.ErrTooLarge):
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: err.Error()}
	case c.ended():
		return c.refusalOfStop()
	case errors.Is(err, intake.ErrFull), ended && !slow:
		return &refusal{http.StatusServiceUnavailable, err.Error(), intake.RetryAfter}
	}
	return &refusal{status: http.StatusRequestTimeout, reason: "body not received: " + err.Error()}
}

// limitUnreadBody limits the time for which the HTTP server reads the rest of a body that the
// handler has not read. Without it, a client that does not send the rest would keep the
// connection for ever.
func (c *call) limitUnreadBody() {
	if c.httpReq.ContentLength == 0 || !c.bodyReadAt.IsZero() {
		return
	}
	// If this fails, the connection has ended.
	_ = http.NewResponseController(c.w).SetReadDeadline(time.Now().Add(unreadBodyTimeout))
}

// refuse sends the response to a request that no server has run, and counts and
// logs it.
func (c *call) refuse(r *refusal) {
	header := c.w.Header()
	if c.requestID != "" {
		header.Set(c.cfg.Headers.RequestID, c.requestID)
	}
	if r.retryAfter > 0 {
		header.Set(c.cfg.Headers.RetryAfter, strconv.FormatFloat(r.retryAfter.Seconds(), 'f', 3, 64))
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	c.limitUnreadBody()
	c.w.WriteHeader(r.status)
	if _, err := io.WriteString(c.w, r.reason+"\n"); err != nil {
		c.logEvent(eventClientLeft, eventlog.Fields{"reason": "client closed the connection during a refusal"})
		return
	}
	c.stats.refused.Inc(1)
	c.logEvent(eventRefused, eventlog.Fields{"status": r.status, "reason": r.reason, "retryAfterMs": r.retryAfter.Milliseconds()})
}

// logEvent logs an event with the fields of the request. bodyMs is the time from the
// head to the end of the body, and stopMs the time since the process began to stop.
func (c *call) logEvent(e eventlog.Event, f eventlog.Fields) {
	f["request"] = c.requestID
	f["ms"] = c.cfg.Clock.Now().Sub(c.dispatchReq.ArrivedAt).Milliseconds()
	if c.snapshot.Config != nil {
		f["config"] = c.snapshot.Config.Version
	}
	if c.route != nil {
		f["route"], f["service"] = c.route.Name, c.dispatchReq.Service
	}
	if c.account != nil {
		f["account"] = c.account.Name
	}
	if !c.bodyReadAt.IsZero() {
		f["bodyMs"] = c.bodyReadAt.Sub(c.dispatchReq.ArrivedAt).Milliseconds()
	}
	if stop := c.stop.Load(); stop != nil {
		f["stopMs"] = c.cfg.Clock.Now().Sub(stop.BegunAt).Milliseconds()
	}
	if len(c.attemptServers) > 0 {
		f["servers"], f["sends"] = c.attemptServers, c.attemptCount
	}
	c.cfg.Log.Event(e, f)
}

// errNoRetry means that the request must not be sent again. It is returned
// wrapped with the reason.
var errNoRetry = errors.New("no further sending")
