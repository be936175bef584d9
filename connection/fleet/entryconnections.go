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

// EntryConnectionsConfig holds the settings and dependencies of EntryConnections.
type EntryConnectionsConfig struct {
	// Hello is the first message on each connection, with its DeclaredVersions
	// still empty.
	Hello frame.AgentHello
	// DeclaredVersions returns the declared versions that the agent has received,
	// with their ages. EntryConnections adds them to Hello.
	DeclaredVersions func() []frame.WantedVersion
	// Token is the peer token sent to entry instances.
	Token string
	// EntryAddrs are the addresses of the entry instances to dial first. Further
	// addresses are taken from the messages of entry instances.
	EntryAddrs []string
	// OnFleet is called with the address of an entry instance and each message
	// from that entry instance, and with a nil message when the connection has
	// ended.
	OnFleet func(entry string, f *frame.Fleet)
	// Log receives an event when a connection opens, fails or ends.
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
	// known holds the addresses that addEntry has queued.
	known map[string]bool
	// discovered receives the known addresses that Run has yet to dial.
	discovered chan string
	// connected maps the addresses of the connected entry instances to their data
	// centres.
	connected map[string]string
	// listSenders holds the addresses of the connected entry instances from which
	// the agent requests the list of agents.
	listSenders map[string]bool
}

// NewEntryConnections returns EntryConnections without connections; Run opens them.
func NewEntryConnections(cfg EntryConnectionsConfig) *EntryConnections {
	return &EntryConnections{
		cfg: cfg, changed: make(chan struct{}), known: map[string]bool{}, discovered: make(chan string, 64),
		connected: map[string]string{},
	}
}

// Publish sends the state of the backend server to all connected entry
// instances, and to each further entry instance when it connects.
func (c *EntryConnections) Publish(s frame.AgentState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = s
	c.notifyChange()
}

// notifyChange wakes the goroutines that send states. c.mu must be held.
func (c *EntryConnections) notifyChange() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// markConnected records that an entry instance in the given data centre is
// connected.
func (c *EntryConnections) markConnected(addr, dataCentre string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if old, ok := c.connected[addr]; !ok || old != dataCentre {
		c.connected[addr] = dataCentre
		c.updateListSenders()
	}
}

// markDisconnected records that the connection to an entry instance has ended.
func (c *EntryConnections) markDisconnected(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.connected, addr)
	c.updateListSenders()
}

// updateListSenders chooses again from which entry instances the agent requests
// the list of agents. c.mu must be held.
func (c *EntryConnections) updateListSenders() {
	self := c.cfg.Hello.Instance
	listSenders := chooseListSenders(self.ID, self.DataCentre, c.connected)
	if !maps.Equal(listSenders, c.listSenders) {
		c.listSenders = listSenders
		c.notifyChange()
	}
}

// Run dials the entry instances, and redials each one after a lost connection,
// until ctx ends.
func (c *EntryConnections) Run(ctx context.Context) error {
	var connections sync.WaitGroup
	defer connections.Wait()
	for _, addr := range c.cfg.EntryAddrs {
		c.addEntry(addr)
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case addr := <-c.discovered:
			connections.Go(func() { c.maintainConnection(ctx, addr) })
		}
	}
}

// addEntry queues an entry instance for dialling unless it is known. While the
// queue is full, the address is dropped.
func (c *EntryConnections) addEntry(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.known[addr] {
		return
	}
	select {
	case c.discovered <- addr:
		c.known[addr] = true
	default:
	}
}

// maintainConnection dials an entry instance, and redials it after each lost
// connection, until ctx ends.
func (c *EntryConnections) maintainConnection(ctx context.Context, addr string) {
	session := func(ctx context.Context, timeout time.Duration) error {
		err := c.runSession(ctx, addr, timeout)
		c.markDisconnected(addr)
		c.cfg.OnFleet(addr, nil)
		return err
	}
	dial.KeepConnected(ctx, c.cfg.Clock, redialPauses, session, func(err error) {
		c.cfg.Log.EventWithError(eventEntryGone, err, eventlog.Fields{"entry": addr})
	})
}

// runSession opens one connection to an entry instance within timeout, exchanges
// messages on the connection and returns when the connection has ended.
func (c *EntryConnections) runSession(ctx context.Context, addr string, timeout time.Duration) error {
	conn, err := frame.Dial(addr, Path, c.cfg.Token, timeout)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	hello := c.cfg.Hello
	hello.DeclaredVersions = c.cfg.DeclaredVersions()
	if err := conn.Send(frame.KindAgentHello, hello); err != nil {
		return err
	}
	c.cfg.Log.Event(eventEntry, eventlog.Fields{"entry": addr})
	ended := make(chan struct{})
	defer close(ended)
	go c.sendStates(conn, addr, ended)
	for {
		f, err := conn.Receive(c.cfg.Clock.Now().Add(receiveTimeout))
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
		for _, entry := range fleet.EntryAddrs {
			c.addEntry(entry)
		}
		c.markConnected(addr, fleet.DataCentre)
		c.cfg.OnFleet(addr, &fleet)
	}
}

// sendStates sends the state at once, after each change and at each
// heartbeatInterval, until the session ends or sending fails.
func (c *EntryConnections) sendStates(conn *frame.Conn, addr string, ended <-chan struct{}) {
	for {
		c.mu.Lock()
		state, changed := c.state, c.changed
		state.RequestsAgentList = c.listSenders[addr]
		c.mu.Unlock()
		if err := conn.Send(frame.KindAgentState, state); err != nil {
			_ = conn.Close()
			return
		}
		select {
		case <-ended:
			return
		case <-changed:
		case <-c.cfg.Clock.After(heartbeatInterval):
		}
	}
}

// Self returns this agent's instance.
func (c *EntryConnections) Self() core.Instance { return c.cfg.Hello.Instance }
