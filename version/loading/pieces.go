package loading

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/process/platform"
	"github.com/rattanway/rattanway/version/manifest"
)

// learnTime is how long a piece of an unknown version is waited for; agents hear
// of a version within about 100 ms of each other.
const learnTime = 800 * time.Millisecond

// Pieces shows the pieces of the origin as objects that are named by their
// digest, as a swarm reads them. It implements platform.Objects for reading.
type Pieces struct {
	origin Origin

	mu    sync.Mutex
	addr  string
	named map[string]piece
	// turn is held while a piece is read.
	turn chan struct{}
	// learned is closed when pieces are added.
	learned chan struct{}
}

// piece is where the origin has an object.
type piece struct {
	key
	number int
}

// NewPieces returns an empty view of the origin.
func NewPieces(origin Origin) *Pieces {
	return &Pieces{origin: origin, named: map[string]piece{}, turn: make(chan struct{}, 1), learned: make(chan struct{})}
}

// Know adds the pieces of a version.
func (p *Pieces) Know(addr string, k key, digests []core.Digest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addr = addr
	for i, d := range digests {
		p.named[manifest.ChunkName(d)] = piece{k, i}
	}
	close(p.learned)
	p.learned = make(chan struct{})
}

// find returns where the origin has an object. An agent may be asked for a
// piece of a version of which it is only about to hear, so find waits a while.
func (p *Pieces) find(ctx context.Context, name string) (addr string, at piece, ok bool) {
	timer := time.NewTimer(learnTime)
	defer timer.Stop()
	for {
		p.mu.Lock()
		addr, learned := p.addr, p.learned
		at, ok = p.named[name]
		p.mu.Unlock()
		if ok {
			return addr, at, true
		}
		select {
		case <-learned:
		case <-timer.C:
			return "", at, false
		case <-ctx.Done():
			return "", at, false
		}
	}
}

// Get implements platform.Objects; a piece is always read whole.
func (p *Pieces) Get(ctx context.Context, name string, _, _ int64) ([]byte, error) {
	addr, at, ok := p.find(ctx, name)
	if !ok || addr == "" {
		return nil, core.Step("find piece", strings.TrimPrefix(name, "chunks/"), platform.ErrNotFound)
	}
	return p.read(ctx, addr, at)
}

// originTries is how often a piece is asked for before others are to try: the
// origin drops connections beyond its limit.
const originTries = 3

// read reads one piece. An agent reads one at a time: all agents together must
// stay below the connections that the origin takes, and its link is the limit
// anyway.
func (p *Pieces) read(ctx context.Context, addr string, at piece) ([]byte, error) {
	select {
	case p.turn <- struct{}{}:
		defer func() { <-p.turn }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	var last error
	for range originTries {
		body, err := p.origin.Piece(ctx, addr, at.model, at.version, at.number)
		if err == nil || ctx.Err() != nil {
			return body, err
		}
		last = err
	}
	return nil, last
}

// Put implements platform.Objects; the origin is only read.
func (p *Pieces) Put(context.Context, string, []byte) error { return platform.ErrUnavailable }
