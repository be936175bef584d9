package main

import (
	"net"
	"sync"
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
