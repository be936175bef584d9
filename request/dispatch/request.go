package dispatch

import (
	"strings"
	"time"

	"github.com/rattanway/rattanway/version/catalog"
)

// Request describes a request that needs a slot at a server.
type Request struct {
	// ID is the ID of the request, for log lines.
	ID string
	// Service is the name of the service whose servers can run the request.
	Service string
	// Model is the name of the required model; empty for a plain service.
	Model string
	// Version is the required version of the model's weights. 0 allows every version
	// that is not below the model's minimum version.
	Version int
	// RouteRegions and AccountRegions list the regions that the route and the client
	// account allow. A server may run the request if both lists allow the region of
	// the server; an empty list allows all regions.
	RouteRegions, AccountRegions []string
	// Config is the configuration that declares these regions. When a newer one is in force,
	// the regions of the route and of the client account there replace them; see
	// updateRegions. If Config is nil, the regions do not change.
	Config *catalog.Config
	// WeightsUntil is the time until which the server's weights must not be outdated; the
	// present time if it is zero.
	WeightsUntil time.Time
	// PromptParts are the parts of the prompt that other requests may have as well, and
	// then the request as a whole.
	PromptParts []PromptPart
	// Work is the estimated cost of the request for a server, in prompt tokens;
	// 0 when unknown.
	Work float64
	// PromptTokens is the number of tokens of the prompt; 0 when unknown.
	PromptTokens float64
	// Priority orders waiting requests: the lowest value goes first.
	Priority int
	// Route is the name of the route, and Account that of the client account; empty if
	// there is none.
	Route, Account string
	// ArrivedAt is the time at which the request arrived. Deadline is the latest
	// time at which the response may end.
	ArrivedAt, Deadline time.Time
	// FirstByteObjective is the target for the time from the arrival to the first
	// byte of the response; 0 if there is none.
	FirstByteObjective time.Duration
	// MaxRetryWait is how long the request may wait for a slot after an attempt that
	// may have run. It applies if the objective allows only a shorter wait, and also
	// while the servers that remain only lack the weights. It is 0 before such an
	// attempt.
	MaxRetryWait time.Duration
	// TriedServers holds the IDs of the servers that must not receive the request again.
	TriedServers map[string]bool
	// OnlyServers holds the IDs of the servers that may get the request; nil if any may.
	OnlyServers map[string]bool
}

// updateRegions makes the regions of a request those that the newest configuration declares
// for its route and its client account. A request may be tried again, move or begin long after
// its arrival. What the configuration no longer contains keeps its regions.
func (r *Request) updateRegions(snapshot *catalog.Snapshot) {
	if r.Config == nil || r.Config == snapshot.Config {
		return
	}
	r.Config = snapshot.Config
	if route := snapshot.RouteNamed(r.Route); route != nil {
		r.RouteRegions = route.Regions
	}
	if account := snapshot.AccountNamed(r.Account); account != nil {
		r.AccountRegions = account.Regions
	}
}

// requirements is what decides which servers can run a request.
type requirements struct {
	service, model, regions string
	version                 int
	objective               time.Duration
	// reserved is the number of slots of each server that the request must leave free.
	reserved int
}

// requirements returns the requirements of a request. It returns false if the request
// must avoid servers that it has tried, so that its requirements are its own.
func (r *Request) requirements() (requirements, bool) {
	return requirements{
		service: r.Service, model: r.Model, version: r.Version, objective: r.FirstByteObjective,
		regions: strings.Join(r.RouteRegions, ",") + ";" + strings.Join(r.AccountRegions, ","),
	}, len(r.TriedServers) == 0 && r.OnlyServers == nil
}

// Slot is a server's capacity for one request, assigned to a request.
type Slot struct {
	// Server is the server that runs the request.
	Server *catalog.Server
	// Version is the version of the weights that the server holds according to the
	// latest report; 0 for a plain service.
	Version int
	// RunningCount is the number of requests of all entry instances, as far as
	// known, at the server when the server was chosen. It excludes this request.
	RunningCount int
	// Remote is true if the server is in another data centre than this entry
	// instance.
	Remote bool
	// assignedAt is when the slot was assigned.
	assignedAt time.Time
	// work is what the request is to the server; nil without estimates.
	work *slotWork
	// countedFor is the client account and the priority for which the slot was counted;
	// nil if it was not.
	countedFor *accountKey
}
