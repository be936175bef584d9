package fleet

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	gometrics "github.com/rcrowley/go-metrics"

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
	// OnLoad is called with the address of an entry instance and each load of the fleet
	// that this one reports; nil ignores the loads.
	OnLoad func(entry string, l frame.FleetLoad)
	// Log receives an event when a connection opens, fails or ends.
	Log *eventlog.Logger
	// Clock is the time source.
	Clock clockwork.Clock
	// Metrics receives the number of connected entry instances, if it is not nil.
	Metrics gometrics.Registry
}

// EntryConnections holds an agent's connections to entry instances. It is safe for
// concurrent use.
type EntryConnections struct {
	cfg   EntryConnectionsConfig
	mu    sync.Mutex
	state frame.AgentState
	// changed is closed and replaced when state or listSenders changes.
	changed chan struct{}
	// known maps the addresses of the known entry instances to their data centres; a
	// name is empty if the data centre is unknown.
	known map[string]string
	// failingSince holds, for the entry instances that cannot be reached, the time of
	// the first failure.
	failingSince map[string]time.Time
	// knownChanged receives a value when known has changed.
	knownChanged chan struct{}
	// connected maps the addresses of the connected entry instances to their data
	// centres.
	connected map[string]string
	// listSenders holds the addresses of the connected entry instances from which
	// the agent requests the list of agents.
	listSenders map[string]bool
	// isolation tracks how long no entry instance has been connected.
	isolation isolation
	// connectedGauge is the metric of the number of connected entry instances.
	connectedGauge gometrics.Gauge
}

// NewEntryConnections returns EntryConnections without connections; Run opens them.
func NewEntryConnections(cfg EntryConnectionsConfig) *EntryConnections {
	if cfg.Metrics == nil {
		cfg.Metrics = gometrics.NewRegistry()
	}
	return &EntryConnections{
		cfg: cfg, changed: make(chan struct{}), known: map[string]string{}, failingSince: map[string]time.Time{},
		knownChanged: make(chan struct{}, 1), connected: map[string]string{},
		connectedGauge: gometrics.GetOrRegisterGauge("fleet.connected-entries", cfg.Metrics),
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
	delete(c.failingSince, addr)
	if old, ok := c.connected[addr]; !ok || old != dataCentre {
		c.connected[addr] = dataCentre
		c.updateListSenders()
	}
}

// markDisconnected records that the connection to an entry instance has ended, or
// could not be opened. failed is false if the agent has closed it itself.
func (c *EntryConnections) markDisconnected(addr string, failed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.connected, addr)
	if _, ok := c.failingSince[addr]; !ok && failed {
		c.failingSince[addr] = c.cfg.Clock.Now()
	}
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

// chooseInterval is the longest time between two choices of entry instances. A choice
// depends on which of them cannot be reached.
const chooseInterval = time.Second

// Run keeps connections to the entry instances that chooseEntries returns, and
// redials each one after a lost connection, until ctx ends.
func (c *EntryConnections) Run(ctx context.Context) error {
	var connections sync.WaitGroup
	defer connections.Wait()
	c.AddEntries(c.cfg.EntryAddrs)
	cancels := map[string]context.CancelFunc{}
	for {
		c.reportIsolation()
		chosen := c.chooseEntries()
		for addr := range chosen {
			if cancels[addr] == nil {
				connCtx, cancel := context.WithCancel(ctx)
				cancels[addr] = cancel
				connections.Go(func() { c.maintainConnection(connCtx, addr) })
			}
		}
		for addr, cancel := range cancels {
			if !chosen[addr] {
				cancel()
				delete(cancels, addr)
			}
		}
		select {
		case <-ctx.Done():
			for _, cancel := range cancels {
				cancel()
			}
			return nil
		case <-c.knownChanged:
		case <-c.cfg.Clock.After(chooseInterval):
		}
	}
}

// chooseEntries returns the addresses of the entry instances to which the agent
// should be connected.
func (c *EntryConnections) chooseEntries() map[string]bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.cfg.Clock.Now()
	failing := map[string]bool{}
	for addr, since := range c.failingSince {
		failing[addr] = now.Sub(since) >= failingPeriod
	}
	self := c.cfg.Hello.Instance
	return chooseEntries(self.ID, self.DataCentre, c.known, failing)
}

// AddEntries adds the entry instances at addrs to those to which the agent connects.
func (c *EntryConnections) AddEntries(addrs []string) {
	for _, addr := range addrs {
		c.addEntry(addr, "")
	}
}

// reportIsolation updates the metric of the connected entry instances, and logs when
// none has been connected for isolatedAfter and when that has ended.
func (c *EntryConnections) reportIsolation() {
	c.mu.Lock()
	connected, known := len(c.connected), slices.Sorted(maps.Keys(c.known))
	changed := c.isolation.update(c.cfg.Clock.Now(), connected)
	isolated := c.isolation.reported
	c.mu.Unlock()
	c.connectedGauge.Update(int64(connected))
	if changed {
		c.cfg.Log.Event(eventIsolated, eventlog.Fields{"isolated": isolated, "entries": strings.Join(known, ",")})
	}
}

// addEntry adds an entry instance to the known ones. dataCentre is empty if it is
// unknown; a data centre that is already known is kept.
func (c *EntryConnections) addEntry(addr, dataCentre string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if old, ok := c.known[addr]; ok && (dataCentre == "" || old != "") {
		return
	}
	c.known[addr] = dataCentre
	select {
	case c.knownChanged <- struct{}{}:
	default:
	}
}

// maintainConnection dials an entry instance, and redials it after each lost
// connection, until ctx ends.
func (c *EntryConnections) maintainConnection(ctx context.Context, addr string) {
	session := func(ctx context.Context, timeout time.Duration) error {
		err := c.runSession(ctx, addr, timeout)
		c.markDisconnected(addr, ctx.Err() == nil)
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
		f, err := conn.ReceiveWithin(receiveTimeout)
		if err != nil {
			return err
		}
		if f.Kind == frame.KindNotice && c.cfg.OnLoad != nil {
			var load frame.FleetLoad
			if err := f.Decode(&load); err != nil {
				return err
			}
			if err := load.Check(); err != nil {
				return err
			}
			c.cfg.OnLoad(addr, load)
		}
		if f.Kind != frame.KindFleet {
			continue
		}
		var fleet frame.Fleet
		if err := f.Decode(&fleet); err != nil {
			return err
		}
		c.addEntry(addr, fleet.DataCentre)
		for i, entry := range fleet.EntryAddrs {
			dataCentre := ""
			if i < len(fleet.EntryDataCentres) {
				dataCentre = fleet.EntryDataCentres[i]
			}
			c.addEntry(entry, dataCentre)
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
