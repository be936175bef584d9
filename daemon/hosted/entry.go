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
	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/platform"
	"github.com/rattanway/rattanway/process/eventlog"
	"github.com/rattanway/rattanway/process/httpserver"
	"github.com/rattanway/rattanway/request/dispatch"
	"github.com/rattanway/rattanway/request/forward"
	"github.com/rattanway/rattanway/version/catalog"
)

const (
	// weightsMargin is the part of the time that declared weights have in
	// which older ones are no longer used: a request that is sent begins
	// within it.
	weightsMargin = 900 * time.Millisecond
	// patience is the share of a request's objective that it may wait for a
	// place: a refusal is free up to an eighth.
	patience = 0.11
	// listenFor is how long new connections are taken after SIGTERM: the
	// balancer asks once a second and stops after two answers.
	listenFor = 2500 * time.Millisecond
	// entryGarbagePercent keeps the heap small: at this growth an entry
	// instance takes 4.7 % of a core under load (4.3 % at 100 %).
	entryGarbagePercent = 30
	// entriesEvery is the pause between two tries to write the own address.
	entriesEvery = 500 * time.Millisecond
)

// entry is the assembled entry instance.
type entry struct {
	settings  platform.Settings
	options   Options
	log       *eventlog.Logger
	clock     clockwork.Clock
	store     *platform.Store
	holder    *catalog.Holder
	declared  *catalog.Follower
	servers   *catalog.Follower
	desk      *dispatch.Desk
	pool      *backend.Pool
	exchange  *exchange.Exchange
	hub       *fleet.Hub
	handler   *forward.Handler
	registry  gometrics.Registry
	stopping  atomic.Bool
	wasReady  atomic.Bool
	clientSrv *http.Server
}

// RunEntry runs an entry instance until a signal ends it.
func RunEntry(o Options) error {
	debug.SetGCPercent(entryGarbagePercent)
	settings, err := platform.ReadSettings(o.SettingsPath)
	if err == nil {
		err = settings.CheckEntry()
	}
	if err != nil {
		return err
	}
	log, closer := eventlog.NewBounded(o.Out, o.Level, settings.Name)
	defer func() { _ = closer.Close() }()
	e := newEntry(settings, o, log)
	return e.run()
}

// newEntry assembles the parts.
func newEntry(s platform.Settings, o Options, log *eventlog.Logger) *entry {
	clock := clockwork.NewRealClock()
	e := &entry{
		settings: s, options: o, log: log, clock: clock,
		store: platform.NewStore(s.Store.Addr), holder: catalog.NewHolder(log),
		pool: backend.NewPool(clock), registry: gometrics.NewRegistry(),
	}
	e.declared = catalog.NewFollower(catalog.TableDeclared, e.store, e.holder, log, clock)
	e.servers = catalog.NewFollower(catalog.TableServers, e.store, e.holder, log, clock)
	e.desk = dispatch.NewDesk(dispatch.Config{
		DataCentre: s.DataCentre, Regions: s.Regions,
		Repeats: dispatch.RepeatLimits{
			Ratio: s.Bounds.RepeatRatio, Slack: s.Bounds.RepeatSlack,
			Window: time.Duration(s.Bounds.RepeatWindowS * float64(time.Second)),
		},
		WeightsDue: weightsTime(&s) - weightsMargin,
		Patience:   patience,
	}, e.holder, clock)
	e.exchange = exchange.New(exchange.Config{
		Self: core.Instance{
			ID: s.Name, Role: core.RoleEntry, Addr: s.Listen.Peers, DataCentre: s.DataCentre, Region: s.Region,
		},
		Token: o.Token, Holder: e.holder, Declared: e.declared, Servers: e.servers, Loads: e.desk, Log: log, Clock: clock,
	})
	e.hub = fleet.NewHub(fleet.HubConfig{
		DataCentre: s.DataCentre, Holder: e.holder, Agent: e.desk.Agent, Entries: e.exchange.Known, Log: log, Clock: clock,
	})
	e.handler = forward.New(forward.Config{
		Headers: platform.Headers(), Holder: e.holder, Desk: e.desk, Pool: e.pool,
		Log: log, Clock: clock, Metrics: e.registry,
	})
	return e
}

// weightsTime is the time within which declared weights must be in force.
func weightsTime(s *platform.Settings) time.Duration {
	return time.Duration(s.Bounds.WeightsMs * float64(time.Millisecond))
}

// run serves until a signal ends it.
func (e *entry) run() error {
	var g run.Group
	clients, err := net.Listen("tcp", e.settings.Listen.Clients)
	if err != nil {
		return core.Step("listen for clients", e.settings.Listen.Clients, err)
	}
	e.clientSrv = e.newClientServer()
	ended := make(chan struct{})
	g.Add(func() error {
		err := served(e.clientSrv.Serve(clients))
		if err == nil {
			// The listener is closed; what runs is answered before the end.
			<-ended
		}
		return err
	}, func(error) {
		close(ended)
		_ = e.clientSrv.Close()
	})
	if err := e.addInternal(&g); err != nil {
		return err
	}
	files, err := followSettings(e.options.SettingsPath, e.log, e.reload)
	if err != nil {
		return err
	}
	addRunner(&g, files.Run)
	addRunner(&g, e.declared.Run)
	addRunner(&g, e.servers.Run)
	addRunner(&g, e.pool.Run)
	addRunner(&g, e.desk.Run)
	addRunner(&g, e.exchange.Run)
	addRunner(&g, e.announce)
	addRunner(&g, e.follow)
	addStop(&g, e.log, e.drain)
	e.log.Event(eventStarted, eventlog.Fields{
		"role": core.RoleEntry, "clients": e.settings.Listen.Clients, "peers": e.settings.Listen.Peers,
		"dataCentre": e.settings.DataCentre, "store": e.settings.Store.Addr,
	})
	for _, addr := range e.settings.Entries {
		e.exchange.Learn(addr)
	}
	err = g.Run()
	e.log.Event(eventStopped, eventlog.Fields{"running": e.handler.Active()})
	return err
}

// served turns the end of a server that was closed into success.
func served(err error) error {
	if err == http.ErrServerClosed {
		return nil
	}
	return core.Step("serve clients", "", err)
}

// Bounds of clients' connections. The operators' limits are smaller; what they
// do not name is bounded by these.
const (
	clientHeaderTimeout = 5 * time.Second
	clientIdleTimeout   = 30 * time.Second
	clientHeaderBytes   = 64 << 10
)

// newClientServer returns the server of clients' requests.
func (e *entry) newClientServer() *http.Server {
	return &http.Server{
		Handler:           e.handler,
		ReadHeaderTimeout: clientHeaderTimeout,
		IdleTimeout:       clientIdleTimeout,
		MaxHeaderBytes:    clientHeaderBytes,
		ErrorLog:          httpErrors(e.log),
	}
}

// addInternal adds the listeners for the balancer, for our own processes and
// for the metrics.
func (e *entry) addInternal(g *run.Group) error {
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+platform.ReadyPath, e.answerReady)
	peers := http.NewServeMux()
	peers.Handle(exchange.Path, httpserver.RequirePeer(e.options.Token, e.exchange))
	peers.Handle(fleet.Path, httpserver.RequirePeer(e.options.Token, e.hub))
	if err := addServer(g, e.settings.Listen.Ready, ready); err != nil {
		return err
	}
	if err := addServer(g, e.settings.Listen.Peers, peers); err != nil {
		return err
	}
	return addMetrics(g, e.settings.IP, e.options.MetricsPort, e.registry)
}

// answerReady tells the balancer whether new connections are taken.
func (e *entry) answerReady(w http.ResponseWriter, _ *http.Request) {
	ready := e.holder.Current().Complete() && !e.stopping.Load()
	if e.wasReady.Swap(ready) != ready {
		e.log.Event(eventReady, eventlog.Fields{"ready": ready, "stopping": e.stopping.Load()})
	}
	if !ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// announce writes the own address to the store and reads those of the others.
func (e *entry) announce(ctx context.Context) error {
	for ctx.Err() == nil {
		err := e.store.Put(ctx, catalog.TableEntries, e.settings.Name, []byte(e.settings.Listen.Peers))
		if err == nil {
			err = e.findEntries(ctx)
		}
		if err == nil {
			break
		}
		e.log.Fail(eventEntries, err, eventlog.Fields{})
		select {
		case <-ctx.Done():
		case <-e.clock.After(entriesEvery):
		}
	}
	<-ctx.Done()
	return nil
}

// findEntries reads the addresses of the other entry instances.
func (e *entry) findEntries(ctx context.Context) error {
	rows, _, err := e.store.List(ctx, catalog.TableEntries)
	if err != nil {
		return err
	}
	for _, r := range rows {
		e.exchange.Learn(string(r.Value))
	}
	e.log.Event(eventEntries, eventlog.Fields{"entries": len(rows)})
	return nil
}

// follow tells the desk of changes until ctx ends.
func (e *entry) follow(ctx context.Context) error {
	for {
		changed := e.holder.Changed()
		e.desk.Forget()
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// reload applies a changed settings file.
func (e *entry) reload(s platform.Settings) {
	e.store.SetAddr(s.Store.Addr)
	for _, addr := range s.Entries {
		e.exchange.Learn(addr)
	}
}

// drain ends the process without cutting a request.
func (e *entry) drain() {
	e.stopping.Store(true)
	err := stopClients(e.clock, e.handler, e.clientSrv, stopGrace(&e.settings))
	if err != nil {
		e.log.Fail(eventStopped, err, eventlog.Fields{"running": e.handler.Active()})
	}
}
