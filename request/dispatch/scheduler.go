package dispatch

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"

	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/process/eventlog"
	"github.com/rattanway/rattanway/version/catalog"
)

// Reasons for which a request gets no slot.
var (
	// ErrFull is returned when there are servers that can run the request, but
	// none of them has a free slot now.
	ErrFull = errors.New("every server is full")
	// ErrNoServer is returned when no server can run the request.
	ErrNoServer = errors.New("no server can run it")
	// ErrRetryBudget is returned when the retry budget does not allow another
	// attempt.
	ErrRetryBudget = errors.New("too many repeats")
	// ErrQuarantined is returned for a request under which servers have ended, or under a
	// part of whose prompt they have.
	ErrQuarantined = errors.New("servers ended under this request or a part of its prompt")
)

// Config holds the settings of a [Scheduler].
type Config struct {
	// DataCentre is the data centre of this entry instance.
	DataCentre string
	// Regions maps each data centre to its region.
	Regions map[string]string
	// RetryLimits limits the retries of the requests to each service.
	RetryLimits RetryLimits
	// WeightsDueAfter is the time from the declaration of a version of the weights
	// until this version becomes mandatory. From then on, requests run only on this
	// version or a newer one.
	WeightsDueAfter time.Duration
	// MaxWaitShare is the fraction of a request's objective for which the request
	// may wait for a slot.
	MaxWaitShare float64
	// Log receives an event when a prompt part is quarantined or released; nil discards
	// the events.
	Log *eventlog.Logger
	// OnPartChange receives each prompt part that has been quarantined or released and
	// under which this entry instance saw a server end or run on; one that has been
	// released has no ends. It must not block; nil ignores the parts.
	OnPartChange func(frame.SuspectPart)
	// Metrics registers the metrics; nil discards them.
	Metrics metrics.Registry
}

// maxServerQueueLength is the maximum number of requests in a server's own queue.
// A server fills its slots at the start of each pass of its engine. With one
// request in the queue, the server can use a slot that becomes free in the next
// pass; without one, the slot stays empty for one pass more. Further queued
// requests delay the first token by more than they gain (docs/design/load.md).
const maxServerQueueLength = 1

// Scheduler assigns slots at servers to requests and keeps a queue of the
// requests that wait for a slot. It is safe for concurrent use.
type Scheduler struct {
	cfg    Config
	holder *catalog.Holder
	clock  clockwork.Clock

	mu           sync.Mutex
	servers      map[string]*serverState // by server ID
	notices      *serverNotices
	peers        *peerLoads
	quarantine   *PartQuarantine
	agents       map[string]agentReport // by server address
	provenLoads  provenLoads
	startedAt    time.Time
	retryBudgets map[string]*RetryBudget // by service name
	// shortAt holds when all servers were last full for a request, by service name.
	shortAt map[string]time.Time
	// pendingBegins holds the requests that servers with weights have not begun.
	pendingBegins map[*PendingBegin]bool
	// waiting is the queue, ordered by priority and then by arrival.
	waiting []*waiter
	// choiceCount is the number of choices of a server so far. Each choice begins its
	// search at the index choiceCount, modulo the number of candidates, so that
	// equally loaded servers are chosen in turn.
	choiceCount int
	// assignedCount is the number of slots assigned to waiting requests so far.
	assignedCount int
	// lastPeerAssign is when the last report of a source led to an attempt to assign
	// slots.
	lastPeerAssign time.Time
	// listedInstanceCount is the number of entry instances whose addresses are known,
	// including this one.
	listedInstanceCount int
	// listedPlace is the place of this entry instance among these; see rankPlace.
	listedPlace float64
	// changes numbers the changes of what is reported to other entry instances.
	changes *changeCounter
	times   serverTimes
	// urgency holds the services whose requests have more than one priority.
	urgency      urgency
	urgencyStats *urgencyStats
	flows        dataCentreFlows
	// onChoice receives the candidates of each choice of a server; nil except in the copy
	// that Explain makes.
	onChoice func(req *Request, all []Candidate)
}

// serverState holds what this entry instance has recorded about a server.
type serverState struct {
	// runningCount is the number of this entry instance's requests at the server.
	runningCount    int
	coldRateLimiter SharedRateLimiter
	burstLimiter    BurstLimiter
	health          PassiveHealth
	stallDetector   StallDetector
	// seenWeights holds the weights of each model that the server held at the last search
	// for a slot.
	seenWeights map[string]seenWeights
	// lastPlaceSince is when only the place in the server's queue was first found free;
	// zero if that is not so.
	lastPlaceSince time.Time
	// lastResponseAt is when the server last sent something; zero if it has not.
	lastResponseAt time.Time
	// stalledAt is when the last attempt ended that stalled; zero if the server has sent
	// something since. silenceCountedAt is when an attempt last counted as a failure
	// because it stalled.
	stalledAt, silenceCountedAt time.Time

	requestLimit requestLimit
	// limitRateLimiter counts the requests since the server has named a limit.
	limitRateLimiter SharedRateLimiter
	// work is that of this entry instance's requests.
	work ownWork
}

// waiter is a request that waits for a slot.
type waiter struct {
	request *Request
	// slot receives the slot that is assigned to the request.
	slot chan Slot
	// assigned is true once a slot has been sent to the channel slot.
	assigned bool
	// quarantined is closed if a part of the request's prompt is quarantined.
	quarantined chan struct{}
	// paused is closed if all servers that can run the request are paused until after
	// waitsUntil, the end of the wait. waitsUntil is zero if nothing waits on paused.
	paused     chan struct{}
	waitsUntil time.Time
	// enqueuedAt is when the request began to wait. usualLeft is the time to the deadline
	// with which clients of its route usually arrive; 0 if that is not known.
	enqueuedAt time.Time
	usualLeft  time.Duration
}

func newWaiter(req *Request) *waiter {
	w := &waiter{request: req}
	w.openChannels()
	return w
}

// openChannels makes the channels of a request that begins to wait.
func (w *waiter) openChannels() {
	w.slot, w.quarantined, w.paused = make(chan Slot, 1), make(chan struct{}), make(chan struct{})
}

// NewScheduler returns a [Scheduler] that uses the servers and the
// configuration of holder.
func NewScheduler(cfg Config, holder *catalog.Holder, clock clockwork.Clock) *Scheduler {
	if cfg.Log == nil {
		cfg.Log = eventlog.Discard()
	}
	if cfg.OnPartChange == nil {
		cfg.OnPartChange = func(frame.SuspectPart) {}
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewRegistry()
	}
	changes := &changeCounter{}
	return &Scheduler{
		cfg: cfg, changes: changes, quarantine: NewPartQuarantine(changes), holder: holder, clock: clock,
		servers: map[string]*serverState{}, notices: newServerNotices(), peers: newPeerLoads(),
		agents: map[string]agentReport{}, provenLoads: provenLoads{}, startedAt: clock.Now(), retryBudgets: map[string]*RetryBudget{},
		shortAt: map[string]time.Time{}, pendingBegins: map[*PendingBegin]bool{},
		times:        newServerTimes(cfg.Metrics),
		urgencyStats: newUrgencyStats(cfg.Metrics),
		flows:        newDataCentreFlows(cfg.Metrics, cfg.Log),
	}
}

// assignInterval is the time between two attempts of Run to assign slots to
// waiting requests. A server can become usable without the release of a slot, for
// example at the end of its backoff.
const assignInterval = 20 * time.Millisecond

// minPeerAssignInterval is the least time between two attempts to assign slots because
// of reports. In a large deployment several hundred reports arrive per second; Run
// makes up for those that are skipped.
const minPeerAssignInterval = 10 * time.Millisecond

// Run assigns slots to waiting requests and recalls requests from servers with outdated
// weights, periodically until ctx ends.
func (s *Scheduler) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.clock.After(assignInterval):
		}
		s.recallOutdated(s.clock.Now())
		s.mu.Lock()
		s.observeQueues(s.clock.Now())
		s.urgencyStats.reserved.Update(int64(s.reservationCount(s.clock.Now())))
		if len(s.waiting) > 0 {
			s.assignWaiting()
		}
		s.mu.Unlock()
	}
}

// TryAcquire returns a slot for a request, or false if no server that can run it, other than
// those in req.TriedServers, has a free one now. The caller must give the slot back with
// Release.
func (s *Scheduler) TryAcquire(req *Request) (Slot, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	slot, err := s.assign(req)
	return slot, err == nil
}

// enqueue inserts a request into the queue, after all requests with the same
// priority. The caller holds s.mu.
func (s *Scheduler) enqueue(w *waiter) {
	i := len(s.waiting)
	for i > 0 && w.request.Priority < s.waiting[i-1].request.Priority {
		i--
	}
	s.waiting = slices.Insert(s.waiting, i, w)
}

// Release gives a slot back and records the outcome of the request at the slot's
// server.
func (s *Scheduler) Release(slot Slot, o Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stateOf(slot.Server.ID)
	s.flows.recordEnd(slot, o, s.clock.Now())
	st.end(slot)
	s.recordOutcome(slot, o)
	if o == Stalled {
		st.recordStall(slot, s.clock.Now())
	} else {
		st.health.Record(o, s.clock.Now())
	}
	s.assignWaiting()
}

// RecordActivity records that the server of a slot has sent something, so that
// the server does not count as stalled.
func (s *Scheduler) RecordActivity(slot Slot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stateOf(slot.Server.ID)
	st.lastResponseAt, st.stalledAt = s.clock.Now(), time.Time{}
	st.stallDetector.RecordActivity(st.lastResponseAt)
	st.health.RecordActivity()
}

// assignWaiting assigns free slots to waiting requests until no more can be
// assigned. The caller holds s.mu.
func (s *Scheduler) assignWaiting() {
	for s.assignNext(nil, map[requirements]error{}) {
	}
}

// assignNext assigns a slot to the first waiting request that can get one, and
// reports whether there was such a request. If before is not nil, only the requests that go
// before this one are considered. unassignable receives the requirements for which there is
// no slot: while capacity is short, many requests with the same requirements wait. The
// caller holds s.mu.
func (s *Scheduler) assignNext(before *waiter, unassignable map[requirements]error) bool {
	now := s.clock.Now()
	order := s.order(now)
	defer clear(order) // the requests that they point to hold bodies
	for _, w := range order {
		if w.waiter == before {
			break
		}
		needs, shared := s.requirementsOf(w.request, now)
		if shared && unassignable[needs] != nil {
			continue
		}
		slot, err := s.assign(w.request)
		if err != nil {
			if shared {
				unassignable[needs] = err
			}
			continue
		}
		s.waiting = slices.DeleteFunc(s.waiting, func(other *waiter) bool { return other == w.waiter })
		s.assignedCount++
		w.assigned = true
		slot.countedFor = s.recordQueueSlot(w.waiter, now)
		w.slot <- slot
		return true
	}
	return false
}

// assign chooses a server for a request and counts the request there. The error
// is [ErrFull], [ErrPaused], [ErrNoServer] or [ErrQuarantined]. The caller holds s.mu.
func (s *Scheduler) assign(req *Request) (Slot, error) {
	if _, held := s.quarantine.Holds(req.PromptParts, s.clock.Now()); held {
		return Slot{}, ErrQuarantined
	}
	all := s.candidates(req)
	s.recordShortage(req.Service, all, s.clock.Now())
	if len(all) == 0 {
		return Slot{}, ErrNoServer
	}
	s.reserve(req, all, s.clock.Now())
	if s.onChoice != nil {
		s.onChoice(req, all)
	}
	s.choiceCount++
	i := s.choose(all, req)
	if i < 0 {
		if _, paused := earliestPauseEnd(all); paused {
			return Slot{}, ErrPaused
		}
		return Slot{}, ErrFull
	}
	slot := all[i].Slot
	slot.assignedAt = s.clock.Now()
	st := s.stateOf(slot.Server.ID)
	s.startWork(&slot, st, req, &all[i])
	if st.runningCount == 0 {
		st.stallDetector.RecordActivity(s.clock.Now())
	}
	st.runningCount++
	st.coldRateLimiter.RecordSend(s.clock.Now(), coldWindow)
	if st.requestLimit.limited {
		st.limitRateLimiter.RecordSend(s.clock.Now(), maxLimitWindow)
	}
	st.burstLimiter.RecordSend(s.clock.Now())
	return slot, nil
}

// candidates returns the servers that could run a request. Those that must not
// get any request now have a limit of 0. The caller holds s.mu.
func (s *Scheduler) candidates(req *Request) []Candidate {
	snapshot := s.holder.Current()
	now := s.clock.Now()
	req.updateRegions(snapshot)
	s.peers.expire(now)
	service := snapshot.Config.Services[req.Service]
	listed, engine := snapshot.ServersOf(req.Service), s.times.engineOf(service)
	all := make([]Candidate, 0, len(listed))
	for _, server := range listed {
		if !s.allowed(server, req, snapshot) {
			continue
		}
		version, lacks := s.exclusionByWeights(server, req, snapshot, now)
		if lacks != NotExcluded && !s.awaitsProof(lacks, now) {
			continue
		}
		st, limit := s.stateOf(server.ID), maxRequestsAt(server)
		remote := server.DataCentre != s.cfg.DataCentre
		c := Candidate{
			Slot: Slot{
				Server: server, Version: version, RunningCount: st.runningCount + s.peers.running(server.ID), Remote: remote,
			},
			Limit:       limit,
			PausedUntil: s.pauseEnd(server, now),
			Penalty:     st.health.Penalty(),
		}
		s.estimateAt(&c, st, req, engine, now)
		c.Deferred = !s.burstAllows(st, server, req, version, limit-c.Slot.RunningCount, now)
		if c.Excluded = lacks; lacks == NotExcluded {
			c.Excluded = s.exclusionByState(&c, st, req, service, now)
		}
		if c.Excluded != NotExcluded {
			c.Limit = 0
		}
		all = append(all, c)
	}
	return all
}

// stateOf returns the state of the server with the given ID, and creates the
// state if there is none. The caller holds s.mu.
func (s *Scheduler) stateOf(id string) *serverState {
	st, ok := s.servers[id]
	if !ok {
		st = &serverState{}
		s.servers[id] = st
	}
	return st
}

// RemoveUnlistedServers removes the state of the servers that the catalog no
// longer lists and that have no running requests of this entry instance.
func (s *Scheduler) RemoveUnlistedServers() {
	listed := s.holder.Current().Servers
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, st := range s.servers {
		if listed[id] == nil && st.runningCount == 0 {
			delete(s.servers, id)
		}
	}
	s.notices.prune(listed, s.clock.Now())
	s.provenLoads.prune(listed, s.agents)
	s.assignWaiting()
}
