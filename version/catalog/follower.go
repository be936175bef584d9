package catalog

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"

	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/process/eventlog"
)

const (
	// The Follower pauses after each response, so that changes made close
	// together arrive in one response. declarationsBatchDelay is the pause for the
	// table of declarations, which must take effect within 2 s.
	// serversBatchDelay, for the table of servers, may be longer: a failed
	// connection shows that a server is gone before the server's row is
	// deleted.
	declarationsBatchDelay = 120 * time.Millisecond
	serversBatchDelay      = 300 * time.Millisecond
	// For missingGracePeriod after an outage of the store, servers stay listed
	// even if their rows are missing. The platform writes the rows of live
	// servers again within about 2 s.
	missingGracePeriod = 2 * time.Second
)

// Follower keeps the content of one table up to date in a Holder.
type Follower struct {
	table  Table
	source Source
	holder *Holder
	log    *eventlog.Logger
	clock  clockwork.Clock

	mu sync.Mutex
	// rows holds the rows of the table by key.
	rows map[string]Row
	// era is the store's era to which rows and all revisions belong.
	era uint64
	// changeRevision is the revision of the newest change that was applied.
	changeRevision uint64
	// readRevision is the revision up to which the table has been read; 0 makes
	// the next poll read the complete table.
	readRevision uint64
	// lastResponseAt is the time of the last response of the store.
	lastResponseAt time.Time
	// respondingSince is the time since which the response to the call in flight is coming in;
	// zero if none is.
	respondingSince time.Time
	// unavailable is true if a call has failed since lastResponseAt. failedCalls counts
	// these calls.
	unavailable bool
	failedCalls int
	// timedOut is true if the last failed call got no response in time.
	timedOut bool
	// blindSince is the time since which changes may have been made that the last
	// response reports late, because the call before it waited on a dead connection;
	// zero if it did not.
	blindSince time.Time
	// restoredAt is the end of the last outage, or when the store was seen to have come
	// back from a copy; in tables other than TableServers only the latter.
	restoredAt time.Time
	// outage is how long the outage lasted that ended at restoredAt; 0 if that is not known.
	outage time.Duration
	// contacts are the last responses of the store, here or at a peer, and callBegunAt is the
	// begin of the call to which it responds next. serverHeartbeat is the time between two
	// writes of a live server.
	contacts        storeContacts
	callBegunAt     time.Time
	serverHeartbeat time.Duration
	// missingRows holds the rows that disappeared during an outage or shortly after it.
	// What they describe stays in the catalogue until missingGracePeriod has passed.
	missingRows map[string]Row
	// heldBack holds the rows of a restored store that list servers again which had left.
	// The servers count as leaving until missingGracePeriod has passed.
	heldBack map[string]Row
	// gone holds the servers that left within maxCopyAge, by ID.
	gone map[string]goneServer
	// patches holds the newest changes of large values, to be sent to peers.
	patches patchHistory
	// compressing is held while a value is compressed, so that it is done once for all peers.
	compressing sync.Mutex

	// cancelCall ends the call in flight; nil without one. callOvertaken is true if
	// a peer has delivered what it brings, and callEnded if it was ended for that. retryNow ends the pause after a
	// failed call, and lastRetryNow is the last time that RetryNow did anything.
	cancelCall               context.CancelFunc
	callOvertaken, callEnded bool
	retryNow                 chan struct{}
	lastRetryNow             time.Time

	// readByPeer and onRead are the functions passed to Share; nil without Share.
	readByPeer func() bool
	onRead     func(RowChanges)
	// sharedUntil is the revision of the last changes that this Follower has passed to
	// onRead or received from a peer. From there up to readRevision nothing changed.
	sharedUntil uint64
	// idle is true while the Follower relies on a peer. pollNow ends that.
	idle    bool
	pollNow chan struct{}

	behind behindState
}

// NewFollower returns a Follower of table t that reads from source and writes
// to holder.
func NewFollower(t Table, source Source, holder *Holder, log *eventlog.Logger, clock clockwork.Clock) *Follower {
	return &Follower{
		table: t, source: source, holder: holder, log: log, clock: clock,
		rows: map[string]Row{}, missingRows: map[string]Row{}, heldBack: map[string]Row{}, gone: map[string]goneServer{},
		lastResponseAt: clock.Now(), serverHeartbeat: defaultServerHeartbeat,
		patches: patchHistory{}, pollNow: make(chan struct{}, 1), retryNow: make(chan struct{}, 1),
	}
}

// Run keeps the table up to date until ctx ends. It always returns nil.
func (f *Follower) Run(ctx context.Context) error {
	delay := minRetryDelay
	for ctx.Err() == nil {
		err := f.poll(ctx)
		switch {
		case err == nil:
			delay = minRetryDelay
			f.sleep(ctx, f.batchDelay())
			f.waitWhileReadByPeer(ctx)
		case errors.Is(err, ErrHistoryLost):
			f.log.Event(eventHistoryLost, eventlog.Fields{"table": f.table.Name(), "since": f.lastRead().Revision, "era": f.lastRead().Era})
			f.resetReadRevision()
		default:
			f.markUnavailable(err)
			f.pauseBeforeRetry(ctx, delay)
			delay = min(2*delay, maxRetryDelay)
		}
	}
	return nil
}

// batchDelay returns the pause after a response, in which further changes collect
// for the next response.
func (f *Follower) batchDelay() time.Duration {
	if f.table != TableServers {
		return declarationsBatchDelay
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.awaitsGraceEnd() && !f.unavailable {
		// Wake up at the end of the grace period, to remove the servers that are
		// still missing.
		return min(serversBatchDelay, f.remainingGrace(f.clock.Now()))
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
// readRevision, or the complete table when readRevision is 0.
func (f *Follower) pollOnce(ctx context.Context) error {
	since := f.lastRead()
	f.beginCall()
	if since.Revision == 0 {
		return f.readTable(ctx)
	}
	rows, position, err := f.changesSince(ctx, since.Revision)
	if err != nil {
		return err
	}
	if f.lastRead().Era != since.Era {
		// A peer's table of a newer era was adopted meanwhile. The rows are the changes
		// after a number of the era before.
		return nil
	}
	if err := checkEra(since.Era, position.Era); err != nil {
		return core.WrapStep("follow "+f.table.Name(), "", err)
	}
	f.markAvailable()
	before := f.largeRows(rows)
	f.applyRows(rows, position)
	if f.onRead != nil {
		f.addPatches(before, rows, position.Era)
	}
	f.shareRead(rows, position, false)
	return nil
}

// readTable reads the complete table.
func (f *Follower) readTable(ctx context.Context) error {
	rows, position, err := f.source.List(WithResponseBegun(ctx, f.markResponding), f.table)
	if err != nil {
		return err
	}
	before := f.lastRead().Era
	if position.Era < before {
		return core.WrapStep("follow "+f.table.Name(), "", checkEra(before, position.Era))
	}
	f.markAvailable()
	f.replaceContent(TableContent{Rows: rows, ChangeRevision: newestRevision(rows), ReadRevision: position.Revision, Era: position.Era})
	f.shareRead(nil, position, position.Era > before)
	return nil
}

// newestRevision returns the newest revision among the rows of one table, and at
// least 1. The revision of the store cannot be used, because changes to other tables
// increase it too.
func newestRevision(rows []Row) uint64 {
	newest := uint64(1)
	for _, r := range rows {
		newest = max(newest, r.Revision)
	}
	return newest
}

// remainingGrace returns the time until missing servers are removed, rounded up to
// milliseconds, the unit of the timeout in calls to the store. The caller must hold
// f.mu.
func (f *Follower) remainingGrace(now time.Time) time.Duration {
	left := f.restoredAt.Add(missingGracePeriod).Sub(now)
	return max(0, left.Truncate(time.Millisecond)+time.Millisecond)
}

// lastRead returns the position up to which the table has been read.
func (f *Follower) lastRead() Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Position{f.era, f.readRevision}
}

// resetReadRevision makes the next poll read the complete table.
func (f *Follower) resetReadRevision() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.readRevision = 0
}

// markAvailable records that the store responded, and logs the end of an outage.
func (f *Follower) markAvailable() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	f.blindSince = time.Time{}
	if f.failedCalls == 1 && f.timedOut {
		// In a longer outage, the store itself could not be reached.
		f.blindSince = f.lastResponseAt
	}
	f.failedCalls, f.timedOut = 0, false
	if f.unavailable {
		f.unavailable = false
		if f.table == TableServers {
			f.restoredAt, f.outage = now, now.Sub(f.lastResponseAt)
		}
		f.log.Event(eventStoreAvailable, eventlog.Fields{
			"table": f.table.Name(), "outMs": now.Sub(f.lastResponseAt).Milliseconds(),
		})
	}
	f.lastResponseAt = now
	begunAt := f.callBegunAt
	if begunAt.IsZero() {
		begunAt = now
	}
	f.contacts.addOwn(begunAt, now, f.lapseTime())
	f.callBegunAt = time.Time{}
}

// markUnavailable records that a call failed, and logs the start of an outage.
func (f *Follower) markUnavailable(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failedCalls++
	f.behind.callErr = err
	f.timedOut = errors.Is(err, context.DeadlineExceeded)
	if f.unavailable {
		return
	}
	f.unavailable = true
	f.log.EventWithError(eventStoreUnavailable, err, eventlog.Fields{"table": f.table.Name(), "revision": f.readRevision})
}

// StoreUnavailable reports whether the last call to the store failed, or the table
// has not been read yet.
func (f *Follower) StoreUnavailable() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.unavailable || f.changeRevision == 0
}

// LastChange returns the position of the newest change that has been applied; its
// Revision is 0 when the table has not been read yet.
func (f *Follower) LastChange() Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Position{f.era, f.changeRevision}
}
