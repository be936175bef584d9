package dispatch

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/version/catalog"
)

// candidate returns a candidate with a limit of 16 requests. remote is true for a
// server in another data centre.
func candidate(id string, runningCount int, remote bool) Candidate {
	return Candidate{Slot: Slot{Server: &catalog.Server{ID: id}, RunningCount: runningCount, Remote: remote}, Limit: 16}
}

func TestChooseCandidate(t *testing.T) {
	choose := func(all ...Candidate) string {
		i := ChooseCandidate(all, 0)
		if i < 0 {
			return ""
		}
		return all[i].Slot.Server.ID
	}

	Convey("The least loaded server of the own data centre is chosen while the loads are similar", t, func() {
		So(choose(candidate("near", 8, false), candidate("far", 5, true), candidate("other", 9, false)), ShouldEqual, "near")
	})
	Convey("A server in another data centre is chosen if it is clearly less loaded", t, func() {
		So(choose(candidate("near", 12, false), candidate("far", 2, true)), ShouldEqual, "far")
	})
	Convey("A server in another data centre is chosen if the local servers are full", t, func() {
		So(choose(candidate("near", 16, false), candidate("far", 15, true)), ShouldEqual, "far")
	})
	Convey("No server is chosen when all are full", t, func() {
		So(choose(candidate("near", 16, false), candidate("far", 16, true)), ShouldBeEmpty)
	})
	Convey("A server that fails often is chosen as if it had a higher load", t, func() {
		failing := candidate("grey", 0, false)
		failing.Penalty = 10
		So(choose(failing, candidate("good", 8, false)), ShouldEqual, "good")
	})
	Convey("Equally loaded servers are chosen in turn", t, func() {
		all := []Candidate{candidate("a", 3, false), candidate("b", 3, false), candidate("c", 3, false)}
		seen := map[int]bool{}
		for start := range 3 {
			seen[ChooseCandidate(all, start)] = true
		}
		So(seen, ShouldHaveLength, 3)
	})
}

func TestColdRateOfServersThatComeBack(t *testing.T) {
	Convey("All entry instances together stay within the cold rate in any second, whatever the load", t, func() {
		const ratePerSecond, entryInstanceCount = 28.0, 4
		limiters := make([]SharedRateLimiter, entryInstanceCount)
		var sendTimes []time.Time
		start := time.Now()
		for ms := range 5000 {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			for i := range limiters {
				if limiters[i].Allows(now, coldWindow, ratePerSecond, entryInstanceCount, 0) {
					limiters[i].RecordSend(now, coldWindow)
					sendTimes = append(sendTimes, now)
				}
			}
		}
		So(maxCountWithin(sendTimes, time.Second), ShouldBeLessThanOrEqualTo, int(ratePerSecond))
		// The limiters do not waste any of the rate.
		So(len(sendTimes), ShouldEqual, 5*int(ratePerSecond))
	})

	Convey("More entry instances than requests per second stay within the bound of the platform for nearly every server", t, func() {
		// The platform allows 1.5 times the rate plus 5 requests in a second.
		const ratePerSecond, allowedPerSecond, entryInstanceCount, serverCount = 15.0, 27, 59, 200
		sum := 0
		for server := range serverCount {
			limiters := make([]SharedRateLimiter, entryInstanceCount)
			sendCount := 0
			now := time.Now()
			for i := range limiters {
				rank := shareRank(fmt.Sprintf("server-%d", server), rankPlace(i, entryInstanceCount))
				for limiters[i].Allows(now, coldWindow, ratePerSecond, entryInstanceCount, rank) {
					limiters[i].RecordSend(now, coldWindow)
					sendCount++
				}
			}
			So(sendCount, ShouldBeBetweenOrEqual, 1, allowedPerSecond)
			sum += sendCount
		}
		So(float64(sum)/serverCount, ShouldBeBetween, 0.9*ratePerSecond, 1.1*ratePerSecond)
	})
}

// maxCountWithin returns the largest number of the given times that lie within
// one period of length span. times must be in ascending order.
func maxCountWithin(times []time.Time, span time.Duration) int {
	most, first := 0, 0
	for i := range times {
		for times[i].Sub(times[first]) >= span {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func TestRetryBudgetWhenEveryServerFails(t *testing.T) {
	Convey("In any window all entry instances together send no more retries than the ratio and the slack allow", t, func() {
		limits := RetryLimits{Ratio: 0.2, Slack: 104, Window: 10 * time.Second}
		const entryInstanceCount = 4
		budgets := make([]*RetryBudget, entryInstanceCount)
		for i := range budgets {
			budgets[i] = NewRetryBudget(limits)
		}
		var requestTimes, retryTimes []time.Time
		start := time.Unix(1_000_000, 0)
		for ms := range 30_000 {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			// Each entry instance receives one request every 20 ms, that is, 50 per
			// second, and tries to retry each of them twice.
			if ms%20 != 0 {
				continue
			}
			for _, budget := range budgets {
				budget.CountRequest(now)
				requestTimes = append(requestTimes, now)
				for range 2 {
					if budget.TakeRetry(now, entryInstanceCount) {
						retryTimes = append(retryTimes, now)
					}
				}
			}
		}
		allowed := limits.Ratio*200*limits.Window.Seconds() + limits.Slack
		So(float64(maxCountWithin(retryTimes, limits.Window)), ShouldBeLessThanOrEqualTo, allowed)
		So(len(retryTimes), ShouldBeGreaterThan, len(requestTimes)/10)
	})
}

func TestBurstAtAServerThatBecomesFree(t *testing.T) {
	Convey("Entry instances that see the same free slots share them, so that together they do not overfill the server", t, func() {
		const slotCount, entryInstanceCount = 16, 4
		limiters := make([]BurstLimiter, entryInstanceCount)
		now := time.Now()
		ownCounts := make([]int, entryInstanceCount)
		for range 100 {
			for i := range limiters {
				// No load report has arrived, so each entry instance knows only its own
				// requests.
				if limiters[i].Allows(now, slotCount-ownCounts[i], entryInstanceCount) {
					limiters[i].RecordSend(now)
					ownCounts[i]++
				}
			}
		}
		sum := 0
		for _, n := range ownCounts {
			sum += n
		}
		So(sum, ShouldBeLessThanOrEqualTo, slotCount)
		So(sum, ShouldBeGreaterThan, slotCount/2)
	})
	Convey("An entry instance without others fills a server at once", t, func() {
		var b BurstLimiter
		now, ownCount := time.Now(), 0
		for b.Allows(now, 16-ownCount, 1) && ownCount < 16 {
			b.RecordSend(now)
			ownCount++
		}
		So(ownCount, ShouldEqual, 16)
	})
}

func TestPassiveHealth(t *testing.T) {
	now := time.Now()
	Convey("A server that cannot be reached is in backoff after each failure, for at most maxBackoff", t, func() {
		var h PassiveHealth
		sinceFailure := time.Duration(0)
		for range 10 {
			h.Record(Unreachable, now)
			So(h.InBackoff(now.Add(sinceFailure)), ShouldBeTrue)
			So(h.InBackoff(now.Add(maxBackoff)), ShouldBeFalse)
		}
	})
	Convey("A server that fails two of five requests has a penalty, which disappears after it recovers", t, func() {
		var h PassiveHealth
		for i := range 50 {
			if i%5 < 2 {
				h.Record(Broken, now)
			} else {
				h.Record(Served, now)
			}
		}
		So(h.Penalty(), ShouldBeGreaterThan, 4)
		for range 30 {
			h.Record(Served, now)
		}
		So(h.Penalty(), ShouldBeLessThan, 1)
	})
	Convey("A client that leaves does not count against the server", t, func() {
		var h PassiveHealth
		h.Record(Cancelled, now)
		So(h.InBackoff(now), ShouldBeFalse)
		So(h.Penalty(), ShouldEqual, 0)
	})
}
