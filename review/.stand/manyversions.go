package main

import (
	"fmt"
	"time"
)

// The versions that are named while the machines recover.
const (
	namedCount    = 8
	namedInterval = 2 * time.Second
	// afterNaming is the time from the last version named to the judged span.
	afterNaming = 6 * time.Second
	// originLinkMbps is linkMbps of the origin.
	originLinkMbps = 15
)

// manyVersions plays a final fault: all machines lose power right after a manifest was
// acknowledged. With trouble, new weights are named several times while the machines
// recover.
func manyVersions(d *deployment, trouble bool) (bool, string) {
	for range 3 {
		for _, zone := range []string{"bandung-a", "semarang-a", "surabaya-a"} {
			d.addModelServer(zone, 1)
		}
	}
	d.origin.bytesPerSecond = originLinkMbps * 1e6 / 8
	d.putManifest()
	d.nameVersion(1)
	d.startNodes("bandung-a", "bandung-a", "semarang-a", "surabaya-a")
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
	time.Sleep(downTime)
	for _, m := range d.servers {
		m.start(0)
	}
	d.launchAll()
	back := time.Now()
	d.record.add("the machines are back")
	for i := range namedCount {
		if trouble {
			d.nameVersion(2 + i)
		}
		if i < namedCount-1 {
			time.Sleep(namedInterval)
		}
	}
	time.Sleep(max(afterNaming, time.Until(back.Add(recoveryTime))))
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
