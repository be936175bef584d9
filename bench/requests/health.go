package requests

import (
	"context"
	"net/http"
	"sync"
	"time"
)

const (
	// healthEvery is the time between two health checks.
	healthEvery = 500 * time.Millisecond
	// healthTimeout bounds one health check.
	healthTimeout = time.Second
	// readyPath is where an entry instance says whether it takes calls.
	readyPath = "/readyz"
)

// health stands for the health checks of the platform's balancer.
type health struct {
	mu        sync.Mutex
	down      map[string]bool
	addr      []string
	transport http.RoundTripper
}

func newHealth(addr []string, transport http.RoundTripper) *health {
	return &health{down: map[string]bool{}, addr: addr, transport: transport}
}

// ready reports whether the last check of the entry instance succeeded.
func (h *health) ready(addr string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.down[addr]
}

// run checks every entry instance until ctx ends.
func (h *health) run(ctx context.Context) {
	var checks sync.WaitGroup
	for _, addr := range h.addr {
		checks.Go(func() { h.watch(ctx, addr) })
	}
	checks.Wait()
}

func (h *health) watch(ctx context.Context, addr string) {
	client := &http.Client{Timeout: healthTimeout, Transport: h.transport}
	for ctx.Err() == nil {
		resp, err := client.Get("http://" + addr + readyPath)
		if err == nil {
			_ = resp.Body.Close()
		}
		h.mu.Lock()
		h.down[addr] = err != nil || resp.StatusCode != http.StatusOK
		h.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(healthEvery):
		}
	}
}
