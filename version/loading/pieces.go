package loading

import (
	"context"
	"strings"
	"sync"

	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/process/platform"
	"github.com/rattanway/rattanway/version/manifest"
)

// Pieces shows the pieces of the origin as objects that are named by their
// digest, as a swarm reads them. It implements platform.Objects for reading.
type Pieces struct {
	origin Origin

	mu    sync.Mutex
	addr  string
	named map[string]piece
}

// piece is where the origin has an object.
type piece struct {
	key
	number int
}

// NewPieces returns an empty view of the origin.
func NewPieces(origin Origin) *Pieces { return &Pieces{origin: origin, named: map[string]piece{}} }

// Know adds the pieces of a version.
func (p *Pieces) Know(addr string, k key, digests []core.Digest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addr = addr
	for i, d := range digests {
		p.named[manifest.ChunkName(d)] = piece{k, i}
	}
}

// Get implements platform.Objects; a piece is always read whole.
func (p *Pieces) Get(ctx context.Context, name string, _, _ int64) ([]byte, error) {
	p.mu.Lock()
	at, ok := p.named[name]
	addr := p.addr
	p.mu.Unlock()
	if !ok || addr == "" {
		return nil, core.Step("find piece", strings.TrimPrefix(name, "chunks/"), platform.ErrNotFound)
	}
	return p.origin.Piece(ctx, addr, at.model, at.version, at.number)
}

// Put implements platform.Objects; the origin is only read.
func (p *Pieces) Put(context.Context, string, []byte) error { return platform.ErrUnavailable }
