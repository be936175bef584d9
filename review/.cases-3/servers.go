package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeat is the time between two writes of a backend server to the store.
const heartbeat = 1200 * time.Millisecond

// The model of the deployment: a few small layers, of which every server holds all.
const (
	modelName  = "m0"
	layerCount = 4
	chunkCount = 4
)

var stampCount atomic.Int64

// arrival is a request that has reached a backend server.
type arrival struct {
	at     time.Time
	id     string
	server string
	cold   bool
	ran    bool
}

// server is a stand-in for a backend server.
type server struct {
	id, service, zone, addr string
	slots                   int
	work                    time.Duration
	store                   *store
	born                    int64
	// eventIDs are the ids of the events of a stream; nil for a plain service.
	eventIDs []int
	// model is true for a model server.
	model bool

	mu        sync.Mutex
	sequence  int64
	active    int
	coldUntil time.Time
	coldSince time.Time
	arrivals  []arrival
	// crashAbove is the number of requests in a second above which a cold server crashes; 0 for
	// none. crashedUntil is when it is back, and cutOff the number of runs that a crash has ended.
	crashAbove   int
	crashedUntil time.Time
	cutOff       int
}

// newServer starts a backend server, which lists itself in the store.
func newServer(id, service, zone, ip string, slots int, work time.Duration, s *store) *server {
	b := &server{id: id, service: service, zone: zone, slots: slots, work: work, store: s, born: time.Now().UnixMilli()}
	b.addr = serve(ip, b)
	return b
}

// report lists the server in the store now, and then at each heartbeat.
func (b *server) report() {
	b.write()
	go func() {
		for range time.Tick(heartbeat) {
			b.write()
		}
	}()
}

// write writes the entry of the server; it does nothing while the store is down.
func (b *server) write() {
	b.mu.Lock()
	b.sequence++
	entry := map[string]any{
		"service": b.service, "address": b.addr, "zone": b.zone, "version": "1", "slots": b.slots, "state": "ready",
		"coldRemainingMs": max(0, time.Until(b.coldUntil).Milliseconds()), "sequence": b.sequence, "born": b.born,
	}
	if b.model {
		entry["stage"] = "both"
		entry["models"], entry["layers"] = b.held()
	}
	b.mu.Unlock()
	b.store.put("servers", b.id, entry)
}

// held returns what a model server holds: all layers of version 1.
func (b *server) held() (models, layers any) {
	return []map[string]any{{"name": modelName, "version": 1, "adapters": []string{}}}, map[string]int{"from": 0, "target": layerCount, "version": 1}
}

// becomeCold makes the server cold for d.
func (b *server) becomeCold(d time.Duration) {
	b.mu.Lock()
	b.coldSince, b.coldUntil = time.Now(), time.Now().Add(d)
	b.mu.Unlock()
	b.write()
}

// ServeHTTP implements [http.Handler].
func (b *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/healthz":
		w.Header().Set("Rattanway-Instance-Id", b.id)
		b.mu.Lock()
		if left := time.Until(b.coldUntil); left > 0 {
			w.Header().Set("Rattanway-Cold-Ms", strconv.FormatInt(left.Milliseconds(), 10))
		}
		b.mu.Unlock()
	case r.URL.Path == "/rattanway/report":
		b.serveReport(w)
	case r.URL.Path == "/rattanway/order":
		// All that the agents may want is loaded.
		w.WriteHeader(http.StatusOK)
	case strings.HasPrefix(r.URL.Path, "/rattanway/stage-get/"):
		b.serveStaged(w, r)
	case strings.HasPrefix(r.URL.Path, "/rattanway/stage-put/"):
		_, _ = io.Copy(io.Discard, r.Body)
	default:
		b.run(w, r)
	}
}

func (b *server) serveReport(w http.ResponseWriter) {
	b.mu.Lock()
	active, sequence := b.active, int64(0)
	b.mu.Unlock()
	models, layers := b.held()
	respond(w, http.StatusOK, map[string]any{
		"stage": "both", "models": models, "layers": layers, "busy": false, "sequence": sequence, "queued": 0, "active": active,
		"kvUsed": 0, "kvTotal": 1640000, "handles": 0, "pace": 1.0, "born": b.born,
	})
}

func (b *server) serveStaged(w http.ResponseWriter, r *http.Request) {
	number, err := strconv.Atoi(r.URL.Query().Get("number"))
	if err != nil {
		respond(w, http.StatusOK, map[string]any{"held": []int{0, 1, 2, 3}})
		return
	}
	_, _ = w.Write(chunk(number))
}

// run handles a request of a client.
func (b *server) run(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Rattanway-Request-Id")
	b.mu.Lock()
	a := arrival{at: time.Now(), id: id, server: b.id, cold: time.Now().Before(b.coldUntil)}
	refusal := 0
	switch {
	case r.Header.Get("Rattanway-Expect-Instance") != "" && r.Header.Get("Rattanway-Expect-Instance") != b.id:
		refusal = http.StatusMisdirectedRequest
	case b.model && r.Header.Get("Rattanway-Expect-Version") != "" && r.Header.Get("Rattanway-Expect-Version") != "1":
		refusal = http.StatusMisdirectedRequest
	case b.active >= 2*b.slots:
		refusal = http.StatusServiceUnavailable
	}
	a.ran = refusal == 0
	if a.ran {
		b.active++
	}
	crashed := time.Now().Before(b.crashedUntil)
	if !crashed {
		b.arrivals = append(b.arrivals, a)
	}
	if !crashed && a.cold && b.crashAbove > 0 && b.coldRate() > b.crashAbove {
		crashed, b.crashedUntil, b.coldUntil = true, time.Now().Add(crashTime), time.Now().Add(crashTime)
		note("%s crashes: more than %d requests in a second while it is cold; %d runs end", b.id, b.crashAbove, b.active-1)
	}
	b.mu.Unlock()
	if crashed {
		reset(w)
		return
	}
	note("%s reaches %s%s, status of a refusal: %d", id, b.id, map[bool]string{true: " (cold)"}[a.cold], refusal)
	w.Header().Set("Rattanway-Request-Id", id)
	if refusal != 0 {
		w.Header().Set("Rattanway-Not-Executed", "1")
		w.WriteHeader(refusal)
		return
	}
	defer func() {
		b.mu.Lock()
		b.active--
		b.mu.Unlock()
	}()
	w.Header().Set("Rattanway-Server-Stamp", fmt.Sprintf("%s.%d", b.id, stampCount.Add(1)))
	if b.eventIDs != nil {
		b.stream(w, r, id)
		return
	}
	time.Sleep(b.work)
	if b.isCrashed() {
		note("the run of %s at %s is cut off by the crash", id, b.id)
		reset(w)
		return
	}
	respond(w, http.StatusOK, map[string]any{"request": id, "length": len(body)})
}

// crashTime is how long a server that has crashed is away.
const crashTime = 2 * time.Second

// settleTime is how long a server has been cold before it can crash. That is time enough for
// others to learn of it from its health responses.
const settleTime = 1500 * time.Millisecond

// coldRate returns the number of requests that have reached the cold server within the last
// second and later than settleTime after it became cold. The caller holds b.mu.
func (b *server) coldRate() int {
	n := 0
	for i := len(b.arrivals) - 1; i >= 0 && time.Since(b.arrivals[i].at) < time.Second; i-- {
		if b.arrivals[i].cold && b.arrivals[i].ran && b.arrivals[i].at.Sub(b.coldSince) >= settleTime {
			n++
		}
	}
	return n
}

// isCrashed reports whether the server has crashed, and counts the run that this ends.
func (b *server) isCrashed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !time.Now().Before(b.crashedUntil) {
		return false
	}
	b.cutOff++
	return true
}

// reset resets the channel of a request.
func reset(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// stream sends the events after the one that the client has.
func (b *server) stream(w http.ResponseWriter, r *http.Request, id string) {
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	if b.model {
		w.Header().Set("Rattanway-Weight-Versions", "1")
	}
	w.WriteHeader(http.StatusOK)
	for i, event := range b.eventIDs {
		if event <= last {
			continue
		}
		time.Sleep(b.work)
		if b.isCrashed() {
			note("the run of %s at %s is cut off by the crash", id, b.id)
			reset(w)
			return
		}
		if r.Context().Err() != nil {
			note("the channel of %s at %s closes before event %d", id, b.id, event)
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: {\"text\":\"part %d of %d\"}\n\n", event, i+1, len(b.eventIDs))
		w.(http.Flusher).Flush()
	}
	note("%s has sent all events of %s", b.id, id)
}

// chunk returns a piece of the weights.
func chunk(number int) []byte { return []byte(strings.Repeat(fmt.Sprintf("weights %d ", number), 100)) }

// newOrigin starts the source of the weights.
func newOrigin(ip string) string {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rattanway/manifest/{model}", func(w http.ResponseWriter, r *http.Request) {
		digests := []string{}
		for i := range chunkCount {
			digests = append(digests, digestOf(chunk(i)))
		}
		respond(w, http.StatusOK, map[string]any{
			"model": r.PathValue("model"), "version": 1, "chunkBytes": len(chunk(0)), "layers": layerCount, "digests": digests,
		})
	})
	mux.HandleFunc("GET /rattanway/piece/{model}", func(w http.ResponseWriter, r *http.Request) {
		number, _ := strconv.Atoi(r.URL.Query().Get("number"))
		_, _ = w.Write(chunk(number))
	})
	return serve(ip, mux)
}

// plainService returns a service of the manifest.
func plainService(name string, coldS, coldPerS float64) map[string]any {
	return map[string]any{"name": name, "healthCheck": "/healthz", "maxConnections": 256, "coldS": coldS, "coldPerS": coldPerS, "protocol": "http1", "tls": false}
}

// modelService returns the service of the model servers, with the figures of the site.
func modelService(name string) map[string]any {
	s := plainService(name, 3, 28)
	s["engine"] = map[string]any{
		"slots": 16, "step_ms": 6.73, "per_seq_ms": 0.0219, "context_per_k": 0.0068, "read_per_s": 30600.0, "pairs_per_m": 0.647, "chunk": 2048,
		"stride": 6, "usual": map[string]int{"prompt": 900, "answer": 100}, "delays": []any{}, "report_lag_ms": 200,
		"layers": layerCount, "layer_mb": 4540.0, "megabytes": 282000.0, "act_bytes": 16384.0, "linkMbps": 400000.0, "kvTokenBytes": 163840.0,
		"chunks": chunkCount, "chunkBytes": len(chunk(0)), "stall_ms": 1500,
		"models": []map[string]any{{"name": modelName, "warmS": 0.3}},
	}
	return s
}

// originService returns the service of the source of the weights.
func originService(name, addr, zone string) map[string]any {
	s := plainService(name, 0, 0)
	s["origin"], s["zone"], s["linkMbps"] = addr, zone, 15.0
	return s
}

// manifest returns the operator's manifest.
func manifest(routes, services []map[string]any) json.RawMessage {
	raw, err := json.Marshal(map[string]any{
		"version": 1, "routes": routes, "services": services,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 20000},
		"tenants": []map[string]any{{"name": "tenant-1", "apiKeys": []string{clientKey}}},
	})
	if err != nil {
		fatal("encode manifest: %v", err)
	}
	return raw
}

// clientKey is the key of all clients.
const clientKey = "key-of-tenant-1"
