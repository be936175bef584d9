package confstore

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/process/eventlog"
	"github.com/rattanway/rattanway/process/platform"
	"github.com/rattanway/rattanway/version/declare"
)

// applyVersions creates versions 1 to count, each with one more region.
func applyVersions(pub *Publisher, count int) {
	var names []string
	for i := range count {
		names = append(names, fmt.Sprintf("r%d", i))
		_, err := pub.Apply(context.Background(), changeToRegions(uint64(i), fmt.Sprintf("c%d", i+1), names...))
		So(err, ShouldBeNil)
	}
}

// damageRow changes one byte in the value of a row.
func damageRow(p *platform.Platform, key string) {
	ctx := context.Background()
	row, err := p.Table.Get(ctx, key, 0)
	So(err, ShouldBeNil)
	damaged := append([]byte{}, row.Value...)
	damaged[len(damaged)/3] ^= 1
	So(p.Table.Commit(ctx, []platform.Write{{Key: key, Value: damaged}}), ShouldBeNil)
}

func TestBoundedHistory(t *testing.T) {
	Convey("Given a publisher that keeps three versions", t, func() {
		p := newPlatform(t)
		pub := newPublisher(p)
		pub.HistoryLimit = 3
		ctx := context.Background()
		applyVersions(pub, 6)

		Convey("the newest three versions can be listed and replayed", func() {
			entries, err := pub.History(ctx, 100)
			So(err, ShouldBeNil)
			So(len(entries), ShouldEqual, 3)
			So(entries[0].Number, ShouldEqual, 6)
			_, _, err = pub.Replay(ctx, 4)
			So(err, ShouldBeNil)
		})
		Convey("the older versions are removed, rows and objects alike", func() {
			_, _, err := pub.Replay(ctx, 3)
			So(err, ShouldWrap, ErrVersionNotFound)
			rows, err := p.Table.List(ctx, "config/", "", 100)
			So(err, ShouldBeNil)
			So(len(rows), ShouldEqual, 1+3+3)
		})
		Convey("a follower far behind reads the full snapshot", func() {
			holder := NewHolder()
			holder.Offer(snapshotWithRegions(1, "r0"))
			f := NewFollower(FollowerConfig{}, p.Table, p.ObjectStore, holder, eventlog.Discard(), clockwork.NewRealClock())
			So(f.poll(ctx), ShouldBeNil)
			So(holder.Current().Number, ShouldEqual, 6)
		})
		Convey("a version that is no longer kept cannot be reverted to", func() {
			_, err := pub.Revert(ctx, 1, changeToRegions(6, "back"))
			So(err, ShouldWrap, ErrVersionNotFound)
		})
	})
}

// trackedObjects records the names of the objects that were put and not deleted.
type trackedObjects struct {
	platform.ObjectStore
	mu    sync.Mutex
	names map[string]bool
}

// Put implements platform.ObjectStore.
func (o *trackedObjects) Put(ctx context.Context, name string, body []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.names[name] = true
	return o.ObjectStore.Put(ctx, name, body)
}

// Delete implements Deleter.
func (o *trackedObjects) Delete(ctx context.Context, name string) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.names, name)
	return o.ObjectStore.(Deleter).Delete(ctx, name)
}

func TestSnapshotObjectsAfterConcurrentChanges(t *testing.T) {
	Convey("Given operators who apply changes at once", t, func() {
		p := newPlatform(t)
		objects := &trackedObjects{ObjectStore: p.ObjectStore, names: map[string]bool{}}
		p.ObjectStore = objects
		const rounds = 10
		for round := range uint64(rounds) {
			applyAtOnce(context.Background(), p, 5, round)
		}

		Convey("only the snapshots of accepted versions remain", func() {
			So(len(objects.names), ShouldEqual, rounds)
			for number := range uint64(rounds) {
				_, _, err := newPublisher(p).Replay(context.Background(), number+1)
				So(err, ShouldBeNil)
			}
		})
	})
}

func TestConcurrentChangesWithEqualSets(t *testing.T) {
	Convey("Given operators who apply changes with equal sets at once", t, func() {
		p := newPlatform(t)
		ctx := context.Background()
		var wg sync.WaitGroup
		for n := range 5 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				_, _ = newPublisher(p).Apply(ctx, changeToRegions(0, fmt.Sprint("operator-", n), "same"))
			}()
		}
		wg.Wait()

		Convey("the snapshot of the accepted version remains", func() {
			So(countHistoryRows(p), ShouldEqual, 1)
			_, _, err := newPublisher(p).Replay(ctx, 1)
			So(err, ShouldBeNil)
		})
	})
}

func TestIntegrity(t *testing.T) {
	Convey("Given a history of three versions", t, func() {
		p := newPlatform(t)
		pub := newPublisher(p)
		ctx := context.Background()
		applyVersions(pub, 3)

		Convey("reading a damaged history row fails", func() {
			damageRow(p, historyKey(2))
			_, err := pub.History(ctx, 10)
			So(err, ShouldWrap, ErrIntegrity)
			_, _, err = pub.Replay(ctx, 2)
			So(err, ShouldWrap, ErrIntegrity)
		})
		Convey("a follower reads the full snapshot when a history row is damaged", func() {
			damageRow(p, historyKey(2))
			holder := NewHolder()
			holder.Offer(snapshotWithRegions(1, "r0"))
			f := NewFollower(FollowerConfig{}, p.Table, p.ObjectStore, holder, eventlog.Discard(), clockwork.NewRealClock())
			So(f.poll(ctx), ShouldBeNil)
			So(holder.Current().Number, ShouldEqual, 3)
		})
		Convey("listing a history with a missing version fails", func() {
			So(p.Table.Commit(ctx, []platform.Write{{Key: historyKey(2), Delete: true}}), ShouldBeNil)
			_, err := pub.History(ctx, 10)
			So(err, ShouldWrap, ErrIntegrity)
		})
		Convey("when the head row is damaged, a follower keeps its version and no change is accepted", func() {
			damageRow(p, headKey)
			holder := NewHolder()
			f := NewFollower(FollowerConfig{}, p.Table, p.ObjectStore, holder, eventlog.Discard(), clockwork.NewRealClock())
			So(f.poll(ctx), ShouldWrap, ErrIntegrity)
			So(holder.Current().Number, ShouldEqual, 0)
			_, err := pub.Apply(ctx, changeToRegions(3, "c4", "z"))
			So(err, ShouldWrap, ErrIntegrity)
		})
		Convey("replaying a version whose snapshot was replaced fails", func() {
			head, err := pub.Head(ctx)
			So(err, ShouldBeNil)
			name := snapshotName(head.Number, head.Digest)
			So(p.ObjectStore.(Deleter).Delete(ctx, name), ShouldBeNil)
			other, _, err := declare.Encode(setWithRegions("other"))
			So(err, ShouldBeNil)
			So(p.ObjectStore.Put(ctx, name, other), ShouldBeNil)
			_, _, err = pub.Replay(ctx, 3)
			So(err, ShouldWrap, ErrIntegrity)
		})
	})
}
