package backend

import (
	"bufio"
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/process/dial"
)

const (
	// keepMost is how long an unused connection is kept; connections that
	// went silent meanwhile cost a request its time.
	keepMost = 4 * time.Second
	// keepMargin is left of the time that a server keeps it.
	keepMargin = time.Second
	// sweepEvery is the time between two searches for old connections.
	sweepEvery = time.Second
)

// Pool keeps unused connections by the address of their server. It is safe for
// concurrent use.
type Pool struct {
	clock clockwork.Clock
	mu    sync.Mutex
	idle  map[string][]*Conn
}

// NewPool returns an empty Pool.
func NewPool(clock clockwork.Clock) *Pool {
	return &Pool{clock: clock, idle: map[string][]*Conn{}}
}

// Get returns a connection to addr: the one used last, or with fresh set, or
// when none is left, a new one.
func (p *Pool) Get(ctx context.Context, addr string, fresh bool) (*Conn, error) {
	if !fresh {
		if c := p.take(addr); c != nil {
			return c, nil
		}
	}
	conn, err := dial.Context(ctx, "tcp", addr)
	if err != nil {
		return nil, core.Step("connect", addr, err)
	}
	return &Conn{
		net: conn, addr: addr,
		reader: bufio.NewReaderSize(conn, readBytes),
		writer: bufio.NewWriterSize(conn, writeBytes),
	}, nil
}

// take returns the idle connection that was used last, nil when there is none.
func (p *Pool) take(addr string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	for list := p.idle[addr]; len(list) > 0; list = p.idle[addr] {
		c := list[len(list)-1]
		p.idle[addr] = list[:len(list)-1]
		if now.Sub(c.idleAt) < c.idleFor {
			return c
		}
		c.Close()
	}
	return nil
}

// Put keeps a connection whose answer was read to its end.
func (p *Pool) Put(c *Conn, resp *http.Response) {
	c.idleFor = keepFor(resp, keepMost)
	if c.idleFor <= 0 {
		c.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	c.idleAt = p.clock.Now()
	p.idle[c.addr] = append(p.idle[c.addr], c)
}

// Run closes connections that were not used for long, until ctx ends.
func (p *Pool) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			p.sweep(true)
			return nil
		case <-p.clock.After(sweepEvery):
			p.sweep(false)
		}
	}
}

// sweep closes the connections that are too old, or all of them.
func (p *Pool) sweep(all bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	for addr, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if all || now.Sub(c.idleAt) >= c.idleFor {
				c.Close()
				continue
			}
			kept = append(kept, c)
		}
		clear(list[len(kept):])
		p.idle[addr] = kept
		if len(kept) == 0 {
			delete(p.idle, addr)
		}
	}
}
