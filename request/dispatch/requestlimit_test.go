package dispatch

import (
	"context"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/connection/exchange"
	"github.com/rattanway/rattanway/connection/frame"
)

// TestSharesOfANamedLimit replays entry instances that all have more requests than a
// server with a limit takes.
func TestSharesOfANamedLimit(t *testing.T) {
	const (
		window, factor, slack = 4 * time.Second, 1.5, 5
		seconds               = 30
	)
	for _, count := range []int{1, 4, 14, 59} {
		for _, perSecond := range []float64{0.5, 1, 2.3, 2.5, 10, 38} {
			Convey(fmt.Sprintf("Together %d entry instances stay within a limit of %v a second and use it", count, perSecond), t, func() {
				for server := range 6 {
					limiters := make([]SharedRateLimiter, count)
					var sends []time.Time
					start := time.Now()
					for tick := range seconds * 50 {
						now := start.Add(time.Duration(tick) * 20 * time.Millisecond)
						for i := range limiters {
							rank := shareRank(fmt.Sprint("server-", server), rankPlace(i, count))
							if limiters[i].Allows(now, limitWindow(perSecond, count), perSecond, count, rank) {
								limiters[i].RecordSend(now, maxLimitWindow)
								sends = append(sends, now)
							}
						}
					}
					So(float64(maxCountWithin(sends, window)), ShouldBeLessThanOrEqualTo, factor*perSecond*window.Seconds()+slack)
					So(float64(len(sends)), ShouldBeGreaterThanOrEqualTo, 0.5*perSecond*seconds)
				}
			})
		}
	}
}

func TestNamedLimit(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	Convey("A later response replaces a limit, an earlier one does not", t, func() {
		var l requestLimit
		l.update("a@1", true, 2.5, now)
		l.update("a@1", true, 1, now.Add(-time.Second))
		rate, limited := l.rate("a@1", now)
		So(limited, ShouldBeTrue)
		So(rate, ShouldEqual, 2.5)
		l.update("a@1", false, 0, now.Add(time.Second))
		_, limited = l.rate("a@1", now.Add(time.Second))
		So(limited, ShouldBeFalse)
	})
	Convey("The limit of one boot does not hold for the next", t, func() {
		var l requestLimit
		l.update("a@1", true, 2.5, now)
		_, limited := l.rate("a@2", now)
		So(limited, ShouldBeFalse)
	})
	Convey("A limit that no response confirms rises step by step", t, func() {
		var l requestLimit
		l.update("a@1", true, 0, now)
		previous := 0.0
		for n := range 5 {
			rate, limited := l.rate("a@1", now.Add(time.Duration(n+1)*limitMemory))
			So(limited, ShouldBeTrue)
			So(rate, ShouldBeGreaterThan, previous)
			So(rate, ShouldBeLessThanOrEqualTo, max(2*previous, 2*minAgingLimit))
			previous = rate
		}
	})
	Convey("No limit holds at maxLimitAge", t, func() {
		var l requestLimit
		l.update("a@1", true, 0, now)
		_, limited := l.rate("a@1", now.Add(maxLimitAge))
		So(limited, ShouldBeFalse)
	})
	Convey("A limit that goes on is reported again only after limitRefresh", t, func() {
		var l requestLimit
		changed, _ := l.update("a@1", true, 2.5, now)
		So(changed, ShouldBeTrue)
		changed, _ = l.update("a@1", true, 2.5, now.Add(limitRefresh/2))
		So(changed, ShouldBeFalse)
		changed, _ = l.update("a@1", true, 2.5, now.Add(limitRefresh))
		So(changed, ShouldBeTrue)
	})
}

func TestLimitsOfPeers(t *testing.T) {
	Convey("Given a server that named a limit to another entry instance", t, func() {
		f := newSchedulerFixture()
		f.setServers(f.server("a", "palermo"))
		f.scheduler.SetEntryInstances(2, 0)
		other := NewScheduler(f.scheduler.cfg, f.holder, f.clock)
		proveListed(other)
		server := f.holder.Current().Servers["a"]
		other.RecordLimit(server, 2, true)
		report, _ := other.Evidence(0, exchange.ObservedHere)

		Convey("this one sends its share only, and more again when the limit is lifted", func() {
			So(f.scheduler.MergeEvidence(report, true), ShouldBeNil)
			So(f.acquiredIn(4*time.Second), ShouldBeBetweenOrEqual, 2, 5)
			other.RecordLimit(server, 0, false)
			report, _ = other.Evidence(0, exchange.ObservedHere)
			So(f.scheduler.MergeEvidence(report, true), ShouldBeNil)
			So(f.acquiredIn(4*time.Second), ShouldBeGreaterThan, 20)
		})
		Convey("a limit without meaning is none, and peers accept the report", func() {
			f.clock.Advance(time.Millisecond)
			other.RecordLimit(server, 10*maxRequestLimit, true)
			report, _ = other.Evidence(0, exchange.ObservedHere)
			So(f.scheduler.MergeEvidence(report, true), ShouldBeNil)
			So(f.acquiredIn(4*time.Second), ShouldBeGreaterThan, 20)
		})
		Convey("a limit that has no effect any more is not reported", func() {
			f.clock.Advance(maxLimitAge + time.Millisecond)
			report, _ = other.Evidence(0, exchange.ObservedAnywhere)
			So(report.Empty(), ShouldBeTrue)
		})
		Convey("a limit of a server that is not listed, or of another boot, is ignored", func() {
			for _, change := range []func(*frame.RequestLimit){
				func(l *frame.RequestLimit) { l.Server = "unknown" },
				func(l *frame.RequestLimit) { l.Boot = "a@other" },
			} {
				changed := report
				changed.RequestLimits = append([]frame.RequestLimit(nil), report.RequestLimits...)
				change(&changed.RequestLimits[0])
				So(f.scheduler.MergeEvidence(changed, true), ShouldBeNil)
			}
			So(f.acquiredIn(4*time.Second), ShouldBeGreaterThan, 20)
		})
		Convey("an invalid limit is rejected with its value", func() {
			for _, change := range []func(*frame.RequestLimit){
				func(l *frame.RequestLimit) { l.PerSecond = -1 },
				func(l *frame.RequestLimit) { l.PerSecond = math.NaN() },
				func(l *frame.RequestLimit) { l.PerSecond = math.Inf(1) },
				func(l *frame.RequestLimit) { l.AgeMs = -1 },
				func(l *frame.RequestLimit) { l.AgeMs = maxLimitAge.Milliseconds() + 1 },
				func(l *frame.RequestLimit) { l.AgeMs = math.MaxInt64 },
				func(l *frame.RequestLimit) { l.Server = "" },
				func(l *frame.RequestLimit) { l.Server = strings.Repeat("a", maxServerIDLength+1) },
			} {
				changed := report
				changed.RequestLimits = append([]frame.RequestLimit(nil), report.RequestLimits...)
				change(&changed.RequestLimits[0])
				So(f.scheduler.MergeEvidence(changed, true), ShouldNotBeNil)
			}
			So(f.acquiredIn(4*time.Second), ShouldBeGreaterThan, 20)
		})
	})
}

// acquiredIn returns how many slots are acquired within d of requests that arrive every
// 100 ms and end at once.
func (f *schedulerFixture) acquiredIn(d time.Duration) int {
	const pause = 100 * time.Millisecond
	clock, n := f.clock, 0
	for end := clock.Now().Add(d); clock.Now().Before(end); clock.Advance(pause) {
		slot, err := f.scheduler.Acquire(context.Background(), f.request())
		if err == nil {
			n++
			f.scheduler.Release(slot, Served)
		}
	}
	return n
}
