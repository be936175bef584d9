package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"time"
)

// record is the file record.txt of a case.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

var theRecord = &record{start: time.Now()}

// note writes a line to record.txt, with the time since the start.
func note(format string, args ...any) {
	theRecord.mu.Lock()
	defer theRecord.mu.Unlock()
	_, _ = fmt.Fprintf(theRecord.file, "%8.3f  %s\n", time.Since(theRecord.start).Seconds(), fmt.Sprintf(format, args...))
}

// fatal ends the case as one that could not run.
func fatal(format string, args ...any) {
	note("the case could not run: "+format, args...)
	fmt.Printf("the case could not run: "+format+"\n", args...)
	killAll()
	os.Exit(2)
}

// machine is a machine with one process of the system.
type machine struct {
	name, role, ip string
	settings       map[string]any
	dir            string
	cmd            *exec.Cmd
	done           chan struct{}
	// client, ready and control are the addresses of an entry instance.
	client, ready, control string
}

var (
	machinesMu sync.Mutex
	machines   []*machine
)

// killAll kills all processes that this case has started, and waits for them.
func killAll() {
	machinesMu.Lock()
	all := append([]*machine{}, machines...)
	machinesMu.Unlock()
	for _, m := range all {
		m.kill()
	}
}

// freePort returns a port of ip that is free now.
func freePort(ip string) int {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		fatal("find a free port: %v", err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().(*net.TCPAddr).Port
}

// newMachine prepares a machine with the settings of a small deployment.
func newMachine(dir, role, name, ip, zone, storeAddr string) *machine {
	m := &machine{name: name, role: role, ip: ip, dir: dir}
	at := func() string { return net.JoinHostPort(ip, strconv.Itoa(freePort(ip))) }
	class, memory, fds, share, mbps := "front", 414.0, 6150, 0.608, 1500.0
	listen := map[string]any{}
	if role == "entry" {
		m.client, m.ready, m.control = at(), at(), at()
		listen = map[string]any{"front": m.client, "ready": m.ready, "control": m.control}
	} else {
		class, memory, fds, share, mbps = "side", 152.0, 2048, 0.48, 9.4
	}
	first := freePort(ip)
	m.settings = map[string]any{
		"node": name, "role": role, "machineClass": class, "serves": []string{class}, "ip": ip, "zone": zone, "region": zone + "-region",
		"zones": map[string]string{zone: zone + "-region"}, "listen": listen, "portRange": []int{first, first + 15},
		"seeds": []string{}, "bootstrap": true, "inTolerance": false,
		"limits":  map[string]any{"cpuShare": share, "cores": 1, "memoryMb": memory, "maxFds": fds, "linkMbps": mbps, "diskMb": 0},
		"dataDir": nil, "discovery": "platform", "entry": "vip", "heartbeatMs": heartbeat.Milliseconds(),
		"contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "places", "platform", "chunks"},
		"faultTolerance": map[string]int{"machines": 2, "zones": 1, "regions": 0},
		"bounds": map[string]any{
			"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8, "lossSlackMs": 200,
			"configApplyMs": 2000, "rollbackSlackMs": 250, "skewMaxMs": 5000, "strictRevoke": false, "revokeMs": 5000, "retryBudgetRatio": 0.2,
			"budgetWindowS": 10, "budgetSlack": 104, "coldOverage": 1.5, "coldSlack": 5, "evacuateMs": 5000, "recoveryS": 12, "passMs": 120,
			"retryAfterS": 0, "version_ms": 8000, "version_all_ms": 0,
		},
		"platform": map[string]any{
			"address": storeAddr, "form": "table", "writesPerS": 400, "readsPerS": 2000, "txMs": 5.0, "partWritesS": 200, "rowBytes": 65536,
			"across": false, "historyS": 20, "blobBytes": 8388608, "blobMs": 25.0, "blobMbS": 80.0,
		},
	}
	machinesMu.Lock()
	machines = append(machines, m)
	machinesMu.Unlock()
	return m
}

// begin starts the process with the command of deploy/system.toml.
func (m *machine) begin() {
	raw, err := json.Marshal(m.settings)
	if err != nil {
		fatal("encode settings: %v", err)
	}
	path := filepath.Join(m.dir, m.name+".json")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		fatal("write settings: %v", err)
	}
	out, err := os.OpenFile(filepath.Join(m.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fatal("open log: %v", err)
	}
	m.cmd = exec.Command("target/rattanway-node", m.role)
	m.cmd.Env = append(os.Environ(), "RATTANWAY_BOOT="+path, "RATTANWAY_PEER_TOKEN=replace-this-token", "RATTANWAY_METRICS_PORT="+strconv.Itoa(freePort(m.ip)))
	m.cmd.Stdout, m.cmd.Stderr = out, out
	if err := m.cmd.Start(); err != nil {
		fatal("start %s: %v", m.name, err)
	}
	m.done = make(chan struct{})
	go func() {
		_ = m.cmd.Wait()
		_ = out.Close()
		close(m.done)
	}()
	note("%s starts", m.name)
}

// kill ends the process at once.
func (m *machine) kill() {
	if m.cmd == nil {
		return
	}
	_ = m.cmd.Process.Kill()
	<-m.done
	m.cmd = nil
}

// isReady asks an entry instance whether it is ready, as the load balancer does.
func (m *machine) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + m.ready + "/rattanway/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until entry instances are ready.
func awaitReady(entries ...*machine) {
	deadline := time.Now().Add(15 * time.Second)
	for _, m := range entries {
		for !m.isReady() {
			if time.Now().After(deadline) {
				fatal("%s does not become ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	note("all entry instances are ready")
}
