package dispatch

import (
	"math"
	"time"

	"github.com/rattanway/rattanway/version/catalog"
)

const (
	// byteCost is the least gain for which a request leaves the data centre. A request and
	// its response have a few KB, which take 1 to 2 ms of a link of 21 to 32 Mbit/s. The
	// link is shared with weights, so the cost is taken as several times that.
	byteCost = 10 * time.Millisecond
	// usualReportAge is the mean age of the counts of another data centre, which come
	// through a relay there.
	usualReportAge = demandWindow / 2
	// stalenessCost is the part of the further age of these counts that is added to the
	// least gain.
	stalenessCost = 0.25
	// flowMemory is how long the least gain is half as large after a request was sent to
	// a data centre, so that the choice does not change with each report.
	flowMemory = 500 * time.Millisecond

	// excessWeight is the weight of the newest observation in the mean excess.
	excessWeight = 0.0625
	// excessTolerance is the largest mean excess that counts as none. The times to single
	// first events differ by more than 100 ms, and entry instances that follow the
	// differences between such means all change from one data centre to the other.
	excessTolerance = 40 * time.Millisecond
	// excessHalfLife is the time without observations in which a mean excess halves, so
	// that a data centre that was slow to respond gets requests again.
	excessHalfLife = 2 * time.Second
	// maxExcess limits an observed excess. One response that is late by many seconds must
	// not keep requests away for longer than the link is slow.
	maxExcess = time.Second

	// startWindow is the window of a data centre that has got no requests for
	// windowLifetime, or that was cut off. It doubles in about the time to a first event.
	startWindow = 8
	minWindow   = 1
	// minFlowShare is the least share: with one request at a time, each of 36 entry
	// instances would send about five per second.
	minFlowShare = 2
	maxWindow    = 64
	// windowLifetime is the time without a request after which a window says nothing
	// about the link and the servers any more.
	windowLifetime = 2 * time.Second
	// halvingInterval is the least time between two reductions of a window: requests that
	// were sent before the first one say nothing about the smaller window.
	halvingInterval = 150 * time.Millisecond
	// lateTolerance is how much later than expected a first event must at least be to
	// count as late. Half a pass and the reading of a long prompt take about as long.
	lateTolerance = 200 * time.Millisecond
)

// meanExcess is an exponentially weighted mean of the observed times to the first event,
// less the expected ones. The zero value has no observations.
type meanExcess struct {
	value time.Duration
	at    time.Time
}

// observe records an excess at time now.
func (m *meanExcess) observe(excess time.Duration, now time.Time) {
	old := m.atTime(now)
	excess = min(maxExcess, max(-maxExcess, excess))
	m.value, m.at = old+time.Duration(excessWeight*float64(excess-old)), now
}

// atTime returns the mean at time now; it approaches 0 without observations.
func (m *meanExcess) atTime(now time.Time) time.Duration {
	if m.value == 0 {
		return 0
	}
	return time.Duration(float64(m.value) * math.Exp2(-now.Sub(m.at).Seconds()/excessHalfLife.Seconds()))
}

// wayTo returns the time that the way to another data centre and back adds to the time to
// the first event there, in comparison with the own data centre: the declared delays, and
// the excess measured there less that measured here. What is wrong with the estimates of
// both does not count for the way.
func wayTo(delay, excessThere, excessHere time.Duration) time.Duration {
	excess := excessThere - excessHere
	return delay + max(0, excess-excessTolerance)
}

// leastGain returns the least gain, in time to the first event, for which a request leaves
// the data centre. halfPass is half of a pass of the best server here: smaller differences
// of estimates count as equal. reportAge is the time since the last report of the counts of
// the other data centre. flowing is true if requests have been sent there within flowMemory.
func leastGain(halfPass, reportAge time.Duration, flowing bool) time.Duration {
	gain := byteCost + 3*halfPass + time.Duration(stalenessCost*float64(max(0, reportAge-usualReportAge)))
	if flowing {
		gain /= 2
	}
	return gain
}

// preferRemote reports whether a request goes to the best server of other data centres
// instead of the best one of its own: if its first event is expected earlier there by
// more than the least gain. What is known of a data centre that is cut off does not count.
func preferRemote(local, remote *Candidate) bool {
	if f := remote.flow; f != nil {
		return !f.cutOff && local.firstEventTime()-remote.firstEventTime() > leastGain(local.HalfPass, f.reportAge, f.flowing)
	}
	return local.firstEventTime()-remote.firstEventTime() > leastGain(local.HalfPass, 0, false)
}

// flowShare returns how many requests without a first event this entry instance may have
// at the servers of another data centre: remoteShare of an equal share of the slots that
// are free or taken by these requests. The others see the same free slots, until the
// reports of these requests have arrived. If no server here has a free slot, the window
// alone is the limit.
func flowShare(freeSlotCount, inFlight, entryInstanceCount int, needed bool) float64 {
	if needed {
		return maxWindow
	}
	return max(minFlowShare, remoteShare*float64(freeSlotCount+inFlight)/float64(max(1, entryInstanceCount)))
}

// dataCentreFlow is the flow of requests from this entry instance to the model servers of
// another data centre.
type dataCentreFlow struct {
	// declared is the engine whose declared delays add up to delay.
	declared *catalog.Engine
	delay    time.Duration
	excess   meanExcess
	// window limits inFlight, the number of requests that have no first event yet.
	window   float64
	inFlight int
	// heardAt is when the counts of the data centre were last reported; zero if never.
	heardAt                  time.Time
	lastSendAt, lastHalvedAt time.Time
	lastLogAt                time.Time
	unloggedCount            int
	metrics                  flowMetrics

	// The following fields hold for the choice with the number choice.
	choice          int
	way, reportAge  time.Duration
	flowing, cutOff bool
	freeSlotCount   int
}

// refresh prepares the flow for the choice with the given number.
func (f *dataCentreFlow) refresh(choice int, way time.Duration, now time.Time) {
	f.choice, f.way, f.freeSlotCount = choice, way, 0
	f.flowing = now.Sub(f.lastSendAt) < flowMemory
	f.reportAge = 0
	if !f.heardAt.IsZero() {
		f.reportAge = now.Sub(f.heardAt)
	}
	f.cutOff = f.reportAge >= peerTimeout
	if f.cutOff || now.Sub(f.lastSendAt) >= windowLifetime {
		f.window = min(max(f.window, minWindow), startWindow)
		if !f.cutOff && f.inFlight == 0 {
			f.window = startWindow
		}
	}
}

// allows reports whether one more request may be sent.
func (f *dataCentreFlow) allows(entryInstanceCount int, needed bool) bool {
	return float64(f.inFlight) < min(f.window, flowShare(f.freeSlotCount, f.inFlight, entryInstanceCount, needed))
}

// send records that a request is sent at time now.
func (f *dataCentreFlow) send(now time.Time) {
	f.inFlight++
	f.lastSendAt = now
	f.metrics.sent.Inc(1)
}

// isLate reports whether a first event came much later than expected. One that is late by
// itself is not: servers are slow at times. The mean excess must be large as well.
func isLate(observed, expected, meanExcess time.Duration) bool {
	return observed-expected > max(lateTolerance, expected) && meanExcess > lateTolerance/2
}

// grow enlarges the window after a first event that came as expected, if the window
// limits the flow.
func (f *dataCentreFlow) grow() {
	if 2*f.inFlight >= int(f.window) {
		f.window = min(maxWindow, f.window+1)
	}
}

// halve reduces the window after a late first event or a failed attempt. It returns false
// if the window was reduced just before.
func (f *dataCentreFlow) halve(now time.Time) bool {
	if now.Sub(f.lastHalvedAt) < halvingInterval {
		return false
	}
	f.window, f.lastHalvedAt = max(minWindow, f.window/2), now
	return true
}
