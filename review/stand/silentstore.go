package main

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// silenceable is a listener whose open channels can be made silent for good. New channels
// work.
type silenceable struct {
	net.Listener
	mu   sync.Mutex
	open []*silenceableConn
}

type silenceableConn struct {
	net.Conn
	silent chan struct{}
}

func (l *silenceable) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &silenceableConn{conn, make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open = append(l.open, c)
	return c, nil
}

// silence makes all open channels silent: nothing that is sent on them arrives any more,
// in either direction, and they are not closed.
func (l *silenceable) silence() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := len(l.open)
	for _, c := range l.open {
		close(c.silent)
	}
	l.open = nil
	return n
}

func (c *silenceableConn) isSilent() bool {
	select {
	case <-c.silent:
		return true
	default:
		return false
	}
}

func (c *silenceableConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.isSilent() {
		select {}
	}
	return n, err
}

func (c *silenceableConn) Write(p []byte) (int, error) {
	if c.isSilent() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *silenceableConn) Close() error {
	if c.isSilent() {
		return nil
	}
	return c.Conn.Close()
}

// Times of the case, after the first change of the manifest.
const (
	silentAfter   = 200 * time.Millisecond
	contactTime   = 3 * time.Second
	configApply   = 2 * time.Second
	touchMargin   = 50 * time.Millisecond
	judgedWindow  = 700 * time.Millisecond
	secondChange  = 50 * time.Millisecond
	routeInterval = 20 * time.Millisecond
)

// silentStore plays two changes of the manifest in quick succession. With trouble, the
// open channels between the machines and the store go silent between the two. The
// second change drops a route.
func silentStore(d *deployment, trouble bool) (bool, string) {
	for _, zone := range []string{"bandung-a", "semarang-a", "surabaya-a"} {
		d.addModelServer(zone, 1)
	}
	d.secondRoute = true
	d.putManifest()
	d.nameVersion(1)
	d.startNodes("bandung-a", "semarang-a")
	if !waitFor("ready", 10*time.Second, d.allReady) {
		cannotRun("start", fmt.Errorf("the entry instances are not ready"))
	}
	time.Sleep(5 * time.Second)
	c := &clients{d: d, prefix: secondPrefix}
	if !waitFor("second route", 5*time.Second, func() bool { c.send(0, d.entries[0]); return c.answers[len(c.answers)-1].served }) {
		cannotRun("use the second route", fmt.Errorf("no request was served"))
	}
	d.putManifest()
	time.Sleep(silentAfter)
	silentAt := time.Now()
	if trouble {
		d.record.add("%d open channels to the store go silent", d.storeListener.silence())
	}
	time.Sleep(secondChange)
	d.secondRoute = false
	d.putManifest()
	ackAt := time.Now()
	from := silentAt.Add(contactTime + touchMargin)
	if due := ackAt.Add(configApply + touchMargin); due.After(from) {
		from = due
	}
	time.Sleep(time.Until(from))
	stop := make(chan struct{})
	ended := make(chan struct{})
	go func() { c.run(routeInterval, stop); close(ended) }()
	time.Sleep(judgedWindow)
	close(stop)
	<-ended
	run, last := 0, time.Duration(0)
	c.mu.Lock()
	defer c.mu.Unlock()
	sent := 0
	for _, a := range c.answers {
		if a.sentAt.Before(from) {
			continue
		}
		sent++
		if a.status == 200 {
			run++
			last = max(last, a.sentAt.Sub(ackAt))
		}
	}
	return run > 0, fmt.Sprintf("%d of %d requests on the dropped route were run that were sent later than %.2f s after the ack and %.2f s after the channels went silent; the last one was sent %.2f s after the ack",
		run, sent, from.Sub(ackAt).Seconds(), from.Sub(silentAt).Seconds(), last.Seconds())
}
