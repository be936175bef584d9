package catalog

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"

	"github.com/rattanway/rattanway/process/eventlog"
)

const (
	// feedWait is how long one call waits for a change. A connection that
	// went silent is noticed after it; each call has its price.
	feedWait = 2500 * time.Millisecond
	// gatherDeclared and gatherServers let changes that come together arrive
	// in one answer. A declared change must be in force within 2 s; a server
	// that is gone shows by its failed connections sooner than by its entry.
	gatherDeclared = 120 * time.Millisecond
	gatherServers  = 300 * time.Millisecond
	// retryLeast and retryMost bound the pause after a failed call.
	retryLeast = 100 * time.Millisecond
	retryMost  = 600 * time.Millisecond
	// lapseGrace is how long entries of servers may be missing after an
	// outage of the store: the platform has live ones back within about 2 s.
	lapseGrace = 2 * time.Second
)

// State is the content of a followed table, as it is handed to other entry
// instances.
type State struct {
	// Rows are all rows that are present.
	Rows []Row `cbor:"1,keyasint"`
	// Changed is the revision of the newest change.
	Changed uint64 `cbor:"2,keyasint"`
	// Read is the revision up to which the store has been read.
	Read uint64 `cbor:"3,keyasint"`
	// Ages are the ages in milliseconds of the declared weights by model.
	Ages map[string]int64 `cbor:"4,keyasint,omitempty"`
}

// Follower keeps one table up to date in a Holder.
type Follower struct {
	table  Table
	source Source
	holder *Holder
	log    *eventlog.Logger
	clock  clockwork.Clock

	mu      sync.Mutex
	rows    map[string]Row
	changed uint64
	read    uint64
	// heard is when the store last answered, and lost says that it was
	// missed since; backAt is when it came back.
	heard  time.Time
	lost   bool
	backAt time.Time
	// lapsed are the deletions that wait for the end of lapseGrace.
	lapsed map[string]Row
}

// NewFollower returns a Follower of a table.
func NewFollower(t Table, source Source, holder *Holder, log *eventlog.Logger, clock clockwork.Clock) *Follower {
	return &Follower{
		table: t, source: source, holder: holder, log: log, clock: clock,
		rows: map[string]Row{}, lapsed: map[string]Row{}, heard: clock.Now(),
	}
}

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	pause := retryLeast
	for ctx.Err() == nil {
		err := f.step(ctx)
		switch {
		case err == nil:
			pause = retryLeast
			f.sleep(ctx, f.gatherPause())
		case errors.Is(err, ErrHistoryLost):
			f.log.Event(eventHistoryLost, eventlog.Fields{"table": f.table.Name(), "since": f.revision()})
			f.forgetRevision()
		default:
			f.missed(err)
			f.sleep(ctx, pause/2+rand.N(pause))
			pause = min(2*pause, retryMost)
		}
	}
	return nil
}

// gatherPause is the pause after an answer in which further changes come
// together.
func (f *Follower) gatherPause() time.Duration {
	if f.table != TableServers {
		return gatherDeclared
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.lapsed) > 0 && !f.lost {
		// A server that is gone gets nothing more at the end of the grace.
		return min(gatherServers, f.graceLeft(f.clock.Now()))
	}
	return gatherServers
}

func (f *Follower) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-f.clock.After(d):
	case <-ctx.Done():
	}
}

// step makes one call and takes over what it brings.
func (f *Follower) step(ctx context.Context) error {
	since := f.revision()
	if since == 0 {
		rows, rev, err := f.source.List(ctx, f.table)
		if err != nil {
			return err
		}
		f.answered()
		f.replace(State{Rows: rows, Changed: newest(rows), Read: rev}, false)
		return nil
	}
	rows, rev, err := f.source.Feed(ctx, f.table, since, f.wait())
	if err != nil {
		return err
	}
	f.answered()
	f.update(rows, rev)
	return nil
}

// newest returns the newest revision of some rows. The revision of the whole
// store also counts the changes of other tables.
func newest(rows []Row) uint64 {
	n := uint64(1)
	for _, r := range rows {
		n = max(n, r.Revision)
	}
	return n
}

// wait is shorter while deletions wait for the end of their grace.
func (f *Follower) wait() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lost {
		return retryLeast
	}
	if len(f.lapsed) > 0 {
		return min(feedWait, f.graceLeft(f.clock.Now()))
	}
	return feedWait
}

// graceLeft is the time until missing servers count as gone, in whole
// milliseconds as the store counts; f.mu is held.
func (f *Follower) graceLeft(now time.Time) time.Duration {
	left := f.backAt.Add(lapseGrace).Sub(now)
	return max(0, left.Truncate(time.Millisecond)+time.Millisecond)
}

func (f *Follower) revision() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.read
}

func (f *Follower) forgetRevision() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.read = 0
}

// answered notes that the store answered.
func (f *Follower) answered() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	if f.lost {
		f.lost = false
		f.backAt = now
		f.log.Event(eventStoreBack, eventlog.Fields{
			"table": f.table.Name(), "outMs": now.Sub(f.heard).Milliseconds(),
		})
	}
	f.heard = now
}

// missed notes that a call failed.
func (f *Follower) missed(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lost {
		return
	}
	f.lost = true
	f.log.Fail(eventStoreLost, err, eventlog.Fields{"table": f.table.Name(), "revision": f.read})
}

// Lost reports whether the store does not answer this process now.
func (f *Follower) Lost() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lost || f.changed == 0
}

// Changed returns the revision of the newest change that is known.
func (f *Follower) Changed() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// State returns the table's content for another entry instance.
func (f *Follower) State() State {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := State{Changed: f.changed, Read: f.read}
	for _, r := range f.rows {
		s.Rows = append(s.Rows, r)
	}
	if f.table == TableDeclared {
		now := f.clock.Now()
		s.Ages = map[string]int64{}
		for model, w := range f.holder.Current().Weights {
			s.Ages[model] = now.Sub(w.Known).Milliseconds()
		}
	}
	return s
}

// Relay takes over a table from another entry instance when it is newer.
func (f *Follower) Relay(s State, from string) {
	if s.Changed <= f.Changed() {
		return
	}
	f.log.Event(eventRelayed, eventlog.Fields{
		"table": f.table.Name(), "from": from, "revision": s.Changed, "before": f.Changed(),
	})
	f.replace(s, true)
}

// replace takes over the whole content of the table.
func (f *Follower) replace(s State, relayed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if relayed && s.Changed <= f.changed {
		return
	}
	now := f.clock.Now()
	first := f.changed == 0
	old := f.rows
	f.rows = map[string]Row{}
	var changes []Change
	for _, r := range s.Rows {
		f.rows[r.Key] = r
		delete(f.lapsed, r.Key)
		if before, ok := old[r.Key]; ok && before.Revision == r.Revision && f.table == TableServers {
			// An entry read again is not a new one: its cold time goes on.
			if v := f.holder.Current().Servers[r.Key]; v != nil {
				changes = append(changes, Change{Server: v})
				continue
			}
		}
		if c, ok := f.decode(r, now); ok {
			f.age(&c, s, first && !relayed, now)
			changes = append(changes, c)
		}
	}
	if f.inGrace(now) {
		for key, r := range old {
			if _, ok := f.rows[key]; !ok {
				f.lapse(r)
			}
		}
	}
	for key := range f.lapsed {
		if v := f.holder.Current().Servers[key]; v != nil {
			changes = append(changes, Change{Server: v})
		}
	}
	f.changed, f.read = max(f.changed, s.Changed), s.Read
	f.holder.Apply(changes, true, f.table == TableServers, now)
}

// unknownAge is the age given to weights that were declared before this
// process started: they may be old, and are to be in force soon.
const unknownAge = 4 * time.Second

// age sets since when declared weights are known.
func (f *Follower) age(c *Change, s State, first bool, now time.Time) {
	if c.Weights == nil {
		return
	}
	switch ms, told := s.Ages[c.Weights.Model]; {
	case told:
		c.Weights.Known = now.Add(-time.Duration(ms) * time.Millisecond)
	case first:
		c.Weights.Known, c.Weights.Guessed = now.Add(-unknownAge), true
	}
}

// update takes over the rows of a feed.
func (f *Follower) update(rows []Row, rev uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	var changes []Change
	for _, r := range rows {
		if r.Revision <= f.rows[r.Key].Revision && !r.Deleted {
			continue
		}
		f.changed = max(f.changed, r.Revision)
		if r.Deleted && f.inGrace(now) {
			f.lapse(f.rows[r.Key])
			delete(f.rows, r.Key)
			continue
		}
		if r.Deleted {
			delete(f.rows, r.Key)
		} else {
			f.rows[r.Key] = r
		}
		delete(f.lapsed, r.Key)
		if c, ok := f.decode(r, now); ok {
			changes = append(changes, c)
		}
	}
	if !f.inGrace(now) {
		for key := range f.lapsed {
			changes = append(changes, Change{Server: &Server{ID: key}, Removed: true})
			delete(f.lapsed, key)
		}
	}
	f.read = max(f.read, rev)
	if len(changes) > 0 {
		f.holder.Apply(changes, false, f.table == TableServers, now)
	}
}

// inGrace reports whether a missing server may only have lapsed; f.mu is held.
func (f *Follower) inGrace(now time.Time) bool {
	return f.table == TableServers && (f.lost || !f.backAt.IsZero() && now.Sub(f.backAt) < lapseGrace)
}

// lapse keeps a server that is missing for now; f.mu is held.
func (f *Follower) lapse(r Row) {
	if r.Key != "" {
		f.lapsed[r.Key] = r
	}
}

// decode translates a row and logs one that cannot be used.
func (f *Follower) decode(r Row, now time.Time) (Change, bool) {
	c, err := f.source.Decode(f.table, r, now)
	if err == nil {
		return c, true
	}
	if !errors.Is(err, ErrUnused) {
		f.log.Fail(eventRow, err, eventlog.Fields{"table": f.table.Name(), "key": r.Key, "revision": r.Revision})
	}
	// A server whose entry cannot be read is not to be used.
	return c, c.Server != nil
}
