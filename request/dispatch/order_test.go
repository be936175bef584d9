package dispatch

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// overload is what became of requests that came faster than the places bear.
type overload struct {
	asked, served, servedLargest, largest int
}

// replayOverload plays a minute of requests whose work is spread widely, 1.7
// times what 64 places bear, each of which waits 44 ms for a place. next picks
// from those that wait.
func replayOverload(next func(waiting []*waiter, given int) *waiter) overload {
	const (
		places   = 64
		meanWork = 2700.0
		perToken = 400 * time.Microsecond // of a place, by the unit of work
		wait     = 44 * time.Millisecond
		load     = 1.7
		largest  = 2.0 * meanWork // the largest tenth
	)
	random := rand.New(rand.NewPCG(1, 2))
	between := time.Duration(math.Round(meanWork * float64(perToken) / places / load))
	var result overload
	var waiting []*waiter
	ends := make([]time.Duration, places)
	arrived := map[*waiter]time.Duration{}
	given := 0
	for now := time.Duration(0); now < time.Minute; now += between {
		w := &waiter{demand: &Demand{Work: meanWork * math.Exp(0.75*random.NormFloat64()-0.28)}}
		if w.demand.Work > largest {
			result.largest++
		}
		result.asked++
		arrived[w] = now
		waiting = append(waiting, w)
		waiting = slices.DeleteFunc(waiting, func(w *waiter) bool { return now-arrived[w] > wait })
		for i := range ends {
			if ends[i] > now || len(waiting) == 0 {
				continue
			}
			w := next(waiting, given)
			waiting = slices.DeleteFunc(waiting, func(other *waiter) bool { return other == w })
			ends[i] = now + time.Duration(w.demand.Work*float64(perToken))
			given++
			result.served++
			if w.demand.Work > largest {
				result.servedLargest++
			}
		}
	}
	return result
}

func TestOrderLastingOverload(t *testing.T) {
	Convey("More callers are served than in order of arrival, and the largest requests at least half as often as all", t, func() {
		arrival := replayOverload(func(waiting []*waiter, _ int) *waiter { return waiting[0] })
		ordered := replayOverload(func(waiting []*waiter, given int) *waiter {
			return OrderLastingOverload(waiting, given)[0]
		})
		t.Logf("of %d served %d by arrival, %d ordered; of %d large ones %d and %d",
			ordered.asked, arrival.served, ordered.served, ordered.largest, arrival.servedLargest, ordered.servedLargest)
		So(ordered.served, ShouldBeGreaterThan, arrival.served)
		share := float64(ordered.served) / float64(ordered.asked)
		So(float64(ordered.servedLargest)/float64(ordered.largest), ShouldBeGreaterThan, share/2)
	})

	Convey("Urgency goes before work", t, func() {
		urgent := &waiter{demand: &Demand{Rank: 0, Work: 9}}
		small := &waiter{demand: &Demand{Rank: 1, Work: 1}}
		for given := range 4 {
			So(OrderLastingOverload([]*waiter{urgent, small}, given)[0], ShouldEqual, urgent)
		}
	})
}
