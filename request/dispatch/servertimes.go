package dispatch

import (
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/rattanway/rattanway/process/eventlog"
	"github.com/rattanway/rattanway/request/estimate"
	"github.com/rattanway/rattanway/version/catalog"
)

const (
	// riseWindow is how long a rise of a peer's count at a server counts as prompts that
	// are not read yet: reading a mean prompt takes about 30 ms, and up to half a pass and
	// one report interval pass before.
	riseWindow = 100 * time.Millisecond
	// rateWindow is the time over which the requests of this entry instance are counted.
	rateWindow = time.Second
	// meanReportAge is the mean age of the counts that the others report.
	meanReportAge = burstWindow / 2
	// overdueFactor is the number of expected gaps without an event of any stream here
	// from which a server counts as slow before the next event has come.
	overdueFactor = 1.5
	// slowPace is the pace from which a server is logged as slow, and recoveredPace that
	// below which it is logged as recovered.
	slowPace, recoveredPace = 1.75, 1.25
	// paceLogInterval is the least time between two logged changes of pace. Among 52
	// servers, 26 a second may become slow or recover.
	paceLogInterval = time.Second
	// maxBlockedShare is the largest part of the expected gap for which the write of an
	// event to the client may have blocked. After a longer one, the time until the next
	// event is read says nothing about the server.
	maxBlockedShare = 0.25
	// maxTokens limits the tokens of a request that a client can announce.
	maxTokens = 1 << 20
)

var (
	eventServerSlow = eventlog.Define(557, "server-slow", logrus.InfoLevel,
		"The streams at a model server show that it takes longer than declared; pace is the factor, and unlogged the number of such changes since the last logged one. Requests avoid it while other servers would begin them earlier.")
	eventServerRecovered = eventlog.Define(558, "server-recovered", logrus.InfoLevel,
		"A model server that was slow is about as fast as declared again; the fields are those of server-slow.")
)

// serverTimes estimates, for all model servers, the time to the first event of a request.
type serverTimes struct {
	// engines holds the figures of the declared engines, by service name.
	engines map[string]declaredEngine
	// ownSends counts the requests that this entry instance has sent to model servers.
	ownSends recentCount
	// sorted is memory for the choice of a server.
	sorted []time.Duration
	// lastLogAt is when a change of pace was last logged, and unloggedCount the number of
	// changes since.
	lastLogAt     time.Time
	unloggedCount int
	// firstEventError measures the observed time to a first event, in percent of the
	// expected one. slowCount counts how often a server was found slow.
	firstEventError metrics.Histogram
	slowCount       metrics.Counter
}

// declaredEngine is an engine and its figures; engine is nil if they do not suffice for
// estimates.
type declaredEngine struct {
	declared *catalog.Engine
	engine   *estimate.Engine
}

// maxKnownEngines limits the number of services whose figures are kept.
const maxKnownEngines = 256

func newServerTimes(registry metrics.Registry) serverTimes {
	if registry == nil {
		registry = metrics.NewRegistry()
	}
	return serverTimes{
		engines: map[string]declaredEngine{},
		firstEventError: metrics.GetOrRegisterHistogram("servers.first-event.percent-of-expected", registry,
			metrics.NewExpDecaySample(256, 0.015)),
		slowCount: metrics.GetOrRegisterCounter("servers.slow", registry),
	}
}

// engineOf returns the figures of the model servers of a service; nil without complete ones
// and for a plain service.
func (t *serverTimes) engineOf(service *catalog.Service) *estimate.Engine {
	if service == nil || service.Engine == nil {
		return nil
	}
	known, ok := t.engines[service.Name]
	if ok && known.declared == service.Engine {
		return known.engine
	}
	if len(t.engines) >= maxKnownEngines {
		clear(t.engines)
	}
	known = declaredEngine{declared: service.Engine}
	if e, complete := estimate.NewEngine(service.Engine); complete {
		known.engine = &e
	}
	t.engines[service.Name] = known
	return known.engine
}

// ownWork is the work of this entry instance's requests at a server, and how fast the
// server does it.
type ownWork struct {
	estimate.Work
	pace estimate.Pace
	// lastEventAt is when a stream from the server last had an event.
	lastEventAt time.Time
	// slow is true from the time at which the server was found slow until it has recovered.
	slow bool
}

// slotWork is the work of one request at a server.
type slotWork struct {
	engine       *estimate.Engine
	promptTokens int64
	// expected is the expected time from assignedAt to the first event.
	assignedAt time.Time
	expected   time.Duration
	// contextTokens is the number of tokens of the prompt and the response so far; 0
	// before the first event.
	contextTokens int64
	lastEventAt   time.Time
	// flow is the flow to the data centre of the server, and way the time that the way was
	// expected to add; nil and 0 in the own one.
	flow *dataCentreFlow
	way  time.Duration
	// ended is true once the slot has been given back.
	ended bool
}

// promptTokens returns the number of tokens of a request's prompt: the announced one, or
// the declared mean.
func promptTokens(req *Request, e *estimate.Engine) int64 {
	if req.PromptTokens > 0 {
		return int64(min(req.PromptTokens, maxTokens))
	}
	return e.MeanPromptTokens()
}

// workAt returns the work at a server: exact for the requests of this entry instance, and
// with the declared mean sizes for those of the others. The caller holds s.mu.
func (s *Scheduler) workAt(st *serverState, serverID string, e *estimate.Engine, now time.Time) estimate.Work {
	w := st.work.Work
	others := s.peers.running(serverID)
	begun := min(others, s.peers.recentRise(serverID, now))
	w.AddUnread(int64(begun), e.MeanPromptTokens())
	w.AddGenerating(int64(others-begun), e.MeanContextTokens())
	return w
}

// paceAt returns the pace of a server with the given work. A server whose next event is
// overdue is slow before that event has come.
func (w *ownWork) paceAt(e *estimate.Engine, all estimate.Work, now time.Time) float64 {
	pace := w.pace.At(now)
	if w.Generating == 0 {
		return pace
	}
	gap := e.EventGap(all, 1) + e.ReadTime(w.UnreadTokens, w.UnreadPairs)
	if silence := now.Sub(w.lastEventAt); silence > time.Duration(overdueFactor*float64(gap)) {
		return max(pace, estimate.BoundPace(silence.Seconds()/gap.Seconds()))
	}
	return pace
}

// estimateAt sets the expected time to the first event of a request at the server of a
// candidate. The caller holds s.mu.
func (s *Scheduler) estimateAt(c *Candidate, st *serverState, req *Request, e *estimate.Engine, now time.Time) {
	if e == nil {
		return
	}
	if agent, ok := s.agents[c.Slot.Server.Addr]; ok {
		st.work.pace.Report(agent.state.Pace, agent.receivedAt)
	}
	work := s.workAt(st, c.Slot.Server.ID, e, now)
	c.Expected = e.FirstEvent(work, promptTokens(req, e), st.work.paceAt(e, work, now))
	c.HalfPass = e.PassTime(work) / 2
}

// expectedFirstByte returns the expected time from now until the first byte of the response
// to a request that gets a slot now. It is that of the best server that may get requests;
// at one without a free slot, the request takes the place of one that has just ended. It
// returns false without estimates. The caller holds s.mu.
func (s *Scheduler) expectedFirstByte(req *Request) (time.Duration, bool) {
	service := s.holder.Current().Config.Services[req.Service]
	e := s.times.engineOf(service)
	if e == nil {
		return 0, false
	}
	now := s.clock.Now()
	var best time.Duration
	for _, c := range s.candidates(req) {
		if c.Limit == 0 {
			continue
		}
		expected := c.Expected
		if c.Slot.RunningCount >= c.Slot.Server.Slots {
			st := s.stateOf(c.Slot.Server.ID)
			work := s.workAt(st, c.Slot.Server.ID, e, now)
			work.Generating = min(work.Generating, int64(c.Slot.Server.Slots)-1-work.Unread)
			expected = e.FirstEvent(work, promptTokens(req, e), st.work.paceAt(e, work, now))
		}
		if best == 0 || expected < best {
			best = expected
		}
	}
	return best, best > 0
}

// startWork adds a request that is assigned to a candidate's slot to the work of the
// server. The caller holds s.mu.
func (s *Scheduler) startWork(slot *Slot, st *serverState, req *Request, c *Candidate) {
	e := s.times.engineOf(s.holder.Current().Config.Services[req.Service])
	if e == nil {
		return
	}
	slot.work = &slotWork{engine: e, promptTokens: promptTokens(req, e), assignedAt: slot.assignedAt, expected: c.Expected}
	s.flows.startFlow(slot.work, c, slot.assignedAt)
	st.work.AddUnread(1, slot.work.promptTokens)
	s.times.ownSends.add(slot.assignedAt, rateWindow, 1)
}

// end removes the request of a slot from the server.
func (st *serverState) end(slot Slot) {
	st.runningCount--
	r := slot.work
	if r == nil || r.ended {
		return
	}
	r.ended = true
	switch {
	case r.contextTokens == 0:
		st.work.AddUnread(-1, r.promptTokens)
		if r.flow != nil {
			r.flow.inFlight--
		}
	default:
		st.work.AddGenerating(-1, r.contextTokens)
	}
}

// RecordEvent records that the stream of a slot had an event with data, like
// [Scheduler.RecordActivity]. blocked is the time for which the client blocked the write of
// the previous event.
func (s *Scheduler) RecordEvent(slot Slot, blocked time.Duration) {
	s.RecordActivity(slot)
	if slot.work == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	st, r, now := s.stateOf(slot.Server.ID), slot.work, s.clock.Now()
	if r.ended {
		return
	}
	e := r.engine
	if r.contextTokens == 0 {
		if r.expected > 0 {
			s.times.firstEventError.Update(int64(100 * now.Sub(r.assignedAt) / r.expected))
		}
		s.flows.recordFirstEvent(slot, now)
		st.work.AddUnread(-1, r.promptTokens)
		r.contextTokens = r.promptTokens
		st.work.AddGenerating(1, r.contextTokens)
	} else if shortest := e.PassTime(s.workAt(st, slot.Server.ID, e, now)) + e.ReadTime(st.work.UnreadTokens, st.work.UnreadPairs); float64(blocked) <= maxBlockedShare*float64(shortest) {
		st.work.pace.Observe(now.Sub(r.lastEventAt), shortest, now)
		s.logPace(slot, st, now)
	}
	r.contextTokens += e.StepsPerPass()
	st.work.ContextTokens += e.StepsPerPass()
	r.lastEventAt, st.work.lastEventAt = now, now
}

// logPace logs that a server has become slow or has recovered. The caller holds s.mu.
func (s *Scheduler) logPace(slot Slot, st *serverState, now time.Time) {
	pace := st.work.pace.At(now)
	event := eventServerSlow
	switch {
	case !st.work.slow && pace >= slowPace:
		s.times.slowCount.Inc(1)
	case st.work.slow && pace <= recoveredPace:
		event = eventServerRecovered
	default:
		return
	}
	st.work.slow = !st.work.slow
	if now.Sub(s.times.lastLogAt) < paceLogInterval {
		s.times.unloggedCount++
		return
	}
	s.cfg.Log.Event(event, eventlog.Fields{
		"server": slot.Server.ID, "pace": pace, "running": slot.RunningCount, "unlogged": s.times.unloggedCount,
	})
	s.times.lastLogAt, s.times.unloggedCount = now, 0
}

// unseenCount returns how many requests of the other entry instances their reports have
// probably not shown yet, if they receive as many as this one. The caller holds s.mu.
func (s *Scheduler) unseenCount(now time.Time) int {
	perAge := float64(s.times.ownSends.count(now, rateWindow)) * meanReportAge.Seconds() / rateWindow.Seconds()
	return int(perAge*float64(s.peers.activeCount(false)-1) + 0.5)
}

// choose returns the index of the candidate for a request, or -1. The caller holds s.mu.
func (s *Scheduler) choose(all []Candidate, req *Request) int {
	start := s.choiceCount % len(all)
	if all[0].Expected <= 0 {
		return ChooseCandidate(all, start)
	}
	s.prepareFlows(all, req, s.clock.Now())
	var i int
	i, s.times.sorted = ChooseByTime(all, start, s.unseenCount(s.clock.Now()), s.times.sorted)
	return i
}
