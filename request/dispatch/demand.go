package dispatch

import (
	"time"

	"github.com/rattanway/rattanway/version/catalog"
)

// Demand is a request that needs a server.
type Demand struct {
	// ID is the request's id, for log lines.
	ID string
	// Service is the service that is to run it.
	Service string
	// Model is the model it needs; empty for a plain service.
	Model string
	// Version is the version of the weights that it must run on; 0 for any
	// that is in force.
	Version int
	// RouteRegions and AccountRegions restrict where it may run.
	RouteRegions, AccountRegions []string
	// Work is an estimate of what it costs a server, in tokens of a prompt; 0
	// when nothing is known.
	Work float64
	// Rank orders waiting requests; 0 goes first.
	Rank int
	// Arrived is when the request came in, and Deadline when its answer is
	// due at the latest.
	Arrived, Deadline time.Time
	// Objective is the time to the first byte for which it is on time.
	Objective time.Duration
	// Patience is how long it may wait for a place at a further server after
	// a sending failed; 0 for a request that has not run anywhere.
	Patience time.Duration
	// Tried are the servers that are not to get it again.
	Tried map[string]bool
}

// Place is a place at a server that a request was given.
type Place struct {
	// Server is the server.
	Server *catalog.Server
	// Version is the version of the weights that the server is believed to
	// hold; 0 at a plain service.
	Version int
	// Running is the number of requests at the server when it was chosen,
	// without this one.
	Running int
	// Remote says that the server stands in another data centre.
	Remote bool
}
