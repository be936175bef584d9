package loading

import (
	"context"
	"maps"
	"time"

	"github.com/go-faster/errors"

	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/version/spread"
)

// Report is the state that a backend server reports.
type Report struct {
	// Weights maps each model to the version of which the server holds all
	// layers.
	Weights map[string]int
	// Busy reports whether the server is carrying out a load order.
	Busy bool
	// AcceptedOrderCount counts the load orders that the server has accepted since
	// its start.
	AcceptedOrderCount int64
	// RunningCount counts the requests that the server is executing. QueuedCount counts
	// the requests that wait in the server's queue.
	RunningCount, QueuedCount int
	// Pace is how many times as long as declared the server takes; 0 if it does not say.
	Pace float64
	// StartUnixMs is the Unix time in milliseconds at which the server started.
	StartUnixMs int64
}

// Server is the backend server beside the agent.
type Server interface {
	// Report reads the server's state.
	Report(ctx context.Context) (Report, error)
	// Stage stores a chunk where the server loads weights from. The server does
	// not verify the chunk.
	Stage(ctx context.Context, model string, chunkNumber int, chunk []byte) error
	// ReadStaged returns the bytes of a staged chunk, or ErrNotStaged.
	ReadStaged(ctx context.Context, model string, chunkNumber int) ([]byte, error)
	// Load orders the server to load the staged chunks. The server refuses the
	// order unless acceptedOrders equals Report.AcceptedOrderCount, the number
	// of orders that the server has accepted so far.
	Load(ctx context.Context, model string, version int, acceptedOrders int64) error
	// Unload orders the server to drop all layers of the version that it holds. A
	// server does nothing on an order to load the version that it holds.
	Unload(ctx context.Context, model string, version int, acceptedOrders int64) error
}

// ErrNotStaged is returned by Server.ReadStaged if no chunk is staged under the number.
var ErrNotStaged = errors.New("chunk is not staged")

// Origin is the remote store that holds the weights of every version.
type Origin interface {
	// Digests returns the digests of the chunks of a version, in the order of
	// the chunk numbers. addr is the address of the origin.
	Digests(ctx context.Context, addr, model string, version int) ([]core.Digest, error)
	// Chunk returns the bytes of one chunk of a version.
	Chunk(ctx context.Context, addr, model string, version, chunkNumber int) ([]byte, error)
}

// WantedVersion is a version of a model that the server should hold.
type WantedVersion struct {
	// Model and Version identify the version.
	Model   string
	Version int
	// DeclaredAt is the earliest declaration time of the version that this agent
	// has received.
	DeclaredAt time.Time
	// ChunkCount is the number of chunks. ChunkBytes is the size of each chunk,
	// in bytes.
	ChunkCount, ChunkBytes int
	// LoadTime is the declared time that an empty server takes to load the version; 0 if
	// none is declared.
	LoadTime time.Duration
}

// Target describes the versions that the agent's server should hold, and the
// sources of their chunks.
type Target struct {
	// Wanted maps each model to its wanted version.
	Wanted map[string]WantedVersion
	// OriginAddr is the address of the origin.
	OriginAddr string
	// OriginBytesPerSecond is the declared capacity of the origin's link; 0 if none is
	// declared.
	OriginBytesPerSecond int64
	// Agents are the agents that hold or need the weights, including this one.
	Agents []spread.Peer
	// Holders is the set of IDs of the agents whose servers hold the wanted
	// versions.
	Holders map[string]bool
}

// sources returns the agents among which the chunks are divided: the holders,
// or all agents if there is no holder.
func (t Target) sources() []spread.Peer {
	var holders []spread.Peer
	for _, a := range t.Agents {
		if t.Holders[a.ID] {
			holders = append(holders, a)
		}
	}
	if len(holders) > 0 {
		return holders
	}
	return t.Agents
}

// ServerState is the state of the server that the agent publishes to entry
// instances.
type ServerState struct {
	// Weights maps each model to the version that the server serves.
	Weights map[string]int
	// Loading is true while the server accepts no new requests because a load
	// is about to begin or in progress.
	Loading bool
	// Pace is the server's pace at the last change that was worth publishing; 0 if it is
	// not known.
	Pace float64
	// Proven is the last load that was proven; nil if there is none.
	Proven *ProvenLoad
}

// ProvenLoad is a load of which it is proven that the server took the right chunks. The
// proof stays valid when the process that has found it ends.
type ProvenLoad struct {
	// StartUnixMs is the server's start time, in Unix milliseconds. AcceptedOrders is the
	// number of load orders that the server had accepted since then.
	StartUnixMs, AcceptedOrders int64
	// Weights maps each model to the loaded version.
	Weights map[string]int
}

// equal reports whether two proofs, which may be nil, are of the same load.
func (p *ProvenLoad) equal(other *ProvenLoad) bool {
	if p == nil || other == nil {
		return p == other
	}
	return p.StartUnixMs == other.StartUnixMs && p.AcceptedOrders == other.AcceptedOrders && maps.Equal(p.Weights, other.Weights)
}
