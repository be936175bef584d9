package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// storeRow is a row of the platform's store.
type storeRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

// store is a stand-in for the platform's store. While it is down, it answers every call
// with status 503 and does nothing.
type store struct {
	addr  string
	start time.Time

	mu      sync.Mutex
	rows    map[string]storeRow
	history []storeRow
	version uint64
	changed chan struct{}
	down    bool
}

func newStore(ip string) *store {
	s := &store{rows: map[string]storeRow{}, changed: make(chan struct{}), start: time.Now()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rattanway/rows-get", s.get)
	mux.HandleFunc("GET /rattanway/rows-feed", s.feed)
	mux.HandleFunc("POST /rattanway/rows-tx", s.commit)
	s.addr = serve(ip, mux)
	return s
}

// serve serves handler at a free port of ip and returns the address.
func serve(ip string, handler http.Handler) string {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		fatal("listen: %v", err)
	}
	go func() { _ = http.Serve(listener, handler) }()
	return listener.Addr().String()
}

// setDown makes the store go down or come back.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.notify()
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a row as the operator or a backend server does; false if the store is down.
func (s *store) put(table, key string, value any) bool {
	raw, err := json.Marshal(value)
	if err != nil {
		fatal("encode row: %v", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return false
	}
	s.write(storeRow{Table: table, Key: key, Value: raw})
	return true
}

// write adds a row; the caller holds s.mu.
func (s *store) write(r storeRow) {
	s.version++
	r.Version = s.version
	s.history = append(s.history, r)
	if r.Deleted {
		delete(s.rows, r.Table+"/"+r.Part+"/"+r.Key)
	} else {
		s.rows[r.Table+"/"+r.Part+"/"+r.Key] = r
	}
	s.notify()
}

// respond writes a JSON response.
func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// isDown refuses a call while the store is down.
func (s *store) isDown(w http.ResponseWriter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	return s.down
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	if s.isDown(w) {
		return
	}
	q := r.URL.Query()
	s.mu.Lock()
	rows := []storeRow{}
	for _, row := range s.rows {
		if row.Table == q.Get("table") && row.Part == q.Get("part") && row.Key >= q.Get("from") {
			rows = append(rows, row)
		}
	}
	version := s.version
	s.mu.Unlock()
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	respond(w, http.StatusOK, map[string]any{"rows": rows, "morePages": false, "ver": version, "nowMs": time.Since(s.start).Milliseconds()})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	if s.isDown(w) {
		return
	}
	q := r.URL.Query()
	since, _ := strconv.ParseUint(q.Get("sinceRev"), 10, 64)
	waitMs, _ := strconv.Atoi(q.Get("waitMs"))
	timeout := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		s.mu.Lock()
		rows := []storeRow{}
		for _, row := range s.history {
			if row.Table == q.Get("table") && row.Version > since {
				rows = append(rows, row)
			}
		}
		version, changed, down := s.version, s.changed, s.down
		s.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if len(rows) > 0 {
			respond(w, http.StatusOK, map[string]any{"rows": rows, "ver": version, "nowMs": time.Since(s.start).Milliseconds()})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			respond(w, http.StatusOK, map[string]any{"rows": rows, "ver": version, "nowMs": time.Since(s.start).Milliseconds()})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	if s.isDown(w) {
		return
	}
	var tx struct {
		Expected []storeRow `json:"expectedRev"`
		Writes   []storeRow `json:"writes"`
		Remove   []storeRow `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range tx.Expected {
		if s.rows[e.Table+"/"+e.Part+"/"+e.Key].Version != e.Version {
			respond(w, http.StatusPreconditionFailed, map[string]any{"rows": []storeRow{}, "ver": s.version})
			return
		}
	}
	for _, row := range tx.Writes {
		if row.Table == "op" || row.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	for _, row := range tx.Writes {
		s.write(storeRow{Table: row.Table, Part: row.Part, Key: row.Key, Value: row.Value})
	}
	for _, row := range tx.Remove {
		s.write(storeRow{Table: row.Table, Part: row.Part, Key: row.Key, Deleted: true})
	}
	respond(w, http.StatusOK, map[string]any{"ver": s.version, "nowMs": time.Since(s.start).Milliseconds()})
}
