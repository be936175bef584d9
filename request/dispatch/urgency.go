package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/rattanway/rattanway/version/catalog"
)

const (
	// returnMargin is how much less time than usual a client must have left to count as
	// one that was refused and comes back: less than minRetryAfterFull, the least time
	// after which it does.
	returnMargin = 20 * time.Millisecond
	// usualLeftPeriod is how long the largest time left of a route is remembered at least.
	usualLeftPeriod = 10 * time.Second
	// overShareFactor times the mean number of slots is what an account may get before its
	// requests go behind those of the other accounts of its priority.
	overShareFactor = 2
	// leastShare is the least rate of slots (granted over decided) that each priority keeps,
	// as a share of the rate at which all requests of the service get slots.
	leastShare = 0.5
	// owedPriority is the priority of requests whose priority has less than its share:
	// before all that clients can have, and after movePriority.
	owedPriority = -0.5
	// maxWaitingPerPriority bounds the queue, also while slots become free too seldom to
	// estimate the wait.
	maxWaitingPerPriority = 256
)

// PriorityLevel is a priority that requests to a service can have. The priority of the client
// account, where it has one, takes precedence over that of the route.
type PriorityLevel struct {
	// Effective is the priority of the client account, or that of the route if the account
	// has none. Route is the priority of the route.
	Effective, Route int
}

// newPriorityLevel returns the level of the requests of a client account, whose priority may
// be nil, on a route.
func newPriorityLevel(account *int, route int) PriorityLevel {
	if account != nil {
		return PriorityLevel{*account, route}
	}
	return PriorityLevel{route, route}
}

// compare orders levels, the most urgent first.
func (l PriorityLevel) compare(o PriorityLevel) int {
	return cmp.Or(cmp.Compare(l.Effective, o.Effective), cmp.Compare(l.Route, o.Route))
}

// PriorityLevels returns the levels that the requests to each service can have, the most
// urgent first, for the services whose routes have more than one priority. Of a route's
// targets without any weight only the first gets requests.
func PriorityLevels(config *catalog.Config) map[string][]PriorityLevel {
	levels, routePriorities := map[string][]PriorityLevel{}, map[string]map[int]bool{}
	if config == nil {
		return levels
	}
	for i := range config.Routes {
		route := &config.Routes[i]
		routeLevels := levelsOfRoute(config, route)
		weights := 0
		for _, target := range route.Targets {
			weights += target.Weight
		}
		for k, target := range route.Targets {
			if target.Weight > 0 || weights <= 0 && k == 0 {
				levels[target.Service] = append(levels[target.Service], routeLevels...)
				if routePriorities[target.Service] == nil {
					routePriorities[target.Service] = map[int]bool{}
				}
				routePriorities[target.Service][route.Priority] = true
			}
		}
	}
	for service, all := range levels {
		if len(routePriorities[service]) < 2 {
			delete(levels, service)
			continue
		}
		slices.SortFunc(all, PriorityLevel.compare)
		levels[service] = slices.Compact(all)
	}
	return levels
}

// levelsOfRoute returns the levels that the requests of a route can have.
func levelsOfRoute(config *catalog.Config, route *catalog.Route) []PriorityLevel {
	var levels []PriorityLevel
	for i := range config.Accounts {
		levels = append(levels, newPriorityLevel(config.Accounts[i].Priority, route.Priority))
	}
	if !config.AccountsDeclared || route.AllowAnonymous {
		levels = append(levels, newPriorityLevel(nil, route.Priority))
	}
	return levels
}

// urgency holds what the queue knows about the services whose requests have more than one
// priority.
type urgency struct {
	// config is the configuration to which services belongs.
	config   *catalog.Config
	services map[string]*serviceUrgency
	// ranked is reused for each order of the queue.
	ranked []rankedWaiter
}

// serviceUrgency is what the queue knows about one service with several priorities.
type serviceUrgency struct {
	// levels are those that requests can have, the most urgent first. The priority of a
	// request is the index of its level.
	levels    []PriorityLevel
	firstByte firstByteEstimate
	counts    decisionCounts
	queue     queueClock
	usualLeft usualLeft
	shortages map[int]*shortage // by priority
}

// urgencyOf returns the state of a service whose requests have more than one priority in the
// present configuration, and nil for other services. The caller holds s.mu.
func (s *Scheduler) urgencyOf(service string) *serviceUrgency {
	if config := s.holder.Current().Config; config != s.urgency.config {
		s.applyPriorities(config)
	}
	return s.urgency.services[service]
}

// applyPriorities adopts a new configuration. Services that keep several priorities keep
// what is known about them. The caller holds s.mu.
func (s *Scheduler) applyPriorities(config *catalog.Config) {
	inUse := PriorityLevels(config)
	services := make(map[string]*serviceUrgency, len(inUse))
	for name, levels := range inUse {
		u := s.urgency.services[name]
		if u == nil {
			u = newServiceUrgency()
		}
		if service := config.Services[name]; service != nil {
			u.firstByte.declared = declaredFirstByte(service.Engine)
		}
		if !slices.Equal(u.levels, levels) {
			s.logPriorities(name, levels)
		}
		u.levels = levels
		services[name] = u
	}
	for name := range s.urgency.services {
		if services[name] == nil {
			s.logPriorities(name, nil)
		}
	}
	s.urgency.config, s.urgency.services = config, services
}

func newServiceUrgency() *serviceUrgency {
	return &serviceUrgency{usualLeft: usualLeft{}, shortages: map[int]*shortage{}}
}

// step returns the number of levels above a priority.
func (u *serviceUrgency) step(priority int) int { return max(0, min(priority, len(u.levels)-1)) }

// PriorityOf returns the priority of the requests of a client account, whose priority may be
// nil, on a route to a service, among all levels there: 0 is the most urgent. It returns
// false if the routes to the service have one priority in the present configuration.
func (s *Scheduler) PriorityOf(service string, account *int, route int) (int, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.urgencyOf(service)
	if u == nil {
		return 0, false
	}
	i, _ := slices.BinarySearchFunc(u.levels, newPriorityLevel(account, route), PriorityLevel.compare)
	return u.step(i), true
}

// usualLeft holds, by route, the largest time to the deadline with which clients arrived of
// late.
type usualLeft map[string]*leftPeriods

// leftPeriods holds the largest time left in the present period of usualLeftPeriod and in
// the one before.
type leftPeriods struct {
	begunAt       time.Time
	last, present time.Duration
}

// observe records the time left of a client that arrives, and returns the usual one of its
// route.
func (u usualLeft) observe(route string, left time.Duration, now time.Time) time.Duration {
	p := u[route]
	if p == nil {
		if len(u) >= maxUsualRoutes {
			clear(u)
		}
		p = &leftPeriods{begunAt: now}
		u[route] = p
	}
	if age := now.Sub(p.begunAt); age >= usualLeftPeriod {
		p.last = p.present
		if age >= 2*usualLeftPeriod {
			p.last = 0
		}
		p.begunAt, p.present = now, 0
	}
	p.present = max(p.present, left)
	return max(p.last, p.present)
}

// maxUsualRoutes bounds the routes with a usual time left; routes of earlier configurations
// stay until then.
const maxUsualRoutes = 1024

// rankedWaiter is a waiting request with what decides its place.
type rankedWaiter struct {
	*waiter
	waitRank
}

// waitRank is what decides the place of a waiting request among those of its service.
type waitRank struct {
	// late is true if the request cannot meet its objective any more at the expected time
	// to the first byte.
	late bool
	// priority is that of the request, or owedPriority.
	priority float64
	// overShare is true if the client account got more than overShareFactor times the mean
	// number of slots of late.
	overShare bool
	// returning is true if the client was probably refused before.
	returning bool
	// accountSlots is the number of slots that the client account got of late.
	accountSlots float64
	// left is the time to the deadline, as a share of what is usual on arrival.
	left float64
	work float64
}

// compareRanks orders two waiting requests of one service. Every second slot goes to the
// least work (leastWork), so that more requests are served; see OrderWaiting.
func compareRanks(a, b *waitRank, leastWork bool) int {
	if c := cmp.Or(compareBool(a.late, b.late), cmp.Compare(a.priority, b.priority), compareBool(a.overShare, b.overShare)); c != 0 {
		return c
	}
	if leastWork {
		return cmp.Compare(a.work, b.work)
	}
	return cmp.Or(-compareBool(a.returning, b.returning), cmp.Compare(a.accountSlots, b.accountSlots), cmp.Compare(a.left, b.left))
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// rank returns what decides the place of a request in the queue. For a service with one
// priority (u is nil) only the priority and the work count, as in OrderWaiting.
func (u *serviceUrgency) rank(w *waiter, now time.Time) waitRank {
	req := w.request
	r := waitRank{priority: float64(req.Priority), work: req.Work}
	if u == nil || req.Priority == movePriority {
		return r
	}
	// A request that may have run cannot be refused any more, so it does not go behind.
	r.late = req.FirstByteObjective > 0 && req.MaxRetryWait <= 0 &&
		now.Add(u.firstByte.expected()).After(req.ArrivedAt.Add(req.FirstByteObjective))
	if u.counts.owed(req.Priority, now) {
		r.priority = owedPriority
	}
	slots, mean := u.counts.accountSlots(accountKey{req.Priority, req.Account}, now)
	r.accountSlots, r.overShare = slots, slots > overShareFactor*mean
	if w.usualLeft > 0 {
		r.returning = w.returning()
		r.left = req.Deadline.Sub(now).Seconds() / w.usualLeft.Seconds()
	}
	return r
}

// returning reports whether the client of a request was probably refused before: it has less
// time left than clients of the route usually have when they arrive.
func (w *waiter) returning() bool {
	return w.request.Deadline.Sub(w.request.ArrivedAt)+returnMargin < w.usualLeft
}

// order returns the waiting requests in the order in which they are offered the next free
// slot. The result is valid until the next call. The caller holds s.mu.
func (s *Scheduler) order(now time.Time) []rankedWaiter {
	ranked := s.urgency.ranked[:0]
	if len(s.urgency.services) == 0 {
		for _, w := range OrderWaiting(s.waiting, s.assignedCount) {
			ranked = append(ranked, rankedWaiter{waiter: w})
		}
	} else {
		for _, w := range s.waiting {
			ranked = append(ranked, rankedWaiter{w, s.urgency.services[w.request.Service].rank(w, now)})
		}
		leastWork := s.assignedCount%2 == 1
		slices.SortStableFunc(ranked, func(a, b rankedWaiter) int { return compareRanks(&a.waitRank, &b.waitRank, leastWork) })
	}
	s.urgency.ranked = ranked
	return ranked
}

// waitingAhead returns the number of waiting requests of the service that go before w, and
// the number of those with its priority. The caller holds s.mu.
func (s *Scheduler) waitingAhead(u *serviceUrgency, w *waiter, now time.Time) (ahead, samePriority int) {
	own := u.rank(w, now)
	for _, other := range s.waiting {
		if other == w || other.request.Service != w.request.Service {
			continue
		}
		if other.request.Priority == w.request.Priority {
			samePriority++
		}
		if rank := u.rank(other, now); compareRanks(&rank, &own, false) <= 0 {
			ahead++
		}
	}
	return ahead, samePriority
}
