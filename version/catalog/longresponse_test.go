package catalog

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/process/eventlog"
)

// longSource is a store behind a busy link. Each response begins headerDelay after the wait,
// and takes bodyTime from then on. A call without a header 700 ms after its wait fails.
type longSource struct {
	scriptedSource
	headerDelay, bodyTime time.Duration
	// deadConnections is true if calls that wait for changes get no response.
	deadConnections bool
	// breaksOff is true if no response becomes complete.
	breaksOff bool

	mu sync.Mutex
	// callCount counts the calls, begunCount the responses that have begun, and endedCount
	// those of them that the caller ended.
	callCount, begunCount, endedCount int
	// begunAt is when the last response began.
	begunAt time.Time
}

func (s *longSource) respond(ctx context.Context, wait time.Duration) error {
	s.mu.Lock()
	s.callCount++
	s.mu.Unlock()
	header := wait + s.headerDelay
	if s.deadConnections && wait > 0 || s.headerDelay > 700*time.Millisecond {
		header = wait + 700*time.Millisecond
	}
	select {
	case <-time.After(header):
	case <-ctx.Done():
		return ctx.Err()
	}
	if header == wait+700*time.Millisecond {
		return errors.Wrap(context.DeadlineExceeded, "no response header")
	}
	s.mu.Lock()
	s.begunCount++
	s.begunAt = time.Now()
	s.mu.Unlock()
	ResponseBegun(ctx)
	select {
	case <-time.After(s.bodyTime):
	case <-ctx.Done():
		s.mu.Lock()
		s.endedCount++
		s.mu.Unlock()
		return ctx.Err()
	}
	if s.breaksOff {
		return errDown
	}
	return nil
}

func (s *longSource) List(ctx context.Context, _ Table) ([]Row, Position, error) {
	return []Row{newRow("config", "1", 5)}, Position{Revision: 5}, s.respond(ctx, 0)
}

func (s *longSource) ChangesSince(ctx context.Context, _ Table, _ uint64, wait time.Duration) ([]Row, Position, error) {
	if err := s.respond(ctx, wait); err != nil {
		return nil, Position{}, err
	}
	return []Row{newRow("config", "2", 8)}, Position{Revision: 9}, nil
}

// counts returns callCount, begunCount and endedCount.
func (s *longSource) counts() [3]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return [3]int{s.callCount, s.begunCount, s.endedCount}
}

// newLongFollower returns a Follower of the table of declarations that has read source, which
// then gets the delays given.
func newLongFollower(t *testing.T, headerDelay, bodyTime time.Duration) (*Follower, *longSource) {
	t.Helper()
	source := &longSource{}
	f := NewFollower(TableDeclared, source, NewHolder(eventlog.Discard()), eventlog.Discard(), clockwork.NewRealClock())
	if err := f.poll(t.Context()); err != nil {
		t.Fatal(err)
	}
	source.headerDelay, source.bodyTime, source.callCount, source.begunCount = headerDelay, bodyTime, 0, 0
	return f, source
}

// Guards against a busy link that carries the same rows several times, while none of the
// transfers ends: a call whose response was coming in was made again, or ended.
func TestLongResponseIsReadOnce(t *testing.T) {
	for name, c := range map[string]struct {
		headerDelay time.Duration
		dead        bool
		// counts is the number of calls, of those that begin to respond, and of those that are
		// ended then.
		counts [3]int
	}{
		"begins at once, there is no second call":                              {0, false, [3]int{1, 1, 0}},
		"begins late, there is no second call":                                 {overdueAfter - 50*time.Millisecond, false, [3]int{1, 1, 0}},
		"begins after the second call was made, the second call is ended":      {overdueAfter + 50*time.Millisecond, false, [3]int{2, 1, 0}},
		"is the one to the second call, the end of the first does not end it":  {50 * time.Millisecond, true, [3]int{2, 1, 0}},
		"to the second call begins late, the end of the first does not end it": {overdueAfter, true, [3]int{2, 1, 0}},
	} {
		Convey("If a response that takes 5 s "+name, t, func() {
			synctest.Test(t, func(t *testing.T) {
				f, source := newLongFollower(t, c.headerDelay, 5*time.Second)
				source.deadConnections = c.dead
				err := f.poll(t.Context())
				synctest.Wait()
				if got := source.counts(); err != nil || got != c.counts || configVersion(f) != "2" || f.StoreUnavailable() {
					t.Errorf("calls, responses begun and ended: %v, want %v; configuration %s, error %v", got, c.counts, configVersion(f), err)
				}
			})
		})
	}

	Convey("A response that breaks off fails, also if another call was ended for it", t, func() {
		synctest.Test(t, func(t *testing.T) {
			for _, dead := range []bool{false, true} {
				f, source := newLongFollower(t, 50*time.Millisecond, time.Second)
				source.deadConnections, source.breaksOff = dead, true
				if err := f.poll(t.Context()); !errors.Is(err, errDown) {
					t.Errorf("error %v, want that of the response", err)
				}
			}
		})
	})
}

// Guards against all instances of a data centre reading the store because the one that reads it
// for them receives a long response.
func TestReaderWithALongResponse(t *testing.T) {
	Convey("While a response is coming in, the last read is its begin", t, func() {
		synctest.Test(t, func(t *testing.T) {
			f, source := newLongFollower(t, 50*time.Millisecond, 5*time.Second)
			go func() { _ = f.poll(t.Context()) }()
			settle(longPollTimeout + 4*time.Second)
			if respondedAt, ok := f.LastRead(); !ok || !respondedAt.Equal(source.begunAt) {
				t.Errorf("last read at %v (%v), the response began at %v", respondedAt, ok, source.begunAt)
			}
			settle(2 * time.Second)
			if respondedAt, ok := f.LastRead(); !ok || !respondedAt.Equal(source.begunAt.Add(source.bodyTime)) {
				t.Errorf("last read at %v (%v), the response began at %v", respondedAt, ok, source.begunAt)
			}
		})
	})
	Convey("A response that has broken off does not count", t, func() {
		synctest.Test(t, func(t *testing.T) {
			f, source := newLongFollower(t, 0, time.Second)
			source.breaksOff = true
			before, _ := f.LastRead()
			if err := f.poll(t.Context()); err == nil {
				t.Error("the call did not fail")
			}
			if respondedAt, _ := f.LastRead(); !respondedAt.Equal(before) {
				t.Errorf("last read at %v, want %v", respondedAt, before)
			}
		})
	})
}

// Guards against transfers that start again whenever a peer connects.
func TestRetryNowDuringALongResponse(t *testing.T) {
	for name, prepare := range map[string]func(*Follower){
		"changes":          func(*Follower) {},
		"a complete table": (*Follower).resetReadRevision,
	} {
		Convey("RetryNow does not end a call whose response is coming in: "+name, t, func() {
			synctest.Test(t, func(t *testing.T) {
				f, source := newLongFollower(t, 50*time.Millisecond, 5*time.Second)
				f.markUnavailable(errDown)
				prepare(f)
				ended := make(chan error, 1)
				go func() { ended <- f.poll(t.Context()) }()
				settle(2 * time.Second)
				f.RetryNow()
				if err := <-ended; err != nil || source.counts() != [3]int{1, 1, 0} {
					t.Errorf("error %v, calls, responses begun and ended: %v", err, source.counts())
				}
			})
		})
	}
}
