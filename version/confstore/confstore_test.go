package confstore

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/process/eventlog"
	"github.com/rattanway/rattanway/process/platform"
	standin "github.com/rattanway/rattanway/standin/platform"
	"github.com/rattanway/rattanway/version/declare"
)

// newPlatform starts a stand-in platform and returns HTTP adapters for it.
func newPlatform(t *testing.T) *platform.Platform {
	t.Helper()
	web := httptest.NewServer(standin.New(standin.Config{}, clockwork.NewRealClock()))
	t.Cleanup(web.Close)
	return platform.NewHTTP(platform.Config{
		Addr:    strings.TrimPrefix(web.URL, "http://"),
		Timeout: 2 * time.Second,
		Metrics: metrics.NewRegistry(),
	})
}

// newPublisher returns a Publisher that uses p.
func newPublisher(p *platform.Platform) *Publisher {
	return NewPublisher(p.Table, p.ObjectStore, clockwork.NewRealClock())
}

// setWithRegions returns a set that declares the named regions.
func setWithRegions(names ...string) *declare.Set {
	set := declare.NewSet()
	for _, name := range names {
		set.Regions[name] = &declare.Region{Name: name}
	}
	return set
}

// changeToRegions returns a change with the given base and change id, whose set
// declares the named regions.
func changeToRegions(base uint64, id string, names ...string) Change {
	return Change{Base: base, Author: "ann", Reason: "test", ChangeID: id, Set: setWithRegions(names...)}
}

// snapshotWithRegions returns a snapshot whose set declares the named regions.
func snapshotWithRegions(number uint64, names ...string) *declare.Snapshot {
	set := setWithRegions(names...)
	_, digest, err := declare.Encode(set)
	So(err, ShouldBeNil)
	return &declare.Snapshot{Number: number, Digest: digest, Set: set}
}

// faultyTable makes commits fail with an unknown outcome.
type faultyTable struct {
	platform.Table
	mu sync.Mutex
	// responsesToLose is how many of the coming commits take effect but return
	// platform.ErrUnknownOutcome.
	responsesToLose int
	// commitsToDrop is how many of the coming commits have no effect and return
	// platform.ErrUnknownOutcome. These commits come before those that
	// responsesToLose counts.
	commitsToDrop int
}

// Commit implements platform.Table.
func (f *faultyTable) Commit(ctx context.Context, writes []platform.Write) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.commitsToDrop > 0 {
		f.commitsToDrop--
		return core.WrapStep("commit", "fake", platform.ErrUnknownOutcome)
	}
	err := f.Table.Commit(ctx, writes)
	if f.responsesToLose > 0 {
		f.responsesToLose--
		return core.WrapStep("commit", "fake", platform.ErrUnknownOutcome)
	}
	return err
}

// countHistoryRows returns the number of history rows.
func countHistoryRows(p *platform.Platform) int {
	rows, err := p.Table.List(context.Background(), historyPrefix, "", 1000)
	So(err, ShouldBeNil)
	return len(rows)
}

func TestApply(t *testing.T) {
	Convey("Given a publisher", t, func() {
		p := newPlatform(t)
		pub := newPublisher(p)
		ctx := context.Background()
		first, err := pub.Apply(ctx, changeToRegions(0, "c1", "a"))
		So(err, ShouldBeNil)
		So(first.Number, ShouldEqual, 1)

		Convey("a change on the newest version creates the next version", func() {
			second, err := pub.Apply(ctx, changeToRegions(1, "c2", "a", "b"))
			So(err, ShouldBeNil)
			So(second.Number, ShouldEqual, 2)
			entries, err := pub.History(ctx, 10)
			So(err, ShouldBeNil)
			So(len(entries), ShouldEqual, 2)
			So(entries[0].ChangeID, ShouldEqual, "c2")
			So(entries[0].ChangeCount, ShouldEqual, 1)
		})
		Convey("a change on an older version fails with the winning version and the differences", func() {
			_, err := pub.Apply(ctx, changeToRegions(0, "c2", "z"))
			var conflict *ConflictError
			So(errors.As(err, &conflict), ShouldBeTrue)
			So(conflict.Winner.Author, ShouldEqual, "ann")
			So(conflict.Winner.Number, ShouldEqual, 1)
			So(conflict.Winner.ChangeID, ShouldEqual, "c1")
			So(conflict.Changes, ShouldResemble, []declare.Change{
				{Action: declare.ActionAdd, Ref: declare.Ref{Kind: declare.KindRegion, Name: "a"}},
			})
		})
		Convey("the same change applied again returns the same version", func() {
			_, err := pub.Apply(ctx, changeToRegions(1, "c2", "a", "b"))
			So(err, ShouldBeNil)
			again, err := newPublisher(p).Apply(ctx, changeToRegions(0, "c1", "a"))
			So(err, ShouldBeNil)
			So(again.Number, ShouldEqual, 1)
			So(countHistoryRows(p), ShouldEqual, 2)
		})
		Convey("a change id may contain any characters", func() {
			for base, id := range []string{"..", "a/b c?&=%2F", "é\n"} {
				c := changeToRegions(uint64(base+1), id, "a", fmt.Sprint("r", base))
				first, err := pub.Apply(ctx, c)
				So(err, ShouldBeNil)
				again, err := newPublisher(p).Apply(ctx, c)
				So(err, ShouldBeNil)
				So(again.Number, ShouldEqual, first.Number)
			}
			So(countHistoryRows(p), ShouldEqual, 4)
		})
		Convey("another change with the same change id is refused", func() {
			_, err := pub.Apply(ctx, changeToRegions(1, "c1", "q"))
			So(err, ShouldWrap, ErrChangeIDReused)
		})
		Convey("an equal set creates no version", func() {
			_, err := pub.Apply(ctx, changeToRegions(1, "c2", "a"))
			So(err, ShouldWrap, ErrUnchanged)
			So(countHistoryRows(p), ShouldEqual, 1)
		})
		Convey("an invalid set changes nothing", func() {
			bad := changeToRegions(1, "c2")
			bad.Set.DataCentres["d"] = &declare.DataCentre{Name: "d", Region: "none"}
			_, err := pub.Apply(ctx, bad)
			var invalid *declare.InvalidError
			So(errors.As(err, &invalid), ShouldBeTrue)
			So(countHistoryRows(p), ShouldEqual, 1)
		})
		Convey("a change without a reason is refused", func() {
			bad := changeToRegions(1, "c2", "a", "b")
			bad.Reason = ""
			_, err := pub.Apply(ctx, bad)
			So(err, ShouldWrap, ErrInvalidChange)
		})
		Convey("a version has the same documents at each replay, and reverting to it creates a new version", func() {
			_, err := pub.Apply(ctx, changeToRegions(1, "c2", "b"))
			So(err, ShouldBeNil)
			before, _, err := pub.Replay(ctx, 1)
			So(err, ShouldBeNil)
			So(string(before), ShouldEqual, "---\nkind: Region\nname: a\n")
			third, err := pub.Revert(ctx, 1, changeToRegions(2, "c3"))
			So(err, ShouldBeNil)
			So(third.Number, ShouldEqual, 3)
			So(third.Digest, ShouldEqual, first.Digest)
			after, _, err := newPublisher(p).Replay(ctx, 1)
			So(err, ShouldBeNil)
			So(string(after), ShouldEqual, string(before))
		})
	})
}

func TestLostResponses(t *testing.T) {
	Convey("Given a table whose responses are lost", t, func() {
		p := newPlatform(t)
		table := &faultyTable{Table: p.Table}
		pub := NewPublisher(table, p.ObjectStore, clockwork.NewRealClock())
		ctx := context.Background()

		Convey("a change whose response was lost after the commit is found again", func() {
			table.responsesToLose = 1
			s, err := pub.Apply(ctx, changeToRegions(0, "c1", "a"))
			So(err, ShouldBeNil)
			So(s.Number, ShouldEqual, 1)
			So(countHistoryRows(p), ShouldEqual, 1)
		})
		Convey("a change whose commit was lost is committed again", func() {
			table.commitsToDrop = 2
			s, err := pub.Apply(ctx, changeToRegions(0, "c1", "a"))
			So(err, ShouldBeNil)
			So(s.Number, ShouldEqual, 1)
			So(countHistoryRows(p), ShouldEqual, 1)
		})
		Convey("a change fails if its outcome stays unknown, and creates one row when it is retried", func() {
			table.commitsToDrop = maxAttempts
			_, err := pub.Apply(ctx, changeToRegions(0, "c1", "a"))
			So(err, ShouldWrap, platform.ErrUnknownOutcome)
			table.responsesToLose = 1
			_, err = pub.Apply(ctx, changeToRegions(0, "c1", "a"))
			So(err, ShouldBeNil)
			_, err = newPublisher(p).Apply(ctx, changeToRegions(0, "c1", "a"))
			So(err, ShouldBeNil)
			So(countHistoryRows(p), ShouldEqual, 1)
		})
	})
}

func TestConcurrentChanges(t *testing.T) {
	for _, operators := range []int{2, 10} {
		Convey(fmt.Sprintf("Given %d operators who apply changes to the same version at once", operators), t, func() {
			p := newPlatform(t)
			ctx := context.Background()
			const rounds = 10
			for round := range uint64(rounds) {
				errs := applyAtOnce(ctx, p, operators, round)
				accepted := 0
				for _, err := range errs {
					var conflict *ConflictError
					if err == nil {
						accepted++
						continue
					}
					So(errors.As(err, &conflict), ShouldBeTrue)
					So(conflict.Winner.Number, ShouldEqual, round+1)
					So(conflict.Winner.Author, ShouldNotBeEmpty)
					So(conflict.Changes, ShouldNotBeEmpty)
				}
				So(accepted, ShouldEqual, 1)
			}
			So(countHistoryRows(p), ShouldEqual, rounds)
		})
	}
}

// applyAtOnce applies as many different changes as there are operators,
// concurrently and to the same base version, and returns the errors of Apply.
func applyAtOnce(ctx context.Context, p *platform.Platform, operators int, base uint64) []error {
	errs := make([]error, operators)
	var wg sync.WaitGroup
	for n := range operators {
		wg.Add(1)
		go func() {
			defer wg.Done()
			id := fmt.Sprintf("round-%d-operator-%d", base, n)
			_, errs[n] = newPublisher(p).Apply(ctx, changeToRegions(base, id, id))
		}()
	}
	wg.Wait()
	return errs
}

func TestFollower(t *testing.T) {
	Convey("Given a follower", t, func() {
		p := newPlatform(t)
		pub := newPublisher(p)
		ctx := context.Background()
		holder := NewHolder()
		f := NewFollower(FollowerConfig{}, p.Table, p.ObjectStore, holder, eventlog.Discard(), clockwork.NewRealClock())

		Convey("it reads the first version as a full snapshot and the next ones by deltas", func() {
			_, err := pub.Apply(ctx, changeToRegions(0, "c1", "a"))
			So(err, ShouldBeNil)
			So(f.poll(ctx), ShouldBeNil)
			So(holder.Current().Number, ShouldEqual, 1)
			p.ObjectStore = nil
			_, err = pub.Apply(ctx, changeToRegions(1, "c2", "a", "b"))
			So(err, ShouldBeNil)
			_, err = pub.Apply(ctx, changeToRegions(2, "c3", "b"))
			So(err, ShouldBeNil)
			f.objects = nil
			So(f.poll(ctx), ShouldBeNil)
			So(holder.Current().Number, ShouldEqual, 3)
			So(declare.Diff(holder.Current().Set, setWithRegions("b")), ShouldBeEmpty)
		})
		Convey("it confirms the current version when nothing has changed", func() {
			So(holder.ConfirmedWithin(time.Minute), ShouldBeFalse)
			So(f.poll(ctx), ShouldBeNil)
			So(holder.ConfirmedWithin(time.Minute), ShouldBeTrue)
		})
		Convey("it ignores a head older than the current version", func() {
			_, err := pub.Apply(ctx, changeToRegions(0, "c1", "a"))
			So(err, ShouldBeNil)
			holder.Offer(&declare.Snapshot{Number: 9, Set: setWithRegions("x")})
			So(f.poll(ctx), ShouldBeNil)
			So(holder.Current().Number, ShouldEqual, 9)
		})
	})
}

func TestPeers(t *testing.T) {
	Convey("Given a holder and a peer with an older version", t, func() {
		ctx := context.Background()
		pub := newPublisher(newPlatform(t))
		holder, peer := NewHolder(), NewHolder()
		for n := range uint64(3) {
			s, err := pub.Apply(ctx, changeToRegions(n, fmt.Sprint(n), "a", fmt.Sprint("r", n)))
			So(err, ShouldBeNil)
			holder.Offer(s)
			if n == 0 {
				peer.Offer(s)
			}
		}

		Convey("a peer a few versions behind gets a delta", func() {
			e, err := EncodeForPeer(holder, 1)
			So(err, ShouldBeNil)
			So(e.BaseNumber, ShouldEqual, 1)
			So(OfferEncoded(peer, e), ShouldBeNil)
			So(peer.Current().Digest, ShouldEqual, holder.Current().Digest)
		})
		Convey("a new peer gets the full configuration", func() {
			e, err := EncodeForPeer(holder, 0)
			So(err, ShouldBeNil)
			So(e.BaseNumber, ShouldEqual, 0)
			fresh := NewHolder()
			So(OfferEncoded(fresh, e), ShouldBeNil)
			So(fresh.Current().Number, ShouldEqual, 3)
		})
		Convey("a delta with another base is refused", func() {
			e, err := EncodeForPeer(holder, 2)
			So(err, ShouldBeNil)
			So(OfferEncoded(peer, e), ShouldWrap, ErrBaseMismatch)
			So(peer.Current().Number, ShouldEqual, 1)
		})
		Convey("a damaged body changes nothing", func() {
			e, err := EncodeForPeer(holder, 0)
			So(err, ShouldBeNil)
			e.Body = append([]byte{}, e.Body...)
			e.Body[len(e.Body)-1] ^= 1
			So(OfferEncoded(peer, e), ShouldNotBeNil)
			So(peer.Current().Number, ShouldEqual, 1)
		})
		Convey("a peer that has the current version gets nothing", func() {
			_, err := EncodeForPeer(holder, 3)
			So(err, ShouldWrap, ErrPeerUpToDate)
		})
	})
}

func TestHolderNeverGoesBack(t *testing.T) {
	Convey("Given a holder whose current version is 3", t, func() {
		holder := NewHolder()
		holder.Offer(snapshotWithRegions(3, "c"))
		changed := holder.Changed()

		Convey("an older version, or another one with the same number, is not accepted", func() {
			So(holder.Offer(snapshotWithRegions(2, "b")), ShouldBeFalse)
			So(holder.Offer(snapshotWithRegions(3, "other")), ShouldBeFalse)
			older := NewHolder()
			older.Offer(snapshotWithRegions(2, "b"))
			e, err := EncodeForPeer(older, 0)
			So(err, ShouldBeNil)
			So(OfferEncoded(holder, e), ShouldBeNil)
			So(holder.Current().Digest, ShouldEqual, snapshotWithRegions(3, "c").Digest)
			select {
			case <-changed:
				So("changed was closed", ShouldBeEmpty)
			default:
			}
		})
	})
}

func TestConfirmation(t *testing.T) {
	Convey("Given a confirmed holder", t, func() {
		clock := clockwork.NewFakeClock()
		h := NewHolderWithClock(clock)
		h.Offer(&declare.Snapshot{Number: 4, Set: setWithRegions("a")})
		h.Confirm(clock.Now())
		So(h.ConfirmedWithin(time.Second), ShouldBeTrue)
		requestedAt := clock.Now()
		clock.Advance(time.Minute)

		Convey("the confirmation expires", func() {
			So(h.ConfirmedWithin(time.Second), ShouldBeFalse)
		})
		Convey("the response to an earlier request confirms the version as of that request", func() {
			h.Confirm(requestedAt)
			So(h.ConfirmedWithin(time.Second), ShouldBeFalse)
		})
		Convey("a peer with a newer version confirms nothing", func() {
			h.RecordPeerVersion(5, clock.Now())
			So(h.ConfirmedWithin(time.Second), ShouldBeFalse)
			h.RecordPeerVersion(4, clock.Now())
			So(h.ConfirmedWithin(time.Second), ShouldBeTrue)
		})
	})
}
