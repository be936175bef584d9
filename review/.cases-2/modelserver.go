package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The weights of the small installation of SYSTEM.md.
const (
	modelName   = "daka510000"
	llmService  = "huvo11a"
	streamHost  = "jepu9.example"
	streamPath  = "/lepu270/2f"
	pieceCount  = 48
	pieceBytes  = 49152
	layerCount  = 16
	warmTime    = 300 * time.Millisecond
	eventCount  = 12
	eventPause  = 40 * time.Millisecond
	excusedTime = 3 * time.Second
)

// piece returns the bytes of one piece of a version.
func piece(version, number int) []byte {
	seed := sha256.Sum256(fmt.Appendf(nil, "%d/%d", version, number))
	return bytes.Repeat(seed[:], pieceBytes/len(seed))
}

// startOrigin starts a stand-in of the service with the weights, and returns its address.
func startOrigin() string {
	l := listen("127.0.0.1:0")
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rattanway/manifest/{id}", func(w http.ResponseWriter, r *http.Request) {
		version, _ := strconv.Atoi(r.URL.Query().Get("version"))
		var digests []string
		for i := range pieceCount {
			sum := sha256.Sum256(piece(version, i))
			digests = append(digests, hex.EncodeToString(sum[:]))
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"model": modelName, "version": version, "chunkBytes": pieceBytes, "layers": layerCount, "digests": digests})
	})
	mux.HandleFunc("GET /rattanway/piece/{id}", func(w http.ResponseWriter, r *http.Request) {
		version, _ := strconv.Atoi(r.URL.Query().Get("version"))
		number, _ := strconv.Atoi(r.URL.Query().Get("number"))
		_, _ = w.Write(piece(version, number))
	})
	go func() { _ = http.Serve(l, mux) }()
	return l.Addr().String()
}

// modelServer is a stand-in of a model server. It loads what is staged at the moment at which
// it accepts an order.
type modelServer struct {
	id, addr, zone string
	store          *store

	mu     sync.Mutex
	born   int64
	staged [pieceCount][]byte
	// badSince is when a staged piece turned bad; zero if it is sound.
	badSince [pieceCount]time.Time
	reads    [pieceCount]int
	// call is the time for each call of the agent.
	call    time.Duration
	loaded  int
	loading int
	busy    bool
	orders  int
	active  int
	// spoilt names what was wrong with the pieces of the load in use; empty if nothing was.
	spoilt, spoiltNext string
	acceptedAt         time.Time
	wrongEvents        int
	wrongRequests      map[string]bool
	rightEvents        int
	// slowAllowed is true once the version is named at which the machine is to be slow.
	slowAllowed bool
	// onRead, if not nil, is called after each read of a staged piece, with v.mu held.
	onRead func(number int)
	// onAccept, if not nil, is called after each accepted order.
	onAccept func()
}

func startModelServer(id, ip, zone string, s *store) *modelServer {
	v := &modelServer{id: id, addr: net.JoinHostPort(ip, "8001"), zone: zone, store: s, born: time.Now().UnixMilli(), loaded: 1, call: normalCall, wrongRequests: map[string]bool{}}
	for i := range pieceCount {
		v.staged[i] = piece(1, i)
	}
	l := listen(v.addr)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rattanway/report", v.report)
	mux.HandleFunc("PUT /rattanway/stage-put/{id}", v.stagePut)
	mux.HandleFunc("GET /rattanway/stage-get/{id}", v.stageGet)
	mux.HandleFunc("POST /rattanway/order", v.order)
	mux.HandleFunc("/", v.serve)
	go func() { _ = http.Serve(l, mux) }()
	go func() {
		for sequence := 1; ; sequence++ {
			v.mu.Lock()
			row := v.state()
			v.mu.Unlock()
			row["service"], row["address"], row["zone"], row["version"], row["slots"] = llmService, v.addr, v.zone, "v1", 16
			row["state"], row["coldRemainingMs"], row["sequence"] = "ready", 0, sequence
			v.store.put("servers", v.id, row)
			time.Sleep(heartbeat)
		}
	}()
	return v
}

// state returns what the server says of itself. v.mu is held.
func (v *modelServer) state() map[string]any {
	models := []map[string]any{}
	layers := map[string]any{"from": 0, "target": 0, "version": 0}
	if v.loaded > 0 {
		models = append(models, map[string]any{"name": modelName, "version": v.loaded, "adapters": []string{}})
		layers = map[string]any{"from": 0, "target": layerCount, "version": v.loaded}
	}
	return map[string]any{"stage": "both", "models": models, "layers": layers, "born": v.born}
}

// take waits for the time of a call of the agent.
func (v *modelServer) take() {
	v.mu.Lock()
	d := v.call
	v.mu.Unlock()
	time.Sleep(d)
}

func (v *modelServer) report(w http.ResponseWriter, _ *http.Request) {
	v.take()
	v.mu.Lock()
	defer v.mu.Unlock()
	r := v.state()
	r["busy"], r["sequence"], r["active"], r["queued"], r["kvUsed"], r["kvTotal"], r["handles"] = v.busy, v.orders, v.active, 0, 0, 90000, 0
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(r)
}

func (v *modelServer) stagePut(_ http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	v.take()
	n, _ := strconv.Atoi(r.URL.Query().Get("number"))
	v.mu.Lock()
	defer v.mu.Unlock()
	v.staged[n], v.badSince[n], v.reads[n] = body, time.Time{}, 0
}

func (v *modelServer) stageGet(w http.ResponseWriter, r *http.Request) {
	v.take()
	n, _ := strconv.Atoi(r.URL.Query().Get("number"))
	v.mu.Lock()
	body := bytes.Clone(v.staged[n])
	v.reads[n]++
	if v.onRead != nil {
		v.onRead(n)
	}
	v.mu.Unlock()
	_, _ = w.Write(body)
}

// rot spoils a staged piece. v.mu is held.
func (v *modelServer) rot(number int) {
	v.staged[number] = bytes.Clone(v.staged[number])
	v.staged[number][17] ^= 0x40
	v.badSince[number] = time.Now()
	note(v.badSince[number], "staged piece %d at %s turns bad", number, v.id)
}

func (v *modelServer) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Operation   string `json:"operation"`
		Version     int    `json:"version"`
		ExpectedRev *int   `json:"expectedRev"`
		Target      *int   `json:"target"`
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Operation != "start" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	v.take()
	v.mu.Lock()
	defer v.mu.Unlock()
	empty := o.Target != nil && *o.Target == 0
	switch {
	case v.busy || o.ExpectedRev != nil && *o.ExpectedRev != v.orders:
		w.WriteHeader(http.StatusConflict)
		return
	case !empty && o.Version == v.loaded:
		return
	}
	v.orders++
	v.busy, v.acceptedAt = true, time.Now()
	v.loading, v.spoiltNext = o.Version, ""
	if empty {
		v.loading = 0
	} else {
		v.examine(o.Version)
	}
	note(v.acceptedAt, "%s accepts order %d: version %d, empty %v; wrong pieces: %q", v.id, v.orders, o.Version, empty, v.spoiltNext)
	go v.load()
	if v.onAccept != nil {
		go v.onAccept()
	}
	w.WriteHeader(http.StatusAccepted)
}

// examine records the pieces that are wrong at the acceptance of an order, by the rule WHOLE:
// not those that turned bad in the last 3 s. v.mu is held.
func (v *modelServer) examine(version int) {
	var wrong []string
	for i := range pieceCount {
		if bytes.Equal(v.staged[i], piece(version, i)) {
			continue
		}
		if age := v.acceptedAt.Sub(v.badSince[i]); v.badSince[i].IsZero() || age > excusedTime {
			wrong = append(wrong, fmt.Sprintf("piece %d, bad for %d ms", i, age.Milliseconds()))
		}
	}
	v.spoiltNext = strings.Join(wrong, "; ")
}

// load carries an order out after what is running.
func (v *modelServer) load() {
	for {
		v.mu.Lock()
		running := v.active
		v.mu.Unlock()
		if running == 0 {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(warmTime)
	v.mu.Lock()
	defer v.mu.Unlock()
	v.loaded, v.busy, v.spoilt = v.loading, false, v.spoiltNext
	note(time.Now(), "%s holds version %d", v.id, v.loaded)
}

// serve runs a request with a stream of events.
func (v *modelServer) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Rattanway-Request-Id")
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("Rattanway-Request-Id", id)
	v.mu.Lock()
	expected := r.Header.Get("Rattanway-Expect-Version")
	switch {
	case r.Header.Get("Rattanway-Expect-Instance") != v.id, v.loaded == 0, expected != "" && expected != strconv.Itoa(v.loaded):
		v.mu.Unlock()
		w.Header().Set("Rattanway-Instance-Id", v.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case v.busy, v.active >= 16:
		v.mu.Unlock()
		w.Header().Set("Rattanway-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	v.active++
	version, spoilt := v.loaded, v.spoilt
	v.mu.Unlock()
	defer func() {
		v.mu.Lock()
		v.active--
		v.mu.Unlock()
	}()
	w.Header().Set("Rattanway-Server-Stamp", "stamp."+v.id+"."+id)
	w.Header().Set("Rattanway-Weight-Versions", strconv.Itoa(version))
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if spoilt != "" {
		note(time.Now(), "WRONG: %s makes tokens for %s with version %d, which it took with %s", v.id, id, version, spoilt)
	}
	for n := last + 1; n <= eventCount; n++ {
		select {
		case <-time.After(eventPause):
		case <-r.Context().Done():
			return
		}
		v.mu.Lock()
		if spoilt != "" {
			v.wrongEvents++
			v.wrongRequests[id] = true
		} else {
			v.rightEvents++
		}
		v.mu.Unlock()
		if _, err := fmt.Fprintf(w, "id: %d\ndata: token\n\n", n); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
}

// llmManifest returns a manifest with the model's service and the origin of its weights.
func llmManifest(version int, origin string) map[string]any {
	m := manifest(version, []map[string]any{{
		"name": "r-2xp4zhp", "host": streamHost, "prefix": "/lepu270/", "kind": "streaming", "timeoutMs": 6000, "targetLatencyMs": 400, "priority": 1,
		"service": llmService, "maxAttempts": 2, "allowAnonymous": false, "stickySessions": true, "resumable": true, "gapTargetMs": 300, "allowedRegions": []string{},
	}}, clientKey)
	m["services"] = []map[string]any{
		{"name": llmService, "healthCheck": "/healthz", "maxConnections": 434, "protocol": "h1", "tls": false, "coldS": 3.0, "coldPerS": 38.0, "engine": map[string]any{
			"slots": 16, "kvCapacityTokens": 1640000, "kvTokenBytes": 163840, "linkMbps": 400000.0, "stride": 6,
			"models":    []map[string]any{{"name": modelName, "pace": 1.0, "loadS": 4.0, "warmS": warmTime.Seconds()}},
			"megabytes": 282000.0, "step_ms": 6.73, "per_seq_ms": 0.0219, "context_per_k": 0.0068, "read_per_s": 30600.0, "pairs_per_m": 0.647, "chunk": 2048,
			"report_lag_ms": 200.0, "delays": []any{}, "usual": map[string]any{"prompt": 964, "answer": 119},
			"layers": layerCount, "layer_mb": 4540.0, "act_bytes": 16384, "chunks": pieceCount, "chunkBytes": pieceBytes,
		}},
		{"name": "kafi81c", "origin": origin, "zone": "palermo-a", "linkMbps": 15.0, "maxConnections": 48},
	}
	return m
}
