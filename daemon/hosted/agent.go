package hosted

import (
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/oklog/run"
	gometrics "github.com/rcrowley/go-metrics"

	"github.com/rattanway/rattanway/connection/fleet"
	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/platform"
	"github.com/rattanway/rattanway/process/dial"
	"github.com/rattanway/rattanway/process/eventlog"
	"github.com/rattanway/rattanway/process/httpserver"
	"github.com/rattanway/rattanway/version/loading"
	"github.com/rattanway/rattanway/version/spread"
)

const (
	// maxWeightBytes is the maximum size of the model weights in memory. One
	// copy takes 2.4 MB, and two copies may be in memory at once.
	maxWeightBytes = 16 << 20
	// maxLinkShare is the share of the bandwidth of the machine's link that the
	// distribution of weights may use. Responses to requests use the same link.
	maxLinkShare = 0.95
	// firstLoadAge is the age of a version at which the first backend server loads
	// the version. By then the chunks of the version have usually arrived.
	firstLoadAge = 2200 * time.Millisecond
	// lastLoadMargin is the time between the start of the load on the last
	// backend server and the due time of the declared weights. From the due time
	// on, no request may start on older weights. The margin is a little longer
	// than weightsMargin, so that the load starts shortly before entry instances
	// stop using the older weights.
	lastLoadMargin = 1050 * time.Millisecond
	// agentGCPercent is the GOGC value of the agent. This low value keeps the
	// heap small. An agent allocates little: it uses 0.6 % of a core at this
	// value and 0.5 % at 40.
	agentGCPercent = 12
)

// Settings of the swarm, which distributes weights among agents. They suit links
// of a few megabits per second: a new version must arrive over such a link and
// be loaded within 8 s.
const (
	longPollTimeout   = 400 * time.Millisecond
	responseMargin    = 400 * time.Millisecond
	stallTimeout      = time.Second
	peerSuspectPeriod = 2 * time.Second
	chunkRetryPause   = 100 * time.Millisecond
	chunkFetchTimeout = 30 * time.Second
	maxPeerFetches    = 6
	maxOwnedFetches   = 6
	uploadSlotCount   = 3
)

// agent holds the components of an agent.
type agent struct {
	settings         platform.Settings
	log              *eventlog.Logger
	clock            clockwork.Clock
	loader           *loading.Loader
	swarm            *spread.Swarm
	entryConnections *fleet.EntryConnections
	metricsRegistry  gometrics.Registry

	mu sync.Mutex
	// lastFleets holds the last message of each connected entry instance, by the
	// address of the entry instance.
	lastFleets map[string]frame.Fleet
	// lastAgents is the last list of agents that was not empty.
	lastAgents []spread.Peer
}

// RunAgent runs an agent until SIGTERM or SIGINT.
func RunAgent(o Options) error {
	signals := receiveSignals()
	debug.SetGCPercent(agentGCPercent)
	settings, err := platform.ReadSettings(o.SettingsPath)
	if err == nil {
		err = settings.CheckAgent()
	}
	if err != nil {
		return err
	}
	log, closer := eventlog.NewBounded(o.Out, o.Level, settings.Name)
	defer func() { _ = closer.Close() }()
	a := newAgent(settings, o, log)
	defer a.swarm.Close()
	return a.run(o, signals)
}

// newAgent creates the components of an agent and connects them.
func newAgent(s platform.Settings, o Options, log *eventlog.Logger) *agent {
	clock := clockwork.NewRealClock()
	a := &agent{settings: s, log: log, clock: clock, metricsRegistry: gometrics.NewRegistry(), lastFleets: map[string]frame.Fleet{}}
	self := core.Instance{
		ID: s.Name, Role: core.RoleAgent, Addr: net.JoinHostPort(s.IP, strconv.Itoa(s.PortRange[0])),
		DataCentre: s.DataCentre, Region: s.Region,
	}
	origin := platform.NewOrigin()
	originChunks := loading.NewOriginChunks(origin)
	linkBytesPerSecond := int64(s.Limits.LinkMbps * 1e6 / 8 * maxLinkShare)
	a.swarm = spread.NewSwarm(spread.Config{
		Self: self, Token: o.Token, UploadBytesPerSecond: linkBytesPerSecond, ReadOriginOnce: true,
		MaxPeerFetches: maxPeerFetches, MaxOwnedFetches: maxOwnedFetches, UploadSlots: uploadSlotCount,
		LongPollTimeout: longPollTimeout, ResponseMargin: responseMargin, StallTimeout: stallTimeout, SuspectPeriod: peerSuspectPeriod,
		RetryPause: chunkRetryPause, FetchTimeout: chunkFetchTimeout, Metrics: a.metricsRegistry,
		Peers: func(core.Digest) []spread.Peer { return a.loader.ChunkSources() },
	}, spread.NewMemStore(maxWeightBytes), originChunks, log, clock)
	a.entryConnections = fleet.NewEntryConnections(fleet.EntryConnectionsConfig{
		Hello: frame.AgentHello{Instance: self, ServerAddr: s.ServerAddr}, Token: o.Token,
		DeclaredVersions: a.declaredVersions, EntryAddrs: s.EntryAddrs, OnFleet: a.onFleet, OnLoad: a.onLoad, Log: log, Clock: clock,
		Metrics: a.metricsRegistry,
	})
	a.loader = loading.New(loading.Config{
		Self: s.Name, Token: o.Token, Server: platform.NewModelServer(s.ServerAddr), Origin: origin, OriginChunks: originChunks,
		Swarm: a.swarm,
		RollingUpdate: loading.RollingUpdate{
			FirstAge: firstLoadAge, LastAge: weightsDueAfter(&s) - lastLoadMargin, UsableFor: weightsDueAfter(&s) - weightsMargin,
		},
		Publish: func(state loading.ServerState) {
			a.entryConnections.Publish(agentState(state))
		},
		Client: &http.Client{Transport: &http.Transport{DialContext: dial.DialContext, MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Second, MaxResponseHeaderBytes: core.MaxResponseHeadBytes}},
		Log:    log, Clock: clock, Metrics: a.metricsRegistry,
	})
	return a
}

// run serves weights to other agents and loads weights into the model server until
// SIGTERM or SIGINT.
func (a *agent) run(o Options, signals processSignals) error {
	var g run.Group
	mux := http.NewServeMux()
	weights := spread.Handler(a.swarm, o.Token)
	mux.Handle(spread.ChunkPath, weights)
	mux.Handle(spread.ManifestPath, weights)
	mux.Handle("GET "+loading.DigestsPath+"{model}/{version}", httpserver.RequirePeerToken(o.Token, a.loader.DigestsHandler()))
	if err := addServer(&g, a.entryConnections.Self().Addr, mux); err != nil {
		return err
	}
	if err := addMetrics(&g, a.settings.IP, o.MetricsPort, a.metricsRegistry); err != nil {
		return err
	}
	watcher := newSettingsWatcher(o.SettingsPath, a.settings, signals.reload, a.log, func(s platform.Settings) {
		a.entryConnections.AddEntries(s.EntryAddrs)
	})
	addRunner(&g, watcher.Run)
	addRunner(&g, a.entryConnections.Run)
	addRunner(&g, a.loader.Run)
	signals.addStop(&g, a.log, func() {})
	a.log.Event(eventStarted, eventlog.Fields{
		"role": core.RoleAgent, "addr": a.entryConnections.Self().Addr, "server": a.settings.ServerAddr,
		"dataCentre": a.settings.DataCentre,
	})
	err := g.Run()
	a.log.Event(eventStopped, eventlog.Fields{})
	return err
}

// declaredVersions returns the declared versions that the agent has received, with
// the time since the declaration of each version.
func (a *agent) declaredVersions() []frame.WantedVersion {
	now := a.clock.Now()
	var all []frame.WantedVersion
	for _, w := range a.loader.DeclaredVersions() {
		all = append(all, frame.WantedVersion{
			Model: w.Model, Version: w.Version, AgeMs: now.Sub(w.DeclaredAt).Milliseconds(),
			ChunkCount: w.ChunkCount, ChunkBytes: w.ChunkBytes, Service: a.settings.Service,
		})
	}
	return all
}

// onFleet handles a message with the wanted versions and the agents from the entry
// instance at entryAddr. A nil message means that the connection has ended.
func (a *agent) onFleet(entryAddr string, f *frame.Fleet) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if f == nil {
		delete(a.lastFleets, entryAddr)
		return
	}
	a.lastFleets[entryAddr] = *f
	if p := f.ProvenLoad; p != nil {
		a.loader.ConfirmLoad(loading.ProvenLoad{StartUnixMs: p.StartUnixMs, AcceptedOrders: p.AcceptedOrders, Weights: p.Versions})
	}
	a.loader.SetTarget(a.buildTarget())
}

// agentState returns the message with a state of the model server.
func agentState(state loading.ServerState) frame.AgentState {
	message := frame.AgentState{LoadedVersions: state.Weights, Loading: state.Loading, Pace: state.Pace}
	if p := state.Proven; p != nil {
		message.Proven = &frame.ProvenLoad{StartUnixMs: p.StartUnixMs, AcceptedOrders: p.AcceptedOrders, Versions: p.Weights}
	}
	return message
}

// onLoad passes on the load of this agent's service, which the entry instance at entryAddr
// reports.
func (a *agent) onLoad(entryAddr string, l frame.FleetLoad) {
	for _, s := range l.Services {
		if s.Service == a.settings.Service || a.settings.Service == "" && len(l.Services) == 1 {
			a.loader.SetFleetLoad(entryAddr, loading.FleetLoad{
				Slots: s.Slots, Running: s.Running, Servers: s.Servers, Loading: s.Loading,
				LoadDuration: time.Duration(s.LoadMs) * time.Millisecond,
			})
		}
	}
}

// buildTarget merges the last messages of all connected entry instances. The
// result has the newest version of each model and the list of all agents. The
// caller holds a.mu.
func (a *agent) buildTarget() loading.Target {
	t := loading.Target{Wanted: map[string]loading.WantedVersion{}, Holders: map[string]bool{}}
	now := a.clock.Now()
	seen := map[string]bool{}
	newestVersion := 0
	for _, f := range a.lastFleets {
		for _, w := range f.WantedVersions {
			newestVersion = max(newestVersion, w.Version)
			a.addWanted(&t, w, now)
		}
	}
	for _, f := range a.lastFleets {
		if f.OriginAddr != "" {
			t.OriginAddr, t.OriginBytesPerSecond = f.OriginAddr, f.OriginBytesPerSecond
		}
		hasNewestVersion := false
		for _, w := range f.WantedVersions {
			hasNewestVersion = hasNewestVersion || w.Version == newestVersion
		}
		for _, other := range f.Agents {
			if !seen[other.Instance.ID] {
				seen[other.Instance.ID] = true
				t.Agents = append(t.Agents, other.Instance)
			}
			if other.HasDeclaredVersion && hasNewestVersion {
				t.Holders[other.Instance.ID] = true
			}
		}
	}
	if len(t.Agents) == 0 {
		// No entry instance sends the list of agents at the moment. Keep the
		// last list: with an empty list the agent would treat itself as the
		// owner of every chunk.
		t.Agents = a.lastAgents
	}
	a.lastAgents = t.Agents
	return t
}

// addWanted adds w to the versions of t if it belongs to this agent's service and
// is newer than the version of the same model in t. For equal versions it keeps
// the earlier time of declaration.
func (a *agent) addWanted(t *loading.Target, w frame.WantedVersion, now time.Time) {
	if a.settings.Service != "" && w.Service != a.settings.Service {
		return
	}
	declaredAt := now.Add(-time.Duration(w.AgeMs) * time.Millisecond)
	old, ok := t.Wanted[w.Model]
	if ok && (old.Version > w.Version || old.Version == w.Version && old.DeclaredAt.Before(declaredAt)) {
		return
	}
	t.Wanted[w.Model] = loading.WantedVersion{
		Model: w.Model, Version: w.Version, DeclaredAt: declaredAt, ChunkCount: w.ChunkCount, ChunkBytes: w.ChunkBytes,
		LoadTime: time.Duration(w.LoadMs) * time.Millisecond,
	}
}
