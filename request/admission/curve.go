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
	// guessRatio is the same for a rate that was not seen but worked out from
	// the baseline, which cached prompts make a little too good.
	guessRatio = 1.1
	// collapsedShare is the share of the rate seen before with as many calls
	// below which the server is not the same any more.
	collapsedShare = 0.5
	// droppedShare is the share of the rate seen before with as many calls
	// below which the server bears less than before. A step of a tenth too far
	// gives 0.83 of the best rate.
	droppedShare = 0.85
	// nearShare is the least share of the present calls at which the rate seen
	// before still tells: a server that bears no more than that has, at the
	// present calls, nearShare squared of the rate (time per token grows with
	// the third power of the overload), which is well above collapsedShare.
	nearShare = 0.8
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

// add notes the token rate while level calls were in flight.
func (c *curve) add(now time.Time, rate float64, level int) {
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
// about as many calls.
func (c *curve) collapsed(now time.Time, pace time.Duration, level int) bool {
	rate := float64(level) / pace.Seconds()
	for calls, p := range c.points {
		near := calls <= level && float64(calls) >= nearShare*float64(level)
		if near && now.Sub(p.seen) < pointAge && rate < collapsedShare*p.rate {
			return true
		}
	}
	return false
}

// dropped returns the token rate as a share of what was seen before with as
// many calls, 1 when nothing was.
func (c *curve) dropped(now time.Time, rate float64, level int) float64 {
	p, ok := c.points[level]
	if !ok || now.Sub(p.seen) >= pointAge {
		return 1
	}
	return rate / p.rate
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
	guess := float64(below) / time.Duration(baseline).Seconds()
	if _, seen := c.points[below]; !seen && guess > c.points[level].rate*guessRatio {
		best = below
	}
	return best, best > 0
}

// clear forgets every point.
func (c *curve) clear() { clear(c.points) }
