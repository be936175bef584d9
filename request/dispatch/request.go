package dispatch

import (
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
	// Version is the required version of the model's weights; 0 allows every
	// version in force.
	Version int
	// RouteRegions and AccountRegions list the regions that the route and the
	// client account allow. A server may run the request if both lists allow its
	// region; an empty list allows all regions.
	RouteRegions, AccountRegions []string
	// Work is the estimated cost of the request for a server, in prompt tokens;
	// 0 when unknown.
	Work float64
	// Priority orders waiting requests: the lowest value goes first.
	Priority int
	// ArrivedAt is the time at which the request arrived, and Deadline the latest
	// time at which the response may end.
	ArrivedAt, Deadline time.Time
	// FirstByteObjective is the target for the time to the first byte.
	FirstByteObjective time.Duration
	// MaxRetryWait is the time that the request may wait for a slot at another server
	// after a failed attempt, even if the objective allows a shorter wait only; 0
	// if the request has not run anywhere.
	MaxRetryWait time.Duration
	// TriedServers holds the IDs of the servers that must not receive the request again.
	TriedServers map[string]bool
}

// Slot is a server's capacity for one request, assigned to a request.
type Slot struct {
	// Server is the assigned server.
	Server *catalog.Server
	// Version is the version of the weights that the server holds according to
	// the latest report; 0 at a plain service.
	Version int
	// RunningCount is the number of requests at the server when the server was chosen,
	// excluding this request.
	RunningCount int
	// Remote is true if the server is in another data centre than this entry
	// instance.
	Remote bool
}
