package exchange

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	gometrics "github.com/rcrowley/go-metrics"
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

// relayedAgentTimeout is how long the agents of another data centre are kept after
// the last connection through which that data centre was followed has ended.
const relayedAgentTimeout = 3 * time.Second

// redialPauses are the pauses before a peer is dialled again.
var redialPauses = dial.Backoff{MinDelay: 100 * time.Millisecond, MaxDelay: time.Second, ResetAfter: time.Second}

var (
	eventPeerConnected = eventlog.Define(150, "exchange-peer", logrus.InfoLevel,
		"This entry instance connected to another entry instance.")
	eventPeerDisconnected = eventlog.Define(151, "exchange-peer-gone", logrus.InfoLevel,
		"The connection to or from another entry instance failed or ended; the side that opened it dials again.")
	eventTablesRequested = eventlog.Define(152, "exchange-want", logrus.InfoLevel,
		"Another entry instance has a newer revision of a table than the store has delivered to this entry instance, which requests the table from the other.")
	eventTableRejected = eventlog.Define(156, "exchange-table-rejected", logrus.WarnLevel,
		"A table that another entry instance sent could not be adopted, because this process does not have the values that its patches change; the table is requested again.")
	eventFollowing = eventlog.Define(153, "exchange-follow", logrus.InfoLevel,
		"This entry instance receives the load and the agents of another data centre from an entry instance there.")
	eventFollowingEnded = eventlog.Define(154, "exchange-follow-gone", logrus.InfoLevel,
		"The connection through which this entry instance followed another data centre failed or ended; it follows through another entry instance there.")
	eventEvidenceRejected = eventlog.Define(155, "exchange-evidence-rejected", logrus.WarnLevel,
		"A report of another entry instance about what it observed at backend servers has invalid entries, which are not used.")
)

// LoadReport is the load of one entry instance or of a whole data centre.
type LoadReport struct {
	// RunningByServer maps the ID of a backend server to the number of requests
	// there, but holds only the numbers that have changed since the last report.
	RunningByServer map[string]int
	// Complete is true if RunningByServer holds all numbers.
	Complete bool
	// InstanceCount is the number of entry instances whose requests are counted.
	InstanceCount int
	// Remote is true if these entry instances are in another data centre.
	Remote bool
	// DataCentre is the data centre of these entry instances.
	DataCentre string
}

// LoadTracker provides the request counts of this entry instance and stores those of
// its peers.
type LoadTracker interface {
	// RunningByServer returns the number of requests that this entry instance runs
	// at each backend server, by server ID.
	RunningByServer() map[string]int
	// RunningInDataCentre returns the same for all entry instances of this data
	// centre, and the number of these entry instances.
	RunningInDataCentre() (running map[string]int, instanceCount int)
	// UpdatePeerLoads updates the counts of a peer or of a followed data centre.
	UpdatePeerLoads(source string, r LoadReport)
	// SetEntryInstances sets the number of known entry instances, including this one,
	// and the position of this one in the order of their addresses, from 0.
	SetEntryInstances(count, position int)
}

// EvidenceTracker holds what entry instances have observed at backend servers.
type EvidenceTracker interface {
	// Evidence returns what has changed since the change with number since in the given
	// scope, and the number of the last change.
	Evidence(since uint64, s EvidenceScope) (frame.Evidence, uint64)
	// MergeEvidence adds what another entry instance of this data centre (near) or of
	// another one has observed. The error names what is invalid; the valid parts are
	// added nevertheless.
	MergeEvidence(e frame.Evidence, near bool) error
}

// EvidenceScope selects changes of evidence by where they were observed.
type EvidenceScope int

// The values of EvidenceScope.
const (
	ObservedAnywhere EvidenceScope = iota
	ObservedNear                   // in this data centre
	ObservedHere                   // by this entry instance
)

// AgentDirectory holds the agents of all data centres.
type AgentDirectory interface {
	// LocalAgents returns the connected agents of this data centre by server address.
	LocalAgents() map[string]frame.RelayedAgent
	// UpdateRelayed updates the agents of another data centre: agents holds those that
	// are new or have changed, gone the server addresses of those that have
	// disconnected. If complete is true, agents holds all of them.
	UpdateRelayed(dataCentre string, complete bool, agents []frame.RelayedAgent, gone []string)
	// DropRelayed removes all agents of another data centre.
	DropRelayed(dataCentre string)
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
	// Agents provides and receives the agents.
	Agents AgentDirectory
	// Evidence provides and receives what was observed at backend servers.
	Evidence EvidenceTracker
	// Log receives the events of connections and table requests.
	Log *eventlog.Logger
	// Clock is the time source.
	Clock clockwork.Clock
	// Metrics registers the metrics; nil discards them.
	Metrics gometrics.Registry
	// Dial opens the network connections to other entry instances; nil means
	// dial.DialContext.
	Dial dial.Func
}

// Exchange holds the connections to the other entry instances; planConnections
// decides which. An entry instance sends its own counts only on connections that it
// has dialled itself, so that two entry instances have one connection for each
// direction. Exchange is safe for concurrent use.
type Exchange struct {
	cfg Config
	mu  sync.Mutex
	// known maps the addresses of the other known entry instances to their data
	// centres; a name is empty if the data centre is unknown.
	known map[string]string
	// learned lists what known holds, in the order in which it became known. An
	// address is listed again when its data centre becomes known.
	learned []frame.EntryAddr
	// knownChanged is closed and replaced when known changes.
	knownChanged chan struct{}
	// followed holds the data centres that are followed through a connection now.
	followed map[string]bool
	// requests holds the requests for tables that wait for a response.
	requests map[catalog.Table]tableRequest
	// peerReads holds what the entry instances of this data centre read from the
	// store, by the ID of the entry instance.
	peerReads map[string]peerRead
	// changeQueues are the queues of the connections on which changes of tables may be
	// sent, with the address of the peer.
	changeQueues map[chan frame.TableChanges]string
	metrics      exchangeMetrics
}

// New returns an Exchange without connections; Run opens them.
func New(cfg Config) *Exchange {
	if cfg.Dial == nil {
		cfg.Dial = dial.DialContext
	}
	return &Exchange{
		cfg: cfg, known: map[string]string{}, knownChanged: make(chan struct{}), followed: map[string]bool{},
		requests: map[catalog.Table]tableRequest{}, peerReads: map[string]peerRead{},
		changeQueues: map[chan frame.TableChanges]string{}, metrics: newExchangeMetrics(cfg.Metrics),
	}
}

// AddPeer adds the entry instance at addr to the known ones. dataCentre is empty if
// it is unknown; a data centre that is already known is kept.
func (x *Exchange) AddPeer(addr, dataCentre string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	old, ok := x.known[addr]
	if addr == "" || addr == x.cfg.Self.Addr || ok && (dataCentre == "" || old != "") {
		return
	}
	x.known[addr] = dataCentre
	x.learned = append(x.learned, frame.EntryAddr{Addr: addr, DataCentre: dataCentre})
	position := 0
	for other := range x.known {
		if other < x.cfg.Self.Addr {
			position++
		}
	}
	x.cfg.LoadTracker.SetEntryInstances(len(x.known)+1, position)
	close(x.knownChanged)
	x.knownChanged = make(chan struct{})
}

// KnownEntries returns all known entry instances, including this one, and a channel
// that is closed when there are more.
func (x *Exchange) KnownEntries() ([]frame.EntryAddr, <-chan struct{}) {
	x.mu.Lock()
	defer x.mu.Unlock()
	all := []frame.EntryAddr{{Addr: x.cfg.Self.Addr, DataCentre: x.cfg.Self.DataCentre}}
	for addr, dataCentre := range x.known {
		all = append(all, frame.EntryAddr{Addr: addr, DataCentre: dataCentre})
	}
	return all, x.knownChanged
}

// learnedSince returns the elements of learned from index n on.
func (x *Exchange) learnedSince(n int) []frame.EntryAddr {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.learned[n:len(x.learned):len(x.learned)]
}

// plan returns the connections that this entry instance should have, and a channel
// that is closed when they may have changed.
func (x *Exchange) plan() (connectionPlan, <-chan struct{}) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return planConnections(x.cfg.Self, x.known), x.knownChanged
}

// Run keeps the planned connections open until ctx ends.
func (x *Exchange) Run(ctx context.Context) error {
	var connections sync.WaitGroup
	defer connections.Wait()
	// peerCancels and followCancels hold a function that ends the work for each address
	// of plan.peers and for each data centre of plan.followed.
	peerCancels, followCancels := map[string]context.CancelFunc{}, map[string]context.CancelFunc{}
	for {
		plan, changed := x.plan()
		for addr := range plan.peers {
			startOnce(ctx, &connections, peerCancels, addr, x.maintainPeer)
		}
		for dataCentre := range plan.followed {
			startOnce(ctx, &connections, followCancels, dataCentre, x.followDataCentre)
		}
		for addr, cancel := range peerCancels {
			if !plan.peers[addr] {
				cancel()
				delete(peerCancels, addr)
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// startOnce runs work for name in a goroutine of group, unless cancels has name, and
// adds the function that ends the work to cancels.
func startOnce(ctx context.Context, group *sync.WaitGroup, cancels map[string]context.CancelFunc, name string, work func(context.Context, string)) {
	if cancels[name] != nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	cancels[name] = cancel
	group.Go(func() {
		defer cancel()
		work(ctx, name)
	})
}

// maintainPeer dials the entry instance at addr, and redials it after each lost
// connection, until ctx ends.
func (x *Exchange) maintainPeer(ctx context.Context, addr string) {
	session := func(ctx context.Context, timeout time.Duration) error { return x.runSession(ctx, addr, timeout) }
	dial.KeepConnected(ctx, x.cfg.Clock, redialPauses, session, func(err error) {
		x.cfg.Log.EventWithError(eventPeerDisconnected, err, eventlog.Fields{"peer": addr})
	})
}

// runSession opens a connection to a peer within timeout and sends the request
// counts on the connection until it ends. On the same connection it serves the table
// requests of the peer.
func (x *Exchange) runSession(ctx context.Context, addr string, timeout time.Duration) error {
	conn, err := frame.DialWith(x.cfg.Dial, addr, Path, x.cfg.Token, timeout)
	if err != nil {
		return err
	}
	defer x.metrics.connectionsEnded.Inc(1)
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	hello := frame.EntryHello{Instance: x.cfg.Self, RequestsHello: true, Patches: true}
	if err := conn.Send(frame.KindEntryHello, hello); err != nil {
		return err
	}
	x.cfg.Log.Event(eventPeerConnected, eventlog.Fields{"peer": addr})
	x.retryStore()
	return x.newSender(conn, addr).run(ctx)
}

// followDataCentre receives the load and the agents of a data centre from one of its
// entry instances, and chooses another one after each lost connection, until ctx
// ends.
func (x *Exchange) followDataCentre(ctx context.Context, dataCentre string) {
	failedAt := map[string]time.Time{}
	lastFollowed := x.cfg.Clock.Now()
	session := func(ctx context.Context, timeout time.Duration) error {
		plan, _ := x.plan()
		addrs := plan.followed[dataCentre]
		if len(addrs) == 0 {
			return nil
		}
		addr := chooseRelay(x.cfg.Self.ID, addrs, failedAt, x.cfg.Clock.Now())
		connected, err := x.runFollowSession(ctx, addr, dataCentre, timeout)
		now := x.cfg.Clock.Now()
		failedAt[addr] = now
		if connected {
			lastFollowed = now
		} else if now.Sub(lastFollowed) >= relayedAgentTimeout {
			x.cfg.Agents.DropRelayed(dataCentre)
		}
		return err
	}
	dial.KeepConnected(ctx, x.cfg.Clock, redialPauses, session, func(err error) {
		x.cfg.Log.EventWithError(eventFollowingEnded, err, eventlog.Fields{"dataCentre": dataCentre})
	})
}

// runFollowSession opens a connection to the entry instance at addr within timeout
// and receives the reports about its data centre until the connection ends.
// connected is true if the connection was opened.
func (x *Exchange) runFollowSession(ctx context.Context, addr, dataCentre string, timeout time.Duration) (connected bool, err error) {
	conn, err := frame.DialWith(x.cfg.Dial, addr, Path, x.cfg.Token, timeout)
	if err != nil {
		return false, err
	}
	defer x.metrics.connectionsEnded.Inc(1)
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	if err := conn.Send(frame.KindEntryHello, frame.EntryHello{Instance: x.cfg.Self, Subscribes: true}); err != nil {
		return true, err
	}
	x.cfg.Log.Event(eventFollowing, eventlog.Fields{"dataCentre": dataCentre, "peer": addr})
	x.retryStore()
	x.setFollowed(dataCentre, true)
	defer x.setFollowed(dataCentre, false)
	r := receiver{x: x, conn: conn, source: "data centre " + dataCentre, dataCentre: dataCentre, follows: true}
	return true, r.run()
}

// setFollowed records whether a data centre is followed through a connection.
func (x *Exchange) setFollowed(dataCentre string, followed bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.followed[dataCentre] = followed
}

// isFollowed reports whether a data centre is followed through a connection.
func (x *Exchange) isFollowed(dataCentre string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.followed[dataCentre]
}

// ServeHTTP accepts the connection of a peer and returns when it has ended. The
// peer token must be checked before ServeHTTP is called.
func (x *Exchange) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, err := frame.Accept(w, r)
	if err != nil {
		return
	}
	defer x.metrics.connectionsEnded.Inc(1)
	defer func() { _ = conn.Close() }()
	var hello frame.EntryHello
	if err := conn.Expect(frame.KindEntryHello, &hello, x.cfg.Clock.Now().Add(receiveTimeout)); err != nil {
		x.cfg.Log.EventWithError(eventPeerDisconnected, err, eventlog.Fields{"peer": conn.Peer()})
		return
	}
	peer := hello.Instance
	conn.SetPeer(peer.ID)
	x.AddPeer(peer.Addr, peer.DataCentre)
	x.retryStore()
	if hello.RequestsHello {
		err = conn.Send(frame.KindEntryHello, frame.EntryHello{Instance: x.cfg.Self, Patches: true})
	}
	switch {
	case err != nil:
	case hello.Subscribes:
		err = x.newSender(conn, "").run(context.Background())
	default:
		err = (&receiver{x: x, conn: conn, source: peer.ID, dataCentre: peer.DataCentre}).run()
		x.forgetReads(peer.ID)
	}
	x.cfg.Log.EventWithError(eventPeerDisconnected, err, eventlog.Fields{"peer": peer.ID, "from": "accepted"})
}

// retryStore makes the followers call the store now if they do not reach it: a peer has
// connected or has been reached, so a cut of this machine may be over.
func (x *Exchange) retryStore() {
	x.cfg.DeclaredFollower.RetryNow()
	x.cfg.ServersFollower.RetryNow()
}

// follower returns the follower of a table.
func (x *Exchange) follower(t catalog.Table) *catalog.Follower {
	if t == catalog.TableServers {
		return x.cfg.ServersFollower
	}
	return x.cfg.DeclaredFollower
}
