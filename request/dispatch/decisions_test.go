package dispatch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/version/catalog"
)

// place is a candidate with some requests and four places.
func place(id string, running int, remote bool) Candidate {
	return Candidate{Place: Place{Server: &catalog.Server{ID: id}, Running: running, Remote: remote}, Limit: 16}
}

func TestChooseUnevenZones(t *testing.T) {
	choose := func(all ...Candidate) string {
		i := ChooseUnevenZones(all, 0)
		if i < 0 {
			return ""
		}
		return all[i].Place.Server.ID
	}

	Convey("The least loaded server of the own data centre is chosen while the loads are alike", t, func() {
		So(choose(place("near", 8, false), place("far", 5, true), place("other", 9, false)), ShouldEqual, "near")
	})
	Convey("A clearly less loaded server elsewhere is chosen under uneven load", t, func() {
		So(choose(place("near", 12, false), place("far", 2, true)), ShouldEqual, "far")
	})
	Convey("A place elsewhere is better than none", t, func() {
		So(choose(place("near", 16, false), place("far", 15, true)), ShouldEqual, "far")
	})
	Convey("No server is chosen when all are full", t, func() {
		So(choose(place("near", 16, false), place("far", 16, true)), ShouldBeEmpty)
	})
	Convey("A server that fails often appears loaded", t, func() {
		grey := place("grey", 0, false)
		grey.Penalty = 10
		So(choose(grey, place("good", 8, false)), ShouldEqual, "good")
	})
	Convey("Equal servers are taken in turn", t, func() {
		all := []Candidate{place("a", 3, false), place("b", 3, false), place("c", 3, false)}
		seen := map[int]bool{}
		for turn := range 3 {
			seen[ChooseUnevenZones(all, turn)] = true
		}
		So(seen, ShouldHaveLength, 3)
	})
}

func TestColdRateOfServersThatComeBack(t *testing.T) {
	Convey("Whatever is offered, all entry instances together stay within the cold rate in any second", t, func() {
		const perSecond, entries = 28.0, 4
		rates := make([]ColdRate, entries)
		var sent []time.Time
		start := time.Now()
		for ms := range 5000 {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			for i := range rates {
				if rates[i].Allows(now, perSecond, entries) {
					rates[i].Sent(now)
					sent = append(sent, now)
				}
			}
		}
		So(mostWithin(sent, time.Second), ShouldBeLessThanOrEqualTo, int(perSecond))
		// The ramp uses the whole of the rate.
		So(len(sent), ShouldEqual, 5*int(perSecond))
	})
}

// mostWithin returns the largest number of times in any span.
func mostWithin(at []time.Time, span time.Duration) int {
	most, first := 0, 0
	for i := range at {
		for at[i].Sub(at[first]) >= span {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func TestRepeatsWhenEveryServerFails(t *testing.T) {
	Convey("In any window all entry instances together repeat no more than the ratio and the slack", t, func() {
		limits := RepeatLimits{Ratio: 0.2, Slack: 104, Window: 10 * time.Second}
		const entries = 4
		all := make([]*Repeats, entries)
		for i := range all {
			all[i] = NewRepeats(limits)
		}
		var first, repeated []time.Time
		start := time.Unix(1_000_000, 0)
		for ms := range 30_000 {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			// Each entry instance gets 50 requests a second, and every one
			// wants to be sent again twice.
			if ms%20 != 0 {
				continue
			}
			for _, r := range all {
				r.First(now)
				first = append(first, now)
				for range 2 {
					if r.Take(now, entries) {
						repeated = append(repeated, now)
					}
				}
			}
		}
		allowed := limits.Ratio*200*limits.Window.Seconds() + limits.Slack
		So(float64(mostWithin(repeated, limits.Window)), ShouldBeLessThanOrEqualTo, allowed)
		So(len(repeated), ShouldBeGreaterThan, len(first)/10)
	})
}

func TestBurstAtAServerThatBecomesFree(t *testing.T) {
	Convey("Entry instances that see the same free places fill them together, not each", t, func() {
		const slots, entries = 16, 4
		bursts := make([]Burst, entries)
		now := time.Now()
		own := make([]int, entries)
		for range 100 {
			for i := range bursts {
				// Each knows only what it sent itself.
				if bursts[i].Allows(now, slots-own[i], entries) {
					bursts[i].Sent(now)
					own[i]++
				}
			}
		}
		sum := 0
		for _, n := range own {
			sum += n
		}
		So(sum, ShouldBeLessThanOrEqualTo, slots)
		So(sum, ShouldBeGreaterThan, slots/2)
	})
	Convey("An entry instance alone fills a server at once", t, func() {
		var b Burst
		now, own := time.Now(), 0
		for b.Allows(now, 16-own, 1) && own < 16 {
			b.Sent(now)
			own++
		}
		So(own, ShouldEqual, 16)
	})
}

func TestSuspicion(t *testing.T) {
	now := time.Now()
	Convey("A server that cannot be reached is passed over longer each time, and never for long", t, func() {
		var s Suspicion
		last := time.Duration(0)
		for range 10 {
			s.Note(Unreachable, now)
			So(s.Barred(now.Add(last)), ShouldBeTrue)
			So(s.Barred(now.Add(passOverMost)), ShouldBeFalse)
		}
	})
	Convey("A server that fails two requests in five appears loaded, one that recovers does not", t, func() {
		var s Suspicion
		for i := range 50 {
			if i%5 < 2 {
				s.Note(Broken, now)
			} else {
				s.Note(Served, now)
			}
		}
		So(s.Penalty(), ShouldBeGreaterThan, 4)
		for range 30 {
			s.Note(Served, now)
		}
		So(s.Penalty(), ShouldBeLessThan, 1)
	})
	Convey("A client that leaves says nothing of the server", t, func() {
		var s Suspicion
		s.Note(Ended, now)
		So(s.Barred(now), ShouldBeFalse)
		So(s.Penalty(), ShouldEqual, 0)
	})
}
