// Package declare defines the objects that operators declare, parses them from YAML,
// and validates, compares and encodes complete sets of objects.
package declare

import "github.com/rattanway/rattanway/core"

// Region is a group of data centres that share a link of low bandwidth to other
// regions.
type Region struct {
	// Name identifies the region.
	Name string `yaml:"name" json:"name"`
	// LinkBytesPerSecond is the bandwidth that transfers of weights may use on
	// the link between this region and the others; 0 means no limit.
	LinkBytesPerSecond int64 `yaml:"linkBytesPerSecond,omitempty" json:"linkBytesPerSecond,omitempty"`
}

// DataCentre is a data centre in which backend servers run.
type DataCentre struct {
	// Name identifies the data centre.
	Name string `yaml:"name" json:"name"`
	// Region is the name of the Region that the data centre belongs to.
	Region string `yaml:"region" json:"region"`
	// Out is true while the data centre is taken out of service.
	Out bool `yaml:"out,omitempty" json:"out,omitempty"`
}

// Model is a model that clients can request by name.
type Model struct {
	// Name is the model's name in the requests of clients.
	Name string `yaml:"name" json:"name"`
	// Version is the name of the Version to serve.
	Version string `yaml:"version" json:"version"`
	// Replicas is the number of backend servers that should hold the model.
	Replicas int `yaml:"replicas" json:"replicas"`
	// DataCentres lists the data centres in which replicas may be placed; empty
	// means all data centres.
	DataCentres []string `yaml:"dataCentres,omitempty" json:"dataCentres,omitempty"`
}

// Version is one published set of weights of a model.
type Version struct {
	// Name identifies the version.
	Name string `yaml:"name" json:"name"`
	// Model is the name of the Model that the version belongs to.
	Model string `yaml:"model" json:"model"`
	// Manifest is the digest of the manifest, as printed by `rattanway publish`.
	Manifest core.Digest `yaml:"manifest" json:"manifest"`
	// Base is set for an adapter, which is applied to the weights of another
	// Version: it is the name of that Version. It is empty if this version is
	// not an adapter.
	Base string `yaml:"base,omitempty" json:"base,omitempty"`
}

// BackendServer is a server that runs a model engine or a plain service (one
// without models). An agent runs beside each server.
type BackendServer struct {
	// Name identifies the server; the server's agent has the same instance ID.
	Name string `yaml:"name" json:"name"`
	// DataCentre is the name of the DataCentre in which the server runs.
	DataCentre string `yaml:"dataCentre" json:"dataCentre"`
	// Service is the name of the Service that the server runs; empty for a
	// model engine.
	Service string `yaml:"service,omitempty" json:"service,omitempty"`
	// Limit is the maximum number of concurrent calls once the server is warm.
	Limit int `yaml:"limit" json:"limit"`
	// ColdLimit is the maximum number of concurrent calls just after the server
	// has started, while it is not warm yet.
	ColdLimit int `yaml:"coldLimit" json:"coldLimit"`
	// Slots is the number of versions that an engine can hold at the same time;
	// 0 means 1.
	Slots int `yaml:"slots,omitempty" json:"slots,omitempty"`
	// Fencing reports whether the engine refuses orders with an outdated
	// fencing number, the counter in each order that shows whether another
	// agent has taken over.
	Fencing bool `yaml:"fencing,omitempty" json:"fencing,omitempty"`
	// Leaving is true while the server should be drained.
	Leaving bool `yaml:"leaving,omitempty" json:"leaving,omitempty"`
}

// ClientAccount is an account with which a client calls the system.
type ClientAccount struct {
	// Name identifies the client account.
	Name string `yaml:"name" json:"name"`
	// KeyHash is the digest of the account's secret key.
	KeyHash core.Digest `yaml:"keyHash" json:"keyHash"`
	// Share determines how much capacity the account gets under overload, in
	// proportion to the Share of the other accounts; 0 means 1.
	Share int `yaml:"share,omitempty" json:"share,omitempty"`
	// MaxInFlight is the maximum number of concurrent calls of the account
	// through one entry instance; 0 means no limit.
	MaxInFlight int `yaml:"maxInFlight,omitempty" json:"maxInFlight,omitempty"`
	// MaxPriority is the highest priority that the account may request, 0 to 9.
	MaxPriority int `yaml:"maxPriority,omitempty" json:"maxPriority,omitempty"`
}

// Route is a method and a path of a Service that clients may call.
type Route struct {
	// Method is the HTTP method.
	Method string `yaml:"method" json:"method"`
	// Path is the exact path below /services/NAME or, if it ends in "/", a
	// prefix of the path.
	Path string `yaml:"path" json:"path"`
	// Repeatable reports whether the call is idempotent and may be retried.
	Repeatable bool `yaml:"repeatable,omitempty" json:"repeatable,omitempty"`
}

// Service is a plain service to which the system routes calls.
type Service struct {
	// Name is the service's name in the request path, /services/NAME/...
	Name string `yaml:"name" json:"name"`
	// Routes lists the routes that clients may call.
	Routes []Route `yaml:"routes" json:"routes"`
}

// Set is a complete set of declarations: the objects of each kind by name.
type Set struct {
	Regions        map[string]*Region        `json:"regions"`
	DataCentres    map[string]*DataCentre    `json:"dataCentres"`
	Models         map[string]*Model         `json:"models"`
	Versions       map[string]*Version       `json:"versions"`
	BackendServers map[string]*BackendServer `json:"backendServers"`
	ClientAccounts map[string]*ClientAccount `json:"clientAccounts"`
	Services       map[string]*Service       `json:"services"`
}

// NewSet returns an empty set in which no map is nil.
func NewSet() *Set {
	return &Set{
		Regions:        map[string]*Region{},
		DataCentres:    map[string]*DataCentre{},
		Models:         map[string]*Model{},
		Versions:       map[string]*Version{},
		BackendServers: map[string]*BackendServer{},
		ClientAccounts: map[string]*ClientAccount{},
		Services:       map[string]*Service{},
	}
}

// Snapshot is a set that was accepted as a numbered version of the configuration.
type Snapshot struct {
	// Number is the number of the version, counted from 1. 0 denotes the empty
	// configuration of a process that has not received any version.
	Number uint64 `json:"number"`
	// Digest is the digest of the encoded set.
	Digest core.Digest `json:"digest"`
	// Set is the content. It must not be changed after publication.
	Set *Set `json:"set"`
}
