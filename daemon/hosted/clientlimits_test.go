package hosted

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/version/catalog"
)

func TestAppliedTimeouts(t *testing.T) {
	Convey("A declared limit is applied with a margin and up to a bound, one that is not positive counts as none", t, func() {
		for declared, want := range map[time.Duration]time.Duration{
			0:                                clientIdleTimeout,
			-time.Second:                     clientIdleTimeout,
			math.MinInt64:                    clientIdleTimeout,
			time.Millisecond:                 time.Millisecond + limitMargin,
			time.Minute:                      time.Minute + limitMargin,
			maxIdleTimeout + time.Second:     maxIdleTimeout + limitMargin,
			math.MaxInt64:                    maxIdleTimeout + limitMargin,
			maxIdleTimeout - time.Nanosecond: maxIdleTimeout - time.Nanosecond + limitMargin,
		} {
			So(appliedTimeout(declared, clientIdleTimeout, maxIdleTimeout), ShouldEqual, want)
		}
	})
}

func TestLimitsByWhichClientsMayGo(t *testing.T) {
	const settle = 3 * time.Second
	start := time.Unix(1000, 0)
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	idle := func(s int) catalog.Limits { return catalog.Limits{IdleTimeout: time.Duration(s) * time.Second} }
	type change struct{ at, limit int }
	for name, c := range map[string]struct {
		changes []change
		// want maps the time since which a connection is idle to the time until which it may be.
		want map[int]time.Duration
	}{
		"unknown": {nil, map[int]time.Duration{0: maxIdleTimeout, 100: maxIdleTimeout}},
		"just known": {[]change{{10, 60}}, map[int]time.Duration{
			0: maxIdleTimeout, 13: maxIdleTimeout, 14: 60 * time.Second,
		}},
		"none": {[]change{{10, 0}}, map[int]time.Duration{20: clientIdleTimeout - limitMargin}},
		"raised": {[]change{{10, 15}, {20, 60}}, map[int]time.Duration{
			14: 60 * time.Second, 20: 60 * time.Second, 30: 60 * time.Second,
		}},
		"lowered": {[]change{{10, 60}, {20, 15}}, map[int]time.Duration{
			14: 60 * time.Second, 23: 60 * time.Second, 24: 15 * time.Second,
		}},
		"lowered in steps": {[]change{{10, 60}, {20, 30}, {21, 15}}, map[int]time.Duration{
			23: 60 * time.Second, 24: 30 * time.Second, 25: 15 * time.Second,
		}},
		"lowered and raised again before clients know": {[]change{{10, 60}, {20, 15}, {21, 30}}, map[int]time.Duration{
			23: 60 * time.Second, 24: 30 * time.Second,
		}},
		"a large limit for a moment": {[]change{{10, 15}, {20, 60}, {21, 15}}, map[int]time.Duration{
			20: 60 * time.Second, 24: 60 * time.Second, 25: 15 * time.Second,
		}},
	} {
		Convey("A connection may be idle for the largest limit by which its client may go: "+name, t, func() {
			l := newClientLimits(settle)
			for _, c := range c.changes {
				So(l.set(idle(c.limit), at(c.at)), ShouldBeTrue)
				So(l.set(idle(c.limit), at(c.at)), ShouldBeFalse)
			}
			for since, want := range c.want {
				So(l.idleUntil(at(since)), ShouldEqual, at(since).Add(want+limitMargin))
			}
		})
	}
	Convey("With many changes at random, no connection closes before the largest limit by which its client may go, and the history stays short", t, func() {
		longest, tooEarly := 0, 0
		for seed := range uint64(50) {
			random := rand.New(rand.NewPCG(seed, 1))
			l := newClientLimits(settle)
			type period struct{ limit, from, to int }
			var periods []period
			for now := 0; now < 400; now += random.IntN(3) {
				limit := 1 + random.IntN(200)
				if random.IntN(4) == 0 {
					limit = max(1, 200-now/2)
				}
				l.set(idle(limit), at(now))
				if n := len(periods); n > 0 {
					periods[n-1].to = now
				}
				periods = append(periods, period{limit, now, 1000})
				longest = max(longest, len(l.idle.earlier))
				since := random.IntN(now + 1)
				for _, p := range periods {
					if p.to+int(settle/time.Second) >= since && l.idleUntil(at(since)).Before(at(since+p.limit).Add(limitMargin)) {
						tooEarly++
					}
				}
			}
		}
		So(tooEarly, ShouldEqual, 0)
		So(longest, ShouldEqual, maxEarlierLimits)
	})
}
