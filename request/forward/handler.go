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

// Handler relays requests. It implements http.Handler.
type Handler struct {
	cfg      Config
	draining atomic.Bool
	active   atomic.Int64
	meters   meters
}

// meters are the counters and latencies of a Handler.
type meters struct {
	answered, refused, failed, left, sent metrics.Counter
	firstByte, whole                      metrics.Timer
}

// New returns a Handler.
func New(cfg Config) *Handler {
	count := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("requests."+name, cfg.Metrics) }
	timer := func(name string) metrics.Timer {
		return metrics.GetOrRegisterTimer("requests."+name+".nanoseconds", cfg.Metrics)
	}
	return &Handler{cfg: cfg, meters: meters{
		answered: count("answered"), refused: count("refused"), failed: count("failed"),
		left: count("left"), sent: count("sent"),
		firstByte: timer("first-byte"), whole: timer("whole"),
	}}
}

// Drain makes every further answer close its connection.
func (h *Handler) Drain() { h.draining.Store(true) }

// Active returns the number of requests that are being answered.
func (h *Handler) Active() int64 { return h.active.Load() }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.active.Add(1)
	defer h.active.Add(-1)
	if h.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	c := h.newCall(w, r)
	c.limitWriting(maxAnswering)
	if refusal := c.judge(); refusal != nil {
		c.refuse(refusal)
		return
	}
	if refusal := c.readBody(); refusal != nil {
		c.refuse(refusal)
		return
	}
	c.limitWriting(c.demand.Deadline.Sub(c.demand.Arrived) + writeMargin)
	ctx, cancel := context.WithDeadline(r.Context(), c.demand.Deadline)
	defer cancel()
	c.run(ctx)
}

// call is one request of a client.
type call struct {
	*Handler
	w        http.ResponseWriter
	r        *http.Request
	id       string
	snapshot *catalog.Snapshot
	route    *catalog.Route
	account  *catalog.Account
	body     []byte
	demand   dispatch.Demand

	// sends counts sendings, ran the servers that may have run the request.
	sends int
	ran   map[string]bool
	// moved is the place at which a stream goes on that left its server.
	moved *dispatch.Place
	// started says that the answer's header has been passed on.
	started bool
	// gone says that the client does not take its answer.
	gone bool
	// lastEvent is the newest event that was passed on whole.
	lastEvent string
	// held is a server's own failure, to be passed on when nothing better
	// comes.
	held *answer
	// first is when the first byte of the answer was passed on.
	first time.Time
	// servers lists where the request was sent, for the log.
	servers []string
}

// refusal is an answer of our own.
type refusal struct {
	status     int
	reason     string
	retryAfter time.Duration
}

func (h *Handler) newCall(w http.ResponseWriter, r *http.Request) *call {
	c := &call{
		Handler: h, w: w, r: r, id: r.Header.Get(h.cfg.Headers.RequestID),
		snapshot: h.cfg.Holder.Current(), ran: map[string]bool{},
	}
	c.demand = dispatch.Demand{ID: c.id, Arrived: h.cfg.Clock.Now(), Tried: map[string]bool{}}
	c.lastEvent = r.Header.Get(h.cfg.Headers.LastEvent)
	return c
}

// limitWriting bounds how long a client that does not read holds the request.
func (c *call) limitWriting(d time.Duration) {
	if err := http.NewResponseController(c.w).SetWriteDeadline(time.Now().Add(d)); err != nil {
		c.gone = true
	}
}

// judge finds the route and the account, or refuses the request.
func (c *call) judge() *refusal {
	if !c.snapshot.Complete() {
		return &refusal{http.StatusServiceUnavailable, "configuration not known yet", returnUnready}
	}
	path, _, _ := strings.Cut(c.r.RequestURI, "?")
	c.route = c.snapshot.Route(c.r.Host, path)
	if c.route == nil {
		return &refusal{status: http.StatusNotFound, reason: "no route"}
	}
	if refusal := c.authenticate(); refusal != nil {
		return refusal
	}
	c.fillDemand()
	return nil
}

// authenticate finds the account that holds the request's key.
func (c *call) authenticate() *refusal {
	if !c.snapshot.Config.AccountsDeclared {
		return nil
	}
	key, ok := strings.CutPrefix(c.r.Header.Get("Authorization"), c.cfg.Headers.KeyScheme)
	if ok {
		c.account = c.snapshot.Account(strings.TrimSpace(key))
	}
	if c.account == nil && !c.route.Anonymous {
		return &refusal{status: http.StatusUnauthorized, reason: "no account has this key"}
	}
	return nil
}

// fillDemand states what the request needs.
func (c *call) fillDemand() {
	q := &c.demand
	q.Service = c.chooseService()
	q.Model = c.r.Header.Get(c.cfg.Headers.Model)
	q.RouteRegions = c.route.Regions
	q.Rank = c.route.Priority
	q.Work = c.work()
	q.Objective = c.route.Objective
	if c.account != nil {
		q.AccountRegions = c.account.Regions
		if c.account.Priority != nil {
			q.Rank = *c.account.Priority
		}
	}
	left := c.route.Timeout
	if ms, err := strconv.ParseFloat(c.r.Header.Get(c.cfg.Headers.Deadline), 64); err == nil && ms > 0 {
		left = min(left, time.Duration(ms*float64(time.Millisecond)))
	}
	q.Deadline = q.Arrived.Add(left)
}

// work estimates what the request costs a server from what its client says. It
// only orders requests, so one that says nothing counts as small.
func (c *call) work() float64 {
	prompt, most, _ := strings.Cut(c.r.Header.Get(c.cfg.Headers.Tokens), ",")
	answer := c.r.Header.Get(c.cfg.Headers.AnswerTokens)
	if answer == "" {
		answer = most
	}
	return tokens(prompt) + answerWeight*tokens(answer)
}

// tokens reads a number of tokens; one that is not given, or not a number,
// counts as 0.
func tokens(s string) float64 {
	n, err := strconv.ParseFloat(strings.TrimSpace(s), 64)
	if err != nil || !(n > 0) {
		return 0
	}
	return n
}

// chooseService picks one of the route's services by their weights.
func (c *call) chooseService() string {
	sum := 0
	for _, t := range c.route.Targets {
		sum += t.Weight
	}
	if sum <= 0 {
		return c.route.Targets[0].Service
	}
	n := rand.IntN(sum)
	for _, t := range c.route.Targets {
		if n -= t.Weight; n < 0 {
			return t.Service
		}
	}
	return c.route.Targets[0].Service
}

// readBody reads the whole body, so that the request can be sent again.
func (c *call) readBody() *refusal {
	limit := c.snapshot.Config.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if c.r.ContentLength > limit {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body too large"}
	}
	if c.r.ContentLength == 0 {
		return nil
	}
	body, err := io.ReadAll(io.LimitReader(c.r.Body, limit+1))
	if err != nil {
		return &refusal{status: http.StatusRequestTimeout, reason: "body not received: " + err.Error()}
	}
	if int64(len(body)) > limit {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body too large"}
	}
	c.body = body
	return nil
}

// refuse answers a request that has not run.
func (c *call) refuse(f *refusal) {
	header := c.w.Header()
	if c.id != "" {
		header.Set(c.cfg.Headers.RequestID, c.id)
	}
	if f.retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(f.retryAfter.Seconds(), 'f', 3, 64))
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	c.w.WriteHeader(f.status)
	if _, err := io.WriteString(c.w, f.reason+"\n"); err != nil {
		c.note(eventLeft, eventlog.Fields{"reason": "client closed during a refusal"})
		return
	}
	c.meters.refused.Inc(1)
	c.note(eventRefused, eventlog.Fields{"status": f.status, "reason": f.reason, "retryAfterMs": f.retryAfter.Milliseconds()})
}

// note writes one line about the request.
func (c *call) note(e eventlog.Event, f eventlog.Fields) {
	f["request"] = c.id
	f["ms"] = c.cfg.Clock.Now().Sub(c.demand.Arrived).Milliseconds()
	if c.snapshot.Config != nil {
		f["config"] = c.snapshot.Config.Version
	}
	if c.route != nil {
		f["route"], f["service"] = c.route.Name, c.demand.Service
	}
	if c.account != nil {
		f["account"] = c.account.Name
	}
	if len(c.servers) > 0 {
		f["servers"], f["sends"] = c.servers, c.sends
	}
	c.cfg.Log.Event(e, f)
}

// errStop ends the sending of a request.
var errStop = errors.New("no further sending")
