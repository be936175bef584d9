// Package frame defines the messages that entry instances and agents exchange over
// WebSocket connections, and their CBOR encoding. A frame is one message in an
// envelope with the protocol version and the kind of the message. Decoding ignores
// unknown fields, so that older processes can read the messages of newer ones.
package frame

import (
	"github.com/rattanway/rattanway/core"
)

// ProtocolVersion is the protocol version of the frames that this build sends
// and accepts.
const ProtocolVersion = 1

// MaxBytes is the maximum size of an accepted frame, in bytes.
const MaxBytes = 16 << 20

// Kind is the kind of the message in a frame.
type Kind uint8

// The kinds of messages, by the connection that carries them.
const (
	// Registration connections, which an agent opens to an entry instance.
	KindHello   Kind = 1 // agent to entry instance: first message
	KindWelcome Kind = 2 // entry instance to agent: response to Hello
	KindReport  Kind = 3 // agent to entry instance: load and state
	KindNotice  Kind = 4 // both ways: number of the sender's configuration version
	KindPull    Kind = 5 // both ways: request for the configuration
	KindConfig  Kind = 6 // both ways: the configuration

	// Work connections, which an entry instance opens to an agent. They carry
	// one request at a time.
	KindRequest       Kind = 16 // entry instance to agent: run this repeatable call
	KindOffer         Kind = 17 // entry instance to agent: hold a slot for this once-only call
	KindAdmit         Kind = 18 // agent to entry instance: a slot is held
	KindGo            Kind = 19 // entry instance to agent: run the offered call
	KindRefuse        Kind = 20 // agent to entry instance: the call was not admitted and did not run
	KindHead          Kind = 21 // agent to entry instance: status and header of the response
	KindData          Kind = 22 // agent to entry instance: part of the response body
	KindEnd           Kind = 23 // agent to entry instance: the response is complete
	KindFail          Kind = 24 // agent to entry instance: the response failed or is incomplete
	KindAttemptQuery  Kind = 25 // entry instance to agent: has this attempt of a once-only call run?
	KindAttemptStatus Kind = 26 // agent to entry instance: response to AttemptQuery
)

// State is the state of a backend server as determined by its agent.
type State string

// The states of a backend server. Its limit is the maximum number of concurrent
// calls, which grows from a declared cold limit after a start.
const (
	// StateCold means that the server is up and its limit is still the cold
	// limit.
	StateCold State = "cold"
	// StateWarming means that the limit is between the cold limit and the full
	// limit.
	StateWarming State = "warming"
	// StateReady means that the server has its full limit.
	StateReady State = "ready"
	// StateLeaving means that the server accepts no new calls.
	StateLeaving State = "leaving"
	// StateDown means that the engine or service does not respond.
	StateDown State = "down"
)

// LoadedVersion is a model version that an engine reports as loaded.
type LoadedVersion struct {
	// Model is the name of the model.
	Model string `cbor:"1,keyasint" json:"model"`
	// Version is the name of the version.
	Version string `cbor:"2,keyasint" json:"version"`
	// Digest is the manifest digest that the engine computed.
	Digest core.Digest `cbor:"3,keyasint" json:"digest"`
}

// Report is an agent's report on its backend server.
type Report struct {
	// State is the server's state.
	State State `cbor:"1,keyasint"`
	// Limit is the current maximum number of concurrent calls.
	Limit int `cbor:"2,keyasint"`
	// InFlight is the number of admitted calls that have not ended.
	InFlight int `cbor:"3,keyasint"`
	// Queued is the number of calls waiting for a slot.
	Queued int `cbor:"4,keyasint"`
	// ConfigNumber is the number of the configuration version in force at the agent.
	ConfigNumber uint64 `cbor:"5,keyasint"`
	// Loaded lists the versions that the engine reports as loaded. It is only
	// sent with LoadedChanged set.
	Loaded []LoadedVersion `cbor:"6,keyasint,omitempty"`
	// LoadedChanged is true if Loaded replaces the list of the last report;
	// otherwise that list is still valid.
	LoadedChanged bool `cbor:"7,keyasint,omitempty"`
	// HeartbeatMillis is the maximum time until the next report, in
	// milliseconds; 0 means that the maximum has not changed since the last
	// report.
	HeartbeatMillis int64 `cbor:"8,keyasint,omitempty"`
}

// Hello is an agent's first message on a registration connection. The entry
// instance responds with Welcome.
type Hello struct {
	// Instance is the agent.
	Instance core.Instance `cbor:"1,keyasint"`
	// Incarnation is an id that is different each time the agent starts.
	Incarnation string `cbor:"2,keyasint"`
	// Service is the name of the plain service beside the agent; empty for a
	// model engine.
	Service string `cbor:"3,keyasint,omitempty"`
	// Report is the first report, with LoadedChanged set.
	Report Report `cbor:"4,keyasint"`
}

// Welcome is the response to Hello.
type Welcome struct {
	// Instance is the entry instance.
	Instance core.Instance `cbor:"1,keyasint"`
	// ConfigNumber is the number of the configuration version in force at the entry
	// instance.
	ConfigNumber uint64 `cbor:"2,keyasint"`
}

// Notice announces the sender's configuration version. It is also the response
// to a Pull whose sender already has that version.
type Notice struct {
	// ConfigNumber is the number of the configuration version.
	ConfigNumber uint64 `cbor:"1,keyasint"`
	// Confirmed is only set in a response to Pull. It is true if the sender's
	// version has been confirmed as the newest after the sender's start and
	// after the sender's last pause.
	Confirmed bool `cbor:"2,keyasint,omitempty"`
}

// Pull requests the configuration.
type Pull struct {
	// HeldNumber is the number of the requester's version, so that the peer can send
	// only the delta from that version; 0 requests the complete configuration.
	HeldNumber uint64 `cbor:"1,keyasint"`
}

// Config carries a configuration version, either complete or as the delta from
// version Base. It is the response to a Pull.
type Config struct {
	// Number is the number of the version.
	Number uint64 `cbor:"1,keyasint"`
	// Digest is the digest of the complete encoded configuration.
	Digest core.Digest `cbor:"2,keyasint"`
	// Base is the number of the version to which the delta in Body applies; 0 if
	// Body is complete.
	Base uint64 `cbor:"3,keyasint,omitempty"`
	// Body is the complete configuration or the delta, encoded by package declare.
	Body []byte `cbor:"4,keyasint"`
	// Confirmed has the same meaning as Notice.Confirmed.
	Confirmed bool `cbor:"5,keyasint,omitempty"`
}

// Request is a call that an entry instance sends to an agent. The agent runs the
// call of a KindRequest frame. For the call of a KindOffer frame it only holds a
// slot.
type Request struct {
	// ID is the request id. Every frame about this request carries it.
	ID string `cbor:"1,keyasint"`
	// Account is the name of the client account.
	Account string `cbor:"2,keyasint"`
	// Share is the weight of the client account, at least 1, by which scarce
	// capacity is divided among accounts.
	Share int `cbor:"3,keyasint"`
	// Priority is from 0 (lowest) to 9 (highest).
	Priority int `cbor:"4,keyasint"`
	// Method is the HTTP method.
	Method string `cbor:"5,keyasint"`
	// Path is the path and query of the URL at the engine or service.
	Path string `cbor:"6,keyasint"`
	// Header is the HTTP header, forwarded to the engine or service.
	Header map[string][]string `cbor:"7,keyasint,omitempty"`
	// Body is the complete request body.
	Body []byte `cbor:"8,keyasint,omitempty"`
	// Model is the name of the model; empty for a plain service.
	Model string `cbor:"9,keyasint,omitempty"`
	// Digest is the manifest digest of the model version that must serve the
	// call; empty for a plain service.
	Digest core.Digest `cbor:"10,keyasint,omitempty"`
	// ConfigNumber is the number of the configuration version by which the entry
	// instance routed the call.
	ConfigNumber uint64 `cbor:"11,keyasint"`
	// TimeoutMillis is the time remaining until the deadline of the call, in
	// milliseconds.
	TimeoutMillis int64 `cbor:"12,keyasint"`
	// ResumeTokens is the number of tokens that the caller has already received;
	// the engine continues the response after them.
	ResumeTokens int `cbor:"13,keyasint,omitempty"`
	// AttemptNumber is the number of the attempt at a keyed once-only call, from 1.
	AttemptNumber int `cbor:"14,keyasint,omitempty"`
	// Key identifies a keyed once-only call by client account, service and the
	// caller's Idempotency-Key; empty if the call has no key.
	Key string `cbor:"15,keyasint,omitempty"`
}

// Admit is the response to an offer for which the agent holds a slot.
type Admit struct {
	// ID is the request id.
	ID string `cbor:"1,keyasint"`
	// Incarnation is the incarnation of the agent.
	Incarnation string `cbor:"2,keyasint"`
	// HoldMillis is the time for which the slot is held, in milliseconds.
	HoldMillis int64 `cbor:"3,keyasint"`
}

// Go instructs an agent to run an offered call.
type Go struct {
	// ID is the request id.
	ID string `cbor:"1,keyasint"`
}

// Reason is the reason why an agent did not admit a call.
type Reason string

// The reasons why an agent does not admit a call.
const (
	ReasonFull             Reason = "full"       // no slot is free and the queue is full, or the wait in the queue took too long
	ReasonLeaving          Reason = "leaving"    // the server accepts no new calls
	ReasonDataCentreOut    Reason = "out"        // the data centre is out of service
	ReasonStaleConfig      Reason = "stale"      // the agent's configuration is too old or unconfirmed
	ReasonDigestMismatch   Reason = "digest"     // the engine has not loaded the requested version
	ReasonDown             Reason = "down"       // the engine or service does not respond
	ReasonDuplicate        Reason = "duplicate"  // this attempt was refused or run before
	ReasonExpired          Reason = "expired"    // the deadline or the hold time of the slot has passed
	ReasonUnknownOperation Reason = "unknown-op" // the server does not serve this method and path
)

// Refuse reports that a call was not admitted and that no part of it ran.
type Refuse struct {
	// ID is the request id.
	ID string `cbor:"1,keyasint"`
	// Reason is the reason of the refusal.
	Reason Reason `cbor:"2,keyasint"`
	// RetryAfterMillis is the suggested time until a retry, in milliseconds; 0
	// means no suggestion.
	RetryAfterMillis int64 `cbor:"3,keyasint,omitempty"`
	// Load is the agent's current load.
	Load Load `cbor:"4,keyasint"`
}

// Load holds the limit and the call counts of an agent. The last frame of every
// call carries a Load, so that the entry instance has newer values than those of
// the last report.
type Load struct {
	// Limit is the current maximum number of concurrent calls.
	Limit int `cbor:"1,keyasint"`
	// InFlight is the number of admitted calls that have not ended.
	InFlight int `cbor:"2,keyasint"`
	// Queued is the number of calls waiting for a slot.
	Queued int `cbor:"3,keyasint"`
}

// Head is the start of a response.
type Head struct {
	// ID is the request id.
	ID string `cbor:"1,keyasint"`
	// Status is the HTTP status.
	Status int `cbor:"2,keyasint"`
	// Header is the HTTP header of the response.
	Header map[string][]string `cbor:"3,keyasint,omitempty"`
	// Digest is the manifest digest of the model version that the engine reports
	// for this response; empty for a plain service.
	Digest core.Digest `cbor:"4,keyasint,omitempty"`
}

// Data is a part of a response body.
type Data struct {
	// ID is the request id.
	ID string `cbor:"1,keyasint"`
	// Body is the next part of the response body.
	Body []byte `cbor:"2,keyasint"`
	// Tokens is the number of complete tokens in this part; 0 for a plain
	// service.
	Tokens int `cbor:"3,keyasint,omitempty"`
}

// End reports that the response is complete.
type End struct {
	// ID is the request id.
	ID string `cbor:"1,keyasint"`
	// BodyBytes is the length of the response body.
	BodyBytes int64 `cbor:"2,keyasint"`
	// BodyChecksum is the xxhash64 checksum of the response body.
	BodyChecksum uint64 `cbor:"3,keyasint"`
	// Load is the agent's current load.
	Load Load `cbor:"4,keyasint"`
}

// Fail reports that the response ended early, or that the engine failed before the
// response began.
type Fail struct {
	// ID is the request id.
	ID string `cbor:"1,keyasint"`
	// FailureOutcome states whether the call was executed.
	FailureOutcome core.FailureOutcome `cbor:"2,keyasint"`
	// Detail is the cause of the failure, for logs.
	Detail string `cbor:"3,keyasint,omitempty"`
	// Load is the agent's current load.
	Load Load `cbor:"4,keyasint"`
}

// AttemptQuery queries whether an agent has run an attempt of a keyed call, a
// once-only call with an Idempotency-Key. After the query, the agent never
// starts this attempt or an earlier one.
type AttemptQuery struct {
	// ID is the request id of this query.
	ID string `cbor:"1,keyasint"`
	// Key identifies the keyed call.
	Key string `cbor:"2,keyasint"`
	// AttemptNumber is the number of the attempt in question.
	AttemptNumber int `cbor:"3,keyasint"`
}

// AttemptState is the state of an attempt of a keyed call at an agent.
type AttemptState string

// The states of an attempt of a keyed call.
const (
	AttemptNotRun  AttemptState = "no"      // never ran and will never run
	AttemptRunning AttemptState = "running" // is running
	AttemptRan     AttemptState = "yes"     // has run
	AttemptUnknown AttemptState = "unknown" // the agent has no record of the attempt any more
)

// AttemptStatus is the response to AttemptQuery.
type AttemptStatus struct {
	// ID is the request id of the query.
	ID string `cbor:"1,keyasint"`
	// Incarnation is the incarnation of the agent. The entry instance compares
	// it with the incarnation recorded for the attempt.
	Incarnation string `cbor:"2,keyasint"`
	// State is the state of the attempt.
	State AttemptState `cbor:"3,keyasint"`
	// Outcome is the response of an attempt that has run; nil if the agent no
	// longer stores it.
	Outcome *Outcome `cbor:"4,keyasint,omitempty"`
}

// Outcome is the complete response of a once-only call.
type Outcome struct {
	// Status is the HTTP status.
	Status int `cbor:"1,keyasint"`
	// Header is the HTTP header of the response.
	Header map[string][]string `cbor:"2,keyasint,omitempty"`
	// Body is the complete response body.
	Body []byte `cbor:"3,keyasint,omitempty"`
}
