package catalog

import (
	"bytes"
	"cmp"
	"time"

	"github.com/go-faster/errors"

	"github.com/rattanway/rattanway/process/eventlog"
)

// TableContent is the content of one table, as entry instances send it to each
// other.
type TableContent struct {
	// Rows are the rows of the table, without the deleted rows.
	Rows []Row `cbor:"1,keyasint"`
	// ChangeRevision is the store's revision of the newest change to the table.
	ChangeRevision uint64 `cbor:"2,keyasint"`
	// ReadRevision is the store's revision up to which the table has been read.
	ReadRevision uint64 `cbor:"3,keyasint"`
	// WeightsAgeMs maps each model to the age, in milliseconds, of the
	// declaration of the model's newest version.
	WeightsAgeMs map[string]int64 `cbor:"4,keyasint,omitempty"`
	// Era is the store's era to which all revisions here belong.
	Era uint64 `cbor:"5,keyasint,omitempty"`
}

// lastChange returns the position of the newest change in the content.
func (c *TableContent) lastChange() Position { return Position{c.Era, c.ChangeRevision} }

// Content returns the table's content, to be sent to another entry instance.
func (f *Follower) Content() TableContent {
	f.mu.Lock()
	defer f.mu.Unlock()
	content := TableContent{ChangeRevision: f.changeRevision, ReadRevision: f.readRevision, Era: f.era}
	for _, r := range f.rows {
		content.Rows = append(content.Rows, r)
	}
	if f.table == TableDeclared {
		now := f.clock.Now()
		content.WeightsAgeMs = map[string]int64{}
		for model, w := range f.holder.Current().Weights {
			if !w.DeclaredAtEstimated {
				content.WeightsAgeMs[model] = now.Sub(w.DeclaredAt).Milliseconds()
			}
		}
	}
	return content
}

// AdoptIfNewer replaces the table's content with content, which another entry
// instance sent, if content is newer. from names that entry instance, for the log. If
// content has patches of values that this process does not have, AdoptIfNewer returns an
// error and changes nothing. The result are the changes to what ApplyFromPeer and the
// store delivered before: with an Until of 0 if content is not newer, and without rows if
// they are not to be passed on; see changesTo.
func (f *Follower) AdoptIfNewer(content TableContent, from string) (RowChanges, error) {
	if !f.LastChange().Before(content.lastChange()) {
		return RowChanges{}, nil
	}
	f.log.Event(eventTableFromPeer, eventlog.Fields{
		"table": f.table.Name(), "from": from, "revision": content.ChangeRevision, "before": f.LastChange().Revision, "era": content.Era,
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	if !(Position{f.era, f.changeRevision}).Before(content.lastChange()) {
		return RowChanges{}, nil
	}
	received := content.Rows
	if err := f.expandContent(&content); err != nil {
		return RowChanges{}, err
	}
	changes := f.changesTo(content, received)
	f.replaceContentLocked(content, cmp.Or(from, "peer"))
	if hasPatches(received) {
		f.overtakeCall()
	}
	return changes, nil
}

// replaceContent replaces the complete content of the table. It does nothing if content
// is of an older era.
func (f *Follower) replaceContent(content TableContent) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if content.Era >= f.era {
		f.replaceContentLocked(content, "")
	}
}

// replaceContentLocked is replaceContent for callers that hold f.mu, with content of f.era
// or a newer one. peer is empty if content was read from the store.
func (f *Follower) replaceContentLocked(content TableContent, peer string) {
	now := f.clock.Now()
	firstRead := f.changeRevision == 0
	newEra := !firstRead && content.Era > f.era
	if newEra {
		f.enterEra(content, now)
	}
	if content.Era != f.era {
		f.patches = patchHistory{}
	}
	old := f.rows
	f.rows = map[string]Row{}
	var changes []Change
	for _, r := range content.Rows {
		f.rows[r.Key] = r
		delete(f.missingRows, r.Key)
		if before, ok := old[r.Key]; ok && unchanged(before, r, newEra) && f.table == TableServers {
			// This row has not changed. Decoding the row again would restart the
			// server's cold period.
			if server := f.holder.Current().Servers[r.Key]; server != nil {
				changes = append(changes, Change{Server: server})
				continue
			}
		}
		if c, ok := f.decode(r, now); ok {
			f.setDeclaredAt(&c, content, firstRead, now)
			delete(f.heldBack, r.Key)
			if newEra {
				f.holdBack(&c, r)
			}
			changes = append(changes, c)
		}
	}
	for key, r := range old {
		if _, ok := f.rows[key]; !ok && f.inGracePeriod(f.dataCentreOf(key), now) {
			f.recordMissingRow(r)
		}
	}
	changes = append(changes, f.keepMissing(now)...)
	f.recordUnlisted(old, now)
	f.changeRevision, f.readRevision = max(f.changeRevision, content.ChangeRevision), content.ReadRevision
	f.sharedUntil, f.era = content.ReadRevision, content.Era
	f.holder.Apply(withSource(changes, peer), true, f.table == TableServers, now)
	f.updateBehind()
}

// unchanged reports whether a row still has the content that it had before. Revisions
// are not compared across eras.
func unchanged(before, now Row, newEra bool) bool {
	if newEra {
		return bytes.Equal(before.Value, now.Value)
	}
	return before.Revision == now.Revision
}

// estimatedAge is the assumed age of a version that was declared before this
// process started. Such a version may be old, and then must be mandatory as soon as
// this process is bound by that: 3 s after the start, 8 s after the declaration.
const estimatedAge = 5 * time.Second

// setDeclaredAt sets c.Weights.DeclaredAt; it does nothing if c.Weights is nil.
// It uses the age in content if there is one. Otherwise, on the first read, from the
// store or from a peer that has no age either, it uses estimatedAge. In all other cases
// it leaves DeclaredAt as it is.
func (f *Follower) setDeclaredAt(c *Change, content TableContent, firstRead bool, now time.Time) {
	if c.Weights == nil {
		return
	}
	switch ms, ok := content.WeightsAgeMs[c.Weights.Model]; {
	case ok:
		c.Weights.DeclaredAt = now.Add(-time.Duration(ms) * time.Millisecond)
	case firstRead:
		c.Weights.DeclaredAt, c.Weights.DeclaredAtEstimated = now.Add(-estimatedAge), true
	}
}

// applyRows applies the rows that ChangesSince returned, which cover the table up to
// until. It does nothing if the table is of another era by now.
func (f *Follower) applyRows(rows []Row, until Position) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if until.Era == f.era {
		f.applyRowsLocked(rows, until.Revision, "")
	}
	f.blindSince = time.Time{}
}

// applyRowsLocked is applyRows for callers that hold f.mu, with a revision of f.era. peer
// is empty if the rows were read from the store.
func (f *Follower) applyRowsLocked(rows []Row, rev uint64, peer string) {
	now := f.clock.Now()
	var changes []Change
	for _, r := range rows {
		if r.Revision <= f.rows[r.Key].Revision && !r.Deleted || r.Revision <= f.readRevision {
			// The row is applied already. A peer may have sent it before.
			continue
		}
		f.changeRevision = max(f.changeRevision, r.Revision)
		if r.Deleted && f.table == TableServers && f.inGracePeriod(f.dataCentreOf(r.Key), now) {
			f.recordMissingRow(f.rows[r.Key])
			delete(f.rows, r.Key)
			continue
		}
		if r.Deleted {
			delete(f.rows, r.Key)
		} else {
			f.rows[r.Key] = r
		}
		delete(f.missingRows, r.Key)
		delete(f.heldBack, r.Key)
		if c, ok := f.decode(r, now); ok {
			if c.Weights != nil {
				// The zero value stands for now.
				c.Weights.DeclaredAt = f.blindSince
			}
			changes = append(changes, c)
		}
	}
	changes = append(changes, f.endGrace(now)...)
	f.readRevision = max(f.readRevision, rev)
	f.recordGone(changes, now)
	if len(changes) > 0 {
		f.holder.Apply(withSource(changes, peer), false, f.table == TableServers, now)
	}
	f.updateBehind()
}

// withSource returns changes after setting the peer that sent them.
func withSource(changes []Change, peer string) []Change {
	for i := range changes {
		changes[i].From = peer
	}
	return changes
}

// decode returns the change that a row describes, and whether to apply the change. It
// logs an event if the row cannot be decoded.
func (f *Follower) decode(r Row, now time.Time) (Change, bool) {
	c, err := f.source.Decode(f.table, r, now)
	if err == nil {
		return c, true
	}
	if !errors.Is(err, ErrUnusedRow) {
		f.log.EventWithError(eventRowRejected, err, eventlog.Fields{"table": f.table.Name(), "key": r.Key, "revision": r.Revision})
	}
	// A server whose row cannot be decoded must not be used; c removes the
	// server.
	return c, c.Server != nil
}
