package fleet

import (
	"context"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/process/eventlog"
	"github.com/rattanway/rattanway/process/httpserver"
	"github.com/rattanway/rattanway/test/wait"
	"github.com/rattanway/rattanway/version/catalog"
)

const (
	token = "test-token"
)

// testEntry is an entry instance with a Hub. It stores the states that agents
// report, by the address of their backend server.
type testEntry struct {
	holder *catalog.Holder
	hub    *Hub
	server *httptest.Server

	mu     sync.Mutex
	states map[string]frame.AgentState
	proven map[string]*frame.ProvenLoad
}

func newTestEntry(t *testing.T) *testEntry {
	t.Helper()
	e := &testEntry{holder: catalog.NewHolder(eventlog.Discard()), states: map[string]frame.AgentState{}, proven: map[string]*frame.ProvenLoad{}}
	e.hub = NewHub(HubConfig{
		Holder: e.holder, Log: eventlog.Discard(), Clock: clockwork.NewRealClock(),
		KnownEntries: func() ([]frame.EntryAddr, <-chan struct{}) { return nil, nil },
		OnAgentState: func(server string, s *frame.AgentState) {
			e.mu.Lock()
			defer e.mu.Unlock()
			delete(e.states, server)
			if s != nil {
				e.states[server] = *s
				if s.Proven != nil {
					e.proven[server] = s.Proven
				}
			}
		},
		ProvenLoad: func(server string) *frame.ProvenLoad {
			e.mu.Lock()
			defer e.mu.Unlock()
			return e.proven[server]
		},
	})
	e.server = httptest.NewServer(httpserver.RequirePeerToken(token, e.hub))
	e.declare(1, &catalog.Config{Version: 1, Services: map[string]*catalog.Service{
		"label":   {Name: "label", Engine: &catalog.Engine{Models: []string{"herbs"}, ChunkCount: 48, ChunkBytes: 512}},
		"weights": {Name: "weights", Origin: &catalog.Origin{Addr: "10.0.0.1:80", BytesPerSecond: 1000}},
	}})
	t.Cleanup(func() {
		e.server.CloseClientConnections()
		e.server.Close()
	})
	return e
}

// declare puts the configuration c in force. If c is nil, it declares a version of
// the weights instead.
func (e *testEntry) declare(version int, c *catalog.Config) {
	change := catalog.Change{Config: c}
	if c == nil {
		change = catalog.Change{Weights: &catalog.Weights{Model: "herbs", Version: version}}
	}
	e.holder.Apply([]catalog.Change{change}, false, false, time.Now())
}

func (e *testEntry) state(server string) (frame.AgentState, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.states[server]
	return s, ok
}

// testAgent is an agent with EntryConnections. It stores the last fleet message.
type testAgent struct {
	*EntryConnections
	stop func()

	mu        sync.Mutex
	lastFleet *frame.Fleet
}

func newTestAgent(t *testing.T, name string, e *testEntry) *testAgent {
	t.Helper()
	return newTestAgentOf(t, name, e.server.Listener.Addr().String())
}

// newTestAgentOf returns an agent of the entry instance at addr.
func newTestAgentOf(t *testing.T, name, addr string) *testAgent {
	t.Helper()
	a := &testAgent{}
	a.EntryConnections = NewEntryConnections(EntryConnectionsConfig{
		Hello: frame.AgentHello{Instance: core.Instance{ID: name, Role: core.RoleAgent, Addr: name}, ServerAddr: "server-" + name},
		Token: token, EntryAddrs: []string{addr}, Log: eventlog.Discard(),
		Clock: clockwork.NewRealClock(),
		DeclaredVersions: func() []frame.WantedVersion {
			return []frame.WantedVersion{{Model: "herbs", Version: 1, AgeMs: 60_000}}
		},
		OnFleet: func(_ string, f *frame.Fleet) {
			a.mu.Lock()
			defer a.mu.Unlock()
			a.lastFleet = f
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = a.Run(ctx)
	}()
	a.stop = sync.OnceFunc(func() {
		cancel()
		<-done
	})
	t.Cleanup(a.stop)
	return a
}

// fleetMeets reports whether the last fleet message meets a condition.
func (a *testAgent) fleetMeets(condition func(frame.Fleet) bool) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lastFleet != nil && condition(*a.lastFleet)
}

func TestFleet(t *testing.T) {
	Convey("Agents receive the list of agents, the origin and new versions of the weights", t, func() {
		e := newTestEntry(t)
		a := newTestAgent(t, "a", e)
		newTestAgent(t, "b", e)
		So(wait.Until(func() bool {
			return a.fleetMeets(func(f frame.Fleet) bool {
				return len(f.Agents) == 2 && f.OriginAddr == "10.0.0.1:80" && len(f.WantedVersions) == 1 && f.WantedVersions[0].Version == 1
			})
		}), ShouldBeTrue)
		e.declare(2, nil)
		So(wait.Until(func() bool {
			return a.fleetMeets(func(f frame.Fleet) bool {
				return f.WantedVersions[0].Version == 2 && f.WantedVersions[0].AgeMs < 10_000
			})
		}), ShouldBeTrue)
	})

	Convey("An entry instance receives the state of a backend server, and discards it when the agent disconnects", t, func() {
		e := newTestEntry(t)
		a := newTestAgent(t, "a", e)
		a.Publish(frame.AgentState{LoadedVersions: map[string]int{"herbs": 2}, Loading: true})
		So(wait.Until(func() bool {
			s, ok := e.state("server-a")
			return ok && s.Loading && s.LoadedVersions["herbs"] == 2
		}), ShouldBeTrue)
		a.stop()
		So(wait.Until(func() bool {
			_, ok := e.state("server-a")
			return !ok
		}), ShouldBeTrue)
	})

	Convey("An agent learns what an agent of the same backend server had proven before it", t, func() {
		e := newTestEntry(t)
		proven := &frame.ProvenLoad{StartUnixMs: 5, AcceptedOrders: 3, Versions: map[string]int{"herbs": 2}}
		first := newTestAgent(t, "a", e)
		first.Publish(frame.AgentState{LoadedVersions: proven.Versions, Proven: proven})
		So(wait.Until(func() bool {
			s, _ := e.state("server-a")
			return s.Proven.Equal(proven)
		}), ShouldBeTrue)
		first.stop()
		next := newTestAgent(t, "a", e)
		So(wait.Until(func() bool {
			return next.fleetMeets(func(f frame.Fleet) bool { return f.ProvenLoad.Equal(proven) })
		}), ShouldBeTrue)
	})

	Convey("An entry instance takes the age of a declared version from an agent that received the version earlier", t, func() {
		e := newTestEntry(t)
		e.declare(1, nil)
		newTestAgent(t, "a", e)
		So(wait.Until(func() bool {
			return time.Since(e.holder.Current().Weights["herbs"].DeclaredAt) > 50*time.Second
		}), ShouldBeTrue)
	})
}

// Guards against an agent that keeps dialling the entry instances of its first settings.
func TestAddedEntriesAreDialled(t *testing.T) {
	Convey("An agent connects to an entry instance that is added while none of its own can be reached", t, func() {
		gone, e := newTestEntry(t), newTestEntry(t)
		gone.server.CloseClientConnections()
		gone.server.Close()
		a := newTestAgent(t, "a", gone)
		a.AddEntries([]string{e.server.Listener.Addr().String()})
		So(wait.Until(func() bool {
			_, ok := e.state("server-a")
			return ok
		}), ShouldBeTrue)
	})
}

// Guards against an agent that is cut off and does not say so.
func TestIsolation(t *testing.T) {
	Convey("An isolation is reported once, after some seconds, and its end once", t, func() {
		var i isolation
		start := time.Now()
		at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
		So(i.update(at(0), 0), ShouldBeFalse)
		So(i.update(at(2.9), 0), ShouldBeFalse)
		So(i.update(at(3), 0), ShouldBeTrue)
		So(i.update(at(9), 0), ShouldBeFalse)
		So(i.update(at(10), 1), ShouldBeTrue)
		So(i.update(at(11), 1), ShouldBeFalse)
		So(i.update(at(12), 0), ShouldBeFalse)
		So(i.update(at(13), 1), ShouldBeFalse)
	})
}

func TestChooseListSenders(t *testing.T) {
	Convey("Given entry instances of three data centres", t, func() {
		connected := map[string]string{
			"e1": "palermo", "e2": "palermo", "e3": "palermo", "e4": "catania", "e5": "catania", "e6": "trapani",
		}
		Convey("two of the agent's own data centre send the list", func() {
			chosen := chooseListSenders("a1", "palermo", connected)
			So(chosen, ShouldHaveLength, 2)
			for addr := range chosen {
				So(connected[addr], ShouldEqual, "palermo")
			}
		})
		Convey("if only one entry instance of the agent's own data centre is connected, it alone sends the list", func() {
			So(chooseListSenders("a1", "trapani", connected), ShouldResemble, map[string]bool{"e6": true})
		})
		Convey("if no entry instance of the agent's own data centre is connected, two others send the list", func() {
			delete(connected, "e6")
			So(chooseListSenders("a1", "trapani", connected), ShouldHaveLength, 2)
		})
		Convey("different agents choose different entry instances", func() {
			chosen := map[string]bool{}
			for _, agent := range []string{"a1", "a2", "a3", "a4", "a5", "a6", "a7", "a8"} {
				for addr := range chooseListSenders(agent, "palermo", connected) {
					chosen[addr] = true
				}
			}
			So(chosen, ShouldHaveLength, 3)
		})
		Convey("without a connection no entry instance is chosen", func() {
			So(chooseListSenders("a1", "palermo", nil), ShouldBeEmpty)
		})
	})
}
