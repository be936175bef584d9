package catalog

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against requests to a server that has left: an entry instance that alone was cut off
// from the store took its own return for that of the store, and kept the servers whose rows were
// deleted for missingGracePeriod from then on.
func TestServersThatLeaveWhileThisProcessIsCutOff(t *testing.T) {
	// cut makes the calls of a Follower of the servers a, b and c fail for d after they have
	// succeeded for 10 s, removes a 0.2 s before the end, and returns for how long after the end
	// a stays listed. during is called every 500 ms, and every 100 ms for 3 s after the end.
	cut := func(t *testing.T, d time.Duration, fail func(*restorableStore, bool), during func(f *Follower, start time.Time)) (listedFor time.Duration) {
		store := newRestorableStore()
		store.write("a=ready", "b=ready", "c=ready")
		followRestorable(t, TableServers, store, func(f *Follower) {
			start := time.Now()
			settle(10 * time.Second)
			fail(store, true)
			for passed := time.Duration(0); passed < d-500*time.Millisecond; passed += 500 * time.Millisecond {
				during(f, start)
				settle(500 * time.Millisecond)
			}
			settle(300 * time.Millisecond)
			store.write("a=")
			settle(200 * time.Millisecond)
			fail(store, false)
			end := time.Now()
			for listServers(f.holder) != "b c" && time.Since(end) < 10*time.Second {
				during(f, start)
				settle(100 * time.Millisecond)
			}
			listedFor = time.Since(end)
		})
		return listedFor
	}
	refuse := func(s *restorableStore, on bool) { s.setCut(on) }
	// silence leaves the calls in flight, and those that start, without a response.
	silence := func(s *restorableStore, on bool) {
		s.loseConnections()
		s.change(func() { s.silent = on })
	}
	nobody := func(*Follower, time.Time) {}
	// peer reports that the store responds to it all the time, up to 1.9 s before its report.
	peer := func(f *Follower, start time.Time) {
		f.ObserveContact("peer", "", start, time.Now().Add(-1900*time.Millisecond))
	}

	Convey("A server that leaves at the end of a cut is not used 3 s after it", t, func() {
		for name, fail := range map[string]func(*restorableStore, bool){"refused": refuse, "silent": silence} {
			for d := 4 * time.Second; d < 6*time.Second; d += 173 * time.Millisecond {
				if got := cut(t, d, fail, nobody); got >= 3*time.Second {
					t.Errorf("%s for %v: listed for %v after the end, nobody else reports", name, d, got)
				}
				if got := cut(t, d, fail, peer); got > 1200*time.Millisecond {
					t.Errorf("%s for %v: listed for %v after the end, while a peer reports", name, d, got)
				}
			}
		}
	})

	Convey("A server that leaves after the open connections have gone silent is removed before rows could lapse", t, func() {
		for phase := range 25 {
			store := newRestorableStore()
			store.write("a=ready", "b=ready")
			followRestorable(t, TableServers, store, func(f *Follower) {
				settle(5*time.Second + time.Duration(phase)*100*time.Millisecond)
				store.loseConnections()
				silentAt := time.Now()
				settle(500 * time.Millisecond)
				store.write("a=")
				for listServers(f.holder) != "b" && time.Since(silentAt) < 10*time.Second {
					settle(20 * time.Millisecond)
				}
				if got := time.Since(silentAt); got >= f.lapseTime() {
					t.Errorf("phase %d: listed for %v after the connections went silent", phase, got)
				}
			})
		}
	})
}

// Guards against the removal of live servers whose rows lapsed because the store was away.
func TestRowsThatLapsedWhileTheStoreWasAway(t *testing.T) {
	Convey("Servers whose rows lapsed stay listed for missingGracePeriod, also if peers report the outage too", t, func() {
		f, source, clock := newFollower(TableServers)
		pollAll(f, source, response{rows: []Row{newRow("a", "ready", 3), newRow("b", "ready", 4)}, rev: 9}, response{err: errDown})
		downAt := clock.Now()
		clock.Advance(4 * time.Second)
		f.ObserveContact("peer", "", downAt.Add(-time.Minute), downAt)
		So(pollAll(f, source, response{rows: []Row{deletedRow("a", 10), deletedRow("b", 11)}, rev: 11}), ShouldEqual, "a b")
		clock.Advance(500 * time.Millisecond)
		f.ObserveContact("peer", "", clock.Now().Add(-600*time.Millisecond), clock.Now())
		clock.Advance(1400 * time.Millisecond)
		So(pollAll(f, source, response{rows: []Row{newRow("b", "ready", 12)}, rev: 12}), ShouldEqual, "a b")
		clock.Advance(200 * time.Millisecond)
		So(pollAll(f, source, response{rev: 13}), ShouldEqual, "b")
	})

	Convey("Reports from another data centre do not count for servers of one that was cut off as a whole", t, func() {
		f, source, clock := newFollower(TableServers)
		pollAll(f, source, response{rows: []Row{newRow("x:a", "ready", 3), newRow("y:b", "ready", 4)}, rev: 9}, response{err: errDown})
		clock.Advance(4 * time.Second)
		f.ObserveContact("peer", "y", clock.Now().Add(-time.Minute), clock.Now())
		So(pollAll(f, source, response{rows: []Row{deletedRow("x:a", 10), deletedRow("y:b", 11)}, rev: 11}), ShouldEqual, "x:a")
		f.ObserveContact("peer", "y", clock.Now().Add(-time.Minute), clock.Now())
		So(listServers(f.holder), ShouldEqual, "x:a")
		clock.Advance(missingGracePeriod)
		So(pollAll(f, source, response{rev: 12}), ShouldEqual, "")
	})

	Convey("A report that the store was there all the time removes them at once", t, func() {
		f, source, clock := newFollower(TableServers)
		pollAll(f, source, response{rows: []Row{newRow("a", "ready", 3), newRow("b", "ready", 4)}, rev: 9}, response{err: errDown})
		clock.Advance(4 * time.Second)
		So(pollAll(f, source, response{rows: []Row{deletedRow("a", 10)}, rev: 11}), ShouldEqual, "a b")
		f.ObserveContact("peer", "", clock.Now().Add(-time.Minute), clock.Now())
		So(listServers(f.holder), ShouldEqual, "b")
	})
}

// Guards against two calls in place of one when the store is slow, and against a response that
// is taken from neither.
func TestOverdueCall(t *testing.T) {
	Convey("A store that responds 0.5 s late gets no second call whose response is used", t, func() {
		synctest.Test(t, func(t *testing.T) {
			f, source := newServersFollower(t)
			slow := &slowSource{scriptedSource: source, extra: 500 * time.Millisecond}
			f.source = slow
			for range 5 {
				if err := f.pollOnce(context.Background()); err != nil || f.StoreUnavailable() {
					t.Errorf("the call failed: %v", err)
				}
			}
		})
	})
}

// slowSource responds without rows, extra later than a store that is not slow.
type slowSource struct {
	*scriptedSource
	extra time.Duration
}

func (s *slowSource) ChangesSince(ctx context.Context, _ Table, since uint64, maxWait time.Duration) ([]Row, Position, error) {
	select {
	case <-time.After(maxWait + s.extra):
		return nil, Position{Revision: since}, nil
	case <-ctx.Done():
		return nil, Position{}, ctx.Err()
	}
}
