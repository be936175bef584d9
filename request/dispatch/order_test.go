package dispatch

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// overloadResult counts the requests of a simulated overload and those of them
// that were served. Large requests are also counted separately.
type overloadResult struct {
	requests, served, servedLarge, large int
}

// simulateOverload simulates a minute with 1.7 times the load that 64 slots can
// handle. The work of the requests varies widely, and each request waits up to
// 44 ms for a slot. next chooses the waiting request that gets a free slot.
func simulateOverload(next func(waiting []*waiter, assigned int) *waiter) overloadResult {
	const (
		slots    = 64
		meanWork = 2700.0
		perToken = 400 * time.Microsecond // time that a slot is taken per unit of work
		maxWait  = 44 * time.Millisecond
		load     = 1.7
		large    = 2.0 * meanWork // a tenth of the requests have more work
	)
	random := rand.New(rand.NewPCG(1, 2))
	interval := time.Duration(math.Round(meanWork * float64(perToken) / slots / load))
	var result overloadResult
	var waiting []*waiter
	busyUntil := make([]time.Duration, slots)
	arrived := map[*waiter]time.Duration{}
	assigned := 0
	for now := time.Duration(0); now < time.Minute; now += interval {
		w := &waiter{request: &Request{Work: meanWork * math.Exp(0.75*random.NormFloat64()-0.28)}}
		if w.request.Work > large {
			result.large++
		}
		result.requests++
		arrived[w] = now
		waiting = append(waiting, w)
		waiting = slices.DeleteFunc(waiting, func(w *waiter) bool { return now-arrived[w] > maxWait })
		for i := range busyUntil {
			if busyUntil[i] > now || len(waiting) == 0 {
				continue
			}
			w := next(waiting, assigned)
			waiting = slices.DeleteFunc(waiting, func(other *waiter) bool { return other == w })
			busyUntil[i] = now + time.Duration(w.request.Work*float64(perToken))
			assigned++
			result.served++
			if w.request.Work > large {
				result.servedLarge++
			}
		}
	}
	return result
}

func TestOrderWaiting(t *testing.T) {
	Convey("More requests are served than in order of arrival, and large requests at least half as often as all requests", t, func() {
		byArrival := simulateOverload(func(waiting []*waiter, _ int) *waiter { return waiting[0] })
		ordered := simulateOverload(func(waiting []*waiter, assigned int) *waiter {
			return OrderWaiting(waiting, assigned)[0]
		})
		t.Logf("of %d requests, %d were served by arrival and %d by OrderWaiting; of %d large requests, %d and %d",
			ordered.requests, byArrival.served, ordered.served, ordered.large, byArrival.servedLarge, ordered.servedLarge)
		So(ordered.served, ShouldBeGreaterThan, byArrival.served)
		share := float64(ordered.served) / float64(ordered.requests)
		So(float64(ordered.servedLarge)/float64(ordered.large), ShouldBeGreaterThan, share/2)
	})

	Convey("The priority takes precedence over the work", t, func() {
		urgent := &waiter{request: &Request{Priority: 0, Work: 9}}
		small := &waiter{request: &Request{Priority: 1, Work: 1}}
		for assigned := range 4 {
			So(OrderWaiting([]*waiter{urgent, small}, assigned)[0], ShouldEqual, urgent)
		}
	})
}
