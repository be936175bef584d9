package control

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// loopbackAddr makes a listener of the benchmark choose a free port. No other
// process listens on this IP address. Processes that still dial a port of an
// earlier run therefore do not reach the benchmark, and their traffic is not
// counted.
const loopbackAddr = "127.0.0.2:0"

// traffic counts the bytes, and the reads and writes, of a group of connections.
type traffic struct {
	bytes atomic.Int64
	// segments is the number of reads and writes, an estimate of the number of TCP
	// segments.
	segments atomic.Int64
}

// wireBytes returns an estimate of the bytes on the wire: the payload and, for each
// read or write, the headers of one segment and of its acknowledgement.
func (t *traffic) wireBytes() float64 {
	return float64(t.bytes.Load() + 2*segmentHeaderBytes*t.segments.Load())
}

// add counts a read or write of n bytes.
func (t *traffic) add(n int) {
	if n == 0 {
		return
	}
	t.bytes.Add(int64(n))
	t.segments.Add(1)
}

// countingListener counts the traffic of every connection that it accepts.
type countingListener struct {
	net.Listener
	traffic *traffic
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{Conn: conn, traffic: l.traffic}, nil
}

// countingConn counts the reads and writes and their bytes.
type countingConn struct {
	net.Conn
	traffic *traffic
}

// Read implements net.Conn.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.add(n)
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.add(n)
	return n, err
}

// proxy forwards TCP connections to another address and counts their traffic.
type proxy struct {
	countingListener
	target string
	wg     sync.WaitGroup
}

// newProxy starts a proxy in front of target on a free loopback port.
func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", loopbackAddr)
	if err != nil {
		return nil, err
	}
	p := &proxy{countingListener: countingListener{Listener: listener, traffic: &traffic{}}, target: target}
	p.wg.Go(p.run)
	return p, nil
}

// run accepts connections until the listener is closed.
func (p *proxy) run() {
	for {
		conn, err := p.Accept()
		if err != nil {
			return
		}
		p.wg.Go(func() { p.forward(conn) })
	}
}

// forward copies bytes in both directions until one side closes the connection.
func (p *proxy) forward(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	upstream, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer func() { _ = upstream.Close() }()
	go func() {
		_, _ = io.Copy(upstream, conn)
		_ = upstream.Close()
	}()
	_, _ = io.Copy(conn, upstream)
}
