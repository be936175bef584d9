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

// step is what the store answers to one call.
type step struct {
	rows []Row
	rev  uint64
	err  error
}

// scriptedSource answers calls by a script, and then not at all. A row's value
// is "ready", "leaving" or, for one that cannot be read, "spoilt".
type scriptedSource struct {
	mu    sync.Mutex
	steps []step
	lists int
	feeds []uint64
}

func (s *scriptedSource) next(ctx context.Context) ([]Row, uint64, error) {
	s.mu.Lock()
	if len(s.steps) == 0 {
		s.mu.Unlock()
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	now := s.steps[0]
	s.steps = s.steps[1:]
	s.mu.Unlock()
	return now.rows, now.rev, now.err
}

func (s *scriptedSource) List(ctx context.Context, _ Table) ([]Row, uint64, error) {
	s.mu.Lock()
	s.lists++
	s.mu.Unlock()
	return s.next(ctx)
}

func (s *scriptedSource) Feed(ctx context.Context, _ Table, since uint64, _ time.Duration) ([]Row, uint64, error) {
	s.mu.Lock()
	s.feeds = append(s.feeds, since)
	s.mu.Unlock()
	return s.next(ctx)
}

func (s *scriptedSource) Decode(t Table, r Row, now time.Time) (Change, error) {
	if t == TableDeclared {
		return s.decodeDeclared(r)
	}
	v := &Server{ID: r.Key, Service: "registry", Leaving: string(r.Value) == "leaving", ColdUntil: now.Add(time.Second)}
	if string(r.Value) == "spoilt" {
		return Change{Server: v, Removed: true}, errors.New("spoilt")
	}
	return Change{Server: v, Removed: r.Deleted}, nil
}

func (s *scriptedSource) decodeDeclared(r Row) (Change, error) {
	if out, ok := strings.CutPrefix(r.Key, "out/"); ok {
		return Change{Out: out, Removed: r.Deleted}, nil
	}
	n, err := strconv.ParseInt(string(r.Value), 10, 64)
	return Change{Config: &Config{Version: n}}, err
}

// row is a server's row.
func row(key, value string, rev uint64) Row {
	return Row{Key: key, Value: []byte(value), Revision: rev}
}

// gone is a deleted row.
func gone(key string, rev uint64) Row { return Row{Key: key, Revision: rev, Deleted: true} }

// follow plays steps to a Follower in virtual time and returns the servers that
// are left, as ID or ID! for one that leaves.
func follow(f *Follower, source *scriptedSource, steps ...step) string {
	source.mu.Lock()
	source.steps = steps
	source.mu.Unlock()
	for range steps {
		err := f.step(context.Background())
		switch {
		case errors.Is(err, ErrHistoryLost):
			f.forgetRevision()
		case err != nil:
			f.missed(err)
		}
	}
	return listed(f.holder)
}

func listed(h *Holder) string {
	var all []string
	s := h.Current()
	for _, v := range s.ServersOf("registry") {
		if v.Leaving {
			all = append(all, v.ID+"!")
			continue
		}
		all = append(all, v.ID)
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
	Convey("Changes arrive in order, and a server that left is gone at once", t, func() {
		f, source, _ := newFollower(TableServers)
		So(follow(f, source, step{rows: []Row{row("a", "ready", 3), row("b", "ready", 4)}, rev: 9}), ShouldEqual, "a b")
		So(f.holder.Current().ServersKnown, ShouldBeTrue)
		So(follow(f, source, step{rows: []Row{row("a", "leaving", 10)}, rev: 10}), ShouldEqual, "a! b")
		So(follow(f, source, step{rows: []Row{gone("a", 11), row("c", "ready", 12)}, rev: 12}), ShouldEqual, "b c")
		So(source.feeds, ShouldResemble, []uint64{9, 10})
	})

	Convey("Lost history is made good by reading the table whole", t, func() {
		f, source, _ := newFollower(TableServers)
		got := follow(f, source,
			step{rows: []Row{row("a", "ready", 3), row("b", "ready", 4)}, rev: 9},
			step{err: ErrHistoryLost},
			step{rows: []Row{row("b", "ready", 4), row("c", "ready", 20)}, rev: 21},
		)
		So(got, ShouldEqual, "b c")
		So(source.lists, ShouldEqual, 2)
	})

	Convey("An entry that cannot be read names no server; the others hold", t, func() {
		f, source, _ := newFollower(TableServers)
		So(follow(f, source, step{rows: []Row{row("a", "ready", 3), row("x", "spoilt", 4)}, rev: 9}), ShouldEqual, "a")
		So(follow(f, source, step{rows: []Row{row("a", "spoilt", 10)}, rev: 10}), ShouldEqual, "")
	})

	Convey("Entries that lapsed with the store are kept for 2 s after it is back", t, func() {
		f, source, clock := newFollower(TableServers)
		follow(f, source, step{rows: []Row{row("a", "ready", 3), row("b", "ready", 4)}, rev: 9}, step{err: errDown})
		clock.Advance(5 * time.Second)
		So(follow(f, source, step{rows: []Row{gone("a", 10), gone("b", 11)}, rev: 11}), ShouldEqual, "a b")
		clock.Advance(time.Second)
		So(follow(f, source, step{rows: []Row{row("b", "ready", 12)}, rev: 12}), ShouldEqual, "a b")
		clock.Advance(1100 * time.Millisecond)
		So(follow(f, source, step{rev: 13}), ShouldEqual, "b")
	})

	Convey("One that is still missing then is gone at once, and not with the next change", t, func() {
		f, source, clock := newFollower(TableServers)
		follow(f, source, step{rows: []Row{row("a", "ready", 3), row("b", "ready", 4)}, rev: 9}, step{err: errDown})
		follow(f, source, step{rev: 10})
		back := clock.Now()
		clock.Advance(210 * time.Millisecond)
		So(follow(f, source, step{rows: []Row{gone("a", 11)}, rev: 11}), ShouldEqual, "a b")
		for listed(f.holder) != "b" {
			clock.Advance(f.gatherPause())
			clock.Advance(f.wait())
			follow(f, source, step{rev: 12})
		}
		So(clock.Since(back), ShouldBeLessThanOrEqualTo, lapseGrace+10*time.Millisecond)
	})

	Convey("A table that another instance has newer is taken over, an older one is not", t, func() {
		f, source, _ := newFollower(TableServers)
		follow(f, source, step{rows: []Row{row("a", "ready", 3)}, rev: 9}, step{err: errDown})
		f.Relay(State{Rows: []Row{row("b", "ready", 2)}, Changed: 2, Read: 30}, "peer")
		So(listed(f.holder), ShouldEqual, "a")
		f.Relay(State{Rows: []Row{row("a", "leaving", 12)}, Changed: 12, Read: 30}, "peer")
		So(listed(f.holder), ShouldEqual, "a!")
		So(f.Changed(), ShouldEqual, 12)
	})

	Convey("An entry that is read again does not make its server cold again", t, func() {
		f, source, clock := newFollower(TableServers)
		follow(f, source, step{rows: []Row{row("a", "ready", 3)}, rev: 9}, step{err: ErrHistoryLost})
		clock.Advance(2 * time.Second)
		follow(f, source, step{rows: []Row{row("a", "ready", 3)}, rev: 12})
		So(f.holder.Current().Servers["a"].Cold(clock.Now()), ShouldBeFalse)
	})
}

func TestFollowerOfDeclarations(t *testing.T) {
	Convey("A configuration never goes back, whoever brings an older one", t, func() {
		f, source, _ := newFollower(TableDeclared)
		follow(f, source, step{rows: []Row{row("config", "7", 3)}, rev: 9}, step{rows: []Row{row("config", "5", 10)}, rev: 10})
		So(f.holder.Current().Config.Version, ShouldEqual, 7)
		f.Relay(State{Rows: []Row{row("config", "6", 20)}, Changed: 20, Read: 20}, "peer")
		So(f.holder.Current().Config.Version, ShouldEqual, 7)
	})

	Convey("A data centre is out until its row is gone, also across a whole read", t, func() {
		f, source, _ := newFollower(TableDeclared)
		follow(f, source, step{rows: []Row{row("out/palermo", "", 3)}, rev: 9})
		So(f.holder.Current().Out["palermo"], ShouldBeTrue)
		follow(f, source, step{err: ErrHistoryLost}, step{rows: []Row{row("config", "7", 12)}, rev: 12})
		So(f.holder.Current().Out["palermo"], ShouldBeFalse)
	})
}

func TestRoutes(t *testing.T) {
	Convey("The longest prefix of the host wins", t, func() {
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
