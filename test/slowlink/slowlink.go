// Package slowlink forwards connections in tests at a limited rate.
package slowlink

import (
	"net"
	"sync"
	"testing"
	"time"
)

const (
	pieceBytes = 4 << 10
	pieceTime  = 10 * time.Millisecond
)

// BytesPerSecond is the bandwidth of a Link in each direction of a connection.
const BytesPerSecond = pieceBytes * int(time.Second/pieceTime)

// Link forwards the connections that it accepts to a target.
type Link struct {
	listener net.Listener
	target   string
	running  sync.WaitGroup

	mu       sync.Mutex
	conns    []net.Conn
	accepted int
}

// New returns a Link to target ("ip:port") that ends with the test.
func New(t testing.TB, target string) *Link {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &Link{listener: listener, target: target}
	l.running.Go(l.accept)
	t.Cleanup(l.close)
	return l
}

// Addr returns the address ("ip:port") at which the Link accepts connections.
func (l *Link) Addr() string { return l.listener.Addr().String() }

// ConnectionCount returns the number of connections that have been accepted.
func (l *Link) ConnectionCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.accepted
}

// accept accepts connections until the Link is closed.
func (l *Link) accept() {
	for {
		from, err := l.listener.Accept()
		if err != nil {
			return
		}
		to, err := net.Dial("tcp", l.target)
		if err != nil {
			_ = from.Close()
			continue
		}
		l.mu.Lock()
		l.accepted++
		l.conns = append(l.conns, from, to)
		l.mu.Unlock()
		l.running.Go(func() { forward(to, from) })
		l.running.Go(func() { forward(from, to) })
	}
}

// forward copies bytes until one of the connections ends, and closes both.
func forward(to, from net.Conn) {
	defer func() { _, _ = from.Close(), to.Close() }()
	piece := make([]byte, pieceBytes)
	for {
		n, err := from.Read(piece)
		if err != nil {
			return
		}
		if _, err := to.Write(piece[:n]); err != nil {
			return
		}
		<-time.After(pieceTime)
	}
}

// close ends all connections.
func (l *Link) close() {
	_ = l.listener.Close()
	l.mu.Lock()
	for _, conn := range l.conns {
		_ = conn.Close()
	}
	l.mu.Unlock()
	l.running.Wait()
}
