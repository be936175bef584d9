// Package spread distributes the chunks of a version, peer to peer, to the agents
// that need the version. Each chunk has one owner in each region, which reads the
// chunk from the origin. With Config.ReadOriginOnce, each chunk has only one
// owner in all regions together, and only that owner reads the chunk from the
// origin. The other agents fetch the chunk from any agent that holds the chunk.
package spread

import (
	"context"

	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/version/manifest"
)

// Prefixes of the URL paths at which agents serve verified manifests and chunks
// to peers and engines.
const (
	ManifestPath = "/internal/manifests/"
	ChunkPath    = "/internal/chunks/"
)

// Peer is an agent that needs or holds a version.
type Peer = core.Instance

// Store holds verified chunks in memory, up to a configured size.
type Store interface {
	// Get returns the chunk with digest d, and whether the store holds it. The
	// caller must not modify the bytes.
	Get(d core.Digest) ([]byte, bool)
	// Put stores body under its digest d. It returns an error if body does not
	// match d or exceeds the memory limit.
	Put(d core.Digest, body []byte) error
	// Retain drops every chunk that is not in one of the manifests in keep.
	Retain(keep []*manifest.Manifest)
	// Bytes returns the total size of the held chunks, in bytes.
	Bytes() int64
}

// Fetcher fetches complete versions into a Store.
type Fetcher interface {
	// Fetch returns once every chunk of the version with manifest digest d
	// is held and verified. peers returns the agents that need or hold the
	// version.
	Fetch(ctx context.Context, d core.Digest, peers func() []Peer) (*manifest.Manifest, error)
}
