package core

// Role is the kind of process that an instance runs.
type Role string

// Roles of the processes of this system.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Instance describes one process of this system. The description comes from
// the platform's list of instances, from settings or from a registration.
type Instance struct {
	// ID is the instance's name. An agent has the name of its backend server.
	ID string `json:"id" cbor:"1,keyasint"`
	// Role is RoleEntry or RoleAgent.
	Role Role `json:"role" cbor:"2,keyasint"`
	// Addr is the "ip:port" on which the instance listens.
	Addr string `json:"addr" cbor:"3,keyasint"`
	// DataCentre is the name of the data centre in which the instance runs.
	DataCentre string `json:"dataCentre" cbor:"4,keyasint"`
	// Region is the name of the region of that data centre.
	Region string `json:"region" cbor:"5,keyasint"`
	// Leaving is true once the platform has announced that the instance will be
	// stopped.
	Leaving bool `json:"leaving,omitempty" cbor:"6,keyasint,omitempty"`
}

// FailureOutcome states in a problem document whether a failed call was executed.
type FailureOutcome string

// Values of FailureOutcome.
const (
	// OutcomeNotRun means that no part of the call was executed.
	OutcomeNotRun FailureOutcome = "not-run"
	// OutcomeUnknown means that the call may or may not have been executed.
	OutcomeUnknown FailureOutcome = "unknown"
	// OutcomeIncomplete means that the response ended early, after its start
	// had been sent.
	OutcomeIncomplete FailureOutcome = "incomplete"
)

// Names of HTTP headers between the processes of this system, callers and
// engines.
const (
	// HeaderRequestID carries the request id in requests and responses.
	HeaderRequestID = "X-Request-Id"
	// HeaderDigest carries the manifest digest of a model version. In a request
	// to an engine, it is the version that must serve the call; in a response,
	// the version that produced the response.
	HeaderDigest = "X-Model-Digest"
	// HeaderPeerToken carries the token with which the processes of this
	// system authenticate to each other.
	HeaderPeerToken = "X-Peer-Token"
	// HeaderIdempotencyKey carries the key that the caller gave to a once-only
	// call, a call that is executed at most once.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderPriority carries the priority of a call, from 0 (lowest) to 9.
	HeaderPriority = "X-Priority"
)
