package catalog

import (
	"slices"
	"time"

	"github.com/jonboulle/clockwork"
	gometrics "github.com/rcrowley/go-metrics"

	"github.com/rattanway/rattanway/process/eventlog"
)

const (
	// lateAfter is how long a position that a peer has may be missing here before the
	// table counts as late.
	lateAfter = time.Second
	// maxMissing is the number of missing positions that a Follower tells apart.
	maxMissing = 64
)

// missingPosition is a position that a peer has and this process has not.
type missingPosition struct {
	Position
	peer string
	// since is the time of the first report of the position.
	since time.Time
}

// behindState holds which positions that peers report are missing here.
type behindState struct {
	// missing are the missing positions, oldest first.
	missing []missingPosition
	// late is true from the event that reports the table as late until the one that reports
	// the end of that. lateSince is the first report of the position that was late first.
	late      bool
	lateSince time.Time
	// timer fires when the first of the missing positions becomes late.
	timer clockwork.Timer
	// callErr is the error of the last call to the store that failed.
	callErr error
}

// since returns the first report of the oldest missing position; ok is false if nothing is
// missing.
func (b *behindState) since() (at time.Time, ok bool) {
	if len(b.missing) == 0 {
		return time.Time{}, false
	}
	return b.missing[0].since, true
}

// add adds a position unless it is known to be missing. If there are too many, the newest of
// them gives way and leaves its time to p.
func (b *behindState) add(p missingPosition) {
	last := len(b.missing) - 1
	switch {
	case last >= 0 && !b.missing[last].Before(p.Position):
	case len(b.missing) == maxMissing:
		p.since = b.missing[last].since
		b.missing[last] = p
	default:
		b.missing = append(b.missing, p)
	}
}

// RegisterMetrics adds the gauges of the table to registry: the revision of the newest change
// that has been applied, and for how long an entry instance has been known to have a newer one.
func (f *Follower) RegisterMetrics(registry gometrics.Registry) {
	prefix := "catalog." + f.table.Name()
	gometrics.NewRegisteredFunctionalGauge(prefix+".revision", registry, func() int64 { return int64(f.LastChange().Revision) })
	gometrics.NewRegisteredFunctionalGauge(prefix+".behind.milliseconds", registry, func() int64 { return f.behindFor().Milliseconds() })
}

// behindFor returns for how long a peer has been known to have a change that is missing here;
// 0 if none has.
func (f *Follower) behindFor() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	since, ok := f.behind.since()
	if !ok {
		return 0
	}
	return f.clock.Since(since)
}

// ObservePeerPosition records that the newest change at a peer is at position p.
func (f *Follower) ObservePeerPosition(peer string, p Position) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.knownUpTo().Before(p) {
		return
	}
	f.behind.add(missingPosition{p, peer, f.clock.Now()})
	if f.behind.timer == nil {
		f.armBehindTimer()
	}
}

// knownUpTo returns the position up to which all changes are known here. It may lie after the
// newest change: a read of the complete table shows no deletions. The caller must hold f.mu.
func (f *Follower) knownUpTo() Position {
	return Position{f.era, max(f.changeRevision, f.readRevision)}
}

// armBehindTimer makes reportLate run when the oldest missing position becomes late. The
// caller must hold f.mu.
func (f *Follower) armBehindTimer() {
	if f.behind.timer != nil {
		f.behind.timer.Stop()
		f.behind.timer = nil
	}
	if since, ok := f.behind.since(); ok && !f.behind.late {
		f.behind.timer = f.clock.AfterFunc(lateAfter-f.clock.Since(since), f.reportLate)
	}
}

// reportLate logs that the table is late, once in a period.
func (f *Follower) reportLate() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	since, ok := f.behind.since()
	if !ok || f.behind.late || now.Sub(since) < lateAfter {
		return
	}
	f.behind.late, f.behind.lateSince = true, since
	newest := f.behind.missing[len(f.behind.missing)-1]
	fields := eventlog.Fields{
		"table": f.table.Name(), "revision": f.changeRevision, "era": f.era,
		"peer": newest.peer, "peerRevision": newest.Revision, "peerEra": newest.Era,
		"behindMs": now.Sub(since).Milliseconds(), "reading": f.cancelCall != nil, "readByPeer": f.idle, "failedCalls": f.failedCalls,
	}
	if f.cancelCall != nil && !f.callBegunAt.IsZero() {
		fields["callMs"] = now.Sub(f.callBegunAt).Milliseconds()
	}
	if f.unavailable {
		f.log.EventWithError(eventTableLate, f.behind.callErr, fields)
		return
	}
	f.log.Event(eventTableLate, fields)
}

// updateBehind drops the missing positions that have been reached, and logs the end of a period
// in which the table was late. The caller must hold f.mu.
func (f *Follower) updateBehind() {
	b, now, reached := &f.behind, f.clock.Now(), 0
	for reached < len(b.missing) && !f.knownUpTo().Before(b.missing[reached].Position) {
		reached++
	}
	if reached == 0 {
		return
	}
	b.missing = slices.Delete(b.missing, 0, reached)
	if since, ok := b.since(); b.late && (!ok || now.Sub(since) < lateAfter) {
		b.late = false
		f.log.Event(eventTableCaughtUp, eventlog.Fields{
			"table": f.table.Name(), "revision": f.changeRevision, "era": f.era, "behindMs": now.Sub(b.lateSince).Milliseconds(),
		})
	}
	f.armBehindTimer()
}
