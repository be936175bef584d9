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
	// storeBytes bounds the weights in memory: a copy is 2.4 MB, and two may
	// be there at once.
	storeBytes = 16 << 20
	// linkShare is the part of the machine's link that weights may use; live
	// answers pass over the same link.
	linkShare = 0.95
	// firstChange and lastMargin place the servers' changes to new weights:
	// from the age at which pieces have usually arrived to shortly before
	// older weights are no longer used.
	firstChange = 2200 * time.Millisecond
	lastMargin  = 1050 * time.Millisecond
	// agentGarbagePercent keeps the heap small: an agent allocates little, and
	// at this growth it takes 0.6 % of a core (0.5 % at 40 %).
	agentGarbagePercent = 12
)

// Bounds of the swarm on links of a few megabits a second, within a version's
// time of 8 s.
const (
	pieceWait     = 400 * time.Millisecond
	pieceMargin   = 400 * time.Millisecond
	pieceStall    = time.Second
	peerSuspect   = 2 * time.Second
	pieceRetry    = 100 * time.Millisecond
	pieceFlight   = 30 * time.Second
	piecesAtOnce  = 6
	ownedAtOnce   = 6
	uploadsAtOnce = 3
)

// agent is the assembled agent.
type agent struct {
	settings platform.Settings
	log      *eventlog.Logger
	clock    clockwork.Clock
	loader   *loading.Loader
	swarm    *spread.Swarm
	links    *fleet.Links
	registry gometrics.Registry

	mu     sync.Mutex
	fleets map[string]frame.Fleet
	// agents is the newest list of agents.
	agents []spread.Peer
}

// RunAgent runs an agent until a signal ends it.
func RunAgent(o Options) error {
	debug.SetGCPercent(agentGarbagePercent)
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
	return a.run(o)
}

// newAgent assembles the parts.
func newAgent(s platform.Settings, o Options, log *eventlog.Logger) *agent {
	clock := clockwork.NewRealClock()
	a := &agent{settings: s, log: log, clock: clock, registry: gometrics.NewRegistry(), fleets: map[string]frame.Fleet{}}
	self := core.Instance{
		ID: s.Name, Role: core.RoleAgent, Addr: net.JoinHostPort(s.IP, strconv.Itoa(s.Ports[0])),
		DataCentre: s.DataCentre, Region: s.Region,
	}
	origin := platform.NewOrigin()
	pieces := loading.NewPieces(origin)
	link := int64(s.Limits.LinkMbps * 1e6 / 8 * linkShare)
	a.swarm = spread.NewFetcher(spread.Config{
		Self: self, Token: o.Token, UploadBytesPerSecond: link, OneOriginCopy: true,
		Parallel: piecesAtOnce, OriginParallel: ownedAtOnce, UploadSlots: uploadsAtOnce,
		Wait: pieceWait, AnswerMargin: pieceMargin, Stall: pieceStall, Suspect: peerSuspect,
		RetryPause: pieceRetry, FlightTimeout: pieceFlight, Metrics: a.registry,
		Peers: func(core.Digest) []spread.Peer { return a.loader.Sources() },
	}, spread.NewStore(storeBytes), pieces, log, clock)
	a.links = fleet.NewLinks(fleet.LinksConfig{
		Hello: frame.AgentHello{Self: self, Server: s.Server}, Token: o.Token,
		Declared: a.declared, Entries: s.Entries, Fleet: a.hear, Log: log, Clock: clock,
	})
	a.loader = loading.New(loading.Config{
		Self: s.Name, Token: o.Token, Server: platform.NewModelServer(s.Server), Origin: origin, Pieces: pieces,
		Swarm:   a.swarm,
		Turns:   loading.Turns{First: firstChange, Last: weightsTime(&s) - lastMargin},
		Publish: func(st loading.State) { a.links.Publish(frame.AgentState{Weights: st.Weights, Loading: st.Loading}) },
		Client:  &http.Client{Transport: &http.Transport{DialContext: dial.Context, MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Second}},
		Log:     log, Clock: clock,
	})
	return a
}

// run works until a signal ends it.
func (a *agent) run(o Options) error {
	var g run.Group
	mux := http.NewServeMux()
	weights := spread.Handler(a.swarm, o.Token)
	mux.Handle(spread.ChunkPath, weights)
	mux.Handle(spread.ManifestPath, weights)
	mux.Handle("GET "+loading.DigestsPath+"{model}/{version}", httpserver.RequirePeer(o.Token, a.loader.DigestsHandler()))
	if err := addServer(&g, a.links.Self().Addr, mux); err != nil {
		return err
	}
	if err := addMetrics(&g, a.settings.IP, o.MetricsPort, a.registry); err != nil {
		return err
	}
	files, err := followSettings(o.SettingsPath, a.log, func(platform.Settings) {})
	if err != nil {
		return err
	}
	addRunner(&g, files.Run)
	addRunner(&g, a.links.Run)
	addRunner(&g, a.loader.Run)
	addStop(&g, a.log, func() {})
	a.log.Event(eventStarted, eventlog.Fields{
		"role": core.RoleAgent, "addr": a.links.Self().Addr, "server": a.settings.Server,
		"dataCentre": a.settings.DataCentre,
	})
	err = g.Run()
	a.log.Event(eventStopped, eventlog.Fields{})
	return err
}

// declared returns the versions that the agent has heard of, with their ages.
func (a *agent) declared() []frame.WantedWeights {
	now := a.clock.Now()
	var all []frame.WantedWeights
	for _, w := range a.loader.Declared() {
		all = append(all, frame.WantedWeights{
			Model: w.Model, Version: w.Version, AgeMs: now.Sub(w.Known).Milliseconds(),
			Chunks: w.Chunks, ChunkBytes: w.ChunkBytes, Service: a.settings.Service,
		})
	}
	return all
}

// hear takes in what an entry instance says of the fleet; nil when it is gone.
func (a *agent) hear(entry string, f *frame.Fleet) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if f == nil {
		delete(a.fleets, entry)
		return
	}
	a.fleets[entry] = *f
	a.loader.SetTarget(a.target())
}

// target joins what all entry instances say: the newest versions and all
// agents; a.mu is held.
func (a *agent) target() loading.Target {
	t := loading.Target{Wanted: map[string]loading.Wanted{}, Holders: map[string]bool{}}
	now := a.clock.Now()
	seen := map[string]bool{}
	newest := 0
	for _, f := range a.fleets {
		for _, w := range f.Weights {
			newest = max(newest, w.Version)
			a.want(&t, w, now)
		}
	}
	for _, f := range a.fleets {
		if f.Origin != "" {
			t.Origin = f.Origin
		}
		current := false
		for _, w := range f.Weights {
			current = current || w.Version == newest
		}
		for _, other := range f.Agents {
			if !seen[other.Instance.ID] {
				seen[other.Instance.ID] = true
				t.Agents = append(t.Agents, other.Instance)
			}
			if other.Holds && current {
				t.Holders[other.Instance.ID] = true
			}
		}
	}
	if len(t.Agents) == 0 {
		// No entry instance sends the list just now; without one the agent
		// would take itself for the owner of every piece.
		t.Agents = a.agents
	}
	a.agents = t.Agents
	return t
}

// want adds a version of the own service.
func (a *agent) want(t *loading.Target, w frame.WantedWeights, now time.Time) {
	if a.settings.Service != "" && w.Service != a.settings.Service {
		return
	}
	known := now.Add(-time.Duration(w.AgeMs) * time.Millisecond)
	old, ok := t.Wanted[w.Model]
	if ok && (old.Version > w.Version || old.Version == w.Version && old.Known.Before(known)) {
		return
	}
	t.Wanted[w.Model] = loading.Wanted{
		Model: w.Model, Version: w.Version, Known: known, Chunks: w.Chunks, ChunkBytes: w.ChunkBytes,
	}
}
