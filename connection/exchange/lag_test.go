package exchange

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/test/wait"
	"github.com/rattanway/rattanway/version/catalog"
)

// revision returns a position in a store that names no era.
func revision(n uint64) catalog.Position { return catalog.Position{Revision: n} }

func TestLagOfALargeDeployment(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

	Convey("A table that changes all the time is not requested while the store delivers it 300 ms late", t, func() {
		// A new revision appears every 10 ms; the peer sends its newest revision
		// every 500 ms.
		requestCount := 0
		var l lag
		for ms := 1000; ms < 60_000; ms += 500 {
			if l.overdue(revision(uint64(ms-300)/10), revision(uint64(ms)/10), at(ms)) {
				requestCount++
			}
		}
		So(requestCount, ShouldEqual, 0)
	})

	Convey("A revision that stays missing is requested, also while newer ones follow", t, func() {
		var l lag
		So(l.overdue(revision(5), revision(6), at(0)), ShouldBeFalse)
		So(l.overdue(revision(5), revision(7), at(300)), ShouldBeFalse)
		So(l.overdue(revision(5), revision(8), at(400)), ShouldBeTrue)
		So(l.overdue(revision(8), revision(8), at(500)), ShouldBeFalse)
	})

	Convey("An instance without any revision requests the table at once, from one peer at a time", t, func() {
		var l lag
		So(l.overdue(revision(0), revision(1), at(0)), ShouldBeTrue)
		x := New(Config{})
		So(x.allowRequest(catalog.TableServers, at(0)), ShouldBeTrue)
		So(x.allowRequest(catalog.TableServers, at(100)), ShouldBeFalse)
		So(x.allowRequest(catalog.TableDeclared, at(100)), ShouldBeTrue)
		So(x.allowRequest(catalog.TableServers, at(400)), ShouldBeTrue)
	})
}

func TestLagOfAnotherEra(t *testing.T) {
	start := time.Now()
	Convey("A change of a newer era is missing here, whatever its revision; one of an older era is not", t, func() {
		own := catalog.Position{Era: 2, Revision: 50}
		var l lag
		So(l.overdue(own, catalog.Position{Era: 3, Revision: 7}, start), ShouldBeFalse)
		So(l.overdue(own, catalog.Position{Era: 3, Revision: 8}, start.Add(maxLag)), ShouldBeTrue)
		l = lag{}
		So(l.overdue(own, catalog.Position{Era: 1, Revision: 90}, start), ShouldBeFalse)
		So(l.overdue(own, catalog.Position{Era: 1, Revision: 90}, start.Add(maxLag)), ShouldBeFalse)
	})
}

func TestTableOfANewerEra(t *testing.T) {
	Convey("An instance that the store does not respond to gets the table of a newer era from its peer, at a lower revision", t, func() {
		a, b := newTestInstance(t, "a"), newTestInstance(t, "b")
		content := func(server string, revision, era uint64) catalog.TableContent {
			return catalog.TableContent{
				Rows: []catalog.Row{{Key: server, Revision: revision}}, ChangeRevision: revision, ReadRevision: revision, Era: era,
			}
		}
		a.serversFollower.AdoptIfNewer(content("new", 8, 2), "store")
		b.serversFollower.AdoptIfNewer(content("lost", 90, 1), "store")
		b.AddPeer(a.cfg.Self.Addr, "")
		So(wait.Until(func() bool { return b.holder.Current().Servers["new"] != nil }), ShouldBeTrue)
		So(b.serversFollower.LastChange(), ShouldResemble, catalog.Position{Era: 2, Revision: 8})
		So(a.holder.Current().Servers["lost"], ShouldBeNil)
	})
}

// Guards against requests for a table that is on its way over a busy link, which get it sent
// again behind the first.
func TestRequestsForATableOnItsWay(t *testing.T) {
	Convey("A table is requested again after times that double, until it has arrived", t, func() {
		start := time.Now()
		requests := func(x *Exchange, from, until time.Duration) (at []time.Duration) {
			for d := from; d < until; d += 100 * time.Millisecond {
				if x.allowRequest(catalog.TableDeclared, start.Add(d)) {
					at = append(at, d)
				}
			}
			return at
		}
		x := New(Config{})
		So(requests(x, 0, 16*time.Second), ShouldResemble, []time.Duration{
			0, maxLag, 3 * maxLag, 7 * maxLag, 11 * maxLag, 15 * maxLag, 19 * maxLag, 23 * maxLag, 27 * maxLag, 31 * maxLag, 35 * maxLag, 39 * maxLag,
		})
		x.endRequest(catalog.TableDeclared)
		So(requests(x, 16*time.Second, 17*time.Second), ShouldResemble, []time.Duration{16 * time.Second, 16*time.Second + maxLag})
		// The response to the last of these has not come for a minute.
		So(requests(x, time.Minute, time.Minute+time.Second), ShouldResemble, []time.Duration{time.Minute, time.Minute + maxLag})
	})
	Convey("A table that is read from the store in place of a request may be read again after the shortest time", t, func() {
		start, x := time.Now(), New(Config{})
		for i := range 5 {
			So(x.allowRequest(catalog.TableServers, start.Add(time.Duration(i)*maxLag)), ShouldBeTrue)
			x.awaitNoResponse(catalog.TableServers)
		}
	})
}
