package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// killInterval is the time between two requests of all clients together.
	killInterval = 2 * time.Millisecond
	// restartAfter is how long killed processes are away.
	restartAfter = 500 * time.Millisecond
	// killAt is the number of requests within killSpan after which the entry instances are killed:
	// most of what a cold server may get in a second.
	killAt   = 24
	killSpan = 300 * time.Millisecond
)

// coldKill lets a server become cold, which its entry in the store says at once. With trouble, all
// entry instances are killed at the same moment while it is cold, and start again.
func coldKill(dir string, trouble bool) bool {
	base, zone := networkBase(), "zone-a"
	s := newStore(base + ".1")
	var entries []*machine
	var seeds []string
	for i := range 2 {
		e := newMachine(dir, "entry", fmt.Sprintf("front-%d", i+1), fmt.Sprintf("%s.%d", base, 10+i), zone, s.addr)
		entries, seeds = append(entries, e), append(seeds, e.control)
	}
	var servers []*server
	for i := range 3 {
		b := newServer(fmt.Sprintf("i-%d", i), "registry", zone, fmt.Sprintf("%s.%d", base, 40+i), 16, 20*time.Millisecond, s)
		b.report()
		servers = append(servers, b)
	}
	routes := []map[string]any{
		{"name": "lookup", "host": "app.example", "prefix": "/lookup/", "service": "registry", "kind": "safe", "timeoutMs": 4000, "targetLatencyMs": 300,
			"maxAttempts": 2, "priority": 1},
	}
	s.put("op", "config", manifest(routes, []map[string]any{plainService("registry", coldFor.Seconds(), coldPerSecond)}))
	for _, e := range entries {
		e.settings["seeds"] = seeds
		e.begin()
	}
	awaitReady(entries...)
	time.Sleep(time.Second)

	stop := make(chan struct{})
	var clients sync.WaitGroup
	work := make(chan int)
	for range 60 {
		clients.Go(func() { keptClient(entries, work, sendLookup) })
	}
	clients.Go(func() { offer(work, stop, killInterval) })
	time.Sleep(2 * time.Second)
	cold := servers[1]
	coldAt := time.Now()
	note("%s becomes cold for %s", cold.id, coldFor)
	cold.becomeCold(coldFor)
	// By then the entry instances know that the server is cold, and what they sent before has left
	// the second that they look at.
	time.Sleep(1300 * time.Millisecond)
	for time.Since(coldAt) < 2400*time.Millisecond && cold.recent(killSpan) < killAt {
		time.Sleep(5 * time.Millisecond)
	}
	if trouble {
		note("all entry instances are killed, %.3f s after %s became cold", time.Since(coldAt).Seconds(), cold.id)
		for _, e := range entries {
			e.kill()
		}
		time.Sleep(restartAfter)
		for _, e := range entries {
			e.begin()
		}
	}
	time.Sleep(coldFor - time.Since(coldAt) + 500*time.Millisecond)
	close(stop)
	clients.Wait()
	most, first, last := busiestSecond(cold.arrivals, coldAt, 0)
	bound := coldPerSecond*coldOverage + coldSlack
	text := fmt.Sprintf("busiest second of the cold server: %d requests, the first %.3f s after it became cold, the last %.3f s; allowed are %.0f",
		most, first.Seconds(), last.Seconds(), bound)
	note("%s", text)
	fmt.Println(text)
	return float64(most) > bound
}

// sendLookup sends a request of the route that may be repeated.
func sendLookup(c *channel, i int) answer {
	return c.send("GET", "app.example", fmt.Sprintf("/lookup/%d", i), "", 4*time.Second, nil)
}

// offer offers the numbers of requests at even intervals until stop is closed, and closes work. A
// number that no client is free to take is left out.
func offer(work chan<- int, stop <-chan struct{}, interval time.Duration) {
	defer close(work)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
			select {
			case work <- i:
			default:
			}
		}
	}
}

// recent returns the number of requests that have reached the server within the last span.
func (b *server) recent(span time.Duration) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for i := len(b.arrivals) - 1; i >= 0 && time.Since(b.arrivals[i].at) < span; i-- {
		n++
	}
	return n
}
