package spread

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/fstest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/process/eventlog"
	"github.com/rattanway/rattanway/process/platform"
	"github.com/rattanway/rattanway/version/manifest"
)

const (
	testToken      = "peer-token"
	testChunkBytes = 1 << 10
	testTimeout    = 20 * time.Second
)

// fakeOrigin is a weight store in memory that counts the reads and the bytes
// read.
type fakeOrigin struct {
	mu        sync.Mutex
	objects   map[string][]byte
	bytesRead int64
	// readCounts holds the number of successful reads of each object.
	readCounts map[string]int
	// fault, if set, may replace the result of a read.
	fault func(name string, body []byte) ([]byte, error)
}

func newFakeOrigin() *fakeOrigin {
	return &fakeOrigin{objects: map[string][]byte{}, readCounts: map[string]int{}}
}

func (o *fakeOrigin) Get(_ context.Context, name string, _, _ int64) ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	body, ok := o.objects[name]
	if !ok {
		return nil, platform.ErrNotFound
	}
	if o.fault != nil {
		var err error
		if body, err = o.fault(name, body); err != nil {
			return nil, err
		}
	}
	o.readCounts[name]++
	o.bytesRead += int64(len(body))
	return body, nil
}

func (o *fakeOrigin) Put(_ context.Context, name string, body []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.objects[name] = body
	return nil
}

// publish stores a version and returns the version's manifest digest and
// manifest. The version has chunkCount chunks, whose content depends on seed.
func (o *fakeOrigin) publish(t *testing.T, seed string, chunkCount int) (core.Digest, *manifest.Manifest) {
	t.Helper()
	var content strings.Builder
	for i := range chunkCount {
		content.WriteString(fmt.Sprintf("%-*s", testChunkBytes, fmt.Sprintf("%s %d", seed, i)))
	}
	fsys := fstest.MapFS{"weights": {Data: []byte(content.String())}}
	m, d, err := manifest.Publish(context.Background(), o, fsys, testChunkBytes, "")
	if err != nil {
		t.Fatal(err)
	}
	return d, m
}

// fakeAgent is a Swarm with an HTTP server on the loopback address.
type fakeAgent struct {
	*Swarm
	server *httptest.Server
	store  *MemStore
}

// startAgents starts agentCount agents and distributes them round-robin over the data
// centres, each given as "region/data centre". configure, if not nil, may change
// the settings of each agent.
func startAgents(t *testing.T, agentCount int, origin platform.ObjectStore, dataCentres []string, configure func(i int, c *Config)) []*fakeAgent {
	t.Helper()
	var all []*fakeAgent
	peers := func() []Peer {
		var list []Peer
		for _, a := range all {
			list = append(list, a.cfg.Self)
		}
		return list
	}
	for i := range agentCount {
		region, dc, _ := strings.Cut(dataCentres[i%len(dataCentres)], "/")
		a := &fakeAgent{store: NewMemStore(1 << 30), server: httptest.NewUnstartedServer(nil)}
		cfg := Config{
			Self: core.Instance{
				ID: fmt.Sprintf("agent%03d", i), Role: core.RoleAgent, Region: region, DataCentre: dc,
				Addr: a.server.Listener.Addr().String(),
			},
			Token:           testToken,
			LongPollTimeout: 300 * time.Millisecond,
			ResponseMargin:  5 * time.Second,
			StallTimeout:    5 * time.Second,
			RetryPause:      20 * time.Millisecond,
			Peers:           func(core.Digest) []Peer { return peers() },
			Metrics:         metrics.NewRegistry(),
		}
		if configure != nil {
			configure(i, &cfg)
		}
		a.Swarm = NewSwarm(cfg, a.store, origin, eventlog.Discard(), clockwork.NewRealClock())
		a.server.Config.Handler = Handler(a.Swarm, testToken)
		all = append(all, a)
	}
	for _, a := range all {
		a.server.Start()
		t.Cleanup(a.stop)
	}
	return all
}

// stop stops the agent and closes its connections.
func (a *fakeAgent) stop() {
	a.Close()
	a.server.CloseClientConnections()
	a.server.Close()
}

// fetchAll fetches a version on every agent and returns the first error.
func fetchAll(agents []*fakeAgent, d core.Digest) error { return fetchWithPeerList(agents, agents, d) }

// fetchWithPeerList fetches a version on every agent of agents, and returns the
// first error. listed is the list of peers that each fetch uses.
func fetchWithPeerList(agents, listed []*fakeAgent, d core.Digest) error {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	var peers []Peer
	for _, a := range listed {
		peers = append(peers, a.cfg.Self)
	}
	errs := make(chan error, len(agents))
	for _, a := range agents {
		go func() {
			_, err := a.Fetch(ctx, d, func() []Peer { return peers })
			errs <- err
		}()
	}
	var first error
	for range agents {
		if err := <-errs; err != nil && first == nil {
			first = err
		}
	}
	return first
}

// allHold reports whether every agent holds every chunk of m.
func allHold(agents []*fakeAgent, m *manifest.Manifest) bool {
	for _, a := range agents {
		for _, c := range m.Chunks() {
			if body, ok := a.store.Get(c.Digest); !ok || !c.Digest.Matches(body) {
				return false
			}
		}
	}
	return true
}

// copiesRead returns the bytes read from origin, divided by the total size of the
// version and its manifest.
func copiesRead(origin *fakeOrigin, m *manifest.Manifest) float64 {
	origin.mu.Lock()
	defer origin.mu.Unlock()
	body, _, _ := m.Encode()
	return float64(origin.bytesRead) / float64(m.Size()+int64(len(body)))
}

func TestFetchReadsTheOriginOncePerRegion(t *testing.T) {
	for _, dataCentres := range [][]string{{"r1/a"}, {"r1/a", "r1/b"}, {"r1/a", "r1/b", "r2/c"}} {
		Convey(fmt.Sprintf("Given twelve agents in the data centres %v", dataCentres), t, func() {
			origin := newFakeOrigin()
			d, m := origin.publish(t, "v1", 64)
			agents := startAgents(t, 12, origin, dataCentres, nil)
			So(fetchAll(agents, d), ShouldBeNil)
			So(allHold(agents, m), ShouldBeTrue)
			regions := map[string]bool{}
			for _, a := range agents {
				regions[a.cfg.Self.Region] = true
			}
			So(copiesRead(origin, m), ShouldBeLessThanOrEqualTo, 1.05*float64(len(regions)))
		})
	}
}
