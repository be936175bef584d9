package confstore

import (
	"context"
	"fmt"
	"time"
	"unicode/utf8"

	"github.com/cenkalti/backoff/v4"
	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"

	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/process/platform"
	"github.com/rattanway/rattanway/version/declare"
)

// DefaultHistoryLimit is the default number of versions that the history keeps.
const DefaultHistoryLimit = 1000

// Limits on the retries of one Apply.
const (
	firstRetryDelay = 50 * time.Millisecond
	maxRetryDelay   = time.Second
	// maxAttempts is the maximum number of attempts, including the first.
	maxAttempts = 6
)

// Change is an operator's request for a new version.
type Change struct {
	// Base is the number of the version to which the change is to be applied.
	Base uint64
	// Author is the operator who makes the change.
	Author string
	// Reason is the operator's reason for the change.
	Reason string
	// ChangeID identifies the change. Applying a change again with the same id,
	// through this or another instance, has no further effect.
	ChangeID string
	// Set is the complete content of the new version.
	Set *declare.Set
}

// validate returns ErrInvalidChange when the author, reason or change id is
// missing, too long or not UTF-8. The history must show who made each change, and
// why.
func (c Change) validate() error {
	for _, f := range []struct {
		name, value string
		maxBytes    int
	}{
		{"author", c.Author, maxAuthorBytes},
		{"reason", c.Reason, maxReasonBytes},
		{"change id", c.ChangeID, maxChangeIDBytes},
	} {
		if f.value == "" {
			return fmt.Errorf("%w: %s is missing", ErrInvalidChange, f.name)
		}
		if len(f.value) > f.maxBytes {
			return fmt.Errorf("%w: %s has %d bytes, more than %d", ErrInvalidChange, f.name, len(f.value), f.maxBytes)
		}
		if !utf8.ValidString(f.value) {
			return fmt.Errorf("%w: %s is not UTF-8", ErrInvalidChange, f.name)
		}
	}
	return nil
}

// Publisher applies changes and writes the new versions to the platform. Any number
// of Publishers may use one platform at the same time. A Publisher is safe for
// concurrent use.
type Publisher struct {
	// HistoryLimit is the number of versions that the history keeps. It may be
	// lowered before the first use.
	HistoryLimit uint64

	table   platform.Table
	objects platform.ObjectStore
	clock   clockwork.Clock
}

// NewPublisher returns a Publisher that keeps DefaultHistoryLimit versions.
func NewPublisher(table platform.Table, objects platform.ObjectStore, clock clockwork.Clock) *Publisher {
	return &Publisher{HistoryLimit: DefaultHistoryLimit, table: table, objects: objects, clock: clock}
}

// Apply checks a change and creates the next version from it. Its errors are
// *declare.InvalidError, *ConflictError, ErrUnchanged, ErrChangeIDReused,
// ErrInvalidChange, ErrVersionNotFound, ErrIntegrity and the errors of package
// platform. After platform.ErrUnknownOutcome the caller may retry the change with
// the same change id.
func (p *Publisher) Apply(ctx context.Context, c Change) (*declare.Snapshot, error) {
	if err := c.validate(); err != nil {
		return nil, err
	}
	e, err := p.encodeChange(c)
	if err != nil {
		return nil, err
	}
	delays := backoff.NewExponentialBackOff(
		backoff.WithInitialInterval(firstRetryDelay),
		backoff.WithMaxInterval(maxRetryDelay),
	)
	outcomeUnknown := false
	for attempts := 1; ; attempts++ {
		snapshot, err := e.applyOnce(ctx)
		if err == nil {
			p.prune(ctx, snapshot.Number)
			return snapshot, nil
		}
		outcomeUnknown = outcomeUnknown || errors.Is(err, platform.ErrUnknownOutcome)
		if !retryable(err, outcomeUnknown) || attempts == maxAttempts {
			e.discardSnapshot(ctx, err)
			return nil, finalError(err, outcomeUnknown)
		}
		if !p.sleep(ctx, delays.NextBackOff()) {
			return nil, finalError(err, outcomeUnknown)
		}
	}
}

// retryable reports whether Apply makes another attempt after err. If the
// platform is unavailable, Apply makes another attempt only when the outcome of
// an earlier attempt is unknown.
func retryable(err error, outcomeUnknown bool) bool {
	if errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrUnknownOutcome) {
		return true
	}
	return outcomeUnknown && errors.Is(err, platform.ErrUnavailable)
}

// finalError returns the error of an Apply whose last attempt failed with err. It is
// platform.ErrUnknownOutcome when the outcome of an earlier attempt is unknown and
// err does not show whether that attempt took effect.
func finalError(err error, outcomeUnknown bool) error {
	unsettled := errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrConflict)
	if outcomeUnknown && unsettled {
		return fmt.Errorf("%w: %v", platform.ErrUnknownOutcome, err)
	}
	return err
}

// sleep waits for d. It returns false if ctx ends first.
func (p *Publisher) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-p.clock.After(d):
		return true
	}
}

// encodedChange is a change that is being applied, with the encoding of its set.
type encodedChange struct {
	publisher *Publisher
	change    Change
	body      []byte
	digest    core.Digest
	// storedName is the object name of the stored snapshot; empty until the
	// snapshot is stored.
	storedName string
}

// encodeChange encodes the set of c, and replaces the set by a decoded copy. It
// returns a *declare.InvalidError if the set has problems and cannot be decoded.
func (p *Publisher) encodeChange(c Change) (*encodedChange, error) {
	body, digest, err := declare.Encode(c.Set)
	if err != nil {
		return nil, err
	}
	// Decode a copy: the snapshot must not share objects with the caller's set.
	c.Set, err = declare.Decode(body, digest)
	if err != nil {
		return nil, invalidError(c.Set, err)
	}
	return &encodedChange{publisher: p, change: c, body: body, digest: digest}, nil
}

// invalidError returns the problems of set as a *declare.InvalidError, or err
// when set has no problems.
func invalidError(set *declare.Set, err error) error {
	if problems := declare.Validate(set); len(problems) > 0 {
		return &declare.InvalidError{Problems: problems}
	}
	return err
}

// applyOnce makes one attempt to apply the change. It writes nothing when the
// change was already applied, when the change's base is not the newest version,
// or when the change is invalid.
func (e *encodedChange) applyOnce(ctx context.Context) (*declare.Snapshot, error) {
	applied, err := e.findApplied(ctx)
	if err != nil || applied != nil {
		return applied, err
	}
	head, revision, err := e.publisher.readHead(ctx)
	if err != nil {
		return nil, err
	}
	if head.Number != e.change.Base {
		return nil, e.conflictError(ctx, head)
	}
	previous, err := e.publisher.loadEntry(ctx, head)
	if err != nil {
		return nil, err
	}
	if problems := declare.ValidateChange(previous.Set, e.change.Set); len(problems) > 0 {
		return nil, &declare.InvalidError{Problems: problems}
	}
	if e.digest == previous.Digest {
		return nil, ErrUnchanged
	}
	return e.commit(ctx, previous, revision)
}

// findApplied returns the version that was created with this change's id, or nil
// when there is no such version. It returns ErrChangeIDReused when that version has
// another set.
func (e *encodedChange) findApplied(ctx context.Context) (*declare.Snapshot, error) {
	entry, err := e.publisher.findChange(ctx, e.change.ChangeID)
	if errors.Is(err, platform.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	if entry.Digest != e.digest {
		return nil, errors.Wrapf(ErrChangeIDReused, "change id %q became version %d", e.change.ChangeID, entry.Number)
	}
	return e.newSnapshot(entry.Number), nil
}

// conflictError returns the error for a change whose base is not head. Usually
// this is a *ConflictError. However, this change itself may have been accepted
// after applyOnce looked for it. If so, or if that cannot be determined, the
// error is platform.ErrConflict, so that the next attempt looks for the change
// again.
func (e *encodedChange) conflictError(ctx context.Context, head HistoryEntry) error {
	if applied, err := e.findApplied(ctx); err != nil || applied != nil {
		return errors.Wrap(platform.ErrConflict, "the change was accepted meanwhile")
	}
	conflict := &ConflictError{BaseNumber: e.change.Base, Winner: head, InForce: head.Number}
	if winner, err := e.publisher.readRecord(ctx, e.change.Base+1); err == nil {
		conflict.Winner = winner.HistoryEntry
	}
	base, err := e.publisher.Load(ctx, e.change.Base)
	if err != nil {
		return conflict
	}
	if newest, err := e.publisher.loadEntry(ctx, head); err == nil {
		conflict.Changes = declare.Diff(base.Set, newest.Set)
	}
	return conflict
}

// commit stores the snapshot, and then writes the head row, the history row and the
// row of the change id in one transaction. The transaction fails if the head row no
// longer has the given revision.
func (e *encodedChange) commit(ctx context.Context, previous *declare.Snapshot, revision uint64) (*declare.Snapshot, error) {
	number := previous.Number + 1
	rec, err := e.newRecord(previous)
	if err != nil {
		return nil, err
	}
	name := snapshotName(number, e.digest)
	if err := e.publisher.objects.Put(ctx, name, e.body); err != nil {
		return nil, objectError(err)
	}
	e.storedName = name
	writes, err := versionWrites(rec, revision)
	if err != nil {
		return nil, err
	}
	if err := e.publisher.table.Commit(ctx, writes); err != nil {
		return nil, err
	}
	return e.newSnapshot(number), nil
}

// discardSnapshot deletes the stored snapshot of a change if err is a
// *ConflictError. Another change was then accepted with the same version number,
// so no later attempt can use the snapshot. If the other change has an equal set,
// both changes share one object, which must stay.
func (e *encodedChange) discardSnapshot(ctx context.Context, err error) {
	var conflict *ConflictError
	if e.storedName == "" || !errors.As(err, &conflict) {
		return
	}
	winner := conflict.Winner
	if winner.Number != e.change.Base+1 || winner.Digest == e.digest {
		return
	}
	if d, ok := e.publisher.objects.(Deleter); ok {
		_ = d.Delete(ctx, e.storedName)
	}
}

// objectError returns the error for a snapshot that could not be stored. A
// snapshot has no effect before the commit, so an unknown outcome of storing it
// is reported as an unavailable platform.
func objectError(err error) error {
	if errors.Is(err, platform.ErrUnknownOutcome) {
		return fmt.Errorf("%w: %v", platform.ErrUnavailable, err)
	}
	return err
}

// newRecord returns the history record of the change as the successor of previous.
func (e *encodedChange) newRecord(previous *declare.Snapshot) (record, error) {
	delta, err := declare.EncodeDelta(previous.Set, e.change.Set)
	if err != nil {
		return record{}, err
	}
	if len(delta) > maxDeltaBytes {
		delta = nil
	}
	return record{
		HistoryEntry: HistoryEntry{
			Number:      previous.Number + 1,
			Digest:      e.digest,
			Parent:      previous.Digest,
			Author:      e.change.Author,
			Reason:      e.change.Reason,
			ChangeID:    e.change.ChangeID,
			Time:        e.publisher.clock.Now().UTC(),
			ChangeCount: len(declare.Diff(previous.Set, e.change.Set)),
		},
		Delta: delta,
	}, nil
}

// versionWrites returns the writes of the transaction that makes rec the newest
// version. The transaction succeeds only if the head row still has the given
// revision, and no rows for the version or the change id exist.
func versionWrites(rec record, revision uint64) ([]platform.Write, error) {
	history, err := encodeRecord(rec)
	if err != nil {
		return nil, err
	}
	head, err := encodeRecord(record{HistoryEntry: rec.HistoryEntry})
	if err != nil {
		return nil, err
	}
	absent := platform.IfRevision(0)
	return []platform.Write{
		{Key: headKey, Value: head, If: platform.IfRevision(revision)},
		{Key: historyKey(rec.Number), Value: history, If: absent},
		{Key: changeKey(rec.ChangeID), Value: head, If: absent},
	}, nil
}

// newSnapshot returns a snapshot of the change's set with the given version number.
func (e *encodedChange) newSnapshot(number uint64) *declare.Snapshot {
	return &declare.Snapshot{Number: number, Digest: e.digest, Set: e.change.Set}
}
