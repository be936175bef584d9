package catalog

import "github.com/go-faster/errors"

// Position is a place in the history of the platform's store. When the store comes
// back from a copy, it gives out revisions again: a revision identifies a change only
// within its era.
type Position struct {
	// Era counts how often the store has come back from a copy; 0 throughout for a
	// store that names no era.
	Era uint64
	// Revision is the number of the change within the era; 0 means none.
	Revision uint64
}

// Before reports whether p lies before other: in an earlier era, or in the same era at a
// lower revision.
func (p Position) Before(other Position) bool {
	return p.Era < other.Era || p.Era == other.Era && p.Revision < other.Revision
}

// checkEra returns nil if the store answers in the era of the table that was read. In a
// newer era the table must be read again from the start, and the error is ErrHistoryLost.
// Eras only rise, so an answer of an older era, or of none, is an error like any other:
// the table keeps its content until the store answers in its era again.
func checkEra(read, answered uint64) error {
	switch {
	case answered > read:
		return errors.Wrapf(ErrHistoryLost, "the store is in era %d and the table of era %d", answered, read)
	case answered < read:
		return errors.Errorf("the store answers in era %d after era %d", answered, read)
	}
	return nil
}
