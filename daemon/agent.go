package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/oklog/run"
	gometrics "github.com/rcrowley/go-metrics"

	"github.com/rattanway/rattanway/connection/confsync"
	"github.com/rattanway/rattanway/connection/engine"
	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/connection/homes"
	"github.com/rattanway/rattanway/connection/members"
	"github.com/rattanway/rattanway/connection/orders"
	"github.com/rattanway/rattanway/connection/work"
	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/process/eventlog"
	"github.com/rattanway/rattanway/process/httpserver"
	"github.com/rattanway/rattanway/process/instances"
	"github.com/rattanway/rattanway/process/metrics"
	"github.com/rattanway/rattanway/process/pause"
	"github.com/rattanway/rattanway/process/platform"
	"github.com/rattanway/rattanway/request/admission"
	"github.com/rattanway/rattanway/request/serve"
	"github.com/rattanway/rattanway/version/confstore"
	"github.com/rattanway/rattanway/version/freshness"
	"github.com/rattanway/rattanway/version/spread"
)

// AgentConfig holds the settings of an agent.
type AgentConfig struct {
	CommonConfig
	// EngineAddr is the "ip:port" of the engine or service beside the agent.
	EngineAddr string
	// Service names the plain service; empty for an engine.
	Service string
	// HealthPath is the URL path of the plain service's health check; empty means
	// engine.HealthPath.
	HealthPath string
	// LeaveNotice is the time between the announcement that this agent leaves and
	// the start of the drain. It must suffice for the entry instances to receive
	// the announcement.
	LeaveNotice time.Duration
	// MaxWeightBytes is the maximum size of the weights kept in memory, in bytes.
	MaxWeightBytes int64
	// Spread holds the settings of the distribution of weights among agents.
	// RunAgent sets Self, Token and Peers.
	Spread spread.Config
	// Homes holds the settings of the registration with entry instances.
	// RunAgent sets Self, Incarnation, Service, PeerToken and
	// BaseHeartbeatInterval.
	Homes homes.Config
}

// agent holds the components of an agent.
type agent struct {
	cfg AgentConfig
	log *eventlog.Logger
	// incarnation is an ID that is different each time the process starts.
	incarnation     string
	configHolder    *confstore.Holder
	instanceWatcher *instances.Watcher
	engineClient    *engine.HTTPClient
	engineMonitor   *engine.Monitor
	limiter         *admission.AdaptiveLimiter
	handler         *serve.Handler
	workServer      *work.Server
	homes           *homes.Homes
	pauseDetector   *pause.Detector
	freshnessGate   *freshness.Gate
	// swarm and orders are nil if the backend server is a plain service.
	swarm  *spread.Swarm
	orders *orders.Controller
}

// RunAgent runs an agent until SIGTERM or SIGINT.
func RunAgent(cfg AgentConfig, log *eventlog.Logger) error {
	a := newAgent(cfg, log)
	server, err := httpserver.Listen(cfg.Listen, a.routes())
	if err != nil {
		return err
	}
	var g run.Group
	g.Add(server.Run, func(error) { stopServer(server) })
	addRunner(&g, a.instanceWatcher.Run)
	addRunner(&g, a.engineMonitor.Run)
	addRunner(&g, a.homes.Run)
	addRunner(&g, a.pauseDetector.Run)
	addRunner(&g, a.followDeclaredLimits)
	addRunner(&g, a.watchEngineRestarts)
	if a.orders != nil {
		addRunner(&g, a.orders.Run)
		defer a.swarm.Close()
	}
	addSignals(&g, a.drain)
	log.Event(eventStarted, eventlog.Fields{
		"role": cfg.Self.Role, "addr": server.Addr(), "incarnation": a.incarnation,
	})
	return g.Run()
}

// newAgent creates the components of an agent and connects them.
func newAgent(cfg AgentConfig, log *eventlog.Logger) *agent {
	clock := clockwork.NewRealClock()
	platformClient := platform.NewHTTP(platform.Config{Addr: cfg.PlatformAddr, Token: cfg.PlatformToken})
	a := &agent{cfg: cfg, log: log, incarnation: uuid.NewString(), configHolder: confstore.NewHolder()}
	a.configHolder.SetLogger(log)
	a.pauseDetector = pause.New(log)
	a.instanceWatcher = a.newWatcher(platformClient)
	a.engineClient = newEngineClient(cfg)
	a.engineMonitor = engine.NewMonitor(a.engineClient, 0, log, clock)
	a.limiter = admission.New(admission.Config{Log: log}, clock)

	configHub := confsync.NewHub(confsync.HolderSource{Holder: a.configHolder}, log)
	a.freshnessGate = freshness.New(a.pauseDetector, a.configHolder.ConfirmationAge, configHub.PullFromPeers)
	configHub.ConfirmPeersWhen(a.freshnessGate.MayConfirmPeers)
	a.handler = serve.New(serve.Config{
		Self:           cfg.Self,
		Incarnation:    a.incarnation,
		Service:        cfg.Service,
		LastConfirmed:  a.lastConfirmed,
		OnWrongVersion: a.onWrongVersion,
	}, a.configHolder, a.limiter, a.engineClient, a.engineStatus, log, clock)
	a.workServer = work.NewServer(a.handler, log)
	a.homes = a.newHomes(configHub)
	if cfg.Service == "" {
		a.swarm = a.newSwarm(platformClient, clock)
		a.orders = a.newOrders(platformClient, clock)
	}
	return a
}

// newWatcher returns the watcher of the platform's list of instances.
func (a *agent) newWatcher(platformClient *platform.Platform) *instances.Watcher {
	entries := func() []core.Instance { return a.instanceWatcher.WithRole(core.RoleEntry) }
	return instances.NewWatcher(
		instances.Config{Interval: a.cfg.ListInterval, Seeds: a.cfg.Seeds},
		platformClient.Instances, members.NewPeerFallback(entries, a.cfg.Self, a.cfg.PeerToken), a.log)
}

// newEngineClient returns a client for the engine or the plain service that the
// backend server beside the agent runs.
func newEngineClient(cfg AgentConfig) *engine.HTTPClient {
	if cfg.Service == "" {
		return engine.NewHTTPClient(cfg.EngineAddr, cfg.PeerToken)
	}
	return engine.NewServiceHTTPClient(cfg.EngineAddr, cfg.HealthPath)
}

// newHomes returns the agent's Homes, which register the agent with entry
// instances.
func (a *agent) newHomes(configHub *confsync.Hub) *homes.Homes {
	cfg := a.cfg.Homes
	cfg.Self = a.cfg.Self
	cfg.Incarnation = a.incarnation
	cfg.Service = a.cfg.Service
	cfg.PeerToken = a.cfg.PeerToken
	cfg.BaseHeartbeatInterval = a.cfg.HeartbeatInterval
	return homes.New(cfg, a.instanceWatcher, configHub, a.report, a.log)
}

// newSwarm returns the agent's Swarm, which exchanges weights with other agents.
func (a *agent) newSwarm(platformClient *platform.Platform, clock clockwork.Clock) *spread.Swarm {
	cfg := a.cfg.Spread
	cfg.Self = a.cfg.Self
	cfg.Token = a.cfg.PeerToken
	cfg.Peers = func(d core.Digest) []spread.Peer { return a.orders.AssignedAgents(d) }
	return spread.NewSwarm(cfg, spread.NewMemStore(a.cfg.MaxWeightBytes), platformClient.WeightStore, a.log, clock)
}

// newOrders returns the controller that orders the engine to load and unload
// versions.
func (a *agent) newOrders(platformClient *platform.Platform, clock clockwork.Clock) *orders.Controller {
	return orders.New(orders.Config{
		Self:        a.cfg.Self,
		Incarnation: a.incarnation,
		Token:       a.cfg.PeerToken,
	}, orders.Deps{
		Holder:         a.configHolder,
		LiveInstances:  a.instanceWatcher.All,
		Fetcher:        a.swarm,
		Store:          a.swarm.Store(),
		Engine:         a.engineClient,
		StatusSource:   a.engineMonitor,
		Drainer:        versionDrainer{handler: a.handler},
		SetRegionShare: a.setRegionShare,
		Table:          platformClient.Table,
		Log:            a.log,
		Clock:          clock,
	})
}

// setRegionShare sets the bandwidth that this agent may use on the link between
// regions: the agent's share of the declared budget. If the settings contain a
// limit, setRegionShare does nothing.
func (a *agent) setRegionShare(bytesPerSecond int64) {
	if a.cfg.Spread.RegionBytesPerSecond == 0 {
		a.swarm.SetRegionShare(bytesPerSecond)
	}
}

// onWrongVersion handles a response that came from a version other than the
// requested one, although the engine reports the requested version as loaded.
// The controller then orders the engine to load the requested version again.
func (a *agent) onWrongVersion(version core.Digest) {
	if a.orders != nil {
		a.orders.RecordDigestMismatch(version)
	}
}

// versionDrainer implements orders.Drainer with the agent's handler.
type versionDrainer struct{ handler *serve.Handler }

// Drain refuses new calls of a version and waits until its running calls have
// ended.
func (d versionDrainer) Drain(ctx context.Context, digest core.Digest) error {
	return d.handler.DrainVersion(ctx, digest)
}

// Resume admits new calls of a version again.
func (d versionDrainer) Resume(digest core.Digest) { d.handler.ResumeVersion(digest) }

// routes returns the HTTP handler of all paths that the agent serves.
func (a *agent) routes() http.Handler {
	peers := http.NewServeMux()
	peers.Handle(work.Path, a.workServer)
	peers.Handle(metrics.ProfilePath, metrics.ProfileHandler())
	if a.orders != nil {
		weights := spread.Handler(a.swarm, a.cfg.PeerToken)
		peers.Handle(spread.ManifestPath, weights)
		peers.Handle(spread.ChunkPath, weights)
		peers.Handle(orders.VersionsPath, a.orders.Handler())
	}
	mux := http.NewServeMux()
	mux.Handle("/internal/", httpserver.RequirePeerToken(a.cfg.PeerToken, peers))
	mux.Handle(metrics.Path, httpserver.RequirePeerToken(a.cfg.PeerToken, metrics.Handler(gometrics.DefaultRegistry)))
	mux.HandleFunc(healthPath, serveHealth)
	mux.Handle(readyPath, newReadyHandler(a.notReadyReason))
	return mux
}

// notReadyReason returns why the agent accepts no calls, or an empty string if it
// accepts calls.
func (a *agent) notReadyReason() string {
	if a.handler.Leaving() {
		return "leaving"
	}
	if _, ok := a.engineStatus(); !ok {
		return "the engine does not answer"
	}
	if a.homes.RegisteredCount() == 0 {
		return "registered with no entry instance"
	}
	return ""
}

// engineStatus returns the last status of the engine, and false while the engine
// does not respond.
func (a *agent) engineStatus() (engine.Status, bool) {
	s, _, ok := a.engineMonitor.Status()
	return s, ok
}

// lastConfirmed returns the current time while the agent may act on its
// configuration. Otherwise it returns the zero time, so that the handler refuses
// new calls. It never returns the actual time of the last confirmation.
func (a *agent) lastConfirmed() time.Time {
	if a.freshnessGate.Fresh() {
		return time.Now()
	}
	return time.Time{}
}

// report returns the state of the backend server, for entry instances.
func (a *agent) report() frame.Report {
	load := a.limiter.Load()
	r := frame.Report{
		State:        a.limiter.State(),
		Limit:        load.Limit,
		InFlight:     load.InFlight,
		Queued:       load.Queued,
		ConfigNumber: a.configHolder.Current().Number,
	}
	status, ok := a.engineStatus()
	if ok {
		r.Loaded = status.Loaded
	}
	switch {
	case a.handler.Leaving():
		r.State = frame.StateLeaving
	case !ok:
		r.State = frame.StateDown
	}
	return r
}

// followDeclaredLimits passes the declared limits of the backend server to the
// limiter until ctx ends. When the server returns to service, the limiter is reset
// to the cold limit, because the server may have become cold in the meantime.
func (a *agent) followDeclaredLimits(ctx context.Context) error {
	for wasOutOfService := false; ; {
		changed := a.configHolder.Changed()
		set := a.configHolder.Current().Set
		server := set.BackendServers[a.cfg.Self.ID]
		if server != nil {
			a.limiter.Configure(server.Limit, server.ColdLimit)
		}
		dc := set.DataCentres[a.cfg.Self.DataCentre]
		outOfService := server != nil && server.Leaving || dc != nil && dc.Out
		if wasOutOfService && !outOfService {
			a.limiter.Reset()
		}
		wasOutOfService = outOfService
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// watchEngineRestarts passes each boot ID of the engine to the handler until ctx
// ends. When the boot ID has changed, the handler resets the limiter to the cold
// limit. A restart is thus detected even if no calls arrive.
func (a *agent) watchEngineRestarts(ctx context.Context) error {
	for {
		changed := a.engineMonitor.Changed()
		if status, ok := a.engineStatus(); ok {
			a.handler.SetBootID(status.Boot)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// drain announces that the agent leaves, waits for cfg.LeaveNotice, and then waits
// until the agent's calls in flight have ended, for at most cfg.DrainTimeout.
func (a *agent) drain() {
	a.handler.Leave()
	a.log.Event(eventDraining, nil)
	time.Sleep(a.cfg.LeaveNotice)
	ctx, cancel := context.WithTimeout(context.Background(), a.cfg.DrainTimeout)
	defer cancel()
	if err := a.handler.Drain(ctx); err != nil {
		a.log.EventWithError(eventDrainTimedOut, err, nil)
	}
	a.workServer.Close()
	a.log.Event(eventDrained, nil)
}
