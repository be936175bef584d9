package catalog

import (
	"cmp"
	"context"
	"math/rand/v2"
	"time"

	"github.com/rattanway/rattanway/process/eventlog"
)

const (
	// maxUnreadPeriod is the longest time for which a Follower relies on the changes
	// that a peer reads. It is shorter than the period for which the store keeps its
	// history.
	maxUnreadPeriod = 8 * time.Second
	// peerCheckInterval is the time between two checks whether a peer still reads the
	// table.
	peerCheckInterval = 200 * time.Millisecond
)

// RowChanges holds changes of a table that an entry instance has read from the store,
// as it sends them to others.
type RowChanges struct {
	// Rows are all rows that changed after the revision Since up to the revision
	// Until.
	Rows  []Row  `cbor:"1,keyasint"`
	Since uint64 `cbor:"2,keyasint"`
	Until uint64 `cbor:"3,keyasint"`
	// GraceMs is the rest of the period after an outage of the store, in milliseconds,
	// in which servers stay listed although their rows were deleted; 0 outside it.
	GraceMs int64 `cbor:"4,keyasint,omitempty"`
	// Era is the store's era to which all revisions here belong.
	Era uint64 `cbor:"5,keyasint,omitempty"`
	// OutMs is how long the outage lasted for the sender, in milliseconds; 0 if it is not
	// known, or if the store has come back from a copy.
	OutMs int64 `cbor:"6,keyasint,omitempty"`
	// From names the sender, for the log. The receiver sets it.
	From string `cbor:"-"`
}

// Share makes the Follower rely on peers. While readByPeer returns true, the Follower
// does not read the store, but waits for the changes that ApplyFromPeer delivers.
// onRead is called with all changes that the Follower reads from the store itself.
// Share must be called before Run.
func (f *Follower) Share(readByPeer func() bool, onRead func(RowChanges)) {
	f.readByPeer, f.onRead = readByPeer, onRead
}

// waitWhileReadByPeer waits until a read of the store is needed: no peer reads the
// table any more, PollNow was called, or maxUnreadPeriod has passed. It does not wait
// while servers are missing, because their grace period ends without a change.
func (f *Follower) waitWhileReadByPeer(ctx context.Context) {
	if f.readByPeer == nil {
		return
	}
	// Without a random part, instances that start together would call the store together.
	end := f.clock.Now().Add(maxUnreadPeriod*7/8 + rand.N(maxUnreadPeriod/8))
	defer f.setIdle(false)
	for f.readByPeer() && f.clock.Now().Before(end) && f.setIdle(true) {
		select {
		case <-ctx.Done():
			return
		case <-f.pollNow:
			return
		case <-f.clock.After(peerCheckInterval):
		}
	}
}

// setIdle records whether the Follower relies on a peer. It refuses, and returns
// false, while servers are missing.
func (f *Follower) setIdle(idle bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.idle = idle && !f.awaitsGraceEnd()
	return f.idle
}

// PollNow makes a Follower that relies on a peer read the store now. It returns false
// if the Follower reads the store anyway.
func (f *Follower) PollNow() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pollNowLocked()
}

// pollNowLocked is PollNow for callers that hold f.mu.
func (f *Follower) pollNowLocked() bool {
	if !f.idle {
		return false
	}
	select {
	case f.pollNow <- struct{}{}:
	default:
	}
	return true
}

// LastRead returns the time of the store's last response, or when the one began that is coming
// in. ok is false if the store does not respond, or if the Follower relies on a peer.
func (f *Follower) LastRead() (respondedAt time.Time, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	respondedAt = f.lastResponseAt
	if f.respondingSince.After(respondedAt) {
		respondedAt = f.respondingSince
	}
	return respondedAt, !f.unavailable && !f.idle && f.changeRevision > 0
}

// ApplyFromPeer applies changes that a peer has read from the store. The grace period after
// an outage holds here too, unless the store responded to others meanwhile. If changes
// before them are missing here, or the values that their patches change, or if they are of a
// newer era of the store, it applies nothing and makes the Follower read the store. It also
// does that if they name no era, because they come from an earlier build. Changes of an older
// era are ignored.
func (f *Follower) ApplyFromPeer(c RowChanges) {
	f.mu.Lock()
	if c.Era != f.era || f.readRevision < c.Since {
		older := c.Era < f.era && c.Era > 0
		f.mu.Unlock()
		if !older {
			f.PollNow()
		}
		return
	}
	defer f.mu.Unlock()
	rows, err := f.expandAll(c.Rows)
	if err != nil {
		f.log.EventWithError(eventPatchRejected, err, eventlog.Fields{"table": f.table.Name(), "until": c.Until})
		f.pollNowLocked()
		return
	}
	now := f.clock.Now()
	restoredAt := now.Add(time.Duration(c.GraceMs)*time.Millisecond - missingGracePeriod)
	if c.GraceMs == 0 {
		f.contacts.addChange(now)
	} else if outage := time.Duration(c.OutMs) * time.Millisecond; restoredAt.After(f.restoredAt) &&
		!f.contacts.during(restoredAt, outage) && f.mayHaveLapsed("", restoredAt, outage) {
		f.restoredAt, f.outage = restoredAt, outage
	}
	f.applyRowsLocked(rows, c.Until, cmp.Or(c.From, "peer"))
	f.sharedUntil = max(f.sharedUntil, c.Until)
	if hasPatches(c.Rows) {
		f.overtakeCall()
	}
}

// shareRead passes rows that the store returned up to the position until to onRead. If
// newEra is true, it does so even without rows, so that those who rely on this Follower
// learn that they must read the table again.
func (f *Follower) shareRead(rows []Row, until Position, newEra bool) {
	if f.onRead == nil || len(rows) == 0 && !newEra {
		return
	}
	f.mu.Lock()
	if f.era != until.Era {
		f.mu.Unlock()
		return
	}
	c := RowChanges{Since: f.sharedUntil, Until: until.Revision, Era: f.era}
	for _, r := range rows {
		// A peer may have sent earlier ones while this response was on its way. Who takes
		// changes since then has them.
		if r.Revision > f.sharedUntil {
			c.Rows = append(c.Rows, r)
		}
	}
	// A peer may have sent later changes while this response was on its way.
	f.sharedUntil = max(f.sharedUntil, until.Revision)
	if now := f.clock.Now(); f.inGracePeriod("", now) {
		c.GraceMs, c.OutMs = f.remainingGrace(now).Milliseconds(), f.outage.Milliseconds()
	}
	f.mu.Unlock()
	f.onRead(c)
}
