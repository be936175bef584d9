package main

import (
	"encoding/json"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// process is an entry instance or an agent of the project.
type process struct {
	name, role, zone, host, settings string
	// clients, ready and control are the addresses of an entry instance.
	clients, ready, control string
	// port and server are the port of an agent and the address of its model server.
	port   int
	server string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	ended  bool
}

var (
	processesMu sync.Mutex
	processes   []*process
)

// stopAll kills all processes that this program has started.
func stopAll() {
	processesMu.Lock()
	defer processesMu.Unlock()
	for _, p := range processes {
		p.kill()
	}
}

// stopOnSignal makes the program end its processes when it is told to stop.
func stopOnSignal() {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		<-c
		stopAll()
		os.Exit(2)
	}()
}

// deployment is a small deployment on loopback addresses.
type deployment struct {
	dir, repo, net string
	record         *recorder
	store          *store
	storeAddr      string
	origin         *origin
	originAddr     string
	entries        []*process
	agents         []*process
	servers        []*modelServer
	manifest       int
	storeListener  *silenceable
	stop           chan struct{}
}

// The zones and regions of the deployment.
var zones = map[string]string{"bandung-a": "jabar", "semarang-a": "jateng", "surabaya-a": "jatim"}

const (
	serviceName = "xapu12a"
	routeHost   = "jepu9.example"
	routePrefix = "/lepu270/"
	apiKey      = "jnbanfqasnmgkcuyj8pj"
	tenant      = "bozi300"
)

func newDeployment(record *recorder) *deployment {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		cannotRun("temporary folder", err)
	}
	d := &deployment{
		dir: dir, repo: os.Getenv("REPO"), record: record, store: newStore(), stop: make(chan struct{}), manifest: 3,
		net: fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250)),
	}
	d.origin = &origin{record: record}
	l, err := net.Listen("tcp", d.net+"1:0")
	if err != nil {
		cannotRun("listen", err)
	}
	d.storeListener, d.storeAddr = &silenceable{Listener: l}, l.Addr().String()
	storeServer := &http.Server{Handler: d.store.handler(), ErrorLog: log.New(io.Discard, "", 0)}
	go func() { _ = storeServer.Serve(d.storeListener) }()
	d.originAddr = d.listen("2", d.origin.handler())
	return d
}

func (d *deployment) close() {
	stopAll()
	_ = os.RemoveAll(d.dir)
}

// freeAddr returns an address whose port is free.
func (d *deployment) freeAddr(host string) string {
	l, err := net.Listen("tcp", d.net+host+":0")
	if err != nil {
		cannotRun("find a free port", err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func (d *deployment) listen(host string, h http.Handler) string {
	l, err := net.Listen("tcp", d.net+host+":0")
	if err != nil {
		cannotRun("listen", err)
	}
	server := &http.Server{Handler: h, ErrorLog: log.New(io.Discard, "", 0)}
	go func() { _ = server.Serve(l) }()
	return l.Addr().String()
}

// addModelServer starts a model server; its agent is added by addAgent.
func (d *deployment) addModelServer(zone string, version int) *modelServer {
	host := strconv.Itoa(100 + len(d.servers))
	m := newModelServer(fmt.Sprintf("s%d", len(d.servers)+1), "", zone, serviceName, version, d.store, d.record)
	m.addr = d.listen(host, m.handler())
	d.servers = append(d.servers, m)
	go m.heartbeat(d.stop)
	return m
}

// settings returns the settings of a process, as the platform renders them from the
// template of the deploy file.
func (d *deployment) settings(name, role, class, host, zone string) map[string]any {
	return map[string]any{
		"node": name, "role": role, "machineClass": class, "ip": d.net + host, "zone": zone, "region": zones[zone],
		"zones": zones, "listen": map[string]any{}, "portRange": []int{7700, 7715}, "bootstrap": true,
		"limits":    map[string]any{"cpuShare": 0.6, "cores": 1, "memoryMb": 414, "maxFds": 6150, "linkMbps": 1500.0, "diskMb": 0},
		"discovery": "platform", "entry": "vip", "heartbeatMs": 1200, "seeds": []string{},
		"contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "places", "platform", "chunks"},
		"faultTolerance": map[string]any{"machines": 2, "zones": 1, "regions": 0},
		"bounds": map[string]any{
			"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8,
			"lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250, "skewMaxMs": 5000, "strictRevoke": false,
			"revokeMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 104, "coldOverage": 1.5, "coldSlack": 5,
			"evacuateMs": 5000, "recoveryS": 12, "passMs": 120, "retryAfterS": 0, "version_ms": 8000, "version_all_ms": 0,
		},
		"platform": map[string]any{
			"address": d.storeAddr, "form": "table", "writesPerS": 400, "readsPerS": 2000, "txMs": 5.0, "partWritesS": 200,
			"rowBytes": 65536, "across": false, "historyS": 20, "blobBytes": 8388608, "blobMs": 25.0, "blobMbS": 80.0,
		},
	}
}

// addEntries adds entry instances, one for each zone name, on new addresses, without
// starting them. firstHost is the last number of the first address.
func (d *deployment) addEntries(firstHost int, entryZones ...string) {
	for i, zone := range entryZones {
		host := strconv.Itoa(firstHost + i)
		name := fmt.Sprintf("front-%s-%d", zone, firstHost+i)
		p := &process{
			name: name, role: "entry", zone: zone, host: host,
			clients: d.freeAddr(host), ready: d.freeAddr(host), control: d.freeAddr(host),
		}
		d.entries = append(d.entries, p)
	}
}

// seeds returns the control addresses of the first three entry instances.
func (d *deployment) seeds() []string {
	var seeds []string
	for _, p := range d.entries[:min(3, len(d.entries))] {
		seeds = append(seeds, p.control)
	}
	return seeds
}

// writeEntrySettings writes the settings file of an entry instance.
func (d *deployment) writeEntrySettings(p *process, seeds []string) {
	s := d.settings(p.name, "entry", "front", p.host, p.zone)
	s["serves"] = []string{"front", "control"}
	s["listen"] = map[string]any{"front": p.clients, "ready": p.ready, "control": p.control}
	s["seeds"] = seeds
	d.prepare(p, s)
}

// startNodes starts entry instances, one for each zone name, and one agent beside each
// model server.
func (d *deployment) startNodes(entryZones ...string) {
	d.addEntries(10, entryZones...)
	for _, p := range d.entries {
		d.writeEntrySettings(p, d.seeds())
	}
	for i, m := range d.servers {
		host := strconv.Itoa(100 + i)
		_, port, _ := net.SplitHostPort(d.freeAddr(host))
		n, _ := strconv.Atoi(port)
		p := &process{name: fmt.Sprintf("side-%s-%d", m.zone, i+1), role: "agent", zone: m.zone, host: host, port: n, server: m.addr}
		d.writeAgentSettings(p, d.seeds())
		d.agents = append(d.agents, p)
	}
	d.launchAll()
}

// writeAgentSettings writes the settings file of an agent.
func (d *deployment) writeAgentSettings(p *process, seeds []string) {
	s := d.settings(p.name, "agent", "side", p.host, p.zone)
	s["serves"], s["app"], s["service"], s["seeds"] = []string{"side"}, p.server, serviceName, seeds
	s["limits"] = map[string]any{"cpuShare": 0.48, "cores": 1, "memoryMb": 152, "maxFds": 2048, "linkMbps": 9.4, "diskMb": 0}
	s["portRange"] = []int{p.port, p.port}
	d.prepare(p, s)
}

// launchAll starts all entry instances and agents.
func (d *deployment) launchAll() {
	for _, p := range append(append([]*process{}, d.entries...), d.agents...) {
		d.launch(p)
	}
}

// prepare writes the settings file of a process.
func (d *deployment) prepare(p *process, settings map[string]any) {
	raw, err := json.Marshal(settings)
	if err == nil {
		p.settings = filepath.Join(d.dir, p.name+".json")
		err = os.WriteFile(p.settings, raw, 0o600)
	}
	if err != nil {
		cannotRun("write settings", err)
	}
}

// launch starts a process with the command and the variables of the deploy file.
func (d *deployment) launch(p *process) {
	logFile, err := os.OpenFile(filepath.Join(d.dir, p.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun("open log", err)
	}
	cmd := exec.Command(filepath.Join(d.repo, "target/rattanway-node"), p.role)
	cmd.Dir = d.repo
	cmd.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "RATTANWAY_BOOT=" + p.settings,
		"RATTANWAY_PEER_TOKEN=replace-this-token", "RATTANWAY_METRICS_PORT=9188",
	}
	cmd.Stdout, cmd.Stderr = logFile, logFile
	if err := cmd.Start(); err != nil {
		cannotRun("start "+p.name, err)
	}
	exited := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.exited, p.ended = cmd, exited, false
	p.mu.Unlock()
	processesMu.Lock()
	processes = append(processes, p)
	processesMu.Unlock()
	go func() {
		err := cmd.Wait()
		_ = logFile.Close()
		p.mu.Lock()
		p.ended = true
		p.mu.Unlock()
		d.record.add("process %s has ended: %v", p.name, err)
		close(exited)
	}()
	d.record.add("process %s started", p.name)
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && !p.ended {
		_ = p.cmd.Process.Signal(s)
	}
}

// kill ends the process and waits for that.
func (p *process) kill() {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited == nil {
		return
	}
	p.signal(syscall.SIGKILL)
	<-exited
}

// putManifest writes the next version of the manifest.
func (d *deployment) putManifest() {
	d.manifest += 2
	route := map[string]any{
		"name": "r-js2eek2", "host": routeHost, "prefix": routePrefix, "kind": "streaming", "timeoutMs": 6000, "targetLatencyMs": 400,
		"priority": 1, "service": serviceName, "maxAttempts": 2, "allowAnonymous": false, "stickySessions": true, "resumable": true,
		"gapTargetMs": 300, "allowedRegions": []string{},
	}
	engine := map[string]any{
		"slots": 16, "kvCapacityTokens": 1640000, "kvTokenBytes": 163840, "linkMbps": 400000.0, "stride": 6,
		"models":    []map[string]any{{"name": modelName, "pace": 1.0, "loadS": 4.0, "warmS": 0.3}},
		"megabytes": 282000.0, "step_ms": 6.73, "per_seq_ms": 0.0219, "context_per_k": 0.0068, "read_per_s": 30600.0,
		"pairs_per_m": 0.647, "chunk": 2048, "report_lag_ms": 200.0, "usual": map[string]any{"prompt": 964, "answer": 119},
		"layers": layerCount, "layer_mb": 4540.0, "act_bytes": 16384, "chunks": chunkCount, "chunkBytes": chunkBytes,
	}
	d.store.put("op", "config", map[string]any{
		"version": d.manifest, "routes": []any{route},
		"services": []any{
			map[string]any{"name": serviceName, "healthCheck": "/healthz", "maxConnections": 234, "coldS": 3.0, "coldPerS": 28.0, "engine": engine},
			map[string]any{"name": "kafi81c", "origin": d.originAddr, "zone": "surabaya-a", "linkMbps": 15.0, "maxConnections": 48},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": tenant, "apiKeys": []string{apiKey}, "priority": 1, "allowedRegions": []string{}}},
	})
	d.record.add("operator: manifest %d acknowledged", d.manifest)
}

// nameVersion declares a version of the weights.
func (d *deployment) nameVersion(version int) {
	d.store.put("op", "version/"+modelName, map[string]any{"model": modelName, "version": version})
	d.record.add("operator: version %d of the weights acknowledged", version)
}

// waitFor waits for a condition.
func waitFor(what string, limit time.Duration, ok func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return true
		}
	}
	return false
}

// allReady reports whether every entry instance says that it is ready.
func (d *deployment) allReady() bool {
	for _, p := range d.entries {
		if !p.isReady() {
			return false
		}
	}
	return true
}

var readyClient = &http.Client{Timeout: time.Second}

func (p *process) isReady() bool {
	resp, err := readyClient.Get("http://" + p.ready + "/rattanway/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
