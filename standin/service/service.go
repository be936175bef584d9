// Package service is a stand-in for a plain service, such as a registry of lots or
// of bookings. It counts the executions of each request, so that a test can check
// that a once-only request ran at most once. Faults can be set over HTTP.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/labstack/echo/v4"

	"github.com/rattanway/rattanway/connection/engine"
	"github.com/rattanway/rattanway/core"
)

// maxBodyBytes is the maximum size of a request body, in bytes. Longer bodies are
// truncated.
const maxBodyBytes = 1 << 20

// Config holds the settings of a Service.
type Config struct {
	// Name is the service's name, such as lots or bookings.
	Name string
	// Delay is the time from the execution of a request to its response.
	Delay time.Duration
}

// Faults selects the active faults. A fault that is not set becomes inactive.
type Faults struct {
	// DelayMillis is a time in milliseconds that is added to Config.Delay.
	DelayMillis int64 `json:"delayMillis,omitempty"`
	// FailAfterExecution makes the service execute requests and respond with status 500.
	FailAfterExecution bool `json:"failAfter,omitempty"`
	// DropAfterExecution makes the service execute requests and close the connection
	// without a response.
	DropAfterExecution bool `json:"dropAfter,omitempty"`
	// StallAfterExecution makes the service execute requests and never respond.
	StallAfterExecution bool `json:"stallAfter,omitempty"`
	// Refuse makes the service respond with status 503 without executing
	// requests.
	Refuse bool `json:"refuse,omitempty"`
	// Unhealthy makes the health check fail.
	Unhealthy bool `json:"unhealthy,omitempty"`
}

// Result is the body of the response to an executed request.
type Result struct {
	// Service is the service's name.
	Service string `json:"service"`
	// ID identifies the request.
	ID string `json:"id"`
	// Method is the request's HTTP method.
	Method string `json:"method"`
	// Path is the path of the request's URL.
	Path string `json:"path"`
	// Number is the number of executions of all requests so far, including the
	// execution that this result is about.
	Number int `json:"number"`
}

// Service is a stand-in for a plain service. Handler returns its HTTP API.
type Service struct {
	cfg   Config
	clock clockwork.Clock

	mu     sync.Mutex
	faults Faults
	// executionCounts holds the number of executions of each request by the
	// request's ID.
	executionCounts map[string]int
	// totalExecutions is the sum of executionCounts.
	totalExecutions int
}

// New returns a Service without executions.
func New(cfg Config, clock clockwork.Clock) *Service {
	return &Service{cfg: cfg, clock: clock, executionCounts: map[string]int{}}
}

// Handler returns the service's HTTP API. A request to any path but those of the
// health check, the counters and the faults is executed.
func (s *Service) Handler() http.Handler {
	router := echo.New()
	router.GET(engine.HealthPath, s.getHealth)
	router.GET("/service/counters", s.getCounters)
	router.POST("/service/faults", s.postFaults)
	router.Any("/*", s.handleRequest)
	return router
}

// getHealth serves the health check.
func (s *Service) getHealth(c echo.Context) error {
	if s.currentFaults().Unhealthy {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	return c.NoContent(http.StatusOK)
}

// getCounters serves the number of executions of each request.
func (s *Service) getCounters(c echo.Context) error {
	return c.JSON(http.StatusOK, s.Executions())
}

// Executions returns the number of executions of each request by the request's ID.
func (s *Service) Executions() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := make(map[string]int, len(s.executionCounts))
	for id, n := range s.executionCounts {
		counts[id] = n
	}
	return counts
}

// postFaults replaces the active faults with those in the request body.
func (s *Service) postFaults(c echo.Context) error {
	var f Faults
	if err := c.Bind(&f); err != nil {
		return err
	}
	s.SetFaults(f)
	return c.NoContent(http.StatusNoContent)
}

// SetFaults replaces the active faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// currentFaults returns the active faults.
func (s *Service) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// handleRequest executes a request and responds as the active faults require.
func (s *Service) handleRequest(c echo.Context) error {
	body, err := io.ReadAll(io.LimitReader(c.Request().Body, maxBodyBytes))
	if err != nil {
		return err
	}
	f := s.currentFaults()
	if f.Refuse {
		return echo.NewHTTPError(http.StatusServiceUnavailable, "refused")
	}
	r := c.Request()
	result := s.execute(requestKey(r, body), r)
	s.clock.Sleep(s.cfg.Delay + time.Duration(f.DelayMillis)*time.Millisecond)
	switch {
	case f.FailAfterExecution:
		return echo.NewHTTPError(http.StatusInternalServerError, "failed after executing")
	case f.DropAfterExecution:
		panic(http.ErrAbortHandler)
	case f.StallAfterExecution:
		<-r.Context().Done()
		return r.Context().Err()
	}
	c.Response().Header().Set(core.HeaderRequestID, r.Header.Get(core.HeaderRequestID))
	return c.JSON(http.StatusOK, result)
}

// requestKey returns the ID under which the executions of a request are counted:
// the "id" field of its body, else its Idempotency-Key header, else its request
// ID.
func requestKey(r *http.Request, body []byte) string {
	var identified struct {
		ID string `json:"id"`
	}
	if json.Unmarshal(body, &identified) == nil && identified.ID != "" {
		return identified.ID
	}
	if key := r.Header.Get(core.HeaderIdempotencyKey); key != "" {
		return key
	}
	return r.Header.Get(core.HeaderRequestID)
}

// execute counts one execution of the request with this ID and returns the result.
func (s *Service) execute(id string, r *http.Request) Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.executionCounts[id]++
	s.totalExecutions++
	return Result{Service: s.cfg.Name, ID: id, Method: r.Method, Path: r.URL.Path, Number: s.totalExecutions}
}
