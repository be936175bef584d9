package faults

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rattanway/rattanway/bench/requests"
	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/process/metrics"
	"github.com/rattanway/rattanway/standin/engine"
	"github.com/rattanway/rattanway/test/ports"
)

const (
	peerToken            = "test-peer-token"
	operatorToken        = "test-operator-token"
	accountKey           = "test-account-key"
	engineLimit          = 48
	engineColdLimit      = 8
	serversPerDataCentre = 3
	// stopTimeout is the longest time that a process may take to exit after
	// SIGTERM.
	stopTimeout = 30 * time.Second
	// readyTimeout is the longest wait for a condition. It also limits the total
	// time of the requests of one agentClient.
	readyTimeout = 60 * time.Second
)

// dataCentres are the data centres of a cluster with their regions.
var dataCentres = []struct{ name, region string }{
	{"palermo", "west"}, {"trapani", "west"}, {"catania", "east"},
}

// buildBinary builds the rattanway command once and returns its path.
var buildBinary = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "rattanway-faults")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "rattanway")
	out, err := exec.Command("go", "build", "-o", path, "../../cmd/rattanway").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build: %w: %s", err, out)
	}
	return path, nil
})

// process is one process of a cluster.
type process struct {
	name string
	addr string
	args []string
	cmd  *exec.Cmd
	// done is closed when the process has exited.
	done chan struct{}
}

// sharedCluster is the cluster of the tests that need warm servers. The first such
// test starts the cluster.
var sharedCluster *cluster

// TestMain stops the shared cluster after the tests.
func TestMain(m *testing.M) {
	code := m.Run()
	if sharedCluster != nil {
		sharedCluster.stop()
	}
	os.Exit(code)
}

// warmCluster returns the shared cluster with every process running and every
// server warm.
func warmCluster(t *testing.T) *cluster {
	t.Helper()
	if sharedCluster == nil {
		sharedCluster = newCluster(t, engineArgs, nil)
	}
	sharedCluster.t = t
	sharedCluster.restartEnded()
	sharedCluster.warmUp()
	return sharedCluster
}

// restartEnded starts every process that has exited and waits until the cluster
// serves.
func (c *cluster) restartEnded() {
	c.t.Helper()
	for name, p := range c.processes {
		select {
		case <-p.done:
			c.start(name)
		default:
		}
	}
	c.awaitServing()
}

// cluster is a platform stand-in, entry instances, agents, engines and plain
// services, each in a process of its own.
type cluster struct {
	t            *testing.T
	bin, logDir  string
	dir          string
	processes    map[string]*process
	startOrder   []string
	platformAddr string
	instances    []core.Instance
	declarations strings.Builder
}

// freeAddr returns a loopback address on which nothing listens. Its port lies
// below the ephemeral ports of outgoing connections.
func freeAddr(t *testing.T) string {
	t.Helper()
	addrs, err := ports.FreeAddrs(1)
	if err != nil {
		t.Fatal(err)
	}
	return addrs[0]
}

// newCluster starts four entry instances and, in each of three data centres, model
// engines and one plain service, all with their agents. It waits until all of them
// serve. The caller must stop the cluster.
func newCluster(t *testing.T, engineArgs, entryArgs []string) *cluster {
	t.Helper()
	bin, err := buildBinary()
	if err != nil {
		t.Fatal(err)
	}
	dir, err := os.MkdirTemp("", "rattanway-cluster")
	if err != nil {
		t.Fatal(err)
	}
	c := &cluster{t: t, bin: bin, dir: dir, logDir: os.Getenv("RATTANWAY_TEST_LOGS"), processes: map[string]*process{}}
	if c.logDir == "" {
		c.logDir = dir
	}
	c.platformAddr = freeAddr(t)
	c.addDeclarations("kind: Region\nname: west", "kind: Region\nname: east",
		"kind: Service\nname: lots\nroutes:\n  - {method: POST, path: /lots}",
		"kind: ClientAccount\nname: erbe\nkeyHash: "+string(core.DigestOf([]byte(accountKey))))
	for _, small := range []string{"small-1", "small-2", "small-3"} {
		c.addDeclarations("kind: ClientAccount\nname: " + small + "\nkeyHash: " + string(core.DigestOf([]byte(small+"-key"))))
	}
	for i := range 4 {
		dc := dataCentres[i%3]
		c.addEntry(fmt.Sprintf("entry-%d", i+1), dc.name, dc.region, entryArgs)
	}
	for _, dc := range dataCentres {
		c.addDeclarations("kind: DataCentre\nname: " + dc.name + "\nregion: " + dc.region)
		for n := range serversPerDataCentre {
			c.addServer(fmt.Sprintf("gpu-%s-%d", dc.name, n+1), dc.name, dc.region, "", engineArgs)
		}
		c.addServer("lots-"+dc.name, dc.name, dc.region, "lots", nil)
	}
	c.startAndDeclare()
	return c
}

func (c *cluster) addDeclarations(docs ...string) {
	for _, d := range docs {
		c.declarations.WriteString(d + "\n---\n")
	}
}

func (c *cluster) addProcess(name, addr string, args ...string) {
	c.processes[name] = &process{name: name, addr: addr, args: args}
	c.startOrder = append(c.startOrder, name)
}

func (c *cluster) addEntry(name, dc, region string, extra []string) {
	addr := freeAddr(c.t)
	c.instances = append(c.instances, core.Instance{ID: name, Role: core.RoleEntry, Addr: addr, DataCentre: dc, Region: region})
	c.addProcess(name, addr, append([]string{"entry", "--id", name, "--listen", addr, "--data-centre", dc, "--region", region,
		"--balancer-lag", "500ms", "--heartbeat", "1s"}, extra...)...)
}

// addServer adds an engine or plain service and its agent.
func (c *cluster) addServer(name, dc, region, service string, engineArgs []string) {
	backendAddr, addr := freeAddr(c.t), freeAddr(c.t)
	c.instances = append(c.instances, core.Instance{ID: name, Role: core.RoleAgent, Addr: addr, DataCentre: dc, Region: region})
	agent := []string{"agent", "--id", name, "--listen", addr, "--data-centre", dc, "--region", region, "--engine", backendAddr, "--heartbeat", "1s"}
	declaration := "kind: BackendServer\nname: " + name + "\ndataCentre: " + dc
	if service != "" {
		c.addProcess("service:"+name, backendAddr, "standin", "service", "--listen", backendAddr, "--name", service)
		agent = append(agent, "--service", service)
		declaration += fmt.Sprintf("\nservice: %s\nlimit: %d\ncoldLimit: %d", service, engineLimit, engineLimit)
	} else {
		c.addProcess("engine:"+name, backendAddr, append([]string{"standin", "engine", "--listen", backendAddr, "--load-time", "100ms"}, engineArgs...)...)
		declaration += fmt.Sprintf("\nlimit: %d\ncoldLimit: %d\nfencing: true", engineLimit, engineColdLimit)
	}
	c.addProcess(name, addr, agent...)
	c.addDeclarations(declaration)
}

// start starts a process with its log appended to NAME.log.
func (c *cluster) start(name string) {
	c.t.Helper()
	p := c.processes[name]
	log, err := os.OpenFile(filepath.Join(c.logDir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		c.t.Fatal(err)
	}
	defer log.Close()
	p.cmd = exec.Command(c.bin, p.args...)
	p.cmd.Env = append(os.Environ(), "RATTANWAY_PEER_TOKEN="+peerToken, "RATTANWAY_PLATFORM="+c.platformAddr,
		"RATTANWAY_OPERATORS=ada="+operatorToken)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		c.t.Fatal(err)
	}
	p.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(p.cmd, p.done)
}

// signal sends a signal to a process.
func (c *cluster) signal(name string, s syscall.Signal) {
	c.t.Helper()
	if err := c.processes[name].cmd.Process.Signal(s); err != nil {
		c.t.Errorf("signal %s: %v", name, err)
	}
}

// terminate sends SIGTERM to a process and waits for its exit.
func (c *cluster) terminate(name string) {
	c.signal(name, syscall.SIGTERM)
	select {
	case <-c.processes[name].done:
	case <-time.After(stopTimeout):
		c.t.Errorf("%s has not exited in time", name)
	}
}

// stop kills the remaining processes and removes the directory of the cluster.
func (c *cluster) stop() {
	for _, p := range c.processes {
		if p.cmd != nil {
			_ = p.cmd.Process.Kill()
			<-p.done
		}
	}
	_ = os.RemoveAll(c.dir)
}

// runCommand runs the rattanway command as an operator does and returns its
// output.
func (c *cluster) runCommand(args ...string) string {
	c.t.Helper()
	cmd := exec.Command(c.bin, args...)
	cmd.Env = append(os.Environ(), "RATTANWAY_PLATFORM="+c.platformAddr, "RATTANWAY_OPERATOR_TOKEN="+operatorToken,
		"RATTANWAY_ENTRY="+c.processes["entry-1"].addr)
	out, err := cmd.CombinedOutput()
	if err != nil {
		c.t.Fatalf("%v: %v: %s", args, err, out)
	}
	return string(out)
}

// startAndDeclare starts all processes, publishes a model, applies the
// declarations and waits until the cluster serves.
func (c *cluster) startAndDeclare() {
	c.t.Helper()
	list, err := json.Marshal(c.instances)
	c.must(err)
	file := filepath.Join(c.dir, "instances.json")
	c.must(os.WriteFile(file, list, 0o644))
	c.addProcess("platform", c.platformAddr, "standin", "platform", "--listen", c.platformAddr, "--instances", file, "--lag", "200ms")
	c.start("platform")
	c.eventually("platform", func() bool { return isListening(c.platformAddr) })
	for _, name := range c.startOrder[:len(c.startOrder)-1] {
		c.start(name)
	}
	c.runCommand("wait", "--path", "/healthz", c.processes["entry-1"].addr)
	model := filepath.Join(c.dir, "model")
	c.must(os.Mkdir(model, 0o755))
	c.must(os.WriteFile(filepath.Join(model, "weights.bin"), bytes.Repeat([]byte("weights "), 8<<10), 0o644))
	digest := strings.TrimSpace(c.runCommand("publish", model))
	c.addDeclarations(fmt.Sprintf("kind: Model\nname: herbs\nversion: v1\nreplicas: %d", serversPerDataCentre*len(dataCentres)),
		"kind: Version\nname: v1\nmodel: herbs\nmanifest: "+digest)
	folder := filepath.Join(c.dir, "declarations")
	c.must(os.Mkdir(folder, 0o755))
	c.must(os.WriteFile(filepath.Join(folder, "all.yaml"), []byte(strings.TrimSuffix(c.declarations.String(), "---\n")), 0o644))
	c.runCommand("apply", "--reason", "test", folder)
	c.awaitServing()
}

// awaitServing waits until every engine has loaded the model and every entry
// instance gives whole responses to all calls of a short load.
func (c *cluster) awaitServing() {
	c.t.Helper()
	for name, p := range c.processes {
		if strings.HasPrefix(name, "engine:") {
			c.eventually(name+" has loaded the model", func() bool { return strings.Contains(getBody(p.addr, "/engine/status"), "herbs") })
		}
	}
	c.eventually("every entry instance serves", func() bool {
		for _, addr := range c.entryAddrs() {
			result, err := requests.Run(context.Background(), c.scenario("probe", 200*time.Millisecond, 20, 5, addr))
			if err != nil || result.All.Calls == 0 || result.All.Outcomes[requests.OutcomeWhole] < result.All.Calls {
				return false
			}
		}
		return true
	})
}

func (c *cluster) entryAddrs() []string {
	var addrs []string
	for i := range 4 {
		addrs = append(addrs, c.processes[fmt.Sprintf("entry-%d", i+1)].addr)
	}
	return addrs
}

// serviceAddrs returns the addresses of the stand-ins of the plain service.
func (c *cluster) serviceAddrs() []string {
	var addrs []string
	for _, dc := range dataCentres {
		addrs = append(addrs, c.processes["service:lots-"+dc.name].addr)
	}
	return addrs
}

// scenario returns a load of model calls of one client account, most of them
// streamed.
func (c *cluster) scenario(name string, d time.Duration, rate float64, tokens int, entries ...string) *requests.Scenario {
	return &requests.Scenario{
		Name: name, Seed: 5, Duration: d, EntryAddrs: entries,
		Accounts: []requests.Account{{
			Name: "erbe", Key: accountKey, CallsPerSecond: rate, Model: "herbs", StreamShare: 0.9,
			Tokens: requests.Range{Min: tokens, Max: tokens}, PromptWords: requests.Range{Min: 5, Max: 50},
		}},
	}
}

// engineCounters reads an engine's counters.
func (c *cluster) engineCounters(server string) engine.Counters {
	var n engine.Counters
	if err := json.Unmarshal([]byte(getBody(c.processes["engine:"+server].addr, "/engine/counters")), &n); err != nil {
		c.t.Errorf("counters of %s: %v", server, err)
	}
	return n
}

// metric reads the value of a gauge from an entry instance or agent.
func (c *cluster) metric(process, gauge string) float64 {
	req, err := http.NewRequest(http.MethodGet, "http://"+c.processes[process].addr+metrics.Path, nil)
	c.must(err)
	req.Header.Set(core.HeaderPeerToken, peerToken)
	resp, err := http.DefaultClient.Do(req)
	c.must(err)
	defer resp.Body.Close()
	var all map[string]struct {
		Value float64 `json:"value"`
	}
	c.must(json.NewDecoder(resp.Body).Decode(&all))
	return all[gauge].Value
}

// eventually polls a condition until it is true. A timeout fails the test.
func (c *cluster) eventually(description string, ok func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(readyTimeout)
	for !ok() {
		if time.Now().After(deadline) {
			c.t.Fatalf("%s: not within %s", description, readyTimeout)
		}
		<-time.After(50 * time.Millisecond)
	}
}

func (c *cluster) must(err error) {
	c.t.Helper()
	if err != nil {
		c.t.Fatal(err)
	}
}

func isListening(addr string) bool {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// getBody returns the body of the response to a GET request, or "" if there is
// none.
func getBody(addr, path string) string {
	client := http.Client{Timeout: 2 * time.Second}
	resp, err := client.Get("http://" + addr + path)
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	var b bytes.Buffer
	_, _ = b.ReadFrom(resp.Body)
	return b.String()
}
