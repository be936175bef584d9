package dispatch

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/rattanway/rattanway/connection/exchange"
	"github.com/rattanway/rattanway/connection/frame"
)

// partFleet replays, in virtual time, entry instances and servers that end when they
// begin to respond to a request with one prompt part, or to one of a few requests that
// come again and again.
type partFleet struct {
	rng         *rand.Rand
	now         time.Time
	entries     []*partEntry
	servers     []*partServer
	dataCentres int
	messages    []partMessage
	// ends are the times at which servers ended, and arrivals those at which requests
	// with the part reached servers.
	ends, arrivals           []time.Time
	soundCount, soundRefused int
	// crashingRequests is the number of requests that end servers; 0 if a prompt part does.
	crashingRequests int
	// requestEnds and requestArrivals are the times of the ends under each of these
	// requests, and of its arrivals at servers.
	requestEnds, requestArrivals map[string][]time.Time
	// cutOff is the data centre without connections to the others; -1 if there is none.
	cutOff int
}

// partEntry is an entry instance.
type partEntry struct {
	quarantine *PartQuarantine
	// sent holds the last change that it has sent to each of the others; nil if the
	// connection has yet to be opened.
	sent []*uint64
}

// partServer is a server; it is down until upAt.
type partServer struct {
	boot     int
	upAt     time.Time
	requests []*partRequest
}

// partRequest is a request at a server, which begins to respond to it at beginsAt.
type partRequest struct {
	entry    int
	parts    []PromptPart
	bad      bool
	beginsAt time.Time
	endsAt   time.Time
}

// partMessage is a report on its way.
type partMessage struct {
	to     int
	o      observer
	at     time.Time
	report []frame.SuspectPart
}

const (
	// partStep is the time between two steps of the replay.
	partStep = 10 * time.Millisecond
	// partSoundPerSecond is the number of sound requests per second and server.
	partSoundPerSecond = 10
	partTenantCount    = 10
)

func newPartFleet(seed uint64, entryCount, dataCentres, serverCount int) *partFleet {
	f := &partFleet{rng: rand.New(rand.NewPCG(seed, 1)), now: time.UnixMilli(1_000_000), dataCentres: dataCentres, cutOff: -1}
	f.requestEnds, f.requestArrivals = map[string][]time.Time{}, map[string][]time.Time{}
	f.entries = make([]*partEntry, entryCount)
	for i := range f.entries {
		f.restart(i)
	}
	for range serverCount {
		f.servers = append(f.servers, &partServer{})
	}
	return f
}

// restart replaces an entry instance by one that knows nothing and has no connections.
func (f *partFleet) restart(i int) {
	f.entries[i] = &partEntry{NewPartQuarantine(&changeCounter{}), make([]*uint64, len(f.entries))}
	for _, e := range f.entries {
		if e != nil {
			e.sent[i] = nil
		}
	}
}

// isCut reports whether two entry instances cannot reach each other.
func (f *partFleet) isCut(a, b int) bool {
	a, b = a%f.dataCentres, b%f.dataCentres
	return a != b && (a == f.cutOff || b == f.cutOff)
}

// run replays d of traffic. Requests with the part begin after a second.
func (f *partFleet) run(d time.Duration, badPerSecond float64) {
	begin := f.now
	for ; f.now.Sub(begin) < d; f.now = f.now.Add(partStep) {
		f.serve()
		for range f.count(partSoundPerSecond * float64(len(f.servers))) {
			f.send(false)
		}
		if f.now.Sub(begin) > time.Second {
			for range f.count(badPerSecond) {
				f.send(true)
			}
		}
		f.exchange()
	}
}

// count returns how many requests arrive in one step.
func (f *partFleet) count(perSecond float64) int {
	mean := perSecond * partStep.Seconds()
	n := int(mean)
	if f.rng.Float64() < mean-float64(n) {
		n++
	}
	return n
}

// send sends one request through a random entry instance to a random server. Requests
// with the part share their other parts with sound ones.
func (f *partFleet) send(bad bool) {
	r := &partRequest{entry: f.rng.IntN(len(f.entries)), bad: bad}
	ids := []string{"first", fmt.Sprint("tenant-", f.rng.IntN(partTenantCount)), fmt.Sprint("session-", f.rng.IntN(1000))}
	id := fmt.Sprint("sound-", f.soundCount)
	switch {
	case !bad:
		f.soundCount++
	case f.crashingRequests > 0:
		id = fmt.Sprint("crashing-", f.rng.IntN(f.crashingRequests))
	default:
		ids[2], id = "bad", fmt.Sprint("bad-", len(f.arrivals))
	}
	r.parts = append(parts(ids...), whole(id)...)
	f.dispatch(r)
}

// dispatch sends a request to a server that is up, unless a part is quarantined.
func (f *partFleet) dispatch(r *partRequest) {
	if _, held := f.entries[r.entry].quarantine.Holds(r.parts, f.now); held {
		if !r.bad {
			f.soundRefused++
		}
		return
	}
	s := f.servers[f.rng.IntN(len(f.servers))]
	if f.now.Before(s.upAt) {
		return
	}
	r.beginsAt = f.now.Add(time.Duration(100+f.rng.IntN(200)) * time.Millisecond)
	r.endsAt = r.beginsAt.Add(time.Duration(600+f.rng.IntN(900)) * time.Millisecond)
	s.requests = append(s.requests, r)
	if r.bad {
		f.arrivals = append(f.arrivals, f.now)
		f.requestArrivals[r.id()] = append(f.requestArrivals[r.id()], f.now)
	}
}

// id returns the ID of the request as a whole.
func (r *partRequest) id() string { return r.parts[len(r.parts)-1].ID }

// serve ends the servers that began to respond to a request with the part, and
// completes the requests that are due.
func (f *partFleet) serve() {
	const endDelay = 50 * time.Millisecond
	for i, s := range f.servers {
		running := s.requests
		s.requests = nil
		ended := false
		for _, r := range running {
			if r.bad && f.now.Sub(r.beginsAt) >= endDelay {
				ended = true
				f.requestEnds[r.id()] = append(f.requestEnds[r.id()], f.now)
			}
		}
		if ended {
			f.end(i, running)
			continue
		}
		for _, r := range running {
			if f.now.Before(r.endsAt) {
				s.requests = append(s.requests, r)
				continue
			}
			f.entries[r.entry].quarantine.RecordSound(r.parts, f.now)
		}
	}
}

// end ends a server. The entry instances report the requests that may be the cause,
// and send each of these requests to one more server.
func (f *partFleet) end(i int, running []*partRequest) {
	const minSurvival = time.Second
	s := f.servers[i]
	boot := fmt.Sprint(i, "@", s.boot)
	s.boot++
	s.upAt = f.now.Add(time.Duration(1500+f.rng.IntN(2000)) * time.Millisecond)
	f.ends = append(f.ends, f.now)
	for _, r := range running {
		if f.now.Sub(r.beginsAt) < minSurvival {
			f.entries[r.entry].quarantine.RecordEnd(boot, r.parts, f.now, f.now)
		}
	}
	for _, r := range running {
		f.dispatch(r)
	}
}

// exchange delivers the reports that are due and sends new ones: to each entry instance
// of the same data centre, and to one of each other data centre, for all of it.
func (f *partFleet) exchange() {
	due := f.messages
	f.messages = nil
	never := func(string, time.Time) bool { return false }
	for _, m := range due {
		if f.now.Before(m.at) {
			f.messages = append(f.messages, m)
			continue
		}
		if _, _, err := f.entries[m.to].quarantine.merge(m.report, m.o, never, f.now); err != nil {
			panic(err)
		}
	}
	const sendInterval = 50 * time.Millisecond
	if f.now.UnixNano()%int64(sendInterval) != 0 {
		return
	}
	for from, e := range f.entries {
		for to := range f.entries {
			f.report(from, to, e)
		}
	}
}

// report sends what has changed at an entry instance to another one, and everything on
// a new connection.
func (f *partFleet) report(from, to int, e *partEntry) {
	count := e.quarantine.changes.count
	scope, o, since := exchange.ObservedHere, observedNear, uint64(0)
	if from%f.dataCentres != to%f.dataCentres {
		scope, o = exchange.ObservedNear, observedFar
		if from/f.dataCentres != to%min(2, f.sizeOfDataCentre(from%f.dataCentres)) {
			return // another entry instance is the relay
		}
	}
	switch sent := e.sent[to]; {
	case f.isCut(from, to):
		e.sent[to] = nil
		return
	case sent == nil:
		scope = exchange.ObservedAnywhere
	case *sent == count:
		return
	default:
		since = *sent
	}
	if report := e.quarantine.changedSince(since, scope, f.now); from != to && len(report) > 0 {
		f.messages = append(f.messages, partMessage{to, o, f.now.Add(time.Duration(50+f.rng.IntN(250)) * time.Millisecond), report})
	}
	e.sent[to] = &count
}

// sizeOfDataCentre returns the number of entry instances in a data centre.
func (f *partFleet) sizeOfDataCentre(dataCentre int) int {
	return (len(f.entries)-1-dataCentre)/f.dataCentres + 1
}

// ignorantCount returns the number of entry instances that do not keep requests with the
// part away from servers.
func (f *partFleet) ignorantCount() int {
	count := 0
	for _, e := range f.entries {
		if _, held := e.quarantine.Holds(parts("bad"), f.now); !held {
			count++
		}
	}
	return count
}

// lateRequestArrivals returns how often the requests that end servers reached servers
// later than contact after their third end, for the one that did so most often.
func (f *partFleet) lateRequestArrivals(contact time.Duration) int {
	most := 0
	for id, ends := range f.requestEnds {
		if len(ends) < endsOfNewPart {
			continue
		}
		late := 0
		for _, at := range f.requestArrivals[id] {
			if at.Sub(ends[endsOfNewPart-1]) > contact {
				late++
			}
		}
		most = max(most, late)
	}
	return most
}

// lateArrivals returns how many requests with the part reached servers later than
// contact after the fifth end.
func (f *partFleet) lateArrivals(contact time.Duration) int {
	const knownEnds = 5
	if len(f.ends) < knownEnds {
		return 0
	}
	late := 0
	for _, at := range f.arrivals {
		if at.Sub(f.ends[knownEnds-1]) > contact {
			late++
		}
	}
	return late
}
