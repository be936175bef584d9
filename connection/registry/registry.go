// Package registry keeps, at an entry instance, the registered agents and the
// newest report of each. A Listener accepts the registrations and updates the
// Registry. The entry instance uses the registry to route requests.
package registry

import (
	"sync"
	"time"

	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/core"
)

// Server describes one registered backend server and its agent.
type Server struct {
	// Instance is the agent beside the server.
	Instance core.Instance
	// Incarnation identifies the agent process; it is different after each
	// start.
	Incarnation string
	// RegistrationNumber is the number of the registration at this entry instance. A
	// registration with a higher number replaces an older one of the same
	// server.
	RegistrationNumber uint64
	// Service is the name of the plain service that the server runs; empty if
	// the server runs an engine.
	Service string
	// Report is the newest report. Its field Loaded is always set, also if the
	// agent left it out because it had not changed.
	Report frame.Report
	// LastSeen is the time at which the newest report, or the newest load in a
	// response, arrived.
	LastSeen time.Time
	// Suspect is true if the agent's reports were overdue and no report has
	// arrived since.
	Suspect bool
}

// HasLoaded reports whether the newest report lists, as loaded, the version of
// model that has the manifest digest d.
func (s Server) HasLoaded(model string, d core.Digest) bool {
	for _, l := range s.Report.Loaded {
		if l.Model == model && l.Digest == d {
			return true
		}
	}
	return false
}

// Registry is the set of registered servers. It is safe for concurrent use.
type Registry struct {
	mu      sync.RWMutex
	servers map[string]Server
	// cachedList is the result of All; nil after a change.
	cachedList []Server
}

// New returns an empty Registry.
func New() *Registry { return &Registry{servers: map[string]Server{}} }

// Put adds a server, or replaces the one with the same ID.
func (r *Registry) Put(s Server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.servers[s.Instance.ID] = s
	r.cachedList = nil
}

// Update applies change to the server with the given ID and incarnation, and
// reports whether that server exists. change runs while the registry is locked.
func (r *Registry) Update(id, incarnation string, change func(*Server)) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.servers[id]
	if !ok || s.Incarnation != incarnation {
		return false
	}
	change(&s)
	r.servers[id] = s
	r.cachedList = nil
	return true
}

// Remove removes the server with the given ID if it has the given registration
// number, and reports whether it was removed.
func (r *Registry) Remove(id string, registrationNumber uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.servers[id]
	if !ok || s.RegistrationNumber != registrationNumber {
		return false
	}
	delete(r.servers, id)
	r.cachedList = nil
	return true
}

// Get returns the server with the given ID. The second result is false if no such
// server is registered.
func (r *Registry) Get(id string) (Server, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	s, ok := r.servers[id]
	return s, ok
}

// All returns all servers in no particular order. The caller must not change the
// returned slice, which other callers share.
func (r *Registry) All() []Server {
	r.mu.RLock()
	list := r.cachedList
	r.mu.RUnlock()
	if list != nil {
		return list
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cachedList == nil {
		r.cachedList = make([]Server, 0, len(r.servers))
		for _, s := range r.servers {
			r.cachedList = append(r.cachedList, s)
		}
	}
	return r.cachedList
}
