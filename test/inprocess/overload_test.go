package inprocess

import (
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/bench/requests"
	standin "github.com/rattanway/rattanway/standin/engine"
)

const (
	// fillTime is the time in which the slots of the engines fill up.
	fillTime = 3 * time.Second
	// countTime is the time over which tokens are counted.
	countTime = 12 * time.Second
	// warmUpTime is the time in which cold engines warm up under load.
	warmUpTime = 12 * time.Second
	// minWarmGoodput is the lowest accepted goodput of overloaded warm engines, as
	// a share of their capacity. It is also the lowest accepted share of whole
	// responses of a small client account.
	minWarmGoodput = 0.95
	// minColdGoodput is the lowest accepted goodput of overloaded cold engines, as
	// a share of their cold capacity.
	minColdGoodput = 0.9
	// maxRefusalMs is the limit of the 95th percentile of the time to a refusal, in
	// milliseconds.
	maxRefusalMs = 100.0
	// smallAccountRate is the load of a small client account, in calls per
	// second.
	smallAccountRate = 6.0
)

// engineConfig returns the configuration of each engine.
func engineConfig(coldLimit int, warmPerCall float64) standin.Config {
	return standin.Config{
		Slots: 64, WarmLimit: engineLimit, ColdLimit: coldLimit, WarmPerCall: warmPerCall,
		TimeToFirstToken: tokenTime, TokenInterval: tokenTime,
	}
}

// lengthsAround returns response lengths from 0.5 to 1.5 times meanTokens.
func lengthsAround(meanTokens int) requests.Range {
	return requests.Range{Min: meanTokens / 2, Max: meanTokens * 3 / 2}
}

// callsPerSecond returns the rate at which calls with responses of streamTokens
// tokens occupy slotCount slots on average.
func callsPerSecond(slotCount int) float64 { return float64(slotCount) / streamTime.Seconds() }

func TestTwiceTheCapacityOfNineServers(t *testing.T) {
	RunInVirtualTime(t, func(t *testing.T) {
		Convey("Given nine warm engines and twice the load of their capacity, most of it from one large client account", t, func() {
			c := newCluster(t, engineConfig(engineLimit, 1), engineLimit)
			slots := engineLimit * serverCount
			s := c.scenario("twice", fillTime+countTime, 2*callsPerSecond(slots)-3*smallAccountRate, lengthsAround(streamTokens))
			for _, small := range []string{"small-1", "small-2", "small-3"} {
				a := s.Accounts[0]
				a.Name, a.Key, a.CallsPerSecond = small, small+"-key", smallAccountRate
				s.Accounts = append(s.Accounts, a)
			}
			r, goodput := c.runScenario(s, slots, fillTime, nil)
			t.Logf("goodput %.3f of capacity; refusals p95 %.1f ms; %v", goodput, r.All.NotWhole.P95, r.All.Outcomes)
			So(r.All.Outcomes[requests.OutcomeWrong]+r.All.Outcomes[requests.OutcomeCut], ShouldEqual, 0)
			So(goodput, ShouldBeGreaterThanOrEqualTo, minWarmGoodput)
			So(r.All.NotWhole.P95, ShouldBeLessThanOrEqualTo, maxRefusalMs)
			for name, a := range r.Accounts {
				if strings.HasPrefix(name, "small") {
					t.Logf("%s: %v %v", name, a.Outcomes, a.Details)
					So(float64(a.Outcomes[requests.OutcomeWhole])/float64(a.Calls), ShouldBeGreaterThanOrEqualTo, minWarmGoodput)
				}
			}
		})
	})
}

func TestColdServersUnderFullLoad(t *testing.T) {
	RunInVirtualTime(t, func(t *testing.T) {
		Convey("Given nine engines that stay cold, and four times the load of their cold capacity", t, func() {
			c := newCluster(t, engineConfig(engineColdLimit, 0.0001), engineColdLimit)
			slots := engineColdLimit * serverCount
			r, goodput := c.runScenario(c.scenario("cold", fillTime+countTime, 4*callsPerSecond(slots), requests.Range{Min: streamTokens, Max: streamTokens}), slots, fillTime, nil)
			t.Logf("goodput %.3f of cold capacity; %v", goodput, r.All.Outcomes)
			So(r.All.Outcomes[requests.OutcomeWrong]+r.All.Outcomes[requests.OutcomeCut], ShouldEqual, 0)
			So(goodput, ShouldBeGreaterThanOrEqualTo, minColdGoodput)
		})
	})
}

func TestAllServersTurnedCold(t *testing.T) {
	RunInVirtualTime(t, func(t *testing.T) {
		Convey("Given nine engines that have warmed up under four times the load of their cold capacity and all turn cold", t, func() {
			c := newCluster(t, engineConfig(engineColdLimit, 1), engineColdLimit)
			slots := engineColdLimit * serverCount
			load := c.scenario("all-turned-cold", warmUpTime+countTime, 4*callsPerSecond(slots), requests.Range{Min: streamTokens, Max: streamTokens})
			r, goodput := c.runScenario(load, slots, warmUpTime, func() {
				t.Logf("load before the engines turn cold: %+v", c.servers[0].limiter.Load())
				for _, s := range c.servers {
					s.engine.SetFaults(standin.Faults{Cold: true, StayCold: true})
				}
			})
			t.Logf("goodput %.3f of cold capacity; %v", goodput, r.All.Outcomes)
			So(r.All.Outcomes[requests.OutcomeWrong]+r.All.Outcomes[requests.OutcomeDoubled], ShouldEqual, 0)
			So(goodput, ShouldBeGreaterThanOrEqualTo, minColdGoodput)
		})
	})
}
