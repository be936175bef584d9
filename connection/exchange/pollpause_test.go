package exchange

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/process/eventlog"
	"github.com/rattanway/rattanway/version/catalog"
)

// quietStore is a store whose table is at revision 5 and does not change. It counts the calls
// for changes.
type quietStore struct {
	unavailableStore
	mu        sync.Mutex
	callCount int
}

func (s *quietStore) List(context.Context, catalog.Table) ([]catalog.Row, catalog.Position, error) {
	return nil, catalog.Position{Revision: 5}, nil
}

func (s *quietStore) ChangesSince(ctx context.Context, _ catalog.Table, _ uint64, wait time.Duration) ([]catalog.Row, catalog.Position, error) {
	s.mu.Lock()
	s.callCount++
	s.mu.Unlock()
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	return nil, catalog.Position{Revision: 5}, ctx.Err()
}

// Guards against a table of backend servers that is read from the store ever later after each
// change that is missing: these reads have no response that ends the request.
func TestReadsOfMissingServersStayFrequent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock, log, store := clockwork.NewRealClock(), eventlog.Discard(), &quietStore{}
		x := New(Config{
			DeclaredFollower: catalog.NewFollower(catalog.TableDeclared, store, catalog.NewHolder(log), log, clock),
			ServersFollower:  catalog.NewFollower(catalog.TableServers, store, catalog.NewHolder(log), log, clock),
			Log:              log, Clock: clock,
		})
		x.cfg.ServersFollower.Share(func() bool { return true }, func(catalog.RowChanges) {})
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { _ = x.cfg.ServersFollower.Run(ctx) })
		<-time.After(time.Second)
		lags := map[catalog.Table]*lag{catalog.TableDeclared: {}, catalog.TableServers: {}}
		before := store.callCount
		for range 50 {
			if err := x.requestTables(&receiver{x: x}, frame.LoadUpdate{ServersRevision: 9}, lags); err != nil {
				t.Fatal(err)
			}
			<-time.After(100 * time.Millisecond)
		}
		store.mu.Lock()
		count := store.callCount - before
		store.mu.Unlock()
		if count < 8 {
			t.Errorf("%d reads of the store in 5 s", count)
		}
		cancel()
		running.Wait()
	})
}
