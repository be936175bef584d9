package exchange

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/process/eventlog"
	"github.com/rattanway/rattanway/process/httpserver"
	"github.com/rattanway/rattanway/test/wait"
	"github.com/rattanway/rattanway/version/catalog"
)

const (
	token = "test-token"
)

// unavailableStore is a store whose calls fail. It decodes rows of the table of
// declarations as configurations.
type unavailableStore struct{}

func (unavailableStore) List(context.Context, catalog.Table) ([]catalog.Row, uint64, error) {
	return nil, 0, errors.New("down")
}

func (unavailableStore) ChangesSince(context.Context, catalog.Table, uint64, time.Duration) ([]catalog.Row, uint64, error) {
	return nil, 0, errors.New("down")
}

func (unavailableStore) Decode(t catalog.Table, r catalog.Row, _ time.Time) (catalog.Change, error) {
	if t == catalog.TableServers {
		return catalog.Change{Server: &catalog.Server{ID: r.Key}}, nil
	}
	return catalog.Change{Config: &catalog.Config{Version: int64(r.Revision)}}, nil
}

// fakeLoadTracker provides the counts set by the test and stores the counts that the
// other instance sends.
type fakeLoadTracker struct {
	mu       sync.Mutex
	running  map[string]int
	received map[string]int
}

func (l *fakeLoadTracker) RunningByServer() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.running
}

func (l *fakeLoadTracker) set(running map[string]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running = running
}

func (l *fakeLoadTracker) ResetPeerLoads(string) { l.UpdatePeerLoads("", nil) }

func (l *fakeLoadTracker) UpdatePeerLoads(_ string, running map[string]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, n := range running {
		l.received[id] = n
	}
}

func (l *fakeLoadTracker) receivedCount(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.received[id]
}

// testInstance is an Exchange with the holder, the followers and the load tracker
// that it uses.
type testInstance struct {
	*Exchange
	holder                            *catalog.Holder
	declaredFollower, serversFollower *catalog.Follower
	loadTracker                       *fakeLoadTracker
}

// newTestInstance starts an instance without the address of any other instance.
func newTestInstance(t *testing.T, name string) *testInstance {
	t.Helper()
	clock, log := clockwork.NewRealClock(), eventlog.Discard()
	i := &testInstance{holder: catalog.NewHolder(log), loadTracker: &fakeLoadTracker{received: map[string]int{}}}
	i.declaredFollower = catalog.NewFollower(catalog.TableDeclared, unavailableStore{}, i.holder, log, clock)
	i.serversFollower = catalog.NewFollower(catalog.TableServers, unavailableStore{}, i.holder, log, clock)
	var handler http.Handler
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { handler.ServeHTTP(w, r) }))
	i.Exchange = New(Config{
		Self: core.Instance{ID: name, Role: core.RoleEntry, Addr: server.Listener.Addr().String()}, Token: token,
		Holder: i.holder, DeclaredFollower: i.declaredFollower, ServersFollower: i.serversFollower, LoadTracker: i.loadTracker, Log: log, Clock: clock,
	})
	handler = httpserver.RequirePeerToken(token, i.Exchange)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = i.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		server.CloseClientConnections()
		server.Close()
	})
	return i
}

func TestExchange(t *testing.T) {
	Convey("Two instances, one of which has the address of the other, send each other their request counts", t, func() {
		a, b := newTestInstance(t, "a"), newTestInstance(t, "b")
		a.loadTracker.set(map[string]int{"s1": 3})
		b.loadTracker.set(map[string]int{"s2": 5})
		a.AddPeer(b.cfg.Self.Addr)
		So(wait.Until(func() bool { return b.loadTracker.receivedCount("s1") == 3 && a.loadTracker.receivedCount("s2") == 5 }), ShouldBeTrue)
		a.loadTracker.set(map[string]int{})
		So(wait.Until(func() bool { return b.loadTracker.receivedCount("s1") == 0 }), ShouldBeTrue)
	})

	Convey("An instance without a response from the store gets newer tables and the ages of weights from another instance", t, func() {
		a, b := newTestInstance(t, "a"), newTestInstance(t, "b")
		a.declaredFollower.AdoptIfNewer(catalog.TableContent{Rows: []catalog.Row{{Key: "config", Revision: 7}}, ChangeRevision: 7, ReadRevision: 9}, "store")
		a.serversFollower.AdoptIfNewer(catalog.TableContent{Rows: []catalog.Row{{Key: "s1", Revision: 8}}, ChangeRevision: 8, ReadRevision: 9}, "store")
		declaredAt := time.Now().Add(-3 * time.Second)
		a.holder.MergeWeights(catalog.Weights{Model: "herbs", Version: 2, DeclaredAt: declaredAt}, time.Now())
		b.AddPeer(a.cfg.Self.Addr)
		So(wait.Until(func() bool {
			s := b.holder.Current()
			return s.Complete() && s.Config.Version == 7 && s.Servers["s1"] != nil && s.Weights["herbs"].Version == 2
		}), ShouldBeTrue)
		So(b.holder.Current().Weights["herbs"].DeclaredAt.Sub(declaredAt), ShouldBeBetween, -time.Second, time.Second)
	})
}

func TestChangedCounts(t *testing.T) {
	Convey("Only counts that changed are sent, and 0 for servers that are gone", t, func() {
		sent := map[string]int{}
		So(changedCounts(sent, map[string]int{"a": 2, "b": 1}), ShouldResemble, map[string]int{"a": 2, "b": 1})
		So(changedCounts(sent, map[string]int{"a": 2, "b": 3}), ShouldResemble, map[string]int{"b": 3})
		So(changedCounts(sent, map[string]int{"a": 2}), ShouldResemble, map[string]int{"b": 0})
		So(changedCounts(sent, map[string]int{"a": 2}), ShouldBeEmpty)
	})
}
