// Package relay is the reverse proxy of an entry instance: it forwards each
// call of a client account to a backend server that routing chooses, and sends
// the response to the caller. It retries or resumes a repeatable call, which
// may run more than once. It runs any other call, a once-only call, at most
// once. It never ends an incomplete response as if it were complete.
package relay

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/labstack/echo/v4"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/rattanway/rattanway/connection/work"
	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/process/eventlog"
	"github.com/rattanway/rattanway/request/accounts"
	"github.com/rattanway/rattanway/request/intake"
	"github.com/rattanway/rattanway/request/once"
	"github.com/rattanway/rattanway/request/routing"
	"github.com/rattanway/rattanway/version/confstore"
)

// Default values of the fields of Config.
const (
	defaultCallTimeout          = 2 * time.Minute
	defaultFirstTokenTimeout    = 10 * time.Second
	defaultStallTimeout         = 3 * time.Second
	defaultResponseIdleTimeout  = time.Minute
	defaultAdmitTimeout         = 5 * time.Second
	defaultAttemptQueryTimeout  = time.Second
	defaultRetryBudgetRatio     = 0.2
	defaultMinConcurrentRetries = 10
	defaultMaxAttempts          = 4
	defaultMaxRefusals          = 4
	defaultRefuseAfter          = 50 * time.Millisecond
	defaultFairShareMaxAge      = 250 * time.Millisecond
	defaultRetryBudgetTimeout   = 2 * time.Second
	defaultResumeTimeout        = 10 * time.Second
	defaultRetryPause           = 50 * time.Millisecond
	defaultMaxRequestBodyBytes  = 8 << 20
	defaultResponseBufferBytes  = 1 << 20
	defaultMaxResponseBytes     = 8 << 20
	defaultRetryAfter           = time.Second
	defaultStaleConfigMaxAge    = time.Second
	defaultRecordTimeout        = 30 * time.Second
)

var (
	eventAttemptEnded = eventlog.Define(510, "attempt-ended", logrus.InfoLevel,
		"an attempt to run a call on a backend server ended; the result field holds its result")
	eventCallCompleted = eventlog.Define(511, "call-answered", logrus.InfoLevel,
		"the complete response to a call was sent to the caller")
	eventCallRefused = eventlog.Define(512, "call-refused", logrus.WarnLevel,
		"a call was refused; the outcome field shows whether any part of it may have run")
	eventResponseAborted = eventlog.Define(513, "answer-cut", logrus.WarnLevel,
		"a response that had begun was aborted, because no backend server could complete it")
	eventCallRetried = eventlog.Define(514, "call-retried", logrus.InfoLevel,
		"a call is retried at another backend server, or its response is resumed there after the tokens already sent")
	eventRetryBudgetSpent = eventlog.Define(515, "retry-budget-spent", logrus.WarnLevel,
		"a call was not retried, because the concurrent retries had reached the retry budget")
	eventOnceGo = eventlog.Define(516, "once-go", logrus.InfoLevel,
		"the agent that holds a slot for a once-only call is instructed to run the call")
	eventCallerGone = eventlog.Define(517, "caller-gone", logrus.InfoLevel,
		"the caller disconnected before its response was complete")
	eventCallOtherVersion = eventlog.Define(518, "call-other-version", logrus.InfoLevel,
		"during a rollout, a call that the servers of one version refused is offered to the servers of the other version")
)

// Config holds the settings of a Relay.
type Config struct {
	// Self is the entry instance that the Relay belongs to.
	Self core.Instance
	// CallTimeout bounds the handling of a call once its request has been read;
	// default 2 min.
	CallTimeout time.Duration
	// FirstTokenTimeout bounds the wait for the first chunk of a streamed
	// response, including the time in the agent's queue; default 10 s.
	FirstTokenTimeout time.Duration
	// StallTimeout bounds the wait for each further chunk of a streamed
	// response; default 3 s.
	StallTimeout time.Duration
	// ResponseIdleTimeout bounds the wait for each chunk, including the first, of a
	// response that is not streamed; default 1 min.
	ResponseIdleTimeout time.Duration
	// AdmitTimeout bounds the wait for an agent to admit or refuse a once-only
	// call; default 5 s.
	AdmitTimeout time.Duration
	// AttemptQueryTimeout bounds one query to an agent for the state of an
	// earlier attempt; default 1 s.
	AttemptQueryTimeout time.Duration
	// RetryBudgetRatio is the largest number of retries that may wait for their
	// first byte at the same time, as a share of the calls in flight; default
	// 0.2. A negative value removes the bound.
	RetryBudgetRatio float64
	// MinConcurrentRetries is the number of retries that may wait for their
	// first byte at the same time however few calls are in flight; default 10.
	MinConcurrentRetries int
	// MaxAttempts bounds the attempts of one call; default 4. For a repeatable
	// call, the attempts that an agent has refused since the call was last switched
	// to another version are not counted.
	MaxAttempts int
	// RetryBudgetTimeout bounds the wait of a retry for its admission by the
	// retry budget; default 2 s.
	RetryBudgetTimeout time.Duration
	// MaxRefusals is the number of refusals by agents after which a call whose
	// response has not begun is refused or, during a rollout, offered to the
	// servers of another version; default 4.
	MaxRefusals int
	// RefuseAfter is the age from which a refusal by an agent ends a call whose
	// response has not begun, if no other server is known to have a free slot.
	// During a rollout, the call may be offered to the servers of another
	// version instead. The default is 50 ms.
	RefuseAfter time.Duration
	// FairShareMaxAge is the age up to which a call within the fair share of
	// its client account (see package accounts) is offered to further servers
	// after a refusal; default 250 ms.
	FairShareMaxAge time.Duration
	// ResumeTimeout bounds the search for a server that resumes a response that
	// has begun; default 10 s.
	ResumeTimeout time.Duration
	// RetryPause is the time between two rounds of the search that ResumeTimeout
	// bounds. RetryPause is also the pause before a call is offered again to
	// agents with an old configuration, or to the servers of another version;
	// default 50 ms.
	RetryPause time.Duration
	// MaxRequestBodyBytes is the largest request body; default 8 MiB.
	MaxRequestBodyBytes int64
	// Intake is the memory for request bodies; nil for a budget of the default size.
	Intake *intake.Budget
	// ResponseBufferBytes is the size of the buffer for a response that is not
	// streamed. The response is buffered until it is known to be complete, but
	// a response that exceeds the buffer is sent as it arrives; default 1 MiB.
	ResponseBufferBytes int
	// MaxResponseBytes is the largest response body of a once-only call; default
	// 8 MiB.
	MaxResponseBytes int
	// RetryAfter is the Retry-After time of refused calls for which the agent
	// suggested none; default 1 s.
	RetryAfter time.Duration
	// StaleConfigMaxAge is the age up to which a call is offered again after a
	// refusal by an agent that has not received the newest configuration;
	// default 1 s.
	StaleConfigMaxAge time.Duration
	// RecordTimeout bounds the recording of the outcome of a once-only call;
	// default 30 s.
	RecordTimeout time.Duration
}

func (c *Config) applyDefaults() {
	core.SetDefault(&c.CallTimeout, defaultCallTimeout)
	core.SetDefault(&c.FirstTokenTimeout, defaultFirstTokenTimeout)
	core.SetDefault(&c.StallTimeout, defaultStallTimeout)
	core.SetDefault(&c.ResponseIdleTimeout, defaultResponseIdleTimeout)
	core.SetDefault(&c.AdmitTimeout, defaultAdmitTimeout)
	core.SetDefault(&c.AttemptQueryTimeout, defaultAttemptQueryTimeout)
	core.SetDefault(&c.RetryBudgetRatio, defaultRetryBudgetRatio)
	core.SetDefault(&c.MinConcurrentRetries, defaultMinConcurrentRetries)
	core.SetDefault(&c.MaxAttempts, defaultMaxAttempts)
	core.SetDefault(&c.RetryBudgetTimeout, defaultRetryBudgetTimeout)
	core.SetDefault(&c.MaxRefusals, defaultMaxRefusals)
	core.SetDefault(&c.RefuseAfter, defaultRefuseAfter)
	core.SetDefault(&c.FairShareMaxAge, defaultFairShareMaxAge)
	core.SetDefault(&c.ResumeTimeout, defaultResumeTimeout)
	core.SetDefault(&c.RetryPause, defaultRetryPause)
	core.SetDefault(&c.MaxRequestBodyBytes, defaultMaxRequestBodyBytes)
	core.SetDefault(&c.ResponseBufferBytes, defaultResponseBufferBytes)
	core.SetDefault(&c.MaxResponseBytes, defaultMaxResponseBytes)
	core.SetDefault(&c.RetryAfter, defaultRetryAfter)
	core.SetDefault(&c.StaleConfigMaxAge, defaultStaleConfigMaxAge)
	core.SetDefault(&c.RecordTimeout, defaultRecordTimeout)
}

// Relay serves the HTTP calls of client accounts. It is safe for concurrent
// use.
type Relay struct {
	config       Config
	configStore  *confstore.Holder
	picker       routing.Picker
	opener       work.Opener
	onceRecords  *once.RecordStore
	accounts     *accounts.Controller
	retryBudget  *retryBudget
	stallMonitor *stallMonitor
	log          *eventlog.Logger
	clock        clockwork.Clock

	mu       sync.Mutex
	draining bool
	// activeCount is the number of calls in flight plus the number of outcomes
	// being recorded.
	activeCount int
	// allDone is closed once Drain has been called and activeCount is 0.
	allDone chan struct{}
	// requestIDs are the request ids of the calls in flight.
	requestIDs map[string]bool
}

// New returns a Relay. onceRecords may be nil if there is no table for the records
// of once-only calls; once-only calls with an Idempotency-Key are then refused.
func New(config Config, configStore *confstore.Holder, picker routing.Picker, opener work.Opener, onceRecords *once.RecordStore, log *eventlog.Logger, clock clockwork.Clock) *Relay {
	config.applyDefaults()
	if config.Intake == nil {
		config.Intake = intake.NewBudget(0, log, clock, metrics.NewRegistry())
	}
	return &Relay{
		config:       config,
		configStore:  configStore,
		picker:       picker,
		opener:       opener,
		onceRecords:  onceRecords,
		accounts:     accounts.New(configStore),
		retryBudget:  newRetryBudget(config.RetryBudgetRatio, config.MinConcurrentRetries),
		stallMonitor: newStallMonitor(picker.Suspended, clock),
		log:          log,
		clock:        clock,
		allDone:      make(chan struct{}),
		requestIDs:   map[string]bool{},
	}
}

// Register adds to e the routes for callers.
func (r *Relay) Register(e *echo.Echo) {
	e.POST("/v1/chat/completions", r.handleCompletion)
	e.POST("/v1/completions", r.handleCompletion)
	e.GET("/v1/models", r.handleModels)
	e.Any("/services/:service", r.handleService)
	e.Any("/services/:service/*", r.handleService)
}

// Drain makes the Relay refuse new calls with the outcome "not-run". It returns
// nil once every call in flight has ended and its outcome is recorded, or an
// error when ctx ends first.
func (r *Relay) Drain(ctx context.Context) error {
	r.mu.Lock()
	if !r.draining && r.activeCount == 0 {
		close(r.allDone)
	}
	r.draining = true
	r.mu.Unlock()
	select {
	case <-r.allDone:
		return nil
	case <-ctx.Done():
		return core.WrapStep("drain", "", ctx.Err())
	}
}

// beginCall counts one more call in flight. Once Drain has been called, it returns
// false and counts nothing.
func (r *Relay) beginCall() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.draining {
		return false
	}
	r.activeCount++
	return true
}

// beginBackgroundWork counts background work for a call, so that Drain waits for
// the end of the work. It must be called while the call is in flight.
func (r *Relay) beginBackgroundWork() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.activeCount++
}

// endWork ends the counting that one successful call of beginCall, or one call
// of beginBackgroundWork, began.
func (r *Relay) endWork() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.activeCount--
	if r.draining && r.activeCount == 0 {
		close(r.allDone)
	}
}

// InFlight returns the number of calls that have not ended and of outcomes
// that are still being recorded.
func (r *Relay) InFlight() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.activeCount
}
