package daemon

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/labstack/echo/v4"
	"github.com/oklog/run"
	gometrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/rattanway/rattanway/connection/confsync"
	"github.com/rattanway/rattanway/connection/members"
	"github.com/rattanway/rattanway/connection/registry"
	"github.com/rattanway/rattanway/connection/work"
	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/process/eventlog"
	"github.com/rattanway/rattanway/process/httpserver"
	"github.com/rattanway/rattanway/process/instances"
	"github.com/rattanway/rattanway/process/metrics"
	"github.com/rattanway/rattanway/process/pause"
	"github.com/rattanway/rattanway/process/platform"
	"github.com/rattanway/rattanway/request/intake"
	"github.com/rattanway/rattanway/request/once"
	"github.com/rattanway/rattanway/request/ops"
	"github.com/rattanway/rattanway/request/relay"
	"github.com/rattanway/rattanway/request/routing"
	"github.com/rattanway/rattanway/version/confstore"
	"github.com/rattanway/rattanway/version/freshness"
)

var (
	eventStarted = eventlog.Define(603, "process-started", logrus.InfoLevel,
		"The process has started and listens on its address.")
	eventDraining = eventlog.Define(604, "process-draining", logrus.InfoLevel,
		"The process received a signal to stop: it reports that it is not ready and waits for its work in flight.")
	eventDrained = eventlog.Define(605, "process-drained", logrus.InfoLevel,
		"The work in flight has ended; the process exits.")
	eventDrainTimedOut = eventlog.Define(606, "drain-timed-out", logrus.WarnLevel,
		"Work was still in flight at the drain timeout; it is aborted.")
)

// EntryConfig holds the settings of an entry instance.
type EntryConfig struct {
	CommonConfig
	// Operators are the operators who may use the operators' HTTP API.
	Operators []ops.Operator
	// BalancerLag is how long the platform's load balancer may continue to
	// send calls after this instance has reported that it is not ready.
	BalancerLag time.Duration
	// MemoryBytes is the memory of the machine, of which request bodies may take a share; 0 if
	// it is not known.
	MemoryBytes int64
	// Relay holds the settings of the relay. RunEntry sets its fields Self and Intake.
	Relay relay.Config
	// Routing holds the settings of routing. RunEntry sets its field Self.
	Routing routing.Config
}

// entry holds the components of an entry instance.
type entry struct {
	cfg             EntryConfig
	log             *eventlog.Logger
	configHolder    *confstore.Holder
	agentRegistry   *registry.Registry
	workPool        *work.Pool
	instanceWatcher *instances.Watcher
	configFollower  *confstore.Follower
	onceRecords     *once.RecordStore
	relay           *relay.Relay
	agentListener   *registry.Listener
	pauseDetector   *pause.Detector
	freshnessGate   *freshness.Gate
	opsServer       *ops.Server
	server          *httpserver.Server
	draining        atomic.Bool
}

// RunEntry runs an entry instance until SIGTERM or SIGINT.
func RunEntry(cfg EntryConfig, log *eventlog.Logger) error {
	e := newEntry(cfg, log)
	server, err := httpserver.Listen(cfg.Listen, e.routes())
	if err != nil {
		return err
	}
	e.server = server

	var g run.Group
	g.Add(server.Run, func(error) { stopServer(server) })
	addRunner(&g, e.instanceWatcher.Run)
	addRunner(&g, e.configFollower.Run)
	addRunner(&g, e.onceRecords.Run)
	addRunner(&g, e.pauseDetector.Run)
	addSignals(&g, e.drain)
	log.Event(eventStarted, eventlog.Fields{"role": cfg.Self.Role, "addr": server.Addr()})
	return g.Run()
}

// newEntry creates the components of an entry instance and connects them.
func newEntry(cfg EntryConfig, log *eventlog.Logger) *entry {
	clock := clockwork.NewRealClock()
	platformClient := platform.NewHTTP(platform.Config{Addr: cfg.PlatformAddr, Token: cfg.PlatformToken})
	cfg.Relay.Self = cfg.Self
	cfg.Relay.Intake = intake.NewBudget(cfg.MemoryBytes, log, clock, gometrics.DefaultRegistry)
	cfg.Routing.Self = cfg.Self

	e := &entry{cfg: cfg, log: log, configHolder: confstore.NewHolder(), agentRegistry: registry.New()}
	e.configHolder.SetLogger(log)
	e.workPool = work.NewPool(work.PoolConfig{PeerToken: cfg.PeerToken})
	e.pauseDetector = pause.New(log)
	entries := func() []core.Instance { return e.instanceWatcher.WithRole(core.RoleEntry) }
	e.instanceWatcher = instances.NewWatcher(
		instances.Config{Interval: cfg.ListInterval, Seeds: cfg.Seeds},
		platformClient.Instances, members.NewPeerFallback(entries, cfg.Self, cfg.PeerToken), log)
	e.configFollower = confstore.NewFollower(confstore.FollowerConfig{}, platformClient.Table, platformClient.ObjectStore, e.configHolder, log, clock)
	e.onceRecords = once.New(once.Config{EntryInstanceID: cfg.Self.ID}, platformClient.Table, platformClient.ObjectStore, log, clock)
	picker := routing.New(cfg.Routing, e.agentRegistry, e.configHolder, log, clock)
	e.relay = relay.New(cfg.Relay, e.configHolder, picker, e.workPool, e.onceRecords, log, clock)

	source := confsync.HolderSource{Holder: e.configHolder}
	configHub := confsync.NewHub(source, log)
	listenerConfig := registry.ListenerConfig{Self: cfg.Self, HeartbeatInterval: cfg.HeartbeatInterval}
	e.agentListener = registry.NewListener(listenerConfig, e.agentRegistry, configHub, source, e.workPool.CloseIdle, log)
	e.freshnessGate = freshness.New(e.pauseDetector, e.configHolder.ConfirmationAge, configHub.PullFromPeers)
	configHub.ConfirmPeersWhen(e.freshnessGate.MayConfirmPeers)
	e.opsServer = ops.New(
		ops.Config{Instance: cfg.Self, Operators: cfg.Operators, LiveInstances: e.instanceWatcher.All, WeightStore: platformClient.WeightStore},
		confstore.NewPublisher(platformClient.Table, platformClient.ObjectStore, clock), e.configHolder, e.agentRegistry.All, log)
	return e
}

// routes returns the HTTP handler of all paths that the entry instance serves.
func (e *entry) routes() http.Handler {
	callers := echo.New()
	callers.Use(e.requireFresh)
	e.relay.Register(callers)
	e.opsServer.Register(callers.Group(""))

	peers := http.NewServeMux()
	peers.Handle(registry.Path, e.agentListener)
	peers.Handle(metrics.ProfilePath, metrics.ProfileHandler())
	peers.Handle(members.Path, members.NewServer(e.instanceWatcher, e.agentRegistry))

	mux := http.NewServeMux()
	mux.Handle("/internal/", httpserver.RequirePeerToken(e.cfg.PeerToken, peers))
	mux.Handle(metrics.Path, httpserver.RequirePeerToken(e.cfg.PeerToken, metrics.Handler(gometrics.DefaultRegistry)))
	mux.HandleFunc(healthPath, serveHealth)
	mux.Handle(readyPath, newReadyHandler(e.notReadyReason))
	mux.Handle("/", callers)
	return mux
}

// requireFresh is middleware that delays each call until the entry instance may
// act on its configuration.
func (e *entry) requireFresh(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		e.freshnessGate.Wait(c.Request().Context().Done())
		return next(c)
	}
}

// notReadyReason returns why the entry instance must not receive calls, or an
// empty string if it may receive calls.
func (e *entry) notReadyReason() string {
	switch {
	case e.draining.Load():
		return "draining"
	case e.configHolder.Current().Number == 0:
		return "no configuration yet"
	default:
		return ""
	}
}

// drain makes the readiness check report that the instance is not ready and
// waits for cfg.BalancerLag, until the load balancer sends no more calls. It
// then waits until the calls in flight have ended, for at most cfg.DrainTimeout.
func (e *entry) drain() {
	e.draining.Store(true)
	e.log.Event(eventDraining, nil)
	time.Sleep(e.cfg.BalancerLag)
	ctx, cancel := context.WithTimeout(context.Background(), e.cfg.DrainTimeout)
	defer cancel()
	if err := e.relay.Drain(ctx); err != nil {
		e.log.EventWithError(eventDrainTimedOut, err, nil)
		return
	}
	// Responses of completed calls may still be on their way to callers.
	_ = e.server.Shutdown(ctx)
	e.agentListener.Close()
	e.workPool.Close()
	e.log.Event(eventDrained, nil)
}
