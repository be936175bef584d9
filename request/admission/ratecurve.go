package admission

import "time"

const (
	// pointSmoothingFactor is the share of the newest rate in the averaged rate of a
	// point.
	pointSmoothingFactor = 0.3
	// maxPointAge is the age at which a point is no longer used.
	maxPointAge = time.Minute
	// betterRatio times the present token rate is a threshold: the present number of
	// calls counts as too high if the rate with fewer calls is above it.
	betterRatio = 1.03
	// estimatedBetterRatio replaces betterRatio if the rate with fewer calls was not
	// measured but estimated from the baseline of the time per token. It is larger
	// because cached prompts make the baseline slightly too short.
	estimatedBetterRatio = 1.1
	// collapsedRatio times an earlier token rate is a threshold: if the present rate
	// is below it, the server counts as having turned cold. The earlier rate was
	// measured with as many calls or slightly fewer.
	collapsedRatio = 0.5
	// droppedRatio times an earlier token rate at the same number of calls is a
	// threshold: if the present rate is below it, the server's capacity has dropped.
	// The ratio does not apply to rates at different numbers of calls: a growth step
	// that exceeds the capacity by a tenth lowers the rate to 0.83 of the best rate
	// without a drop of the capacity.
	droppedRatio = 0.85
	// minNearRatio times the present number of calls is the lowest number of calls
	// whose earlier token rate is compared with the present rate. Suppose that the
	// server has capacity only for that lowest number. The present rate is then
	// minNearRatio squared times the earlier rate, because the time per token grows
	// with the third power of the overload. This is well above collapsedRatio, so an
	// overload alone does not count as a collapse.
	minNearRatio = 0.8
)

// ratePoint is the token rate measured at one number of calls in flight.
type ratePoint struct {
	// rate is in tokens per second of all calls together.
	rate       float64
	measuredAt time.Time
}

// rateCurve holds the token rate, in tokens per second of all calls together, for
// each number of calls in flight. Below the server's capacity the rate grows with
// the number of calls. Above the capacity the rate falls, even if each call slows
// down only a little.
type rateCurve struct {
	// points holds the points by number of calls in flight.
	points map[int]ratePoint
}

// add records a token rate measured with inFlight calls in flight. The new rate
// is averaged with the earlier rate at this number of calls if that is not older
// than maxPointAge.
func (c *rateCurve) add(now time.Time, rate float64, inFlight int) {
	p, ok := c.points[inFlight]
	if ok && now.Sub(p.measuredAt) < maxPointAge {
		rate = p.rate + pointSmoothingFactor*(rate-p.rate)
	}
	if c.points == nil {
		c.points = map[int]ratePoint{}
	}
	c.points[inFlight] = ratePoint{rate: rate, measuredAt: now}
}

// collapsed reports whether the present token rate is below collapsedRatio times
// an earlier token rate. It compares the rates at numbers of calls from
// minNearRatio times inFlight up to inFlight.
func (c *rateCurve) collapsed(now time.Time, perToken time.Duration, inFlight int) bool {
	rate := float64(inFlight) / perToken.Seconds()
	for callCount, p := range c.points {
		near := callCount <= inFlight && float64(callCount) >= minNearRatio*float64(inFlight)
		if near && now.Sub(p.measuredAt) < maxPointAge && rate < collapsedRatio*p.rate {
			return true
		}
	}
	return false
}

// relativeRate returns the ratio of rate to the earlier token rate at the same
// number of calls. It returns 1 if there is no earlier rate or it is older than
// maxPointAge.
func (c *rateCurve) relativeRate(now time.Time, rate float64, inFlight int) float64 {
	p, ok := c.points[inFlight]
	if !ok || now.Sub(p.measuredAt) >= maxPointAge {
		return 1
	}
	return rate / p.rate
}

// betterCallCount returns a number of calls below inFlight with a better token
// rate, or false if there is none. First it looks for the highest measured rate:
// that rate must be above betterRatio times the rate at inFlight. If there is
// none, and no rate was measured with one call less, it estimates the rate with
// one call less from baseline, the time per token in nanoseconds. The estimate
// must be above estimatedBetterRatio times the rate at inFlight.
func (c *rateCurve) betterCallCount(now time.Time, inFlight int, baseline float64) (int, bool) {
	best, rate := 0, c.points[inFlight].rate*betterRatio
	for callCount, p := range c.points {
		if callCount < inFlight && p.rate > rate && now.Sub(p.measuredAt) < maxPointAge {
			best, rate = callCount, p.rate
		}
	}
	if best > 0 {
		return best, true
	}
	oneLess := inFlight - 1
	estimatedRate := float64(oneLess) / time.Duration(baseline).Seconds()
	if _, measured := c.points[oneLess]; !measured && estimatedRate > c.points[inFlight].rate*estimatedBetterRatio {
		best = oneLess
	}
	return best, best > 0
}

// clear removes every point.
func (c *rateCurve) clear() { clear(c.points) }
