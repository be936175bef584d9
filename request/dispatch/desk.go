package dispatch

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"

	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/version/catalog"
)

// Reasons for which a request gets no place.
var (
	// ErrFull says that every server that could run it has its limit.
	ErrFull = errors.New("every server is full")
	// ErrNone says that no server can run it at all.
	ErrNone = errors.New("no server can run it")
	// ErrRepeats says that it may not be sent again now.
	ErrRepeats = errors.New("too many repeats")
)

// Config holds the settings of a Desk.
type Config struct {
	// DataCentre is where this entry instance stands.
	DataCentre string
	// Regions gives the region of each data centre.
	Regions map[string]string
	// Repeats bounds repeats.
	Repeats RepeatLimits
	// WeightsDue is the age from which declared weights alone are used.
	WeightsDue time.Duration
	// Patience is the share of a request's objective that it may wait here
	// for a place.
	Patience float64
}

// queueAtServer is how many requests may wait in a server's own queue: a place
// that becomes free between two passes of an engine is then taken at the next
// one, and not one pass later. More of them cost more time to the first token
// than they gain (docs/design/load.md).
const queueAtServer = 1

// peerAge is how long another entry instance's counts are believed without a
// message from it; its heartbeat comes twice a second.
const peerAge = 2 * time.Second

// Desk gives requests places at servers. It is safe for concurrent use.
type Desk struct {
	cfg    Config
	holder *catalog.Holder
	clock  clockwork.Clock

	mu      sync.Mutex
	servers map[string]*serverState
	peers   map[string]*peerLoad
	agents  map[string]agentView
	repeats map[string]*Repeats
	waiting []*waiter
	turn    int
	// given counts the places that waiting requests were given.
	given int
}

// serverState is what is known of a server beyond its entry.
type serverState struct {
	running   int
	cold      ColdRate
	burst     Burst
	suspicion Suspicion
	quiet     Quiet
}

// peerLoad is what another entry instance runs.
type peerLoad struct {
	running map[string]int
	heard   time.Time
}

// agentView is what an agent says of its server.
type agentView struct {
	state frame.AgentState
	// loadingSince is when it was first heard that the server loads.
	loadingSince time.Time
}

// waiter is a request that waits for a place.
type waiter struct {
	demand *Demand
	place  chan Place
	given  bool
}

// NewDesk returns a Desk.
func NewDesk(cfg Config, holder *catalog.Holder, clock clockwork.Clock) *Desk {
	return &Desk{
		cfg: cfg, holder: holder, clock: clock,
		servers: map[string]*serverState{}, peers: map[string]*peerLoad{},
		agents: map[string]agentView{}, repeats: map[string]*Repeats{},
	}
}

// First counts a request to a service for the bound on repeats.
func (d *Desk) First(service string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.repeatsOf(service).First(d.clock.Now())
}

// Repeat asks whether a request may be sent to its service once more.
func (d *Desk) Repeat(service string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.repeatsOf(service).Take(d.clock.Now(), d.entries())
}

func (d *Desk) repeatsOf(service string) *Repeats {
	r, ok := d.repeats[service]
	if !ok {
		r = NewRepeats(d.cfg.Repeats)
		d.repeats[service] = r
	}
	return r
}

// entries is the number of entry instances that may be sending; one that fell
// silent counts on.
func (d *Desk) entries() int { return len(d.peers) + 1 }

// heardEntries is the number of entry instances that are sending now; d.mu is
// held.
func (d *Desk) heardEntries(now time.Time) int {
	n := 1
	for _, p := range d.peers {
		if now.Sub(p.heard) < peerAge {
			n++
		}
	}
	return n
}

// pumpEvery is the time between two looks at the waiting requests while no
// place is given back.
const pumpEvery = 20 * time.Millisecond

// Run looks after waiting requests until ctx ends.
func (d *Desk) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.clock.After(pumpEvery):
		}
		d.mu.Lock()
		if len(d.waiting) > 0 {
			d.pump()
		}
		d.mu.Unlock()
	}
}

// Acquire gives the request a place, at once or after a short wait. The place
// must be given back with Release.
func (d *Desk) Acquire(ctx context.Context, q *Demand) (Place, error) {
	d.mu.Lock()
	place, err := d.place(q)
	patience := d.patience(q)
	if err == nil || errors.Is(err, ErrNone) || patience <= 0 {
		d.mu.Unlock()
		return place, err
	}
	w := &waiter{demand: q, place: make(chan Place, 1)}
	d.enqueue(w)
	d.mu.Unlock()
	select {
	case place := <-w.place:
		return place, nil
	case <-d.clock.After(patience):
		err = ErrFull
	case <-ctx.Done():
		err = ctx.Err()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if w.given && ctx.Err() == nil {
		return <-w.place, nil
	}
	d.withdraw(w)
	return Place{}, err
}

// patience is how long a request may wait here.
func (d *Desk) patience(q *Demand) time.Duration {
	now := d.clock.Now()
	most := time.Duration(d.cfg.Patience*float64(q.Objective)) - now.Sub(q.Arrived)
	return min(max(most, q.Patience), q.Deadline.Sub(now))
}

// HasRoom reports whether a server other than those tried could take the
// request now.
func (d *Desk) HasRoom(q *Demand) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return ChooseUnevenZones(d.candidates(q), 0) >= 0
}

// enqueue orders waiting requests by rank, and those of a rank by their
// arrival.
func (d *Desk) enqueue(w *waiter) {
	i := len(d.waiting)
	for i > 0 && w.demand.Rank < d.waiting[i-1].demand.Rank {
		i--
	}
	d.waiting = slices.Insert(d.waiting, i, w)
}

// Release gives a place back with what became of the request.
func (d *Desk) Release(p Place, o Outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	st := d.state(p.Server.ID)
	st.running--
	st.suspicion.Note(o, d.clock.Now())
	d.pump()
}

// Heard notes that the server of a place sent something.
func (d *Desk) Heard(p Place) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.state(p.Server.ID).quiet.Heard(d.clock.Now())
}

// pump gives free places to waiting requests; d.mu is held.
func (d *Desk) pump() {
	for d.giveOne() {
	}
}

// giveOne gives one free place to a waiting request; d.mu is held.
func (d *Desk) giveOne() bool {
	for _, w := range OrderLastingOverload(d.waiting, d.given) {
		place, err := d.place(w.demand)
		if err != nil {
			continue
		}
		d.waiting = slices.DeleteFunc(d.waiting, func(other *waiter) bool { return other == w })
		d.given++
		w.given = true
		w.place <- place
		return true
	}
	return false
}

// place chooses a server for a request and counts it there; d.mu is held.
func (d *Desk) place(q *Demand) (Place, error) {
	all := d.candidates(q)
	if len(all) == 0 {
		return Place{}, ErrNone
	}
	d.turn++
	i := ChooseUnevenZones(all, d.turn%len(all))
	if i < 0 {
		return Place{}, ErrFull
	}
	p := all[i].Place
	st := d.state(p.Server.ID)
	if st.running == 0 {
		st.quiet.Heard(d.clock.Now())
	}
	st.running++
	st.cold.Sent(d.clock.Now())
	st.burst.Sent(d.clock.Now())
	return p, nil
}

// candidates returns the servers that could run a request; d.mu is held.
func (d *Desk) candidates(q *Demand) []Candidate {
	snapshot := d.holder.Current()
	now := d.clock.Now()
	service := snapshot.Config.Services[q.Service]
	listed := snapshot.ServersOf(q.Service)
	all := make([]Candidate, 0, len(listed))
	for _, v := range listed {
		region := d.cfg.Regions[v.DataCentre]
		if v.Leaving || snapshot.Out[v.DataCentre] || q.Tried[v.ID] ||
			!catalog.Allowed(q.RouteRegions, region) || !catalog.Allowed(q.AccountRegions, region) {
			continue
		}
		version, ok := d.versionAt(v, q, snapshot, now)
		if !ok {
			continue
		}
		st, limit := d.state(v.ID), v.Slots+queueAtServer
		c := Candidate{
			Place: Place{
				Server: v, Version: version, Running: d.running(v.ID, st, now),
				Remote: v.DataCentre != d.cfg.DataCentre,
			},
			Limit:   limit,
			Penalty: st.suspicion.Penalty(),
		}
		blocked := st.suspicion.Barred(now) || st.quiet.Barred(now, st.running, q.Objective) ||
			!st.burst.Allows(now, limit-c.Place.Running, d.heardEntries(now))
		if service != nil && service.ColdPerSecond > 0 && v.Cold(now) {
			blocked = blocked || !st.cold.Allows(now, service.ColdPerSecond, d.entries())
		}
		if blocked {
			c.Limit = 0
		}
		all = append(all, c)
	}
	return all
}

// versionAt returns the version of the request's model that a server holds,
// and whether the request may run there.
func (d *Desk) versionAt(v *catalog.Server, q *Demand, s *catalog.Snapshot, now time.Time) (int, bool) {
	if q.Model == "" {
		return 0, true
	}
	version := v.Weights[q.Model]
	if agent, ok := d.agents[v.Addr]; ok {
		if agent.state.Loading {
			return 0, false
		}
		// The agent reads its own server; the listed entry is older.
		version = agent.state.Weights[q.Model]
	}
	if version == 0 || q.Version != 0 && q.Version != version {
		return 0, false
	}
	return version, version >= s.Weights[q.Model].Required(now, d.cfg.WeightsDue)
}

// running is what all entry instances run at a server; d.mu is held.
func (d *Desk) running(id string, st *serverState, now time.Time) int {
	n := st.running
	for _, p := range d.peers {
		if now.Sub(p.heard) < peerAge {
			n += p.running[id]
		}
	}
	return n
}

func (d *Desk) state(id string) *serverState {
	st, ok := d.servers[id]
	if !ok {
		st = &serverState{}
		d.servers[id] = st
	}
	return st
}

// Running returns the number of requests that this entry instance runs at each
// server.
func (d *Desk) Running() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make(map[string]int, len(d.servers))
	for id, st := range d.servers {
		out[id] = st.running
	}
	return out
}

// PeerLoads takes in what another entry instance runs; only counts that changed
// are named.
func (d *Desk) PeerLoads(peer string, running map[string]int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p, ok := d.peers[peer]
	if !ok {
		p = &peerLoad{running: map[string]int{}}
		d.peers[peer] = p
	}
	p.heard = d.clock.Now()
	for id, n := range running {
		p.running[id] = n
	}
	d.pump()
}

// PeerBegan forgets the counts of another entry instance that connects anew.
func (d *Desk) PeerBegan(peer string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peers[peer] = &peerLoad{running: map[string]int{}, heard: d.clock.Now()}
}

// Agent takes in what an agent says of its server; nil forgets it.
func (d *Desk) Agent(server string, state *frame.AgentState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if state == nil {
		delete(d.agents, server)
		return
	}
	since := d.agents[server].loadingSince
	if !d.agents[server].state.Loading {
		since = d.clock.Now()
	}
	d.agents[server] = agentView{*state, since}
	d.pump()
}

// Forget drops what is known of servers that are no longer listed and run
// nothing.
func (d *Desk) Forget() {
	listed := d.holder.Current().Servers
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, st := range d.servers {
		if listed[id] == nil && st.running == 0 {
			delete(d.servers, id)
		}
	}
	d.pump()
}

// RetryAfter is the pause to tell a client that got no place.
func RetryAfter(err error) time.Duration {
	if errors.Is(err, ErrNone) {
		return ReturnAfterDown(rand.Float64())
	}
	return ReturnAfterFull(rand.Float64())
}
