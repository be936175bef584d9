package backend

import (
	"bufio"
	"context"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"

	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/process/dial"
)

const (
	// maxIdleTime is the maximum time for which an idle connection is kept. The
	// limit is short because a server may become unreachable in that time: the
	// next request on the connection then gets no response until it times out.
	maxIdleTime = 4 * time.Second
	// idleTimeMargin is subtracted from the idle timeout that a server announces,
	// because the server may close the connection just when a request is sent.
	idleTimeMargin = time.Second
	// sweepInterval is the time between two sweeps, which close expired
	// connections.
	sweepInterval = time.Second
)

// Pool keeps idle connections by the address of their backend server. It is safe
// for concurrent use.
type Pool struct {
	clock     clockwork.Clock
	mu        sync.Mutex
	idleConns map[string][]*Conn
}

// NewPool returns an empty Pool.
func NewPool(clock clockwork.Clock) *Pool {
	return &Pool{clock: clock, idleConns: map[string][]*Conn{}}
}

// Get returns the most recently used idle connection to addr. If no connection
// is idle, or if openNew is true, it opens a new connection.
func (p *Pool) Get(ctx context.Context, addr string, openNew bool) (*Conn, error) {
	if !openNew {
		if c := p.takeIdle(addr); c != nil {
			return c, nil
		}
	}
	conn, err := dial.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, core.WrapStep("connect", addr, err)
	}
	limitedConn := &dial.LimitedConn{Conn: conn}
	return &Conn{
		netConn: conn, limitedConn: limitedConn, addr: addr,
		reader: bufio.NewReaderSize(limitedConn, readBufferBytes),
		writer: bufio.NewWriterSize(conn, writeBufferBytes),
	}, nil
}

// Probe opens a connection to addr and closes it again. It reports whether the connection
// was accepted, and whether the machine refused it because no process listens at addr;
// neither is true if the machine does not answer.
func (p *Pool) Probe(ctx context.Context, addr string) (accepted, refused bool) {
	conn, err := dial.DialContext(ctx, "tcp", addr)
	if err != nil {
		return false, errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close()
	return true, false
}

// takeIdle removes the most recently used idle connection to addr and returns it,
// or nil if there is none. It closes the expired connections that it finds.
func (p *Pool) takeIdle(addr string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	for list := p.idleConns[addr]; len(list) > 0; list = p.idleConns[addr] {
		c := list[len(list)-1]
		p.idleConns[addr] = list[:len(list)-1]
		if now.Sub(c.idleSince) < c.idleLimit {
			return c
		}
		c.Close()
	}
	return nil
}

// Put returns a connection to the pool after its response resp has been read to
// the end. It closes the connection if resp does not allow its reuse.
func (p *Pool) Put(c *Conn, resp *http.Response) {
	c.idleLimit = allowedIdleTime(resp, maxIdleTime)
	if c.idleLimit <= 0 {
		c.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	c.idleSince = p.clock.Now()
	p.idleConns[c.addr] = append(p.idleConns[c.addr], c)
}

// Run closes expired connections at each sweepInterval until ctx ends, and then
// closes all idle connections.
func (p *Pool) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			p.sweep(true)
			return nil
		case <-p.clock.After(sweepInterval):
			p.sweep(false)
		}
	}
}

// sweep closes the expired idle connections, or all idle connections if all is
// true.
func (p *Pool) sweep(all bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	for addr, list := range p.idleConns {
		kept := list[:0]
		for _, c := range list {
			if all || now.Sub(c.idleSince) >= c.idleLimit {
				c.Close()
				continue
			}
			kept = append(kept, c)
		}
		clear(list[len(kept):])
		p.idleConns[addr] = kept
		if len(kept) == 0 {
			delete(p.idleConns, addr)
		}
	}
}
