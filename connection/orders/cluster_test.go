package orders

import (
	"context"
	"fmt"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"

	"github.com/rattanway/rattanway/connection/engine"
	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/process/eventlog"
	"github.com/rattanway/rattanway/process/platform"
	"github.com/rattanway/rattanway/version/confstore"
	"github.com/rattanway/rattanway/version/declare"
	"github.com/rattanway/rattanway/version/manifest"
	"github.com/rattanway/rattanway/version/spread"
)

const testToken = "peer-token"

// fakeEngine is an engine that executes each order immediately and reports the
// effect. If ignoreOrders is set, it accepts orders without any effect.
type fakeEngine struct {
	mu              sync.Mutex
	clock           clockwork.Clock
	enforcesFencing bool
	ignoreOrders    bool
	loaded          []frame.LoadedVersion
	orders          []engine.Order
	fence           uint64
}

// Order implements OrderSender. If enforcesFencing is set, it refuses a fencing
// number that is too low.
func (e *fakeEngine) Order(_ context.Context, o engine.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.enforcesFencing && o.Fence < e.fence {
		return errors.New("fencing number too old")
	}
	e.fence = max(e.fence, o.Fence)
	e.orders = append(e.orders, o)
	if e.ignoreOrders {
		return nil
	}
	l := frame.LoadedVersion{Model: o.Model, Version: o.Version, Digest: o.Digest}
	e.loaded = slices.DeleteFunc(e.loaded, func(other frame.LoadedVersion) bool { return other == l })
	if o.Action == actionLoad {
		e.loaded = append(e.loaded, l)
	}
	return nil
}

// Status implements StatusSource. The negative age marks the report as newer than
// any order.
func (e *fakeEngine) Status() (engine.Status, time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return engine.Status{Loaded: slices.Clone(e.loaded), Fence: e.fence, Boot: "boot"}, -1, true
}

// Changed implements StatusSource; its nil channel never signals a change.
func (e *fakeEngine) Changed() <-chan struct{} { return nil }

// digests returns the digests of the loaded versions, in the order of loading.
func (e *fakeEngine) digests() []core.Digest {
	e.mu.Lock()
	defer e.mu.Unlock()
	var all []core.Digest
	for _, l := range e.loaded {
		all = append(all, l.Digest)
	}
	return all
}

// fakeTable is an in-memory table. It is unavailable while down is set, and the
// next responsesToLose commits take effect but return ErrUnknownOutcome.
type fakeTable struct {
	mu              sync.Mutex
	rows            map[string]platform.Row
	down            bool
	responsesToLose int
	platform.Table
}

func (t *fakeTable) Get(_ context.Context, key string, _ uint64) (platform.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return platform.Row{}, platform.ErrUnavailable
	}
	row, ok := t.rows[key]
	if !ok {
		return row, platform.ErrNotFound
	}
	return row, nil
}

func (t *fakeTable) Commit(_ context.Context, writes []platform.Write) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := writes[0]
	row := t.rows[w.Key]
	switch {
	case t.down:
		return platform.ErrUnavailable
	case row.Revision != *w.If:
		return platform.ErrConflict
	}
	t.rows[w.Key] = platform.Row{Key: w.Key, Value: w.Value, Revision: row.Revision + 1}
	if t.responsesToLose > 0 {
		t.responsesToLose--
		return platform.ErrUnknownOutcome
	}
	return nil
}

// fakeFetcher completes every fetch immediately, except the fetches of blocked
// versions, which end only when their context is cancelled.
type fakeFetcher struct {
	mu               sync.Mutex
	blocked          map[core.Digest]bool
	fetchCounts      map[core.Digest]int
	cancelledFetches int
}

func (f *fakeFetcher) Fetch(ctx context.Context, d core.Digest, _ func() []spread.Peer) (*manifest.Manifest, error) {
	f.mu.Lock()
	f.fetchCounts[d]++
	blocked := f.blocked[d]
	f.mu.Unlock()
	if blocked {
		<-ctx.Done()
		f.mu.Lock()
		f.cancelledFetches++
		f.mu.Unlock()
		return nil, ctx.Err()
	}
	return &manifest.Manifest{}, nil
}

// testAgent is one agent of a cluster, with its engine and fetcher.
type testAgent struct {
	*Controller
	engine  *fakeEngine
	fetcher *fakeFetcher
	server  *httptest.Server
}

// cluster is a set of agents that share one configuration and one table.
type cluster struct {
	clock         *clockwork.FakeClock
	table         *fakeTable
	holder        *confstore.Holder
	set           *declare.Set
	configNumber  uint64
	liveInstances []core.Instance
	agents        []*testAgent
	// minServing is the smallest number of agents whose engine had a version
	// loaded at the end of any step since minServing was last set.
	minServing int
}

// newCluster declares backend servers with the given number of slots each and
// starts their agents.
func newCluster(t *testing.T, serverCount, slotsPerServer int) *cluster {
	t.Helper()
	c := &cluster{
		clock:      clockwork.NewFakeClock(),
		table:      &fakeTable{rows: map[string]platform.Row{}},
		holder:     confstore.NewHolder(),
		set:        declare.NewSet(),
		minServing: serverCount,
	}
	c.set.DataCentres["dc"] = &declare.DataCentre{Name: "dc", Region: "r"}
	for i := range serverCount {
		name := fmt.Sprintf("gpu-%d", i)
		c.set.BackendServers[name] = &declare.BackendServer{Name: name, DataCentre: "dc", Slots: slotsPerServer}
		server := httptest.NewUnstartedServer(nil)
		self := core.Instance{ID: name, Role: core.RoleAgent, Addr: server.Listener.Addr().String(), DataCentre: "dc", Region: "r"}
		c.liveInstances = append(c.liveInstances, self)
		a := c.newAgent(self)
		a.server = server
		server.Config.Handler = a.Handler()
		server.Start()
		t.Cleanup(server.Close)
		c.agents = append(c.agents, a)
	}
	return c
}

// newAgent returns an agent with a new engine and fetcher.
func (c *cluster) newAgent(self core.Instance) *testAgent {
	a := &testAgent{
		engine:  &fakeEngine{clock: c.clock, enforcesFencing: true},
		fetcher: &fakeFetcher{blocked: map[core.Digest]bool{}, fetchCounts: map[core.Digest]int{}},
	}
	a.Controller = c.newController(self, a)
	return a
}

// newController returns the Controller of the agent self. The Controller uses the
// fakes of a.
func (c *cluster) newController(self core.Instance, a *testAgent) *Controller {
	return New(Config{Self: self, Token: testToken, Metrics: metrics.NewRegistry()}, Deps{
		Holder: c.holder, LiveInstances: func() []core.Instance { return c.liveInstances },
		Fetcher: a.fetcher, Store: spread.NewMemStore(1 << 20), Engine: a.engine, StatusSource: a.engine,
		Table: c.table, Log: eventlog.Discard(), Clock: c.clock,
	})
}

// declareVersion declares a version of a model as the version to serve, and
// returns its digest. base is the name of the base version; empty for none.
func (c *cluster) declareVersion(model, version, base string, replicas int) core.Digest {
	d := core.DigestOf([]byte(version))
	set := *c.set
	set.Models = map[string]*declare.Model{model: {Name: model, Version: version, Replicas: replicas}}
	for name, m := range c.set.Models {
		if name != model {
			set.Models[name] = m
		}
	}
	set.Versions = map[string]*declare.Version{version: {Name: version, Model: model, Manifest: d, Base: base}}
	for name, v := range c.set.Versions {
		if name != version {
			set.Versions[name] = v
		}
	}
	c.apply(&set)
	return d
}

// apply makes a set of declarations the configuration in force.
func (c *cluster) apply(set *declare.Set) {
	c.set = set
	c.configNumber++
	c.holder.Offer(&declare.Snapshot{Number: c.configNumber, Set: set})
}

// step advances the clock by one second and then runs one pass of every agent.
func (c *cluster) step() {
	c.clock.Advance(time.Second)
	serving := 0
	for _, a := range c.agents {
		a.reconcileOnce(context.Background())
		if len(a.engine.digests()) > 0 {
			serving++
		}
	}
	c.minServing = min(c.minServing, serving)
}

// stepUntil steps until cond returns true. It returns false if cond still returns
// false after 300 steps.
func (c *cluster) stepUntil(cond func() bool) bool {
	const steps, pause = 300, 2 * time.Millisecond
	for range steps {
		if cond() {
			return true
		}
		c.step()
		select {
		case <-c.agents[0].wake:
		case <-time.After(pause):
		}
	}
	return cond()
}

// allLoaded returns a condition that is true when every engine has loaded exactly
// the versions ds, in this order.
func (c *cluster) allLoaded(ds ...core.Digest) func() bool {
	return func() bool {
		for _, a := range c.agents {
			if !slices.Equal(a.engine.digests(), ds) {
				return false
			}
		}
		return true
	}
}
