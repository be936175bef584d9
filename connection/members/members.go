// Package members lets processes that cannot reach the platform get the list of
// instances from entry instances: a Server serves the list at an entry instance,
// and a Fallback made by NewPeerFallback reads it.
package members

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rattanway/rattanway/connection/registry"
	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/process/instances"
)

// Path is the HTTP path at which entry instances serve their list of instances to
// processes that cannot reach the platform. An entry instance that requests the
// list announces itself in the request: while the platform is down, this is how a
// new entry instance gets into the lists of the others.
const Path = "/internal/instances"

const (
	// announcementLifetime is how long an announcement is valid. Each new
	// announcement of the same entry instance replaces the old one.
	announcementLifetime = 10 * time.Second
	// maxListsPerRead is the number of responses from other entry instances
	// after which an entry instance ends a read of the list.
	maxListsPerRead = 3
	// maxAnnouncementBytes limits the body of a request, in bytes.
	maxAnnouncementBytes = 4 << 10
	// maxListBytes limits the body of a response, in bytes.
	maxListBytes = 1 << 20
)

// Server is the HTTP handler that serves the list of instances to processes that
// cannot reach the platform.
type Server struct {
	watcher       *instances.Watcher
	agentRegistry *registry.Registry

	mu sync.Mutex
	// announcements holds the latest announcement of each entry instance, by its ID.
	announcements map[string]announcement
}

// announcement is an entry instance that announced itself, with the time at which
// the announcement arrived.
type announcement struct {
	instance   core.Instance
	receivedAt time.Time
}

// NewServer returns a Server for the instances that w watches and the agents
// registered in agentRegistry.
func NewServer(w *instances.Watcher, agentRegistry *registry.Registry) *Server {
	return &Server{watcher: w, agentRegistry: agentRegistry, announcements: map[string]announcement{}}
}

// ServeHTTP implements http.Handler. The response carries an ETag, so that a
// caller that already has the same list gets no body.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost && !s.recordAnnouncement(w, r) {
		return
	}
	body, err := json.Marshal(s.list())
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	etag := strconv.Quote(strconv.FormatUint(xxhash.Sum64(body), 16))
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

// recordAnnouncement records the entry instance in the body of r. If the body is
// not an entry instance with an ID, recordAnnouncement responds with an error and
// returns false.
func (s *Server) recordAnnouncement(w http.ResponseWriter, r *http.Request) bool {
	var in core.Instance
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
	if err := d.Decode(&in); err != nil || in.ID == "" || in.Role != core.RoleEntry {
		http.Error(w, "want an entry instance", http.StatusBadRequest)
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.announcements[in.ID] = announcement{instance: in, receivedAt: time.Now()}
	return true
}

// list returns, sorted by ID, the watched instances, the registered agents and the
// announced entry instances. Of several instances with the same ID it includes
// only one: a watched instance rather than a registered agent, and an agent rather
// than an announced entry instance.
func (s *Server) list() []core.Instance {
	all := append([]core.Instance{}, s.watcher.All()...)
	listed := map[string]bool{}
	for _, in := range all {
		listed[in.ID] = true
	}
	add := func(in core.Instance) {
		if !listed[in.ID] {
			listed[in.ID] = true
			all = append(all, in)
		}
	}
	for _, srv := range s.agentRegistry.All() {
		add(srv.Instance)
	}
	for _, in := range s.recentAnnouncements() {
		add(in)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].ID < all[j].ID })
	return all
}

// recentAnnouncements returns the entry instances whose announcements are valid,
// and deletes the expired announcements.
func (s *Server) recentAnnouncements() []core.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []core.Instance
	for id, a := range s.announcements {
		if time.Since(a.receivedAt) > announcementLifetime {
			delete(s.announcements, id)
			continue
		}
		all = append(all, a.instance)
	}
	return all
}
