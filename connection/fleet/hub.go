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

// Path is where an entry instance takes the connections of agents.
const Path = "/internal/fleet"

const (
	// gatherFor lets changes that come together be sent in one message.
	gatherFor = 50 * time.Millisecond
	// heartbeat is the time between two messages on a quiet connection, and
	// silentAfter how long the other side waits for one.
	heartbeat   = 500 * time.Millisecond
	silentAfter = 2500 * time.Millisecond
)

// HubConfig holds what a Hub needs.
type HubConfig struct {
	// DataCentre is the entry instance's.
	DataCentre string
	// Holder gives the declared weights.
	Holder *catalog.Holder
	// Agent is told what an agent says of the server at an address; nil when
	// the agent is gone.
	Agent func(server string, state *frame.AgentState)
	// Entries returns the addresses of the known entry instances.
	Entries func() []string
	// Log takes a line for each change.
	Log *eventlog.Logger
	// Clock gives the time.
	Clock clockwork.Clock
}

// Hub is the entry instance's side. It is safe for concurrent use.
type Hub struct {
	cfg     HubConfig
	mu      sync.Mutex
	agents  map[string]*agent
	changed chan struct{}
}

// agent is a connected agent.
type agent struct {
	hello frame.AgentHello
	state frame.AgentState
	conn  *frame.Conn
	// asked receives when the agent begins or ceases to want the list.
	asked chan struct{}
}

// NewHub returns a Hub.
func NewHub(cfg HubConfig) *Hub {
	return &Hub{cfg: cfg, agents: map[string]*agent{}, changed: make(chan struct{})}
}

// ServeHTTP takes the connection of an agent; the caller has checked its token.
func (h *Hub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, err := frame.Accept(w, r)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	a := &agent{conn: conn, asked: make(chan struct{}, 1)}
	if err := conn.Expect(frame.KindAgentHello, &a.hello, h.due()); err != nil {
		h.cfg.Log.Fail(eventAgentGone, err, eventlog.Fields{"peer": conn.Peer()})
		return
	}
	conn.SetPeer(a.hello.Self.ID)
	now := h.cfg.Clock.Now()
	for _, w := range a.hello.Declared {
		known := now.Add(-time.Duration(w.AgeMs) * time.Millisecond)
		h.cfg.Holder.Learn(catalog.Weights{Model: w.Model, Version: w.Version, Known: known}, now)
	}
	h.join(a)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go h.tell(ctx, a)
	err = h.listen(a)
	h.leave(a, err)
}

func (h *Hub) due() time.Time { return h.cfg.Clock.Now().Add(silentAfter) }

// join adds an agent; one that was connected before is replaced.
func (h *Hub) join(a *agent) {
	h.mu.Lock()
	if old := h.agents[a.hello.Server]; old != nil {
		_ = old.conn.Close()
	}
	h.agents[a.hello.Server] = a
	h.signal()
	h.mu.Unlock()
	h.cfg.Log.Event(eventAgent, eventlog.Fields{
		"agent": a.hello.Self.ID, "addr": a.hello.Self.Addr, "server": a.hello.Server,
	})
}

// leave forgets an agent unless it connected anew.
func (h *Hub) leave(a *agent, err error) {
	h.mu.Lock()
	current := h.agents[a.hello.Server] == a
	if current {
		delete(h.agents, a.hello.Server)
		h.signal()
	}
	h.mu.Unlock()
	if current {
		h.cfg.Agent(a.hello.Server, nil)
		h.cfg.Log.Fail(eventAgentGone, err, eventlog.Fields{"agent": a.hello.Self.ID, "server": a.hello.Server})
	}
}

// signal wakes the senders; h.mu is held.
func (h *Hub) signal() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// listen reads an agent's reports until the connection ends.
func (h *Hub) listen(a *agent) error {
	for {
		f, err := a.conn.Receive(h.due())
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
		h.report(a, s)
	}
}

// report takes in what an agent says.
func (h *Hub) report(a *agent, s frame.AgentState) {
	h.mu.Lock()
	same := a.state.Loading == s.Loading && maps.Equal(a.state.Weights, s.Weights)
	if a.state.List != s.List {
		select {
		case a.asked <- struct{}{}:
		default:
		}
	}
	a.state = s
	current := h.agents[a.hello.Server] == a
	h.mu.Unlock()
	if !current {
		return
	}
	h.cfg.Agent(a.hello.Server, &s)
	if !same {
		h.cfg.Log.Event(eventAgentState, eventlog.Fields{
			"agent": a.hello.Self.ID, "server": a.hello.Server, "weights": s.Weights, "loading": s.Loading,
		})
	}
}

// tell sends the fleet whenever it changes, and a heartbeat otherwise.
func (h *Hub) tell(ctx context.Context, a *agent) {
	var sent *catalog.Snapshot
	for {
		joined := h.joined()
		declared := h.cfg.Holder.Changed()
		snapshot := h.cfg.Holder.Current()
		var err error
		if sent == nil || !sameWants(sent, snapshot) {
			err = a.conn.Send(frame.KindFleet, h.fleet(snapshot, a))
			sent = snapshot
		} else {
			err = a.conn.Send(frame.KindNotice, struct{}{})
		}
		if err != nil {
			_ = a.conn.Close()
			return
		}
		if !h.awaitChange(ctx, a, joined, declared, &sent) {
			return
		}
	}
}

// awaitChange waits until there is something to send: a change, of which those
// that follow at once are gathered, or a heartbeat. It forgets what was sent when
// the agent asked, or when agents came or went and it wants the list, and
// returns false when ctx ends.
func (h *Hub) awaitChange(ctx context.Context, a *agent, joined, declared <-chan struct{}, sent **catalog.Snapshot) bool {
	beat := h.cfg.Clock.After(heartbeat)
	for {
		select {
		case <-ctx.Done():
			return false
		case <-beat:
			return true
		case <-a.asked:
			*sent = nil
			return true
		case <-joined:
			if !h.wantsList(a) {
				joined = h.joined()
				continue
			}
			*sent = nil
		case <-declared:
			if sameWants(*sent, h.cfg.Holder.Current()) {
				// Servers changed, which agents need not know.
				declared = h.cfg.Holder.Changed()
				continue
			}
		}
		select {
		case <-ctx.Done():
			return false
		case <-h.cfg.Clock.After(gatherFor):
			return true
		}
	}
}

// joined returns a channel that is closed when agents come or go.
func (h *Hub) joined() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// wantsList reports whether an agent asked for the list of agents.
func (h *Hub) wantsList(a *agent) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return a.state.List
}

// sameWants reports whether two snapshots ask the same of agents.
func sameWants(a, b *catalog.Snapshot) bool {
	if a.Config == nil || b.Config == nil {
		return a.Config == b.Config
	}
	return sameVersions(a, b) && sameOrigin(a.Origin(), b.Origin())
}

func sameOrigin(a, b *catalog.Origin) bool {
	return a == b || a != nil && b != nil && *a == *b
}

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

// fleet describes what an agent is to do.
func (h *Hub) fleet(s *catalog.Snapshot, to *agent) frame.Fleet {
	f := frame.Fleet{Entries: h.cfg.Entries(), DataCentre: h.cfg.DataCentre}
	now := h.cfg.Clock.Now()
	newest := map[string]int{}
	if s.Config != nil {
		for _, service := range s.Config.Services {
			if service.Engine == nil {
				continue
			}
			for _, model := range service.Engine.Models {
				w := wanted(s, model, now)
				w.Service, w.Chunks, w.ChunkBytes = service.Name, service.Engine.Chunks, service.Engine.ChunkBytes
				newest[model] = w.Version
				f.Weights = append(f.Weights, w)
			}
		}
	}
	if o := s.Origin(); o != nil {
		f.Origin, f.OriginRate = o.Addr, o.BytesPerSecond
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if !to.state.List {
		return f
	}
	for _, a := range h.agents {
		f.Agents = append(f.Agents, frame.FleetAgent{
			Instance: a.hello.Self, Server: a.hello.Server, Holds: holds(a.state, newest),
		})
	}
	return f
}

// wanted returns the declared version of a model; the first when none is.
func wanted(s *catalog.Snapshot, model string, now time.Time) frame.WantedWeights {
	w := frame.WantedWeights{Model: model, Version: 1}
	if declared, ok := s.Weights[model]; ok {
		w.Version = declared.Version
		w.AgeMs = now.Sub(declared.Known).Milliseconds()
	}
	return w
}

// holds reports whether a server serves a newest version.
func holds(s frame.AgentState, newest map[string]int) bool {
	for model, version := range s.Weights {
		if version == newest[model] {
			return true
		}
	}
	return false
}
