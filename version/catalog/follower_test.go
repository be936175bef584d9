package catalog

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/process/eventlog"
)

// response is what the store returns for one call.
type response struct {
	rows []Row
	rev  uint64
	// era is the store's era.
	era uint64
	err error
}

// scriptedSource is a Source that returns prepared responses in order. Further calls
// block until their context ends. The value of a server's row is "ready", "leaving"
// or, for a row that cannot be decoded, "spoilt". A colon in the key ends the data centre.
type scriptedSource struct {
	mu        sync.Mutex
	responses []response
	// listCallCount is the number of List calls.
	listCallCount int
	// sinceArgs holds the revisions passed to ChangesSince.
	sinceArgs []uint64
}

func (s *scriptedSource) next(ctx context.Context) ([]Row, Position, error) {
	s.mu.Lock()
	if len(s.responses) == 0 {
		s.mu.Unlock()
		<-ctx.Done()
		return nil, Position{}, ctx.Err()
	}
	r := s.responses[0]
	s.responses = s.responses[1:]
	s.mu.Unlock()
	return r.rows, Position{r.era, r.rev}, r.err
}

func (s *scriptedSource) List(ctx context.Context, _ Table) ([]Row, Position, error) {
	s.mu.Lock()
	s.listCallCount++
	s.mu.Unlock()
	return s.next(ctx)
}

func (s *scriptedSource) ChangesSince(ctx context.Context, _ Table, since uint64, _ time.Duration) ([]Row, Position, error) {
	s.mu.Lock()
	s.sinceArgs = append(s.sinceArgs, since)
	s.mu.Unlock()
	return s.next(ctx)
}

func (s *scriptedSource) Decode(t Table, r Row, now time.Time) (Change, error) {
	if t == TableDeclared {
		return s.decodeDeclared(r)
	}
	dataCentre, _, found := strings.Cut(r.Key, ":")
	if !found {
		dataCentre = ""
	}
	server := &Server{ID: r.Key, Service: "registry", DataCentre: dataCentre, Leaving: string(r.Value) == "leaving", ColdUntil: now.Add(time.Second)}
	if string(r.Value) == "spoilt" {
		return Change{Server: server, Removed: true}, errors.New("spoilt")
	}
	return Change{Server: server, Removed: r.Deleted}, nil
}

func (s *scriptedSource) decodeDeclared(r Row) (Change, error) {
	if out, ok := strings.CutPrefix(r.Key, "out/"); ok {
		return Change{DataCentreOut: out, Removed: r.Deleted}, nil
	}
	n, err := strconv.ParseInt(string(r.Value), 10, 64)
	if model, ok := strings.CutPrefix(r.Key, "version/"); ok {
		return Change{Weights: &Weights{Model: model, Version: int(n)}}, err
	}
	return Change{Config: &Config{Version: n}}, err
}

// newRow returns a row that is not deleted.
func newRow(key, value string, rev uint64) Row {
	return Row{Key: key, Value: []byte(value), Revision: rev}
}

// deletedRow returns a deleted row.
func deletedRow(key string, rev uint64) Row { return Row{Key: key, Revision: rev, Deleted: true} }

// pollAll sets the responses of source, polls once for each of them, and returns
// the result of listServers.
func pollAll(f *Follower, source *scriptedSource, responses ...response) string {
	source.mu.Lock()
	source.responses = responses
	source.mu.Unlock()
	for range responses {
		err := f.pollOnce(context.Background())
		switch {
		case errors.Is(err, ErrHistoryLost):
			f.resetReadRevision()
		case err != nil:
			f.markUnavailable(err)
		}
	}
	return listServers(f.holder)
}

// listServers returns the IDs of the listed servers, separated by spaces. A "!"
// follows the ID of a server that is leaving.
func listServers(h *Holder) string {
	var all []string
	s := h.Current()
	for _, server := range s.ServersOf("registry") {
		if server.Leaving {
			all = append(all, server.ID+"!")
			continue
		}
		all = append(all, server.ID)
	}
	return strings.Join(all, " ")
}

func newFollower(t Table) (*Follower, *scriptedSource, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	source := &scriptedSource{}
	return NewFollower(t, source, NewHolder(eventlog.Discard()), eventlog.Discard(), clock), source, clock
}

var errDown = errors.New("down")

func TestFollowerOfServers(t *testing.T) {
	Convey("Changes apply in order, and a deleted server is removed at once", t, func() {
		f, source, _ := newFollower(TableServers)
		So(pollAll(f, source, response{rows: []Row{newRow("a", "ready", 3), newRow("b", "ready", 4)}, rev: 9}), ShouldEqual, "a b")
		So(f.holder.Current().ServersKnown, ShouldBeTrue)
		So(pollAll(f, source, response{rows: []Row{newRow("a", "leaving", 10)}, rev: 10}), ShouldEqual, "a! b")
		So(pollAll(f, source, response{rows: []Row{deletedRow("a", 11), newRow("c", "ready", 12)}, rev: 12}), ShouldEqual, "b c")
		So(source.sinceArgs, ShouldResemble, []uint64{9, 10})
	})

	Convey("After lost history the complete table is read again", t, func() {
		f, source, _ := newFollower(TableServers)
		got := pollAll(f, source,
			response{rows: []Row{newRow("a", "ready", 3), newRow("b", "ready", 4)}, rev: 9},
			response{err: ErrHistoryLost},
			response{rows: []Row{newRow("b", "ready", 4), newRow("c", "ready", 20)}, rev: 21},
		)
		So(got, ShouldEqual, "b c")
		So(source.listCallCount, ShouldEqual, 2)
	})

	Convey("A row that cannot be decoded removes its server and no other", t, func() {
		f, source, _ := newFollower(TableServers)
		So(pollAll(f, source, response{rows: []Row{newRow("a", "ready", 3), newRow("x", "spoilt", 4)}, rev: 9}), ShouldEqual, "a")
		So(pollAll(f, source, response{rows: []Row{newRow("a", "spoilt", 10)}, rev: 10}), ShouldEqual, "")
	})

	Convey("Servers whose rows disappeared in an outage of the store stay listed until 2 s after the outage", t, func() {
		f, source, clock := newFollower(TableServers)
		pollAll(f, source, response{rows: []Row{newRow("a", "ready", 3), newRow("b", "ready", 4)}, rev: 9}, response{err: errDown})
		clock.Advance(5 * time.Second)
		So(pollAll(f, source, response{rows: []Row{deletedRow("a", 10), deletedRow("b", 11)}, rev: 11}), ShouldEqual, "a b")
		clock.Advance(time.Second)
		So(pollAll(f, source, response{rows: []Row{newRow("b", "ready", 12)}, rev: 12}), ShouldEqual, "a b")
		clock.Advance(1100 * time.Millisecond)
		So(pollAll(f, source, response{rev: 13}), ShouldEqual, "b")
	})

	Convey("A server still missing after the grace period is removed at its end, without waiting for the next change", t, func() {
		f, source, clock := newFollower(TableServers)
		pollAll(f, source, response{rows: []Row{newRow("a", "ready", 3), newRow("b", "ready", 4)}, rev: 9}, response{err: errDown})
		pollAll(f, source, response{rev: 10})
		restoredAt := clock.Now()
		clock.Advance(210 * time.Millisecond)
		So(pollAll(f, source, response{rows: []Row{deletedRow("a", 11)}, rev: 11}), ShouldEqual, "a b")
		for listServers(f.holder) != "b" {
			clock.Advance(f.batchDelay())
			clock.Advance(f.pollTimeout())
			pollAll(f, source, response{rev: 12})
		}
		So(clock.Since(restoredAt), ShouldBeLessThanOrEqualTo, missingGracePeriod+10*time.Millisecond)
	})

	Convey("A newer table from another entry instance is adopted, an older table is not", t, func() {
		f, source, _ := newFollower(TableServers)
		pollAll(f, source, response{rows: []Row{newRow("a", "ready", 3)}, rev: 9}, response{err: errDown})
		f.AdoptIfNewer(TableContent{Rows: []Row{newRow("b", "ready", 2)}, ChangeRevision: 2, ReadRevision: 30}, "peer")
		So(listServers(f.holder), ShouldEqual, "a")
		f.AdoptIfNewer(TableContent{Rows: []Row{newRow("a", "leaving", 12)}, ChangeRevision: 12, ReadRevision: 30}, "peer")
		So(listServers(f.holder), ShouldEqual, "a!")
		So(f.LastChange(), ShouldResemble, Position{Revision: 12})
	})

	Convey("A row that is read again does not start another cold period", t, func() {
		f, source, clock := newFollower(TableServers)
		pollAll(f, source, response{rows: []Row{newRow("a", "ready", 3)}, rev: 9}, response{err: ErrHistoryLost})
		clock.Advance(2 * time.Second)
		pollAll(f, source, response{rows: []Row{newRow("a", "ready", 3)}, rev: 12})
		So(f.holder.Current().Servers["a"].Cold(clock.Now()), ShouldBeFalse)
	})
}

func TestFollowerOfDeclarations(t *testing.T) {
	Convey("An older configuration is ignored, whether from the store or from another entry instance", t, func() {
		f, source, _ := newFollower(TableDeclared)
		pollAll(f, source, response{rows: []Row{newRow("config", "7", 3)}, rev: 9}, response{rows: []Row{newRow("config", "5", 10)}, rev: 10})
		So(f.holder.Current().Config.Version, ShouldEqual, 7)
		f.AdoptIfNewer(TableContent{Rows: []Row{newRow("config", "6", 20)}, ChangeRevision: 20, ReadRevision: 20}, "peer")
		So(f.holder.Current().Config.Version, ShouldEqual, 7)
	})

	Convey("A data centre stays out of service until its row is missing from a read of the complete table", t, func() {
		f, source, _ := newFollower(TableDeclared)
		pollAll(f, source, response{rows: []Row{newRow("out/palermo", "", 3)}, rev: 9})
		So(f.holder.Current().DataCentresOut["palermo"], ShouldBeTrue)
		pollAll(f, source, response{err: ErrHistoryLost}, response{rows: []Row{newRow("config", "7", 12)}, rev: 12})
		So(f.holder.Current().DataCentresOut["palermo"], ShouldBeFalse)
	})
}

func TestRoutes(t *testing.T) {
	Convey("The route of the host with the longest matching prefix is used", t, func() {
		h := NewHolder(eventlog.Discard())
		h.Apply([]Change{{Config: &Config{Version: 1, Routes: []Route{
			{Name: "short", Host: "Example", Prefix: "/a/"}, {Name: "long", Host: "example", Prefix: "/a/b/"},
		}}}}, true, false, time.Now())
		name := func(host, path string) string {
			if r := h.Current().Route(host, path); r != nil {
				return r.Name
			}
			return ""
		}
		So(name("example", "/a/b/c"), ShouldEqual, "long")
		So(name("EXAMPLE:80", "/a/bc"), ShouldEqual, "short")
		So(name("example", "/a"), ShouldBeEmpty)
		So(name("other", "/a/"), ShouldBeEmpty)
	})
}
