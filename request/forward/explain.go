package forward

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/rattanway/rattanway/request/dispatch"
	"github.com/rattanway/rattanway/version/catalog"
)

// ExplainPath is the path at which an entry instance explains where a request would go.
const ExplainPath = "/internal/explain"

// maxExplainBytes limits the size of a question to an [Explainer].
const maxExplainBytes = 64 << 10

// ExplainQuestion describes a request whose way is to be explained. The fields in
// milliseconds and numbers of tokens are 0 if the request has none.
type ExplainQuestion struct {
	Method string `json:"method,omitempty"`
	Host   string `json:"host"`
	// Path is the path, with the query if there is one.
	Path string `json:"path"`
	// Account is the name of the client account, or Key one of its keys; at most one is set.
	Account string `json:"account,omitempty"`
	Key     string `json:"key,omitempty"`
	// Service is the target of the route to explain; empty for the one with most requests.
	Service string `json:"service,omitempty"`
	Model   string `json:"model,omitempty"`
	// PromptTokens, AnswerTokens, PromptParts and DeadlineMs are what the headers of the
	// request would say.
	PromptTokens float64 `json:"promptTokens,omitempty"`
	AnswerTokens float64 `json:"answerTokens,omitempty"`
	PromptParts  string  `json:"promptParts,omitempty"`
	DeadlineMs   float64 `json:"deadlineMs,omitempty"`
}

// ExplainAnswer tells what an entry instance would do with a request, and why. Times are in
// milliseconds.
type ExplainAnswer struct {
	At time.Time `json:"at"`
	// DataCentre is that of the entry instance, and ConfigVersion the version of the
	// operators' configuration in force there.
	DataCentre    string `json:"dataCentre"`
	ConfigVersion int64  `json:"config,omitempty"`
	// Route is the route that matches; nil if none does.
	Route *ExplainedRoute `json:"route,omitempty"`
	// Account is the name of the client account; empty if there is none.
	Account        string   `json:"account,omitempty"`
	AccountRegions []string `json:"accountRegions,omitempty"`
	// Priority is that by which the request is ordered; 0 is the most urgent.
	Priority int             `json:"priority"`
	Limits   ExplainedLimits `json:"limits"`
	Service  string          `json:"service,omitempty"`
	Model    string          `json:"model,omitempty"`
	// MinWeights is the oldest version of the weights that may be used.
	MinWeights int `json:"minWeights,omitempty"`
	// Waiting is the number of requests of the service that wait, and Ahead that of those
	// which go first. Reserved is the number of slots of each server that the request must
	// leave to more urgent ones.
	Waiting  int               `json:"waiting"`
	Ahead    int               `json:"ahead"`
	Reserved int               `json:"reserved"`
	Servers  []ExplainedServer `json:"servers"`
	Outcome  ExplainedOutcome  `json:"outcome"`
}

// ExplainedRoute is a route.
type ExplainedRoute struct {
	Name    string            `json:"name"`
	Host    string            `json:"host"`
	Prefix  string            `json:"prefix"`
	Kind    catalog.Kind      `json:"kind"`
	Targets []ExplainedTarget `json:"targets"`
	Regions []string          `json:"regions,omitempty"`
}

// ExplainedTarget is a service of a route and its weight.
type ExplainedTarget struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// ExplainedLimits are the declared limits that apply to the request; 0 where none is declared.
type ExplainedLimits struct {
	HeaderBytes int64 `json:"headerBytes"`
	BodyBytes   int64 `json:"bodyBytes"`
	// TimeMs is the time within which the response must end, and FirstByteMs the objective for
	// the first byte.
	TimeMs      int64 `json:"timeMs"`
	FirstByteMs int64 `json:"firstByteMs"`
	// MaxServers is the number of servers that may run the request.
	MaxServers int `json:"maxServers"`
	// ColdPerSecond is the number of requests per second that a cold server takes.
	ColdPerSecond float64 `json:"coldPerSecond"`
}

// ExplainedServer is a listed server of the service.
type ExplainedServer struct {
	ID         string `json:"id"`
	Addr       string `json:"addr"`
	DataCentre string `json:"dataCentre"`
	Remote     bool   `json:"remote"`
	// ExpectedMs is the expected time to the first event; 0 without an estimate.
	ExpectedMs float64 `json:"expectedMs"`
	Running    int     `json:"running"`
	Limit      int     `json:"limit"`
	// Weights is the version of the model's weights there; 0 if there are none.
	Weights int `json:"weights"`
	// Penalty is the number of requests that are added to its load because it fails often.
	Penalty float64 `json:"penalty,omitempty"`
	// PausedMs is the rest of a pause that the server has asked for.
	PausedMs int64 `json:"pausedMs,omitempty"`
	// Chosen is true for the server that the request would be sent to. Excluded is why it
	// would not go there; empty if it could.
	Chosen   bool   `json:"chosen"`
	Excluded string `json:"excluded,omitempty"`
}

// ExplainedOutcome is what would become of the request.
type ExplainedOutcome struct {
	Decision dispatch.Decision `json:"decision"`
	// Server is the ID of the server to which it would be sent.
	Server string `json:"server,omitempty"`
	// MaxWaitMs is how long it would wait for a slot.
	MaxWaitMs int64 `json:"maxWaitMs,omitempty"`
	// Status, Reason and the bounds of Retry-After are those of the refusal, if it is refused
	// at once or gets no slot while it waits.
	Status          int    `json:"status,omitempty"`
	Reason          string `json:"reason,omitempty"`
	MinRetryAfterMs int64  `json:"minRetryAfterMs,omitempty"`
	MaxRetryAfterMs int64  `json:"maxRetryAfterMs,omitempty"`
}

// Explainer is an [http.Handler] that answers an [ExplainQuestion] in JSON with an
// [ExplainAnswer], and a wrong question with status 400. It sends nothing, and changes,
// counts and logs nothing.
type Explainer struct {
	handler    *Handler
	dataCentre string
	// mu lets one question be answered at a time: each copies the state of the scheduler.
	mu sync.Mutex
}

// NewExplainer returns an [Explainer] of the decisions of h, which is in a data centre.
func NewExplainer(h *Handler, dataCentre string) *Explainer {
	return &Explainer{handler: h, dataCentre: dataCentre}
}

// ServeHTTP implements [http.Handler].
func (e *Explainer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var q ExplainQuestion
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxExplainBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&q); err != nil {
		http.Error(w, "question: "+err.Error(), http.StatusBadRequest)
		return
	}
	answer, err := e.Explain(q)
	if err != nil {
		http.Error(w, "question: "+err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// If this fails, the operator has left.
	_ = json.NewEncoder(w).Encode(answer)
}

// Explain answers a question. The error says what is wrong with it, and never contains a key.
func (e *Explainer) Explain(q ExplainQuestion) (*ExplainAnswer, error) {
	if err := q.check(); err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	// What the call does with the copy of the scheduler changes nothing in the one in use.
	cfg := e.handler.cfg
	cfg.Scheduler = cfg.Scheduler.Copy()
	copied := &Handler{cfg: cfg}
	copied.stop.Store(e.handler.stop.Load())
	httpReq, err := q.httpRequest(&cfg)
	if err != nil {
		return nil, err
	}
	c := copied.newCall(nil, httpReq)
	answer := &ExplainAnswer{At: c.dispatchReq.ArrivedAt, DataCentre: e.dataCentre, Servers: []ExplainedServer{}}
	refusal := c.resolve()
	if refusal == nil {
		err = c.chooseTarget(q.Service)
	}
	if err != nil {
		return nil, err
	}
	answer.addRequest(c)
	if refusal == nil {
		c.dispatchReq.PromptParts = append(c.dispatchReq.PromptParts, c.wholeRequest())
		answer.addDispatch(cfg.Scheduler.Explain(&c.dispatchReq))
		if stop := c.stop.Load(); stop != nil && !stop.mayBegin(answer.At, c.dispatchReq.Deadline, e.handler.durations.usual(c.route.Name)) {
			refusal = c.refusalOfStop()
		}
	}
	if refusal != nil {
		answer.refuse(refusal)
	}
	return answer, nil
}

// check returns an error that names the first invalid value.
func (q *ExplainQuestion) check() error {
	switch {
	case q.Host == "":
		return errors.New("host is missing")
	case !strings.HasPrefix(q.Path, "/"):
		return errors.Errorf("path %q does not begin with a slash", q.Path)
	case q.Account != "" && q.Key != "":
		return errors.New("account and key are both given; one of them says who sends the request")
	}
	for name, n := range map[string]float64{"promptTokens": q.PromptTokens, "answerTokens": q.AnswerTokens, "deadlineMs": q.DeadlineMs} {
		if n < 0 {
			return errors.Errorf("%s is %v, allowed are numbers from 0", name, n)
		}
	}
	return nil
}

// httpRequest returns the head of the request that a client would send.
func (q *ExplainQuestion) httpRequest(cfg *Config) (*http.Request, error) {
	r := &http.Request{Method: q.Method, Host: q.Host, RequestURI: q.Path, Header: http.Header{}}
	if r.Method == "" {
		r.Method = http.MethodPost
	}
	key := q.Key
	if q.Account != "" {
		var err error
		if key, err = keyOf(cfg.Holder.Current(), q.Account); err != nil {
			return nil, err
		}
	}
	set := func(name, value string) {
		if name != "" && value != "" {
			r.Header.Set(name, value)
		}
	}
	if key != "" {
		set("Authorization", cfg.Headers.KeyScheme+key)
	}
	set(cfg.Headers.Model, q.Model)
	set(cfg.Headers.PromptParts, q.PromptParts)
	if q.PromptTokens > 0 {
		set(cfg.Headers.Tokens, formatNumber(q.PromptTokens))
	}
	if q.AnswerTokens > 0 {
		set(cfg.Headers.AnswerTokens, formatNumber(q.AnswerTokens))
	}
	if q.DeadlineMs > 0 {
		set(cfg.Headers.Deadline, formatNumber(q.DeadlineMs))
	}
	return r, nil
}

func formatNumber(n float64) string { return strconv.FormatFloat(n, 'f', -1, 64) }

// keyOf returns a key of the client account with a name.
func keyOf(snapshot *catalog.Snapshot, name string) (string, error) {
	if !snapshot.Complete() {
		return "", errors.New("the configuration is not known yet, so no client account is")
	}
	for i := range snapshot.Config.Accounts {
		if account := &snapshot.Config.Accounts[i]; account.Name == name {
			if len(account.Keys) == 0 {
				return "", errors.Errorf("client account %q has no key", name)
			}
			return account.Keys[0], nil
		}
	}
	return "", errors.Errorf("no client account is named %q", name)
}

// chooseTarget makes a service of the route the one that runs the request: the one with the
// given name, or the one with the largest weight if that is empty.
func (c *call) chooseTarget(service string) error {
	best := -1
	for i, target := range c.route.Targets {
		if target.Service == service || service == "" && (best < 0 || target.Weight > c.route.Targets[best].Weight) {
			best = i
		}
	}
	if best < 0 {
		return errors.Errorf("route %q has no target %q", c.route.Name, service)
	}
	all := c.route
	narrowed := *all
	narrowed.Targets = all.Targets[best : best+1]
	c.route = &narrowed
	c.fillDispatchReq()
	c.route = all
	return nil
}

// addRequest adds what the head of the request decides.
func (a *ExplainAnswer) addRequest(c *call) {
	if config := c.snapshot.Config; config != nil {
		a.ConfigVersion = config.Version
		a.Limits = ExplainedLimits{HeaderBytes: config.Limits.MaxHeaderBytes, BodyBytes: config.Limits.MaxBodyBytes}
		if service := config.Services[c.dispatchReq.Service]; service != nil {
			a.Limits.ColdPerSecond = service.ColdRequestsPerSecond
		}
	}
	if c.account != nil {
		a.Account, a.AccountRegions = c.account.Name, c.account.Regions
	}
	a.Priority, a.Service, a.Model = c.dispatchReq.Priority, c.dispatchReq.Service, c.dispatchReq.Model
	if c.route == nil {
		return
	}
	a.Route = &ExplainedRoute{Name: c.route.Name, Host: c.route.Host, Prefix: c.route.Prefix, Kind: c.route.Kind, Regions: c.route.Regions}
	for _, target := range c.route.Targets {
		a.Route.Targets = append(a.Route.Targets, ExplainedTarget(target))
	}
	a.Limits.TimeMs, a.Limits.FirstByteMs = c.route.Timeout.Milliseconds(), c.route.FirstByteObjective.Milliseconds()
	if !c.dispatchReq.Deadline.IsZero() {
		a.Limits.TimeMs = c.dispatchReq.Deadline.Sub(c.dispatchReq.ArrivedAt).Milliseconds()
	}
	a.Limits.MaxServers = c.route.MaxServers
}

// addDispatch adds what the scheduler decides.
func (a *ExplainAnswer) addDispatch(x dispatch.Explanation) {
	a.MinWeights, a.Waiting, a.Ahead, a.Reserved = x.MinVersion, x.WaitingCount, x.AheadCount, x.ReservedCount
	for i := range x.Servers {
		s := &x.Servers[i]
		explained := ExplainedServer{
			ID: s.Slot.Server.ID, Addr: s.Slot.Server.Addr, DataCentre: s.Slot.Server.DataCentre, Remote: s.Slot.Remote,
			ExpectedMs: roundMs(s.Expected), Running: s.Slot.RunningCount, Limit: s.Limit, Weights: s.Slot.Version,
			Penalty: math.Round(s.Penalty*10) / 10, Chosen: s.Chosen, Excluded: s.Excluded.String(),
		}
		if !s.PausedUntil.IsZero() {
			explained.PausedMs = s.PausedUntil.Sub(a.At).Milliseconds()
		}
		a.Servers = append(a.Servers, explained)
	}
	a.Outcome = ExplainedOutcome{Decision: x.Decision, MaxWaitMs: x.MaxWait.Milliseconds()}
	if x.Decision == dispatch.Sends {
		a.Outcome.Server = x.Slot.Server.ID
		return
	}
	a.Outcome.Status, a.Outcome.Reason = http.StatusServiceUnavailable, x.Err.Error()
	a.Outcome.MinRetryAfterMs, a.Outcome.MaxRetryAfterMs = x.MinRetryAfter.Milliseconds(), x.MaxRetryAfter.Milliseconds()
}

// refuse makes the outcome a refusal that no choice of a server precedes.
func (a *ExplainAnswer) refuse(r *refusal) {
	retryAfter := r.retryAfter.Milliseconds()
	a.Outcome = ExplainedOutcome{
		Decision: dispatch.Refuses, Status: r.status, Reason: r.reason, MinRetryAfterMs: retryAfter, MaxRetryAfterMs: retryAfter,
	}
	for i := range a.Servers {
		a.Servers[i].Chosen = false
	}
}

// roundMs returns a duration in milliseconds, rounded to tenths.
func roundMs(d time.Duration) float64 {
	return math.Round(float64(d)/float64(time.Millisecond)*10) / 10
}

// String returns the outcome as one sentence.
func (o *ExplainedOutcome) String() string {
	refusal := fmt.Sprintf("status %d (%s)", o.Status, o.Reason)
	switch {
	case o.MaxRetryAfterMs == 0:
	case o.MinRetryAfterMs == o.MaxRetryAfterMs:
		refusal += fmt.Sprintf(", Retry-After %d ms", o.MinRetryAfterMs)
	default:
		refusal += fmt.Sprintf(", Retry-After %d to %d ms", o.MinRetryAfterMs, o.MaxRetryAfterMs)
	}
	switch o.Decision {
	case dispatch.Sends:
		return "would be sent to " + o.Server
	case dispatch.Waits:
		return fmt.Sprintf("would wait up to %d ms for a slot; then refused with %s", o.MaxWaitMs, refusal)
	}
	return "would be refused with " + refusal
}
