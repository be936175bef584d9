package main

import (
	"fmt"
	"time"
)

// leaving: the open channels of the entry instances to the store go silent, and a server
// leaves half a second later by the removal of its entry.
func leaving(dir string) int {
	s := newStore()
	s.put("op", "config", manifest(7, []map[string]any{route("r-js2eek2", unsafeHost, unsafePrefix, "unsafe", serviceName)}, clientKey))
	var servers []*server
	for i, zone := range []string{"palermo-a", "catania-a", "trapani-a"} {
		servers = append(servers, startServer(fmt.Sprintf("i-7f3a91c%d", i), serviceName, zone, 150*time.Millisecond, s))
	}
	var entries []*entryHost
	seeds := []string{hostIP(1) + ":" + controlPort, hostIP(2) + ":" + controlPort}
	for n := 1; n <= 2; n++ {
		entries = append(entries, startEntry(n, "palermo-a", dir, s, seeds))
	}
	var clients []*client
	for _, e := range entries {
		e.awaitReady()
		clients = append(clients, newClient(e, "POST", unsafeHost, unsafePath))
	}
	for _, c := range clients {
		go c.run(20)
	}
	time.Sleep(6 * time.Second)
	silentAt := time.Now()
	if trouble {
		for _, e := range entries {
			e.toStore.silence()
		}
		note(silentAt, "the open channels between the entry instances and the store go silent; new ones work")
	}
	time.Sleep(500 * time.Millisecond)
	leaver := servers[0]
	ackAt := leaver.leave()
	note(ackAt, "the entry of server %s is removed: acked by the store", leaver.id)
	// It serves for drainMs and a little longer.
	time.Sleep(time.Until(ackAt.Add(drain + 1500*time.Millisecond)))
	leaver.exit()
	note(time.Now(), "server %s exits", leaver.id)
	time.Sleep(4 * time.Second)
	sent := map[string]*answer{}
	for _, c := range clients {
		c.stop()
		for _, a := range c.all {
			sent[a.id] = a
		}
	}
	return judgeLeaving(leaver, ackAt, silentAt, sent)
}

// judgeLeaving counts the requests that reached the server too late from machines in touch.
func judgeLeaving(leaver *server, ackAt, silentAt time.Time, sent map[string]*answer) int {
	inTouchAt := silentAt.Add(contact)
	late, lost := 0, 0
	leaver.mu.Lock()
	defer leaver.mu.Unlock()
	for _, r := range leaver.arrivals {
		a := sent[r.id]
		if a == nil || !r.at.After(ackAt.Add(drain)) || trouble && a.sentAt.Before(inTouchAt) {
			continue
		}
		late++
		what := "answered"
		if a.status != 200 {
			lost++
			what = "lost"
		}
		note(r.at, "LATE: %s from %s reached %s %d ms after the ack (bound 2000 ms), %d ms after the channels went silent; %s: status %d",
			r.id, a.entry.name, leaver.id, r.at.Sub(ackAt).Milliseconds(), r.at.Sub(silentAt).Milliseconds(), what, a.status)
	}
	total, failed := 0, 0
	for _, a := range sent {
		total++
		if a.status != 200 {
			failed++
		}
	}
	note(time.Now(), "DRAIN: %d requests reached the server too late from machines in touch, %d of them were lost; %d of %d requests failed in all", late, lost, failed, total)
	fmt.Printf("late %d, lost %d, failed %d of %d\n", late, lost, failed, total)
	if total < 100 {
		cannotRun("too few requests")
	}
	if late > 0 {
		return exitBroken
	}
	return exitHeld
}
