package platform

import (
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"

	"github.com/rattanway/rattanway/process/platform"
)

// maxListRows is the maximum number of rows in one response.
const maxListRows = 1000

// table is a transactional table in memory. It is safe for concurrent use.
type table struct {
	mu   sync.RWMutex
	rows map[string]platform.Row
	// deletedRevisions holds the last revision of each deleted row by key. A row
	// that is created again continues from this revision, so that it never reuses a
	// revision.
	deletedRevisions map[string]uint64
}

// newTable returns an empty table.
func newTable() *table {
	return &table{rows: map[string]platform.Row{}, deletedRevisions: map[string]uint64{}}
}

// get returns a row and reports whether it exists.
func (t *table) get(key string) (platform.Row, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	row, ok := t.rows[key]
	return row, ok
}

// list returns the first limit rows, in key order, whose keys start with prefix and
// are greater than afterKey.
func (t *table) list(prefix, afterKey string, limit int) []platform.Row {
	t.mu.RLock()
	defer t.mu.RUnlock()
	found := []platform.Row{}
	for key, row := range t.rows {
		if strings.HasPrefix(key, prefix) && key > afterKey {
			found = append(found, row)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	if len(found) > limit {
		found = found[:limit]
	}
	return found
}

// commit applies all writes and returns true. If the condition of any write is not
// met, commit applies no write, and returns the key of the write with that
// condition and false.
func (t *table) commit(writes []platform.Write) (conflictKey string, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, w := range writes {
		if w.If != nil && t.rows[w.Key].Revision != *w.If {
			return w.Key, false
		}
	}
	for _, w := range writes {
		t.apply(w)
	}
	return "", true
}

// apply applies one write. The caller must hold t.mu.
func (t *table) apply(w platform.Write) {
	revision := max(t.rows[w.Key].Revision, t.deletedRevisions[w.Key])
	if w.Delete {
		delete(t.rows, w.Key)
		t.deletedRevisions[w.Key] = revision
		return
	}
	delete(t.deletedRevisions, w.Key)
	t.rows[w.Key] = platform.Row{Key: w.Key, Value: w.Value, Revision: revision + 1}
}

// serveRow serves GET /table/rows/KEY.
func (s *Server) serveRow(w http.ResponseWriter, r *http.Request, key string) {
	if !allowMethods(w, r, http.MethodGet) {
		return
	}
	s.counters.add("table", "reads", 1)
	row, ok := s.table.get(key)
	if !ok {
		http.Error(w, "no such row", http.StatusNotFound)
		return
	}
	etag := platform.ETag(row.Revision)
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		s.counters.add("table", "notModified", 1)
		w.WriteHeader(http.StatusNotModified)
		return
	}
	s.counters.add("table", "bytesOut", len(row.Value))
	_, _ = w.Write(row.Value)
}

// serveRows serves GET /table/rows.
func (s *Server) serveRows(w http.ResponseWriter, r *http.Request) {
	if !allowMethods(w, r, http.MethodGet) {
		return
	}
	s.counters.add("table", "reads", 1)
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit < 1 {
		http.Error(w, "limit: want a number from 1", http.StatusBadRequest)
		return
	}
	rows := s.table.list(query.Get("prefix"), query.Get("after"), min(limit, maxListRows))
	for _, row := range rows {
		s.counters.add("table", "bytesOut", len(row.Value))
	}
	writeJSON(w, platform.RowList{Rows: rows})
}

// serveCommit serves POST /table/commit.
func (s *Server) serveCommit(w http.ResponseWriter, r *http.Request) {
	if !allowMethods(w, r, http.MethodPost) {
		return
	}
	var req platform.CommitRequest
	if !readJSON(w, r, maxCommitBytes, &req) {
		return
	}
	s.counters.add("table", "commits", 1)
	for _, write := range req.Writes {
		if len(write.Value) > maxRowBytes {
			http.Error(w, "row "+write.Key+" is too large", http.StatusRequestEntityTooLarge)
			return
		}
		s.counters.add("table", "bytesIn", len(write.Value))
	}
	if key, ok := s.table.commit(req.Writes); !ok {
		s.counters.add("table", "conflicts", 1)
		http.Error(w, "condition failed on row "+key, http.StatusConflict)
		return
	}
	s.counters.add("table", "writes", len(req.Writes))
	if s.faults.shouldLoseResponse() {
		closeConnection()
	}
	w.WriteHeader(http.StatusNoContent)
}

// allowMethods reports whether the request's method is one of methods. If not, it
// responds with status 405.
func allowMethods(w http.ResponseWriter, r *http.Request, methods ...string) bool {
	for _, m := range methods {
		if r.Method == m {
			return true
		}
	}
	w.Header().Set("Allow", strings.Join(methods, ", "))
	http.Error(w, "method not allowed", http.StatusMethodNotAllowed)
	return false
}
