package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// answer is how a request of a client ended.
type answer struct {
	id     string
	sentAt time.Time
	status int
	// served is true for a complete success with a receipt.
	served bool
	err    error
}

// clients sends requests at a steady rate to the entry instances in turn.
type clients struct {
	d       *deployment
	mu      sync.Mutex
	count   int
	answers []answer
}

var clientHTTP = &http.Client{
	Timeout:   6 * time.Second,
	Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 20, IdleConnTimeout: 12 * time.Second},
}

// run sends a request at each interval until stop is closed, and waits for the answers.
func (c *clients) run(interval time.Duration, stop <-chan struct{}) {
	var open sync.WaitGroup
	defer open.Wait()
	for {
		select {
		case <-stop:
			return
		case <-time.After(interval):
		}
		c.mu.Lock()
		c.count++
		n := c.count
		p := c.d.entries[n%len(c.d.entries)]
		c.mu.Unlock()
		open.Go(func() { c.send(n, p) })
	}
}

func (c *clients) send(n int, p *process) {
	a := answer{id: fmt.Sprintf("%016x", 0x9c41d07b00000000+uint64(n)), sentAt: time.Now()}
	req, err := http.NewRequest(http.MethodPost, "http://"+p.clients+routePrefix+"2f", strings.NewReader(strings.Repeat("p", 400)))
	if err != nil {
		cannotRun("make a request", err)
	}
	req.Host = routeHost
	h := req.Header
	h.Set("Rattanway-Request-Id", a.id)
	h.Set("Rattanway-Model", modelName)
	h.Set("Rattanway-Token-Usage", "800,60")
	h.Set("Rattanway-Prompt-Prefix", fmt.Sprintf("5c1e07a2:40,%x:760", n))
	h.Set("Rattanway-Deadline-Ms", "6000")
	h.Set("Authorization", "Token "+apiKey)
	resp, err := clientHTTP.Do(req)
	if err == nil {
		a.status = resp.StatusCode
		var body []byte
		body, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		whole := strings.HasSuffix(string(body), "data: token-"+strconv.Itoa(eventCount)+"\n\n")
		a.served = err == nil && a.status == http.StatusOK && resp.Header.Get("Rattanway-Server-Stamp") != "" && whole
	}
	a.err = err
	c.d.record.add("client: %s to %s: status %d, served %v, error %v, after %d ms", a.id, p.name, a.status, a.served, a.err, time.Since(a.sentAt).Milliseconds())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers = append(c.answers, a)
}

// served returns the number of requests sent in a span and of those served.
func (c *clients) served(from, to time.Time) (sent, served int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range c.answers {
		if a.sentAt.Before(from) || !a.sentAt.Before(to) {
			continue
		}
		sent++
		if a.served {
			served++
		}
	}
	return sent, served
}
