package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// The freeze and the time that a piece may have been bad.
const (
	freezeTime  = 4 * time.Second
	rotAfter    = 200 * time.Millisecond
	allowedRot  = 3 * time.Second
	spoiltPiece = 11
)

// pausedLoad plays the naming of new weights. With trouble, the machine of one agent
// freezes after the agent has read back the last staged piece and before it orders the
// load, and one staged piece turns bad during the freeze.
func pausedLoad(d *deployment, trouble bool) (bool, string) {
	for _, zone := range []string{"bandung-a", "semarang-a", "surabaya-a"} {
		d.addModelServer(zone, 1)
	}
	d.putManifest()
	d.nameVersion(1)
	target := d.servers[0]
	var once sync.Once
	thawed := make(chan struct{})
	target.onStageGet = func(number int) {
		if number == spoiltPiece && target.holdsStaged(2) {
			d.record.add("piece %d was read back and is right", number)
		}
		if number != chunkCount-1 || !target.holdsStaged(2) {
			return
		}
		once.Do(func() {
			if !trouble {
				close(thawed)
				return
			}
			agent := d.agents[0]
			agent.signal(syscall.SIGSTOP)
			d.record.add("machine of %s freezes", agent.name)
			go func() {
				time.Sleep(rotAfter)
				target.rot(spoiltPiece)
				time.Sleep(freezeTime - rotAfter)
				agent.signal(syscall.SIGCONT)
				d.record.add("machine of %s goes on", agent.name)
				close(thawed)
			}()
		})
	}
	d.startNodes("bandung-a", "semarang-a")
	if !waitFor("ready", 10*time.Second, d.allReady) {
		cannotRun("start", fmt.Errorf("the entry instances are not ready"))
	}
	c := &clients{d: d}
	stop := make(chan struct{})
	ended := make(chan struct{})
	go func() { c.run(50*time.Millisecond, stop); close(ended) }()
	time.Sleep(3 * time.Second)
	d.nameVersion(2)
	select {
	case <-thawed:
	case <-time.After(30 * time.Second):
		cannotRun("wait for the load", fmt.Errorf("the staged pieces were not read back"))
	}
	time.Sleep(8 * time.Second)
	close(stop)
	<-ended
	target.mu.Lock()
	defer target.mu.Unlock()
	late := 0
	for _, b := range target.bad {
		if b.missing || b.age > allowedRot {
			late++
		}
	}
	return late > 0 && target.tokensFromBad > 0, fmt.Sprintf("server %s holds version %d with bad pieces: %s; events made with them: %d of %d",
		target.id, target.version, describeBad(target.bad), target.tokensFromBad, target.events)
}
