package estimate

import (
	"math"
	"time"
)

// Bounds of the pace of a server, which is 1 if the server is as fast as declared.
// Everything at a server with a pace of 2.5 takes 2.5 times as long.
const (
	minPace = 0.5
	maxPace = 8
)

// ValidPace reports whether a reported pace can be one. 0 means that none is known.
func ValidPace(pace float64) bool { return pace > 0 && !math.IsInf(pace, 0) && !math.IsNaN(pace) }

// BoundPace returns a pace within the bounds, and 1 if the pace is not valid.
func BoundPace(pace float64) float64 {
	if !ValidPace(pace) {
		return 1
	}
	return min(maxPace, max(minPace, pace))
}

const (
	// paceMemory is the time constant of the weighted mean of observed paces. Servers are
	// slow for 600 ms at a time; with 200 ms instead of 100 ms, 1 in 200 more first events
	// were late in the replay of package dispatch.
	paceMemory = 100 * time.Millisecond
	// minFallWeight is the least weight of an observation below the mean. Prompts that other
	// entry instances have sent make gaps longer, and nothing makes them shorter.
	minFallWeight = 0.7
	// minGapShare is the part of the expected gap below which an observation is ignored: the
	// event before it was delayed on its way.
	minGapShare = 0.5
	// paceLifetime is the age from which a pace is not used any more.
	paceLifetime = time.Second
	// reportLag is the age of a reported value when it arrives: the value of a model server
	// lags by 200 ms, and its agent reads it every 100 ms.
	reportLag = 250 * time.Millisecond
)

// Pace is an estimate of the pace of a server. The zero value has no observations.
type Pace struct {
	value float64
	at    time.Time
	// reported is the value that the server's agent has reported, which the server had at
	// the time reportedAt.
	reported   float64
	reportedAt time.Time
}

// Observe records that the time between two events of a stream was gap at time now, and
// that expected was the shortest that the server needs at pace 1.
func (p *Pace) Observe(gap, expected time.Duration, now time.Time) {
	if expected <= 0 || gap.Seconds() < minGapShare*expected.Seconds() {
		return
	}
	observed := BoundPace(gap.Seconds() / expected.Seconds())
	old := p.observed(now)
	weight := 1 - math.Exp(-gap.Seconds()/paceMemory.Seconds())
	if observed < old {
		weight = max(weight, minFallWeight)
	}
	p.value, p.at = old+(observed-old)*weight, now
}

// Report records the pace that the server's agent reports at time now.
func (p *Pace) Report(pace float64, now time.Time) {
	if !ValidPace(pace) {
		return
	}
	p.reported, p.reportedAt = BoundPace(pace), now.Add(-reportLag)
}

// observed returns the mean of the observed paces; 1 if there was none lately.
func (p *Pace) observed(now time.Time) float64 {
	if p.at.IsZero() || now.Sub(p.at) >= paceLifetime {
		return 1
	}
	return p.value
}

// At returns the pace at time now: the fresher of the observed and the reported one, and 1
// if neither is fresh.
func (p *Pace) At(now time.Time) float64 {
	reportFresh := !p.reportedAt.IsZero() && now.Sub(p.reportedAt) < paceLifetime
	if reportFresh && p.reportedAt.After(p.at) {
		return p.reported
	}
	return p.observed(now)
}
