// Package engine is a stand-in for a model engine. It serves OpenAI-style
// completions with deterministic tokens and simulates batch slots, a prefix cache,
// a cold start that slows down sharply under load, delayed status reports, load
// orders and faults. It verifies the weights that it is ordered to load, but does
// not keep them.
package engine

import (
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/labstack/echo/v4"

	"github.com/rattanway/rattanway/connection/engine"
	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/core"
)

// Defaults of a Config.
const (
	// DefaultSlots is the largest number of requests that run at once.
	DefaultSlots = 32
	// DefaultColdLimit is the number of requests that run at full speed immediately
	// after a start.
	DefaultColdLimit = 4
	// DefaultTimeToFirstToken is the time to the first token.
	DefaultTimeToFirstToken = 50 * time.Millisecond
	// DefaultTokenInterval is the time between two tokens of a response.
	DefaultTokenInterval = 5 * time.Millisecond
	// DefaultWarmPerCall is the number by which each finished request
	// increases the capacity.
	DefaultWarmPerCall = 1.0
	// DefaultMaxCacheEntries is the largest number of cached prefixes.
	DefaultMaxCacheEntries = 1024
)

// Config holds the settings of an Engine. A zero value means the default.
type Config struct {
	// Slots is the largest number of requests that run at once; others wait.
	Slots int
	// WarmLimit is the number of requests that run at full speed on a warm
	// engine; 0 means Slots.
	WarmLimit int
	// ColdLimit is the number of requests that run at full speed immediately after
	// a start.
	ColdLimit int
	// WarmPerCall is the number by which each finished request increases the
	// capacity, the number of requests that run at full speed.
	WarmPerCall float64
	// WarmAfter is the time after a start at which the engine is warm even without
	// requests; 0 means never.
	WarmAfter time.Duration
	// TimeToFirstToken is the time to the first token of a response, if the prefix
	// of the prompt is not cached and no more requests run than the capacity.
	TimeToFirstToken time.Duration
	// TokenInterval is the time between two tokens of a response, while no more
	// requests run than the capacity.
	TokenInterval time.Duration
	// LoadTime is the time from the verification of the last chunk until the
	// version is loaded.
	LoadTime time.Duration
	// ReportLag is the minimum age of a reported status. While every recorded
	// status is younger, the oldest one is reported.
	ReportLag time.Duration
	// MaxCacheEntries is the largest number of cached prefixes.
	MaxCacheEntries int
	// Fencing makes the engine refuse orders with a fencing number that is lower
	// than the highest one accepted so far.
	Fencing bool
	// PeerToken is the token with which the engine reads manifests and chunks from
	// an agent.
	PeerToken string
}

// applyDefaults sets the fields that have a default and are zero.
func (c *Config) applyDefaults() {
	core.SetDefault(&c.Slots, DefaultSlots)
	core.SetDefault(&c.WarmLimit, c.Slots)
	core.SetDefault(&c.ColdLimit, min(DefaultColdLimit, c.WarmLimit))
	core.SetDefault(&c.WarmPerCall, DefaultWarmPerCall)
	core.SetDefault(&c.TimeToFirstToken, DefaultTimeToFirstToken)
	core.SetDefault(&c.TokenInterval, DefaultTokenInterval)
	core.SetDefault(&c.MaxCacheEntries, DefaultMaxCacheEntries)
}

// Counters are the counters of an Engine since its start.
type Counters struct {
	// Started counts the requests that got a batch slot, and Finished those whose
	// response was sent completely. Cancelled counts the requests that ended
	// earlier, including those that ended while they waited for a slot. Refused
	// counts the requests that were refused with status 503.
	Started   int `json:"started"`
	Finished  int `json:"finished"`
	Cancelled int `json:"cancelled"`
	Refused   int `json:"refused"`
	// Tokens is the number of tokens sent.
	Tokens int `json:"tokens"`
	// PrefixHits is the number of requests whose prefix was cached.
	PrefixHits int `json:"prefixHits"`
	// MaxInFlight is the highest number of requests that ran at once.
	MaxInFlight int `json:"maxInFlight"`
	// Overloaded is the number of requests at whose start the number of running
	// requests, including the new one, exceeded the capacity.
	Overloaded int `json:"overloaded"`
	// Capacity is the current capacity: the number of requests that run at full
	// speed.
	Capacity float64 `json:"bears"`
	// LoadError is the error of the last load; empty if it succeeded.
	LoadError string `json:"loadError,omitempty"`
}

// timedStatus is a status of the engine and the time at which it was recorded.
type timedStatus struct {
	at     time.Time
	status engine.Status
}

// Engine is a stand-in for a model engine. Handler returns its HTTP API.
type Engine struct {
	cfg   Config
	clock clockwork.Clock
	slots chan struct{}

	mu     sync.Mutex
	warmUp warmUp
	cache  *prefixCache
	// loaded holds the loaded versions in the order in which they were loaded.
	loaded []frame.LoadedVersion
	// highestFence is the highest fencing number of an accepted order.
	highestFence uint64
	// bootID changes when the engine restarts.
	bootID        string
	inFlightCount int
	queuedCount   int
	faults        Faults
	counters      Counters
	// history holds the statuses that may still be reported, oldest first.
	history []timedStatus
}

// New returns an Engine without a loaded version.
func New(cfg Config, clock clockwork.Clock) *Engine {
	cfg.applyDefaults()
	return &Engine{
		cfg:   cfg,
		clock: clock,
		slots: make(chan struct{}, cfg.Slots),
		warmUp: warmUp{
			coldLimit: cfg.ColdLimit, warmLimit: cfg.WarmLimit, gainPerRequest: cfg.WarmPerCall,
			warmAfter: cfg.WarmAfter, coldSince: clock.Now(),
		},
		cache:  newPrefixCache(cfg.MaxCacheEntries),
		bootID: uuid.NewString(),
	}
}

// Handler returns the engine's HTTP API.
func (e *Engine) Handler() http.Handler {
	router := echo.New()
	router.POST("/v1/chat/completions", e.handleCompletion)
	router.POST("/v1/completions", e.handleCompletion)
	router.GET(engine.StatusPath, e.getStatus)
	router.POST(engine.OrdersPath, e.postOrder)
	router.POST("/engine/faults", e.postFaults)
	router.GET("/engine/counters", e.getCounters)
	return router
}

// Preload adds a loaded version without an order.
func (e *Engine) Preload(version frame.LoadedVersion) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loaded = append(e.loaded, version)
}

// getStatus serves the delayed status.
func (e *Engine) getStatus(c echo.Context) error {
	return c.JSON(http.StatusOK, e.delayedStatus())
}

// delayedStatus records the current status and returns the newest recorded one
// that is at least ReportLag old, or the oldest one if none is that old.
func (e *Engine) delayedStatus() engine.Status {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	e.history = append(e.history, timedStatus{at: now, status: e.status()})
	newest := 0
	for i, r := range e.history {
		if now.Sub(r.at) >= e.cfg.ReportLag {
			newest = i
		}
	}
	e.history = e.history[newest:]
	return e.history[0].status
}

// status returns the current status. The caller must hold e.mu.
func (e *Engine) status() engine.Status {
	loaded := append([]frame.LoadedVersion{}, e.loaded...)
	if e.faults.FalseLoaded != nil {
		loaded = append(loaded, *e.faults.FalseLoaded)
	}
	return engine.Status{Loaded: loaded, InFlight: e.inFlightCount, Queued: e.queuedCount, Fence: e.highestFence, Boot: e.bootID}
}

// getCounters serves the counters.
func (e *Engine) getCounters(c echo.Context) error {
	return c.JSON(http.StatusOK, e.Counters())
}

// Counters returns the current counters.
func (e *Engine) Counters() Counters {
	e.mu.Lock()
	defer e.mu.Unlock()
	counters := e.counters
	counters.Capacity = e.warmUp.capacity(e.clock.Now())
	return counters
}
