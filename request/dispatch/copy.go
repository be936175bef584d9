package dispatch

import (
	"maps"
	"slices"
)

// Copy returns a scheduler in the state of s, for the question what s would decide: what is
// done with the copy changes nothing in s. It logs nothing and has metrics of its own. The
// copy does not have the retry budgets, the requests that no server has begun, and the
// parts of prompts that are known to have run, since no choice of a server depends on them.
func (s *Scheduler) Copy() *Scheduler {
	s.mu.Lock()
	defer s.mu.Unlock()
	cfg := s.cfg
	cfg.Log, cfg.OnPartChange, cfg.Metrics = nil, nil, nil
	c := NewScheduler(cfg, s.holder, s.clock)
	c.servers = cloneValues(s.servers, (*serverState).clone)
	c.notices.byBoot = cloneValues(s.notices.byBoot, clonePointer)
	c.peers = s.peers.clone()
	c.quarantine.parts = cloneValues(s.quarantine.parts, (*suspectPart).clone)
	c.quarantine.reassessDue, c.quarantine.expiredAt = s.quarantine.reassessDue, s.quarantine.expiredAt
	c.agents, c.shortAt = maps.Clone(s.agents), maps.Clone(s.shortAt)
	c.provenLoads, c.startedAt = cloneValues(s.provenLoads, (*provenLoad).clone), s.startedAt
	for _, w := range s.waiting {
		c.waiting = append(c.waiting, w.clone())
	}
	c.choiceCount, c.assignedCount, c.lastPeerAssign = s.choiceCount, s.assignedCount, s.lastPeerAssign
	c.listedInstanceCount, c.listedPlace, c.changes.count = s.listedInstanceCount, s.listedPlace, s.changes.count
	c.times.engines, c.times.ownSends = maps.Clone(s.times.engines), s.times.ownSends
	c.times.lastLogAt, c.times.unloggedCount = s.times.lastLogAt, s.times.unloggedCount
	s.flows.copyTo(&c.flows)
	c.urgency = urgency{config: s.urgency.config, services: cloneValues(s.urgency.services, (*serviceUrgency).clone)}
	return c
}

// cloneValues returns a copy of a map whose values are copied by clone.
func cloneValues[K comparable, V any](m map[K]V, clone func(V) V) map[K]V {
	if m == nil {
		return nil
	}
	out := make(map[K]V, len(m))
	for k, v := range m {
		out[k] = clone(v)
	}
	return out
}

// clonePointer returns a pointer to a copy of a value without pointers of its own.
func clonePointer[T any](p *T) *T {
	out := *p
	return &out
}

func (st *serverState) clone() *serverState {
	c := *st
	c.coldRateLimiter.sends = st.coldRateLimiter.sends.clone()
	c.burstLimiter.sends = st.burstLimiter.sends.clone()
	c.limitRateLimiter.sends = st.limitRateLimiter.sends.clone()
	c.seenWeights = maps.Clone(st.seenWeights)
	return &c
}

func (w slidingWindow) clone() slidingWindow { return slidingWindow{slices.Clone(w.times)} }

// copyTo copies the flows, but not their metrics, which remain those of to.
func (d *dataCentreFlows) copyTo(to *dataCentreFlows) {
	to.here = d.here
	for dataCentre, f := range d.byDataCentre {
		c := to.of(dataCentre)
		own := c.metrics
		*c = *f
		c.metrics = own
	}
}

func (p *peerLoads) clone() *peerLoads {
	c := *p
	c.bySource, c.totals, c.rises = cloneValues(p.bySource, (*peerLoad).clone), maps.Clone(p.totals), cloneValues(p.rises, clonePointer)
	return &c
}

func (l *peerLoad) clone() *peerLoad {
	c := *l
	c.runningByServer = maps.Clone(l.runningByServer)
	return &c
}

func (p *suspectPart) clone() *suspectPart {
	c := *p
	c.ends = slices.Clone(p.ends)
	return &c
}

// clone returns a copy of a waiting request with channels of its own. While a request waits,
// its owner does not change it.
func (w *waiter) clone() *waiter {
	c, req := *w, *w.request
	req.TriedServers, req.OnlyServers = maps.Clone(req.TriedServers), maps.Clone(req.OnlyServers)
	c.request = &req
	c.openChannels()
	return &c
}

func (u *serviceUrgency) clone() *serviceUrgency {
	c := *u
	c.counts.last, c.counts.present = u.counts.last.clone(), u.counts.present.clone()
	c.usualLeft = cloneValues(u.usualLeft, clonePointer)
	c.shortages = cloneValues(u.shortages, clonePointer)
	return &c
}

func (p periodCounts) clone() periodCounts {
	p.byPriority, p.slots, p.slotsByPriority = maps.Clone(p.byPriority), maps.Clone(p.slots), maps.Clone(p.slotsByPriority)
	p.accounts, p.newAccounts = maps.Clone(p.accounts), maps.Clone(p.newAccounts)
	return p
}
