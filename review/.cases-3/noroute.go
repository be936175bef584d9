package main

import (
	"fmt"
	"time"
)

// noRoute sends OPTIONS requests. With trouble, their target is "*", which is on no route and
// names no path; otherwise it is a path of a route.
func noRoute(dir string, trouble bool) bool {
	base, zone := networkBase(), "zone-a"
	s := newStore(base + ".1")
	entry := newMachine(dir, "entry", "front-1", base+".10", zone, s.addr)
	entry.settings["seeds"] = []string{entry.control}
	newServer("i-lookup-0", "registry", zone, base+".40", 6, 10*time.Millisecond, s).report()
	routes := []map[string]any{
		{"name": "lookup", "host": "app.example", "prefix": "/lookup/", "service": "registry", "kind": "safe", "timeoutMs": 4000, "targetLatencyMs": 300,
			"maxAttempts": 2, "priority": 1},
	}
	s.put("op", "config", manifest(routes, []map[string]any{plainService("registry", 0, 0)}))
	entry.begin()
	awaitReady(entry)
	time.Sleep(time.Second)
	path := "/lookup/1"
	if trouble {
		path = "*"
	}
	unstamped := 0
	for range 5 {
		c, err := openChannel(entry.client)
		if err != nil {
			fatal("open a channel: %v", err)
		}
		a := c.send("OPTIONS", "app.example", path, "", 4*time.Second, nil)
		if a.status/100 == 2 && a.stamp == "" {
			unstamped++
		}
		c.close()
	}
	text := fmt.Sprintf("%d of 5 requests got a success without the stamp of a server", unstamped)
	note("%s", text)
	fmt.Println(text)
	return unstamped > 0
}
