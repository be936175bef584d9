package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

var (
	begunAt   = time.Now()
	recordMu  sync.Mutex
	record    *os.File
	processMu sync.Mutex
	processes []*process
	// trouble is false if the case is to run without the disruption.
	trouble = os.Getenv("TROUBLE") != "0"
)

// note writes a line of the record with the time since the start of the case.
func note(at time.Time, format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	fmt.Fprintf(record, "%9.3f s  %s\n", at.Sub(begunAt).Seconds(), fmt.Sprintf(format, args...))
}

// finish ends all processes of the case and exits.
func finish(code int) {
	for _, p := range processes {
		p.kill()
	}
	_ = record.Close()
	os.Exit(code)
}

func cannotRun(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	note(time.Now(), "CANNOT RUN: "+format, args...)
	finish(exitCannotRun)
}

// process is a daemon of the project.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

func (p *process) kill() {
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	_ = p.cmd.Process.Kill()
	<-p.done
}

// startDaemon starts a daemon with the command of the deploy file.
func startDaemon(role, name, dir string, settings map[string]any) *process {
	raw, _ := json.MarshalIndent(settings, "", " ")
	path := filepath.Join(dir, name+".json")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		cannotRun("settings: %v", err)
	}
	out, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		cannotRun("log: %v", err)
	}
	p := &process{name: name, cmd: exec.Command("target/rattanway-node", role), done: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), "RATTANWAY_BOOT="+path, "RATTANWAY_PEER_TOKEN=replace-this-token", "RATTANWAY_METRICS_PORT=9188")
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		cannotRun("start %s: %v", name, err)
	}
	go func() { _ = p.cmd.Wait(); close(p.done) }()
	processMu.Lock()
	processes = append(processes, p)
	processMu.Unlock()
	return p
}

// hostIP returns a loopback address for one machine. It differs between runs.
func hostIP(n int) string { return fmt.Sprintf("127.%d.%d.%d", ipBase[0], ipBase[1], n) }

var ipBase = [2]int{10 + rand.Intn(200), rand.Intn(250)}

// zones are those of the small installation of SYSTEM.md.
var zones = map[string]string{"palermo-a": "palermo", "catania-a": "catania", "trapani-a": "trapani"}

// machineSettings returns the settings of a machine, with the figures of the sheet.
func machineSettings(name, role, ip, zone, storeAddr string, seeds []string) map[string]any {
	s := map[string]any{
		"node": name, "role": role, "machineClass": role, "ip": ip, "zone": zone, "region": zones[zone], "zones": zones,
		"portRange": []int{7700, 7715}, "seeds": seeds, "bootstrap": true, "inTolerance": false, "dataDir": nil,
		"discovery": "platform", "entry": "vip", "heartbeatMs": heartbeat.Milliseconds(),
		"limits":         map[string]any{"cpuShare": 0.608, "cores": 1, "memoryMb": 414, "maxFds": 6150, "linkMbps": 1500.0, "diskMb": 0},
		"faultTolerance": map[string]any{"machines": 2, "zones": 1, "regions": 0},
		"bounds": map[string]any{
			"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8,
			"lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250, "skewMaxMs": 5000, "strictRevoke": false, "revokeMs": 5000,
			"retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 104, "coldOverage": 1.5, "coldSlack": 5, "evacuateMs": 5000,
			"recoveryS": 12, "passMs": 120, "retryAfterS": 0, "version_ms": 8000, "version_all_ms": 0,
		},
		"platform": map[string]any{
			"address": storeAddr, "form": "table", "writesPerS": 400, "readsPerS": 2000, "txMs": 5.0, "partWritesS": 200,
			"rowBytes": 65536, "across": false, "historyS": 20, "blobBytes": 8388608, "blobMs": 25.0, "blobMbS": 80.0,
		},
	}
	return s
}

const (
	heartbeat     = 1200 * time.Millisecond
	contact       = 3 * time.Second
	drain         = 2 * time.Second
	configApply   = 2 * time.Second
	frontPort     = "8005"
	readyPort     = "8002"
	controlPort   = "8000"
	clientKey     = "jnbanfqasnmgkcuyj8pj"
	serviceName   = "registro"
	unsafePath    = "/filo73/de11/2f"
	unsafeHost    = "voka93.example"
	unsafePrefix  = "/filo73/de11/"
	routeDeadline = 4 * time.Second
)

// entryHost is a machine with an entry instance.
type entryHost struct {
	*process
	name, ip, zone string
	dir            string
	settings       map[string]any
	// toStore is the way of this machine to the store.
	toStore *proxy
}

func (e *entryHost) front() string   { return net.JoinHostPort(e.ip, frontPort) }
func (e *entryHost) control() string { return net.JoinHostPort(e.ip, controlPort) }

// killAndRestart kills the process of the machine and starts it again after a pause.
func (e *entryHost) killAndRestart(pause time.Duration) {
	note(time.Now(), "%s is killed", e.name)
	e.kill()
	time.Sleep(pause)
	e.process = startDaemon("entry", e.name, e.dir, e.settings)
	note(time.Now(), "%s starts again", e.name)
}

// startEntry starts an entry instance.
func startEntry(n int, zone, dir string, s *store, seeds []string) *entryHost {
	e := &entryHost{name: fmt.Sprintf("front-%s-%d", zone, n), ip: hostIP(n), zone: zone, dir: dir, toStore: newProxy("127.0.0.1:0", s.addr)}
	settings := machineSettings(e.name, "front", e.ip, zone, e.toStore.addr, seeds)
	settings["serves"] = []string{"front", "control"}
	settings["listen"] = map[string]string{
		"front": net.JoinHostPort(e.ip, frontPort), "ready": net.JoinHostPort(e.ip, readyPort), "control": net.JoinHostPort(e.ip, controlPort),
	}
	e.settings = settings
	e.process = startDaemon("entry", e.name, dir, settings)
	return e
}

// awaitReady waits until the entry instance says that it is ready.
func (e *entryHost) awaitReady() {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + net.JoinHostPort(e.ip, readyPort) + "/rattanway/readyz")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
	}
	cannotRun("%s does not become ready", e.name)
}

// arrival is a request as a server saw it.
type arrival struct {
	at     time.Time
	id     string
	path   string
	ranOut bool
}

// server is a stand-in of a server of a plain service.
type server struct {
	id, addr, service, zone string
	work                    time.Duration
	store                   *store
	http                    *http.Server
	mu                      sync.Mutex
	arrivals                []arrival
	runs                    map[string]int
	listed                  bool
	sequence                int
	gone                    bool
}

func startServer(id, service, zone string, work time.Duration, s *store) *server {
	v := &server{id: id, service: service, zone: zone, work: work, store: s, runs: map[string]int{}, listed: true}
	l := listen("127.0.0.1:0")
	v.addr = l.Addr().String()
	v.http = &http.Server{Handler: http.HandlerFunc(v.serve)}
	go func() { _ = v.http.Serve(l) }()
	go v.beat()
	return v
}

// beat writes the server's entry at each heartbeat.
func (v *server) beat() {
	for {
		v.mu.Lock()
		if v.listed {
			v.sequence++
			v.store.put("servers", v.id, map[string]any{
				"service": v.service, "address": v.addr, "zone": v.zone, "version": "v1", "slots": 6, "state": "ready",
				"coldRemainingMs": 0, "sequence": v.sequence, "born": begunAt.UnixMilli(),
			})
		}
		v.mu.Unlock()
		time.Sleep(heartbeat)
	}
}

// leave removes the server's entry without a notice, and returns the time of the store's ack.
func (v *server) leave() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.listed = false
	return v.store.remove("servers", v.id)
}

// exit ends the server: its port is closed and its channels break.
func (v *server) exit() {
	v.mu.Lock()
	v.gone = true
	v.mu.Unlock()
	_ = v.http.Close()
}

func (v *server) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		w.Header().Set("Rattanway-Instance-Id", v.id)
		return
	}
	id := r.Header.Get("Rattanway-Request-Id")
	w.Header().Set("Rattanway-Request-Id", id)
	if r.Header.Get("Rattanway-Expect-Instance") != v.id {
		w.Header().Set("Rattanway-Instance-Id", v.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	at := time.Now()
	_, _ = io.Copy(io.Discard, r.Body)
	v.mu.Lock()
	v.arrivals = append(v.arrivals, arrival{at: at, id: id, path: r.URL.Path})
	v.runs[id]++
	v.mu.Unlock()
	note(at, "server %s runs %s (%s)", v.id, id, r.URL.Path)
	select {
	case <-time.After(v.work):
	case <-r.Context().Done():
		note(time.Now(), "server %s: the channel of %s has ended", v.id, id)
		return
	}
	v.mu.Lock()
	gone := v.gone
	v.mu.Unlock()
	if gone {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Rattanway-Server-Stamp", "stamp."+v.id+"."+id)
	_, _ = io.WriteString(w, "done "+id+" "+strings.Repeat("x", 700)+"\n")
}

// answer is what a client got.
type answer struct {
	id             string
	entry          *entryHost
	sentAt, doneAt time.Time
	status         int
	stamp          string
	err            error
}

// client sends requests at an even rate to one entry instance.
type client struct {
	entry  *entryHost
	method string
	host   string
	path   string
	key    string
	// model is the model that the requests name; empty for a plain service.
	model string
	http  *http.Client
	mu    sync.Mutex
	all   []*answer
	wg    sync.WaitGroup
	quit  chan struct{}
}

func newClient(e *entryHost, method, host, path string) *client {
	return &client{
		entry: e, method: method, host: host, path: path, key: clientKey, quit: make(chan struct{}),
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 5 * time.Second}},
	}
}

var requestNumber struct {
	sync.Mutex
	n int
}

func nextID() string {
	requestNumber.Lock()
	defer requestNumber.Unlock()
	requestNumber.n++
	return fmt.Sprintf("%016x", 0x1c41d07b00000000+requestNumber.n)
}

// run sends perSecond requests a second until stop.
func (c *client) run(perSecond float64) {
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticker.Stop()
	for {
		select {
		case <-c.quit:
			return
		case <-ticker.C:
			c.wg.Go(func() { c.send() })
		}
	}
}

func (c *client) stop() {
	close(c.quit)
	c.wg.Wait()
}

// send sends one request once and waits for its answer.
func (c *client) send() *answer {
	a := &answer{id: nextID(), entry: c.entry, sentAt: time.Now()}
	body := strings.Repeat("b", 600)
	req, err := http.NewRequest(c.method, "http://"+c.entry.front()+c.path, strings.NewReader(body))
	if err != nil {
		cannotRun("request: %v", err)
	}
	req.Host = c.host
	req.Header.Set("Rattanway-Request-Id", a.id)
	req.Header.Set("Rattanway-Deadline-Ms", strconv.FormatInt(routeDeadline.Milliseconds(), 10))
	req.Header.Set("Authorization", "Token "+c.key)
	if c.model != "" {
		req.Header.Set("Rattanway-Model", c.model)
		req.Header.Set("Rattanway-Token-Usage", "1460,80")
		req.Header.Set("Rattanway-Prompt-Prefix", "5c1e07a2:800,"+a.id[8:]+":660")
	}
	resp, err := c.http.Do(req)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		a.status, a.stamp = resp.StatusCode, resp.Header.Get("Rattanway-Server-Stamp")
	}
	a.err, a.doneAt = err, time.Now()
	note(a.sentAt, "client sends %s to %s", a.id, c.entry.name)
	note(a.doneAt, "client gets for %s: status %d, stamp %q, error %v", a.id, a.status, a.stamp, a.err)
	c.mu.Lock()
	c.all = append(c.all, a)
	c.mu.Unlock()
	return a
}

// route returns a route of the manifest.
func route(name, host, prefix, kind, service string) map[string]any {
	return map[string]any{
		"name": name, "host": host, "prefix": prefix, "kind": kind, "timeoutMs": 2000, "targetLatencyMs": 300, "priority": 2,
		"service": service, "maxAttempts": 1, "allowAnonymous": false, "allowedRegions": []string{},
	}
}

// manifest returns a manifest with a plain service.
func manifest(version int, routes []map[string]any, keys ...string) map[string]any {
	return map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{
			{"name": serviceName, "healthCheck": "/healthz", "maxConnections": 110, "protocol": "h1", "tls": false, "coldS": 0.0, "coldPerS": 0.0},
			{"name": "altro", "healthCheck": "/healthz", "maxConnections": 110, "protocol": "h1", "tls": false, "coldS": 0.0, "coldPerS": 0.0},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": "bozi300", "apiKeys": keys}},
	}
}
