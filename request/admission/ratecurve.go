package admission

import "time"

const (
	// pointWeight is the weight of a new rate in a point of the curve.
	pointWeight = 0.3
	// maxPointAge is the age from which a point is ignored.
	maxPointAge = time.Minute
	// betterRatio is the smallest ratio of the token rate with fewer calls to the
	// present rate at which the present number of calls is too high.
	betterRatio = 1.03
	// estimatedBetterRatio replaces betterRatio when the rate was not measured
	// but estimated from the baseline. It is larger because cached prompts make
	// the baseline slightly too fast.
	estimatedBetterRatio = 1.1
	// collapsedRatio is the ratio of the token rate to an earlier one with as
	// many or slightly fewer calls below which the server counts as having
	// turned cold.
	collapsedRatio = 0.5
	// droppedRatio is the ratio of the token rate to an earlier one with as
	// many calls below which the server's capacity has dropped. A growth step
	// that is a tenth too large still gives 0.83 of the best rate.
	droppedRatio = 0.85
	// minNearRatio is the smallest ratio of an earlier number of calls to the
	// present one at which their token rates are compared. If the server only has
	// capacity for the earlier number, its rate at the present number is
	// minNearRatio squared of the earlier rate, because the time per token grows
	// with the third power of the overload. That is well above collapsedRatio, so
	// an overload alone does not count as a collapse.
	minNearRatio = 0.8
)

// ratePoint is the token rate at one number of calls in flight.
type ratePoint struct {
	rate       float64
	measuredAt time.Time
}

// rateCurve holds the token rate, in tokens per second over all calls, for each
// number of calls in flight. Below the server's capacity the rate grows with the
// number of calls; above it the rate falls, even if each call slows down only a
// little.
type rateCurve struct {
	points map[int]ratePoint
}

// add records a token rate measured with this number of calls in flight. It is
// averaged with an earlier rate that is not older than maxPointAge.
func (c *rateCurve) add(now time.Time, rate float64, inFlight int) {
	p, ok := c.points[inFlight]
	if ok && now.Sub(p.measuredAt) < maxPointAge {
		rate = p.rate + pointWeight*(rate-p.rate)
	}
	if c.points == nil {
		c.points = map[int]ratePoint{}
	}
	c.points[inFlight] = ratePoint{rate: rate, measuredAt: now}
}

// collapsed reports whether the token rate is far below one measured before with
// as many calls or, down to minNearRatio, fewer.
func (c *rateCurve) collapsed(now time.Time, perToken time.Duration, inFlight int) bool {
	rate := float64(inFlight) / perToken.Seconds()
	for calls, p := range c.points {
		near := calls <= inFlight && float64(calls) >= minNearRatio*float64(inFlight)
		if near && now.Sub(p.measuredAt) < maxPointAge && rate < collapsedRatio*p.rate {
			return true
		}
	}
	return false
}

// relativeRate returns the ratio of the token rate to the one measured before
// with as many calls; 1 when none was measured.
func (c *rateCurve) relativeRate(now time.Time, rate float64, inFlight int) float64 {
	p, ok := c.points[inFlight]
	if !ok || now.Sub(p.measuredAt) >= maxPointAge {
		return 1
	}
	return rate / p.rate
}

// betterCallCount returns the number of calls below inFlight with the highest
// token rate, if that rate is above betterRatio times the rate at inFlight, or
// else false. If there is none and no rate was measured with one call less, that
// rate is estimated from baseline, the time per token in nanoseconds, and must be
// above estimatedBetterRatio times the rate at inFlight.
func (c *rateCurve) betterCallCount(now time.Time, inFlight int, baseline float64) (int, bool) {
	best, rate := 0, c.points[inFlight].rate*betterRatio
	for calls, p := range c.points {
		if calls < inFlight && p.rate > rate && now.Sub(p.measuredAt) < maxPointAge {
			best, rate = calls, p.rate
		}
	}
	if best > 0 {
		return best, true
	}
	oneLess := inFlight - 1
	estimate := float64(oneLess) / time.Duration(baseline).Seconds()
	if _, measured := c.points[oneLess]; !measured && estimate > c.points[inFlight].rate*estimatedBetterRatio {
		best = oneLess
	}
	return best, best > 0
}

// clear removes every point.
func (c *rateCurve) clear() { clear(c.points) }
