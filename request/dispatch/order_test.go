package dispatch

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// overloadResult holds the number of requests in a simulated overload and the
// number of those that were served, and the same two numbers for the large
// requests alone.
type overloadResult struct {
	requestCount, servedCount, servedLargeCount, largeCount int
}

// simulateOverload simulates a minute with 1.7 times the load that 64 slots can
// handle. The work of the requests varies widely, and each request waits up to
// 44 ms for a slot. choose returns the waiting request that gets the next free
// slot.
func simulateOverload(choose func(waiting []*waiter, assignedCount int) *waiter) overloadResult {
	const (
		slotCount   = 64
		meanWork    = 2700.0
		timePerWork = 400 * time.Microsecond // time that one unit of work takes in a slot
		maxWait     = 44 * time.Millisecond
		loadFactor  = 1.7
		largeWork   = 2.0 * meanWork // a tenth of the requests are large: their work is above this
	)
	random := rand.New(rand.NewPCG(1, 2))
	interval := time.Duration(math.Round(meanWork * float64(timePerWork) / slotCount / loadFactor))
	var result overloadResult
	var waiting []*waiter
	busyUntil := make([]time.Duration, slotCount)
	arrivedAt := map[*waiter]time.Duration{}
	assignedCount := 0
	for now := time.Duration(0); now < time.Minute; now += interval {
		w := &waiter{request: &Request{Work: meanWork * math.Exp(0.75*random.NormFloat64()-0.28)}}
		if w.request.Work > largeWork {
			result.largeCount++
		}
		result.requestCount++
		arrivedAt[w] = now
		waiting = append(waiting, w)
		waiting = slices.DeleteFunc(waiting, func(w *waiter) bool { return now-arrivedAt[w] > maxWait })
		for i := range busyUntil {
			if busyUntil[i] > now || len(waiting) == 0 {
				continue
			}
			w := choose(waiting, assignedCount)
			waiting = slices.DeleteFunc(waiting, func(other *waiter) bool { return other == w })
			busyUntil[i] = now + time.Duration(w.request.Work*float64(timePerWork))
			assignedCount++
			result.servedCount++
			if w.request.Work > largeWork {
				result.servedLargeCount++
			}
		}
	}
	return result
}

func TestOrderWaiting(t *testing.T) {
	Convey("More requests are served than in order of arrival, and the served share of the large requests is more than half that of all requests", t, func() {
		byArrival := simulateOverload(func(waiting []*waiter, _ int) *waiter { return waiting[0] })
		ordered := simulateOverload(func(waiting []*waiter, assignedCount int) *waiter {
			return OrderWaiting(waiting, assignedCount)[0]
		})
		t.Logf("of %d requests, %d were served by arrival and %d by OrderWaiting; of %d large requests, %d and %d",
			ordered.requestCount, byArrival.servedCount, ordered.servedCount, ordered.largeCount, byArrival.servedLargeCount, ordered.servedLargeCount)
		So(ordered.servedCount, ShouldBeGreaterThan, byArrival.servedCount)
		share := float64(ordered.servedCount) / float64(ordered.requestCount)
		So(float64(ordered.servedLargeCount)/float64(ordered.largeCount), ShouldBeGreaterThan, share/2)
	})

	Convey("The priority takes precedence over the work", t, func() {
		urgent := &waiter{request: &Request{Priority: 0, Work: 9}}
		small := &waiter{request: &Request{Priority: 1, Work: 1}}
		for assignedCount := range 4 {
			So(OrderWaiting([]*waiter{urgent, small}, assignedCount)[0], ShouldEqual, urgent)
		}
	})
}
