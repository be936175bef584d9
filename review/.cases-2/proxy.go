package main

import (
	"net"
	"sync"
	"time"
)

// proxy passes connections on to an address. It can make the open ones silent, hold bytes
// back, or reset connections.
type proxy struct {
	addr, target string
	mu           sync.Mutex
	links        map[*link]bool
	// hold delays the bytes from the target to the caller on all connections.
	hold time.Duration
	// cut makes new connections silent too.
	cut bool
}

// link is one connection through a proxy.
type link struct {
	caller, target net.Conn
	mu             sync.Mutex
	silent         bool
}

func (l *link) isSilent() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.silent
}

func newProxy(listenAddr, target string) *proxy {
	p := &proxy{target: target, links: map[*link]bool{}}
	listener := listen(listenAddr)
	p.addr = listener.Addr().String()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	return p
}

func (p *proxy) serve(caller net.Conn) {
	target, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = caller.Close()
		return
	}
	l := &link{caller: caller, target: target}
	p.mu.Lock()
	p.links[l] = true
	l.silent = p.cut
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	go func() { p.copy(l, target, caller, false); done <- struct{}{} }()
	go func() { p.copy(l, caller, target, true); done <- struct{}{} }()
	<-done
	if l.isSilent() {
		<-done // neither side learns that the other one has closed
	}
	_ = caller.Close()
	_ = target.Close()
	p.mu.Lock()
	delete(p.links, l)
	p.mu.Unlock()
}

type chunk struct {
	at   time.Time
	data []byte
}

// copy passes bytes on until the source ends. A silent link swallows them.
func (p *proxy) copy(l *link, to, from net.Conn, mayHold bool) {
	queue := make(chan chunk, 4096)
	go func() {
		defer close(queue)
		for {
			buf := make([]byte, 16<<10)
			n, err := from.Read(buf)
			if n > 0 {
				queue <- chunk{time.Now(), buf[:n]}
			}
			if err != nil {
				return
			}
		}
	}()
	for c := range queue {
		if mayHold {
			p.mu.Lock()
			hold := p.hold
			p.mu.Unlock()
			time.Sleep(time.Until(c.at.Add(hold)))
		}
		if l.isSilent() {
			continue
		}
		if _, err := to.Write(c.data); err != nil {
			return
		}
	}
}

// silence makes all open connections silent for good; new ones work.
func (p *proxy) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		l.mu.Lock()
		l.silent = true
		l.mu.Unlock()
	}
}

// setCut makes all open connections silent and, until it is called with false, new ones too.
func (p *proxy) setCut(cut bool) {
	if cut {
		p.silence()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
}

// reset resets all open connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		_ = l.caller.(*net.TCPConn).SetLinger(0)
		_ = l.target.(*net.TCPConn).SetLinger(0)
		_ = l.caller.Close()
		_ = l.target.Close()
	}
}

// setHold delays the bytes from the target to the caller.
func (p *proxy) setHold(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hold = d
}
