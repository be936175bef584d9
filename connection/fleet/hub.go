package fleet

import (
	"context"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/process/eventlog"
	"github.com/rattanway/rattanway/version/catalog"
)

// Path is the HTTP path at which an entry instance accepts connections from
// agents.
const Path = "/internal/fleet"

const (
	// batchDelay is the wait between a change and the message about it, so that
	// further changes in that time go out in the same message.
	batchDelay = 50 * time.Millisecond
	// heartbeatInterval is the longest time between two messages, also while
	// nothing changes.
	heartbeatInterval = 500 * time.Millisecond
	// receiveTimeout is the time without a message, or without a further byte of one, after
	// which the receiver closes the connection.
	receiveTimeout = 2500 * time.Millisecond
)

// HubConfig holds the settings and dependencies of a Hub.
type HubConfig struct {
	// DataCentre is the data centre of the entry instance.
	DataCentre string
	// Holder holds the configuration and the declared versions of the weights.
	Holder *catalog.Holder
	// OnAgentState is called with the address of a backend server and each state
	// that its agent reports, and with a nil state when the agent has disconnected.
	OnAgentState func(server string, state *frame.AgentState)
	// ProvenLoad returns the last load of the backend server at an address that is known to
	// be proven, which its agent gets when it connects; nil if there is none. A nil function
	// knows none.
	ProvenLoad func(server string) *frame.ProvenLoad
	// KnownEntries returns the known entry instances, and a channel that is closed
	// when there are more.
	KnownEntries func() ([]frame.EntryAddr, <-chan struct{})
	// ServiceLoads returns the load of the services, which agents get with the heartbeats;
	// nil if they get none.
	ServiceLoads func() []frame.ServiceLoad
	// Log receives an event when an agent connects, disconnects or reports a change.
	Log *eventlog.Logger
	// Clock is the time source.
	Clock clockwork.Clock
}

// Hub is the entry instance's end of the connections with agents. It is safe
// for concurrent use.
type Hub struct {
	cfg HubConfig
	mu  sync.Mutex
	// agents holds the connected agents by the address of their backend server.
	agents map[string]*agentConn
	// relayed holds the agents of other data centres, by data centre and by the
	// address of their backend server. For an agent that is also in agents, the state
	// in agents counts.
	relayed map[string]map[string]frame.RelayedAgent
	// changed is closed and replaced when an agent connects or disconnects.
	changed chan struct{}
	// loadTimes measures the loads of the connected agents' servers.
	loadTimes loadTimes
	// lastLoad is the load of the fleet as it was at lastLoadAt.
	lastLoad   frame.FleetLoad
	lastLoadAt time.Time
}

// agentConn is the connection of one agent. Hub.mu guards state and reported.
type agentConn struct {
	hello frame.AgentHello
	state frame.AgentState
	// reported is true once the agent has sent a state.
	reported bool
	conn     *frame.Conn
	// listToggled receives a value when the agent starts or stops requesting
	// the list of agents.
	listToggled chan struct{}
}

// NewHub returns a Hub that has no connections yet.
func NewHub(cfg HubConfig) *Hub {
	return &Hub{
		cfg: cfg, agents: map[string]*agentConn{}, relayed: map[string]map[string]frame.RelayedAgent{}, changed: make(chan struct{}),
		loadTimes: loadTimes{since: map[string]time.Time{}},
	}
}

// ServeHTTP accepts the connection of an agent and returns when it has ended.
// The peer token must be checked before ServeHTTP is called.
func (h *Hub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, err := frame.Accept(w, r)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	a := &agentConn{conn: conn, listToggled: make(chan struct{}, 1)}
	if err := conn.Expect(frame.KindAgentHello, &a.hello, h.cfg.Clock.Now().Add(receiveTimeout)); err != nil {
		h.cfg.Log.EventWithError(eventAgentGone, err, eventlog.Fields{"peer": conn.Peer()})
		return
	}
	conn.SetPeer(a.hello.Instance.ID)
	now := h.cfg.Clock.Now()
	for _, w := range a.hello.DeclaredVersions {
		declaredAt := now.Add(-time.Duration(w.AgeMs) * time.Millisecond)
		h.cfg.Holder.MergeWeights(catalog.Weights{Model: w.Model, Version: w.Version, DeclaredAt: declaredAt}, now)
	}
	h.addAgent(a)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go h.sendUpdates(ctx, a)
	err = h.receiveStates(a)
	h.removeAgent(a, err)
}

// addAgent adds a connection. An older connection for the same backend server is
// closed and replaced.
func (h *Hub) addAgent(a *agentConn) {
	h.mu.Lock()
	if old := h.agents[a.hello.ServerAddr]; old != nil {
		_ = old.conn.Close()
	}
	h.agents[a.hello.ServerAddr] = a
	h.notifyChange()
	h.mu.Unlock()
	h.cfg.Log.Event(eventAgent, eventlog.Fields{
		"agent": a.hello.Instance.ID, "addr": a.hello.Instance.Addr, "server": a.hello.ServerAddr,
	})
}

// removeAgent removes a connection that ended with err. If a newer connection has
// replaced it, removeAgent does nothing.
func (h *Hub) removeAgent(a *agentConn, err error) {
	h.mu.Lock()
	current := h.agents[a.hello.ServerAddr] == a
	if current {
		delete(h.agents, a.hello.ServerAddr)
		delete(h.loadTimes.since, a.hello.ServerAddr)
		h.notifyChange()
	}
	h.mu.Unlock()
	if current {
		h.cfg.OnAgentState(a.hello.ServerAddr, h.relayedState(a.hello.ServerAddr))
		h.cfg.Log.EventWithError(eventAgentGone, err, eventlog.Fields{"agent": a.hello.Instance.ID, "server": a.hello.ServerAddr})
	}
}

// notifyChange wakes the goroutines that wait until an agent connects or
// disconnects. h.mu must be held.
func (h *Hub) notifyChange() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// receiveStates reads the states that an agent reports until the connection
// ends.
func (h *Hub) receiveStates(a *agentConn) error {
	for {
		f, err := a.conn.ReceiveWithin(receiveTimeout)
		if err != nil {
			return err
		}
		if f.Kind != frame.KindAgentState {
			continue
		}
		var s frame.AgentState
		if err := f.Decode(&s); err != nil {
			return err
		}
		h.applyState(a, s)
	}
}

// applyState stores a reported state. Unless a newer connection has replaced a,
// it also calls OnAgentState and logs a change.
func (h *Hub) applyState(a *agentConn, s frame.AgentState) {
	h.mu.Lock()
	same := a.state.Loading == s.Loading && maps.Equal(a.state.LoadedVersions, s.LoadedVersions)
	if a.state.RequestsAgentList != s.RequestsAgentList {
		select {
		case a.listToggled <- struct{}{}:
		default:
		}
	}
	a.state, a.reported = s, true
	current := h.agents[a.hello.ServerAddr] == a
	if current {
		h.loadTimes.record(a.hello.ServerAddr, s.Loading, h.cfg.Clock.Now())
	}
	h.mu.Unlock()
	if !current {
		return
	}
	h.cfg.OnAgentState(a.hello.ServerAddr, &s)
	if !same {
		h.cfg.Log.Event(eventAgentState, eventlog.Fields{
			"agent": a.hello.Instance.ID, "server": a.hello.ServerAddr, "weights": s.LoadedVersions, "loading": s.Loading,
		})
	}
}

// sendUpdates sends a fleet message at once and after each change, and heartbeats
// in between, until ctx ends or sending fails. A heartbeat is a KindNotice
// frame with the load of the fleet; it also keeps the agent from closing the connection.
func (h *Hub) sendUpdates(ctx context.Context, a *agentConn) {
	var lastSent *catalog.Snapshot
	for {
		agentsChanged := h.agentsChanged()
		entries, entriesChanged := h.cfg.KnownEntries()
		catalogChanged := h.cfg.Holder.Changed()
		snapshot := h.cfg.Holder.Current()
		var err error
		if lastSent == nil || !sameVersionsAndOrigin(lastSent, snapshot) {
			err = a.conn.Send(frame.KindFleet, h.fleetMessage(snapshot, entries, a))
			lastSent = snapshot
		} else {
			err = a.conn.Send(frame.KindNotice, h.fleetLoad())
		}
		if err != nil {
			_ = a.conn.Close()
			return
		}
		if !h.waitForUpdate(ctx, a, agentsChanged, entriesChanged, catalogChanged, &lastSent) {
			return
		}
	}
}

// waitForUpdate waits until a message is due, because of a change or for a
// heartbeat. After a change of the list of agents it also waits for batchDelay, and
// after a change of the known entry instances for the next heartbeat. It sets *lastSent to nil, so that the fleet message is sent again, in
// three cases: the agent starts or stops requesting the list of agents, the list
// changes while the agent requests it, or there are more entry instances. It returns
// false when ctx ends.
func (h *Hub) waitForUpdate(ctx context.Context, a *agentConn, agentsChanged, entriesChanged, catalogChanged <-chan struct{}, lastSent **catalog.Snapshot) bool {
	heartbeat := h.cfg.Clock.After(heartbeatInterval)
	sent := *lastSent
	for {
		select {
		case <-ctx.Done():
			return false
		case <-heartbeat:
			return true
		case <-a.listToggled:
			*lastSent = nil
			return true
		case <-agentsChanged:
			if !h.listRequested(a) {
				agentsChanged = h.agentsChanged()
				continue
			}
			*lastSent = nil
		case <-entriesChanged:
			*lastSent, entriesChanged = nil, nil
			continue
		case <-catalogChanged:
			if sameVersionsAndOrigin(sent, h.cfg.Holder.Current()) {
				// Fleet messages do not contain what has changed, which is
				// usually a backend server.
				catalogChanged = h.cfg.Holder.Changed()
				continue
			}
			// Versions and origins change one at a time, and every agent needs
			// the time to fetch a new version.
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-h.cfg.Clock.After(batchDelay):
			return true
		}
	}
}

// agentsChanged returns a channel that is closed when an agent connects or
// disconnects.
func (h *Hub) agentsChanged() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// listRequested reports whether an agent requests the list of agents.
func (h *Hub) listRequested(a *agentConn) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return a.state.RequestsAgentList
}

// sameVersionsAndOrigin reports whether two snapshots declare the same versions
// and origin. If only one of them has a configuration, it returns false. If
// neither of them has a configuration, it returns true.
func sameVersionsAndOrigin(a, b *catalog.Snapshot) bool {
	if a.Config == nil || b.Config == nil {
		return a.Config == b.Config
	}
	return sameVersions(a, b) && sameOrigin(a.Origin(), b.Origin())
}

// sameOrigin reports whether two origins, which may be nil, are equal.
func sameOrigin(a, b *catalog.Origin) bool {
	return a == b || a != nil && b != nil && *a == *b
}

// sameVersions reports whether two snapshots declare the same version of each model.
func sameVersions(a, b *catalog.Snapshot) bool {
	if len(a.Weights) != len(b.Weights) {
		return false
	}
	for model, w := range b.Weights {
		if a.Weights[model].Version != w.Version {
			return false
		}
	}
	return true
}

// fleetMessage builds the message for an agent: the wanted versions, their
// origin, the entry instances and, if the agent requests it, the list of agents.
func (h *Hub) fleetMessage(s *catalog.Snapshot, entries []frame.EntryAddr, recipient *agentConn) frame.Fleet {
	f := frame.Fleet{DataCentre: h.cfg.DataCentre}
	if h.cfg.ProvenLoad != nil {
		f.ProvenLoad = h.cfg.ProvenLoad(recipient.hello.ServerAddr)
	}
	for _, e := range entries {
		f.EntryAddrs, f.EntryDataCentres = append(f.EntryAddrs, e.Addr), append(f.EntryDataCentres, e.DataCentre)
	}
	now := h.cfg.Clock.Now()
	wantedVersions := map[string]int{}
	if s.Config != nil {
		for _, service := range s.Config.Services {
			if service.Engine == nil {
				continue
			}
			for _, model := range service.Engine.Models {
				w := wantedVersion(s, model, now)
				w.Service, w.ChunkCount, w.ChunkBytes = service.Name, service.Engine.ChunkCount, service.Engine.ChunkBytes
				w.LoadMs = service.Engine.LoadTimes[model].Milliseconds()
				wantedVersions[model] = w.Version
				f.WantedVersions = append(f.WantedVersions, w)
			}
		}
	}
	if o := s.Origin(); o != nil {
		f.OriginAddr, f.OriginBytesPerSecond = o.Addr, o.BytesPerSecond
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if !recipient.state.RequestsAgentList {
		return f
	}
	for _, a := range h.agents {
		f.Agents = append(f.Agents, frame.FleetAgent{
			Instance: a.hello.Instance, ServerAddr: a.hello.ServerAddr, HasDeclaredVersion: hasLoadedAnyWanted(a.state.LoadedVersions, wantedVersions),
		})
	}
	for _, agents := range h.relayed {
		for server, a := range agents {
			if h.agents[server] == nil {
				f.Agents = append(f.Agents, frame.FleetAgent{
					Instance: a.Instance, ServerAddr: server, HasDeclaredVersion: hasLoadedAnyWanted(a.LoadedVersions, wantedVersions),
				})
			}
		}
	}
	return f
}

// wantedVersion returns the declared version of a model, or version 1 when none
// is declared.
func wantedVersion(s *catalog.Snapshot, model string, now time.Time) frame.WantedVersion {
	w := frame.WantedVersion{Model: model, Version: 1}
	if declared, ok := s.Weights[model]; ok {
		w.Version = declared.Version
		w.AgeMs = now.Sub(declared.DeclaredAt).Milliseconds()
	}
	return w
}

// hasLoadedAnyWanted reports whether a backend server has loaded the wanted
// version of at least one model.
func hasLoadedAnyWanted(loadedVersions, wantedVersions map[string]int) bool {
	for model, version := range loadedVersions {
		if version == wantedVersions[model] {
			return true
		}
	}
	return false
}
