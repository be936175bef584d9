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

// unknownChunkTimeout is the longest time that a read of an unknown chunk waits
// for this agent to obtain the digests of the chunk's version. Agents receive the
// declaration of a version within about 100 ms of each other.
const unknownChunkTimeout = 800 * time.Millisecond

// OriginChunks gives a swarm read access to the chunks at the origin, as objects
// named by digest. It implements platform.ObjectStore, but Put always fails.
type OriginChunks struct {
	origin Origin

	mu         sync.Mutex
	originAddr string
	// locations maps the name of an object to the location of the chunk at the
	// origin.
	locations map[string]chunkLocation
	// readSlot is a semaphore of one element, held while a chunk is being read.
	readSlot chan struct{}
	// chunksAdded is closed and replaced when AddVersion adds chunks.
	chunksAdded chan struct{}
}

// chunkLocation identifies a chunk at the origin by version and by the chunk's
// number within the version.
type chunkLocation struct {
	versionKey
	chunkNumber int
}

// NewOriginChunks returns an OriginChunks without chunks.
func NewOriginChunks(origin Origin) *OriginChunks {
	return &OriginChunks{origin: origin, locations: map[string]chunkLocation{}, readSlot: make(chan struct{}, 1), chunksAdded: make(chan struct{})}
}

// SetOrigin sets the address of the origin.
func (o *OriginChunks) SetOrigin(addr string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.originAddr = addr
}

// AddVersion adds the chunks of a version.
func (o *OriginChunks) AddVersion(k versionKey, digests []core.Digest) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for i, d := range digests {
		o.locations[manifest.ChunkName(d)] = chunkLocation{k, i}
	}
	close(o.chunksAdded)
	o.chunksAdded = make(chan struct{})
}

// locate returns the address of the origin and the location of an object there.
// Another agent may request a chunk of a version before this agent has received
// the declaration of the version, so locate waits up to unknownChunkTimeout. If
// the object is still unknown after that time, ok is false.
func (o *OriginChunks) locate(ctx context.Context, name string) (addr string, location chunkLocation, ok bool) {
	timer := time.NewTimer(unknownChunkTimeout)
	defer timer.Stop()
	for {
		o.mu.Lock()
		addr, added := o.originAddr, o.chunksAdded
		location, ok = o.locations[name]
		o.mu.Unlock()
		if ok {
			return addr, location, true
		}
		select {
		case <-added:
		case <-timer.C:
			return "", location, false
		case <-ctx.Done():
			return "", location, false
		}
	}
}

// Get implements platform.ObjectStore. It ignores the requested range and returns
// the complete chunk.
func (o *OriginChunks) Get(ctx context.Context, name string, _, _ int64) ([]byte, error) {
	addr, location, ok := o.locate(ctx, name)
	if !ok || addr == "" {
		return nil, core.WrapStep("find chunk", strings.TrimPrefix(name, "chunks/"), platform.ErrNotFound)
	}
	return o.read(ctx, addr, location)
}

// maxOriginAttempts is the number of attempts to read a chunk before Get fails. An
// attempt can fail because the origin drops connections beyond its limit.
const maxOriginAttempts = 3

// read reads one chunk from the origin. Each agent reads one chunk at a time,
// so that all agents together stay below the connection limit of the origin.
// Parallel reads would not be faster, because the link of the origin is the
// bottleneck.
func (o *OriginChunks) read(ctx context.Context, addr string, location chunkLocation) ([]byte, error) {
	select {
	case o.readSlot <- struct{}{}:
		defer func() { <-o.readSlot }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	var lastErr error
	for range maxOriginAttempts {
		body, err := o.origin.Chunk(ctx, addr, location.model, location.version, location.chunkNumber)
		if err == nil || ctx.Err() != nil {
			return body, err
		}
		lastErr = err
	}
	return nil, lastErr
}

// Put implements platform.ObjectStore. It always returns platform.ErrUnavailable,
// because the origin is read-only.
func (o *OriginChunks) Put(context.Context, string, []byte) error { return platform.ErrUnavailable }
