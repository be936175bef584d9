package main

import (
	"fmt"
	"time"
)

// Times of the case. versionDue is version_ms of the settings; the servers see a request
// a moment after it was sent on.
const (
	silentAfter   = 200 * time.Millisecond
	namedAfter    = 50 * time.Millisecond
	versionDue    = 8 * time.Second
	versionMargin = 50 * time.Millisecond
)

// staleWeights plays the naming of new weights right after a change of the manifest. With
// trouble, the open channels between the machines and the store go silent between the
// two.
func staleWeights(d *deployment, trouble bool) (bool, string) {
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
	go func() { c.run(25*time.Millisecond, stop); close(ended) }()
	time.Sleep(8 * time.Second)
	d.putManifest()
	time.Sleep(silentAfter)
	if trouble {
		d.record.add("%d open channels to the store go silent", d.storeListener.silence())
	}
	time.Sleep(namedAfter)
	d.nameVersion(2)
	ackAt := time.Now()
	time.Sleep(versionDue + 6*time.Second)
	close(stop)
	<-ended
	late, last := 0, time.Duration(0)
	for _, m := range d.servers {
		m.mu.Lock()
		for _, b := range m.begun {
			if b.version < 2 && b.at.After(ackAt.Add(versionDue+versionMargin)) {
				late++
				last = max(last, b.at.Sub(ackAt))
			}
		}
		m.mu.Unlock()
	}
	return late > 0, fmt.Sprintf("%d requests began on version 1 later than %.2f s after the ack of version 2, the last one %.2f s after it", late, (versionDue + versionMargin).Seconds(), last.Seconds())
}
