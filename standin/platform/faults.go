package platform

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// FaultRequest is the body of a request that changes the stand-in's faults. A
// field that is not set leaves its fault unchanged.
type FaultRequest struct {
	// Unavailable makes the stores respond with status 503 and without any
	// effect.
	Unavailable *bool `json:"unavailable,omitempty"`
	// Stores are the stores to which Unavailable and LatencyMillis apply:
	// "table", "objects", "weights" or "instances". Empty means all.
	Stores *[]string `json:"stores,omitempty"`
	// LatencyMillis is the time in milliseconds by which each request is
	// delayed.
	LatencyMillis *int64 `json:"latencyMillis,omitempty"`
	// LoseCommitResponses is the number of the next commits that take effect
	// without a response: the connection is closed instead.
	LoseCommitResponses *int `json:"loseCommitAnswers,omitempty"`
	// WeightBytesPerSecond is the bandwidth of the weight store for all
	// responses together; 0 means no limit.
	WeightBytesPerSecond *int64 `json:"weightBytesPerSecond,omitempty"`
	// Corrupt selects responses in which one byte of an object is changed.
	Corrupt *CorruptFault `json:"corrupt,omitempty"`
}

// CorruptFault selects the responses that are corrupted.
type CorruptFault struct {
	// Store is "objects" or "weights"; empty means "weights".
	Store string `json:"store,omitempty"`
	// NamePrefix is a prefix of the names of the objects; empty means all objects.
	NamePrefix string `json:"name,omitempty"`
	// ResponseCount is the number of responses that are corrupted.
	ResponseCount int `json:"times"`
}

// faults holds the active faults. Its methods are safe for concurrent use.
type faults struct {
	mu          sync.Mutex
	unavailable bool
	// stores are the stores to which unavailable and latency apply; empty
	// means all.
	stores  []string
	latency time.Duration
	// commitsToLose is the number of future commits whose responses will be lost.
	commitsToLose int
	// corruption selects the future responses that will be corrupted.
	corruption    CorruptFault
	weightLimiter *rate.Limiter
}

// newFaults returns faults without any active fault except the bandwidth limit of
// the weight store.
func newFaults(weightBytesPerSecond int64) *faults {
	f := &faults{weightLimiter: rate.NewLimiter(rate.Inf, maxWriteBytes)}
	f.setWeightBandwidth(weightBytesPerSecond)
	return f
}

// setWeightBandwidth sets the bandwidth of the weight store in bytes per second; 0
// or less means no limit.
func (f *faults) setWeightBandwidth(bytesPerSecond int64) {
	limit := rate.Limit(bytesPerSecond)
	if bytesPerSecond <= 0 {
		limit = rate.Inf
	}
	f.weightLimiter.SetLimit(limit)
}

// waitForWeightBandwidth waits until the bandwidth limit of the weight store allows
// n more bytes.
func (f *faults) waitForWeightBandwidth(ctx context.Context, n int) error {
	return f.weightLimiter.WaitN(ctx, n)
}

// apply applies the fields that are apply in a request.
func (f *faults) apply(r FaultRequest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.Unavailable != nil {
		f.unavailable = *r.Unavailable
	}
	if r.Stores != nil {
		f.stores = *r.Stores
	}
	if r.LatencyMillis != nil {
		f.latency = time.Duration(*r.LatencyMillis) * time.Millisecond
	}
	if r.LoseCommitResponses != nil {
		f.commitsToLose = *r.LoseCommitResponses
	}
	if r.WeightBytesPerSecond != nil {
		f.setWeightBandwidth(*r.WeightBytesPerSecond)
	}
	if r.Corrupt != nil {
		f.corruption = *r.Corrupt
	}
}

// admit delays a request by the latency that applies to the store, and reports
// whether the store is available.
func (f *faults) admit(ctx context.Context, store string) bool {
	f.mu.Lock()
	affected := len(f.stores) == 0 || slices.Contains(f.stores, store)
	unavailable, latency := f.unavailable, f.latency
	f.mu.Unlock()
	if !affected {
		return true
	}
	sleep(ctx, latency)
	return !unavailable
}

// sleep returns after d or when ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// shouldLoseResponse reports whether the response to the current commit must be
// lost. If it must, the number of responses to lose decreases by 1.
func (f *faults) shouldLoseResponse() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.commitsToLose == 0 {
		return false
	}
	f.commitsToLose--
	return true
}

// shouldCorruptResponse reports whether the response with this object must be
// corrupted. If it must, the number of responses to corrupt decreases by 1.
func (f *faults) shouldCorruptResponse(store, name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := &f.corruption
	if c.ResponseCount == 0 || !strings.HasPrefix(name, c.NamePrefix) {
		return false
	}
	if c.Store != store && (c.Store != "" || store != "weights") {
		return false
	}
	c.ResponseCount--
	return true
}

// serveFaults serves POST /faults.
func (s *Server) serveFaults(w http.ResponseWriter, r *http.Request) {
	if !allowMethods(w, r, http.MethodPost) {
		return
	}
	var req FaultRequest
	if !readJSON(w, r, maxControlBytes, &req) {
		return
	}
	s.faults.apply(req)
	w.WriteHeader(http.StatusNoContent)
}
