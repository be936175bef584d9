package catalog

import "time"

// Kind says what of a route's requests may be repeated.
type Kind string

// The kinds of routes.
const (
	// KindSafe requests may run more than once.
	KindSafe Kind = "safe"
	// KindUnsafe requests run at most once.
	KindUnsafe Kind = "unsafe"
	// KindStream requests are answered by a series of events; they run at
	// most once unless the route is resumable.
	KindStream Kind = "stream"
)

// Route sends the requests of a host below a path prefix to services.
type Route struct {
	// Name is the route's name.
	Name string
	// Host is the host name without a port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Kind says what may be repeated.
	Kind Kind
	// Timeout is the longest that a request may be kept waiting.
	Timeout time.Duration
	// Objective is the time to the first byte for which an answer is on time.
	Objective time.Duration
	// Gap is the longest pause between events for which a stream is on time.
	Gap time.Duration
	// Priority is the route's rank; 0 is the most urgent.
	Priority int
	// Targets are the services that run the requests, by weight.
	Targets []Target
	// MaxServers is the number of servers to which one request may be sent.
	MaxServers int
	// Anonymous routes need no key.
	Anonymous bool
	// Resumable streams may be continued after their last event.
	Resumable bool
	// Regions are the regions whose servers may run the requests; empty
	// means all of them.
	Regions []string
}

// Repeatable reports whether a request that may have run can be sent again.
func (r *Route) Repeatable() bool {
	return r.Kind == KindSafe || r.Kind == KindStream && r.Resumable
}

// Target is one service of a route.
type Target struct {
	// Service is the service's name.
	Service string
	// Weight is the service's share of the route's requests.
	Weight int
}

// Service is a group of like servers.
type Service struct {
	// Name is the service's name.
	Name string
	// HealthPath is the path of the servers' health check.
	HealthPath string
	// MaxConnections is what one server accepts from all callers together.
	MaxConnections int
	// ColdFor is how long a server stays cold after its start.
	ColdFor time.Duration
	// ColdPerSecond is the number of requests a second that a cold server
	// bears; 0 means no limit.
	ColdPerSecond float64
	// Engine describes the model servers; nil for a plain service.
	Engine *Engine
	// Origin is set for the service that the weights come from.
	Origin *Origin
}

// Engine is what the operator publishes about the model servers of a service.
type Engine struct {
	// Slots is the number of requests that run at once.
	Slots int
	// Step is the time of one token step without requests.
	Step time.Duration
	// StepPerRequest is added for each request that is writing.
	StepPerRequest time.Duration
	// StepPerContext is added per request and 1,000 tokens of its context.
	StepPerContext time.Duration
	// ReadPerSecond is the number of prompt tokens read in a second.
	ReadPerSecond float64
	// Stride is the number of token steps in one pass.
	Stride int
	// UsualPrompt and UsualAnswer are mean numbers of tokens.
	UsualPrompt, UsualAnswer int
	// Layers is the number of layers of the model.
	Layers int
	// Chunks is the number of pieces of a model's weights.
	Chunks int
	// ChunkBytes is the size of each piece.
	ChunkBytes int
	// Models are the names of the models.
	Models []string
}

// Origin is the source of weights.
type Origin struct {
	// Addr is the "ip:port" of the source.
	Addr string
	// DataCentre is where it stands.
	DataCentre string
	// BytesPerSecond is what its link carries.
	BytesPerSecond int64
}

// Account is a client account.
type Account struct {
	// Name is passed on to the servers.
	Name string
	// Keys are the secrets with which its clients authenticate.
	Keys []string
	// Priority goes before the route's; nil when the account has none.
	Priority *int
	// Regions are the regions whose servers may run its requests; empty
	// means all of them.
	Regions []string
}

// Limits bound what a client may send.
type Limits struct {
	// HeaderBytes and BodyBytes bound a request's size.
	HeaderBytes, BodyBytes int64
	// HeaderTimeout bounds the reading of a request's header.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may stay unused.
	IdleTimeout time.Duration
}

// Config is one accepted version of the operators' configuration.
type Config struct {
	// Version grows with each change.
	Version int64
	// Routes are all routes.
	Routes []Route
	// Services are all services by name.
	Services map[string]*Service
	// Accounts are the client accounts.
	Accounts []Account
	// AccountsDeclared is false when requests need no key at all.
	AccountsDeclared bool
	// Limits bound what clients may send.
	Limits Limits
}

// Server is a backend server as it describes itself.
type Server struct {
	// ID identifies one start of the server.
	ID string
	// Service is the service that it belongs to.
	Service string
	// Addr is its "ip:port".
	Addr string
	// DataCentre is where it stands.
	DataCentre string
	// Slots is the number of requests that it runs at once.
	Slots int
	// Leaving says that it has announced its end.
	Leaving bool
	// ColdUntil is when it stops being cold, by the clock of this process.
	ColdUntil time.Time
	// Started is the Unix time of its start in milliseconds.
	Started int64
	// Weights are the versions of the models of which it holds every layer.
	Weights map[string]int
}

// Weights is a declared version of a model's weights.
type Weights struct {
	// Model is the model's name.
	Model string
	// Version counts from 1.
	Version int
	// Known is when this process, or the first entry instance that told it,
	// learned of the version.
	Known time.Time
	// Guessed says that Known is only a guess: the version was declared
	// before this process started.
	Guessed bool
	// Before are the versions that were declared before it, newest first.
	Before []Weights
}

// Required returns the oldest version that may still be used at now when each
// declared version must be in force once it has been known for due.
func (w Weights) Required(now time.Time, due time.Duration) int {
	if now.Sub(w.Known) >= due {
		return w.Version
	}
	for _, old := range w.Before {
		if now.Sub(old.Known) >= due {
			return old.Version
		}
	}
	return 0
}
