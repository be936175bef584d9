package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

const (
	// normalCall is the time for a call of the agent at its model server, and slowdown how much
	// longer it takes while the machine is slow.
	normalCall = 12 * time.Millisecond
	slowdown   = 6.5
	slowTime   = 6300 * time.Millisecond
	slowPause  = 300 * time.Millisecond
	// entryDownTime is how long the entry instances are down in the case listed.
	entryDownTime = 1800 * time.Millisecond
	// requestRate is the number of requests a second to each entry instance.
	requestRate = 30
)

// unproven: a side machine is slow while new weights come in, two of its staged pieces turn
// bad, and its agent is killed after it has ordered the load.
func unproven(dir string) int { return wrongLoad(dir, false) }

// wrongLoad plays both cases; killEntries tells them apart.
func wrongLoad(dir string, killEntries bool) int {
	s := newStore()
	s.put("op", "config", llmManifest(7, startOrigin()))
	var models []*modelServer
	var agents []*process
	seeds := []string{hostIP(1) + ":" + controlPort, hostIP(2) + ":" + controlPort}
	sideSettings := func(n int) map[string]any {
		settings := machineSettings(fmt.Sprintf("side-palermo-a-%d", n), "side", hostIP(10+n), "palermo-a", s.addr, seeds)
		settings["serves"], settings["listen"] = []string{"side"}, map[string]string{}
		settings["app"], settings["service"] = models[n-1].addr, llmService
		settings["limits"] = map[string]any{"cpuShare": 0.48, "cores": 1, "memoryMb": 152, "maxFds": 2048, "linkMbps": 9.4, "diskMb": 0}
		return settings
	}
	startAgent := func(n int) *process {
		return startDaemon("agent", fmt.Sprintf("side-palermo-a-%d", n), dir, sideSettings(n))
	}
	for n := 1; n <= 3; n++ {
		models = append(models, startModelServer(fmt.Sprintf("i-7f3a91d%d", n), hostIP(10+n), "palermo-a", s))
		agents = append(agents, startAgent(n))
	}
	var clients []*client
	var entries []*entryHost
	for n := 1; n <= 2; n++ {
		e := startEntry(n, "palermo-a", dir, s, seeds)
		e.awaitReady()
		entries = append(entries, e)
		c := newClient(e, "POST", streamHost, streamPath)
		c.model = modelName
		clients = append(clients, c)
	}
	for _, c := range clients {
		go c.run(requestRate)
	}
	time.Sleep(7 * time.Second)
	v, killed := models[0], os.Getenv("KILL") != "0"
	var slow, kill sync.Once
	v.mu.Lock()
	v.onRead = func(number int) {
		switch {
		case !trouble || v.loaded != 1 || v.busy:
		case number == 0 && v.reads[0] == 1 && v.slowAllowed:
			go slow.Do(func() {
				for range 2 {
					v.setSlow(true)
					time.Sleep(slowTime)
					v.setSlow(false)
					time.Sleep(slowPause)
				}
			})
		case number == 1 && v.reads[1] == 3 && v.badSince[0].IsZero():
			// The agent reads all staged pieces a third time.
			v.rot(0)
			v.rot(1)
		}
	}
	v.onAccept = func() {
		if !trouble || !killed {
			return
		}
		kill.Do(func() {
			if killEntries {
				time.Sleep(200 * time.Millisecond)
				var both sync.WaitGroup
				for _, e := range entries {
					both.Go(func() { e.killAndRestart(entryDownTime) })
				}
				both.Wait()
				return
			}
			time.Sleep(600 * time.Millisecond)
			note(time.Now(), "the agent of %s is killed", v.id)
			agents[0].kill()
			time.Sleep(500 * time.Millisecond)
			agents[0] = startAgent(1)
			note(time.Now(), "the agent of %s starts again", v.id)
		})
	}
	v.slowAllowed = true
	v.mu.Unlock()
	ackAt := s.put("op", "version/"+modelName, map[string]any{"model": modelName, "version": 2})
	note(ackAt, "version 2 is named: acked by the store")
	time.Sleep(time.Until(ackAt.Add(35 * time.Second)))
	for _, c := range clients {
		c.stop()
	}
	wrong, requests, right, held := 0, 0, 0, 0
	for _, v := range models {
		v.mu.Lock()
		wrong, requests, right = wrong+v.wrongEvents, requests+len(v.wrongRequests), right+v.rightEvents
		if v.loaded == 2 {
			held++
		}
		v.mu.Unlock()
	}
	note(time.Now(), "WHOLE: %d events of %d requests were made with pieces that had been bad for more than 3 s when they were taken; %d other events; %d of 3 servers hold version 2", wrong, requests, right, held)
	fmt.Printf("wrong events %d of %d requests, other events %d, servers with version 2: %d\n", wrong, requests, right, held)
	switch {
	case wrong > 0:
		return exitBroken
	case right < 500 || held == 0:
		cannotRun("too little was served or loaded")
	}
	return exitHeld
}

// setSlow makes the machine of a model server slow, or ends that.
func (v *modelServer) setSlow(slow bool) {
	v.mu.Lock()
	v.call = normalCall
	if slow {
		v.call = time.Duration(slowdown * float64(normalCall))
	}
	v.mu.Unlock()
	note(time.Now(), "the machine of %s is slow: %v", v.id, slow)
}
