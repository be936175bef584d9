package hosted

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/oklog/run"
	gometrics "github.com/rcrowley/go-metrics"

	"github.com/rattanway/rattanway/connection/backend"
	"github.com/rattanway/rattanway/connection/exchange"
	"github.com/rattanway/rattanway/connection/fleet"
	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/platform"
	"github.com/rattanway/rattanway/process/eventlog"
	"github.com/rattanway/rattanway/process/httpserver"
	"github.com/rattanway/rattanway/request/dispatch"
	"github.com/rattanway/rattanway/request/forward"
	"github.com/rattanway/rattanway/request/intake"
	"github.com/rattanway/rattanway/request/partarchive"
	"github.com/rattanway/rattanway/version/catalog"
)

const (
	// weightsMargin is how long before the due time of newly declared weights
	// the entry instance stops using older weights. A request that was sent just
	// before still starts at the server before the due time.
	weightsMargin = 900 * time.Millisecond
	// maxWaitShare is the maximum time that a request waits for a free slot, as a
	// share of the request's first-byte objective. It is a little less than an
	// eighth, because a refusal within an eighth of the objective has no cost.
	maxWaitShare = 0.11
	// acceptPeriodAfterSignal is how long new connections are accepted after
	// SIGTERM. The load balancer checks readiness once a second and sends no more
	// connections after two failed checks.
	acceptPeriodAfterSignal = 2500 * time.Millisecond
	// defaultConfigDueAfter is the time within which a configuration is in force everywhere
	// if the settings contain none. Clients may go by an older one for configSettleMargin
	// longer.
	defaultConfigDueAfter = 2 * time.Second
	configSettleMargin    = time.Second
	// entryGCPercent is the GOGC value of the entry instance. This low value
	// keeps the heap small. Under load, an entry instance uses 4.7 % of a core
	// at this value and 4.3 % at 100.
	entryGCPercent = 30
	// maxHeapPercent is the percentage of the machine's memory above which garbage is collected
	// without regard to entryGCPercent.
	maxHeapPercent = 80
)

// entry holds the components of an entry instance.
type entry struct {
	settings         platform.Settings
	options          Options
	log              *eventlog.Logger
	clock            clockwork.Clock
	store            *platform.Store
	catalogHolder    *catalog.Holder
	declaredFollower *catalog.Follower
	serversFollower  *catalog.Follower
	scheduler        *dispatch.Scheduler
	partArchive      *partarchive.Archive
	connPool         *backend.Pool
	exchange         *exchange.Exchange
	fleetHub         *fleet.Hub
	handler          *forward.Handler
	metricsRegistry  gometrics.Registry
	stopping         atomic.Bool
	// lastReady is true if the last response to the readiness check was that the
	// instance is ready.
	lastReady      atomic.Bool
	clientListener net.Listener
	clientServer   *http.Server
	clientConns    *clientConns
}

// RunEntry runs an entry instance until SIGTERM or SIGINT.
func RunEntry(o Options) error {
	signals := receiveSignals()
	debug.SetGCPercent(entryGCPercent)
	settings, err := platform.ReadSettings(o.SettingsPath)
	if err == nil {
		err = settings.CheckEntry()
	}
	if err != nil {
		return err
	}
	if memory := memoryBytes(&settings); memory > 0 {
		// The limits of what clients make the process hold keep it far below this. It bounds
		// the garbage that a burst leaves until the next collection.
		debug.SetMemoryLimit(memory / 100 * maxHeapPercent)
	}
	log, closer := eventlog.NewBounded(o.Out, o.Level, settings.Name)
	defer func() { _ = closer.Close() }()
	e := newEntry(settings, o, log)
	return e.run(signals)
}

// newEntry creates the components of an entry instance and connects them.
func newEntry(s platform.Settings, o Options, log *eventlog.Logger) *entry {
	clock := clockwork.NewRealClock()
	e := &entry{
		settings: s, options: o, log: log, clock: clock,
		store: platform.NewStore(s.Store.Addr), catalogHolder: catalog.NewHolder(log),
		connPool: backend.NewPool(clock), metricsRegistry: gometrics.NewRegistry(),
	}
	budget := intake.NewBudget(memoryBytes(&s), log, clock, e.metricsRegistry)
	e.clientConns = newClientConns(configDueAfter(&s)+configSettleMargin, e.metricsRegistry)
	e.clientConns.crowd.budget, e.clientConns.crowd.log = budget, log
	e.clientConns.crowd.maxConns = connLimit(memoryBytes(&s), int(s.Limits.MaxFDs))
	e.declaredFollower = catalog.NewFollower(catalog.TableDeclared, e.store, e.catalogHolder, log, clock)
	e.serversFollower = catalog.NewFollower(catalog.TableServers, e.store, e.catalogHolder, log, clock)
	e.serversFollower.SetServerHeartbeat(time.Duration(s.ServerHeartbeatMs * float64(time.Millisecond)))
	e.scheduler = dispatch.NewScheduler(dispatch.Config{
		DataCentre: s.DataCentre, Regions: s.Regions,
		RetryLimits: dispatch.RetryLimits{
			Ratio: s.Bounds.RetryBudgetRatio, Slack: s.Bounds.RetryBudgetSlack,
			Window: time.Duration(s.Bounds.RetryBudgetWindowS * float64(time.Second)),
		},
		WeightsDueAfter: weightsDueAfter(&s) - weightsMargin,
		MaxWaitShare:    maxWaitShare,
		Log:             log, Metrics: e.metricsRegistry,
		OnPartChange: func(part frame.SuspectPart) { e.partArchive.Save(part) },
	}, e.catalogHolder, clock)
	e.partArchive = partarchive.New(partarchive.Config{
		Store: e.store, Restore: e.scheduler.RestoreParts, MaxEndAge: dispatch.MaxEndAge, Log: log, Clock: clock,
	})
	e.fleetHub = fleet.NewHub(fleet.HubConfig{
		DataCentre: s.DataCentre, Holder: e.catalogHolder, OnAgentState: e.scheduler.SetAgentState, ProvenLoad: e.scheduler.ProvenLoad,
		ServiceLoads: e.scheduler.ServiceLoads,
		KnownEntries: func() ([]frame.EntryAddr, <-chan struct{}) { return e.exchange.KnownEntries() }, Log: log, Clock: clock,
	})
	e.exchange = exchange.New(exchange.Config{
		Self: core.Instance{
			ID: s.Name, Role: core.RoleEntry, Addr: s.Listen.Peers, DataCentre: s.DataCentre, Region: s.Region,
		},
		Token: o.Token, Holder: e.catalogHolder, DeclaredFollower: e.declaredFollower, ServersFollower: e.serversFollower,
		LoadTracker: e.scheduler, Agents: e.fleetHub, Evidence: e.scheduler, Log: log, Clock: clock,
		Metrics: e.metricsRegistry,
	})
	e.shareReads(catalog.TableDeclared, e.declaredFollower)
	e.shareReads(catalog.TableServers, e.serversFollower)
	e.declaredFollower.RegisterMetrics(e.metricsRegistry)
	e.serversFollower.RegisterMetrics(e.metricsRegistry)
	e.handler = forward.New(forward.Config{
		Headers: platform.HeaderNames(), Holder: e.catalogHolder, Scheduler: e.scheduler, Pool: e.connPool,
		Log: log, Clock: clock, Metrics: e.metricsRegistry, FingerprintKey: []byte(o.Token), Intake: budget,
	})
	return e
}

// shareReads makes the entry instances of a data centre share their reads of a table.
func (e *entry) shareReads(t catalog.Table, f *catalog.Follower) {
	f.Share(func() bool { return e.exchange.ReadByPeer(t) }, func(c catalog.RowChanges) { e.exchange.SendChanges(t, c) })
}

// weightsDueAfter returns the time after the declaration of new weights from which
// no request may start on older ones.
func weightsDueAfter(s *platform.Settings) time.Duration {
	return time.Duration(s.Bounds.WeightsDueAfterMs * float64(time.Millisecond))
}

// configDueAfter returns the time after the declaration of a configuration within which it
// is in force everywhere.
func configDueAfter(s *platform.Settings) time.Duration {
	if s.Bounds.ConfigDueAfterMs <= 0 {
		return defaultConfigDueAfter
	}
	return time.Duration(s.Bounds.ConfigDueAfterMs * float64(time.Millisecond))
}

// run serves requests until SIGTERM or SIGINT.
func (e *entry) run(signals processSignals) error {
	var g run.Group
	clientListener, err := net.Listen("tcp", e.settings.Listen.Clients)
	if err != nil {
		return core.WrapStep("listen for clients", e.settings.Listen.Clients, err)
	}
	e.setClientListener(clientListener)
	stopped := make(chan struct{})
	g.Add(func() error {
		err := ignoreServerClosed(e.clientServer.Serve(e.clientListener))
		if e.stopping.Load() {
			// The stop has closed the listener. The actor must not return while requests
			// still run, because the group stops as soon as one actor returns.
			<-stopped
			return nil
		}
		return err
	}, func(error) {
		close(stopped)
		_ = e.clientServer.Close()
	})
	if err := e.addInternalServers(&g); err != nil {
		return err
	}
	watcher := newSettingsWatcher(e.options.SettingsPath, e.settings, signals.reload, e.log, e.applySettings)
	addRunner(&g, watcher.Run)
	addRunner(&g, e.declaredFollower.Run)
	addRunner(&g, e.serversFollower.Run)
	addRunner(&g, e.connPool.Run)
	addRunner(&g, e.scheduler.Run)
	addRunner(&g, e.partArchive.Run)
	addRunner(&g, e.exchange.Run)
	addRunner(&g, e.announceAddress)
	addRunner(&g, e.followCatalog)
	signals.addStop(&g, e.log, e.drain)
	e.log.Event(eventStarted, eventlog.Fields{
		"role": core.RoleEntry, "clients": e.settings.Listen.Clients, "peers": e.settings.Listen.Peers,
		"dataCentre": e.settings.DataCentre, "store": e.settings.Store.Addr,
	})
	for _, addr := range e.settings.EntryAddrs {
		e.exchange.AddPeer(addr, "")
	}
	err = g.Run()
	e.log.Event(eventStopped, eventlog.Fields{"running": e.handler.ActiveCount()})
	return err
}

// ignoreServerClosed returns nil for http.ErrServerClosed. It wraps any other
// error of http.Server.Serve with the step "serve clients".
func ignoreServerClosed(err error) error {
	if err == http.ErrServerClosed {
		return nil
	}
	return core.WrapStep("serve clients", "", err)
}

// setClientListener makes listener the one on which e accepts connections of clients.
func (e *entry) setClientListener(listener net.Listener) {
	e.clientListener, e.clientServer = &clientListener{Listener: listener, conns: e.clientConns}, e.newClientServer()
}

// newClientServer returns the HTTP server for requests of clients. Its limits are the
// largest that the operators may declare; clientConns applies those in force.
func (e *entry) newClientServer() *http.Server {
	return &http.Server{
		Handler:           e.clientConns.closeIfFull(e.handler),
		ReadHeaderTimeout: maxHeaderTimeout + limitMargin,
		IdleTimeout:       maxIdleTimeout + limitMargin,
		MaxHeaderBytes:    mostMaxHeaderBytes,
		ErrorLog:          newErrorLog(e.log),
		ConnState:         e.clientConns.record,
	}
}

// addInternalServers adds the HTTP servers for the load balancer, for the other
// processes of this system and for the metrics.
func (e *entry) addInternalServers(g *run.Group) error {
	readiness := http.NewServeMux()
	readiness.HandleFunc("GET "+platform.ReadyPath, e.serveReady)
	peers := http.NewServeMux()
	peers.Handle(exchange.Path, httpserver.RequirePeerToken(e.options.Token, e.exchange))
	peers.Handle(fleet.Path, httpserver.RequirePeerToken(e.options.Token, e.fleetHub))
	peers.Handle("POST "+forward.ExplainPath, httpserver.RequirePeerToken(e.options.Token, forward.NewExplainer(e.handler, e.settings.DataCentre)))
	if err := addServer(g, e.settings.Listen.Ready, readiness); err != nil {
		return err
	}
	if err := addServer(g, e.settings.Listen.Peers, peers); err != nil {
		return err
	}
	return addMetrics(g, e.settings.IP, e.options.MetricsPort, e.metricsRegistry)
}

// serveReady responds to the readiness check of the load balancer.
func (e *entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	ready := e.catalogHolder.Current().Complete() && !e.stopping.Load()
	if e.lastReady.Swap(ready) != ready {
		e.log.Event(eventReady, eventlog.Fields{"ready": ready, "stopping": e.stopping.Load()})
	}
	if !ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// followCatalog applies, after each change of the catalogue, the declared limits of client
// connections, removes from the scheduler the servers that are no longer listed, and tells
// the archive of prompt parts the era of the store. It returns when ctx ends.
func (e *entry) followCatalog(ctx context.Context) error {
	for {
		changed := e.catalogHolder.Changed()
		e.applyClientLimits()
		e.scheduler.RemoveUnlistedServers()
		e.partArchive.SetStoreEra(e.storeEra())
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// applyClientLimits applies the limits of the newest configuration to client connections.
func (e *entry) applyClientLimits() {
	config := e.catalogHolder.Current().Config
	if config == nil || !e.clientConns.limits.set(config.Limits, e.clock.Now()) {
		return
	}
	e.log.Event(eventClientLimits, eventlog.Fields{
		"config": config.Version, "idleMs": config.Limits.IdleTimeout.Milliseconds(),
		"headerMs": config.Limits.HeaderTimeout.Milliseconds(), "headerBytes": config.Limits.MaxHeaderBytes, "conns": e.clientConns.total(),
	})
}

// applySettings applies the addresses of the store and of other entry instances
// from a changed settings file. Other changed settings take effect at the next
// start.
func (e *entry) applySettings(s platform.Settings) {
	e.store.SetAddr(s.Store.Addr)
	for _, addr := range s.EntryAddrs {
		e.exchange.AddPeer(addr, "")
	}
}

// drain makes the readiness check report that the instance is not ready, and
// then waits until the running requests have ended. Both together take at most
// the time that stopGrace returns.
func (e *entry) drain() {
	e.stopping.Store(true)
	stop := clientStop{
		clock: e.clock, handler: e.handler, listener: e.clientListener, server: e.clientServer,
		countConns: e.clientConns.countForStop,
	}
	if err := stop.run(stopGrace(&e.settings)); err != nil {
		f := eventlog.Fields{"running": e.handler.ActiveCount()}
		f["connsNew"], f["connsActive"], f["connsIdle"] = e.clientConns.counts()
		e.log.EventWithError(eventStopped, err, f)
	}
}
