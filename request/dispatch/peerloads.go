package dispatch

import (
	"time"

	"github.com/rattanway/rattanway/connection/exchange"
)

// peerTimeout is the time since the last report of a source after which the load
// that it reported no longer counts. Heartbeats arrive twice a second.
const peerTimeout = 2 * time.Second

// peerLoads holds the loads that other entry instances report. A source is one
// entry instance of the own data centre, or another data centre as a whole, for
// which one of its entry instances reports. peerLoads keeps the sums over the
// sources up to date, because each choice of a server reads the sums of all servers.
type peerLoads struct {
	bySource map[string]*peerLoad
	// totals holds the sum of the counts of all current sources, by server ID.
	totals map[string]int
	// rises counts the requests that the reports of the last riseWindow have added, for the
	// servers in totals.
	rises map[string]*recentCount
	// localCount is the number of entry instances in the own data centre that the
	// current sources cover, and totalCount the number in all data centres.
	localCount, totalCount int
}

// peerLoad is the load reported by one source.
type peerLoad struct {
	// runningByServer is the number of the source's requests at each server, by
	// server ID, without zeros.
	runningByServer map[string]int
	// instanceCount is the number of entry instances that the counts cover.
	instanceCount int
	// remote is true if these entry instances are in another data centre.
	remote bool
	// lastMessageAt is when the last report arrived.
	lastMessageAt time.Time
	// expired is true once the load no longer counts because of peerTimeout.
	expired bool
}

func newPeerLoads() *peerLoads {
	return &peerLoads{bySource: map[string]*peerLoad{}, totals: map[string]int{}, rises: map[string]*recentCount{}}
}

// update applies a report. It returns true if the sum of a server has fallen, so
// that a waiting request may get a slot.
func (p *peerLoads) update(source string, r exchange.LoadReport, now time.Time) bool {
	load, ok := p.bySource[source]
	known := ok && !load.expired
	if !ok {
		load = &peerLoad{runningByServer: map[string]int{}, expired: true}
		p.bySource[source] = load
	}
	if load.expired {
		p.addSums(load, 1)
	}
	p.addInstances(load, -1)
	load.instanceCount, load.remote = max(1, r.InstanceCount), r.Remote
	p.addInstances(load, 1)
	load.lastMessageAt, load.expired = now, false
	fallen := false
	if r.Complete {
		for id := range load.runningByServer {
			if r.RunningByServer[id] == 0 {
				p.setCount(load, id, 0)
				fallen = true
			}
		}
	}
	for id, n := range r.RunningByServer {
		rise := n - load.runningByServer[id]
		fallen = fallen || rise < 0
		p.setCount(load, id, n)
		if known && rise > 0 {
			p.addRise(id, rise, now)
		}
	}
	return fallen
}

// setCount sets the count of a source at one server, and changes the sum
// accordingly.
func (p *peerLoads) setCount(load *peerLoad, id string, n int) {
	p.addTotal(id, n-load.runningByServer[id])
	load.runningByServer[id] = n
	if n == 0 {
		delete(load.runningByServer, id)
	}
}

// addTotal adds n to the sum of a server.
func (p *peerLoads) addTotal(id string, n int) {
	if p.totals[id] += n; p.totals[id] == 0 {
		delete(p.totals, id)
		delete(p.rises, id)
	}
}

// addRise records that a report has added n requests at a server. The first report of a
// source adds requests that may have been there for long.
func (p *peerLoads) addRise(id string, n int, now time.Time) {
	r := p.rises[id]
	if r == nil {
		r = &recentCount{}
		p.rises[id] = r
	}
	r.add(now, riseWindow, n)
}

// recentRise returns about how many requests the reports of the last riseWindow have added
// at a server.
func (p *peerLoads) recentRise(id string, now time.Time) int {
	if r := p.rises[id]; r != nil {
		return r.count(now, riseWindow)
	}
	return 0
}

// addSums adds the load of a source, times sign, to the sums.
func (p *peerLoads) addSums(load *peerLoad, sign int) {
	for id, n := range load.runningByServer {
		p.addTotal(id, sign*n)
	}
	p.addInstances(load, sign)
}

// addInstances adds the number of entry instances of a source, times sign, to the
// sums.
func (p *peerLoads) addInstances(load *peerLoad, sign int) {
	p.totalCount += sign * load.instanceCount
	if !load.remote {
		p.localCount += sign * load.instanceCount
	}
}

// expire removes from the sums the sources that have sent no report within
// peerTimeout.
func (p *peerLoads) expire(now time.Time) {
	for _, load := range p.bySource {
		if !load.expired && now.Sub(load.lastMessageAt) >= peerTimeout {
			p.addSums(load, -1)
			load.expired = true
		}
	}
}

// running returns the number of requests of the current sources at a server.
func (p *peerLoads) running(serverID string) int { return p.totals[serverID] }

// activeCount returns the number of entry instances that share a server, including
// this one: those of the current sources, and for a server of the own data centre
// only those of the own data centre. Entry instances of other data centres send
// there only if all their own servers are loaded much more.
func (p *peerLoads) activeCount(remoteServer bool) int {
	if remoteServer {
		return 1 + p.totalCount
	}
	return 1 + p.localCount
}

// localRunning returns the number of requests at each server of the current sources
// in the own data centre, by server ID.
func (p *peerLoads) localRunning() map[string]int {
	out := map[string]int{}
	for _, load := range p.bySource {
		if load.remote || load.expired {
			continue
		}
		for id, n := range load.runningByServer {
			out[id] += n
		}
	}
	return out
}

// knownEntryInstanceCount returns the number of entry instances that may be sending
// requests, even if they cannot be reached at present: all whose addresses are
// known, or all sources that have ever reported if these are more. The caller holds
// s.mu.
func (s *Scheduler) knownEntryInstanceCount() int {
	return max(s.listedInstanceCount, len(s.peers.bySource)+1)
}

// SetEntryInstances sets the number of entry instances whose addresses are known,
// including this one, and the position of this one among them.
func (s *Scheduler) SetEntryInstances(count, position int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listedInstanceCount, s.listedPlace = count, rankPlace(position, count)
}

// RunningByServer returns the number of this entry instance's requests at each
// server that runs any, by server ID.
func (s *Scheduler) RunningByServer() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]int{}
	s.addOwnRunning(out)
	return out
}

// addOwnRunning adds this entry instance's requests at each server to counts. The
// caller holds s.mu.
func (s *Scheduler) addOwnRunning(counts map[string]int) {
	for id, st := range s.servers {
		if st.runningCount > 0 {
			counts[id] += st.runningCount
		}
	}
}

// RunningInDataCentre returns the number of requests at each server that runs any, by
// server ID, and the number of entry instances whose requests are counted: this one
// and those of this data centre that have reported within peerTimeout.
func (s *Scheduler) RunningInDataCentre() (map[string]int, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers.expire(s.clock.Now())
	out := s.peers.localRunning()
	s.addOwnRunning(out)
	return out, s.peers.activeCount(false)
}

// UpdatePeerLoads records the load that a source reports: another entry instance of
// this data centre, or another data centre.
func (s *Scheduler) UpdatePeerLoads(source string, r exchange.LoadReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if r.Remote && r.DataCentre != "" {
		s.flows.heard(r.DataCentre, now)
	}
	if s.peers.update(source, r, now) && now.Sub(s.lastPeerAssign) >= minPeerAssignInterval {
		s.lastPeerAssign = now
		s.assignWaiting()
	}
}
