package catalog

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/process/eventlog"
)

// newServersFollower returns a Follower of the table of servers and its source. The
// Follower has read the servers a and b, up to revision 5.
func newServersFollower(t *testing.T) (*Follower, *scriptedSource) {
	t.Helper()
	source := &scriptedSource{}
	f := NewFollower(TableServers, source, NewHolder(eventlog.Discard()), eventlog.Discard(), clockwork.NewRealClock())
	pollAll(f, source, response{rows: []Row{newRow("a", "ready", 2), newRow("b", "ready", 5)}, rev: 5})
	return f, source
}

func TestChangesFromAPeer(t *testing.T) {
	Convey("Given a Follower that has read the store up to revision 5", t, func() {
		f, source := newServersFollower(t)

		Convey("changes that follow are applied", func() {
			f.ApplyFromPeer(RowChanges{Rows: []Row{newRow("c", "ready", 7), deletedRow("a", 8)}, Since: 5, Until: 9})
			So(listServers(f.holder), ShouldEqual, "b c")
			So(f.lastRead().Revision, ShouldEqual, 9)
		})
		Convey("changes that begin before are applied without those that are known", func() {
			f.ApplyFromPeer(RowChanges{Rows: []Row{deletedRow("b", 4), newRow("b", "leaving", 5), newRow("c", "ready", 6)}, Since: 3, Until: 6})
			So(listServers(f.holder), ShouldEqual, "a b c")
		})
		Convey("changes before which others are missing are not applied", func() {
			f.ApplyFromPeer(RowChanges{Rows: []Row{newRow("c", "ready", 9)}, Since: 8, Until: 9})
			So(listServers(f.holder), ShouldEqual, "a b")
			So(f.lastRead().Revision, ShouldEqual, 5)
		})
		Convey("servers whose rows lapsed while the store was away stay listed, as at the peer", func() {
			f.ApplyFromPeer(RowChanges{Rows: []Row{deletedRow("a", 8)}, Since: 5, Until: 9, GraceMs: 1500})
			So(listServers(f.holder), ShouldEqual, "a b")
		})
		Convey("what it reads itself is passed on, beginning at the last change that is known", func() {
			var shared []RowChanges
			f.Share(func() bool { return false }, func(c RowChanges) { shared = append(shared, c) })
			f.ApplyFromPeer(RowChanges{Rows: []Row{newRow("c", "ready", 7)}, Since: 5, Until: 8})
			pollAll(f, source, response{rev: 11}, response{rows: []Row{newRow("d", "ready", 12)}, rev: 13})
			So(shared, ShouldHaveLength, 1)
			So(shared[0].Since, ShouldEqual, 8)
			So(shared[0].Until, ShouldEqual, 13)
			So(shared[0].Rows, ShouldHaveLength, 1)
		})
	})
}

// Guards against a change that an entry instance never applies, because the one that reads the
// store for it claimed that its changes follow an older revision than they do. The configuration
// that it lacked stayed out of force there until the next one.
func TestLateResponseOfTheStore(t *testing.T) {
	Convey("A reader whose own response is older than what a peer has sent meanwhile", t, func() {
		reader, source := newServersFollower(t)
		var shared []RowChanges
		reader.Share(func() bool { return false }, func(c RowChanges) { shared = append(shared, c) })
		reader.ApplyFromPeer(RowChanges{Rows: []Row{newRow("c", "ready", 6), newRow("a", "leaving", 7)}, Since: 5, Until: 8})
		pollAll(reader, source, response{rows: []Row{newRow("c", "ready", 6)}, rev: 6}, response{rows: []Row{newRow("d", "ready", 12)}, rev: 13})
		So(shared, ShouldHaveLength, 2)

		Convey("does not claim that its next changes follow its own response", func() {
			So(shared[1].Since, ShouldBeGreaterThanOrEqualTo, 8)
		})
		Convey("leaves no gap at an instance that the peer's changes did not reach", func() {
			other, otherSource := newServersFollower(t)
			other.ApplyFromPeer(RowChanges{Rows: []Row{newRow("c", "ready", 6)}, Since: 5, Until: 6})
			for _, c := range shared {
				other.ApplyFromPeer(c)
			}
			got := pollAll(other, otherSource, response{rows: []Row{newRow("a", "leaving", 7), newRow("d", "ready", 12)}, rev: 13})
			So(got, ShouldEqual, "a! b c d")
		})
	})
}

// TestGraceOfAPeerThatWasCutOff guards against requests to a server that has left: a peer that
// was cut off from the store alone took its own return for that of the store, and told the
// others to keep the servers whose rows were deleted.
func TestGraceOfAPeerThatWasCutOff(t *testing.T) {
	lapsed := RowChanges{Rows: []Row{deletedRow("a", 8)}, Since: 5, Until: 9, GraceMs: 1900, OutMs: 4000}
	newIdle := func(t *testing.T) *Follower {
		f, _ := newServersFollower(t)
		<-time.After(5 * time.Second)
		return f
	}
	for name, c := range map[string]struct {
		prepare func(*Follower)
		listed  string
	}{
		"the store responded to another peer meanwhile": {func(f *Follower) {
			<-time.After(2 * time.Second)
			f.ApplyFromPeer(RowChanges{Rows: []Row{newRow("b", "ready", 7)}, Since: 5, Until: 7})
			<-time.After(time.Second)
		}, "b"},
		"the store responded here meanwhile": {func(f *Follower) {
			f.markAvailable()
			<-time.After(2 * time.Second)
		}, "b"},
		"the store responded to nobody":        {func(*Follower) {}, "a b"},
		"the store responded after its outage": {func(f *Follower) { f.markAvailable() }, "a b"},
		"the store responded until its outage": {func(f *Follower) {
			f.markAvailable()
			<-time.After(4 * time.Second)
		}, "a b"},
	} {
		Convey("A server whose row is deleted while a peer recovers, when "+name+", is listed: "+c.listed, t, func() {
			synctest.Test(t, func(t *testing.T) {
				f := newIdle(t)
				c.prepare(f)
				f.ApplyFromPeer(lapsed)
				if got := listServers(f.holder); got != c.listed {
					t.Errorf("listed %q, want %q", got, c.listed)
				}
			})
		})
	}
}

func TestFollowerReliesOnAPeer(t *testing.T) {
	// run runs a Follower for d after its first read, and returns the number of its
	// further calls. after runs once the Follower waits.
	run := func(t *testing.T, d time.Duration, readByPeer func() bool, after func(*Follower)) int {
		source := &scriptedSource{}
		f := NewFollower(TableServers, source, NewHolder(eventlog.Discard()), eventlog.Discard(), clockwork.NewRealClock())
		f.Share(readByPeer, func(RowChanges) {})
		source.responses = []response{{rows: []Row{newRow("a", "ready", 2)}, rev: 2}}
		for range 100 {
			source.responses = append(source.responses, response{rev: 2})
		}
		ctx, cancel := context.WithTimeout(t.Context(), d)
		defer cancel()
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = f.Run(ctx)
		}()
		<-time.After(time.Second)
		after(f)
		<-done
		return len(source.sinceArgs)
	}
	always := func() bool { return true }
	nothing := func(*Follower) {}

	Convey("While a peer reads the table, the store is read once in maxUnreadPeriod", t, func() {
		synctest.Test(t, func(t *testing.T) {
			if n := run(t, maxUnreadPeriod-time.Second, always, nothing); n != 0 {
				t.Errorf("%d calls while a peer reads", n)
			}
			if n := run(t, 2*maxUnreadPeriod+2*time.Second, always, nothing); n != 2 {
				t.Errorf("%d calls in twice maxUnreadPeriod, want 2", n)
			}
		})
	})
	Convey("Changes with a gap make it read at once", t, func() {
		synctest.Test(t, func(t *testing.T) {
			n := run(t, 2*time.Second, always, func(f *Follower) { f.ApplyFromPeer(RowChanges{Since: 9, Until: 10}) })
			if n != 1 {
				t.Errorf("%d calls after a gap, want 1", n)
			}
		})
	})
	Convey("It reads within peerCheckInterval of the end of the peer's reports, and does not count as a reader before", t, func() {
		synctest.Test(t, func(t *testing.T) {
			start := time.Now()
			readByPeer := func() bool { return time.Since(start) < 1500*time.Millisecond }
			n := run(t, 1500*time.Millisecond+peerCheckInterval, readByPeer, func(f *Follower) {
				if _, ok := f.LastRead(); ok {
					t.Error("a Follower that relies on a peer reports reads of its own")
				}
			})
			if n != 1 {
				t.Errorf("%d calls after the peer has ended, want 1", n)
			}
		})
	})
}
