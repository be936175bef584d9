package routing

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/connection/registry"
	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/process/eventlog"
	"github.com/rattanway/rattanway/version/confstore"
)

// Defaults of Config.
const (
	defaultEjectionThreshold = 3
	defaultBaseEjectionTime  = time.Second
	defaultMaxEjectionTime   = 30 * time.Second
)

var (
	eventServerChosen = eventlog.Define(500, "server-chosen", logrus.InfoLevel,
		"a backend server was chosen for an attempt at a call")
	eventNoServer = eventlog.Define(501, "no-server", logrus.WarnLevel,
		"no backend server is available for the call")
	eventServerEjected = eventlog.Define(502, "server-ejected", logrus.WarnLevel,
		"a backend server failed repeatedly and gets no calls for a while")
	eventServerRestored = eventlog.Define(503, "server-restored", logrus.InfoLevel,
		"a probe of an ejected backend server succeeded, and the server gets calls again")
	eventOlderVersionPinned = eventlog.Define(504, "older-version-pinned", logrus.InfoLevel,
		"too few servers have loaded the declared version, so new calls run on another version of the model")
)

// Policy is the name of a load balancing policy, which chooses among equally
// preferred servers.
type Policy string

// The policies. PolicyTwoChoices is the default; the others exist for comparison.
const (
	// PolicyTwoChoices takes two random servers and chooses the one with the lower
	// ratio of load to limit (power of two choices).
	PolicyTwoChoices Policy = "two-choices"
	// PolicyRandom takes a random server.
	PolicyRandom Policy = "random"
	// PolicyRoundRobin takes the servers in turn.
	PolicyRoundRobin Policy = "round-robin"
	// PolicyLeastLoaded takes the server with the lowest ratio of load to limit.
	PolicyLeastLoaded Policy = "least-loaded"
)

// Config holds the settings of a Router.
type Config struct {
	// Self is the entry instance that uses the Router. Servers in the same data
	// centre are preferred, then servers in the same region.
	Self core.Instance
	// Policy is the load balancing policy; default PolicyTwoChoices.
	Policy Policy
	// PrefixAffinity sends calls whose prompts have the same prefix to the same
	// server, unless the load ratio of that server is far above the mean.
	PrefixAffinity bool
	// EjectionThreshold is the number of consecutive failures after which a server is
	// ejected; default 3.
	EjectionThreshold int
	// BaseEjectionTime is the duration of the first ejection; default 1 s. The
	// duration doubles with each further ejection since the last success, up to
	// MaxEjectionTime.
	BaseEjectionTime time.Duration
	// MaxEjectionTime is the maximum duration of an ejection; default 30 s.
	MaxEjectionTime time.Duration
	// Seed makes choices reproducible in tests; 0 means a random seed.
	Seed uint64
}

func (c *Config) applyDefaults() {
	core.SetDefault(&c.Policy, PolicyTwoChoices)
	core.SetDefault(&c.EjectionThreshold, defaultEjectionThreshold)
	core.SetDefault(&c.BaseEjectionTime, defaultBaseEjectionTime)
	core.SetDefault(&c.MaxEjectionTime, defaultMaxEjectionTime)
	if c.Seed == 0 {
		c.Seed = rand.Uint64()
	}
}

// Router is the Picker of an entry instance. It is safe for concurrent use.
type Router struct {
	config       Config
	reg          *registry.Registry
	configHolder *confstore.Holder
	log          *eventlog.Logger
	clock        clockwork.Clock

	mu  sync.Mutex
	rng *rand.Rand
	// roundRobinCount is the number of choices by PolicyRoundRobin so far.
	roundRobinCount int
	// servers holds the states of the servers, by server ID. pinnedDigests holds the
	// digest that was last pinned for each model, by the name of the model.
	servers       map[string]*serverState
	pinnedDigests map[string]core.Digest
}

// serverState is the state that a Router keeps for one server.
type serverState struct {
	// incarnation is the incarnation of the server's agent. The ejection state is
	// cleared when the incarnation changes.
	incarnation string
	// inFlight is the number of running attempts of this entry instance at the
	// server.
	inFlight int
	// reportedAt is the time of the newest load report of the agent, and
	// inFlightAtReport is the value of inFlight at that time.
	reportedAt       time.Time
	inFlightAtReport int
	ejection         ejection
}

// New returns a Router that chooses among the servers registered in reg.
func New(c Config, reg *registry.Registry, holder *confstore.Holder, log *eventlog.Logger, clock clockwork.Clock) *Router {
	c.applyDefaults()
	return &Router{
		config:        c,
		reg:           reg,
		configHolder:  holder,
		log:           log,
		clock:         clock,
		rng:           rand.New(rand.NewPCG(c.Seed, c.Seed)),
		servers:       map[string]*serverState{},
		pinnedDigests: map[string]core.Digest{},
	}
}

// Pick implements Picker.
func (r *Router) Pick(q Query) (registry.Server, bool) {
	r.mu.Lock()
	found := r.findCandidates(q)
	chosen, reason, ok := r.choose(q, found)
	if ok {
		chosen.state.inFlight++
		chosen.state.ejection.markChosen()
	}
	r.mu.Unlock()

	fields := found.fields(q)
	fields["why"] = reason
	if !ok {
		r.log.Event(eventNoServer, fields)
		return registry.Server{}, false
	}
	fields["server"] = chosen.server.Instance.ID
	fields["dataCentre"] = chosen.server.Instance.DataCentre
	fields["load"] = chosen.load
	fields["limit"] = chosen.server.Report.Limit
	r.log.Event(eventServerChosen, fields)
	return *chosen.server, true
}

// NoFreeSlot implements Picker.
func (r *Router) NoFreeSlot(q Query) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.findCandidates(q).candidates {
		if c.hasFreeSlot() {
			return false
		}
	}
	return true
}

// Suspended implements Picker.
func (r *Router) Suspended(id string) bool {
	s, ok := r.reg.Get(id)
	if !ok {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return s.Suspect || r.stateOf(&s).ejection.excludes(r.clock.Now())
}

// Done implements Picker.
func (r *Router) Done(id string, result Result, load *frame.Load) {
	r.mu.Lock()
	defer r.mu.Unlock()
	state, ok := r.servers[id]
	if !ok {
		return
	}
	state.inFlight--
	r.updateEjection(id, state, result)
	if load == nil {
		return
	}
	now := r.clock.Now()
	r.reg.Update(id, state.incarnation, func(s *registry.Server) {
		s.Report.Limit = load.Limit
		s.Report.InFlight = load.InFlight
		s.Report.Queued = load.Queued
		s.LastSeen = now
	})
	state.reportedAt = now
	state.inFlightAtReport = state.inFlight
}

// updateEjection updates the ejection state of a server after an attempt. The
// caller holds r.mu.
func (r *Router) updateEjection(id string, state *serverState, result Result) {
	now := r.clock.Now()
	switch result {
	case ResultOK, ResultRefused:
		if state.ejection.recordSuccess() {
			r.log.Event(eventServerRestored, eventlog.Fields{"server": id})
		}
	case ResultFailed:
		if duration := state.ejection.recordFailure(now, r.config); duration > 0 {
			r.log.Event(eventServerEjected, eventlog.Fields{"server": id, "seconds": duration.Seconds()})
		}
	case ResultCancelled:
		state.ejection.probing = false
	}
}

// stateOf returns the state of s, and creates it if there is none. It updates the
// state if s has a new report or a new incarnation. The caller holds r.mu.
func (r *Router) stateOf(s *registry.Server) *serverState {
	id := s.Instance.ID
	state, ok := r.servers[id]
	if !ok {
		state = &serverState{incarnation: s.Incarnation}
		r.servers[id] = state
	}
	if state.incarnation != s.Incarnation {
		state.incarnation = s.Incarnation
		state.ejection = ejection{}
	}
	if !state.reportedAt.Equal(s.LastSeen) {
		state.reportedAt = s.LastSeen
		state.inFlightAtReport = state.inFlight
	}
	return state
}
