package work

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/core"
)

// The default values of PoolConfig.
const (
	defaultMaxIdlePerAgent = 64
	defaultIdleTimeout     = 30 * time.Second
	defaultDialTimeout     = 2 * time.Second
)

// ErrWrongRequestID is returned when a received frame carries the ID of another
// request. The frame is discarded, so that no caller gets the response to another
// request, and the connection is closed.
var ErrWrongRequestID = errors.New("frame of another request")

// PoolConfig holds the settings of a Pool.
type PoolConfig struct {
	// PeerToken is the secret that authenticates this process to agents.
	PeerToken string
	// MaxIdlePerAgent is the maximum number of idle connections kept for each agent.
	// Default 64.
	MaxIdlePerAgent int
	// IdleTimeout is how long a connection may be idle and still be reused.
	// Default 30 s.
	IdleTimeout time.Duration
	// DialTimeout limits the time to open a connection. Default 2 s.
	DialTimeout time.Duration
}

// applyDefaults returns c with its zero fields set to their defaults.
func (c PoolConfig) applyDefaults() PoolConfig {
	core.SetDefault(&c.MaxIdlePerAgent, defaultMaxIdlePerAgent)
	core.SetDefault(&c.IdleTimeout, defaultIdleTimeout)
	core.SetDefault(&c.DialTimeout, defaultDialTimeout)
	return c
}

// idleConn is an open connection that no request uses.
type idleConn struct {
	conn      *frame.Conn
	idleSince time.Time
}

// Pool opens work connections to agents and reuses idle ones. It implements Opener
// and is safe for concurrent use.
type Pool struct {
	cfg PoolConfig
	mu  sync.Mutex
	// idle holds the idle connections by agent address, the most recently used
	// connection last.
	idle map[string][]idleConn
}

// NewPool returns an empty Pool.
func NewPool(cfg PoolConfig) *Pool {
	return &Pool{cfg: cfg.applyDefaults(), idle: map[string][]idleConn{}}
}

// Open implements Opener.
func (p *Pool) Open(_ context.Context, agent core.Instance, id string, kind frame.Kind, msg any) (Exchange, error) {
	conn := p.takeIdle(agent.Addr)
	if conn == nil {
		var err error
		conn, err = frame.Dial(agent.Addr, Path, p.cfg.PeerToken, p.cfg.DialTimeout)
		if err != nil {
			return nil, err
		}
		conn.SetPeer(agent.ID)
	}
	if err := conn.Send(kind, msg); err != nil {
		p.discard(agent.Addr, conn)
		return nil, err
	}
	return &pooledExchange{pool: p, addr: agent.Addr, conn: conn, id: id}, nil
}

// CloseIdle closes every idle connection to addr.
func (p *Pool) CloseIdle(addr string) {
	p.mu.Lock()
	conns := p.idle[addr]
	delete(p.idle, addr)
	p.mu.Unlock()
	for _, c := range conns {
		_ = c.conn.Close()
	}
}

// Close closes every idle connection.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle = map[string][]idleConn{}
	p.mu.Unlock()
	for _, conns := range idle {
		for _, c := range conns {
			_ = c.conn.Close()
		}
	}
}

// takeIdle removes and returns the most recently used idle connection to addr,
// or returns nil if there is no idle connection. If even the most recently used
// connection has been idle for longer than IdleTimeout, takeIdle closes all
// idle connections to addr and returns nil.
func (p *Pool) takeIdle(addr string) *frame.Conn {
	cutoff := time.Now().Add(-p.cfg.IdleTimeout)
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[addr]
	if len(conns) == 0 {
		return nil
	}
	last := conns[len(conns)-1]
	if last.idleSince.Before(cutoff) {
		for _, c := range conns {
			_ = c.conn.Close()
		}
		delete(p.idle, addr)
		return nil
	}
	p.idle[addr] = conns[:len(conns)-1]
	return last.conn
}

// putIdle keeps conn for a later request, or closes it if there are
// MaxIdlePerAgent idle connections to addr already.
func (p *Pool) putIdle(addr string, conn *frame.Conn) {
	p.mu.Lock()
	if len(p.idle[addr]) < p.cfg.MaxIdlePerAgent {
		p.idle[addr] = append(p.idle[addr], idleConn{conn: conn, idleSince: time.Now()})
		conn = nil
	}
	p.mu.Unlock()
	if conn != nil {
		_ = conn.Close()
	}
}

// discard closes a failed connection and all idle connections to the same address,
// which have probably failed too.
func (p *Pool) discard(addr string, conn *frame.Conn) {
	_ = conn.Close()
	p.CloseIdle(addr)
}

// pooledExchange implements Exchange on a connection of a Pool.
type pooledExchange struct {
	pool *Pool
	addr string
	// conn is nil after Close.
	conn *frame.Conn
	id   string
	// failed is true after an error; Close then discards the connection.
	failed bool
}

// Send implements Exchange.
func (x *pooledExchange) Send(kind frame.Kind, msg any) error {
	err := x.conn.Send(kind, msg)
	x.failed = x.failed || err != nil
	return err
}

// Receive implements Exchange.
func (x *pooledExchange) Receive(ctx context.Context) (any, error) {
	cancelClose := context.AfterFunc(ctx, func() { _ = x.conn.Close() })
	f, err := x.conn.Receive(time.Time{})
	if !cancelClose() {
		x.failed = true
		return nil, core.WrapStep("receive response", x.conn.Peer(), context.Cause(ctx))
	}
	if err != nil {
		x.failed = true
		return nil, err
	}
	msg, id, err := Decode(f)
	if err != nil {
		x.failed = true
		return nil, core.WrapStep("receive response", x.conn.Peer(), err)
	}
	if id != x.id {
		x.failed = true
		return nil, core.WrapStep("receive response", x.conn.Peer(), errors.Wrapf(ErrWrongRequestID, "want %s, got %s", x.id, id))
	}
	return msg, nil
}

// Close implements Exchange.
func (x *pooledExchange) Close(finished bool) {
	if x.conn == nil {
		return
	}
	conn := x.conn
	x.conn = nil
	switch {
	case x.failed:
		x.pool.discard(x.addr, conn)
	case finished:
		x.pool.putIdle(x.addr, conn)
	default:
		_ = conn.Close()
	}
}

// Decode decodes a frame sent by an agent and returns a pointer to the message and
// the request ID in it. The error matches frame.ErrUnexpectedKind if agents do not
// send frames of this kind on work connections.
func Decode(f frame.Frame) (msg any, id string, err error) {
	switch f.Kind {
	case frame.KindAdmit:
		m := &frame.Admit{}
		err = f.Decode(m)
		return m, m.ID, err
	case frame.KindRefuse:
		m := &frame.Refuse{}
		err = f.Decode(m)
		return m, m.ID, err
	case frame.KindHead:
		m := &frame.Head{}
		err = f.Decode(m)
		return m, m.ID, err
	case frame.KindData:
		m := &frame.Data{}
		err = f.Decode(m)
		return m, m.ID, err
	case frame.KindEnd:
		m := &frame.End{}
		err = f.Decode(m)
		return m, m.ID, err
	case frame.KindFail:
		m := &frame.Fail{}
		err = f.Decode(m)
		return m, m.ID, err
	case frame.KindAttemptStatus:
		m := &frame.AttemptStatus{}
		err = f.Decode(m)
		return m, m.ID, err
	default:
		return nil, "", errors.Wrapf(frame.ErrUnexpectedKind, "kind %d", f.Kind)
	}
}
