package confstore

import (
	"context"
	"fmt"

	"github.com/go-faster/errors"

	"github.com/rattanway/rattanway/process/platform"
	"github.com/rattanway/rattanway/version/declare"
)

// historyPageRows is the maximum number of history rows read in one call.
const historyPageRows = 100

// maxPrunedPerChange is the maximum number of old versions removed after each
// change.
const maxPrunedPerChange = 4

// Deleter is implemented by object stores that can delete objects.
type Deleter interface {
	// Delete deletes an object. It returns nil if the object does not exist.
	Delete(ctx context.Context, name string) error
}

// Head returns the newest accepted version, or an entry with Number 0 when there is
// no version yet.
func (p *Publisher) Head(ctx context.Context) (HistoryEntry, error) {
	head, _, err := p.readHead(ctx)
	return head, err
}

// readHead reads the head row and returns its entry and revision; both are zero
// when there is no version yet.
func (p *Publisher) readHead(ctx context.Context) (HistoryEntry, uint64, error) {
	row, err := p.table.Get(ctx, headKey, 0)
	if errors.Is(err, platform.ErrNotFound) {
		return HistoryEntry{}, 0, nil
	}
	if err != nil {
		return HistoryEntry{}, 0, err
	}
	rec, err := decodeRecord(headKey, row.Value)
	return rec.HistoryEntry, row.Revision, err
}

// findChange returns the version that was created with a change id, or
// platform.ErrNotFound when there is no such version.
func (p *Publisher) findChange(ctx context.Context, changeID string) (HistoryEntry, error) {
	key := changeKey(changeID)
	row, err := p.table.Get(ctx, key, 0)
	if err != nil {
		return HistoryEntry{}, err
	}
	rec, err := decodeRecord(key, row.Value)
	return rec.HistoryEntry, err
}

// readRecord reads the history row of one version. It returns ErrVersionNotFound
// when the row does not exist.
func (p *Publisher) readRecord(ctx context.Context, number uint64) (record, error) {
	key := historyKey(number)
	row, err := p.table.Get(ctx, key, 0)
	if errors.Is(err, platform.ErrNotFound) {
		return record{}, errors.Wrapf(ErrVersionNotFound, "version %d", number)
	}
	if err != nil {
		return record{}, err
	}
	rec, err := decodeRecord(key, row.Value)
	if err == nil && rec.Number != number {
		err = fmt.Errorf("%w: row %s holds version %d", ErrIntegrity, key, rec.Number)
	}
	return rec, err
}

// History returns up to limit versions, newest first. It returns ErrIntegrity
// when a row is damaged, when the version numbers are not consecutive, or when a
// parent digest is not the digest of the version before.
func (p *Publisher) History(ctx context.Context, limit int) ([]HistoryEntry, error) {
	head, err := p.Head(ctx)
	if err != nil || head.Number == 0 {
		return nil, err
	}
	after := uint64(0)
	if count := uint64(limit); head.Number > count {
		after = head.Number - count
	}
	entries, err := p.entriesAfter(ctx, after)
	if err != nil {
		return nil, err
	}
	if err := checkChain(entries); err != nil {
		return nil, err
	}
	for i, j := 0, len(entries)-1; i < j; i, j = i+1, j-1 {
		entries[i], entries[j] = entries[j], entries[i]
	}
	return entries, nil
}

// entriesAfter returns the entries of all versions after number, oldest first.
func (p *Publisher) entriesAfter(ctx context.Context, number uint64) ([]HistoryEntry, error) {
	var entries []HistoryEntry
	after := historyKey(number)
	for {
		rows, err := p.table.List(ctx, historyPrefix, after, historyPageRows)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			rec, err := decodeRecord(row.Key, row.Value)
			if err != nil {
				return nil, err
			}
			entries = append(entries, rec.HistoryEntry)
			after = row.Key
		}
		if len(rows) < historyPageRows {
			return entries, nil
		}
	}
}

// checkChain returns ErrIntegrity unless each entry is the successor of the entry
// before it, by version number and parent digest.
func checkChain(entries []HistoryEntry) error {
	for i := 1; i < len(entries); i++ {
		previous, entry := entries[i-1], entries[i]
		if entry.Number != previous.Number+1 || entry.Parent != previous.Digest {
			return fmt.Errorf("%w: version %d does not follow version %d", ErrIntegrity, entry.Number, previous.Number)
		}
	}
	return nil
}

// Load returns a version from the history. Version 0 is the empty set.
func (p *Publisher) Load(ctx context.Context, number uint64) (*declare.Snapshot, error) {
	if number == 0 {
		return p.loadEntry(ctx, HistoryEntry{})
	}
	rec, err := p.readRecord(ctx, number)
	if err != nil {
		return nil, err
	}
	return p.loadEntry(ctx, rec.HistoryEntry)
}

// loadEntry reads the snapshot of an entry and checks its digest.
func (p *Publisher) loadEntry(ctx context.Context, e HistoryEntry) (*declare.Snapshot, error) {
	return loadSnapshot(ctx, p.objects, e)
}

// loadSnapshot reads the snapshot of an entry from objects and checks its digest.
// It returns ErrVersionNotFound when the object does not exist, and ErrIntegrity
// when the object is damaged.
func loadSnapshot(ctx context.Context, objects platform.ObjectStore, e HistoryEntry) (*declare.Snapshot, error) {
	if e.Number == 0 {
		return &declare.Snapshot{Set: declare.NewSet()}, nil
	}
	name := snapshotName(e.Number, e.Digest)
	body, err := objects.Get(ctx, name, 0, -1)
	if errors.Is(err, platform.ErrNotFound) {
		return nil, errors.Wrapf(ErrVersionNotFound, "version %d", e.Number)
	}
	if err != nil {
		return nil, err
	}
	set, err := declare.Decode(body, e.Digest)
	if err != nil {
		return nil, fmt.Errorf("%w: object %s: %v", ErrIntegrity, name, err)
	}
	return &declare.Snapshot{Number: e.Number, Digest: e.Digest, Set: set}, nil
}

// Replay returns the declarations of a version as documents, and its entry. The
// documents of a version are always the same bytes.
func (p *Publisher) Replay(ctx context.Context, number uint64) ([]byte, HistoryEntry, error) {
	rec, err := p.readRecord(ctx, number)
	if err != nil {
		return nil, HistoryEntry{}, err
	}
	snapshot, err := p.loadEntry(ctx, rec.HistoryEntry)
	if err != nil {
		return nil, HistoryEntry{}, err
	}
	body, err := declare.EncodeYAML(snapshot.Set)
	return body, rec.HistoryEntry, err
}

// Revert creates the next version with the content of version number. c.Set is
// ignored.
func (p *Publisher) Revert(ctx context.Context, number uint64, c Change) (*declare.Snapshot, error) {
	old, err := p.Load(ctx, number)
	if err != nil {
		return nil, err
	}
	c.Set = old.Set
	return p.Apply(ctx, c)
}

// maxEditAttempts is the maximum number of attempts of one Edit.
const maxEditAttempts = 5

// Edit creates the next version by calling edit on a copy of the newest version.
// After a conflict it calls edit again, on a copy of the version that is now the
// newest. That version may differ in any object, so edit must not depend on
// objects that it does not change. c.Base and c.Set are ignored. Edit returns
// ErrUnchanged when edit changes nothing.
func (p *Publisher) Edit(ctx context.Context, c Change, edit func(*declare.Set) error) (*declare.Snapshot, error) {
	for attempts := 1; ; attempts++ {
		snapshot, err := p.editOnce(ctx, c, edit)
		var conflict *ConflictError
		if !errors.As(err, &conflict) || attempts == maxEditAttempts {
			return snapshot, err
		}
	}
}

// editOnce makes one attempt at an edit. If a version was already created with
// the change id, editOnce creates no version. It then calls edit on the existing
// version: if edit changes nothing, editOnce returns the existing version, and
// otherwise ErrChangeIDReused.
func (p *Publisher) editOnce(ctx context.Context, c Change, edit func(*declare.Set) error) (*declare.Snapshot, error) {
	base, err := p.findChange(ctx, c.ChangeID)
	alreadyApplied := err == nil
	if errors.Is(err, platform.ErrNotFound) {
		base, err = p.Head(ctx)
	}
	if err != nil {
		return nil, err
	}
	snapshot, err := p.loadEntry(ctx, base)
	if err != nil {
		return nil, err
	}
	c.Base = base.Number
	c.Set = snapshot.Set.Clone()
	if err := edit(c.Set); err != nil {
		return nil, err
	}
	if !alreadyApplied {
		return p.Apply(ctx, c)
	}
	if len(declare.Diff(snapshot.Set, c.Set)) > 0 {
		return nil, errors.Wrapf(ErrChangeIDReused, "change id %q became version %d", c.ChangeID, base.Number)
	}
	return snapshot, nil
}

// prune removes the oldest versions when the history has more than HistoryLimit
// versions, but at most maxPrunedPerChange of them. It stops at the first error.
// Later changes remove the versions that are left.
func (p *Publisher) prune(ctx context.Context, newest uint64) {
	if newest <= p.HistoryLimit {
		return
	}
	rows, err := p.table.List(ctx, historyPrefix, "", maxPrunedPerChange)
	if err != nil {
		return
	}
	for _, row := range rows {
		if !p.pruneRow(ctx, row, newest-p.HistoryLimit) {
			return
		}
	}
}

// pruneRow removes the version of a history row unless the version is newer than
// newestPruned. It reports whether the version was removed.
func (p *Publisher) pruneRow(ctx context.Context, row platform.Row, newestPruned uint64) bool {
	number, err := parseHistoryKey(row.Key)
	if err != nil || number > newestPruned {
		return false
	}
	writes := []platform.Write{{Key: row.Key, Delete: true}}
	if rec, err := decodeRecord(row.Key, row.Value); err == nil {
		writes = append(writes, platform.Write{Key: changeKey(rec.ChangeID), Delete: true})
		if d, ok := p.objects.(Deleter); ok && d.Delete(ctx, snapshotName(number, rec.Digest)) != nil {
			return false
		}
	}
	return p.table.Commit(ctx, writes) == nil
}
