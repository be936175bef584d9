package exchange

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/process/dial"
	"github.com/rattanway/rattanway/process/eventlog"
	"github.com/rattanway/rattanway/version/catalog"
)

// Path is the HTTP path at which an entry instance accepts connections from
// other entry instances.
const Path = "/internal/exchange"

const (
	// sendInterval is the time between two messages while counts change. A
	// backend server that receives 12 requests per second receives about half a
	// request in this time, so its count changes little between two messages.
	sendInterval = 50 * time.Millisecond
	// heartbeatInterval is the longest time between two messages, also while no
	// count changes.
	heartbeatInterval = 500 * time.Millisecond
	// receiveTimeout is the time without a message after which the receiver closes
	// the connection.
	receiveTimeout = 2 * time.Second
)

// redialPauses are the pauses before a peer is dialled again.
var redialPauses = dial.Backoff{MinDelay: 100 * time.Millisecond, MaxDelay: time.Second, ResetAfter: time.Second}

var (
	eventPeerConnected = eventlog.Define(150, "exchange-peer", logrus.InfoLevel,
		"This entry instance connected to another entry instance.")
	eventPeerDisconnected = eventlog.Define(151, "exchange-peer-gone", logrus.InfoLevel,
		"The connection to or from another entry instance failed or ended; the side that opened it dials again.")
	eventTablesRequested = eventlog.Define(152, "exchange-want", logrus.InfoLevel,
		"Another entry instance has a newer revision of a table than the store has delivered to this entry instance, which requests the table from the other.")
)

// LoadTracker provides the request counts of this entry instance and stores those of
// its peers.
type LoadTracker interface {
	// RunningByServer returns the number of requests that this entry instance runs
	// at each backend server, by server ID.
	RunningByServer() map[string]int
	// ResetPeerLoads discards the counts of a peer that has connected again.
	ResetPeerLoads(peer string)
	// UpdatePeerLoads updates the counts of a peer. running holds only the counts
	// that have changed since the last update, by server ID.
	UpdatePeerLoads(peer string, running map[string]int)
}

// Config holds the settings and dependencies of an Exchange.
type Config struct {
	// Self is this entry instance.
	Self core.Instance
	// Token is the peer token sent to other entry instances.
	Token string
	// Holder holds the declared versions of the weights. The entry instances
	// exchange the ages of these versions.
	Holder *catalog.Holder
	// DeclaredFollower follows the store's table of declarations, and
	// ServersFollower the store's table of backend servers.
	DeclaredFollower, ServersFollower *catalog.Follower
	// LoadTracker provides and receives the request counts.
	LoadTracker LoadTracker
	// Log receives the events of connections and table requests.
	Log *eventlog.Logger
	// Clock is the time source.
	Clock clockwork.Clock
}

// Exchange holds the connections to the other entry instances. An entry instance
// sends its counts only on connections that it has dialled itself, so that two entry
// instances have one connection for each direction. Exchange is safe for concurrent
// use.
type Exchange struct {
	cfg Config
	mu  sync.Mutex
	// known holds the addresses that AddPeer has queued, and the address of this
	// entry instance.
	known map[string]bool
	// discovered receives the known addresses that Run has yet to dial.
	discovered chan string
	// lastRequested is the time at which each table was last requested.
	lastRequested map[catalog.Table]time.Time
}

// New returns an Exchange without connections; Run opens them.
func New(cfg Config) *Exchange {
	return &Exchange{
		cfg: cfg, known: map[string]bool{cfg.Self.Addr: true}, discovered: make(chan string, 256),
		lastRequested: map[catalog.Table]time.Time{},
	}
}

// AddPeer queues the entry instance at addr for dialling unless it is known. While
// the queue is full, addr is dropped.
func (x *Exchange) AddPeer(addr string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if addr == "" || x.known[addr] {
		return
	}
	select {
	case x.discovered <- addr:
		x.known[addr] = true
	default:
	}
}

// KnownAddrs returns the addresses of all known entry instances, including this one.
func (x *Exchange) KnownAddrs() []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	addrs := make([]string, 0, len(x.known))
	for addr := range x.known {
		addrs = append(addrs, addr)
	}
	return addrs
}

// Run dials the other entry instances, and redials each one after a lost
// connection, until ctx ends.
func (x *Exchange) Run(ctx context.Context) error {
	var connections sync.WaitGroup
	defer connections.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case addr := <-x.discovered:
			connections.Go(func() {
				session := func(ctx context.Context, timeout time.Duration) error { return x.runSession(ctx, addr, timeout) }
				dial.KeepConnected(ctx, x.cfg.Clock, redialPauses, session, func(err error) {
					x.cfg.Log.EventWithError(eventPeerDisconnected, err, eventlog.Fields{"peer": addr})
				})
			})
		}
	}
}

// runSession opens a connection to a peer within timeout and sends the request
// counts on the connection until it ends. On the same connection it serves the table
// requests of the peer.
func (x *Exchange) runSession(ctx context.Context, addr string, timeout time.Duration) error {
	conn, err := frame.Dial(addr, Path, x.cfg.Token, timeout)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	if err := conn.Send(frame.KindEntryHello, frame.EntryHello{Instance: x.cfg.Self}); err != nil {
		return err
	}
	x.cfg.Log.Event(eventPeerConnected, eventlog.Fields{"peer": addr})
	tableRequestErr := make(chan error, 1)
	go func() { tableRequestErr <- x.serveTableRequests(conn) }()
	sent := map[string]int{}
	var lastHeartbeat time.Time
	for {
		update := frame.LoadUpdate{
			DeclaredRevision: x.cfg.DeclaredFollower.ChangeRevision(), ServersRevision: x.cfg.ServersFollower.ChangeRevision(),
			RunningByServer: changedCounts(sent, x.cfg.LoadTracker.RunningByServer()),
		}
		now := x.cfg.Clock.Now()
		heartbeatDue := now.Sub(lastHeartbeat) >= heartbeatInterval
		if heartbeatDue {
			update.DeclaredVersions = x.recentVersions(now)
		}
		if len(update.RunningByServer) > 0 || heartbeatDue {
			if err := conn.Send(frame.KindLoadUpdate, update); err != nil {
				return err
			}
			if heartbeatDue {
				lastHeartbeat = now
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case err := <-tableRequestErr:
			return err
		case <-x.cfg.Clock.After(sendInterval):
		}
	}
}

// ageSendPeriod is how long after the declaration of a version of the weights
// the version's age is sent to peers. A peer that was paused or disconnected
// receives the declaration late and has no other source for the age.
const ageSendPeriod = 20 * time.Second

// recentVersions returns the versions of the weights declared within the last
// ageSendPeriod, with their ages.
func (x *Exchange) recentVersions(now time.Time) []frame.WantedVersion {
	var recent []frame.WantedVersion
	for _, w := range x.cfg.Holder.Current().RecentVersions(now, ageSendPeriod) {
		recent = append(recent, frame.WantedVersion{
			Model: w.Model, Version: w.Version, AgeMs: now.Sub(w.DeclaredAt).Milliseconds(),
		})
	}
	return recent
}

// applyAges stores the ages of declared versions that a peer sent.
func (x *Exchange) applyAges(weights []frame.WantedVersion) {
	now := x.cfg.Clock.Now()
	for _, w := range weights {
		declaredAt := now.Add(-time.Duration(w.AgeMs) * time.Millisecond)
		x.cfg.Holder.MergeWeights(catalog.Weights{Model: w.Model, Version: w.Version, DeclaredAt: declaredAt}, now)
	}
}

// changedCounts returns the counts in current that differ from those in sent, and
// 0 for servers that have a count in sent but are missing in current. It updates
// sent to match current.
func changedCounts(sent, current map[string]int) map[string]int {
	changed := map[string]int{}
	for id, n := range current {
		if sent[id] != n {
			changed[id], sent[id] = n, n
		}
	}
	for id, n := range sent {
		if _, ok := current[id]; !ok {
			if n != 0 {
				changed[id] = 0
			}
			delete(sent, id)
		}
	}
	return changed
}

// serveTableRequests sends the tables that the peer requests, until the connection
// ends.
func (x *Exchange) serveTableRequests(conn *frame.Conn) error {
	for {
		var request frame.TableRequest
		if err := conn.Expect(frame.KindTableRequest, &request, time.Time{}); err != nil {
			return err
		}
		for _, t := range request.Tables {
			s := frame.TableState{Table: t, Content: x.follower(t).Content()}
			if err := conn.Send(frame.KindTable, s); err != nil {
				return err
			}
		}
	}
}

// follower returns the follower of a table.
func (x *Exchange) follower(t catalog.Table) *catalog.Follower {
	if t == catalog.TableServers {
		return x.cfg.ServersFollower
	}
	return x.cfg.DeclaredFollower
}

// ServeHTTP accepts the connection of a peer and returns when it has ended. The
// peer token must be checked before ServeHTTP is called.
func (x *Exchange) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, err := frame.Accept(w, r)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	var hello frame.EntryHello
	if err := conn.Expect(frame.KindEntryHello, &hello, x.receiveDeadline()); err != nil {
		x.cfg.Log.EventWithError(eventPeerDisconnected, err, eventlog.Fields{"peer": conn.Peer()})
		return
	}
	conn.SetPeer(hello.Instance.ID)
	x.AddPeer(hello.Instance.Addr)
	x.cfg.LoadTracker.ResetPeerLoads(hello.Instance.ID)
	err = x.receiveFrames(conn, hello.Instance.ID)
	x.cfg.Log.EventWithError(eventPeerDisconnected, err, eventlog.Fields{"peer": hello.Instance.ID, "from": "accepted"})
}

// receiveDeadline returns the time by which the next message must arrive.
func (x *Exchange) receiveDeadline() time.Time { return x.cfg.Clock.Now().Add(receiveTimeout) }

// receiveFrames handles the messages of a peer until the connection ends.
func (x *Exchange) receiveFrames(conn *frame.Conn, peer string) error {
	lags := map[catalog.Table]*lag{catalog.TableDeclared: {}, catalog.TableServers: {}}
	for {
		f, err := conn.Receive(x.receiveDeadline())
		if err != nil {
			return err
		}
		switch f.Kind {
		case frame.KindLoadUpdate:
			var update frame.LoadUpdate
			if err := f.Decode(&update); err != nil {
				return err
			}
			x.cfg.LoadTracker.UpdatePeerLoads(peer, update.RunningByServer)
			x.applyAges(update.DeclaredVersions)
			if err := x.requestTables(conn, peer, update, lags); err != nil {
				return err
			}
		case frame.KindTable:
			var t frame.TableState
			if err := f.Decode(&t); err != nil {
				return err
			}
			x.follower(t.Table).AdoptIfNewer(t.Content, peer)
		}
	}
}

// requestTables requests from the peer each table of which the peer has a revision
// that the store has not delivered here for too long; see lag.overdue. A table
// that was requested within maxLag is not requested again.
func (x *Exchange) requestTables(conn *frame.Conn, peer string, update frame.LoadUpdate, lags map[catalog.Table]*lag) error {
	var request frame.TableRequest
	now := x.cfg.Clock.Now()
	for t, peerRevision := range map[catalog.Table]uint64{
		catalog.TableDeclared: update.DeclaredRevision, catalog.TableServers: update.ServersRevision,
	} {
		if lags[t].overdue(x.follower(t).ChangeRevision(), peerRevision, now) && x.allowRequest(t, now) {
			request.Tables = append(request.Tables, t)
		}
	}
	if len(request.Tables) == 0 {
		return nil
	}
	x.cfg.Log.Event(eventTablesRequested, eventlog.Fields{"peer": peer, "tables": len(request.Tables)})
	return conn.Send(frame.KindTableRequest, request)
}
