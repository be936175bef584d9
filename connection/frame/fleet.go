package frame

import (
	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/version/catalog"
)

// The kinds of messages between entry instances, and between entry instances
// and the agents beside model servers that are reached directly.
const (
	KindEntryHello Kind = 32 // entry to entry, first on a connection
	KindLoads      Kind = 33 // entry to entry: requests running at servers
	KindWant       Kind = 34 // entry to entry: send me these tables
	KindTable      Kind = 35 // entry to entry: the content of a table
	KindAgentHello Kind = 36 // agent to entry, first on a connection
	KindAgentState Kind = 37 // agent to entry: what its server holds
	KindFleet      Kind = 38 // entry to agent: weights to hold, and from whom
)

// EntryHello opens a connection between entry instances.
type EntryHello struct {
	// Self is the sender.
	Self core.Instance `cbor:"1,keyasint"`
}

// Loads tells another entry instance what the sender runs at servers, and how
// new its tables are.
type Loads struct {
	// Declared and Servers are the revisions of the newest changes that the
	// sender knows.
	Declared uint64 `cbor:"1,keyasint"`
	Servers  uint64 `cbor:"2,keyasint"`
	// Running are the counts that changed since the last message.
	Running map[string]int `cbor:"3,keyasint,omitempty"`
	// Declared weights that became known lately, with their ages.
	Weights []WantedWeights `cbor:"4,keyasint,omitempty"`
}

// Want asks for tables.
type Want struct {
	// Tables are the tables that are older at the sender.
	Tables []catalog.Table `cbor:"1,keyasint"`
}

// TableState is the content of a table.
type TableState struct {
	// Table says which one.
	Table catalog.Table `cbor:"1,keyasint"`
	// State is its content.
	State catalog.State `cbor:"2,keyasint"`
}

// AgentHello opens a connection from an agent beside a model server.
type AgentHello struct {
	// Self is the agent; Addr is where it serves weights.
	Self core.Instance `cbor:"1,keyasint"`
	// Server is the address of its model server.
	Server string `cbor:"2,keyasint"`
	// Declared are the versions that the agent has heard of, with their ages.
	Declared []WantedWeights `cbor:"3,keyasint,omitempty"`
}

// AgentState is what an agent reads from its own model server.
type AgentState struct {
	// Weights are the versions of the models of which the server holds every
	// layer.
	Weights map[string]int `cbor:"1,keyasint,omitempty"`
	// Loading says that the server takes no new work while it loads.
	Loading bool `cbor:"2,keyasint,omitempty"`
	// List asks for the list of agents from now on.
	List bool `cbor:"3,keyasint,omitempty"`
}

// WantedWeights is a version that agents are to bring to their servers.
type WantedWeights struct {
	// Model and Version name it.
	Model   string `cbor:"1,keyasint"`
	Version int    `cbor:"2,keyasint"`
	// AgeMs is for how long the version has been declared, in milliseconds.
	AgeMs int64 `cbor:"3,keyasint"`
	// Chunks and ChunkBytes are the number and size of its pieces.
	Chunks     int `cbor:"4,keyasint"`
	ChunkBytes int `cbor:"5,keyasint"`
	// Service is the service whose servers hold it.
	Service string `cbor:"6,keyasint"`
}

// FleetAgent is an agent that brings weights to its server.
type FleetAgent struct {
	// Instance is the agent.
	Instance core.Instance `cbor:"1,keyasint"`
	// Server is the address of its model server.
	Server string `cbor:"2,keyasint"`
	// Holds says that its server serves the newest weights.
	Holds bool `cbor:"3,keyasint,omitempty"`
}

// Fleet is what an agent needs to know to bring weights to its server.
type Fleet struct {
	// Weights are the versions to hold.
	Weights []WantedWeights `cbor:"1,keyasint"`
	// Origin is the address of the source of weights, and OriginRate what
	// its link carries in bytes per second.
	Origin     string `cbor:"2,keyasint"`
	OriginRate int64  `cbor:"3,keyasint"`
	// Agents are the agents that hold or need them; only an agent that asked
	// for the list is told.
	Agents []FleetAgent `cbor:"4,keyasint,omitempty"`
	// Entries are the addresses of the entry instances that are known.
	Entries []string `cbor:"5,keyasint"`
	// DataCentre is the sender's.
	DataCentre string `cbor:"6,keyasint"`
}
