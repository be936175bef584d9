package fleet

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/process/dial"
	"github.com/rattanway/rattanway/process/eventlog"
)

// redial are the pauses before an entry instance is dialled again: after a
// loss of power every moment without weights counts, and a refused connection
// costs little.
var redial = dial.Pauses{
	Least: 80 * time.Millisecond, Most: 300 * time.Millisecond, Steady: 1500 * time.Millisecond,
}

// LinksConfig holds what Links need.
type LinksConfig struct {
	// Hello introduces the agent; what it has heard of is added.
	Hello frame.AgentHello
	// Declared returns the versions that the agent has heard of.
	Declared func() []frame.WantedWeights
	// Token authenticates our processes to each other.
	Token string
	// Entries are the addresses to begin with.
	Entries []string
	// Fleet is told what an entry instance says; nil when it is gone.
	Fleet func(entry string, f *frame.Fleet)
	// Log takes a line for each change.
	Log *eventlog.Logger
	// Clock gives the time.
	Clock clockwork.Clock
}

// Links are the agent's connections to entry instances. They are safe for
// concurrent use.
type Links struct {
	cfg     LinksConfig
	mu      sync.Mutex
	state   frame.AgentState
	changed chan struct{}
	known   map[string]bool
	found   chan string
	// connected are the entry instances that answer, with their data centres,
	// and lists those of them that send the list of agents.
	connected map[string]string
	lists     map[string]bool
}

// NewLinks returns Links that connect once they run.
func NewLinks(cfg LinksConfig) *Links {
	return &Links{
		cfg: cfg, changed: make(chan struct{}), known: map[string]bool{}, found: make(chan string, 64),
		connected: map[string]string{},
	}
}

// Publish tells all entry instances what the server holds.
func (l *Links) Publish(s frame.AgentState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = s
	l.signal()
}

// signal wakes the senders; l.mu is held.
func (l *Links) signal() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// answers notes that an entry instance of a data centre answers.
func (l *Links) answers(addr, dataCentre string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if old, ok := l.connected[addr]; !ok || old != dataCentre {
		l.connected[addr] = dataCentre
		l.choose()
	}
}

// gone notes that an entry instance does not answer any more.
func (l *Links) gone(addr string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.connected, addr)
	l.choose()
}

// choose chooses who sends the list of agents; l.mu is held.
func (l *Links) choose() {
	self := l.cfg.Hello.Self
	lists := chooseLists(self.ID, self.DataCentre, l.connected)
	if !maps.Equal(lists, l.lists) {
		l.lists = lists
		l.signal()
	}
}

// Run keeps the connections until ctx ends.
func (l *Links) Run(ctx context.Context) error {
	var all sync.WaitGroup
	defer all.Wait()
	for _, addr := range l.cfg.Entries {
		l.learn(addr)
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case addr := <-l.found:
			all.Go(func() { l.keep(ctx, addr) })
		}
	}
}

// learn begins to dial an entry instance that was not known.
func (l *Links) learn(addr string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.known[addr] {
		return
	}
	select {
	case l.found <- addr:
		l.known[addr] = true
	default:
	}
}

// keep connects to an entry instance again and again.
func (l *Links) keep(ctx context.Context, addr string) {
	session := func(ctx context.Context, timeout time.Duration) error {
		err := l.session(ctx, addr, timeout)
		l.gone(addr)
		l.cfg.Fleet(addr, nil)
		return err
	}
	dial.Keep(ctx, l.cfg.Clock, redial, session, func(err error) {
		l.cfg.Log.Fail(eventEntryGone, err, eventlog.Fields{"entry": addr})
	})
}

// session is one connection to an entry instance, opened within timeout.
func (l *Links) session(ctx context.Context, addr string, timeout time.Duration) error {
	conn, err := frame.Dial(addr, Path, l.cfg.Token, timeout)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	hello := l.cfg.Hello
	hello.Declared = l.cfg.Declared()
	if err := conn.Send(frame.KindAgentHello, hello); err != nil {
		return err
	}
	l.cfg.Log.Event(eventEntry, eventlog.Fields{"entry": addr})
	ended := make(chan struct{})
	defer close(ended)
	go l.tell(conn, addr, ended)
	for {
		f, err := conn.Receive(l.cfg.Clock.Now().Add(silentAfter))
		if err != nil {
			return err
		}
		if f.Kind != frame.KindFleet {
			continue
		}
		var fleet frame.Fleet
		if err := f.Decode(&fleet); err != nil {
			return err
		}
		for _, other := range fleet.Entries {
			l.learn(other)
		}
		l.answers(addr, fleet.DataCentre)
		l.cfg.Fleet(addr, &fleet)
	}
}

// tell sends the state whenever it changes, and as a heartbeat.
func (l *Links) tell(conn *frame.Conn, addr string, ended <-chan struct{}) {
	for {
		l.mu.Lock()
		state, changed := l.state, l.changed
		state.List = l.lists[addr]
		l.mu.Unlock()
		if err := conn.Send(frame.KindAgentState, state); err != nil {
			_ = conn.Close()
			return
		}
		select {
		case <-ended:
			return
		case <-changed:
		case <-l.cfg.Clock.After(heartbeat):
		}
	}
}

// Self returns the instance that introduces the agent.
func (l *Links) Self() core.Instance { return l.cfg.Hello.Self }
