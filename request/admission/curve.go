package admission

import "time"

const (
	// pointWeight is the weight of a new rate in a point of the curve.
	pointWeight = 0.3
	// pointAge is the age from which a point is not used any more.
	pointAge = time.Minute
	// worseRatio is how far the rate at fewer calls must be above the present
	// rate for the present number of calls to be too many.
	worseRatio = 1.03
	// collapsedShare is the share of the rate seen before with as many calls
	// below which the server is not the same any more.
	collapsedShare = 0.5
)

// point is the token rate at one number of calls in flight.
type point struct {
	rate float64
	seen time.Time
}

// curve remembers the server's token rate by the number of calls in flight.
// While a server bears more calls its rate grows with them; above what it
// bears the rate falls, also when each call has slowed down only a little.
type curve struct {
	points map[int]point
}

// add notes the pace of the tokens while level calls were in flight.
func (c *curve) add(now time.Time, pace time.Duration, level int) {
	rate := float64(level) / pace.Seconds()
	p, ok := c.points[level]
	if ok && now.Sub(p.seen) < pointAge {
		rate = p.rate + pointWeight*(rate-p.rate)
	}
	if c.points == nil {
		c.points = map[int]point{}
	}
	c.points[level] = point{rate: rate, seen: now}
}

// collapsed reports whether the rate is far below what was seen before with
// as many calls.
func (c *curve) collapsed(now time.Time, pace time.Duration, level int) bool {
	p, ok := c.points[level]
	if !ok || now.Sub(p.seen) >= pointAge {
		return false
	}
	return float64(level)/pace.Seconds() < collapsedShare*p.rate
}

// better returns the smaller number of calls at which the rate was highest,
// when it was clearly above the rate at level. Where no such number has been
// seen, one call less than level is taken to run at the baseline pace, in
// nanoseconds.
func (c *curve) better(now time.Time, level int, baseline float64) (int, bool) {
	best, rate := 0, c.points[level].rate*worseRatio
	for calls, p := range c.points {
		if calls < level && p.rate > rate && now.Sub(p.seen) < pointAge {
			best, rate = calls, p.rate
		}
	}
	if best > 0 {
		return best, true
	}
	below := level - 1
	if _, seen := c.points[below]; !seen && float64(below)/time.Duration(baseline).Seconds() > rate {
		best = below
	}
	return best, best > 0
}

// clear forgets every point.
func (c *curve) clear() { clear(c.points) }
