package exchange

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/process/eventlog"
	"github.com/rattanway/rattanway/test/wait"
	"github.com/rattanway/rattanway/version/catalog"
)

// oneRowStore is a store with one server, until it is removed.
type oneRowStore struct {
	unavailableStore
	mu      sync.Mutex
	removed bool
}

// remove removes the row.
func (s *oneRowStore) remove() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removed = true
}

// oneRowSource is the access of one instance to a oneRowStore.
type oneRowSource struct {
	*oneRowStore
	mu  sync.Mutex
	cut bool
}

// setCut makes all calls fail, or ends that.
func (s *oneRowSource) setCut(cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut = cut
}

func (s *oneRowSource) isCut() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cut
}

func (s *oneRowSource) List(context.Context, catalog.Table) ([]catalog.Row, catalog.Position, error) {
	if s.isCut() {
		return nil, catalog.Position{}, errors.New("cut")
	}
	return []catalog.Row{{Key: "s", Revision: 1}}, catalog.Position{Revision: 1}, nil
}

func (s *oneRowSource) ChangesSince(ctx context.Context, _ catalog.Table, since uint64, maxWait time.Duration) ([]catalog.Row, catalog.Position, error) {
	for end := time.Now().Add(maxWait); ; {
		s.oneRowStore.mu.Lock()
		removed := s.removed
		s.oneRowStore.mu.Unlock()
		switch {
		case s.isCut():
			return nil, catalog.Position{}, errors.New("cut")
		case removed && since < 2:
			return []catalog.Row{{Key: "s", Revision: 2, Deleted: true}}, catalog.Position{Revision: 2}, nil
		case !time.Now().Before(end):
			return nil, catalog.Position{Revision: since}, nil
		}
		select {
		case <-time.After(10 * time.Millisecond):
		case <-ctx.Done():
			return nil, catalog.Position{}, ctx.Err()
		}
	}
}

func (s *oneRowSource) Decode(_ catalog.Table, r catalog.Row, _ time.Time) (catalog.Change, error) {
	return catalog.Change{Server: &catalog.Server{ID: r.Key, DataCentre: "y"}, Removed: r.Deleted}, nil
}

// Guards against requests to a server that left while this entry instance alone was cut off
// from the store: the others know that the store was there, and say so.
func TestPeersReportThatTheStoreWasThere(t *testing.T) {
	Convey("Of two instances one is cut off from the store, and a server leaves meanwhile", t, func() {
		const heartbeat = 600 * time.Millisecond
		store := &oneRowStore{}
		start := func(name string) (*testInstance, *oneRowSource) {
			source := &oneRowSource{oneRowStore: store}
			i := newIdleTestInstance(t, name)
			follower := catalog.NewFollower(catalog.TableServers, source, i.holder, eventlog.Discard(), clockwork.NewRealClock())
			follower.SetServerHeartbeat(heartbeat)
			i.cfg.ServersFollower = follower
			ctx, cancel := context.WithCancel(context.Background())
			var running sync.WaitGroup
			running.Go(func() { _ = follower.Run(ctx) })
			t.Cleanup(func() {
				cancel()
				running.Wait()
			})
			i.start()
			return i, source
		}
		lists := func(i *testInstance) bool { return i.holder.Current().Servers["s"] != nil }
		a, sourceOfA := start("x.a")
		b, _ := start("y.b")
		a.AddPeer(b.cfg.Self.Addr, "y")
		b.AddPeer(a.cfg.Self.Addr, "x")
		So(wait.Until(func() bool { return lists(a) && lists(b) && a.loadTracker.connectionCount() > 0 }), ShouldBeTrue)

		sourceOfA.setCut(true)
		<-time.After(4 * heartbeat)
		So(a.cfg.ServersFollower.StoreUnavailable(), ShouldBeTrue)
		store.remove()
		So(wait.Until(func() bool { return !lists(b) }), ShouldBeTrue)
		sourceOfA.setCut(false)
		endedAt := time.Now()
		So(wait.Until(func() bool { return !lists(a) }), ShouldBeTrue)
		// Alone it would list the server for 2 s.
		So(time.Since(endedAt), ShouldBeLessThan, 1900*time.Millisecond)
	})
}
