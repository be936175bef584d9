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

// Path is where an entry instance takes the connections of others.
const Path = "/internal/exchange"

const (
	// tick is the time between two messages while counts change: in it a
	// server of 12 requests a second gets about half a request.
	tick = 50 * time.Millisecond
	// heartbeat is the time between two messages on a quiet connection, and
	// silentAfter how long the other side waits for one.
	heartbeat   = 500 * time.Millisecond
	silentAfter = 2 * time.Second
)

// redial are the pauses before a peer is dialled again.
var redial = dial.Pauses{Least: 100 * time.Millisecond, Most: time.Second, Steady: time.Second}

var (
	eventPeer = eventlog.Define(150, "exchange-peer", logrus.InfoLevel,
		"This entry instance is connected to another one.")
	eventPeerGone = eventlog.Define(151, "exchange-peer-gone", logrus.InfoLevel,
		"The connection to another entry instance failed or ended; it is dialled again.")
	eventWant = eventlog.Define(152, "exchange-want", logrus.InfoLevel,
		"Another entry instance knows a newer table than the store has brought here; it is asked for it.")
)

// Loads is what is told of this instance's load and learned of the others'.
type Loads interface {
	// Running returns the number of requests running at each server.
	Running() map[string]int
	// PeerBegan and PeerLoads take in what another instance tells.
	PeerBegan(peer string)
	PeerLoads(peer string, running map[string]int)
}

// Config holds what an Exchange needs.
type Config struct {
	// Self is this entry instance.
	Self core.Instance
	// Token authenticates our processes to each other.
	Token string
	// Holder gives and takes the ages of declared weights.
	Holder *catalog.Holder
	// Declared and Servers follow the tables.
	Declared, Servers *catalog.Follower
	// Loads is what is exchanged.
	Loads Loads
	// Log takes a line for each change.
	Log *eventlog.Logger
	// Clock gives the time.
	Clock clockwork.Clock
}

// Exchange holds the connections to the other entry instances. It is safe for
// concurrent use.
type Exchange struct {
	cfg   Config
	mu    sync.Mutex
	known map[string]bool
	found chan string
	// asked is when each table was last asked for.
	asked map[catalog.Table]time.Time
}

// New returns an Exchange that dials once it runs.
func New(cfg Config) *Exchange {
	return &Exchange{
		cfg: cfg, known: map[string]bool{cfg.Self.Addr: true}, found: make(chan string, 256),
		asked: map[catalog.Table]time.Time{},
	}
}

// Learn begins to dial the entry instance at addr, unless it is known.
func (x *Exchange) Learn(addr string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if addr == "" || x.known[addr] {
		return
	}
	select {
	case x.found <- addr:
		x.known[addr] = true
	default:
	}
}

// Known returns the addresses of all known entry instances.
func (x *Exchange) Known() []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	all := make([]string, 0, len(x.known))
	for addr := range x.known {
		all = append(all, addr)
	}
	return all
}

// Run dials the others until ctx ends.
func (x *Exchange) Run(ctx context.Context) error {
	var all sync.WaitGroup
	defer all.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case addr := <-x.found:
			all.Go(func() {
				tell := func(ctx context.Context, timeout time.Duration) error { return x.tell(ctx, addr, timeout) }
				dial.Keep(ctx, x.cfg.Clock, redial, tell, func(err error) {
					x.cfg.Log.Fail(eventPeerGone, err, eventlog.Fields{"peer": addr})
				})
			})
		}
	}
}

// tell is one connection on which this instance tells another what it runs.
func (x *Exchange) tell(ctx context.Context, addr string, timeout time.Duration) error {
	conn, err := frame.Dial(addr, Path, x.cfg.Token, timeout)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	if err := conn.Send(frame.KindEntryHello, frame.EntryHello{Self: x.cfg.Self}); err != nil {
		return err
	}
	x.cfg.Log.Event(eventPeer, eventlog.Fields{"peer": addr})
	failed := make(chan error, 1)
	go func() { failed <- x.serveWants(conn) }()
	told := map[string]int{}
	var last time.Time
	for {
		l := frame.Loads{
			Declared: x.cfg.Declared.Changed(), Servers: x.cfg.Servers.Changed(),
			Running: changes(told, x.cfg.Loads.Running()),
		}
		now := x.cfg.Clock.Now()
		beat := now.Sub(last) >= heartbeat
		if beat {
			l.Weights = x.ages(now)
		}
		if len(l.Running) > 0 || beat {
			if err := conn.Send(frame.KindLoads, l); err != nil {
				return err
			}
			if beat {
				last = now
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case err := <-failed:
			return err
		case <-x.cfg.Clock.After(tick):
		}
	}
}

// agesWithin is for how long after their declaration the ages of weights are
// told: an instance that was frozen or cut off learns of them too late.
const agesWithin = 20 * time.Second

// ages returns the declared weights that became known lately.
func (x *Exchange) ages(now time.Time) []frame.WantedWeights {
	var all []frame.WantedWeights
	for _, w := range x.cfg.Holder.Current().Declared(now, agesWithin) {
		all = append(all, frame.WantedWeights{
			Model: w.Model, Version: w.Version, AgeMs: now.Sub(w.Known).Milliseconds(),
		})
	}
	return all
}

// learn takes in the ages that another instance tells.
func (x *Exchange) learn(told []frame.WantedWeights) {
	now := x.cfg.Clock.Now()
	for _, w := range told {
		known := now.Add(-time.Duration(w.AgeMs) * time.Millisecond)
		x.cfg.Holder.Learn(catalog.Weights{Model: w.Model, Version: w.Version, Known: known}, now)
	}
}

// changes returns the counts that differ from those told, and notes them.
func changes(told, now map[string]int) map[string]int {
	out := map[string]int{}
	for id, n := range now {
		if told[id] != n {
			out[id], told[id] = n, n
		}
	}
	for id, n := range told {
		if _, ok := now[id]; !ok {
			if n != 0 {
				out[id] = 0
			}
			delete(told, id)
		}
	}
	return out
}

// serveWants sends the tables that the other side asks for.
func (x *Exchange) serveWants(conn *frame.Conn) error {
	for {
		var want frame.Want
		if err := conn.Expect(frame.KindWant, &want, time.Time{}); err != nil {
			return err
		}
		for _, t := range want.Tables {
			s := frame.TableState{Table: t, State: x.follower(t).State()}
			if err := conn.Send(frame.KindTable, s); err != nil {
				return err
			}
		}
	}
}

func (x *Exchange) follower(t catalog.Table) *catalog.Follower {
	if t == catalog.TableServers {
		return x.cfg.Servers
	}
	return x.cfg.Declared
}

// ServeHTTP takes the connection of another instance; the caller has checked
// its token.
func (x *Exchange) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, err := frame.Accept(w, r)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	var hello frame.EntryHello
	if err := conn.Expect(frame.KindEntryHello, &hello, x.due()); err != nil {
		x.cfg.Log.Fail(eventPeerGone, err, eventlog.Fields{"peer": conn.Peer()})
		return
	}
	conn.SetPeer(hello.Self.ID)
	x.Learn(hello.Self.Addr)
	x.cfg.Loads.PeerBegan(hello.Self.ID)
	err = x.listen(conn, hello.Self.ID)
	x.cfg.Log.Fail(eventPeerGone, err, eventlog.Fields{"peer": hello.Self.ID, "from": "accepted"})
}

func (x *Exchange) due() time.Time { return x.cfg.Clock.Now().Add(silentAfter) }

// listen takes in what another instance tells.
func (x *Exchange) listen(conn *frame.Conn, peer string) error {
	behind := map[catalog.Table]*lag{catalog.TableDeclared: {}, catalog.TableServers: {}}
	for {
		f, err := conn.Receive(x.due())
		if err != nil {
			return err
		}
		switch f.Kind {
		case frame.KindLoads:
			var l frame.Loads
			if err := f.Decode(&l); err != nil {
				return err
			}
			x.cfg.Loads.PeerLoads(peer, l.Running)
			x.learn(l.Weights)
			if err := x.ask(conn, peer, l, behind); err != nil {
				return err
			}
		case frame.KindTable:
			var t frame.TableState
			if err := f.Decode(&t); err != nil {
				return err
			}
			x.follower(t.Table).Relay(t.State, peer)
		}
	}
}

// ask asks for the tables of which the store does not bring what the peer knows.
func (x *Exchange) ask(conn *frame.Conn, peer string, l frame.Loads, behind map[catalog.Table]*lag) error {
	var want frame.Want
	now := x.cfg.Clock.Now()
	for t, theirs := range map[catalog.Table]uint64{
		catalog.TableDeclared: l.Declared, catalog.TableServers: l.Servers,
	} {
		if behind[t].missing(x.follower(t).Changed(), theirs, now) && x.mayAsk(t, now) {
			want.Tables = append(want.Tables, t)
		}
	}
	if len(want.Tables) == 0 {
		return nil
	}
	x.cfg.Log.Event(eventWant, eventlog.Fields{"peer": peer, "tables": len(want.Tables)})
	return conn.Send(frame.KindWant, want)
}
