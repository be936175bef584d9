package confstore

import (
	"fmt"
	"strings"

	"github.com/go-faster/errors"

	"github.com/rattanway/rattanway/version/declare"
)

// Errors of a Publisher.
var (
	// ErrChangeIDReused is returned when the change id was already used for
	// another change.
	ErrChangeIDReused = errors.New("change id was used for another change")
	// ErrVersionNotFound is returned when a version does not exist, or when the
	// history no longer keeps it.
	ErrVersionNotFound = errors.New("no such version in the history")
	// ErrUnchanged is returned when the set of a change equals the set of the
	// newest version. No new version is created then.
	ErrUnchanged = errors.New("nothing differs from the version in force")
	// ErrInvalidChange is returned when the author, reason or change id of a
	// change is missing, too long or not UTF-8.
	ErrInvalidChange = errors.New("bad change")
)

// ConflictError is returned when the base of a change is no longer the newest
// version, because another change was accepted first.
type ConflictError struct {
	// BaseNumber is the number of the version to which the refused change was to be
	// applied.
	BaseNumber uint64
	// Winner is the version after BaseNumber, which another change created. If the
	// record of that version cannot be read, Winner is the newest version.
	Winner HistoryEntry
	// InForce is the number of the newest version.
	InForce uint64
	// Changes are the differences between BaseNumber and the newest version;
	// nil when one of the two cannot be read.
	Changes []declare.Change
}

// Error implements error.
func (e *ConflictError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "conflict: the change was made for version %d, but version %d is in force; ", e.BaseNumber, e.InForce)
	fmt.Fprintf(&b, "version %d came first, by %s (%s, change id %s)", e.Winner.Number, e.Winner.Author, e.Winner.Reason, e.Winner.ChangeID)
	for _, c := range e.Changes {
		b.WriteString("\n  " + c.String())
	}
	return b.String()
}
