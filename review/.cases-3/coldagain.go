package main

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Figures of the case, which are those of the site but for the traffic. The cold server may get
// coldPerSecond*coldOverage+coldSlack requests in any second.
const (
	coldFor       = 3 * time.Second
	coldPerSecond = 28
	coldOverage   = 1.5
	coldSlack     = 5
	// storeDownFor is the longest outage of the store in the site file.
	storeDownFor = 8 * time.Second
	// requestInterval is the time between two requests of all clients together.
	requestInterval = 4 * time.Millisecond
	// crashAbove is the number of requests in a second above which a cold server crashes: twice
	// as many as it tolerates, and more than the rule allows.
	crashAbove = 56
)

// coldAgain lets a server become cold again. With trouble, the store is down meanwhile, so
// that only the server's health responses tell it.
func coldAgain(dir string, trouble bool) bool {
	base, zone := networkBase(), "zone-a"
	s := newStore(base + ".1")
	var entries []*machine
	var seeds []string
	for i := range 2 {
		e := newMachine(dir, "entry", fmt.Sprintf("front-%d", i+1), fmt.Sprintf("%s.%d", base, 10+i), zone, s.addr)
		entries, seeds = append(entries, e), append(seeds, e.control)
	}
	for _, e := range entries {
		e.settings["seeds"] = seeds
	}
	started := entries
	var servers []*server
	for i := range 3 {
		ip := fmt.Sprintf("%s.%d", base, 40+i)
		b := newServer(fmt.Sprintf("i-model-%d", i), "llm", zone, ip, 16, 20*time.Millisecond, s)
		b.model, b.eventIDs, b.crashAbove = true, []int{1, 2, 3}, crashAbove
		b.report()
		servers = append(servers, b)
		agent := newMachine(dir, "agent", fmt.Sprintf("side-%d", i+1), ip, zone, s.addr)
		agent.settings["seeds"], agent.settings["app"], agent.settings["service"] = seeds, b.addr, "llm"
		started = append(started, agent)
	}
	route := func(name string, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "host": "app.example", "prefix": "/" + name + "/", "service": "llm", "kind": "streaming", "timeoutMs": 6000, "targetLatencyMs": 400,
			"gapTargetMs": 300, "maxAttempts": 2, "priority": 1, "resumable": resumable, "stickySessions": true,
		}
	}
	s.put("op", "config", manifest([]map[string]any{route("draft", true), route("job", false)},
		[]map[string]any{modelService("llm"), originService("weights", newOrigin(base+".2"), zone)}))
	for _, m := range started {
		m.begin()
	}
	awaitReady(entries...)
	time.Sleep(2 * time.Second)

	stop := make(chan struct{})
	var clients sync.WaitGroup
	work := make(chan int)
	for range 40 {
		clients.Go(func() { keptClient(entries, work, sendStream) })
	}
	clients.Go(func() { offer(work, stop, requestInterval) })
	time.Sleep(3 * time.Second)
	if trouble {
		note("the store is down")
		s.setDown(true)
	}
	time.Sleep(2 * time.Second)
	cold := servers[1]
	coldAt := time.Now()
	note("%s becomes cold for %s", cold.id, coldFor)
	cold.becomeCold(coldFor)
	time.Sleep(storeDownFor - 2*time.Second)
	note("the store is up")
	s.setDown(false)
	time.Sleep(time.Second)
	close(stop)
	clients.Wait()

	most, at, last := busiestSecond(cold.arrivals, coldAt, 0)
	late, _, _ := busiestSecond(cold.arrivals, coldAt, settleTime)
	bound := coldPerSecond*coldOverage + coldSlack
	text := fmt.Sprintf("busiest second of the cold server: %d requests, the first %.3f s after it became cold, the last %.3f s; %d later than 1.5 s after it became cold; allowed are %.0f",
		most, at.Seconds(), last.Seconds(), late, bound)
	note("%s", text)
	fmt.Println(text)
	if cold.cutOff > 0 {
		text := fmt.Sprintf("the cold server has crashed; %d requests were cut off while it ran them", cold.cutOff)
		note("%s", text)
		fmt.Println(text)
	}
	return float64(late) > bound
}

// sendStream sends a request for a stream, in turn on the route whose streams may be resumed and
// on the other one.
func sendStream(c *channel, i int) answer {
	path := "/draft/"
	if i/2%2 == 0 {
		path = "/job/"
	}
	return c.send("POST", "app.example", path, "hello", 6*time.Second, map[string]string{
		"Rattanway-Model": modelName, "Rattanway-Token-Usage": "100,18", "Rattanway-Prompt-Prefix": fmt.Sprintf("5c1e07a2:40,%08x:60", i),
	})
}

// keptClient sends the requests of work on kept channels, one to each entry instance.
func keptClient(entries []*machine, work <-chan int, send func(*channel, int) answer) {
	channels := map[*machine]*channel{}
	for i := range work {
		e := entries[i%len(entries)]
		c := channels[e]
		if c == nil {
			var err error
			if c, err = openChannel(e.client); err != nil {
				continue
			}
			channels[e] = c
		}
		if a := send(c, i); !a.whole || a.closes {
			c.close()
			delete(channels, e)
		}
	}
}

// busiestSecond returns the largest number of requests, other than misdirected ones, that reached
// a cold server within a second, all of them later than skip after it became cold, and when the
// first and the last of them came.
func busiestSecond(arrivals []arrival, coldAt time.Time, skip time.Duration) (most int, first, last time.Duration) {
	var times []time.Duration
	for _, a := range arrivals {
		if a.cold && a.ran && a.at.Sub(coldAt) >= skip {
			times = append(times, a.at.Sub(coldAt))
		}
	}
	slices.Sort(times)
	for i := range times {
		n := i
		for n < len(times) && times[n]-times[i] < time.Second {
			n++
		}
		if n-i > most {
			most, first, last = n-i, times[i], times[n-1]
		}
	}
	return most, first, last
}
