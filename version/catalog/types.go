package catalog

import (
	"strconv"
	"time"
)

// Kind is the kind of a route. The kind determines whether a request of the route
// may run more than once.
type Kind string

// The kinds of routes.
const (
	// KindSafe means that requests may run more than once.
	KindSafe Kind = "safe"
	// KindUnsafe means that requests run at most once.
	KindUnsafe Kind = "unsafe"
	// KindStream means that the response is a stream of events. Requests run at
	// most once unless the route is resumable.
	KindStream Kind = "stream"
)

// Route assigns the requests for a host and a path prefix to services.
type Route struct {
	// Name identifies the route.
	Name string
	// Host is the host name without a port.
	Host string
	// Prefix is the path prefix; it begins and ends with a slash.
	Prefix string
	// Kind determines whether requests may run more than once.
	Kind Kind
	// Timeout is the maximum time that a request may wait for its response.
	Timeout time.Duration
	// FirstByteObjective is the target for the time to the first byte of a
	// response.
	FirstByteObjective time.Duration
	// EventGapObjective is the target for the longest pause between two events
	// of a stream.
	EventGapObjective time.Duration
	// Priority orders waiting requests; 0 is the most urgent.
	Priority int
	// Targets are the services that run the requests, each with its relative
	// share of the requests.
	Targets []Target
	// MaxServers is the maximum number of servers to which one request may be
	// sent.
	MaxServers int
	// AllowAnonymous reports whether requests need no API key.
	AllowAnonymous bool
	// Resumable reports whether a stream may be continued after its last
	// received event.
	Resumable bool
	// Regions are the regions whose servers may run the requests; empty
	// means all regions.
	Regions []string
}

// Repeatable reports whether a request may be sent again although it may already
// have run.
func (r *Route) Repeatable() bool {
	return r.Kind == KindSafe || r.Kind == KindStream && r.Resumable
}

// Target is one of the services that run a route's requests.
type Target struct {
	// Service is the service's name.
	Service string
	// Weight is the share of the route's requests that this service gets,
	// relative to the Weight of the other targets.
	Weight int
}

// Service is a group of interchangeable backend servers.
type Service struct {
	// Name identifies the service.
	Name string
	// HealthPath is the path of the servers' health check.
	HealthPath string
	// MaxConnections is the maximum number of connections that one server
	// accepts from all clients together.
	MaxConnections int
	// ColdDuration is the length of the cold period after a server's start.
	ColdDuration time.Duration
	// ColdRequestsPerSecond is the maximum number of requests per second for a
	// server in its cold period; 0 means no limit.
	ColdRequestsPerSecond float64
	// Engine describes the model servers of the service; nil for a service
	// without models.
	Engine *Engine
	// Origin is set for the service from which weights are downloaded.
	Origin *Origin
}

// Engine describes the model servers of a service, as operators publish it.
type Engine struct {
	// Slots is the maximum number of requests that one server runs at once.
	Slots int
	// StepTime is the duration of one token step before the additions for each
	// request.
	StepTime time.Duration
	// StepTimePerRequest is added to StepTime for each request that is generating
	// tokens.
	StepTimePerRequest time.Duration
	// StepTimePerContext is added to StepTime for every 1,000 tokens of context
	// of each request.
	StepTimePerContext time.Duration
	// PromptTokensPerSecond is the number of prompt tokens processed per second.
	PromptTokensPerSecond float64
	// PromptTokensPerStep is the maximum number of prompt tokens processed in one token
	// step; 0 if no maximum is declared.
	PromptTokensPerStep int
	// TimePerMillionPairs is added to the processing of prompts for every million pairs
	// of a prompt token and any earlier token.
	TimePerMillionPairs time.Duration
	// StepsPerPass is the number of token steps in one pass of the engine.
	StepsPerPass int
	// MeanPromptTokens is the mean number of tokens in a prompt, and
	// MeanResponseTokens the mean number in a response.
	MeanPromptTokens, MeanResponseTokens int
	// LayerCount is the number of layers of the model.
	LayerCount int
	// ChunkCount is the number of chunks of a model's weights.
	ChunkCount int
	// ChunkBytes is the size of each chunk in bytes.
	ChunkBytes int
	// Models are the names of the models.
	Models []string
	// LoadTimes maps each model to the time that a server without running requests takes
	// to load a version whose chunks are staged, if it is declared.
	LoadTimes map[string]time.Duration
	// Delays are the declared network delays between data centres.
	Delays []NetworkDelay
}

// NetworkDelay is the declared network delay from one data centre to another, one way.
type NetworkDelay struct {
	From, To string
	Delay    time.Duration
}

// Origin is the server from which weights are downloaded.
type Origin struct {
	// Addr is the server's address, "ip:port".
	Addr string
	// DataCentre is the name of the server's data centre.
	DataCentre string
	// BytesPerSecond is the capacity of the server's network link.
	BytesPerSecond int64
}

// Account is a client account.
type Account struct {
	// Name identifies the account; it is passed on to the backend servers.
	Name string
	// Keys are the API keys with which the account's clients authenticate.
	Keys []string
	// Priority overrides the route's priority; nil means no override.
	Priority *int
	// Regions are the regions whose servers may run the account's requests;
	// empty means all regions.
	Regions []string
}

// Limits are the limits on what clients may send.
type Limits struct {
	// MaxHeaderBytes is the maximum size of a request's header, and MaxBodyBytes the
	// maximum size of its body.
	MaxHeaderBytes, MaxBodyBytes int64
	// HeaderTimeout is the maximum time for reading a request's header; 0 if none is
	// declared.
	HeaderTimeout time.Duration
	// IdleTimeout is the maximum time for which a connection may stay unused; 0 if none is
	// declared. Clients reuse connections for up to four fifths of it.
	IdleTimeout time.Duration
}

// Config is one accepted version of the operators' configuration.
type Config struct {
	// Version increases with each change.
	Version int64
	// Routes are all routes.
	Routes []Route
	// Services are all services by name.
	Services map[string]*Service
	// Accounts are the client accounts.
	Accounts []Account
	// AccountsDeclared reports whether the configuration has a list of client
	// accounts. If there is no list, requests need no API key.
	AccountsDeclared bool
	// Limits are the limits on what clients may send.
	Limits Limits
}

// Server is a backend server as its row in the store describes it.
type Server struct {
	// ID identifies one process of the server and changes with each start.
	ID string
	// Service is the name of the service to which the server belongs.
	Service string
	// Addr is the server's address, "ip:port".
	Addr string
	// DataCentre is the name of the server's data centre.
	DataCentre string
	// Slots is the maximum number of requests that the server runs at once.
	Slots int
	// Leaving reports whether the server has announced that it will stop.
	Leaving bool
	// ColdUntil is the end of the cold period, by the clock of this process.
	ColdUntil time.Time
	// StartUnixMs is the server's start time, in Unix milliseconds.
	StartUnixMs int64
	// LoadedVersions maps each model to the version of which the server holds
	// all layers.
	LoadedVersions map[string]int
}

// Boot identifies one start of the server. An ID alone does not: a server may start
// again under the ID that it had.
func (s *Server) Boot() string { return s.ID + "@" + strconv.FormatInt(s.StartUnixMs, 36) }

// Weights is a declared version of a model's weights.
type Weights struct {
	// Model is the model's name.
	Model string
	// Version is the version number, from 1.
	Version int
	// DeclaredAt is the earliest known time at which any process received the
	// declaration.
	DeclaredAt time.Time
	// DeclaredAtEstimated reports whether DeclaredAt is only an estimate, because
	// the version was declared before this process started.
	DeclaredAtEstimated bool
	// EarlierVersions are the versions that were declared earlier, newest first.
	EarlierVersions []Weights
}

// MinVersion returns the oldest version that may still be used at time now. Once
// dueAfter has passed since the declaration of a version, all older versions may
// no longer be used. MinVersion returns 0 if dueAfter has not passed for any
// version yet.
func (w Weights) MinVersion(now time.Time, dueAfter time.Duration) int {
	if now.Sub(w.DeclaredAt) >= dueAfter {
		return w.Version
	}
	for _, earlier := range w.EarlierVersions {
		if now.Sub(earlier.DeclaredAt) >= dueAfter {
			return earlier.Version
		}
	}
	return 0
}
