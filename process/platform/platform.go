// Package platform declares the interfaces to the platform that runs the system: a
// transactional table, an object store, a rate-limited store of model weights, and
// a list of instances that lags behind the real state of the instances. NewHTTP
// returns the HTTP adapters that implement them.
package platform

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/rattanway/rattanway/core"
)

// Errors of the adapters. They are returned wrapped in a core.StepError.
var (
	// ErrNotFound is returned when a row or object does not exist.
	ErrNotFound = errors.New("not found")
	// ErrConflict is returned when a condition of a commit does not hold.
	// Nothing was written.
	ErrConflict = errors.New("conflict")
	// ErrUnavailable is returned when the platform is unreachable or cannot
	// serve the call. The call had no effect.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrUnknownOutcome is returned when a write may or may not have taken
	// effect, because its response was lost or reported an internal error.
	ErrUnknownOutcome = errors.New("outcome unknown")
	// ErrNotModified is returned when a conditional read finds that the data
	// has not changed.
	ErrNotModified = errors.New("not modified")
)

// Row is a row of the table.
type Row struct {
	// Key identifies the row, for example "config/head".
	Key string `json:"key"`
	// Value is the row's content, at most 64 KiB.
	Value []byte `json:"value"`
	// Revision is the number of writes to this row so far; 0 means that the
	// row does not exist.
	Revision uint64 `json:"revision"`
}

// Write is a conditional or unconditional write of a commit.
type Write struct {
	// Key identifies the row.
	Key string `json:"key"`
	// Value is the new content; nil if Delete is true.
	Value []byte `json:"value,omitempty"`
	// Delete removes the row.
	Delete bool `json:"delete,omitempty"`
	// If is the revision that the row must have for the commit to succeed; 0
	// means that the row must not exist. Nil makes the write unconditional.
	If *uint64 `json:"if,omitempty"`
}

// IfRevision returns the value of Write.If for the condition that the row has
// revision n.
func IfRevision(n uint64) *uint64 { return &n }

// Table is the platform's transactional table.
type Table interface {
	// Get reads a row. It returns ErrNotModified if the row's revision is still
	// knownRevision, the revision that the caller already has. If knownRevision is
	// 0, Get always returns the row.
	Get(ctx context.Context, key string, knownRevision uint64) (Row, error)
	// List reads the rows whose keys start with prefix and are greater than
	// after. It returns the first limit of these rows in the order of their
	// keys.
	List(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies all writes atomically or none of them. It returns
	// ErrConflict if a condition does not hold, ErrUnavailable if nothing was
	// written, and ErrUnknownOutcome if the writes may have been applied.
	Commit(ctx context.Context, writes []Write) error
}

// ObjectStore is an object store: the platform's general one or the store of model
// weights. Stored objects are immutable.
type ObjectStore interface {
	// Get reads length bytes of an object from offset on; with length -1 it
	// reads to the end of the object.
	Get(ctx context.Context, name string, offset, length int64) ([]byte, error)
	// Put stores an object. Storing the same body again has no effect.
	Put(ctx context.Context, name string, body []byte) error
}

// InstanceLister reads the platform's list of live and leaving instances. The list
// lags behind the real state of the instances.
type InstanceLister interface {
	// List returns the instances and the tag of the list. It returns
	// ErrNotModified if tag is the tag of the current list.
	List(ctx context.Context, tag string) ([]core.Instance, string, error)
}

// Platform holds the adapters to the services of the platform.
type Platform struct {
	Table       Table
	ObjectStore ObjectStore
	// WeightStore is the store of model weights.
	WeightStore ObjectStore
	Instances   InstanceLister
}
