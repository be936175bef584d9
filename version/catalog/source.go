package catalog

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// Table names a table of the platform's store.
type Table uint8

// The tables that a process follows.
const (
	// TableDeclared holds what operators declare.
	TableDeclared Table = iota
	// TableServers holds the servers' own entries.
	TableServers
	// TableEntries holds the addresses of entry instances.
	TableEntries
)

// Name is the table's name in log lines.
func (t Table) Name() string { return [...]string{"declared", "servers", "entries"}[t] }

// Row is one row of a table.
type Row struct {
	// Key is the row's name.
	Key string `cbor:"1,keyasint"`
	// Value is its content.
	Value []byte `cbor:"2,keyasint"`
	// Revision is the store's revision at which it was written or deleted.
	Revision uint64 `cbor:"3,keyasint"`
	// Deleted says that the row is gone.
	Deleted bool `cbor:"4,keyasint,omitempty"`
}

// Errors of a Source.
var (
	// ErrHistoryLost says that the changes since a revision are no longer
	// kept; the table must be read whole.
	ErrHistoryLost = errors.New("history no longer available")
	// ErrUnused says that a row names nothing that this product follows.
	ErrUnused = errors.New("row not used")
)

// Source reads the platform's store.
type Source interface {
	// List returns all rows of a table and the store's revision.
	List(ctx context.Context, t Table) ([]Row, uint64, error)
	// Feed returns the rows that changed after a revision, in order, as soon
	// as there is one, or none once wait has passed.
	Feed(ctx context.Context, t Table, since uint64, wait time.Duration) ([]Row, uint64, error)
	// Decode returns what a row says, or ErrUnused.
	Decode(t Table, r Row, now time.Time) (Change, error)
}
