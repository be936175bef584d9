package main

import (
	"fmt"
	"syscall"
	"time"
)

// seedLag is seedLagS of the settings.
const seedLag = 3 * time.Second

// staleSeeds plays a final fault: all machines lose power right after a manifest was
// acknowledged, and all front machines are replaced by others at new addresses. With
// trouble, the settings of the side machines name the new addresses only seedLag after
// the machines are back; without it, at once.
func staleSeeds(d *deployment, trouble bool) (bool, string) {
	for _, zone := range []string{"bandung-a", "semarang-a", "surabaya-a"} {
		d.addModelServer(zone, 1)
	}
	d.putManifest()
	d.nameVersion(1)
	d.startNodes("bandung-a", "semarang-a", "surabaya-a")
	if !waitFor("ready", 10*time.Second, d.allReady) {
		cannotRun("start", fmt.Errorf("the entry instances are not ready"))
	}
	c := &clients{d: d}
	stop := make(chan struct{})
	ended := make(chan struct{})
	go func() { c.run(50*time.Millisecond, stop); close(ended) }()
	time.Sleep(2 * time.Second)
	before := time.Now()
	time.Sleep(5 * time.Second)
	sentBefore, servedBefore := c.served(before, time.Now().Add(-time.Second))

	d.putManifest()
	d.record.add("all machines lose power")
	for _, m := range d.servers {
		m.losePower()
	}
	stopAll()
	c.mu.Lock()
	oldSeeds := d.seeds()
	d.entries = nil
	d.addEntries(20, "bandung-a", "semarang-a", "surabaya-a")
	c.mu.Unlock()
	for _, p := range d.entries {
		d.writeEntrySettings(p, d.seeds())
	}
	if !trouble {
		oldSeeds = d.seeds()
	}
	for _, p := range d.agents {
		d.writeAgentSettings(p, oldSeeds)
	}
	time.Sleep(downTime)
	for _, m := range d.servers {
		m.start(0)
	}
	d.launchAll()
	back := time.Now()
	d.record.add("the machines are back, the front machines at new addresses; the agents' seeds are the old ones: %v", trouble)
	time.Sleep(seedLag)
	for _, p := range d.agents {
		d.writeAgentSettings(p, d.seeds())
		p.signal(syscall.SIGHUP)
	}
	d.record.add("the settings of the agents name the new seeds, and the agents get SIGHUP")
	time.Sleep(recoveryTime)
	from := time.Now()
	time.Sleep(judgedTime)
	to := time.Now()
	close(stop)
	<-ended
	sent, served := c.served(from, to)
	broken := servedBefore*4 >= sentBefore && served*4 < sent
	return broken, fmt.Sprintf("before the fault %d of %d requests served; from %.0f s after the machines were back %d of %d served",
		servedBefore, sentBefore, from.Sub(back).Seconds(), served, sent)
}
