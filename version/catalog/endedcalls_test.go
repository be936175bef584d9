package catalog

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// slowStore is a store with a change every 0.3 s that begins its responses 0.4 s late.
type slowStore struct {
	largeSource
	start time.Time
}

const slowStoreChangeInterval = 300 * time.Millisecond

// revision returns the revision of the newest change.
func (s *slowStore) revision() uint64 {
	return 10 + uint64(time.Since(s.start)/slowStoreChangeInterval)
}

func (s *slowStore) ChangesSince(ctx context.Context, _ Table, since uint64, wait time.Duration) ([]Row, Position, error) {
	if since == s.revision() && wait > 0 {
		select {
		case <-time.After(min(wait, slowStoreChangeInterval-time.Since(s.start)%slowStoreChangeInterval)):
		case <-ctx.Done():
			return nil, Position{}, ctx.Err()
		}
	}
	select {
	case <-time.After(400 * time.Millisecond):
	case <-ctx.Done():
		return nil, Position{}, ctx.Err()
	}
	ResponseBegun(ctx)
	revision := s.revision()
	return []Row{largeConfig(int(revision), revision)}, Position{Revision: revision}, nil
}

// Guards against a reader that counts as lost, so that all entry instances of its data centre
// read the store, because each of its calls is ended before the store responds.
func TestReaderWhoseCallsAreEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _ := newLargeFollower()
		store := &slowStore{start: time.Now()}
		f.source = store
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { _ = f.Run(ctx) })
		relay, relaySource := newLargeFollower()
		var shared RowChanges
		relay.Share(func() bool { return false }, func(c RowChanges) { shared = sent(c) })
		oldest := time.Duration(0)
		for range 30 {
			revision := store.revision()
			pollAll(relay, &relaySource.scriptedSource, response{rows: []Row{largeConfig(int(revision), revision)}, rev: revision})
			<-time.After(200 * time.Millisecond)
			f.ApplyFromPeer(shared)
			<-time.After(100 * time.Millisecond)
			respondedAt, _ := f.LastRead()
			oldest = max(oldest, time.Since(respondedAt))
		}
		cancel()
		running.Wait()
		if oldest >= 3*time.Second {
			t.Errorf("the last response of the store was up to %v ago", oldest)
		}
	})
}
