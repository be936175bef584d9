package dispatch

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/connection/exchange"
	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/process/eventlog"
	"github.com/rattanway/rattanway/version/catalog"
)

const (
	timeFleetStep = time.Millisecond
	// timeFleetDay is the length of the replay, and timeFleetWarmup the part at its start
	// that is not measured.
	timeFleetDay, timeFleetWarmup = 5 * time.Second, time.Second
	// timeFleetReport is the time between two reports of an entry instance, and
	// timeFleetDelay the time until a report, a request or an event arrives.
	timeFleetReport, timeFleetDelay = 50 * time.Millisecond, 2 * time.Millisecond
	// timeFleetAgentRead is the time between two reads of a server's pace by its agent, and
	// timeFleetPaceLag the age of the value.
	timeFleetAgentRead, timeFleetPaceLag = 100 * time.Millisecond, 200 * time.Millisecond
	// Every slowTime another slowShare of the servers takes slowFactor times as long.
	slowTime, slowShare, slowFactor = 600 * time.Millisecond, 0.15, 2.5
	// bytesPerToken is the size of a token of a prompt, and eventBytes that of an event.
	bytesPerToken, eventBytes = 4, 200
)

// timeFleet replays, in virtual time, entry instances that share model servers.
type timeFleet struct {
	rng     *rand.Rand
	clock   *clockwork.FakeClock
	engine  catalog.Engine
	entries []*Scheduler
	counts  []map[string]int
	servers []*timeServer
	events  map[int64][]func()
	// firstEvents holds the times from the arrivals to the first events, of those measured.
	firstEvents []time.Duration
	refused     int
	// byTime is true if the figures of the engine are declared.
	byTime bool
	// The following replace parts of the replay; nil for the usual ones. way returns the
	// time that a message of the given size takes between an entry instance and a server.
	way     func(entry int, server *timeServer, bytes float64, back bool) time.Duration
	pick    func() int
	acquire func(entry int, req *Request) (Slot, bool)
	send    func(entry int, changed map[string]int)
	onSend  func(r *timeRequest, server *timeServer)
	onFirst func(r *timeRequest, took time.Duration)
}

// timeServer is a model server. Each step takes one token of each writer; prompts are read
// between the steps.
type timeServer struct {
	*catalog.Server
	fleet                   *timeFleet
	queue, reading, writing []*timeRequest
	// pace is that of the server, and published the one that its agent sent last.
	pace, published float64
	step            int
	nextAt          time.Time
}

// timeRequest is a request.
type timeRequest struct {
	arrivedAt        time.Time
	entry            int
	slot             Slot
	prompt, unread   float64
	answer, produced int
	// gone is true once the request has left its server. begun is true if it had its first
	// event from another one before.
	gone, begun bool
}

func newTimeFleet(seed uint64, entryCount, serverCount int, byTime bool) *timeFleet {
	f := &timeFleet{
		byTime: byTime,
		rng:    rand.New(rand.NewPCG(seed, 1)), clock: clockwork.NewFakeClockAt(time.UnixMilli(1_000_000)), events: map[int64][]func(){},
		engine: catalog.Engine{
			Slots: 12, StepTime: 6730 * time.Microsecond, StepTimePerRequest: 20 * time.Microsecond, StepTimePerContext: 10 * time.Microsecond,
			PromptTokensPerSecond: 30_600, PromptTokensPerStep: 2048, StepsPerPass: 7, MeanPromptTokens: 964, MeanResponseTokens: 119,
		},
	}
	declared := f.engine
	if !byTime {
		declared.PromptTokensPerSecond = 0
	}
	holder := catalog.NewHolder(eventlog.Discard())
	holder.Apply([]catalog.Change{{Config: &catalog.Config{Version: 1, Services: map[string]*catalog.Service{"s": {Name: "s", Engine: &declared}}}}}, true, false, f.clock.Now())
	var listed []catalog.Change
	for i := range serverCount {
		server := &catalog.Server{
			ID: fmt.Sprint("s-", i), Service: "s", Addr: fmt.Sprint("addr-", i), DataCentre: "palermo", Slots: f.engine.Slots,
			LoadedVersions: map[string]int{"m": 1},
		}
		listed = append(listed, catalog.Change{Server: server})
		f.servers = append(f.servers, &timeServer{Server: server, fleet: f, pace: 1, nextAt: f.clock.Now()})
	}
	holder.Apply(listed, true, true, f.clock.Now())
	for i := range entryCount {
		s := NewScheduler(Config{
			DataCentre: "palermo", Regions: map[string]string{"palermo": "west"},
			RetryLimits: RetryLimits{Ratio: 0.2, Slack: 100, Window: 10 * time.Second}, MaxWaitShare: 0.1,
		}, holder, f.clock)
		proveListed(s)
		s.SetEntryInstances(entryCount, i)
		s.choiceCount = f.rng.IntN(serverCount)
		f.entries = append(f.entries, s)
		f.counts = append(f.counts, map[string]int{})
	}
	return f
}

// after makes do happen d from now.
func (f *timeFleet) after(d time.Duration, do func()) {
	at := f.clock.Now().Add(d).UnixMilli()
	f.events[at] = append(f.events[at], do)
}

// size returns a number with the given mean and a wide spread, at most limit.
func (f *timeFleet) size(mean, limit float64) float64 {
	return min(limit, max(1, mean*math.Exp(0.8*f.rng.NormFloat64()-0.32)))
}

// run replays the day with the given number of requests per second.
func (f *timeFleet) run(perSecond float64) { f.runFor(timeFleetDay, perSecond) }

// runFor replays a day of the given length.
func (f *timeFleet) runFor(day time.Duration, perSecond float64) {
	due := 0.0
	for step := range int(day / timeFleetStep) {
		passed := time.Duration(step) * timeFleetStep
		if passed%slowTime == 0 {
			f.changeSlowServers()
		}
		at := f.clock.Now().UnixMilli()
		for _, do := range f.events[at] {
			do()
		}
		delete(f.events, at)
		for i, server := range f.servers {
			if (step+i)%int(timeFleetAgentRead/timeFleetStep) == 0 {
				f.readPace(server)
			}
		}
		for _, server := range f.servers {
			server.run()
		}
		for i := range f.entries {
			if (step+i)%int(timeFleetReport/timeFleetStep) == 0 {
				f.report(i)
			}
		}
		for due += perSecond * timeFleetStep.Seconds() * f.rng.ExpFloat64(); due >= 1; due-- {
			f.arrive()
		}
		f.clock.Advance(timeFleetStep)
	}
}

// changeSlowServers chooses the servers that are slow from now on.
func (f *timeFleet) changeSlowServers() {
	order := f.rng.Perm(len(f.servers))
	for i, k := range order {
		f.servers[k].pace = 1
		if float64(i) < slowShare*float64(len(order)) {
			f.servers[k].pace = slowFactor
		}
	}
}

// readPace is the read of a server's pace by its agent, which sends changes to all entry
// instances. The value lags.
func (f *timeFleet) readPace(server *timeServer) {
	pace := server.pace
	f.after(timeFleetPaceLag, func() {
		if pace == server.published || !f.byTime {
			return
		}
		server.published = pace
		for _, s := range f.entries {
			s.SetAgentState(server.Addr, &frame.AgentState{LoadedVersions: server.LoadedVersions, Pace: pace})
		}
	})
}

// report sends the changed counts of an entry instance to the others.
func (f *timeFleet) report(i int) {
	counts, changed := f.entries[i].RunningByServer(), map[string]int{}
	for id, n := range counts {
		if f.counts[i][id] != n {
			changed[id] = n
		}
	}
	for id := range f.counts[i] {
		if counts[id] == 0 {
			changed[id] = 0
		}
	}
	f.counts[i] = maps.Clone(counts)
	if f.send != nil {
		f.send(i, changed)
		return
	}
	f.after(timeFleetDelay, func() {
		for k, s := range f.entries {
			if k != i {
				s.UpdatePeerLoads(fmt.Sprint(i), exchange.LoadReport{RunningByServer: changed, InstanceCount: 1})
			}
		}
	})
}

// arrive is the arrival of a request at an entry instance.
func (f *timeFleet) arrive() {
	now := f.clock.Now()
	r := &timeRequest{arrivedAt: now, entry: f.rng.IntN(len(f.entries)), prompt: math.Round(f.size(964, 3880)), answer: int(f.size(119, 364))}
	if f.pick != nil {
		r.entry = f.pick()
	}
	r.unread = r.prompt
	f.try(r)
}

// try sends a request to a server, or repeats that soon if none has a slot.
func (f *timeFleet) try(r *timeRequest) {
	now := f.clock.Now()
	acquire := f.acquire
	if acquire == nil {
		acquire = func(entry int, req *Request) (Slot, bool) { return f.entries[entry].TryAcquire(req) }
	}
	slot, ok := acquire(r.entry, &Request{
		Service: "s", Model: "m", ArrivedAt: r.arrivedAt, Deadline: now.Add(5 * time.Second), PromptTokens: r.prompt, TriedServers: map[string]bool{},
	})
	if !ok {
		f.refused++
		f.after(20*time.Millisecond, func() { f.try(r) })
		return
	}
	r.slot = slot
	server := f.servers[slices.IndexFunc(f.servers, func(s *timeServer) bool { return s.ID == slot.Server.ID })]
	if f.onSend != nil {
		f.onSend(r, server)
	}
	f.after(f.wayTime(r.entry, server, r.prompt*bytesPerToken, false), func() { server.queue = append(server.queue, r) })
}

// wayTime returns the time that a message takes between an entry instance and a server.
func (f *timeFleet) wayTime(entry int, server *timeServer, bytes float64, back bool) time.Duration {
	if f.way == nil {
		return timeFleetDelay
	}
	return f.way(entry, server, bytes, back)
}

// run makes the steps of the server that are due.
func (s *timeServer) run() {
	for now := s.fleet.clock.Now(); !s.nextAt.After(now); {
		for len(s.queue) > 0 && len(s.reading)+len(s.writing) < s.Slots {
			s.reading, s.queue = append(s.reading, s.queue[0]), s.queue[1:]
		}
		if len(s.reading)+len(s.writing) == 0 {
			s.nextAt = now.Add(timeFleetStep)
			return
		}
		s.nextAt = s.nextAt.Add(s.makeStep())
	}
}

// makeStep makes one step, and returns its duration.
func (s *timeServer) makeStep() time.Duration {
	e, f := &s.fleet.engine, s.fleet
	var took float64
	budget := float64(e.PromptTokensPerStep)
	for _, r := range s.reading {
		n := min(budget, r.unread)
		budget -= n
		r.unread -= n
		took += n / e.PromptTokensPerSecond * float64(time.Second)
	}
	context := 0.0
	for _, r := range s.writing {
		context += r.prompt + float64(r.produced)
	}
	if len(s.writing) > 0 {
		took += float64(e.StepTime) + float64(len(s.writing))*float64(e.StepTimePerRequest) + context/1000*float64(e.StepTimePerContext)
	}
	if s.step++; s.step < e.StepsPerPass && len(s.writing) > 0 {
		return time.Duration(took * s.pace)
	}
	s.step = 0
	duration := time.Duration(took * s.pace)
	var left []*timeRequest
	for _, r := range s.writing {
		first := r.produced == 0
		r.produced += e.StepsPerPass
		ended := r.produced >= r.answer
		if !ended {
			left = append(left, r)
		}
		f.after(duration.Truncate(timeFleetStep)+f.wayTime(r.entry, s, eventBytes, true), func() { f.onEvent(r, first, ended) })
	}
	s.writing = left
	s.reading = slices.DeleteFunc(s.reading, func(r *timeRequest) bool {
		if r.unread > 0 {
			return false
		}
		s.writing = append(s.writing, r)
		return true
	})
	return duration
}

// onEvent is the arrival of an event at the entry instance.
func (f *timeFleet) onEvent(r *timeRequest, first, last bool) {
	if r.gone {
		return
	}
	s := f.entries[r.entry]
	s.RecordEvent(r.slot, 0)
	if first && f.onFirst != nil {
		f.onFirst(r, f.clock.Now().Sub(r.arrivedAt))
	}
	if first && f.clock.Now().Sub(time.UnixMilli(1_000_000)) > timeFleetWarmup {
		f.firstEvents = append(f.firstEvents, f.clock.Now().Sub(r.arrivedAt))
	}
	if last {
		s.Release(r.slot, Served)
	}
}

// quantile returns a quantile of the times to the first event.
func (f *timeFleet) quantile(q float64) time.Duration {
	slices.Sort(f.firstEvents)
	return f.firstEvents[int(q*float64(len(f.firstEvents)))]
}

// TestPlacementByExpectedTime guards against requests that wait at slow servers and behind
// long prompts while other servers would begin them at once, and against entry instances
// that all choose the same server.
func TestPlacementByExpectedTime(t *testing.T) {
	for _, entryCount := range []int{4, 16, 36} {
		for _, load := range []float64{0.5, 0.75, 0.9} {
			Convey(fmt.Sprintf("%d entry instances at a load of %v: the 95th percentile of the time to the first event is lower with placement by time", entryCount, load), t, func() {
				run := func(byTime bool) *timeFleet {
					f := newTimeFleet(1, entryCount, 52, byTime)
					f.run(load * 470)
					return f
				}
				byCount, byTime := run(false), run(true)
				late := func(f *timeFleet) float64 {
					n := 0
					for _, d := range f.firstEvents {
						if d > 400*time.Millisecond {
							n++
						}
					}
					return float64(n) / float64(len(f.firstEvents))
				}
				t.Logf("%d entry instances, load %v: %d requests, median %v, %v; 95th percentile %v, %v; late %.3f, %.3f; refused %d, %d", entryCount, load, len(byTime.firstEvents),
					byCount.quantile(0.5), byTime.quantile(0.5), byCount.quantile(0.95), byTime.quantile(0.95), late(byCount), late(byTime), byCount.refused, byTime.refused)
				So(byTime.quantile(0.95), ShouldBeLessThan, byCount.quantile(0.95))
			})
		}
	}
}
