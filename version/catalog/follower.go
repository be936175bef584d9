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
	// longPollTimeout is how long one ChangesSince call waits for a change. A
	// dead connection is noticed only after this time; a shorter time would
	// put more load on the store.
	longPollTimeout = 2500 * time.Millisecond
	// declaredBatchDelay and serversBatchDelay are the pauses after a response
	// that let changes made close together arrive in one response. Declared
	// changes get the shorter one because they must take effect within 2 s; a
	// server that is gone is noticed by failed connections before its row is
	// deleted.
	declaredBatchDelay = 120 * time.Millisecond
	serversBatchDelay  = 300 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the pause after a failed call,
	// before jitter.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 600 * time.Millisecond
	// missingGrace is how long servers whose rows are missing stay listed
	// after an outage of the store: the platform lists live servers again
	// within about 2 s.
	missingGrace = 2 * time.Second
)

// TableContent is the content of one table, as entry instances send it to each
// other.
type TableContent struct {
	// Rows are the rows of the table without the deleted ones.
	Rows []Row `cbor:"1,keyasint"`
	// ChangeRevision is the store's revision of the newest change to the table.
	ChangeRevision uint64 `cbor:"2,keyasint"`
	// ReadRevision is the store's revision up to which the table has been read.
	ReadRevision uint64 `cbor:"3,keyasint"`
	// WeightsAgeMs is the time in milliseconds since the newest version of each
	// model's weights was declared, by model.
	WeightsAgeMs map[string]int64 `cbor:"4,keyasint,omitempty"`
}

// Follower keeps the content of one table up to date in a Holder.
type Follower struct {
	table  Table
	source Source
	holder *Holder
	log    *eventlog.Logger
	clock  clockwork.Clock

	mu             sync.Mutex
	rows           map[string]Row
	changeRevision uint64
	readRevision   uint64
	// lastResponse is when the store last responded, unavailable reports
	// whether a call has failed since, and restoredAt is the end of the last
	// outage.
	lastResponse time.Time
	unavailable  bool
	restoredAt   time.Time
	// missing are the rows that were deleted during an outage or shortly after
	// it; their servers stay listed until missingGrace has passed.
	missing map[string]Row
}

// NewFollower returns a Follower of table t that reads from source and writes
// to holder.
func NewFollower(t Table, source Source, holder *Holder, log *eventlog.Logger, clock clockwork.Clock) *Follower {
	return &Follower{
		table: t, source: source, holder: holder, log: log, clock: clock,
		rows: map[string]Row{}, missing: map[string]Row{}, lastResponse: clock.Now(),
	}
}

// Run keeps the table up to date until ctx ends. It always returns nil.
func (f *Follower) Run(ctx context.Context) error {
	delay := minRetryDelay
	for ctx.Err() == nil {
		err := f.pollOnce(ctx)
		switch {
		case err == nil:
			delay = minRetryDelay
			f.sleep(ctx, f.batchDelay())
		case errors.Is(err, ErrHistoryLost):
			f.log.Event(eventHistoryLost, eventlog.Fields{"table": f.table.Name(), "since": f.revision()})
			f.resetRevision()
		default:
			f.markUnavailable(err)
			f.sleep(ctx, delay/2+rand.N(delay))
			delay = min(2*delay, maxRetryDelay)
		}
	}
	return nil
}

// batchDelay returns the pause after a response, in which further changes
// collect for the next one.
func (f *Follower) batchDelay() time.Duration {
	if f.table != TableServers {
		return declaredBatchDelay
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.missing) > 0 && !f.unavailable {
		// A server still missing at the end of the grace period must be removed
		// at that time.
		return min(serversBatchDelay, f.graceLeft(f.clock.Now()))
	}
	return serversBatchDelay
}

// sleep waits for d or until ctx ends.
func (f *Follower) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-f.clock.After(d):
	case <-ctx.Done():
	}
}

// pollOnce makes one call to the store and applies its result: the changes since
// readRevision, or the whole table when readRevision is 0.
func (f *Follower) pollOnce(ctx context.Context) error {
	since := f.revision()
	if since == 0 {
		rows, rev, err := f.source.List(ctx, f.table)
		if err != nil {
			return err
		}
		f.markAvailable()
		f.replace(TableContent{Rows: rows, ChangeRevision: newestRevision(rows), ReadRevision: rev}, false)
		return nil
	}
	rows, rev, err := f.source.ChangesSince(ctx, f.table, since, f.pollTimeout())
	if err != nil {
		return err
	}
	f.markAvailable()
	f.applyRows(rows, rev)
	return nil
}

// newestRevision returns the newest revision among the rows of one table, at
// least 1. The store's own revision also counts the changes to other tables.
func newestRevision(rows []Row) uint64 {
	newest := uint64(1)
	for _, r := range rows {
		newest = max(newest, r.Revision)
	}
	return newest
}

// pollTimeout returns how long the next ChangesSince call may wait for a change. It is
// short during an outage, and ends with the grace period of missing servers.
func (f *Follower) pollTimeout() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unavailable {
		return minRetryDelay
	}
	if len(f.missing) > 0 {
		return min(longPollTimeout, f.graceLeft(f.clock.Now()))
	}
	return longPollTimeout
}

// graceLeft returns the time until missing servers are removed. It is rounded up
// to a whole millisecond, the unit in which the store takes a wait. The caller
// must hold f.mu.
func (f *Follower) graceLeft(now time.Time) time.Duration {
	left := f.restoredAt.Add(missingGrace).Sub(now)
	return max(0, left.Truncate(time.Millisecond)+time.Millisecond)
}

// revision returns the revision up to which the table has been read.
func (f *Follower) revision() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.readRevision
}

// resetRevision makes the next poll read the whole table.
func (f *Follower) resetRevision() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.readRevision = 0
}

// markAvailable records that the store responded, and logs the end of an outage.
func (f *Follower) markAvailable() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	if f.unavailable {
		f.unavailable = false
		f.restoredAt = now
		f.log.Event(eventStoreBack, eventlog.Fields{
			"table": f.table.Name(), "outMs": now.Sub(f.lastResponse).Milliseconds(),
		})
	}
	f.lastResponse = now
}

// markUnavailable records that a call failed, and logs the start of an outage.
func (f *Follower) markUnavailable(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unavailable {
		return
	}
	f.unavailable = true
	f.log.EventWithError(eventStoreLost, err, eventlog.Fields{"table": f.table.Name(), "revision": f.readRevision})
}

// StoreUnavailable reports whether the last call to the store failed, or nothing
// has been read yet.
func (f *Follower) StoreUnavailable() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.unavailable || f.changeRevision == 0
}

// ChangeRevision returns the store's revision of the newest change that has been
// applied; 0 when nothing has been read yet.
func (f *Follower) ChangeRevision() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changeRevision
}

// Content returns the table's content, to be sent to another entry instance.
func (f *Follower) Content() TableContent {
	f.mu.Lock()
	defer f.mu.Unlock()
	content := TableContent{ChangeRevision: f.changeRevision, ReadRevision: f.readRevision}
	for _, r := range f.rows {
		content.Rows = append(content.Rows, r)
	}
	if f.table == TableDeclared {
		now := f.clock.Now()
		content.WeightsAgeMs = map[string]int64{}
		for model, w := range f.holder.Current().Weights {
			content.WeightsAgeMs[model] = now.Sub(w.DeclaredAt).Milliseconds()
		}
	}
	return content
}

// AdoptIfNewer replaces the table's content with content if that is newer. from
// names the entry instance that sent content, for the log.
func (f *Follower) AdoptIfNewer(content TableContent, from string) {
	if content.ChangeRevision <= f.ChangeRevision() {
		return
	}
	f.log.Event(eventTableFromPeer, eventlog.Fields{
		"table": f.table.Name(), "from": from, "revision": content.ChangeRevision, "before": f.ChangeRevision(),
	})
	f.replace(content, true)
}

// replace sets the whole content of the table. With fromPeer set, it does so only
// if content is newer than the present content.
func (f *Follower) replace(content TableContent, fromPeer bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if fromPeer && content.ChangeRevision <= f.changeRevision {
		return
	}
	now := f.clock.Now()
	firstRead := f.changeRevision == 0
	old := f.rows
	f.rows = map[string]Row{}
	var changes []Change
	for _, r := range content.Rows {
		f.rows[r.Key] = r
		delete(f.missing, r.Key)
		if before, ok := old[r.Key]; ok && before.Revision == r.Revision && f.table == TableServers {
			// The row was read before: the server's cold period must not start
			// again.
			if server := f.holder.Current().Servers[r.Key]; server != nil {
				changes = append(changes, Change{Server: server})
				continue
			}
		}
		if c, ok := f.decode(r, now); ok {
			f.setDeclaredAt(&c, content, firstRead && !fromPeer, now)
			changes = append(changes, c)
		}
	}
	if f.inGrace(now) {
		for key, r := range old {
			if _, ok := f.rows[key]; !ok {
				f.keepMissing(r)
			}
		}
	}
	for key := range f.missing {
		if server := f.holder.Current().Servers[key]; server != nil {
			changes = append(changes, Change{Server: server})
		}
	}
	f.changeRevision, f.readRevision = max(f.changeRevision, content.ChangeRevision), content.ReadRevision
	f.holder.Apply(changes, true, f.table == TableServers, now)
}

// estimatedAge is the age assumed for weights that were declared before this
// process started. It is well above 0 because such weights may be old and must
// take effect soon.
const estimatedAge = 4 * time.Second

// setDeclaredAt sets DeclaredAt of a change to declared weights: from the age in
// content if there is one, or by estimate on the first read from the store.
func (f *Follower) setDeclaredAt(c *Change, content TableContent, firstRead bool, now time.Time) {
	if c.Weights == nil {
		return
	}
	switch ms, ok := content.WeightsAgeMs[c.Weights.Model]; {
	case ok:
		c.Weights.DeclaredAt = now.Add(-time.Duration(ms) * time.Millisecond)
	case firstRead:
		c.Weights.DeclaredAt, c.Weights.Estimated = now.Add(-estimatedAge), true
	}
}

// applyRows applies the rows that ChangesSince returned; rev is the revision up to
// which they cover the table.
func (f *Follower) applyRows(rows []Row, rev uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	var changes []Change
	for _, r := range rows {
		if r.Revision <= f.rows[r.Key].Revision && !r.Deleted {
			continue
		}
		f.changeRevision = max(f.changeRevision, r.Revision)
		if r.Deleted && f.inGrace(now) {
			f.keepMissing(f.rows[r.Key])
			delete(f.rows, r.Key)
			continue
		}
		if r.Deleted {
			delete(f.rows, r.Key)
		} else {
			f.rows[r.Key] = r
		}
		delete(f.missing, r.Key)
		if c, ok := f.decode(r, now); ok {
			changes = append(changes, c)
		}
	}
	if !f.inGrace(now) {
		for key := range f.missing {
			changes = append(changes, Change{Server: &Server{ID: key}, Removed: true})
			delete(f.missing, key)
		}
	}
	f.readRevision = max(f.readRevision, rev)
	if len(changes) > 0 {
		f.holder.Apply(changes, false, f.table == TableServers, now)
	}
}

// inGrace reports whether a server's row may be missing only because of an
// outage of the store, now or less than missingGrace ago. The caller must hold
// f.mu.
func (f *Follower) inGrace(now time.Time) bool {
	return f.table == TableServers && (f.unavailable || !f.restoredAt.IsZero() && now.Sub(f.restoredAt) < missingGrace)
}

// keepMissing records a deleted row whose server stays listed for now. The
// caller must hold f.mu.
func (f *Follower) keepMissing(r Row) {
	if r.Key != "" {
		f.missing[r.Key] = r
	}
}

// decode returns the change that a row describes, and whether to apply the change.
// It logs a row that cannot be decoded.
func (f *Follower) decode(r Row, now time.Time) (Change, bool) {
	c, err := f.source.Decode(f.table, r, now)
	if err == nil {
		return c, true
	}
	if !errors.Is(err, ErrUnusedRow) {
		f.log.EventWithError(eventRowRejected, err, eventlog.Fields{"table": f.table.Name(), "key": r.Key, "revision": r.Revision})
	}
	// A server whose row cannot be decoded must not be used; c removes it.
	return c, c.Server != nil
}
