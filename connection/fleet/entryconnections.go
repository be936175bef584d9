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

// redialPauses are the pauses before an entry instance is dialled again. They are
// short: after a power failure a longer pause would leave the backend server
// without weights for longer, and a refused connection costs little.
var redialPauses = dial.Backoff{
	MinDelay: 80 * time.Millisecond, MaxDelay: 300 * time.Millisecond, ResetAfter: 1500 * time.Millisecond,
}

// EntryConnectionsConfig holds the settings and dependencies of Links.
type EntryConnectionsConfig struct {
	// Hello is the first message on each connection, without the declared
	// versions.
	Hello frame.AgentHello
	// DeclaredVersions returns the declared versions that the agent knows, for Hello.
	DeclaredVersions func() []frame.WantedVersion
	// Token is the peer token sent to entry instances.
	Token string
	// Entries are the addresses of the entry instances to dial first. More are
	// taken from their messages.
	Entries []string
	// OnFleet is called with the address of an entry instance and each message
	// from it, and with a nil message when the connection to it has ended.
	OnFleet func(entry string, f *frame.Fleet)
	// Log receives an event for each change.
	Log *eventlog.Logger
	// Clock is the time source.
	Clock clockwork.Clock
}

// EntryConnections holds an agent's connections to entry instances. It is safe for
// concurrent use.
type EntryConnections struct {
	cfg   EntryConnectionsConfig
	mu    sync.Mutex
	state frame.AgentState
	// changed is closed and replaced when state or listSenders changes.
	changed chan struct{}
	// known holds the addresses of all entry instances that are dialled, and
	// discovered those that Run has yet to start dialling.
	known      map[string]bool
	discovered chan string
	// connected maps the addresses of the connected entry instances to their
	// data centres. listSenders holds the addresses of those that send the
	// list of agents.
	connected   map[string]string
	listSenders map[string]bool
}

// NewEntryConnections returns Links without connections; Run opens them.
func NewEntryConnections(cfg EntryConnectionsConfig) *EntryConnections {
	return &EntryConnections{
		cfg: cfg, changed: make(chan struct{}), known: map[string]bool{}, discovered: make(chan string, 64),
		connected: map[string]string{},
	}
}

// Publish sends the state of the backend server to all entry instances.
func (l *EntryConnections) Publish(s frame.AgentState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = s
	l.notifyChange()
}

// notifyChange wakes the goroutines that send states. l.mu must be held.
func (l *EntryConnections) notifyChange() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// markConnected records that an entry instance is connected, and its data
// centre.
func (l *EntryConnections) markConnected(addr, dataCentre string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if old, ok := l.connected[addr]; !ok || old != dataCentre {
		l.connected[addr] = dataCentre
		l.updateListSenders()
	}
}

// markDisconnected records that the connection to an entry instance has ended.
func (l *EntryConnections) markDisconnected(addr string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.connected, addr)
	l.updateListSenders()
}

// updateListSenders chooses again which entry instances send the list of agents.
// l.mu must be held.
func (l *EntryConnections) updateListSenders() {
	self := l.cfg.Hello.Instance
	listSenders := chooseListSenders(self.ID, self.DataCentre, l.connected)
	if !maps.Equal(listSenders, l.listSenders) {
		l.listSenders = listSenders
		l.notifyChange()
	}
}

// Run dials the entry instances, again after each loss, until ctx ends.
func (l *EntryConnections) Run(ctx context.Context) error {
	var connections sync.WaitGroup
	defer connections.Wait()
	for _, addr := range l.cfg.Entries {
		l.addEntry(addr)
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case addr := <-l.discovered:
			connections.Go(func() { l.maintainConnection(ctx, addr) })
		}
	}
}

// addEntry queues an entry instance for dialling unless it is known. While the
// queue is full, the address is dropped.
func (l *EntryConnections) addEntry(addr string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.known[addr] {
		return
	}
	select {
	case l.discovered <- addr:
		l.known[addr] = true
	default:
	}
}

// maintainConnection keeps a connection to an entry instance open, dialling
// again after each loss, until ctx ends.
func (l *EntryConnections) maintainConnection(ctx context.Context, addr string) {
	session := func(ctx context.Context, timeout time.Duration) error {
		err := l.runSession(ctx, addr, timeout)
		l.markDisconnected(addr)
		l.cfg.OnFleet(addr, nil)
		return err
	}
	dial.KeepConnected(ctx, l.cfg.Clock, redialPauses, session, func(err error) {
		l.cfg.Log.EventWithError(eventEntryGone, err, eventlog.Fields{"entry": addr})
	})
}

// runSession opens one connection to an entry instance within timeout, exchanges
// messages on it and returns when it has ended.
func (l *EntryConnections) runSession(ctx context.Context, addr string, timeout time.Duration) error {
	conn, err := frame.Dial(addr, Path, l.cfg.Token, timeout)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	hello := l.cfg.Hello
	hello.DeclaredVersions = l.cfg.DeclaredVersions()
	if err := conn.Send(frame.KindAgentHello, hello); err != nil {
		return err
	}
	l.cfg.Log.Event(eventEntry, eventlog.Fields{"entry": addr})
	ended := make(chan struct{})
	defer close(ended)
	go l.sendStates(conn, addr, ended)
	for {
		f, err := conn.Receive(l.cfg.Clock.Now().Add(receiveTimeout))
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
		for _, entry := range fleet.Entries {
			l.addEntry(entry)
		}
		l.markConnected(addr, fleet.DataCentre)
		l.cfg.OnFleet(addr, &fleet)
	}
}

// sendStates sends the state after each change and as a heartbeat, until the
// session ends or sending fails.
func (l *EntryConnections) sendStates(conn *frame.Conn, addr string, ended <-chan struct{}) {
	for {
		l.mu.Lock()
		state, changed := l.state, l.changed
		state.WantsAgentList = l.listSenders[addr]
		l.mu.Unlock()
		if err := conn.Send(frame.KindAgentState, state); err != nil {
			_ = conn.Close()
			return
		}
		select {
		case <-ended:
			return
		case <-changed:
		case <-l.cfg.Clock.After(heartbeatInterval):
		}
	}
}

// Self returns the agent's own instance.
func (l *EntryConnections) Self() core.Instance { return l.cfg.Hello.Instance }
