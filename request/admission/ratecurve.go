package admission

import "time"

const (
	// pointWeight is the weight of a new rate when it is averaged with the earlier
	// rate of a point.
	pointWeight = 0.3
	// maxPointAge is the age from which a point is ignored.
	maxPointAge = time.Minute
	// betterRatio times the present token rate is the rate that fewer calls must
	// exceed for the present number of calls to count as too high.
	betterRatio = 1.03
	// estimatedBetterRatio replaces betterRatio when the rate was not measured
	// but estimated from the baseline. It is larger because cached prompts make
	// the baseline slightly too fast.
	estimatedBetterRatio = 1.1
	// collapsedRatio times an earlier token rate, measured with as many or
	// slightly fewer calls, is the rate below which the server counts as having
	// turned cold.
	collapsedRatio = 0.5
	// droppedRatio times an earlier token rate with the same number of calls is
	// the rate below which the server's capacity has dropped. For comparison, a
	// growth step that is a tenth too large still gives 0.83 of the best rate.
	droppedRatio = 0.85
	// minNearRatio times the present number of calls is the lowest earlier number
	// of calls whose token rate is compared with the present rate. If the server
	// only has capacity for the earlier number, the present rate is minNearRatio
	// squared times the earlier rate, because the time per token grows with the
	// third power of the overload. That is well above collapsedRatio, so an
	// overload alone does not count as a collapse.
	minNearRatio = 0.8
)

// ratePoint is the token rate at one number of calls in flight.
type ratePoint struct {
	// rate is in tokens per second over all calls.
	rate       float64
	measuredAt time.Time
}

// rateCurve holds the token rate, in tokens per second over all calls, for each
// number of calls in flight. Below the server's capacity the rate grows with the
// number of calls; above it the rate falls, even if each call slows down only a
// little.
type rateCurve struct {
	// points maps a number of calls in flight to its token rate.
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

// collapsed reports whether the present token rate is below collapsedRatio times
// one measured before with as many calls or, down to minNearRatio, fewer.
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

// relativeRate returns the ratio of rate to the token rate measured before with
// the same number of calls; 1 when there is none or it is older than maxPointAge.
func (c *rateCurve) relativeRate(now time.Time, rate float64, inFlight int) float64 {
	p, ok := c.points[inFlight]
	if !ok || now.Sub(p.measuredAt) >= maxPointAge {
		return 1
	}
	return rate / p.rate
}

// betterCallCount returns the number of calls below inFlight with the highest
// measured token rate, if that rate is above betterRatio times the rate at
// inFlight. Otherwise, if no rate was measured with one call less, it estimates
// that rate from baseline, the time per token in nanoseconds, and returns that
// number if the rate is above estimatedBetterRatio times the rate at inFlight. It
// returns false if no lower number of calls is better.
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
