package catalog

import (
	"slices"

	"github.com/go-faster/errors"

	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/version/rowpatch"
)

const (
	// minPatchedBytes is the size of a row's value from which entry instances send each
	// other patches in its place.
	minPatchedBytes = 4 << 10
	// maxValueBytes bounds a value that is made from patches.
	maxValueBytes = 16 << 20
	// maxPatchBytes and maxPatchCount bound the patches that are kept for a row.
	maxPatchBytes = 256 << 10
	maxPatchCount = 32
)

// ErrNoBase means that patches of a row cannot be applied, because this process does not
// have the value that they change.
var ErrNoBase = errors.New("the value that the patches change is missing")

// patchStep holds patches that make the value of a row at the revision to from the value
// at the revision from. A from of 0 stands for an empty value.
type patchStep struct {
	from, to uint64
	patches  [][]byte
}

// bytes returns the size of the patches.
func (s patchStep) bytes() int {
	n := 0
	for _, p := range s.patches {
		n += len(p)
	}
	return n
}

// patchHistory holds the newest patches of each row of a table, oldest first. All
// revisions belong to one era of the store.
type patchHistory map[string][]patchStep

// add records a step to the newest value of a row.
func (h patchHistory) add(key string, step patchStep) {
	steps := slices.DeleteFunc(h[key], func(s patchStep) bool { return s.from == 0 })
	steps = append(steps, step)
	size := 0
	for i := len(steps) - 1; i >= 0; i-- {
		size += steps[i].bytes()
		if i < len(steps)-1 && (size > maxPatchBytes || len(steps)-i > maxPatchCount) {
			steps = steps[i+1:]
			break
		}
	}
	h[key] = steps
}

// path returns the patches that make the value of a row at the revision to from that at
// the revision from; nil if they are not known.
func (h patchHistory) path(key string, from, to uint64) [][]byte {
	var patches [][]byte
	for at := from; at != to; {
		next := patchStep{}
		for _, s := range h[key] {
			if s.from == at && s.to <= to && s.to > max(at, next.to) {
				next = s
			}
		}
		if next.to == 0 {
			return nil
		}
		patches = append(patches, next.patches...)
		at = next.to
	}
	return patches
}

// condensed reports whether r has patches in place of its value. A row without patches
// whose Base is its own revision has the value that the receiver has.
func (r *Row) condensed() bool {
	return !r.Deleted && r.Value == nil && (r.Base > 0 || len(r.Patches) > 0)
}

// hasPatches reports whether a row has patches.
func hasPatches(rows []Row) bool {
	return slices.ContainsFunc(rows, func(r Row) bool { return len(r.Patches) > 0 })
}

// WithoutValue returns r without its value if it has patches.
func (r Row) WithoutValue() Row {
	if len(r.Patches) > 0 {
		r.Value = nil
	}
	return r
}

// WithoutPatches returns r without its patches.
func (r Row) WithoutPatches() Row {
	r.Base, r.Patches = 0, nil
	return r
}

// expand returns a received row with its value. The caller must hold f.mu.
func (f *Follower) expand(r Row) (Row, error) {
	if !r.condensed() {
		return r.WithoutPatches(), nil
	}
	before := f.rows[r.Key]
	if missing, ok := f.missingRows[r.Key]; ok {
		before = missing
	}
	value := []byte(nil)
	if r.Base > 0 {
		if before.Revision != r.Base {
			return r, core.WrapStep("expand row "+r.Key, "", errors.Wrapf(ErrNoBase, "revision %d, have %d", r.Base, before.Revision))
		}
		value = before.Value
	}
	for _, patch := range r.Patches {
		next, err := rowpatch.Apply(value, patch, maxValueBytes)
		if err != nil {
			return r, core.WrapStep("expand row "+r.Key, "", err)
		}
		value = next
	}
	if len(r.Patches) > 0 && r.Revision > before.Revision {
		f.patches.add(r.Key, patchStep{from: r.Base, to: r.Revision, patches: r.Patches})
	}
	r.Value = value
	return r.WithoutPatches(), nil
}

// expandAll expands received changes. It leaves out patches of rows that are not newer
// than those that this process has. The caller must hold f.mu.
func (f *Follower) expandAll(rows []Row) ([]Row, error) {
	expanded := make([]Row, 0, len(rows))
	for _, r := range rows {
		if r.condensed() && r.Revision <= f.rows[r.Key].Revision {
			continue
		}
		r, err := f.expand(r)
		if err != nil {
			return nil, err
		}
		expanded = append(expanded, r)
	}
	return expanded, nil
}

// expandContent expands the rows of received content. The caller must hold f.mu.
func (f *Follower) expandContent(content *TableContent) error {
	rows := make([]Row, 0, len(content.Rows))
	for _, r := range content.Rows {
		if r.Base > 0 && content.Era != f.era {
			return core.WrapStep("expand row "+r.Key, "", errors.Wrapf(ErrNoBase, "value of era %d, have era %d", content.Era, f.era))
		}
		r, err := f.expand(r)
		if err != nil {
			return err
		}
		rows = append(rows, r)
	}
	content.Rows = rows
	return nil
}

// changesTo returns the changes that make the table's rows those of content. received are
// the rows of content as a peer sent them. Without rows, the era is another one. The caller
// must hold f.mu.
func (f *Follower) changesTo(content TableContent, received []Row) RowChanges {
	changes := RowChanges{Since: f.sharedUntil, Until: content.ReadRevision, Era: content.Era}
	if content.Era != f.era || f.changeRevision == 0 || f.changeRevision > f.sharedUntil {
		return changes
	}
	listed := map[string]bool{}
	for i, r := range content.Rows {
		listed[r.Key] = true
		if r.Revision > f.rows[r.Key].Revision {
			r.Base, r.Patches = received[i].Base, received[i].Patches
			changes.Rows = append(changes.Rows, r)
		}
	}
	for key := range f.rows {
		if !listed[key] {
			changes.Rows = append(changes.Rows, Row{Key: key, Revision: content.ReadRevision, Deleted: true})
		}
	}
	return changes
}

// largeRows returns the present rows of which the store has returned new values, if those
// are large.
func (f *Follower) largeRows(changed []Row) []Row {
	f.mu.Lock()
	defer f.mu.Unlock()
	var large []Row
	for _, r := range changed {
		if before, ok := f.rows[r.Key]; ok && len(r.Value) >= minPatchedBytes && before.Revision < r.Revision {
			large = append(large, before)
		}
	}
	return large
}

// addPatches adds patches against the rows before, of this era of the store, to rows that
// the store has returned, and keeps them for peers.
func (f *Follower) addPatches(before, rows []Row, era uint64) {
	for _, old := range before {
		i := slices.IndexFunc(rows, func(r Row) bool { return r.Key == old.Key })
		patch, err := rowpatch.Encode(old.Value, rows[i].Value)
		if err != nil {
			// Peers get the whole value.
			continue
		}
		rows[i].Base, rows[i].Patches = old.Revision, [][]byte{patch}
		f.mu.Lock()
		if f.era == era {
			f.patches.add(old.Key, patchStep{from: old.Revision, to: rows[i].Revision, patches: rows[i].Patches})
		}
		f.mu.Unlock()
	}
}

// Revisions returns the revisions of the rows that this process has, and their era, for
// ContentSince at a peer.
func (f *Follower) Revisions() (map[string]uint64, uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	revisions := make(map[string]uint64, len(f.rows))
	for key, r := range f.rows {
		revisions[key] = r.Revision
	}
	return revisions, f.era
}

// ContentSince returns the table's content for a peer that has rows at the given revisions
// of an era. Rows that the peer has come without values, and large values as patches.
func (f *Follower) ContentSince(revisions map[string]uint64, era uint64) TableContent {
	content := f.Content()
	if content.Era != era {
		revisions = nil
	}
	for i := range content.Rows {
		f.condense(&content.Rows[i], revisions[content.Rows[i].Key], content.Era)
	}
	return content
}

// condense replaces the value of r, a row of the given era, for a peer that has the row at
// the revision from; 0 if it has not.
func (f *Follower) condense(r *Row, from, era uint64) {
	if from == r.Revision {
		r.Base, r.Value = from, nil
		return
	}
	if len(r.Value) < minPatchedBytes {
		return
	}
	if patches := f.patchPath(r.Key, from, r.Revision, era); patches != nil {
		r.Base, r.Patches, r.Value = from, patches, nil
	} else if whole := f.compressed(*r, era); whole != nil {
		r.Patches, r.Value = whole, nil
	}
}

// patchPath returns the patches that make the value of a row of the given era at the
// revision to from that at the revision from; nil if they are not known.
func (f *Follower) patchPath(key string, from, to, era uint64) [][]byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.era != era {
		return nil
	}
	return f.patches.path(key, from, to)
}

// compressed returns a patch that makes the value of r, a row of the given era, from an
// empty one; nil if there is none. It keeps the patch for further peers.
func (f *Follower) compressed(r Row, era uint64) [][]byte {
	f.compressing.Lock()
	defer f.compressing.Unlock()
	if patches := f.patchPath(r.Key, 0, r.Revision, era); patches != nil {
		return patches
	}
	patch, err := rowpatch.Encode(nil, r.Value)
	if err != nil {
		return nil
	}
	patches := [][]byte{patch}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.era == era && f.rows[r.Key].Revision == r.Revision {
		older := slices.DeleteFunc(f.patches[r.Key], func(s patchStep) bool { return s.from == 0 })
		f.patches[r.Key] = append(older, patchStep{to: r.Revision, patches: patches})
	}
	return patches
}
