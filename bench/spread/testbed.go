package spread

import (
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"sync/atomic"
	"testing/fstest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"

	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/process/eventlog"
	"github.com/rattanway/rattanway/process/platform"
	"github.com/rattanway/rattanway/version/manifest"
	"github.com/rattanway/rattanway/version/spread"
)

const (
	// benchToken is the peer token of the agents.
	benchToken = "bench"
	// storeCopies is the size of an agent's chunk store, in copies of the
	// version.
	storeCopies = 2
	// originLinkFactor is the bandwidth of the origin's link, as a multiple of the
	// bandwidth of a machine's link.
	originLinkFactor = 2
	// regionLinkFactor is the bandwidth of the link between regions, as a multiple
	// of the bandwidth of a machine's link.
	regionLinkFactor = 1
	// maxIdleConnections is the largest number of idle connections of each agent.
	// With it, 128 agents in one process stay below the process's limit of open
	// files.
	maxIdleConnections = 24
)

// testbed holds the origin, the links and the agents of one run.
type testbed struct {
	opt              Options
	origin           *origin
	version          core.Digest
	manifest         *manifest.Manifest
	agents           []*agent
	crossRegionBytes atomic.Int64
	regionLink       *spread.BandwidthLimiter // the link between regions
	ctx              context.Context
	cancel           context.CancelFunc
}

// agent is one machine: a Swarm and its HTTP server.
type agent struct {
	self      core.Instance
	swarm     *spread.Swarm
	server    *http.Server
	sentBytes atomic.Int64
	// killed is closed when the agent is killed, to end the requests that are held
	// open.
	killed chan struct{}
	// unresponsive is true while the agent holds every request open without a
	// response.
	unresponsive atomic.Bool
	// failed is true once a fault has disabled the agent.
	failed bool
}

// newTestbed publishes a version and starts n agents, distributed over regionCount
// regions.
func newTestbed(opt Options, n, regionCount int) (*testbed, error) {
	ctx, cancel := context.WithCancel(context.Background())
	t := &testbed{opt: opt, ctx: ctx, cancel: cancel, regionLink: spread.NewBandwidthLimiter(regionLinkFactor * opt.machineRate())}
	t.origin = &origin{objects: map[string][]byte{}, link: spread.NewBandwidthLimiter(originLinkFactor * opt.machineRate())}
	if err := t.publish(); err != nil {
		return nil, err
	}
	for i := range n {
		if err := t.startAgent(i, regionCount); err != nil {
			t.close()
			return nil, err
		}
	}
	return t, nil
}

// publish stores a version of pseudo-random bytes at the origin.
func (t *testbed) publish() error {
	content := make([]byte, t.opt.CopyBytes)
	state := uint64(1)
	for i := range content {
		state = state*6364136223846793005 + 1442695040888963407
		content[i] = byte(state >> 56)
	}
	fsys := fstest.MapFS{"weights": {Data: content}}
	var err error
	t.manifest, t.version, err = manifest.Publish(t.ctx, t.origin, fsys, t.opt.CopyBytes/int64(t.opt.ChunkCount), "")
	return err
}

// startAgent creates agent i and starts its server.
func (t *testbed) startAgent(i, regionCount int) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	region := i % regionCount
	dataCentre := i / regionCount % t.opt.DataCentresPerRegion
	a := &agent{killed: make(chan struct{})}
	a.self = core.Instance{
		ID: fmt.Sprintf("agent%03d", i), Role: core.RoleAgent, Addr: listener.Addr().String(),
		Region: fmt.Sprintf("region%d", region), DataCentre: fmt.Sprintf("dc%d-%d", region, dataCentre),
	}
	var store platform.ObjectStore = t.origin
	if region != 0 {
		store = &remoteOrigin{origin: t.origin, regionLink: t.regionLink, crossRegionBytes: &t.crossRegionBytes}
	}
	a.swarm = spread.NewSwarm(spread.Config{
		Self:                   a.self,
		Token:                  benchToken,
		UploadBytesPerSecond:   t.opt.machineRate(),
		DownloadBytesPerSecond: t.opt.machineRate(),
		OriginRegion:           "region0",
		RegionBytesPerSecond:   regionLinkFactor * t.opt.machineRate(),
		OriginBytesPerSecond:   originLinkFactor * t.opt.machineRate(),
		MaxPeerFetches:         t.opt.MaxPeerFetches,
		UploadSlots:            t.opt.UploadSlots,
		Fanout:                 t.opt.Fanout,
		MaxIdleConnections:     maxIdleConnections,
		LongPollTimeout:        t.opt.LongPollTimeout,
		ResponseMargin:         t.opt.LongPollTimeout,
		StallTimeout:           t.opt.LongPollTimeout,
		Peers:                  func(core.Digest) []spread.Peer { return t.peers() },
		Metrics:                metrics.NewRegistry(),
	}, spread.NewMemStore(storeCopies*t.opt.CopyBytes), store, t.opt.Log.With(eventlog.Fields{"agent": a.self.ID}), clockwork.NewRealClock())
	a.server = &http.Server{Handler: t.instrument(a, spread.Handler(a.swarm, benchToken)), ReadHeaderTimeout: time.Minute, ErrorLog: log.New(io.Discard, "", 0)}
	t.agents = append(t.agents, a)
	go func() { _ = a.server.Serve(listener) }()
	return nil
}

// peers returns every agent, including those that were killed: the platform's list
// still contains them for a while.
func (t *testbed) peers() []core.Instance {
	var instances []core.Instance
	for _, a := range t.agents {
		instances = append(instances, a.self)
	}
	return instances
}

// instrument wraps the handler of an agent: it counts the bytes sent, corrupts some
// of these bytes, and holds requests open while the agent is unresponsive.
func (t *testbed) instrument(a *agent, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if a.unresponsive.Load() {
			select {
			case <-a.killed:
			case <-r.Context().Done():
			}
			return
		}
		out := &instrumentedWriter{ResponseWriter: w, testbed: t, agent: a}
		from := r.Header.Get("X-Peer-Region")
		out.crossesRegions = from != "" && from != a.self.Region
		next.ServeHTTP(out, r)
	})
}

// instrumentedWriter counts the bytes of a response and corrupts some of them.
type instrumentedWriter struct {
	http.ResponseWriter
	testbed        *testbed
	agent          *agent
	crossesRegions bool
}

// Unwrap returns the wrapped writer for http.ResponseController.
func (w *instrumentedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Write implements http.ResponseWriter. A chunk takes several writes, so the
// corruption probability of a chunk is divided among them.
func (w *instrumentedWriter) Write(p []byte) (int, error) {
	writesPerChunk := float64(w.testbed.opt.CopyBytes/int64(w.testbed.opt.ChunkCount)) / float64(len(p))
	n, err := w.ResponseWriter.Write(maybeCorrupt(p, w.testbed.origin.corruptProbability/max(1, writesPerChunk)))
	w.agent.sentBytes.Add(int64(n))
	if w.crossesRegions {
		w.testbed.crossRegionBytes.Add(int64(n))
	}
	return n, err
}

// injectFaults applies the faults that disable agents. Corrupted chunks are
// produced by origin and instrumentedWriter.
func (t *testbed) injectFaults(fault string) {
	if fault == faultKilled || fault == faultAll {
		t.disableAgent(t.agents[0], true)
	}
	if fault == faultStalled || fault == faultAll {
		t.disableAgent(t.agents[1], false)
	}
}

// disableAgent kills an agent or, if kill is false, makes it hold every request
// open without a response.
func (t *testbed) disableAgent(a *agent, kill bool) {
	a.failed = true
	a.unresponsive.Store(true)
	a.swarm.Close()
	if kill {
		close(a.killed)
		_ = a.server.Close()
	}
}

// close cancels the run and stops every agent.
func (t *testbed) close() {
	t.cancel()
	for _, a := range t.agents {
		a.swarm.Close()
		_ = a.server.Close()
	}
}
