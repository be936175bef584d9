package frame

import "github.com/go-faster/errors"

const (
	// MaxServiceLoads is the maximum number of services in a FleetLoad.
	MaxServiceLoads = 16
	// maxLoadCount limits the counts in a ServiceLoad.
	maxLoadCount = 1 << 24
)

// FleetLoad is the content of the heartbeats (KindNotice) that entry instances send to
// agents: how full the backend servers are. It is empty from a sender that does not report
// the load; agents then load weights at even intervals.
type FleetLoad struct {
	// Services holds the load of each service with model servers.
	Services []ServiceLoad `cbor:"1,keyasint,omitempty"`
}

// ServiceLoad is the load of the backend servers of a service.
type ServiceLoad struct {
	// Service is the name of the service.
	Service string `cbor:"1,keyasint"`
	// Slots is the number of slots of the servers that take requests, and Running the
	// number of requests at these servers.
	Slots   int `cbor:"2,keyasint,omitempty"`
	Running int `cbor:"3,keyasint,omitempty"`
	// Servers is the number of all servers that are in use, and Loading the number of those
	// that load weights.
	Servers int `cbor:"4,keyasint,omitempty"`
	Loading int `cbor:"5,keyasint,omitempty"`
	// LoadMs is the mean duration of the last loads that the sender has seen, from the load
	// order on, in milliseconds; 0 if it has seen none.
	LoadMs int64 `cbor:"6,keyasint,omitempty"`
}

// Check returns an error if a value is out of its range.
func (f FleetLoad) Check() error {
	if len(f.Services) > MaxServiceLoads {
		return errors.Errorf("load of %d services, want at most %d", len(f.Services), MaxServiceLoads)
	}
	for _, s := range f.Services {
		for _, n := range []int{s.Slots, s.Running, s.Servers, s.Loading, int(s.LoadMs)} {
			if n < 0 || n > maxLoadCount {
				return errors.Errorf("load of service %q: %d is not a valid count", s.Service, n)
			}
		}
	}
	return nil
}
