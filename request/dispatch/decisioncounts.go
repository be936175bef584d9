package dispatch

import "time"

// countPeriod is the length of a period of decisionCounts. What is counted covers the present
// period and the one before, so 1 to 2 s: long enough for some tens of slots at one entry
// instance, and short enough to follow a server that fails.
const countPeriod = time.Second

// accountKey is a client account at one priority.
type accountKey struct {
	priority int
	account  string
}

// decisionCounts counts what became of the requests of one service at this entry instance in
// the last countPeriod to 2 * countPeriod.
type decisionCounts struct {
	begunAt       time.Time
	last, present periodCounts
}

// periodCounts holds the counts of one period.
type periodCounts struct {
	// all and byPriority count the requests that have got a slot or been refused.
	all        decisions
	byPriority map[int]decisions
	// slots holds the number of slots by client account, and slotsByPriority the sums.
	slots           map[accountKey]int
	slotsByPriority map[int]int
	// accounts is the number of client accounts with slots by priority, and newAccounts that
	// of those which had none in the period before. They spare a search through all accounts
	// for each waiting request.
	accounts, newAccounts map[int]int
	// queueSlots is the number of slots assigned while requests waited, and queueTime the
	// time during which any did.
	queueSlots int
	queueTime  time.Duration
}

// decisions counts requests that have got a slot or been refused. A client that was refused
// and comes back has arrived once: otherwise a priority with many refusals would seem to need
// many slots, and the rate of all requests would seem low.
type decisions struct{ arrived, granted int }

// add returns the sums.
func (d decisions) add(o decisions) decisions {
	return decisions{d.arrived + o.arrived, d.granted + o.granted}
}

// rate returns the number of slots per client that arrived.
func (d decisions) rate() float64 { return float64(d.granted) / float64(max(1, d.arrived)) }

// at moves on to time now and returns the counts of the present period.
func (c *decisionCounts) at(now time.Time) *periodCounts {
	age := now.Sub(c.begunAt)
	if age >= countPeriod || c.present.byPriority == nil {
		c.last = c.present
		if age >= 2*countPeriod {
			c.last = periodCounts{}
		}
		c.begunAt = now
		c.present = periodCounts{byPriority: map[int]decisions{}, slots: map[accountKey]int{}, slotsByPriority: map[int]int{},
			accounts: map[int]int{}, newAccounts: map[int]int{}}
	}
	return &c.present
}

// addSlot counts a slot for a client account.
func (c *decisionCounts) addSlot(key accountKey, now time.Time) {
	p := c.at(now)
	if _, known := p.slots[key]; !known {
		p.accounts[key.priority]++
		if _, known := c.last.slots[key]; !known {
			p.newAccounts[key.priority]++
		}
	}
	p.addSlots(key, 1)
}

// takeBackSlot undoes addSlot, if the account has slots in the counts.
func (c *decisionCounts) takeBackSlot(key accountKey, now time.Time) {
	for _, p := range []*periodCounts{c.at(now), &c.last} {
		if p.slots[key] > 0 {
			p.addSlots(key, -1)
			return
		}
	}
}

// addSlots adds n to the slots of a client account.
func (p *periodCounts) addSlots(key accountKey, n int) {
	p.slots[key] += n
	p.slotsByPriority[key.priority] += n
	p.add(key.priority, decisions{granted: n})
}

// recordArrival counts a client's request that has got a slot or been refused, unless the
// client was refused before.
func (c *decisionCounts) recordArrival(priority int, now time.Time) {
	c.at(now).add(priority, decisions{arrived: 1})
}

// add adds to the counts of a priority.
func (p *periodCounts) add(priority int, d decisions) {
	p.all, p.byPriority[priority] = p.all.add(d), p.byPriority[priority].add(d)
}

// owed reports whether a priority gets less than leastShare of the rate at which all
// requests get slots.
func (c *decisionCounts) owed(priority int, now time.Time) bool {
	p := c.at(now)
	own := p.byPriority[priority].add(c.last.byPriority[priority])
	return own.arrived > own.granted && own.rate() < leastShare*p.all.add(c.last.all).rate()
}

// accountSlots returns the number of slots that a client account got at a priority, and the
// mean of all accounts with slots at this priority.
func (c *decisionCounts) accountSlots(key accountKey, now time.Time) (slots, mean float64) {
	p := c.at(now)
	own := p.slots[key] + c.last.slots[key]
	accounts := c.last.accounts[key.priority] + p.newAccounts[key.priority]
	sum := p.slotsByPriority[key.priority] + c.last.slotsByPriority[key.priority]
	return float64(own), float64(sum) / float64(max(1, accounts))
}

// queueRate returns the number of slots per second that requests of the queue got while any
// waited; 0 if they got none of late.
func (c *decisionCounts) queueRate(now time.Time) float64 {
	p := c.at(now)
	slots, duration := p.queueSlots+c.last.queueSlots, p.queueTime+c.last.queueTime
	if slots == 0 {
		return 0
	}
	return float64(slots) / max(duration, minQueueTime).Seconds()
}

// minQueueTime keeps one slot after a short wait from counting as a high rate.
const minQueueTime = 50 * time.Millisecond

// queueClock measures for how long requests of a service wait.
type queueClock struct {
	seenAt  time.Time
	waiting bool
}

// maxQueueStep bounds the time between two observations of the queue that counts; while
// requests wait there is one every assignInterval.
const maxQueueStep = 2 * assignInterval

// observe returns the time since the last observation if requests waited then, and records
// whether any wait now.
func (q *queueClock) observe(waiting bool, now time.Time) time.Duration {
	passed := time.Duration(0)
	if q.waiting {
		passed = min(maxQueueStep, now.Sub(q.seenAt))
	}
	q.seenAt, q.waiting = now, waiting
	return passed
}
