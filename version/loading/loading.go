package loading

import (
	"context"
	"time"

	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/version/spread"
)

// Report is what a model server says of itself.
type Report struct {
	// Weights are the versions of the models of which it holds every layer.
	Weights map[string]int
	// Busy says that an order is being carried out.
	Busy bool
	// Orders counts the orders that it accepted since its start.
	Orders int64
	// Running and Queued are its requests.
	Running, Queued int
	// Started is the Unix time of its start in milliseconds.
	Started int64
}

// Server is the model server beside the agent.
type Server interface {
	// Report reads the server's state.
	Report(ctx context.Context) (Report, error)
	// Stage puts a piece where the server loads it from. It is not checked
	// there.
	Stage(ctx context.Context, model string, number int, piece []byte) error
	// Staged reads a staged piece back.
	Staged(ctx context.Context, model string, number int) ([]byte, error)
	// Load orders the server to load what is staged, unless it has accepted
	// another number of orders.
	Load(ctx context.Context, model string, version int, orders int64) error
}

// Origin is the source of weights.
type Origin interface {
	// Digests returns the digests of the pieces of a version.
	Digests(ctx context.Context, addr, model string, version int) ([]core.Digest, error)
	// Piece returns one piece of a version.
	Piece(ctx context.Context, addr, model string, version, number int) ([]byte, error)
}

// Wanted is a version that the server is to hold.
type Wanted struct {
	// Model and Version name it.
	Model   string
	Version int
	// Known is when it was declared, as far as it is known here.
	Known time.Time
	// Chunks and ChunkBytes are the number and size of its pieces.
	Chunks, ChunkBytes int
}

// Target is what an agent is told to bring to its server.
type Target struct {
	// Wanted are the versions by model.
	Wanted map[string]Wanted
	// Origin is the address of the source of weights.
	Origin string
	// Agents are the agents that hold or need the weights, with this one.
	Agents []spread.Peer
	// Holders are the IDs of those whose servers hold the wanted versions.
	Holders map[string]bool
}

// sources returns the agents that pieces are dealt among: the holders, or all
// while there is none.
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

// State is what an agent tells of its server.
type State struct {
	// Weights are the versions that it serves.
	Weights map[string]int
	// Loading says that it takes no new work for now.
	Loading bool
}
