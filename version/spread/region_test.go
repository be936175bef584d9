package spread

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/time/rate"
)

func TestRegionShares(t *testing.T) {
	Convey("Given the agents of two regions and a bandwidth budget for the link between them", t, func() {
		const budget = 1_000_000
		origin := newFakeOrigin()
		d, m := origin.publish(t, "v1", 256)
		agents := startAgents(t, 16, origin, []string{"r1/a", "r2/b"}, nil)
		sum := map[string]rate.Limit{}
		for _, a := range agents {
			a.SetRegionBudget(budget)
			own, _ := a.splitByOwner(newRanking(a.cfg.Peers(d)), m.Chunks(), a.clock.Now())
			a.regionLimiter.setOwnedChunks(d, own, len(m.Chunks()))
			sum[a.cfg.Self.Region] += a.regionLimiter.limiter.Limit()
		}
		Convey("the shares of the agents of each region add up to the budget", func() {
			So(float64(sum["r1"]), ShouldAlmostEqual, budget, 1)
			So(float64(sum["r2"]), ShouldAlmostEqual, budget, 1)
		})
		Convey("after the fetch an agent has its even share", func() {
			agents[0].SetRegionShare(budget / 8)
			agents[0].regionLimiter.setOwnedChunks(d, nil, 0)
			So(agents[0].regionLimiter.limiter.Limit(), ShouldEqual, rate.Limit(budget/8))
		})
	})
}
