package catalog

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// Table identifies a table of the platform's store.
type Table uint8

// The tables of the store that this module reads.
const (
	// TableDeclared holds the declarations of operators.
	TableDeclared Table = iota
	// TableServers holds the rows that describe the backend servers.
	TableServers
	// TableEntries holds the addresses of entry instances.
	TableEntries
	// TableQuarantine holds the prompt parts that are quarantined.
	TableQuarantine
)

// Name returns the table's name for log lines.
func (t Table) Name() string { return [...]string{"declared", "servers", "entries", "quarantine"}[t] }

// Row is one row of a table.
type Row struct {
	// Key identifies the row in its table.
	Key string `cbor:"1,keyasint"`
	// Value is the encoded content.
	Value []byte `cbor:"2,keyasint"`
	// Revision is the store's revision at which the row was written or
	// deleted.
	Revision uint64 `cbor:"3,keyasint"`
	// Deleted reports whether the row was deleted.
	Deleted bool `cbor:"4,keyasint,omitempty"`
	// Patches make the value from the one that the row had at the revision Base, one after
	// the other; a Base of 0 stands for an empty value. Between entry instances they stand
	// in place of Value.
	Base    uint64   `cbor:"5,keyasint,omitempty"`
	Patches [][]byte `cbor:"6,keyasint,omitempty"`
}

// Errors of a Source.
var (
	// ErrHistoryLost is returned when the store no longer keeps all changes
	// since the requested revision; the complete table must be read instead.
	ErrHistoryLost = errors.New("history no longer available")
	// ErrUnusedRow is returned by Decode for a row that this module does not
	// use.
	ErrUnusedRow = errors.New("row not used")
)

// Source reads the platform's store.
type Source interface {
	// List returns all rows of a table and the store's position.
	List(ctx context.Context, t Table) ([]Row, Position, error)
	// ChangesSince returns the rows of a table that changed after the revision
	// since, oldest change first, and the store's position. It returns as soon
	// as there is a change, or without rows after maxWait; a call with a maxWait of 0 uses
	// a new connection. It returns
	// ErrHistoryLost when the changes are no longer available. The store knows
	// since as a number of its present era, whichever era the caller means.
	//
	// List and ChangesSince call ResponseBegun with ctx as soon as a response with rows begins
	// to arrive. A response that keeps arriving may take long; if one stops, they fail.
	ChangesSince(ctx context.Context, t Table, since uint64, maxWait time.Duration) ([]Row, Position, error)
	// Decode returns the change that a row describes, or ErrUnusedRow. If a
	// server's row cannot be decoded, Decode returns an error together with a
	// Change that removes the server.
	Decode(t Table, r Row, now time.Time) (Change, error)
}

// responseBegunKey is the key of the function passed to WithResponseBegun in a context.
type responseBegunKey struct{}

// WithResponseBegun returns a context for a call of a Source. The Source calls begun when its
// response begins to arrive, before the rows are complete; once for each page of List.
func WithResponseBegun(ctx context.Context, begun func()) context.Context {
	return context.WithValue(ctx, responseBegunKey{}, begun)
}

// ResponseBegun calls the function passed to WithResponseBegun, if there is one. It is for
// implementations of Source.
func ResponseBegun(ctx context.Context) {
	if begun, ok := ctx.Value(responseBegunKey{}).(func()); ok {
		begun()
	}
}
