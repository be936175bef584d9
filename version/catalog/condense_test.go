package catalog

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
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

// largeSource is a scriptedSource whose configurations are large. The version is the
// first word of the value.
type largeSource struct {
	scriptedSource
	waits []time.Duration
	// beginAfter is the time until the response to a call that gets none begins; 0 means never.
	beginAfter time.Duration
	// onCall is called for each ChangesSince; nil for nothing.
	onCall func()
}

func (s *largeSource) ChangesSince(ctx context.Context, t Table, since uint64, wait time.Duration) ([]Row, Position, error) {
	s.mu.Lock()
	s.waits = append(s.waits, wait)
	begin := s.beginAfter > 0
	s.mu.Unlock()
	if s.onCall != nil {
		s.onCall()
	}
	if begin {
		select {
		case <-time.After(s.beginAfter):
			ResponseBegun(ctx)
		case <-ctx.Done():
		}
	}
	return s.scriptedSource.ChangesSince(ctx, t, since, wait)
}

func (s *largeSource) Decode(t Table, r Row, now time.Time) (Change, error) {
	if r.Key == "config" {
		version, _, _ := strings.Cut(string(r.Value), " ")
		r.Value = []byte(version)
	}
	return s.scriptedSource.Decode(t, r, now)
}

// sinceRevisions returns the revisions passed to ChangesSince.
func (s *largeSource) sinceRevisions() []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]uint64(nil), s.sinceArgs...)
}

// largeConfig returns the row of a configuration of 60 KB that has one version in common
// with no other, and all else with every other one.
func largeConfig(version int, revision uint64) Row {
	random := rand.New(rand.NewPCG(1, 1))
	value := fmt.Appendf(nil, "%d ", version)
	for range 1500 {
		value = fmt.Appendf(value, `{"name":"route-%x","kind":"safe"},`, random.Uint32())
	}
	return Row{Key: "config", Value: value, Revision: revision}
}

// newLargeFollower returns a Follower of the declarations that has read version 1 of a
// large configuration at revision 5, and its source.
func newLargeFollower() (*Follower, *largeSource) {
	source := &largeSource{}
	f := NewFollower(TableDeclared, source, NewHolder(eventlog.Discard()), eventlog.Discard(), clockwork.NewRealClock())
	pollAll(f, &source.scriptedSource, response{rows: []Row{largeConfig(1, 5)}, rev: 5})
	return f, source
}

// rowBytes returns the size of rows as they are sent.
func rowBytes(rows []Row) int {
	n := 0
	for _, r := range rows {
		n += len(r.Value) + patchStep{patches: r.Patches}.bytes()
	}
	return n
}

// sent returns the changes as a peer receives them that takes patches.
func sent(c RowChanges) RowChanges {
	rows := []Row{}
	for _, r := range c.Rows {
		rows = append(rows, r.WithoutValue())
	}
	c.Rows = rows
	return c
}

// Guards against a change of one route that takes as long as the whole configuration to
// reach the other entry instances.
func TestSmallChangeOfALargeRow(t *testing.T) {
	Convey("Given a reader that has read two changes of a large configuration", t, func() {
		reader, source := newLargeFollower()
		var shared []RowChanges
		reader.Share(func() bool { return false }, func(c RowChanges) { shared = append(shared, sent(c)) })
		pollAll(reader, &source.scriptedSource,
			response{rows: []Row{largeConfig(2, 7)}, rev: 8}, response{rows: []Row{largeConfig(3, 9)}, rev: 9})
		So(configVersion(reader), ShouldEqual, "3")
		So(shared, ShouldHaveLength, 2)

		Convey("peers get patches and apply them", func() {
			peer, _ := newLargeFollower()
			for i, c := range shared {
				So(rowBytes(c.Rows), ShouldBeLessThan, 200)
				peer.ApplyFromPeer(c)
				So(configVersion(peer), ShouldEqual, strconv.Itoa(i+2))
			}
			So(bytes.Equal(peer.rows["config"].Value, largeConfig(3, 9).Value), ShouldBeTrue)

			Convey("which they can pass on to those that request the table", func() {
				late, _ := newLargeFollower()
				content := peer.ContentSince(late.Revisions())
				So(rowBytes(content.Rows), ShouldBeLessThan, 400)
				changes, err := late.AdoptIfNewer(content, "peer")
				So(err, ShouldBeNil)
				So(configVersion(late), ShouldEqual, "3")
				So(rowBytes(sent(changes).Rows), ShouldBeLessThan, 400)
				So(changes.Since, ShouldEqual, 5)
				So(changes.Until, ShouldEqual, 9)
			})
		})
		Convey("a peer that missed the first change gets both with the table", func() {
			peer, _ := newLargeFollower()
			peer.ApplyFromPeer(shared[1])
			So(configVersion(peer), ShouldEqual, "1")
			_, err := peer.AdoptIfNewer(reader.ContentSince(peer.Revisions()), "reader")
			So(err, ShouldBeNil)
			So(configVersion(peer), ShouldEqual, "3")
		})
		Convey("a peer without the table gets compressed values, and one with all rows none", func() {
			peer := NewFollower(TableDeclared, source, NewHolder(eventlog.Discard()), eventlog.Discard(), clockwork.NewRealClock())
			content := reader.ContentSince(peer.Revisions())
			So(rowBytes(content.Rows), ShouldBeLessThan, len(largeConfig(3, 9).Value)*2/3)
			_, err := peer.AdoptIfNewer(content, "reader")
			So(err, ShouldBeNil)
			So(configVersion(peer), ShouldEqual, "3")
			So(rowBytes(reader.ContentSince(peer.Revisions()).Rows), ShouldEqual, 0)
		})
		Convey("a peer whose rows have changed since its request adopts nothing", func() {
			peer, _ := newLargeFollower()
			content := reader.ContentSince(map[string]uint64{"config": 7}, 0)
			_, err := peer.AdoptIfNewer(content, "reader")
			So(err, ShouldNotBeNil)
			So(configVersion(peer), ShouldEqual, "1")
		})
		Convey("a peer of another era of the store gets no patches", func() {
			So(reader.ContentSince(map[string]uint64{"config": 5}, 1).Rows[0].Base, ShouldEqual, 0)
			peer, _ := newLargeFollower()
			content := reader.ContentSince(peer.Revisions())
			content.Era = 1
			_, err := peer.AdoptIfNewer(content, "reader")
			So(err, ShouldNotBeNil)
			So(configVersion(peer), ShouldEqual, "1")
		})
	})
}

func TestPatchesThatAreKept(t *testing.T) {
	Convey("Only the newest patches of a row are kept, up to a size and a number", t, func() {
		h := patchHistory{}
		for rev := range uint64(100) {
			h.add("small", patchStep{from: rev + 1, to: rev + 2, patches: [][]byte{{1}}})
			h.add("large", patchStep{from: rev + 1, to: rev + 2, patches: [][]byte{make([]byte, maxPatchBytes/4)}})
		}
		So(h.path("small", 101-maxPatchCount, 101), ShouldHaveLength, maxPatchCount)
		So(h.path("small", 100-maxPatchCount, 101), ShouldBeNil)
		So(h.path("large", 97, 101), ShouldHaveLength, 4)
		So(h.path("large", 96, 101), ShouldBeNil)
	})
	Convey("One patch over the limit is kept until the next", t, func() {
		h := patchHistory{}
		h.add("config", patchStep{from: 1, to: 2, patches: [][]byte{make([]byte, 2*maxPatchBytes)}})
		So(h.path("config", 1, 2), ShouldHaveLength, 1)
		h.add("config", patchStep{from: 2, to: 3, patches: [][]byte{{1}}})
		So(h.path("config", 1, 3), ShouldBeNil)
		So(h.path("config", 2, 3), ShouldHaveLength, 1)
	})
}

// Guards against a transfer of a large value from the store, over a narrow link, that the
// process has from a peer, and against an outage that is not noticed because calls are ended.
func TestCallThatAPeerHasOvertaken(t *testing.T) {
	for name, c := range map[string]struct {
		beginAfter time.Duration
		calls      string
	}{
		"A call whose response begins before the peer's changes is ended with them": {500 * time.Millisecond, "[5 8]"},
		"A call whose response begins after the peer's changes is ended then":       {1500 * time.Millisecond, "[5 8]"},
		"A call without a response is not ended":                                    {0, "[5]"},
	} {
		Convey(name, t, func() {
			synctest.Test(t, func(t *testing.T) { checkOvertakenCall(t, c.beginAfter, c.calls) })
		})
	}
}

// checkOvertakenCall delivers a patch from a peer 1 s after the begin of a call, and checks the
// calls within 2 s.
func checkOvertakenCall(t *testing.T, beginAfter time.Duration, calls string) {
	reader, readerSource := newLargeFollower()
	var shared RowChanges
	reader.Share(func() bool { return false }, func(c RowChanges) { shared = sent(c) })
	pollAll(reader, &readerSource.scriptedSource, response{rows: []Row{largeConfig(2, 7)}, rev: 8})

	f, source := newLargeFollower()
	source.beginAfter = beginAfter
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { _ = f.Run(ctx) })
	<-time.After(time.Second)
	f.ApplyFromPeer(shared)
	<-time.After(time.Second)
	unavailable := f.StoreUnavailable()
	if readAt, ok := f.LastRead(); beginAfter > 0 && (!ok || time.Since(readAt) > 2*time.Second-beginAfter) {
		t.Errorf("last response %v ago", time.Since(readAt))
	}
	cancel()
	running.Wait()
	if got := fmt.Sprint(source.sinceRevisions()); got != calls {
		t.Errorf("calls for changes since %s, want %s", got, calls)
	}
	if unavailable {
		t.Error("the call counts as an outage of the store")
	}
}

// Guards against large changes that the store sends to an entry instance which gets them
// from a peer.
func TestCheckOfTheStoreDoesNotWait(t *testing.T) {
	Convey("A Follower whose table a peer reads does not wait for changes at the store", t, func() {
		f, source := newLargeFollower()
		read := true
		f.Share(func() bool { return read }, func(RowChanges) {})
		pollAll(f, &source.scriptedSource, response{rev: 6})
		read = false
		pollAll(f, &source.scriptedSource, response{rev: 6})
		So(source.waits, ShouldResemble, []time.Duration{checkPollTimeout, longPollTimeout})
	})
}

// Guards against entry instances that all ask the store at the same moment whether they have
// missed a change: if there is one then, the store sends it to all of them.
func TestChecksOfTheStoreAreSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const count = 24
		start := time.Now()
		var mu sync.Mutex
		calls := map[time.Duration]int{}
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		for range count {
			f, source := newLargeFollower()
			source.onCall = func() {
				mu.Lock()
				defer mu.Unlock()
				calls[time.Since(start).Truncate(100*time.Millisecond)]++
			}
			for range 100 {
				source.responses = append(source.responses, response{rev: 5})
			}
			f.Share(func() bool { return true }, func(RowChanges) {})
			running.Go(func() { _ = f.Run(ctx) })
		}
		<-time.After(2 * time.Minute)
		cancel()
		running.Wait()
		most, all := 0, 0
		for at, n := range calls {
			if at > time.Minute {
				most, all = max(most, n), all+n
			}
		}
		if most > count/2 || all < count*int(time.Minute/maxUnreadPeriod) {
			t.Errorf("%d calls within a minute, %d of %d Followers in 0.1 s", all, most, count)
		}
	})
}
