package work

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/core"
)

// Defaults of PoolConfig.
const (
	defaultMaxIdle     = 64
	defaultIdleTimeout = 30 * time.Second
	defaultDialTimeout = 2 * time.Second
)

// ErrCrossed says that a frame carried another request's id. The connection
// is closed and the frame is never relayed.
var ErrCrossed = errors.New("frame of another request")

// PoolConfig holds the settings of a Pool.
type PoolConfig struct {
	// PeerToken authenticates this process to agents.
	PeerToken string
	// MaxIdle is the most idle connections kept per agent. Default 64.
	MaxIdle int
	// IdleTimeout closes connections that were idle this long. Default 30 s.
	IdleTimeout time.Duration
	// DialTimeout bounds the opening of a connection. Default 2 s.
	DialTimeout time.Duration
}

func (c PoolConfig) applyDefaults() PoolConfig {
	core.SetDefault(&c.MaxIdle, defaultMaxIdle)
	core.SetDefault(&c.IdleTimeout, defaultIdleTimeout)
	core.SetDefault(&c.DialTimeout, defaultDialTimeout)
	return c
}

// idleConn is a connection that no request uses.
type idleConn struct {
	conn  *frame.Conn
	since time.Time
}

// Pool keeps work connections to agents, by address. It implements Opener.
type Pool struct {
	cfg  PoolConfig
	mu   sync.Mutex
	idle map[string][]idleConn
}

// NewPool returns an empty Pool.
func NewPool(cfg PoolConfig) *Pool {
	return &Pool{cfg: cfg.applyDefaults(), idle: map[string][]idleConn{}}
}

// Open implements Opener.
func (p *Pool) Open(_ context.Context, agent core.Instance, id string, kind frame.Kind, msg any) (Exchange, error) {
	conn := p.take(agent.Addr)
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
	return &exchange{pool: p, addr: agent.Addr, conn: conn, id: id}, nil
}

// Forget closes every idle connection to addr.
func (p *Pool) Forget(addr string) {
	p.mu.Lock()
	list := p.idle[addr]
	delete(p.idle, addr)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.conn.Close()
	}
}

// Close closes every idle connection.
func (p *Pool) Close() {
	p.mu.Lock()
	all := p.idle
	p.idle = map[string][]idleConn{}
	p.mu.Unlock()
	for _, list := range all {
		for _, c := range list {
			_ = c.conn.Close()
		}
	}
}

// take returns the idle connection to addr that was used last, or nil.
func (p *Pool) take(addr string) *frame.Conn {
	oldest := time.Now().Add(-p.cfg.IdleTimeout)
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	if len(list) == 0 {
		return nil
	}
	last := list[len(list)-1]
	if last.since.Before(oldest) {
		for _, c := range list {
			_ = c.conn.Close()
		}
		delete(p.idle, addr)
		return nil
	}
	p.idle[addr] = list[:len(list)-1]
	return last.conn
}

// put keeps conn for the next request.
func (p *Pool) put(addr string, conn *frame.Conn) {
	p.mu.Lock()
	if len(p.idle[addr]) < p.cfg.MaxIdle {
		p.idle[addr] = append(p.idle[addr], idleConn{conn: conn, since: time.Now()})
		conn = nil
	}
	p.mu.Unlock()
	if conn != nil {
		_ = conn.Close()
	}
}

// discard closes a connection that failed, and with it the idle ones to the
// same address, which are likely to be dead too.
func (p *Pool) discard(addr string, conn *frame.Conn) {
	_ = conn.Close()
	p.Forget(addr)
}

// exchange is one request on one connection.
type exchange struct {
	pool   *Pool
	addr   string
	conn   *frame.Conn
	id     string
	failed bool
}

// Send implements Exchange.
func (x *exchange) Send(kind frame.Kind, msg any) error {
	err := x.conn.Send(kind, msg)
	x.failed = x.failed || err != nil
	return err
}

// Receive implements Exchange.
func (x *exchange) Receive(ctx context.Context) (any, error) {
	stop := context.AfterFunc(ctx, func() { _ = x.conn.Close() })
	f, err := x.conn.Receive(time.Time{})
	if !stop() {
		x.failed = true
		return nil, core.Step("receive answer", x.conn.Peer(), context.Cause(ctx))
	}
	if err != nil {
		x.failed = true
		return nil, err
	}
	msg, id, err := Decode(f)
	if err != nil {
		x.failed = true
		return nil, core.Step("receive answer", x.conn.Peer(), err)
	}
	if id != x.id {
		x.failed = true
		return nil, core.Step("receive answer", x.conn.Peer(), errors.Wrapf(ErrCrossed, "want %s, got %s", x.id, id))
	}
	return msg, nil
}

// Close implements Exchange.
func (x *exchange) Close(whole bool) {
	if x.conn == nil {
		return
	}
	conn := x.conn
	x.conn = nil
	switch {
	case x.failed:
		x.pool.discard(x.addr, conn)
	case whole:
		x.pool.put(x.addr, conn)
	default:
		_ = conn.Close()
	}
}

// Decode decodes an agent's frame into its message type and returns the
// request id that it carries.
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
	case frame.KindAnswer:
		m := &frame.Answer{}
		err = f.Decode(m)
		return m, m.ID, err
	default:
		return nil, "", errors.Wrapf(frame.ErrUnexpected, "kind %d", f.Kind)
	}
}
