package catalog

import (
	"context"
	"maps"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/process/eventlog"
)

// restorableStore is a store of one table in memory that can come back from a copy. Its
// rows are those of scriptedSource.
type restorableStore struct {
	scriptedSource
	mu       sync.Mutex
	position Position
	rows     map[string]Row
	history  []Row
	// changed is closed at each change.
	changed chan struct{}
	// cut makes all calls fail, those that wait too.
	cut bool
	// silent makes ChangesSince calls that start now get no response.
	silent bool
	// lostCalls counts how often the calls in flight have lost their connections.
	lostCalls int
	// callCount is the number of ChangesSince calls.
	callCount int
	// listCount is the number of List calls that were answered.
	listCount int
}

// storeCopy is a copy of the content of a restorableStore.
type storeCopy struct {
	revision uint64
	rows     map[string]Row
	history  []Row
}

func newRestorableStore() *restorableStore {
	return &restorableStore{position: Position{Era: 1}, rows: map[string]Row{}, changed: make(chan struct{})}
}

// change runs do and wakes the calls that wait.
func (s *restorableStore) change(do func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	do()
	close(s.changed)
	s.changed = make(chan struct{})
}

// write writes "key=value" rows in order; "key=" removes a row.
func (s *restorableStore) write(rows ...string) { s.change(func() { s.writeLocked(rows) }) }

func (s *restorableStore) writeLocked(rows []string) {
	for _, assignment := range rows {
		key, value, _ := strings.Cut(assignment, "=")
		s.position.Revision++
		r := Row{Key: key, Value: []byte(value), Revision: s.position.Revision, Deleted: value == ""}
		s.history = append(s.history, r)
		if s.rows[key] = r; r.Deleted {
			delete(s.rows, key)
		}
	}
}

func (s *restorableStore) copyContent() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return storeCopy{s.position.Revision, maps.Clone(s.rows), append([]Row(nil), s.history...)}
}

// restore puts a copy in place of the content, and writes rows before any call sees it.
func (s *restorableStore) restore(c storeCopy, rows ...string) {
	s.change(func() {
		s.position = Position{s.position.Era + 1, c.revision}
		s.rows, s.history = maps.Clone(c.rows), append([]Row(nil), c.history...)
		s.writeLocked(rows)
	})
}

// loseConnections makes the calls in flight get no response.
func (s *restorableStore) loseConnections() { s.change(func() { s.lostCalls++ }) }

func (s *restorableStore) setCut(cut bool) { s.change(func() { s.cut = cut }) }

func (s *restorableStore) List(context.Context, Table) ([]Row, Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cut {
		return nil, Position{}, errDown
	}
	s.listCount++
	var rows []Row
	for _, r := range s.rows {
		rows = append(rows, r)
	}
	return rows, s.position, nil
}

func (s *restorableStore) ChangesSince(ctx context.Context, _ Table, since uint64, maxWait time.Duration) ([]Row, Position, error) {
	s.mu.Lock()
	silent, lostCalls := s.silent, s.lostCalls
	s.callCount++
	s.mu.Unlock()
	begunAt := time.Now()
	noResponse := func() ([]Row, Position, error) {
		select {
		case <-time.After(maxWait + time.Second - time.Since(begunAt)):
		case <-ctx.Done():
		}
		return nil, Position{}, errDown
	}
	if silent {
		return noResponse()
	}
	timeout := time.After(maxWait)
	for timedOut := false; ; {
		s.mu.Lock()
		position, changed, cut, lost := s.position, s.changed, s.cut, s.lostCalls > lostCalls
		var rows []Row
		for _, r := range s.history {
			if r.Revision > since {
				rows = append(rows, r)
			}
		}
		s.mu.Unlock()
		switch {
		case lost:
			return noResponse()
		case cut:
			return nil, Position{}, errDown
		case since > position.Revision:
			return nil, Position{}, ErrHistoryLost
		case len(rows) > 0 || timedOut:
			return rows, position, nil
		}
		select {
		case <-changed:
		case <-timeout:
			timedOut = true
		case <-ctx.Done():
			return nil, Position{}, ctx.Err()
		}
	}
}

// followRestorable runs a Follower of a restorableStore in virtual time until during
// returns.
func followRestorable(t *testing.T, table Table, store *restorableStore, during func(*Follower)) {
	synctest.Test(t, func(t *testing.T) {
		store.write() // makes the channel that calls wait for belong to the bubble
		f := NewFollower(table, store, NewHolder(eventlog.Discard()), eventlog.Discard(), clockwork.NewRealClock())
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_ = f.Run(ctx)
		}()
		settle(time.Second)
		during(f)
		cancel()
		<-ended
	})
}

// settle lets virtual time pass.
func settle(d time.Duration) {
	<-time.After(d)
	synctest.Wait()
}

// configVersion returns the version of the configuration in force, or "none".
func configVersion(f *Follower) string {
	if c := f.holder.Current().Config; c != nil {
		return strconv.FormatInt(c.Version, 10)
	}
	return "none"
}

// inForceWithin is how soon a change must be applied that the store has acknowledged.
const inForceWithin = time.Second

func TestServersWhenTheStoreComesBackFromACopy(t *testing.T) {
	expect := func(t *testing.T, f *Follower, want string) {
		t.Helper()
		if got := listServers(f.holder); got != want {
			t.Errorf("servers %q, want %q", got, want)
		}
	}
	Convey("A data centre that is cut off meanwhile sees a leaving that was written at a number of the lost era", t, func() {
		store := newRestorableStore()
		store.write("a=ready", "b=ready")
		followRestorable(t, TableServers, store, func(f *Follower) {
			earlier := store.copyContent()
			store.write("c=ready", "d=ready", "e=ready")
			settle(inForceWithin)
			expect(t, f, "a b c d e")
			store.setCut(true)
			store.restore(earlier, "a=leaving", "c=ready", "x=ready", "y=ready", "z=ready")
			settle(3 * time.Second)
			store.setCut(false)
			settle(inForceWithin)
			if got := listServers(f.holder); !strings.Contains(got, "a!") || !strings.Contains(got, "x y z") {
				t.Errorf("servers %q, want a leaving, and x, y and z", got)
			}
			settle(missingGracePeriod)
			expect(t, f, "a! b c x y z")
		})
	})
	Convey("A read that waits meanwhile, and is answered at a number that the new era has reached, takes no row for known", t, func() {
		store := newRestorableStore()
		store.write("a=ready", "b=ready")
		followRestorable(t, TableServers, store, func(f *Follower) {
			earlier := store.copyContent()
			store.write("c=ready")
			settle(inForceWithin)
			store.restore(earlier, "a=leaving", "d=ready", "e=ready")
			settle(inForceWithin)
			if got := listServers(f.holder); !strings.Contains(got, "a!") {
				t.Errorf("servers %q, want a leaving", got)
			}
			settle(missingGracePeriod)
			expect(t, f, "a! b d e")
		})
	})
	Convey("Servers of which the copy knows nothing stay listed for the grace period, although no read has failed", t, func() {
		store := newRestorableStore()
		store.write("a=ready")
		followRestorable(t, TableServers, store, func(f *Follower) {
			earlier := store.copyContent()
			store.write("b=ready")
			settle(inForceWithin)
			store.restore(earlier)
			settle(inForceWithin)
			expect(t, f, "a b")
			store.write("b=ready")
			settle(missingGracePeriod)
			expect(t, f, "a b")
		})
	})
	Convey("The complete table is read once for each restoration", t, func() {
		store := newRestorableStore()
		store.write("a=ready")
		followRestorable(t, TableServers, store, func(f *Follower) {
			for range 3 {
				store.restore(store.copyContent(), "a=ready")
				settle(inForceWithin)
			}
			settle(10 * time.Second)
			if store.listCount != 4 {
				t.Errorf("%d lists after three restorations, want 4", store.listCount)
			}
			expect(t, f, "a")
		})
	})
}

func TestConfigurationWhenTheStoreComesBackFromACopy(t *testing.T) {
	expect := func(t *testing.T, f *Follower, want string) {
		t.Helper()
		if got := configVersion(f); got != want {
			t.Errorf("configuration %s, want %s", got, want)
		}
	}
	Convey("A version written at or below the number that was read is in force in time", t, func() {
		store := newRestorableStore()
		store.write("config=58")
		followRestorable(t, TableDeclared, store, func(f *Follower) {
			earlier := store.copyContent()
			store.write("config=60", "out/palermo=", "out/palermo=")
			settle(inForceWithin)
			expect(t, f, "60")
			store.restore(earlier, "config=60", "config=62", "out/serang=", "out/serang=")
			settle(inForceWithin)
			expect(t, f, "62")
		})
	})
	Convey("The older version of the copy does not replace a newer one, and the next that is written does", t, func() {
		store := newRestorableStore()
		store.write("config=58")
		followRestorable(t, TableDeclared, store, func(f *Follower) {
			earlier := store.copyContent()
			store.write("config=60")
			settle(inForceWithin)
			store.restore(earlier)
			settle(inForceWithin)
			expect(t, f, "60")
			store.write("config=59")
			settle(inForceWithin)
			expect(t, f, "60")
			store.write("config=61")
			settle(inForceWithin)
			expect(t, f, "61")
		})
	})
	Convey("An entry instance that relies on a peer's reads follows it into the new era", t, func() {
		store := newRestorableStore()
		store.write("config=58")
		synctest.Test(t, func(t *testing.T) {
			store.write()
			reader := NewFollower(TableDeclared, store, NewHolder(eventlog.Discard()), eventlog.Discard(), clockwork.NewRealClock())
			relying := NewFollower(TableDeclared, store, NewHolder(eventlog.Discard()), eventlog.Discard(), clockwork.NewRealClock())
			reader.Share(func() bool { return false }, relying.ApplyFromPeer)
			relying.Share(func() bool { return true }, func(RowChanges) {})
			ctx, cancel := context.WithCancel(t.Context())
			var running sync.WaitGroup
			running.Go(func() { _ = reader.Run(ctx) })
			running.Go(func() { _ = relying.Run(ctx) })
			settle(time.Second)
			earlier := store.copyContent()
			store.write("config=59", "config=60", "config=61")
			settle(inForceWithin)
			expect(t, relying, "61")
			store.restore(earlier, "config=62")
			settle(inForceWithin)
			expect(t, reader, "62")
			expect(t, relying, "62")
			cancel()
			running.Wait()
		})
	})
}

func TestTablesOfPeersInAnotherEra(t *testing.T) {
	Convey("Given a Follower that has read the store in era 2 up to revision 5", t, func() {
		f, source, clock := newFollower(TableServers)
		pollAll(f, source, response{rows: []Row{newRow("a", "ready", 2), newRow("b", "ready", 5)}, rev: 5, era: 2})

		Convey("a peer's table of an older era is not adopted, whatever its revision", func() {
			f.AdoptIfNewer(TableContent{Rows: []Row{newRow("lost", "ready", 90)}, ChangeRevision: 90, ReadRevision: 90, Era: 1}, "peer")
			So(listServers(f.holder), ShouldEqual, "a b")
			So(f.LastChange(), ShouldResemble, Position{2, 5})
		})
		Convey("a peer's table of a newer era is adopted, whatever its revision", func() {
			f.AdoptIfNewer(TableContent{Rows: []Row{newRow("a", "leaving", 2)}, ChangeRevision: 2, ReadRevision: 3, Era: 3}, "peer")
			So(listServers(f.holder), ShouldStartWith, "a!")
			So(f.LastChange(), ShouldResemble, Position{3, 2})
			clock.Advance(missingGracePeriod)
			So(pollAll(f, source, response{rev: 3, era: 3}), ShouldEqual, "a!")
		})
		Convey("changes of an older era are not applied", func() {
			f.ApplyFromPeer(RowChanges{Rows: []Row{newRow("a", "leaving", 7)}, Since: 5, Until: 8, Era: 1})
			So(listServers(f.holder), ShouldEqual, "a b")
			So(f.lastRead().Revision, ShouldEqual, 5)
		})
		Convey("changes of a newer era are not applied to the rows of this one", func() {
			f.ApplyFromPeer(RowChanges{Rows: []Row{newRow("c", "ready", 7)}, Since: 5, Until: 8, Era: 3})
			So(listServers(f.holder), ShouldEqual, "a b")
			So(f.lastRead().Revision, ShouldEqual, 5)
		})
		Convey("an answer of the store of an older era, with rows or with the complete table, is refused", func() {
			So(pollAll(f, source, response{rows: []Row{newRow("a", "leaving", 8)}, rev: 8, era: 1}), ShouldEqual, "a b")
			So(f.StoreUnavailable(), ShouldBeTrue)
			f.resetReadRevision()
			So(pollAll(f, source, response{rows: []Row{newRow("lost", "ready", 8)}, rev: 8, era: 1}), ShouldEqual, "a b")
			So(pollAll(f, source, response{rows: []Row{newRow("b", "ready", 9)}, rev: 9, era: 2}), ShouldContainSubstring, "b")
			So(f.StoreUnavailable(), ShouldBeFalse)
		})
	})
}

func TestReaderOfAnEarlierBuild(t *testing.T) {
	Convey("An entry instance that relies on a reader that names no era reads the store when the reader sends changes", t, func() {
		store := newRestorableStore()
		store.write("config=58")
		synctest.Test(t, func(t *testing.T) {
			store.write()
			f := NewFollower(TableDeclared, store, NewHolder(eventlog.Discard()), eventlog.Discard(), clockwork.NewRealClock())
			f.Share(func() bool { return true }, func(RowChanges) {})
			ctx, cancel := context.WithCancel(t.Context())
			var running sync.WaitGroup
			running.Go(func() { _ = f.Run(ctx) })
			settle(inForceWithin)
			store.write("config=59")
			f.ApplyFromPeer(RowChanges{Rows: []Row{newRow("config", "59", 2)}, Since: 1, Until: 2})
			settle(inForceWithin)
			if got := configVersion(f); got != "59" {
				t.Errorf("configuration %s, want 59", got)
			}
			cancel()
			running.Wait()
		})
	})
}

func TestAnswerOfAnEraThatAPeerHasLeft(t *testing.T) {
	Convey("A read from a number of the lost era is not applied to a table of the new era that came from a peer meanwhile", t, func() {
		f, source, _ := newFollower(TableServers)
		pollAll(f, source, response{rows: []Row{newRow("a", "ready", 2)}, rev: 5, era: 1})
		f.source = &interruptedSource{scriptedSource: source, during: func() {
			f.AdoptIfNewer(TableContent{Rows: []Row{newRow("a", "leaving", 3), newRow("b", "ready", 4)}, ChangeRevision: 4, ReadRevision: 4, Era: 2}, "peer")
		}}
		// The store answers in era 2 with the changes after number 5; the one with number 5
		// is known to nobody here.
		So(pollAll(f, source, response{rows: []Row{newRow("c", "ready", 6)}, rev: 6, era: 2}), ShouldEqual, "a! b")
		So(f.lastRead().Revision, ShouldEqual, 4)
	})
}

// interruptedSource runs during while a ChangesSince call is in flight.
type interruptedSource struct {
	*scriptedSource
	during func()
}

func (s *interruptedSource) ChangesSince(ctx context.Context, t Table, since uint64, maxWait time.Duration) ([]Row, Position, error) {
	rows, position, err := s.scriptedSource.ChangesSince(ctx, t, since, maxWait)
	s.during()
	return rows, position, err
}
