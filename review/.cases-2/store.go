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

// storeRow is a row of the store, as PROTOCOL.md specifies it.
type storeRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

// store is a stand-in of the platform's store: rows, transactions and the feed. It loses
// nothing, and each answer is made at one moment. It names no era.
type store struct {
	addr    string
	begun   time.Time
	mu      sync.Mutex
	rows    map[string]storeRow
	history []storeRow
	ver     uint64
	changed chan struct{}
}

// storeDelay is the time for an answer of the store, as the sheets give it.
const storeDelay = 4 * time.Millisecond

func newStore() *store {
	s := &store{begun: time.Now(), rows: map[string]storeRow{}, changed: make(chan struct{})}
	l := listen("127.0.0.1:0")
	s.addr = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rattanway/rows-get", s.get)
	mux.HandleFunc("GET /rattanway/rows-feed", s.feed)
	mux.HandleFunc("POST /rattanway/rows-tx", s.transact)
	go func() { _ = http.Serve(l, mux) }()
	return s
}

func listen(addr string) net.Listener {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		cannotRun("listen: %v", err)
	}
	return l
}

// put writes a row, as the operator and the servers do, and returns the time of the ack.
func (s *store) put(table, key string, value any) time.Time {
	raw, err := json.Marshal(value)
	if err != nil {
		cannotRun("encode: %v", err)
	}
	return s.write(storeRow{Table: table, Key: key, Value: raw})
}

// remove removes a row and returns the time of the ack.
func (s *store) remove(table, key string) time.Time {
	return s.write(storeRow{Table: table, Key: key, Deleted: true})
}

func (s *store) write(r storeRow) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	r.Ver = s.ver
	name := r.Table + "\x00" + r.Part + "\x00" + r.Key
	if r.Deleted {
		delete(s.rows, name)
	} else {
		s.rows[name] = r
	}
	s.history = append(s.history, r)
	close(s.changed)
	s.changed = make(chan struct{})
	return time.Now()
}

func (s *store) answer(w http.ResponseWriter, rows []storeRow, ver uint64) {
	w.Header().Set("Content-Type", "application/json")
	if rows == nil {
		rows = []storeRow{}
	}
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "ver": ver, "morePages": false, "nowMs": time.Since(s.begun).Milliseconds(),
	})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	q := r.URL.Query()
	s.mu.Lock()
	var rows []storeRow
	for _, row := range s.rows {
		if row.Table == q.Get("table") && row.Part == q.Get("part") && row.Key >= q.Get("from") && (q.Get("target") == "" || row.Key < q.Get("target")) {
			rows = append(rows, row)
		}
	}
	ver := s.ver
	s.mu.Unlock()
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	s.answer(w, rows, ver)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	q := r.URL.Query()
	since, _ := strconv.ParseUint(q.Get("sinceRev"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		var rows []storeRow
		first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Ver > since })
		for _, row := range s.history[first:] {
			if row.Table == q.Get("table") {
				rows = append(rows, row)
			}
		}
		ver, changed := s.ver, s.changed
		s.mu.Unlock()
		if len(rows) > 0 {
			s.answer(w, rows, ver)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			s.answer(w, nil, ver)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	var tx struct {
		ExpectedRev []storeRow `json:"expectedRev"`
		Writes      []storeRow `json:"writes"`
		Remove      []storeRow `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&tx) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, row := range append(append([]storeRow{}, tx.Writes...), tx.Remove...) {
		if row.Table == "op" || row.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.mu.Lock()
	for _, want := range tx.ExpectedRev {
		if s.rows[want.Table+"\x00"+want.Part+"\x00"+want.Key].Ver != want.Ver {
			s.mu.Unlock()
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
	}
	s.mu.Unlock()
	for _, row := range tx.Writes {
		s.write(storeRow{Table: row.Table, Part: row.Part, Key: row.Key, Value: row.Value})
	}
	for _, row := range tx.Remove {
		s.write(storeRow{Table: row.Table, Part: row.Part, Key: row.Key, Deleted: true})
	}
	s.mu.Lock()
	ver := s.ver
	s.mu.Unlock()
	s.answer(w, nil, ver)
}
