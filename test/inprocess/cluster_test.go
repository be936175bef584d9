package inprocess

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/labstack/echo/v4"
	"github.com/rcrowley/go-metrics"

	"github.com/rattanway/rattanway/bench/requests"
	"github.com/rattanway/rattanway/connection/engine"
	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/connection/registry"
	"github.com/rattanway/rattanway/connection/work"
	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/process/eventlog"
	"github.com/rattanway/rattanway/request/admission"
	"github.com/rattanway/rattanway/request/relay"
	"github.com/rattanway/rattanway/request/routing"
	"github.com/rattanway/rattanway/request/serve"
	standin "github.com/rattanway/rattanway/standin/engine"
	"github.com/rattanway/rattanway/version/confstore"
	"github.com/rattanway/rattanway/version/declare"
)

const (
	entryCount           = 4
	serversPerDataCentre = 3
	engineLimit          = 48
	engineColdLimit      = 8
	testModel            = "herbs"
	testDigest           = core.Digest("sha256:aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa")
	// reportInterval is the time between two reports of an agent.
	reportInterval = time.Second
	// tokenTime is the time between two tokens of an engine.
	tokenTime = 50 * time.Millisecond
	// streamTokens is the mean number of tokens of a response.
	streamTokens = 60
	// streamTime is the time that a response of streamTokens tokens takes, 3 s.
	streamTime = streamTokens * tokenTime
)

// dataCentres are the data centres of a cluster with their regions.
var dataCentres = []struct{ name, region string }{
	{"palermo", "west"}, {"trapani", "west"}, {"catania", "east"},
}

// serverCount is the number of backend servers of a cluster.
var serverCount = serversPerDataCentre * len(dataCentres)

// server is a stand-in engine with the limiter and the handler of its agent.
type server struct {
	id, dataCentre, region string
	engine                 *standin.Engine
	limiter                *admission.AdaptiveLimiter
	handler                *serve.Handler

	mu     sync.Mutex
	loaded []frame.LoadedVersion
}

// setLoaded sets the versions that the agent reports as loaded.
func (s *server) setLoaded(loaded ...frame.LoadedVersion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loaded = loaded
}

// loadedVersions returns the versions that the agent reports as loaded.
func (s *server) loadedVersions() []frame.LoadedVersion {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loaded
}

// cluster consists of four entry instances and nine engines with their agents,
// all in one process.
type cluster struct {
	t            *testing.T
	configHolder *confstore.Holder
	servers      []*server
	// registries holds the server registry of each entry instance.
	registries []*registry.Registry
	transport  Transport
	// stop ends the delivery of reports.
	stop context.CancelFunc
}

// newCluster starts a cluster whose engines all have the configuration cfg.
// Every server is declared with coldLimit as its cold limit.
func newCluster(t *testing.T, cfg standin.Config, coldLimit int) *cluster {
	ctx, stop := context.WithCancel(context.Background())
	c := &cluster{t: t, configHolder: confstore.NewHolder(), transport: Transport{}, stop: stop}
	agents := map[string]work.Handler{}
	for _, dc := range dataCentres {
		for n := range serversPerDataCentre {
			s := &server{id: fmt.Sprintf("gpu-%s-%d", dc.name, n+1), dataCentre: dc.name, region: dc.region}
			s.setLoaded(frame.LoadedVersion{Model: testModel, Version: "v1", Digest: testDigest})
			c.startServer(s, cfg, coldLimit)
			agents[s.id] = s.handler
		}
	}
	c.configHolder.Offer(&declare.Snapshot{Number: 1, Set: c.declarations(coldLimit)})
	for n := range entryCount {
		c.startEntry(n, Opener{AgentHandlers: agents})
	}
	go c.sendReports(ctx)
	return c
}

// startServer starts the engine of s, and the limiter and the handler of its agent,
// and adds s to the servers of the cluster.
func (c *cluster) startServer(s *server, cfg standin.Config, coldLimit int) {
	clock := clockwork.NewRealClock()
	s.engine = standin.New(cfg, clock)
	s.engine.Preload(frame.LoadedVersion{Model: testModel, Version: "v1", Digest: testDigest})
	client := NewEngineClient(s.engine.Handler())
	s.limiter = admission.New(admission.Config{Limit: engineLimit, ColdLimit: coldLimit, Metrics: metrics.NewRegistry()}, clock)
	monitor := engine.NewMonitor(client, 0, eventlog.Discard(), clock)
	ctx, stop := context.WithCancel(context.Background())
	c.t.Cleanup(stop)
	go func() { _ = monitor.Run(ctx) }()
	status := func() (engine.Status, bool) {
		status, _, ok := monitor.Status()
		return status, ok
	}
	s.handler = serve.New(serve.Config{Self: core.Instance{ID: s.id, DataCentre: s.dataCentre}, Incarnation: "i1"},
		c.configHolder, s.limiter, client, status, eventlog.Discard(), clock)
	c.servers = append(c.servers, s)
}

// startEntry starts entry instance n+1. It opens exchanges with agents through
// opener, and receives no reports until sendReports runs.
func (c *cluster) startEntry(n int, opener work.Opener) {
	self := core.Instance{ID: fmt.Sprintf("entry-%d", n+1), DataCentre: dataCentres[n%3].name, Region: dataCentres[n%3].region}
	reg := registry.New()
	clock := clockwork.NewRealClock()
	router := routing.New(routing.Config{Self: self, Seed: uint64(n + 1)}, reg, c.configHolder, eventlog.Discard(), clock)
	r := relay.New(relay.Config{Self: self}, c.configHolder, router, opener, nil, eventlog.Discard(), clock)
	e := echo.New()
	r.Register(e)
	e.GET("/readyz", func(c echo.Context) error { return c.NoContent(http.StatusOK) })
	c.registries = append(c.registries, reg)
	c.transport[self.ID] = e
}

// declarations returns a configuration with the servers of the cluster, one model and
// four client accounts.
func (c *cluster) declarations(coldLimit int) *declare.Set {
	set := declare.NewSet()
	for _, dc := range dataCentres {
		set.DataCentres[dc.name] = &declare.DataCentre{Name: dc.name, Region: dc.region}
	}
	for _, s := range c.servers {
		set.BackendServers[s.id] = &declare.BackendServer{Name: s.id, DataCentre: s.dataCentre, Limit: engineLimit, ColdLimit: coldLimit}
	}
	set.Models[testModel] = &declare.Model{Name: testModel, Version: "v1", Replicas: serverCount}
	set.Versions["v1"] = &declare.Version{Name: "v1", Model: testModel, Manifest: testDigest}
	for _, account := range []string{"erbe", "small-1", "small-2", "small-3"} {
		set.ClientAccounts[account] = &declare.ClientAccount{Name: account, KeyHash: core.DigestOf([]byte(account + "-key"))}
	}
	return set
}

// sendReports delivers the report of every agent to every entry instance,
// agent by agent with equal pauses, until ctx is cancelled.
func (c *cluster) sendReports(ctx context.Context) {
	for {
		for _, s := range c.servers {
			for _, reg := range c.registries {
				reg.Put(s.registryServer())
			}
			select {
			case <-ctx.Done():
				return
			case <-time.After(reportInterval / time.Duration(len(c.servers))):
			}
		}
	}
}

// registryServer returns the record that an entry instance puts into its registry
// when it receives the agent's report.
func (s *server) registryServer() registry.Server {
	load := s.limiter.Load()
	return registry.Server{
		Instance:    core.Instance{ID: s.id, Role: core.RoleAgent, DataCentre: s.dataCentre, Region: s.region},
		Incarnation: "i1",
		Report: frame.Report{
			State: s.limiter.State(), Limit: load.Limit, InFlight: load.InFlight, Queued: load.Queued, ConfigNumber: 1,
			Loaded: s.loadedVersions(),
		},
		LastSeen: time.Now(),
	}
}

// scenario returns a load of streamed calls of one client account.
func (c *cluster) scenario(name string, d time.Duration, rate float64, tokens requests.Range) *requests.Scenario {
	s := &requests.Scenario{
		Name: name, Seed: 5, Duration: d, Transport: c.transport,
		Accounts: []requests.Account{{
			Name: "erbe", Key: "erbe-key", CallsPerSecond: rate, Model: testModel, StreamShare: 1,
			Tokens: tokens, PromptWords: requests.Range{Min: 5, Max: 50},
		}},
	}
	for n := range entryCount {
		s.EntryAddrs = append(s.EntryAddrs, fmt.Sprintf("entry-%d", n+1))
	}
	return s
}

// runScenario runs a scenario and returns its result and the goodput: the tokens
// that the engines send in countTime, as a share of the tokens that slotCount slots
// can send in that time. Counting starts countDelay after the start of the
// scenario; If beforeCount is not nil, it runs immediately before the counting
// starts.
func (c *cluster) runScenario(s *requests.Scenario, slotCount int, countDelay time.Duration, beforeCount func()) (*requests.Result, float64) {
	var sent int
	countDone := make(chan struct{})
	go func() {
		defer close(countDone)
		<-time.After(countDelay)
		if beforeCount != nil {
			beforeCount()
		}
		before := c.tokensSent()
		<-time.After(countTime)
		sent = c.tokensSent() - before
	}()
	result, err := requests.Run(context.Background(), s)
	<-countDone
	c.stop()
	if err != nil {
		c.t.Fatal(err)
	}
	capacity := float64(slotCount) * countTime.Seconds() / tokenTime.Seconds()
	return result, float64(sent) / capacity
}

// tokensSent returns the number of tokens that all engines have sent.
func (c *cluster) tokensSent() int {
	n := 0
	for _, s := range c.servers {
		n += s.engine.Counters().Tokens
	}
	return n
}
