package configuration

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/request/ops"
	standin "github.com/rattanway/rattanway/standin/platform"
	"github.com/rattanway/rattanway/standin/service"
	"github.com/rattanway/rattanway/version/declare"
)

const (
	peerToken     = "test-peer-token"
	operatorToken = "test-operator-token"
	accountKey    = "test-account-key"
	// unreachableAddr is an address on which nothing listens.
	unreachableAddr = "127.0.0.1:1"
	// startTimeout is how long processes may take to start.
	startTimeout = 30 * time.Second
	// pollInterval is the time between two checks of a condition.
	pollInterval = 10 * time.Millisecond
	// configurationInForceEvent is the number of the log event
	// configuration-in-force.
	configurationInForceEvent = 206
)

// buildBinary builds the rattanway command once for all tests of the package and
// returns its path.
var buildBinary = sync.OnceValues(func() (string, error) {
	path := filepath.Join(buildDir, "rattanway")
	out, err := exec.Command("go", "build", "-o", path, "../../cmd/rattanway").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build: %w: %s", err, out)
	}
	return path, nil
})

// buildDir holds the binary; TestMain removes it.
var buildDir string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "rattanway")
	if err != nil {
		panic(err)
	}
	buildDir = dir
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// activation records that a configuration version came into force in a process.
type activation struct {
	process string
	number  uint64
	// previousNumber is the number of the replaced version; 0 for none.
	previousNumber uint64
	at             time.Time
	// startCount is the number of starts of the process up to the activation.
	startCount int
}

// process is one process of a rig.
type process struct {
	id   string
	addr string
	args []string

	cmd *exec.Cmd
	// done is closed when the process has exited.
	done       chan struct{}
	startCount int
}

// rig runs a platform stand-in, entry instances, agents and plain services,
// each in a process of its own.
type rig struct {
	t            *testing.T
	bin          string
	platformAddr string
	config       rigConfig
	entries      []*process
	agents       []*process
	// daemons are the entry instances and agents.
	daemons []*process
	// serviceProcesses are the plain services.
	serviceProcesses []*process
	// platformProcesses holds the platform stand-in.
	platformProcesses []*process

	mu                  sync.Mutex
	recordedActivations []activation
	// logTails holds the last log lines of each process by process.id.
	logTails map[string][]string
}

// rigConfig configures a rig.
type rigConfig struct {
	// entryCount is the number of entry instances.
	entryCount int
	// agentCount is the number of agents without an engine.
	agentCount int
	// serviceCount is the number of plain services, each with an agent.
	serviceCount int
	// serviceDelay is the time that each call of a service takes; at least 20 ms.
	serviceDelay time.Duration
	// listInterval is the time between two reads of the instance list.
	// Default 500 ms, for a quick start.
	listInterval time.Duration
}

// newRig starts a platform stand-in and the processes of cfg.
func newRig(t *testing.T, cfg rigConfig) *rig {
	t.Helper()
	bin, err := buildBinary()
	if err != nil {
		t.Fatal(err)
	}
	if cfg.listInterval == 0 {
		cfg.listInterval = 500 * time.Millisecond
	}
	r := &rig{t: t, bin: bin, platformAddr: newAddr(), config: cfg, logTails: map[string][]string{}}
	for i := range cfg.entryCount {
		id := fmt.Sprintf("entry-%d", i+1)
		r.entries = append(r.entries, r.addProcess(id, "entry", i))
	}
	for i := range cfg.agentCount {
		id := fmt.Sprintf("gpu-%d", i+1)
		r.agents = append(r.agents, r.addProcess(id, "agent", i, "--engine", unreachableAddr))
	}
	for i := range cfg.serviceCount {
		r.addService(i, max(cfg.serviceDelay, 20*time.Millisecond))
	}
	t.Cleanup(r.stop)
	r.startPlatform()
	for _, p := range r.serviceProcesses {
		r.start(p)
	}
	for _, p := range r.daemons {
		r.start(p)
	}
	return r
}

// dataCentres are the data centres, each in a region of its own.
var dataCentres = []string{"palermo", "catania", "trapani"}

// addProcess prepares a process without starting it.
func (r *rig) addProcess(id, role string, i int, extra ...string) *process {
	addr := newAddr()
	dataCentre := dataCentres[i%len(dataCentres)]
	p := &process{id: id, addr: addr, args: append([]string{
		role, "--id", id, "--listen", addr, "--data-centre", dataCentre, "--region", dataCentre + "-region",
	}, extra...)}
	r.daemons = append(r.daemons, p)
	return p
}

// addService prepares a plain service and its agent. The service responds with
// the name of its backend server.
func (r *rig) addService(i int, delay time.Duration) {
	id, addr := fmt.Sprintf("lots-%d", i+1), newAddr()
	r.serviceProcesses = append(r.serviceProcesses, &process{id: "service-" + id, addr: addr, args: []string{
		"standin", "service", "--listen", addr, "--name", id, "--delay", delay.String(),
	}})
	r.agents = append(r.agents, r.addProcess(id, "agent", i, "--engine", addr, "--service", "lots"))
}

// instances returns the entry instances and agents as the platform lists them.
func (r *rig) instances() []core.Instance {
	var list []core.Instance
	for _, p := range r.daemons {
		list = append(list, core.Instance{
			ID: p.id, Role: core.Role(p.args[0]), Addr: p.addr, DataCentre: p.args[6], Region: p.args[8],
		})
	}
	return list
}

// register adds a process to the instance list of the running platform. The
// process must be the one that was added last.
func (r *rig) register(p *process) error {
	all := r.instances()
	body, err := json.Marshal(all[len(all)-1])
	if err != nil {
		return err
	}
	req, err := http.NewRequest(http.MethodPut, "http://"+r.platformAddr+"/instances/"+p.id, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// startPlatform starts the platform stand-in and waits until it responds.
func (r *rig) startPlatform() {
	r.t.Helper()
	list, err := json.Marshal(r.instances())
	r.must(err)
	file := filepath.Join(r.t.TempDir(), "instances.json")
	r.must(os.WriteFile(file, list, 0o600))
	p := &process{id: "platform", addr: r.platformAddr, args: []string{
		"standin", "platform", "--listen", r.platformAddr, "--lag", "500ms", "--instances", file,
	}}
	r.platformProcesses = append(r.platformProcesses, p)
	r.start(p)
	r.eventually("the platform responds", startTimeout, func() bool { return getStatus(r.platformAddr, "/healthz") == http.StatusOK })
}

// start starts a process, or starts it again.
func (r *rig) start(p *process) {
	r.t.Helper()
	p.cmd = exec.Command(r.bin, p.args...)
	p.cmd.Env = append(os.Environ(), "RATTANWAY_PEER_TOKEN="+peerToken, "RATTANWAY_PLATFORM="+r.platformAddr,
		"RATTANWAY_OPERATORS=ada="+operatorToken, "RATTANWAY_BALANCER_LAG=100ms", "RATTANWAY_LEAVE_NOTICE=100ms",
		"RATTANWAY_LIST_INTERVAL="+r.config.listInterval.String())
	log, err := p.cmd.StderrPipe()
	r.must(err)
	r.must(p.cmd.Start())
	p.startCount++
	p.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}, startCount int) {
		r.readLog(p.id, startCount, log)
		_ = cmd.Wait()
		close(done)
	}(p.cmd, p.done, p.startCount)
}

// maxLogTailLines is the number of last lines of each log that a failed test
// prints.
const maxLogTailLines = 400

// readLog reads the log of a process and records each version that comes into
// force.
func (r *rig) readLog(id string, startCount int, log io.Reader) {
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var line struct {
			Event  int       `json:"event"`
			Time   time.Time `json:"time"`
			Number uint64    `json:"number"`
			From   uint64    `json:"from"`
		}
		err := json.Unmarshal(lines.Bytes(), &line)
		r.mu.Lock()
		r.logTails[id] = append(r.logTails[id], lines.Text())
		if n := len(r.logTails[id]); n > maxLogTailLines {
			r.logTails[id] = r.logTails[id][n-maxLogTailLines:]
		}
		if err == nil && line.Event == configurationInForceEvent {
			r.recordedActivations = append(r.recordedActivations, activation{process: id, number: line.Number, previousNumber: line.From, at: line.Time, startCount: startCount})
		}
		r.mu.Unlock()
	}
}

// activations returns the activations recorded so far.
func (r *rig) activations() []activation {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]activation{}, r.recordedActivations...)
}

// countInForce returns in how many of procs the version with this number, or a
// newer one, has come into force since that process was last started.
func (r *rig) countInForce(number uint64, procs []*process) int {
	startCounts := map[string]int{}
	for _, p := range procs {
		startCounts[p.id] = p.startCount
	}
	found := map[string]bool{}
	for _, e := range r.activations() {
		if e.number >= number && startCounts[e.process] == e.startCount {
			found[e.process] = true
		}
	}
	return len(found)
}

// awaitInForce waits until the version with this number, or a newer one, is in
// force in all of procs. It fails the test if that takes longer than timeout.
func (r *rig) awaitInForce(number uint64, timeout time.Duration, procs ...*process) {
	r.t.Helper()
	r.eventually(fmt.Sprintf("version %d is in force in %d processes", number, len(procs)), timeout,
		func() bool { return r.countInForce(number, procs) == len(procs) })
}

// signal sends a signal to a process.
func (r *rig) signal(p *process, s syscall.Signal) {
	r.t.Helper()
	r.must(p.cmd.Process.Signal(s))
}

// kill kills a process and waits for its exit.
func (r *rig) kill(p *process) {
	r.t.Helper()
	r.signal(p, syscall.SIGKILL)
	<-p.done
}

// stop kills all processes of the rig. If the test has failed, it prints the
// last lines of their logs first.
func (r *rig) stop() {
	if r.t.Failed() {
		r.mu.Lock()
		for id, tail := range r.logTails {
			r.t.Logf("log of %s:\n%s", id, bytes.Join(toByteSlices(tail), []byte("\n")))
		}
		r.mu.Unlock()
	}
	for _, group := range [][]*process{r.daemons, r.serviceProcesses, r.platformProcesses} {
		for _, p := range group {
			p.end()
		}
	}
}

// end kills a process if it has been started, and waits for its exit.
func (p *process) end() {
	if p.cmd == nil || p.cmd.Process == nil {
		return
	}
	_ = p.cmd.Process.Kill()
	<-p.done
}

func toByteSlices(lines []string) [][]byte {
	out := make([][]byte, len(lines))
	for i, l := range lines {
		out[i] = []byte(l)
	}
	return out
}

// operatorClient returns an operator's client of an entry instance.
func (r *rig) operatorClient(p *process) *ops.Client { return ops.NewClient(p.addr, operatorToken) }

// apply applies the declarations of the rig and additional regions through an
// entry instance and returns the accepted version.
func (r *rig) apply(entry *process, base uint64, id string, regions ...string) (uint64, error) {
	accepted, err := r.operatorClient(entry).Apply(context.Background(), ops.ApplyRequest{
		ChangeMetadata: ops.ChangeMetadata{Author: "ada", Reason: "test", ChangeID: id},
		Base:           &base,
		Files:          r.declarations(regions...),
	})
	return accepted.Number, err
}

// declarations returns the declarations of the rig and of additional regions.
func (r *rig) declarations(regions ...string) []declare.File {
	var text bytes.Buffer
	for _, dataCentre := range dataCentres {
		fmt.Fprintf(&text, "---\n{kind: Region, name: %s-region}\n", dataCentre)
		fmt.Fprintf(&text, "---\n{kind: DataCentre, name: %s, region: %s-region}\n", dataCentre, dataCentre)
	}
	fmt.Fprintf(&text, "---\n{kind: ClientAccount, name: erbe, keyHash: \"%s\"}\n", core.DigestOf([]byte(accountKey)))
	text.WriteString("---\n{kind: Service, name: lots, routes: [{method: GET, path: /lots/, repeatable: true}]}\n")
	for _, p := range r.agents {
		fmt.Fprintf(&text, "---\n{kind: BackendServer, name: %s, dataCentre: %s, limit: 40, coldLimit: 40", p.id, p.args[6])
		if strings.HasPrefix(p.id, "lots") {
			text.WriteString(", service: lots")
		}
		text.WriteString("}\n")
	}
	for _, name := range regions {
		fmt.Fprintf(&text, "---\n{kind: Region, name: %s}\n", name)
	}
	return []declare.File{{Name: "all.yaml", Body: text.Bytes()}}
}

// call makes a repeatable call of the plain service through an entry instance
// and returns the name of the backend server that served it. It returns an
// error unless a whole response with status 200 arrives.
func (r *rig) call(entry *process) (string, error) {
	req, err := http.NewRequest(http.MethodGet, "http://"+entry.addr+"/services/lots/lots/7", nil)
	if err != nil {
		return "", err
	}
	req.Header.Set("Authorization", "Bearer "+accountKey)
	resp, err := httpClient.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return "", err
	}
	if resp.StatusCode != http.StatusOK {
		return "", fmt.Errorf("status %d: %s", resp.StatusCode, body)
	}
	var result service.Result
	err = json.Unmarshal(body, &result)
	return result.Service, err
}

// httpClient makes the calls of client accounts.
var httpClient = &http.Client{Timeout: 15 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

// setPlatformFaults sets the given faults at the platform stand-in and leaves the
// others unchanged. It fails the test if the stand-in refuses them.
func (r *rig) setPlatformFaults(f standin.FaultRequest) {
	r.t.Helper()
	body, err := json.Marshal(f)
	r.must(err)
	resp, err := http.Post("http://"+r.platformAddr+"/faults", "application/json", bytes.NewReader(body))
	r.must(err)
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		r.t.Fatalf("setting faults of the platform: status %d", resp.StatusCode)
	}
}

// setDown makes the platform unavailable or available again.
func (r *rig) setDown(down bool) {
	r.t.Helper()
	r.setPlatformFaults(standin.FaultRequest{Unavailable: &down})
}

// platformCounters reads the platform's counters, by store and name.
func (r *rig) platformCounters() map[string]map[string]int64 {
	r.t.Helper()
	resp, err := http.Get("http://" + r.platformAddr + "/counters")
	r.must(err)
	defer resp.Body.Close()
	var all map[string]map[string]int64
	r.must(json.NewDecoder(resp.Body).Decode(&all))
	return all
}

// eventually polls condition until it returns true. It fails the test if that takes
// longer than timeout.
func (r *rig) eventually(description string, timeout time.Duration, condition func() bool) {
	r.t.Helper()
	deadline := time.Now().Add(timeout)
	for !condition() {
		if time.Now().After(deadline) {
			r.t.Fatalf("%s: not within %s", description, timeout)
		}
		<-time.After(pollInterval)
	}
}

// must fails the test on an error.
func (r *rig) must(err error) {
	r.t.Helper()
	if err != nil {
		r.t.Fatal(err)
	}
}

// newAddr counts ports itself: the operating system could return a free port twice, or
// use it for an outgoing connection, after the test has released it.
var (
	// host is a random loopback address for this test run.
	host = fmt.Sprintf("127.%d.%d.%d", 64+rand.IntN(64), rand.IntN(256), 1+rand.IntN(254))
	// usedPortCount is the number of ports of host that are already used.
	usedPortCount atomic.Int32
)

// basePort is the port before the first port that newAddr returns. All ports that
// newAddr returns lie below the operating system's ephemeral ports.
const basePort = 20000

// newAddr returns an address that no other process of this test run uses.
func newAddr() string { return fmt.Sprintf("%s:%d", host, basePort+usedPortCount.Add(1)) }

// getStatus returns the status of the response to a GET request, or 0 if there
// is none.
func getStatus(addr, path string) int {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + addr + path)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}
