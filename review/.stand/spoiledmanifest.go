package main

import (
	"fmt"
	"time"
)

// The bounds and the final fault of the case.
const (
	recoveryTime = 12 * time.Second
	downTime     = 1100 * time.Millisecond
	judgedTime   = 15 * time.Second
)

// spoiledManifest plays a final fault: all machines lose power right after a manifest
// was acknowledged. With trouble, the first manifest that the service with the weights
// sends afterwards is spoiled in one digit.
func spoiledManifest(d *deployment, trouble bool) (bool, string) {
	for _, zone := range []string{"bandung-a", "semarang-a", "surabaya-a"} {
		d.addModelServer(zone, 1)
	}
	d.putManifest()
	d.nameVersion(1)
	d.startNodes("bandung-a", "semarang-a")
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
	spoil := 0
	if trouble {
		spoil = 1
	}
	d.origin.countAnew(spoil)
	time.Sleep(downTime)
	for _, m := range d.servers {
		m.start(0)
	}
	d.launchAll()
	back := time.Now()
	d.record.add("the machines are back")
	time.Sleep(recoveryTime)
	from := time.Now()
	time.Sleep(judgedTime)
	to := time.Now()
	close(stop)
	<-ended
	sent, served := c.served(from, to)
	answers, spoiled := d.origin.counts()
	broken := servedBefore*4 >= sentBefore && served*4 < sent
	return broken, fmt.Sprintf("before the fault %d of %d requests served; from %.0f s after the machines were back %d of %d served; the origin sent %d answers, %d of them spoiled",
		servedBefore, sentBefore, from.Sub(back).Seconds(), served, sent, answers, spoiled)
}
