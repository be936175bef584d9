package dispatch

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/rattanway/rattanway/connection/exchange"
	"github.com/rattanway/rattanway/process/eventlog"
	"github.com/rattanway/rattanway/version/catalog"
)

// centrePolicy is what decides on the data centre in a replay.
type centrePolicy int

const (
	byGain centrePolicy = iota
	alwaysLocal
	byConstant
	perfectKnowledge
)

const (
	centreDay = 6 * time.Second
	// centreWarmup is the start that is not measured, and centreTail the end in which no
	// measured request arrives.
	centreWarmup, centreTail = time.Second, time.Second
	// centreObjective is the objective of the time to the first event, and centreTimeout
	// the time that clients wait.
	centreObjective, centreTimeout = 400 * time.Millisecond, 6 * time.Second
	// centreDelay is the one-way delay between two data centres.
	centreDelay = 12 * time.Millisecond
	// centreCapacity is about the number of requests per second that all 58 servers run.
	centreCapacity = 380
	// usualLink is the bandwidth between two data centres, in bytes per second.
	usualLink = 32e6 / 8
	chunkSize = 48 << 10
	// centreStall is how long a server must be silent until a request leaves it.
	centreStall = 900 * time.Millisecond
)

// centreLoad is a load of the requirements.
type centreLoad struct {
	name string
	// load is the demand, as a part of the capacity of all servers.
	load float64
	// link is the bandwidth between two data centres in bytes per second. weights is true
	// if weights fill the links from 2 s to 4 s.
	link    float64
	weights bool
	// gone is the part of the servers of the first data centre that ends at 2 s, and
	// back is when they return.
	gone float64
	back time.Duration
	// cold is true if the servers of the first data centre are cold from the start.
	cold bool
	// cut is true if the first data centre is cut off from 2 s to 3.5 s.
	cut bool
	// declared is true if the delays are declared.
	declared bool
}

var centreLoads = []centreLoad{
	{name: "demand 39:34:27, load 0.7", load: 0.7},
	{name: "demand 39:34:27, load 0.85", load: 0.85},
	{name: "the same, delays declared", load: 0.85, declared: true},
	{name: "demand 39:34:27, load 0.95", load: 0.95},
	{name: "one data centre cold", load: 0.7, cold: true},
	{name: "one half gone", load: 0.7, gone: 0.5},
	{name: "one all gone", load: 0.6, gone: 1},
	{name: "one all gone for 1.5 s", load: 0.7, gone: 1, back: 3500 * time.Millisecond},
	{name: "one cut off for 1.5 s", load: 0.85, cut: true},
	{name: "links of 1 Mbit/s", load: 0.85, link: 1e6 / 8},
	{name: "weights on the links", load: 0.85, weights: true},
}

var (
	centreNames   = []string{"palermo", "catania", "messina"}
	centreDemand  = []float64{0.39, 0.34, 0.27}
	centreServers = []int{20, 19, 19}
)

// centreFleet is a timeFleet in three data centres.
type centreFleet struct {
	*timeFleet
	load   centreLoad
	policy centrePolicy
	holder *catalog.Holder
	// entryCentre is the data centre of each entry instance.
	entryCentre []int
	start       time.Time
	// linkFree is when each link has sent all that was given to it, by data centres.
	linkFree [3][3]time.Time

	arrived, inTime, remote, sent int
	times                         []time.Duration
}

func newCentreFleet(seed uint64, entryCount int, load centreLoad, policy centrePolicy) *centreFleet {
	if load.link == 0 {
		load.link = usualLink
	}
	f := &centreFleet{load: load, policy: policy, timeFleet: &timeFleet{
		rng: rand.New(rand.NewPCG(seed, 1)), clock: clockwork.NewFakeClockAt(time.UnixMilli(1_000_000)), events: map[int64][]func(){},
		engine: catalog.Engine{
			Slots: 12, StepTime: 9270 * time.Microsecond, StepTimePerRequest: 20 * time.Microsecond, StepTimePerContext: 10 * time.Microsecond,
			PromptTokensPerSecond: 20_700, PromptTokensPerStep: 2048, StepsPerPass: 5, MeanPromptTokens: 964, MeanResponseTokens: 119,
		},
	}}
	f.start = f.clock.Now()
	if load.declared {
		for _, from := range centreNames {
			for _, to := range centreNames {
				if from != to {
					f.engine.Delays = append(f.engine.Delays, catalog.NetworkDelay{From: from, To: to, Delay: centreDelay})
				}
			}
		}
	}
	f.holder = catalog.NewHolder(eventlog.Discard())
	f.holder.Apply([]catalog.Change{{Config: &catalog.Config{Version: 1, Services: map[string]*catalog.Service{
		"s": {Name: "s", Engine: &f.engine, ColdRequestsPerSecond: 4},
	}}}}, true, false, f.start)
	var listed []catalog.Change
	for centre, count := range centreServers {
		for range count {
			server := &catalog.Server{
				ID: fmt.Sprint("s-", len(f.servers)), Service: "s", Addr: fmt.Sprint("addr-", len(f.servers)), DataCentre: centreNames[centre],
				Slots: f.engine.Slots, LoadedVersions: map[string]int{"m": 1},
			}
			if load.cold && centre == 0 {
				server.ColdUntil = f.start.Add(centreDay)
			}
			listed = append(listed, catalog.Change{Server: server})
			f.servers = append(f.servers, &timeServer{Server: server, fleet: f.timeFleet, pace: 1, nextAt: f.start})
		}
	}
	f.holder.Apply(listed, true, true, f.start)
	f.addEntries(entryCount)
	f.way, f.pick, f.acquire, f.send, f.onSend, f.onFirst = f.wayOf, f.pickEntry, f.acquireSlot, func(int, map[string]int) {}, f.sentTo, f.firstEvent
	f.scheduleFaults()
	return f
}

// addEntries adds the entry instances, a third of them in each data centre. With perfect
// knowledge, all of them ask one scheduler.
func (f *centreFleet) addEntries(count int) {
	regions := map[string]string{}
	for _, name := range centreNames {
		regions[name] = name
	}
	for i := range count {
		f.entryCentre = append(f.entryCentre, i%len(centreNames))
		f.counts = append(f.counts, map[string]int{})
		if f.policy == perfectKnowledge && i > 0 {
			f.entries = append(f.entries, f.entries[0])
			continue
		}
		s := NewScheduler(Config{
			DataCentre: centreNames[i%len(centreNames)], Regions: regions,
			RetryLimits: RetryLimits{Ratio: 0.2, Slack: 100, Window: 10 * time.Second}, MaxWaitShare: 0.1,
		}, f.holder, f.clock)
		proveListed(s)
		s.choiceCount = f.rng.IntN(len(f.servers))
		if f.policy == perfectKnowledge {
			s.SetEntryInstances(1, 0)
		} else {
			s.SetEntryInstances(count, i)
		}
		if f.policy != byGain {
			s.flows.limit = 0
		}
		f.entries = append(f.entries, s)
	}
}

// scheduleFaults schedules what the load consists of beside requests.
func (f *centreFleet) scheduleFaults() {
	if f.load.gone > 0 {
		f.after(2*time.Second, f.endServers)
	}
	if f.load.back > 0 {
		f.after(f.load.back, f.returnServers)
	}
}

// goneCount returns the number of servers that end; they are the first ones.
func (f *centreFleet) goneCount() int { return int(f.load.gone * float64(centreServers[0])) }

// endServers ends servers of the first data centre. Their requests begin anew elsewhere.
func (f *centreFleet) endServers() {
	var changes []catalog.Change
	for _, server := range f.servers[:f.goneCount()] {
		changes = append(changes, catalog.Change{Server: server.Server, Removed: true})
	}
	f.holder.Apply(changes, false, true, f.clock.Now())
	for _, server := range f.servers[:f.goneCount()] {
		for _, r := range slices.Concat(server.queue, server.reading, server.writing) {
			f.repeat(r, Broken)
		}
		server.queue, server.reading, server.writing = nil, nil, nil
	}
}

// returnServers lists the servers again that have ended, cold for the rest of the day.
func (f *centreFleet) returnServers() {
	var changes []catalog.Change
	for _, server := range f.servers[:f.goneCount()] {
		again := *server.Server
		again.ColdUntil = f.start.Add(centreDay)
		server.Server = &again
		changes = append(changes, catalog.Change{Server: &again})
	}
	f.holder.Apply(changes, false, true, f.clock.Now())
}

// repeat takes a request from its server and sends it anew.
func (f *centreFleet) repeat(r *timeRequest, o Outcome) {
	if r.gone {
		return
	}
	r.gone = true
	f.entries[r.entry].Release(r.slot, o)
	f.try(&timeRequest{arrivedAt: r.arrivedAt, entry: r.entry, prompt: r.prompt, unread: r.prompt, answer: r.answer - r.produced, begun: r.begun || r.produced > 0})
}

// isCut reports whether no message passes between two data centres now.
func (f *centreFleet) isCut(a, b int) bool {
	passed := f.clock.Since(f.start)
	return f.load.cut && a != b && (a == 0 || b == 0) && passed >= 2*time.Second && passed < 3500*time.Millisecond
}

// wayOf implements timeFleet.way: a queue for each link, in each direction.
func (f *centreFleet) wayOf(entry int, server *timeServer, bytes float64, back bool) time.Duration {
	from, to := f.entryCentre[entry], slices.Index(centreNames, server.DataCentre)
	if back {
		from, to = to, from
	}
	return f.pass(from, to, bytes)
}

// pass returns the time that a message takes between two data centres.
func (f *centreFleet) pass(from, to int, bytes float64) time.Duration {
	if from == to {
		return timeFleetDelay
	}
	now := f.clock.Now()
	free := &f.linkFree[from][to]
	if free.Before(now) {
		*free = now
	}
	if f.isCut(from, to) {
		*free = f.start.Add(3500 * time.Millisecond) // sent again once the link is back
	}
	passed := now.Sub(f.start)
	if f.load.weights && passed >= 2*time.Second && passed < 4*time.Second {
		// Weights keep eight chunks in the link.
		if queued := now.Add(time.Duration(8 * chunkSize / f.load.link * float64(time.Second))); free.Before(queued) {
			*free = queued
		}
	}
	*free = free.Add(time.Duration(bytes / f.load.link * float64(time.Second)))
	return free.Sub(now) + centreDelay
}

// pickEntry returns the entry instance at which a request arrives.
func (f *centreFleet) pickEntry() int {
	centre, x := 0, f.rng.Float64()
	for centre < len(centreDemand)-1 && x >= centreDemand[centre] {
		x -= centreDemand[centre]
		centre++
	}
	count := (len(f.entryCentre)-1-centre)/len(centreNames) + 1
	if f.measured() {
		f.arrived++
	}
	return centre + len(centreNames)*f.rng.IntN(count)
}

// measured reports whether requests that arrive now are measured.
func (f *centreFleet) measured() bool {
	passed := f.clock.Since(f.start)
	return passed >= centreWarmup && passed < centreDay-centreTail
}

// acquireSlot implements timeFleet.acquire.
func (f *centreFleet) acquireSlot(entry int, req *Request) (Slot, bool) {
	s := f.entries[entry]
	req.Deadline, req.FirstByteObjective = req.ArrivedAt.Add(centreTimeout), centreObjective
	if f.policy == byGain {
		return s.TryAcquire(req)
	}
	s.mu.Lock()
	all := s.candidates(req)
	chosen := -1
	if len(all) > 0 {
		chosen = f.chooseBaseline(s, entry, all)
	}
	s.mu.Unlock()
	if chosen < 0 {
		return Slot{}, false
	}
	req.OnlyServers = map[string]bool{all[chosen].Slot.Server.ID: true}
	return s.TryAcquire(req)
}

// chooseBaseline chooses as the policies do with which the decision is compared.
func (f *centreFleet) chooseBaseline(s *Scheduler, entry int, all []Candidate) int {
	s.choiceCount++
	start, unseen := s.choiceCount%len(all), s.unseenCount(f.clock.Now())
	if f.policy == perfectKnowledge {
		return f.chooseByPerfectKnowledge(entry, all)
	}
	local, _ := earliest(all, start, unseen, false, nil)
	remote, _ := earliest(all, start, unseen, true, nil)
	if f.policy == alwaysLocal {
		if slices.ContainsFunc(all, func(c Candidate) bool { return !c.Slot.Remote }) {
			return local
		}
		return remote
	}
	if local < 0 || remote >= 0 && preferByConstant(&all[local], &all[remote]) {
		return remote
	}
	return local
}

// preferByConstant decides with localPreference alone.
func preferByConstant(local, remote *Candidate) bool {
	gain := local.firstEventTime() - remote.firstEventTime()
	return gain > localPreference*local.HalfPass ||
		gain >= 0 && remote.scaledLoad()+localPreference < local.scaledLoad()
}

// chooseByPerfectKnowledge chooses the server with the earliest first event, with the way
// as it is now.
func (f *centreFleet) chooseByPerfectKnowledge(entry int, all []Candidate) int {
	best, bestTime := -1, time.Duration(0)
	for i := range all {
		c := &all[i]
		if !c.hasFreeSlot() {
			continue
		}
		to, took := slices.Index(centreNames, c.Slot.Server.DataCentre), c.firstEventTime()
		if from := f.entryCentre[entry]; from != to {
			if f.isCut(from, to) {
				continue
			}
			took += 2*centreDelay + max(0, f.linkFree[from][to].Sub(f.clock.Now())) + max(0, f.linkFree[to][from].Sub(f.clock.Now()))
		}
		if best < 0 || took < bestTime {
			best, bestTime = i, took
		}
	}
	return best
}

// sentTo implements timeFleet.onSend. A request leaves a server that stays silent.
func (f *centreFleet) sentTo(r *timeRequest, server *timeServer) {
	remote := server.DataCentre != centreNames[f.entryCentre[r.entry]]
	if f.measured() {
		f.sent++
		if remote {
			f.remote++
		}
	}
	if f.load.cut && remote {
		f.after(centreStall, func() {
			if r.slot.work.contextTokens == 0 && !r.gone {
				server.queue = slices.DeleteFunc(server.queue, func(x *timeRequest) bool { return x == r })
				f.repeat(r, Stalled)
			}
		})
	}
}

// firstEvent implements timeFleet.onFirst.
func (f *centreFleet) firstEvent(r *timeRequest, took time.Duration) {
	if arrived := r.arrivedAt.Sub(f.start); r.begun || arrived < centreWarmup || arrived >= centreDay-centreTail {
		return
	}
	f.times = append(f.times, took)
	if took <= centreObjective {
		f.inTime++
	}
}

// exchangeReports sends the counts of all entry instances: to those of the own data centre
// directly, and from one of them, for all, to those of the other data centres.
func (f *centreFleet) exchangeReports() {
	if f.policy == perfectKnowledge {
		return
	}
	for i, s := range f.entries {
		report := exchange.LoadReport{RunningByServer: maps.Clone(s.RunningByServer()), Complete: true, InstanceCount: 1}
		relay := i < len(centreNames)
		all := exchange.LoadReport{Complete: true, Remote: true, DataCentre: centreNames[f.entryCentre[i]]}
		if relay {
			all.RunningByServer, all.InstanceCount = s.RunningInDataCentre()
		}
		for k, other := range f.entries {
			from, to := f.entryCentre[i], f.entryCentre[k]
			switch {
			case k == i || f.isCut(from, to):
			case from == to:
				f.after(timeFleetDelay, func() { other.UpdatePeerLoads(fmt.Sprint(i), report) })
			case relay:
				f.after(centreDelay, func() { other.UpdatePeerLoads(all.DataCentre, all) })
			}
		}
	}
	f.after(timeFleetReport, f.exchangeReports)
}

// replay replays the day.
func (f *centreFleet) replay() {
	f.after(timeFleetStep, f.exchangeReports)
	f.runFor(centreDay, f.load.load*centreCapacity)
}

// inTimeShare returns the part of the requests whose first event came within the objective.
func (f *centreFleet) inTimeShare() float64 { return float64(f.inTime) / float64(f.arrived) }

// remoteShare returns the part of the attempts that left the data centre.
func (f *centreFleet) remoteShare() float64 { return float64(f.remote) / float64(f.sent) }

// quantileOf returns a quantile of the times to the first event.
func (f *centreFleet) quantileOf(q float64) time.Duration {
	slices.Sort(f.times)
	if len(f.times) == 0 {
		return 0
	}
	return f.times[int(q*float64(len(f.times)))]
}
