// Package relay answers callers' HTTP at an entry instance. It gives each
// call to a backend server that routing chose, passes the answer on, and
// retries, resumes or refuses according to what may be repeated. It never
// ends an answer as though it were whole when it is not.
package relay

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/labstack/echo/v4"
	"github.com/sirupsen/logrus"

	"github.com/rattanway/rattanway/connection/work"
	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/process/eventlog"
	"github.com/rattanway/rattanway/request/accounts"
	"github.com/rattanway/rattanway/request/once"
	"github.com/rattanway/rattanway/request/routing"
	"github.com/rattanway/rattanway/version/confstore"
)

// Defaults of Config.
const (
	defaultDeadline          = 2 * time.Minute
	defaultFirstTokenTimeout = 10 * time.Second
	defaultStallTimeout      = 3 * time.Second
	defaultAnswerTimeout     = time.Minute
	defaultAdmitTimeout      = 5 * time.Second
	defaultAskTimeout        = time.Second
	defaultRetryBudgetRatio  = 0.2
	defaultMinRetries        = 10
	defaultMaxAttempts       = 4
	defaultMaxRefusals       = 4
	defaultRefuseAfter       = 50 * time.Millisecond
	defaultDueWithin         = 250 * time.Millisecond
	defaultBudgetWait        = 2 * time.Second
	defaultResumeWithin      = 10 * time.Second
	defaultResumePause       = 50 * time.Millisecond
	defaultMaxBodyBytes      = 8 << 20
	defaultHoldBackBytes     = 1 << 20
	defaultMaxAnswerBytes    = 8 << 20
	defaultRetryAfter        = time.Second
	defaultConfigWait        = time.Second
	defaultRecordTimeout     = 30 * time.Second
)

var (
	eventAttemptEnded = eventlog.Define(510, "attempt-ended", logrus.InfoLevel,
		"an attempt at a call ended, with its result")
	eventCallEnded = eventlog.Define(511, "call-answered", logrus.InfoLevel,
		"a call was answered whole")
	eventRefused = eventlog.Define(512, "call-refused", logrus.WarnLevel,
		"a call was refused; the outcome word says what became of it")
	eventCut = eventlog.Define(513, "answer-cut", logrus.WarnLevel,
		"an answer that had begun was broken off visibly, because no server could go on with it")
	eventRetry = eventlog.Define(514, "call-retried", logrus.InfoLevel,
		"a call is tried at another backend server, or resumed there after the tokens already sent")
	eventNoBudget = eventlog.Define(515, "retry-budget-spent", logrus.WarnLevel,
		"a call was not retried, because retries already have their share of the traffic")
	eventGo = eventlog.Define(516, "once-go", logrus.InfoLevel,
		"a call that may run only once is released to the agent that holds a slot for it")
	eventGone = eventlog.Define(517, "caller-gone", logrus.InfoLevel,
		"the caller went away before its answer ended")
	eventOtherVersion = eventlog.Define(518, "call-other-version", logrus.InfoLevel,
		"while a new version comes in, a call that the servers of one version refused is given to those of the other")
)

// Config holds the settings of a Relay.
type Config struct {
	// Self is the entry instance.
	Self core.Instance
	// DefaultDeadline bounds a call from its arrival; default 2 min.
	DefaultDeadline time.Duration
	// FirstTokenTimeout bounds the wait for the first piece of a streamed
	// answer, time in the agent's queue included; default 10 s.
	FirstTokenTimeout time.Duration
	// StallTimeout bounds the wait for each further piece; default 3 s.
	StallTimeout time.Duration
	// AnswerTimeout bounds one attempt at an answer that is not streamed;
	// default 1 min.
	AnswerTimeout time.Duration
	// AdmitTimeout bounds the wait for an offer's answer; default 5 s.
	AdmitTimeout time.Duration
	// AskTimeout bounds one question about an earlier attempt; default 1 s.
	AskTimeout time.Duration
	// RetryBudgetRatio is the share of the calls in flight that may be
	// retries waiting for their first byte; default 0.2. Negative values
	// lift the budget.
	RetryBudgetRatio float64
	// MinRetries is the number of such retries that is always allowed;
	// default 10.
	MinRetries int
	// MaxAttempts bounds the attempts at one call; default 4.
	MaxAttempts int
	// BudgetWait bounds a retry's wait for its share of the budget; default
	// 2 s.
	BudgetWait time.Duration
	// MaxRefusals bounds the agents that may refuse a call whose answer has
	// not begun; default 4.
	MaxRefusals int
	// RefuseAfter is the age from which such a call is refused when no other
	// server is known to have room; default 50 ms.
	RefuseAfter time.Duration
	// DueWithin is the age up to which a call within its account's fair
	// share looks for a slot when capacity is short; default 250 ms.
	DueWithin time.Duration
	// ResumeWithin bounds the search for a server that goes on with an
	// answer that has begun; default 10 s.
	ResumeWithin time.Duration
	// ResumePause is the time between two rounds of that search, and between
	// two tries at agents without the newest configuration; default 50 ms.
	ResumePause time.Duration
	// MaxBodyBytes is the largest request body; default 8 MiB.
	MaxBodyBytes int64
	// HoldBackBytes is how much of an answer that is not streamed is held
	// back until it is known to be whole; default 1 MiB.
	HoldBackBytes int
	// MaxAnswerBytes bounds the answer to a once-only call; default 8 MiB.
	MaxAnswerBytes int
	// RetryAfter is suggested to refused callers; default 1 s.
	RetryAfter time.Duration
	// ConfigWait is the age up to which a call waits for agents that have
	// not got the newest configuration yet; default 1 s.
	ConfigWait time.Duration
	// RecordTimeout bounds the recording of one outcome; default 30 s.
	RecordTimeout time.Duration
}

func (c *Config) applyDefaults() {
	core.SetDefault(&c.DefaultDeadline, defaultDeadline)
	core.SetDefault(&c.FirstTokenTimeout, defaultFirstTokenTimeout)
	core.SetDefault(&c.StallTimeout, defaultStallTimeout)
	core.SetDefault(&c.AnswerTimeout, defaultAnswerTimeout)
	core.SetDefault(&c.AdmitTimeout, defaultAdmitTimeout)
	core.SetDefault(&c.AskTimeout, defaultAskTimeout)
	core.SetDefault(&c.RetryBudgetRatio, defaultRetryBudgetRatio)
	core.SetDefault(&c.MinRetries, defaultMinRetries)
	core.SetDefault(&c.MaxAttempts, defaultMaxAttempts)
	core.SetDefault(&c.BudgetWait, defaultBudgetWait)
	core.SetDefault(&c.MaxRefusals, defaultMaxRefusals)
	core.SetDefault(&c.RefuseAfter, defaultRefuseAfter)
	core.SetDefault(&c.DueWithin, defaultDueWithin)
	core.SetDefault(&c.ResumeWithin, defaultResumeWithin)
	core.SetDefault(&c.ResumePause, defaultResumePause)
	core.SetDefault(&c.MaxBodyBytes, defaultMaxBodyBytes)
	core.SetDefault(&c.HoldBackBytes, defaultHoldBackBytes)
	core.SetDefault(&c.MaxAnswerBytes, defaultMaxAnswerBytes)
	core.SetDefault(&c.RetryAfter, defaultRetryAfter)
	core.SetDefault(&c.ConfigWait, defaultConfigWait)
	core.SetDefault(&c.RecordTimeout, defaultRecordTimeout)
}

// Relay serves callers. It is safe for concurrent use.
type Relay struct {
	config Config
	holder *confstore.Holder
	picker routing.Picker
	opener work.Opener
	keeper *once.Keeper
	book   *accounts.Book
	budget *budget
	watch  *watch
	log    *eventlog.Logger
	clock  clockwork.Clock

	mu       sync.Mutex
	draining bool
	running  int
	idle     chan struct{}
	// ids are the request ids of the calls in flight.
	ids map[string]bool
}

// New returns a Relay. keeper may be nil where no table is at hand; keyed
// once-only calls are refused then.
func New(c Config, holder *confstore.Holder, picker routing.Picker, opener work.Opener, keeper *once.Keeper, log *eventlog.Logger, clock clockwork.Clock) *Relay {
	c.applyDefaults()
	return &Relay{
		config: c,
		holder: holder,
		picker: picker,
		opener: opener,
		keeper: keeper,
		book:   accounts.New(holder),
		budget: newBudget(c.RetryBudgetRatio, c.MinRetries),
		watch:  newWatch(picker.Suspended, clock),
		log:    log,
		clock:  clock,
		idle:   make(chan struct{}),
		ids:    map[string]bool{},
	}
}

// Register adds the callers' routes to e.
func (r *Relay) Register(e *echo.Echo) {
	e.POST("/v1/chat/completions", r.completion)
	e.POST("/v1/completions", r.completion)
	e.GET("/v1/models", r.models)
	e.Any("/services/:service", r.service)
	e.Any("/services/:service/*", r.service)
}

// Drain refuses new calls as not run, and returns once every call in flight
// has ended and its outcome is recorded, or with the error of ctx.
func (r *Relay) Drain(ctx context.Context) error {
	r.mu.Lock()
	if !r.draining && r.running == 0 {
		close(r.idle)
	}
	r.draining = true
	r.mu.Unlock()
	select {
	case <-r.idle:
		return nil
	case <-ctx.Done():
		return core.Step("drain", "", ctx.Err())
	}
}

// begin counts a call in flight; it reports false while draining.
func (r *Relay) begin() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.draining {
		return false
	}
	r.running++
	return true
}

// hold counts background work that Drain waits for, for a call in flight.
func (r *Relay) hold() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running++
}

// end is called once for each begin and hold.
func (r *Relay) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
	if r.draining && r.running == 0 {
		close(r.idle)
	}
}

// InFlight returns the number of calls that have not ended.
func (r *Relay) InFlight() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.running
}
