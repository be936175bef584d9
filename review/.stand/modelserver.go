package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// warmTime is the time that a load takes (warm_s of the site file).
const warmTime = 300 * time.Millisecond

// heartbeatInterval is heartbeatMs of the settings.
const heartbeatInterval = 1200 * time.Millisecond

// Events of one stream.
const (
	eventCount = 8
	eventPause = 30 * time.Millisecond
)

// piece is a staged piece.
type piece struct {
	body []byte
	// badSince is when the piece turned bad where it lies; zero if it has not.
	badSince time.Time
}

// badPiece is a piece of the loaded weights that is not the right one.
type badPiece struct {
	number int
	// missing is true if the piece was not staged, and age the time since it turned bad.
	missing bool
	age     time.Duration
}

// begin is the begin of a request at a model server.
type begin struct {
	at      time.Time
	version int
}

// modelServer is a stand-in for a model server that behaves as the pages say.
type modelServer struct {
	addr, zone, service string
	store               *store
	record              *recorder
	// onStageGet, if not nil, is called after a staged piece was sent.
	onStageGet func(number int)

	mu       sync.Mutex
	name     string
	id       string
	boot     int
	born     int64
	down     bool
	staged   map[int]*piece
	version  int
	bad      []badPiece
	sequence int64
	busy     bool
	active   sync.WaitGroup
	running  int
	// begun lists the requests that began.
	begun []begin
	// tokensFromBad counts the events made with weights that hold a bad piece.
	tokensFromBad int
	events        int
}

func newModelServer(name, addr, zone, service string, version int, s *store, r *recorder) *modelServer {
	m := &modelServer{name: name, addr: addr, zone: zone, service: service, store: s, record: r}
	m.start(version)
	return m
}

// start begins a new boot, with a version loaded and staged, or with nothing.
func (m *modelServer) start(version int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.boot++
	m.id = fmt.Sprintf("i-%s-%d", m.name, m.boot)
	m.born = time.Now().UnixMilli()
	m.staged, m.version, m.bad, m.sequence, m.busy, m.down = map[int]*piece{}, version, nil, 0, false, false
	for i := 0; version > 0 && i < chunkCount; i++ {
		m.staged[i] = &piece{body: chunk(version, i)}
	}
}

// losePower ends the boot; staged pieces and weights are lost. The store removes the
// server's entry after three heartbeats of silence.
func (m *modelServer) losePower() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down = true
	id := m.id
	time.AfterFunc(3*heartbeatInterval, func() { m.store.remove("servers", id) })
}

// heartbeat registers the server in the store while it is up.
func (m *modelServer) heartbeat(stop <-chan struct{}) {
	for {
		m.mu.Lock()
		down, id, entry := m.down, m.id, m.entry()
		m.mu.Unlock()
		if !down {
			m.store.put("servers", id, entry)
		}
		select {
		case <-stop:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// entry returns what the server says of itself. The caller holds m.mu.
func (m *modelServer) entry() map[string]any {
	e := m.state()
	e["service"], e["address"], e["zone"], e["version"], e["slots"] = m.service, m.addr, m.zone, "v1", 16
	e["state"], e["coldRemainingMs"] = "ready", 0
	return e
}

func (m *modelServer) state() map[string]any {
	models := []map[string]any{}
	e := map[string]any{"stage": "both", "sequence": m.sequence, "born": m.born}
	if m.version > 0 {
		models = append(models, map[string]any{"name": modelName, "version": m.version, "adapters": []string{}})
		e["layers"] = map[string]any{"from": 0, "target": layerCount, "version": m.version}
	}
	e["models"] = models
	return e
}

func (m *modelServer) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rattanway/report", m.report)
	mux.HandleFunc("PUT /rattanway/stage-put/{id}", m.stagePut)
	mux.HandleFunc("GET /rattanway/stage-get/{id}", m.stageGet)
	mux.HandleFunc("POST /rattanway/order", m.order)
	mux.HandleFunc("/", m.serve)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		m.mu.Lock()
		down := m.down
		m.mu.Unlock()
		if down {
			panic(http.ErrAbortHandler)
		}
		mux.ServeHTTP(w, r)
	})
}

func (m *modelServer) report(w http.ResponseWriter, _ *http.Request) {
	m.mu.Lock()
	e := m.state()
	e["busy"], e["queued"], e["active"], e["kvUsed"], e["kvTotal"], e["handles"], e["pace"] = m.busy, 0, m.running, 0, 1640000, 0, 1
	m.mu.Unlock()
	_ = json.NewEncoder(w).Encode(e)
}

func (m *modelServer) stagePut(w http.ResponseWriter, r *http.Request) {
	n, err := strconv.Atoi(r.URL.Query().Get("number"))
	body, readErr := io.ReadAll(r.Body)
	if err != nil || readErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.staged[n] = &piece{body: body}
}

func (m *modelServer) stageGet(w http.ResponseWriter, r *http.Request) {
	m.mu.Lock()
	n, err := strconv.Atoi(r.URL.Query().Get("number"))
	if err != nil {
		held := []int{}
		for i := range m.staged {
			held = append(held, i)
		}
		m.mu.Unlock()
		_ = json.NewEncoder(w).Encode(map[string]any{"held": held})
		return
	}
	p := m.staged[n]
	m.mu.Unlock()
	if p == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(p.body)))
	_, _ = w.Write(p.body)
	_ = http.NewResponseController(w).Flush()
	if m.onStageGet != nil {
		m.onStageGet(n)
	}
}

// rot makes a staged piece bad where it lies.
func (m *modelServer) rot(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p := m.staged[n]; p != nil {
		body := bytes.Clone(p.body)
		body[17] ^= 0x20
		m.staged[n] = &piece{body: body, badSince: time.Now()}
		m.record.add("server %s: staged piece %d turns bad", m.id, n)
	}
}

// holdsStaged reports whether all pieces of a version are staged and right.
func (m *modelServer) holdsStaged(version int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i := range chunkCount {
		if p := m.staged[i]; p == nil || !bytes.Equal(p.body, chunk(version, i)) {
			return false
		}
	}
	return true
}

func (m *modelServer) order(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Operation string `json:"operation"`
		Model     string `json:"model"`
		Version   int    `json:"version"`
		Expected  *int64 `json:"expectedRev"`
	}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil || order.Operation != "start" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.busy || order.Model != modelName || order.Expected != nil && *order.Expected != m.sequence {
		m.record.add("server %s: order for version %d: 409", m.id, order.Version)
		w.WriteHeader(http.StatusConflict)
		return
	}
	m.sequence++
	m.busy = true
	var bad []badPiece
	now := time.Now()
	for i := range chunkCount {
		p := m.staged[i]
		switch {
		case p == nil:
			bad = append(bad, badPiece{number: i, missing: true})
		case !bytes.Equal(p.body, chunk(order.Version, i)):
			b := badPiece{number: i, age: now.Sub(p.badSince)}
			bad = append(bad, b)
		}
	}
	m.record.add("server %s: order for version %d accepted, bad pieces: %v", m.id, order.Version, describeBad(bad))
	w.WriteHeader(http.StatusAccepted)
	boot := m.boot
	go func() {
		m.active.Wait()
		time.Sleep(warmTime)
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.boot == boot && !m.down {
			m.version, m.bad, m.busy = order.Version, bad, false
			m.record.add("server %s: holds version %d", m.id, m.version)
		}
	}()
}

func describeBad(bad []badPiece) string {
	text := ""
	for _, b := range bad {
		if b.missing {
			text += fmt.Sprintf("%d (missing) ", b.number)
		} else {
			text += fmt.Sprintf("%d (bad for %.2f s) ", b.number, b.age.Seconds())
		}
	}
	if text == "" {
		return "none"
	}
	return text
}

func (m *modelServer) notRun(w http.ResponseWriter, r *http.Request, status int) {
	w.Header().Set("Rattanway-Request-Id", r.Header.Get("Rattanway-Request-Id"))
	w.Header().Set("Rattanway-Not-Executed", "1")
	w.Header().Set("At-Server", m.addr)
	w.WriteHeader(status)
}

// serve runs a client's request: a stream.
func (m *modelServer) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Rattanway-Request-Id")
	_, _ = io.Copy(io.Discard, r.Body)
	m.mu.Lock()
	wanted, err := strconv.Atoi(r.Header.Get("Rattanway-Expect-Version"))
	misdirected := r.Header.Get("Rattanway-Expect-Instance") != m.id || m.version == 0 || err == nil && wanted != m.version
	if misdirected || m.busy {
		m.mu.Unlock()
		if misdirected {
			m.notRun(w, r, http.StatusMisdirectedRequest)
		} else {
			m.notRun(w, r, http.StatusServiceUnavailable)
		}
		return
	}
	m.active.Add(1)
	m.running++
	m.begun = append(m.begun, begin{time.Now(), m.version})
	version, bad, boot, server := m.version, m.bad, m.boot, m.id
	m.mu.Unlock()
	defer func() {
		m.mu.Lock()
		m.running--
		m.mu.Unlock()
		m.active.Done()
	}()
	h := w.Header()
	h.Set("Rattanway-Request-Id", id)
	h.Set("Rattanway-Server-Stamp", "stamp."+server)
	h.Set("Rattanway-Weight-Versions", strconv.Itoa(version))
	h.Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	m.record.add("server %s: runs %s on version %d", server, id, version)
	for n := last + 1; n <= eventCount; n++ {
		m.mu.Lock()
		gone := m.down || m.boot != boot
		if !gone {
			m.events++
			if len(bad) > 0 {
				m.tokensFromBad++
			}
		}
		m.mu.Unlock()
		if gone {
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: token-%d\n\n", n, n); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		select {
		case <-time.After(eventPause):
		case <-r.Context().Done():
			return
		}
	}
}
