package platform

import (
	"compress/gzip"
	"context"
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/process/platform"
)

// maxConcurrentProbes is the maximum number of concurrent health checks.
const maxConcurrentProbes = 16

// maxProbeTimeout limits the time of one health check.
const maxProbeTimeout = time.Second

// instanceList is the platform's list of the instances that passed their last
// health check. It is safe for concurrent use.
type instanceList struct {
	client *http.Client

	mu sync.RWMutex
	// registered holds all instances by ID, including those that are not listed.
	registered map[string]core.Instance
	listed     []core.Instance
	// version is the number of changes of listed so far.
	version int
}

// newInstanceList returns an empty list with these instances registered.
func newInstanceList(registered []core.Instance) *instanceList {
	l := &instanceList{
		client:     &http.Client{},
		registered: map[string]core.Instance{},
		listed:     []core.Instance{},
	}
	for _, instance := range registered {
		l.registered[instance.ID] = instance
	}
	return l
}

// put registers an instance or replaces it.
func (l *instanceList) put(instance core.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.registered[instance.ID] = instance
}

// remove unregisters an instance.
func (l *instanceList) remove(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.registered, id)
}

// setLeaving marks an instance as leaving and reports whether it is registered.
func (l *instanceList) setLeaving(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	instance, ok := l.registered[id]
	if !ok {
		return false
	}
	instance.Leaving = true
	l.registered[id] = instance
	return true
}

// updateListed checks the health of every registered instance and lists exactly the
// healthy ones. Each health check ends after timeout, or after maxProbeTimeout if
// that is shorter.
func (l *instanceList) updateListed(ctx context.Context, timeout time.Duration) {
	registered := l.allRegistered()
	healthy := make([]bool, len(registered))
	var group errgroup.Group
	group.SetLimit(maxConcurrentProbes)
	for n, instance := range registered {
		group.Go(func() error {
			healthy[n] = l.isHealthy(ctx, instance.Addr, min(timeout, maxProbeTimeout))
			return nil
		})
	}
	_ = group.Wait()
	healthyInstances := []core.Instance{}
	for n, instance := range registered {
		if healthy[n] {
			healthyInstances = append(healthyInstances, instance)
		}
	}
	l.setListed(healthyInstances)
}

// allRegistered returns every registered instance in the order of their IDs.
func (l *instanceList) allRegistered() []core.Instance {
	l.mu.RLock()
	defer l.mu.RUnlock()
	all := make([]core.Instance, 0, len(l.registered))
	for _, instance := range l.registered {
		all = append(all, instance)
	}
	sort.Slice(all, func(a, b int) bool { return all[a].ID < all[b].ID })
	return all
}

// isHealthy reports whether the instance at addr passes its health check.
func (l *instanceList) isHealthy(ctx context.Context, addr string, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/healthz", nil)
	if err != nil {
		return false
	}
	resp, err := l.client.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// setListed replaces the listed instances. It increases the version only if the new ones
// differ from the old ones.
func (l *instanceList) setListed(listed []core.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.version > 0 && cmp.Equal(listed, l.listed) {
		return
	}
	l.listed = listed
	l.version++
}

// SetInstanceList replaces the listed instances. It must not be used together with
// Run, which lists the instances that pass their health checks.
func (s *Server) SetInstanceList(listed []core.Instance) { s.instances.setListed(listed) }

// get returns the listed instances and the ETag of the list.
func (l *instanceList) get() ([]core.Instance, string) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.listed, strconv.Quote(strconv.Itoa(l.version))
}

// serveInstances serves GET /instances.
func (s *Server) serveInstances(w http.ResponseWriter, r *http.Request) {
	if !allowMethods(w, r, http.MethodGet) {
		return
	}
	s.counters.add("instances", "reads", 1)
	list, etag := s.instances.get()
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		s.counters.add("instances", "notModified", 1)
		w.WriteHeader(http.StatusNotModified)
		return
	}
	writeList(w, r, platform.InstanceList{Instances: list})
}

// writeList writes the list, compressed if the client accepts gzip.
func writeList(w http.ResponseWriter, r *http.Request, list platform.InstanceList) {
	if r.Header.Get("Accept-Encoding") != "gzip" {
		writeJSON(w, list)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Encoding", "gzip")
	compressed := gzip.NewWriter(w)
	// A write fails only if the client has closed the connection.
	_ = json.NewEncoder(compressed).Encode(list)
	_ = compressed.Close()
}

// serveInstance serves PUT and DELETE /instances/ID and POST
// /instances/ID/leaving; path is the part after /instances/.
func (s *Server) serveInstance(w http.ResponseWriter, r *http.Request, path string) {
	if id, ok := strings.CutSuffix(path, "/leaving"); ok {
		s.serveLeaving(w, r, id)
		return
	}
	switch r.Method {
	case http.MethodPut:
		var instance core.Instance
		if !readJSON(w, r, maxControlBytes, &instance) {
			return
		}
		instance.ID = path
		s.instances.put(instance)
	case http.MethodDelete:
		s.instances.remove(path)
	default:
		allowMethods(w, r, http.MethodPut, http.MethodDelete)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// serveLeaving serves POST /instances/ID/leaving, which marks an instance as
// leaving.
func (s *Server) serveLeaving(w http.ResponseWriter, r *http.Request, id string) {
	if !allowMethods(w, r, http.MethodPost) {
		return
	}
	if !s.instances.setLeaving(id) {
		http.Error(w, "no such instance", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// ParseInstances decodes a JSON array of instances.
func ParseInstances(body []byte) ([]core.Instance, error) {
	var all []core.Instance
	err := json.Unmarshal(body, &all)
	return all, err
}
