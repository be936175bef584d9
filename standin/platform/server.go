// Package platform is a stand-in for the platform's table, object store, weight
// store and instance list. It serves the HTTP API that package process/platform
// uses and keeps all data in memory. Requests to /faults inject the faults that
// the real platform can have. Tests and the quick start use it.
package platform

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/rattanway/rattanway/core"
)

// Default of Config.ProbeInterval, and maximum sizes in bytes: of the value of a
// row, of the request body of a commit, of an object, and of any other request
// body.
const (
	defaultProbeInterval = 500 * time.Millisecond
	maxRowBytes          = 64 << 10
	maxCommitBytes       = 8 << 20
	maxObjectBytes       = 256 << 20
	maxControlBytes      = 1 << 20
)

// Config holds the settings of a Server.
type Config struct {
	// Token is the bearer token that clients must send; empty means that no
	// token is required.
	Token string
	// ProbeInterval is the time between two health checks of an instance. A change
	// in the health of the instance appears in the instance list after about this
	// time at most. The default is 500 ms.
	ProbeInterval time.Duration
	// Instances are the instances registered at the start.
	Instances []core.Instance
	// WeightBytesPerSecond is the bandwidth of the weight store at the start;
	// 0 means no limit.
	WeightBytesPerSecond int64
}

// applyDefaults sets the fields that have a default and are not set.
func (c *Config) applyDefaults() {
	core.SetDefault(&c.ProbeInterval, defaultProbeInterval)
}

// Server is a stand-in for the platform. It implements http.Handler.
type Server struct {
	config    Config
	clock     clockwork.Clock
	faults    *faults
	counters  *counters
	table     *table
	objects   *objectStore
	weights   *objectStore
	instances *instanceList
}

// New returns a stand-in. The instance list stays empty until Run or
// SetInstanceList is called.
func New(config Config, clock clockwork.Clock) *Server {
	config.applyDefaults()
	s := &Server{
		config:    config,
		clock:     clock,
		faults:    newFaults(config.WeightBytesPerSecond),
		counters:  newCounters(),
		table:     newTable(),
		objects:   newObjectStore(),
		weights:   newObjectStore(),
		instances: newInstanceList(config.Instances),
	}
	return s
}

// Run checks the health of the instances every Config.ProbeInterval and updates the
// instance list, until ctx is done.
func (s *Server) Run(ctx context.Context) error {
	ticker := s.clock.NewTicker(s.config.ProbeInterval)
	defer ticker.Stop()
	for {
		s.instances.updateListed(ctx, s.config.ProbeInterval)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
		}
	}
}

// ServeHTTP implements http.Handler. It does not use http.ServeMux, because the
// keys and names in paths may contain any characters.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path := r.URL.Path
	if path == "/healthz" {
		w.WriteHeader(http.StatusOK)
		return
	}
	if !s.authorized(r) {
		http.Error(w, "wrong token", http.StatusUnauthorized)
		return
	}
	switch {
	case path == "/faults":
		s.serveFaults(w, r)
	case path == "/counters":
		writeJSON(w, s.counters.snapshot())
	case strings.HasPrefix(path, "/instances/"):
		s.serveInstance(w, r, strings.TrimPrefix(path, "/instances/"))
	default:
		s.serveStore(w, r, path)
	}
}

// serveStore serves the table, the object stores and the instance list, which the
// faults affect.
func (s *Server) serveStore(w http.ResponseWriter, r *http.Request, path string) {
	store, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	if !s.faults.admit(r.Context(), store) {
		s.counters.add(store, "refused", 1)
		http.Error(w, "unavailable", http.StatusServiceUnavailable)
		return
	}
	switch {
	case path == "/instances":
		s.serveInstances(w, r)
	case path == "/table/commit":
		s.serveCommit(w, r)
	case path == "/table/rows":
		s.serveRows(w, r)
	case strings.HasPrefix(path, "/table/rows/"):
		s.serveRow(w, r, strings.TrimPrefix(path, "/table/rows/"))
	case strings.HasPrefix(path, "/objects/"):
		s.serveObject(w, r, s.objects, "objects", strings.TrimPrefix(path, "/objects/"))
	case strings.HasPrefix(path, "/weights/"):
		s.serveObject(w, r, s.weights, "weights", strings.TrimPrefix(path, "/weights/"))
	default:
		http.NotFound(w, r)
	}
}

// authorized reports whether a request has the right bearer token.
func (s *Server) authorized(r *http.Request) bool {
	if s.config.Token == "" {
		return true
	}
	authorization := r.Header.Get("Authorization")
	return subtle.ConstantTimeCompare([]byte(authorization), []byte("Bearer "+s.config.Token)) == 1
}

// writeJSON sends v as the response body.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// A write fails only if the client has closed the connection.
	_ = json.NewEncoder(w).Encode(v)
}

// readJSON decodes the request's body into v. If that fails, it responds with
// status 400 and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, limit int64, v any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, limit))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// closeConnection closes the connection without a response.
func closeConnection() { panic(http.ErrAbortHandler) }
