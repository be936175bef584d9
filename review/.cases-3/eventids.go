package main

import (
	"fmt"
	"strings"
	"time"
)

// eventIDs sends streams and other requests on kept channels. With trouble, the ids of the
// events of a stream grow by the number of tokens in an event, 6, instead of by 1.
func eventIDs(dir string, trouble bool) bool {
	base, zone := networkBase(), "zone-a"
	step := 1
	if trouble {
		step = 6
	}
	ids := []int{}
	for i := range 8 {
		ids = append(ids, (i+1)*step)
	}
	s := newStore(base + ".1")
	origin := newOrigin(base + ".2")
	entry := newMachine(dir, "entry", "front-1", base+".10", zone, s.addr)
	entry.settings["seeds"] = []string{entry.control}
	machinesToStart := []*machine{entry}
	for i := range 3 {
		ip := fmt.Sprintf("%s.%d", base, 20+i)
		b := newServer(fmt.Sprintf("i-model-%d", i), "llm", zone, ip, 16, 40*time.Millisecond, s)
		b.model, b.eventIDs = true, ids
		b.report()
		agent := newMachine(dir, "agent", fmt.Sprintf("side-%d", i), ip, zone, s.addr)
		agent.settings["seeds"], agent.settings["app"], agent.settings["service"] = []string{entry.control}, b.addr, "llm"
		machinesToStart = append(machinesToStart, agent)
	}
	lookups := newServer("i-lookup-0", "registry", zone, base+".40", 6, 10*time.Millisecond, s)
	lookups.report()
	stream := func(name string, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "host": "app.example", "prefix": "/" + name + "/", "service": "llm", "kind": "streaming", "timeoutMs": 6000, "targetLatencyMs": 400,
			"gapTargetMs": 300, "maxAttempts": 2, "priority": 1, "resumable": resumable, "stickySessions": true,
		}
	}
	routes := []map[string]any{
		stream("draft", true), stream("job", false),
		{"name": "lookup", "host": "app.example", "prefix": "/lookup/", "service": "registry", "kind": "safe", "timeoutMs": 4000, "targetLatencyMs": 300,
			"maxAttempts": 2, "priority": 1},
	}
	s.put("op", "config", manifest(routes, []map[string]any{modelService("llm"), plainService("registry", 0, 0), originService("weights", origin, zone)}))
	for _, m := range machinesToStart {
		m.begin()
	}
	awaitReady(entry)
	time.Sleep(2 * time.Second)
	lost, whole := map[string]int{}, map[string]int{}
	for i := range 20 {
		c, err := openChannel(entry.client)
		if err != nil {
			fatal("open a channel: %v", err)
		}
		if a := c.send("GET", "app.example", "/lookup/1", "", 4*time.Second, nil); a.status != 200 || !a.whole {
			fatal("a lookup is not answered: status %d, %v", a.status, a.err)
		}
		route := []string{"draft", "job"}[i%2]
		a := c.send("POST", "app.example", "/"+route+"/", "hello", 6*time.Second, map[string]string{
			"Rattanway-Model": modelName, "Rattanway-Token-Usage": "100,48", "Rattanway-Prompt-Prefix": fmt.Sprintf("5c1e07a2:40,%08x:60", i),
		})
		switch {
		case a.whole && a.status == 200 && strings.Count(a.body, "data: ") == len(ids):
			whole[route]++
		case !a.whole && a.took < 5*time.Second:
			lost[route]++
		}
		c.close()
	}
	for _, route := range []string{"draft", "job"} {
		note("%s: %d streams complete, %d ended by a closed channel", route, whole[route], lost[route])
		fmt.Printf("%s: %d streams complete, %d ended by a closed channel\n", route, whole[route], lost[route])
	}
	return lost["draft"]+lost["job"] > 3
}
