package requests

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-faster/errors"
)

const (
	// maxLatencyMicros is the largest latency that a histogram can record, in
	// microseconds.
	maxLatencyMicros = int64(10 * time.Minute / time.Microsecond)
	// maxDetails is the largest length of Counts.Details.
	maxDetails = 20
	// defaultTimeout is the timeout of one submission.
	defaultTimeout = time.Minute
)

// Latency holds quantiles of a latency in milliseconds.
type Latency struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// Counts is the result of one account, or of all accounts together.
type Counts struct {
	// Calls is the number of calls made.
	Calls int `json:"calls"`
	// Outcomes holds the number of calls with each outcome.
	Outcomes map[Outcome]int `json:"words"`
	// TokenCount is the number of tokens in whole responses.
	TokenCount int `json:"tokens"`
	// GoodputPerSecond is the number of whole responses per second of the run.
	GoodputPerSecond float64 `json:"goodputPerSecond"`
	// FirstToken is the time from the planned arrival to the first byte of whole
	// streamed responses.
	FirstToken Latency `json:"firstToken"`
	// Total is the time from the planned arrival to the end of whole responses.
	Total Latency `json:"total"`
	// NotWhole is the time from the planned arrival to the first byte of every
	// response that was not whole; a call without a response counts as 0.
	NotWhole Latency `json:"refusal"`
	// Details describes the first maxDetails calls whose responses were not
	// whole.
	Details []string `json:"details,omitempty"`

	firstByte, total, notWhole *hdrhistogram.Histogram
}

// Result is the result of a run.
type Result struct {
	Scenario string  `json:"scenario"`
	Seed     uint64  `json:"seed"`
	Seconds  float64 `json:"seconds"`
	// MaxInFlight is the largest number of calls in flight at the same time.
	MaxInFlight int                `json:"maxInFlight"`
	All         *Counts            `json:"all"`
	Accounts    map[string]*Counts `json:"accounts"`
	// ExecutionCount is the number of executions that the plain services report
	// for the once-only calls of this run.
	ExecutionCount int `json:"executions"`
	// DuplicateExecutions is the number of executions beyond the first one of
	// each call.
	DuplicateExecutions int `json:"doubled"`
	// FalseNotRun is the number of once-only calls whose last outcome was
	// not-run although they were executed.
	FalseNotRun int `json:"falseNotRun"`
}

func newCounts() *Counts {
	return &Counts{
		Outcomes:  map[Outcome]int{},
		firstByte: hdrhistogram.New(1, maxLatencyMicros, 3),
		total:     hdrhistogram.New(1, maxLatencyMicros, 3),
		notWhole:  hdrhistogram.New(1, maxLatencyMicros, 3),
	}
}

// benchRun is the state of a run in progress.
type benchRun struct {
	scenario *Scenario
	caller   *caller

	mu            sync.Mutex
	inFlightCount int
	result        *Result
	// onceOutcomes holds the outcome of each once-only call by call id.
	onceOutcomes map[string]Outcome
}

// Run makes every call of the scenario and waits for the last response. When ctx is
// cancelled, no further calls are started.
func Run(ctx context.Context, s *Scenario) (*Result, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	if s.Timeout == 0 {
		s.Timeout = defaultTimeout
	}
	r := &benchRun{scenario: s, caller: newCaller(s), onceOutcomes: map[string]Outcome{}, result: &Result{
		Scenario: s.Name, Seed: s.Seed, All: newCounts(), Accounts: map[string]*Counts{},
	}}
	defer r.caller.client.CloseIdleConnections()
	for _, a := range s.Accounts {
		r.result.Accounts[a.Name] = newCounts()
	}
	healthCtx, stopHealth := context.WithCancel(ctx)
	defer stopHealth()
	go r.caller.health.run(healthCtx)
	r.startCalls(ctx)
	if err := r.countExecutions(ctx); err != nil {
		return nil, err
	}
	r.finish()
	return r.result, nil
}

// startCalls starts each call at its planned arrival time, however many calls
// are still in flight, and waits for the last response.
func (r *benchRun) startCalls(ctx context.Context) {
	var calls sync.WaitGroup
	start := time.Now()
	for index, call := range planCalls(r.scenario) {
		arrival := start.Add(call.arrivalOffset)
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(arrival)):
		}
		if ctx.Err() != nil {
			break
		}
		r.recordStart()
		calls.Go(func() { r.recordFinish(call, r.caller.call(call, index, arrival)) })
	}
	r.result.Seconds = time.Since(start).Seconds()
	calls.Wait()
}

// recordStart counts a call as in flight.
func (r *benchRun) recordStart() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlightCount++
	r.result.MaxInFlight = max(r.result.MaxInFlight, r.inFlightCount)
}

// recordFinish records the result of a call and counts the call as no longer in
// flight.
func (r *benchRun) recordFinish(call plannedCall, result callResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlightCount--
	if call.once {
		r.onceOutcomes[call.id] = result.outcome
	}
	r.result.All.record(call, result)
	r.result.Accounts[call.account.Name].record(call, result)
}

// record adds the result of a call.
func (c *Counts) record(call plannedCall, result callResult) {
	c.Calls++
	c.Outcomes[result.outcome]++
	if result.outcome != OutcomeWhole {
		_ = c.notWhole.RecordValue(result.firstByte.Microseconds())
		if len(c.Details) < maxDetails {
			c.Details = append(c.Details, call.id+": "+string(result.outcome)+": "+result.detail)
		}
		return
	}
	c.TokenCount += result.tokenCount
	_ = c.total.RecordValue(result.total.Microseconds())
	if call.stream {
		_ = c.firstByte.RecordValue(result.firstByte.Microseconds())
	}
}

// countExecutions reads the execution counters of the plain services and compares
// them with the outcomes of the once-only calls.
func (r *benchRun) countExecutions(ctx context.Context) error {
	executions := map[string]int{}
	for _, addr := range r.scenario.ServiceAddrs {
		counters, err := readCounters(ctx, addr)
		if err != nil {
			return err
		}
		for id, n := range counters {
			executions[id] += n
		}
	}
	for id, outcome := range r.onceOutcomes {
		n := executions[id]
		r.result.ExecutionCount += n
		r.result.DuplicateExecutions += max(0, n-1)
		if outcome == Outcome("not-run") && n > 0 {
			r.result.FalseNotRun++
		}
	}
	return nil
}

// readCounters returns how often the service stand-in at addr has executed each
// call, by call id.
func readCounters(ctx context.Context, addr string) (map[string]int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/service/counters", nil)
	if err != nil {
		return nil, errors.Wrap(err, "counters")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "counters")
	}
	defer resp.Body.Close()
	var counters map[string]int
	if err := json.NewDecoder(resp.Body).Decode(&counters); err != nil {
		return nil, errors.Wrapf(err, "counters of %s", addr)
	}
	return counters, nil
}

// finish computes the quantiles and the goodput of every account.
func (r *benchRun) finish() {
	r.result.All.finish(r.result.Seconds)
	for _, c := range r.result.Accounts {
		c.finish(r.result.Seconds)
	}
}

// finish computes the quantiles and, for a run of the given length in seconds, the
// goodput.
func (c *Counts) finish(seconds float64) {
	c.GoodputPerSecond = float64(c.Outcomes[OutcomeWhole]) / seconds
	c.FirstToken = quantiles(c.firstByte)
	c.Total = quantiles(c.total)
	c.NotWhole = quantiles(c.notWhole)
}

// quantiles converts a histogram in microseconds to quantiles in milliseconds.
func quantiles(h *hdrhistogram.Histogram) Latency {
	toMillis := func(micros int64) float64 { return float64(micros) / 1000 }
	return Latency{
		P50: toMillis(h.ValueAtQuantile(50)),
		P95: toMillis(h.ValueAtQuantile(95)),
		P99: toMillis(h.ValueAtQuantile(99)),
		Max: toMillis(h.Max()),
	}
}
