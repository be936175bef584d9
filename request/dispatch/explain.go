package dispatch

import (
	"slices"
	"time"
)

// Decision is what becomes of a request that asks for a slot.
type Decision string

// The decisions.
const (
	// Sends means that the request gets a slot at once.
	Sends Decision = "send"
	// Waits means that it waits for a slot.
	Waits Decision = "wait"
	// Refuses means that it is refused at once.
	Refuses Decision = "refuse"
)

// Explanation is what [Scheduler.Acquire] would do with a request, and why.
type Explanation struct {
	Decision Decision
	// Slot is the slot that the request would get, if Decision is Sends.
	Slot Slot
	// Err is why the request gets no slot now: one of the errors of Acquire; nil if it gets
	// one.
	Err error
	// MaxWait is how long the request would wait, if Decision is Waits.
	MaxWait time.Duration
	// MinRetryAfter and MaxRetryAfter bound the Retry-After value of a refusal because of Err,
	// as of now.
	MinRetryAfter, MaxRetryAfter time.Duration
	// WaitingCount is the number of requests of the service that wait, and AheadCount that of
	// those which go first.
	WaitingCount, AheadCount int
	// ReservedCount is the number of slots of each server that the request must leave free.
	ReservedCount int
	// MinVersion is the oldest version of the weights on which the request may run; 0 if every
	// version may be used.
	MinVersion int
	// Servers are the listed servers of the service, ordered by ID.
	Servers []ServerExplanation
}

// ServerExplanation is how a server counts for a request.
type ServerExplanation struct {
	// Candidate holds the load and the estimate. Of a server that is no candidate it holds
	// only the server, the version of the weights and whether it is remote.
	Candidate
	// Limit is the maximum number of requests at the server, whether or not it may get one
	// now, and including the reserved slots.
	Limit int
	// Excluded is why the request does not go there; NotExcluded if it could.
	Excluded Exclusion
	// Chosen is true for the server that would get the request.
	Chosen bool
}

// Explain returns what Acquire would do with a request now. It lets a copy of s decide, so
// nothing in s changes and no request gets or loses a slot. The cost is proportional to the
// state of the scheduler, so it is not for the path of requests.
func (s *Scheduler) Explain(req *Request) Explanation {
	c := s.Copy()
	var e Explanation
	e.countWaiting(c, req)
	var decided []Candidate
	c.onChoice = func(of *Request, all []Candidate) {
		if of == req {
			decided = slices.Clone(all)
		}
	}
	w, slot, err := c.beginAcquire(req)
	c.onChoice = nil
	e.Slot, e.Err = slot, err
	switch {
	case err == nil:
		e.Decision = Sends
	case w == nil:
		e.Decision = Refuses
	default:
		e.Decision, e.MaxWait = Waits, w.waitsUntil.Sub(c.clock.Now())
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		e.MinRetryAfter, e.MaxRetryAfter = c.retryAfter(req, err, 0), c.retryAfter(req, err, 1)
	}
	if decided == nil {
		// The request was refused, or had to wait, before a server was chosen for it.
		decided = c.candidates(req)
		c.reserve(req, decided, c.clock.Now())
	}
	e.explainServers(c, req, decided)
	return e
}

// countWaiting sets the numbers of waiting requests and of reserved slots. c is a copy of the
// scheduler.
func (e *Explanation) countWaiting(c *Scheduler, req *Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now, u, w := c.clock.Now(), c.urgencyOf(req.Service), &waiter{request: req}
	if u != nil {
		w.usualLeft = u.usualLeft.observe(req.Route, req.Deadline.Sub(req.ArrivedAt), now)
	}
	for _, other := range c.waiting {
		if other.request.Service == req.Service {
			e.WaitingCount++
		}
	}
	e.AheadCount, _ = c.waitingAhead(u, w, now)
	e.ReservedCount = u.reserved(req.Priority, now)
}

// explainServers sets e.Servers. decided holds the candidates of the decision. The caller
// holds c.mu.
func (e *Explanation) explainServers(c *Scheduler, req *Request, decided []Candidate) {
	snapshot, now := c.holder.Current(), c.clock.Now()
	if req.Model != "" {
		e.MinVersion = c.minVersion(req, snapshot, now)
	}
	byID := make(map[string]*Candidate, len(decided))
	for i := range decided {
		byID[decided[i].Slot.Server.ID] = &decided[i]
	}
	for _, server := range snapshot.ServersOf(req.Service) {
		x := ServerExplanation{Limit: maxRequestsAt(server)}
		version, lacks := c.exclusionByWeights(server, req, snapshot, now)
		if candidate := byID[server.ID]; candidate != nil {
			x.Candidate, x.Excluded = *candidate, candidate.exclusionByLoad(x.Limit)
			x.Chosen = e.Decision == Sends && e.Slot.Server.ID == server.ID
		} else {
			x.Slot = Slot{Server: server, Version: version, Remote: server.DataCentre != c.cfg.DataCentre}
			if x.Excluded = c.exclusionByRule(server, req, snapshot); x.Excluded == NotExcluded {
				x.Excluded = lacks
			}
			if st := c.servers[server.ID]; st != nil {
				x.Slot.RunningCount = st.runningCount
			}
			x.Slot.RunningCount += c.peers.running(server.ID)
		}
		e.Servers = append(e.Servers, x)
	}
}
