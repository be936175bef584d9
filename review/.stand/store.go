package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the store.
type row struct {
	Table    string `json:"table"`
	Part     string `json:"part"`
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"ver"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store is a stand-in for the platform's store: rows, transactions with conditions and
// a change feed. It loses nothing.
type store struct {
	mu       sync.Mutex
	rows     map[string]row
	history  []row
	revision uint64
	changed  chan struct{}
	start    time.Time
}

func newStore() *store {
	return &store{rows: map[string]row{}, changed: make(chan struct{}), start: time.Now()}
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rattanway/rows-get", s.get)
	mux.HandleFunc("GET /rattanway/rows-feed", s.feed)
	mux.HandleFunc("POST /rattanway/rows-tx", s.commit)
	return mux
}

// put writes a row as an operator or a server does. Its return is the ack.
func (s *store) put(table, key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(row{Table: table, Key: key, Value: raw})
}

func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(row{Table: table, Key: key, Deleted: true})
}

// apply stores a row and wakes the feeds. The caller holds s.mu.
func (s *store) apply(r row) {
	s.revision++
	r.Revision = s.revision
	id := r.Table + "\x00" + r.Part + "\x00" + r.Key
	if r.Deleted {
		delete(s.rows, id)
	} else {
		s.rows[id] = r
	}
	s.history = append(s.history, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) respond(w http.ResponseWriter, rows []row, revision uint64, more bool) {
	w.Header().Set("Content-Type", "application/json")
	if rows == nil {
		rows = []row{}
	}
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "ver": revision, "nowMs": time.Since(s.start).Milliseconds(), "morePages": more,
	})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []row
	for _, stored := range s.rows {
		inRange := stored.Key >= q.Get("from") && (q.Get("target") == "" || stored.Key < q.Get("target"))
		if stored.Table == q.Get("table") && stored.Part == q.Get("part") && inRange {
			rows = append(rows, stored)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	more := len(rows) > limit
	if more {
		rows = rows[:limit]
	}
	s.respond(w, rows, s.revision, more)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, _ := strconv.ParseUint(q.Get("sinceRev"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		var rows []row
		for _, change := range s.history {
			if change.Table == q.Get("table") && change.Revision > since {
				rows = append(rows, change)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(rows) > 0 {
			s.respond(w, rows, revision, false)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			s.respond(w, nil, revision, false)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Expected []row `json:"expectedRev"`
		Writes   []row `json:"writes"`
		Remove   []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range append(append([]row{}, tx.Writes...), tx.Remove...) {
		if x.Table == "op" || x.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	for _, e := range tx.Expected {
		if s.rows[e.Table+"\x00"+e.Part+"\x00"+e.Key].Revision != e.Revision {
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
	}
	for _, x := range tx.Writes {
		s.apply(x)
	}
	for _, x := range tx.Remove {
		x.Deleted = true
		s.apply(x)
	}
	s.respond(w, nil, s.revision, false)
}
