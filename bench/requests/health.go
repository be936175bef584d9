package requests

import (
	"context"
	"net/http"
	"sync"
	"time"
)

const (
	// healthInterval is the time between two health checks.
	healthInterval = 500 * time.Millisecond
	// healthTimeout is the timeout of one health check.
	healthTimeout = time.Second
	// readyPath is the path at which an entry instance returns status 200 while
	// it accepts calls.
	readyPath = "/readyz"
)

// healthChecker imitates the health checks of the platform's load balancer.
type healthChecker struct {
	mu        sync.Mutex
	notReady  map[string]bool // by address
	addrs     []string
	transport http.RoundTripper
}

func newHealthChecker(addrs []string, transport http.RoundTripper) *healthChecker {
	return &healthChecker{notReady: map[string]bool{}, addrs: addrs, transport: transport}
}

// isReady reports whether the last check of the entry instance succeeded. An
// entry instance counts as ready before its first check.
func (h *healthChecker) isReady(addr string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.notReady[addr]
}

// run checks every entry instance until ctx is done.
func (h *healthChecker) run(ctx context.Context) {
	var group sync.WaitGroup
	for _, addr := range h.addrs {
		group.Go(func() { h.checkRepeatedly(ctx, addr) })
	}
	group.Wait()
}

// checkRepeatedly checks one entry instance every healthInterval until ctx is
// done.
func (h *healthChecker) checkRepeatedly(ctx context.Context, addr string) {
	client := &http.Client{Timeout: healthTimeout, Transport: h.transport}
	for ctx.Err() == nil {
		resp, err := client.Get("http://" + addr + readyPath)
		if err == nil {
			_ = resp.Body.Close()
		}
		h.mu.Lock()
		h.notReady[addr] = err != nil || resp.StatusCode != http.StatusOK
		h.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(healthInterval):
		}
	}
}
