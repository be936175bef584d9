package frame

import (
	"maps"

	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/version/catalog"
)

// The kinds of messages between entry instances, and between entry instances and
// agents. They are used where entry instances send requests directly to the
// backend servers, not through the agents.
const (
	KindEntryHello   Kind = 32 // between entry instances: first message on a connection
	KindLoadUpdate   Kind = 33 // between entry instances: requests in flight per backend server
	KindTableRequest Kind = 34 // between entry instances: request for tables
	KindTable        Kind = 35 // between entry instances: content of a table
	KindAgentHello   Kind = 36 // agent to entry instance: first message on a connection
	KindAgentState   Kind = 37 // agent to entry instance: versions loaded by its backend server
	KindFleet        Kind = 38 // entry instance to agent: versions to load and their sources
	KindTableChanges Kind = 39 // between entry instances: changes of a table, read from the store
)

// EntryHello is the first message on a connection between entry instances.
type EntryHello struct {
	// Instance is the entry instance that sends the message.
	Instance core.Instance `cbor:"1,keyasint"`
	// RequestsHello is true if the receiver responds with an EntryHello of its own.
	RequestsHello bool `cbor:"2,keyasint,omitempty"`
	// Subscribes is true if the receiver reports the load of its whole data centre
	// on this connection. Otherwise the sender reports its own load.
	Subscribes bool `cbor:"3,keyasint,omitempty"`
	// Patches is true if the sender of the message takes patches in place of values of rows
	// in TableChanges.
	Patches bool `cbor:"4,keyasint,omitempty"`
}

// EntryAddr is the address of an entry instance.
type EntryAddr struct {
	// Addr is the address for connections from agents and from other entry instances.
	Addr string `cbor:"1,keyasint"`
	// DataCentre is the name of the entry instance's data centre; empty if unknown.
	DataCentre string `cbor:"2,keyasint,omitempty"`
}

// LoadUpdate reports to another entry instance how many requests the sender, or its
// whole data centre, has in flight at each backend server and which revisions the
// sender's tables have.
type LoadUpdate struct {
	// DeclaredRevision is the revision of the newest change in the sender's table
	// of declarations.
	DeclaredRevision uint64 `cbor:"1,keyasint"`
	// ServersRevision is the revision of the newest change in the sender's table
	// of backend servers.
	ServersRevision uint64 `cbor:"2,keyasint"`
	// RunningByServer maps the id of a backend server to the number of requests
	// in flight there. It contains only the numbers that have changed since the last
	// message.
	RunningByServer map[string]int `cbor:"3,keyasint,omitempty"`
	// DeclaredVersions are the recently declared model versions with the time
	// since their declaration.
	DeclaredVersions []WantedVersion `cbor:"4,keyasint,omitempty"`
	// Complete is true in the first message on a connection: RunningByServer and
	// Agents then replace everything that an earlier connection has reported.
	Complete bool `cbor:"5,keyasint,omitempty"`
	// InstanceCount is the number of entry instances whose requests are counted; 0
	// means the sender alone.
	InstanceCount int `cbor:"6,keyasint,omitempty"`
	// Agents are the agents of the sender's data centre that have connected or have
	// reported a change since the last message. They are only sent to subscribers.
	Agents []RelayedAgent `cbor:"7,keyasint,omitempty"`
	// GoneAgents are the server addresses of the agents that have disconnected.
	GoneAgents []string `cbor:"8,keyasint,omitempty"`
	// Entries are the entry instances that the sender has learned of since the last
	// message.
	Entries []EntryAddr `cbor:"9,keyasint,omitempty"`
	// ReadAgesMs holds, by table, the time since the store last responded to the
	// sender, in milliseconds. A table is missing while the store does not respond.
	// It is nil except in heartbeats; an empty map tells that the sender reads no table.
	ReadAgesMs map[catalog.Table]int64 `cbor:"10,keyasint"`
	// Evidence is what has been observed at backend servers since the last message.
	Evidence Evidence `cbor:"11,keyasint,omitzero"`
	// DeclaredEra and ServersEra are the store's eras to which DeclaredRevision and
	// ServersRevision belong.
	DeclaredEra uint64 `cbor:"12,keyasint,omitempty"`
	ServersEra  uint64 `cbor:"13,keyasint,omitempty"`
	// StoreContact is when the store has responded to the sender, which reads the table of
	// backend servers; nil if it does not read it or the store does not respond. It is only
	// sent with heartbeats.
	StoreContact *StoreContact `cbor:"14,keyasint,omitempty"`
}

// StoreContact is a period in which the store responded to an entry instance, with no pause in
// which the rows of live backend servers could lapse.
type StoreContact struct {
	// FromAgeMs and UntilAgeMs are the times since the first and the last response, in
	// milliseconds.
	FromAgeMs  int64 `cbor:"1,keyasint"`
	UntilAgeMs int64 `cbor:"2,keyasint"`
}

// Evidence is what entry instances have observed at backend servers.
type Evidence struct {
	// SuspectParts are the prompt parts under which servers have ended.
	SuspectParts []SuspectPart `cbor:"1,keyasint,omitempty"`
	// RequestLimits are the limits that servers name.
	RequestLimits []RequestLimit `cbor:"2,keyasint,omitempty"`
	// Shortages are the priorities whose requests were short of slots; they are sent for
	// services with several priorities, at most every 250 ms each.
	Shortages []Shortage `cbor:"3,keyasint,omitempty"`
	// ProvenLoads are the last proven loads of servers, which their agents have reported.
	ProvenLoads []ServerLoad `cbor:"4,keyasint,omitempty"`
}

// Empty reports whether there is no evidence.
func (e Evidence) Empty() bool {
	return len(e.SuspectParts)+len(e.RequestLimits)+len(e.Shortages)+len(e.ProvenLoads) == 0
}

// ServerLoad is the last proven load of a backend server.
type ServerLoad struct {
	// ServerAddr is the server's address.
	ServerAddr string `cbor:"1,keyasint"`
	// Load is the load.
	Load ProvenLoad `cbor:"2,keyasint"`
}

// RequestLimit is the limit of requests per second that a backend server named in a
// response, for all entry instances together.
type RequestLimit struct {
	// Server is the id of the server, and Boot identifies its boot.
	Server string `cbor:"1,keyasint"`
	Boot   string `cbor:"2,keyasint"`
	// Limited is false if the server named no limit.
	Limited bool `cbor:"3,keyasint,omitempty"`
	// PerSecond is the number of requests per second.
	PerSecond float64 `cbor:"4,keyasint,omitempty"`
	// AgeMs is the time since the response, in milliseconds.
	AgeMs int64 `cbor:"5,keyasint,omitempty"`
}

// Shortage tells when requests of a priority were last short of slots: they were refused, or
// had to wait for long.
type Shortage struct {
	// Service is the name of the service.
	Service string `cbor:"1,keyasint"`
	// Priority is the priority of the requests.
	Priority int `cbor:"2,keyasint,omitempty"`
	// AgeMs is the time since then, in milliseconds, at most 2,000.
	AgeMs int64 `cbor:"3,keyasint,omitempty"`
}

// SuspectPart is a part of prompts that was at servers when they ended.
type SuspectPart struct {
	// ID identifies the part.
	ID string `cbor:"1,keyasint"`
	// Position is the position of the part in the prompt.
	Position int `cbor:"2,keyasint,omitempty"`
	// KnownSound is true if requests with the part had run before.
	KnownSound bool `cbor:"3,keyasint,omitempty"`
	// Ends are the ends of servers under the part.
	Ends []PartEnd `cbor:"4,keyasint"`
	// Separate is the number of ends that are known to lie far enough apart to count
	// separately. Their times are known less exactly to each entry instance that learns
	// them from another one.
	Separate int `cbor:"5,keyasint,omitempty"`
}

// PartEnd is the end of a server while a request with a prompt part was there.
type PartEnd struct {
	// Boot identifies the boot of the server.
	Boot string `cbor:"1,keyasint"`
	// AgeMs is the time since the end, in milliseconds.
	AgeMs int64 `cbor:"2,keyasint"`
	// Refuted is true if a request with the part has run since.
	Refuted bool `cbor:"3,keyasint,omitempty"`
}

// RelayedAgent is an agent as the entry instances of its data centre see it.
type RelayedAgent struct {
	// Instance is the agent.
	Instance core.Instance `cbor:"1,keyasint"`
	// ServerAddr is the address of the agent's backend server.
	ServerAddr string `cbor:"2,keyasint"`
	// LoadedVersions, Loading and Proven are the values of the agent's last AgentState.
	LoadedVersions map[string]int `cbor:"3,keyasint,omitempty"`
	Loading        bool           `cbor:"4,keyasint,omitempty"`
	Proven         *ProvenLoad    `cbor:"5,keyasint,omitempty"`
}

// TableRequest requests the content of tables.
type TableRequest struct {
	// Tables are the tables of which the requester has an older revision than its
	// peer.
	Tables []catalog.Table `cbor:"1,keyasint"`
	// Held are the rows of these tables that the requester has. The response has patches of
	// these rows, or nothing, in place of their values. Of a table that is missing here, the
	// response has all values.
	Held map[catalog.Table]HeldRows `cbor:"2,keyasint,omitempty"`
}

// HeldRows are the rows of a table that an entry instance has.
type HeldRows struct {
	// Revisions are the revisions of the rows by key.
	Revisions map[string]uint64 `cbor:"1,keyasint"`
	// Era is the store's era to which the revisions belong.
	Era uint64 `cbor:"2,keyasint,omitempty"`
}

// TableState is the content of a table.
type TableState struct {
	// Table identifies the table.
	Table catalog.Table `cbor:"1,keyasint"`
	// Content is the content of the table.
	Content catalog.TableContent `cbor:"2,keyasint"`
}

// TableChanges holds changes of a table that the sender has read from the store.
type TableChanges struct {
	// Table identifies the table.
	Table catalog.Table `cbor:"1,keyasint"`
	// Changes are the changes.
	Changes catalog.RowChanges `cbor:"2,keyasint"`
}

// AgentHello is an agent's first message on a connection to an entry instance.
type AgentHello struct {
	// Instance is the agent. Its Addr is the address from which other agents
	// fetch weights.
	Instance core.Instance `cbor:"1,keyasint"`
	// ServerAddr is the address of the agent's backend server.
	ServerAddr string `cbor:"2,keyasint"`
	// DeclaredVersions are the declared versions that the agent has received from
	// entry instances, with their ages.
	DeclaredVersions []WantedVersion `cbor:"3,keyasint,omitempty"`
}

// AgentState is the state that an agent reads from its backend server.
type AgentState struct {
	// LoadedVersions maps the name of each model that is loaded with all its
	// layers to the number of the loaded version.
	LoadedVersions map[string]int `cbor:"1,keyasint,omitempty"`
	// Loading is true while the server loads a version and accepts no requests.
	Loading bool `cbor:"2,keyasint,omitempty"`
	// RequestsAgentList is true if the agent requests the list of agents in each Fleet
	// message.
	RequestsAgentList bool `cbor:"3,keyasint,omitempty"`
	// Pace is how many times as long as declared the server takes; 0 if it is not known. It
	// is the value at the last change that was worth a message.
	Pace float64 `cbor:"4,keyasint,omitempty"`
	// Proven is the last load of the server that is proven; nil if the agent knows of none.
	Proven *ProvenLoad `cbor:"5,keyasint,omitempty"`
}

// ProvenLoad is a load of a backend server of which an agent has proven that the server took
// the right chunks. The proof stays valid when the agent ends.
type ProvenLoad struct {
	// StartUnixMs is the server's start time, in Unix milliseconds. AcceptedOrders is the
	// number of load orders that the server had accepted since then.
	StartUnixMs    int64 `cbor:"1,keyasint"`
	AcceptedOrders int64 `cbor:"2,keyasint,omitempty"`
	// Versions maps the name of each loaded model to the number of the version.
	Versions map[string]int `cbor:"3,keyasint,omitempty"`
}

// Newer reports whether p is of a later load than other, which may be nil.
func (p *ProvenLoad) Newer(other *ProvenLoad) bool {
	return other == nil || p.StartUnixMs > other.StartUnixMs ||
		p.StartUnixMs == other.StartUnixMs && p.AcceptedOrders > other.AcceptedOrders
}

// Equal reports whether two proofs, which may be nil, are of the same load.
func (p *ProvenLoad) Equal(other *ProvenLoad) bool {
	if p == nil || other == nil {
		return p == other
	}
	return p.StartUnixMs == other.StartUnixMs && p.AcceptedOrders == other.AcceptedOrders && maps.Equal(p.Versions, other.Versions)
}

// WantedVersion is a declared model version that agents must load into their
// backend servers.
type WantedVersion struct {
	// Model is the name of the model.
	Model string `cbor:"1,keyasint"`
	// Version is the number of the version.
	Version int `cbor:"2,keyasint"`
	// AgeMs is the time since the version was declared, in milliseconds.
	AgeMs int64 `cbor:"3,keyasint"`
	// ChunkCount is the number of chunks of the version.
	ChunkCount int `cbor:"4,keyasint"`
	// ChunkBytes is the size of a chunk, in bytes.
	ChunkBytes int `cbor:"5,keyasint"`
	// Service is the name of the service whose backend servers load the version.
	Service string `cbor:"6,keyasint"`
	// LoadMs is the declared time that a server without running requests takes to load the
	// version, in milliseconds; 0 if none is declared.
	LoadMs int64 `cbor:"7,keyasint,omitempty"`
}

// FleetAgent is an agent that loads model versions into its backend server.
type FleetAgent struct {
	// Instance is the agent.
	Instance core.Instance `cbor:"1,keyasint"`
	// ServerAddr is the address of the agent's backend server.
	ServerAddr string `cbor:"2,keyasint"`
	// HasDeclaredVersion is true if the server has loaded the newest declared
	// version of at least one model.
	HasDeclaredVersion bool `cbor:"3,keyasint,omitempty"`
}

// Fleet contains the versions that an agent must load and the addresses from which
// the agent can fetch them.
type Fleet struct {
	// WantedVersions are the versions to load.
	WantedVersions []WantedVersion `cbor:"1,keyasint"`
	// OriginAddr is the address of the store that holds all weights, from which the
	// agents fetch the first copy.
	OriginAddr string `cbor:"2,keyasint"`
	// OriginBytesPerSecond is the bandwidth of the origin, in bytes per second.
	OriginBytesPerSecond int64 `cbor:"3,keyasint"`
	// Agents lists all agents that are connected to the sender. It is only sent
	// to agents that set AgentState.RequestsAgentList.
	Agents []FleetAgent `cbor:"4,keyasint,omitempty"`
	// EntryAddrs are the addresses of all entry instances that are known at the
	// sender.
	EntryAddrs []string `cbor:"5,keyasint"`
	// DataCentre is the data centre of the sender.
	DataCentre string `cbor:"6,keyasint"`
	// EntryDataCentres are the data centres of EntryAddrs, in the same order; a name
	// is empty if the data centre is unknown.
	EntryDataCentres []string `cbor:"7,keyasint,omitempty"`
	// ProvenLoad is the last load of the recipient's server that is known to be proven; nil if
	// there is none. An agent that has just started learns from it what the agent before it had
	// proven.
	ProvenLoad *ProvenLoad `cbor:"8,keyasint,omitempty"`
}
