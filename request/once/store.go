// Package once keeps the records of once-only calls with an idempotency key. Such
// a call must run at most once, even if a client submits it again. The records
// are rows of the platform's table, one for each call. A row holds the number of
// the attempt that may run, and the incarnation (the process) of the agent that
// may run this attempt. Later it also holds the outcome, which is the response to
// every resubmission of the call.
package once

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/process/eventlog"
	"github.com/rattanway/rattanway/process/platform"
)

// Defaults of Config.
const (
	defaultTableTimeout    = 2 * time.Second
	defaultPollInterval    = 200 * time.Millisecond
	defaultQueryAfter      = time.Second
	defaultRecordGrace     = 5 * time.Second
	defaultTTL             = 48 * time.Hour
	defaultMaxRowBodyBytes = 32 << 10
	defaultMaxRecordTries  = 20
	defaultSweepInterval   = 10 * time.Minute
)

// Errors of a RecordStore.
var (
	// ErrKeyReused is returned if the key was used before for another request.
	ErrKeyReused = errors.New("the key was used before for another request")
	// ErrOutcomeUnknown is returned if an earlier attempt may have run and the
	// outcome of that attempt cannot be determined.
	ErrOutcomeUnknown = errors.New("an earlier attempt may have run; its outcome is not known")
	// ErrTableUnavailable is returned if the record could not be read or written. No
	// attempt was started.
	ErrTableUnavailable = errors.New("the record of once-only calls cannot be reached")
	// ErrAlreadyClaimed is returned if another submission claimed the call first.
	ErrAlreadyClaimed = errors.New("another submission claimed the call")
)

var (
	eventClaimed = eventlog.Define(520, "once-claimed", logrus.InfoLevel,
		"an attempt at a keyed once-only call was recorded before it was allowed to run")
	eventAgentQueried = eventlog.Define(521, "once-asked", logrus.InfoLevel,
		"an agent was queried whether it has run an earlier attempt; from then on it does not start that attempt")
	eventRecorded = eventlog.Define(522, "once-recorded", logrus.InfoLevel,
		"the outcome of a keyed once-only call was recorded")
	eventReplayed = eventlog.Define(523, "once-replayed", logrus.InfoLevel,
		"a resubmission got the recorded outcome as its response")
	eventNotRecorded = eventlog.Define(524, "once-not-recorded", logrus.ErrorLevel,
		"the outcome of a keyed once-only call could not be recorded; resubmissions may get an error because the outcome is unknown")
	eventSwept = eventlog.Define(525, "once-swept", logrus.InfoLevel,
		"expired records of once-only calls were removed")
	eventAgentOutcomeRecorded = eventlog.Define(527, "once-adopted", logrus.InfoLevel,
		"a resubmission recorded the outcome that the agent had kept, because the entry instance that claimed the attempt had not recorded it")
	eventTableFailed = eventlog.Define(526, "once-table-failed", logrus.WarnLevel,
		"the record of a keyed once-only call could not be read or written")
)

// Config holds the settings of a RecordStore. Zero values take the defaults.
type Config struct {
	// EntryInstanceID is the ID of the entry instance.
	EntryInstanceID string
	// TableTimeout limits the time of each read or write of a record; default 2 s.
	TableTimeout time.Duration
	// PollInterval is the pause between two reads of the record of a running call,
	// and between two tries to record an outcome; default 200 ms.
	PollInterval time.Duration
	// QueryAfter is how long a resubmission finds an attempt running before it
	// queries the agent about the attempt; default 1 s.
	QueryAfter time.Duration
	// RecordGrace is the time that is allowed for recording the outcome of an
	// attempt that has ended; default 5 s.
	RecordGrace time.Duration
	// TTL is how long a record is kept after the claim. A resubmission after that
	// time can run the call again. Default 48 h.
	TTL time.Duration
	// MaxRowBodyBytes is the maximum size of a response body that is stored in a
	// row. Larger bodies are stored in the object store. Default 32 KiB.
	MaxRowBodyBytes int
	// MaxRecordTries is the maximum number of tries to write a row with an outcome.
	// It is also the maximum number of tries to write a body to the object store.
	// Default 20.
	MaxRecordTries int
	// SweepInterval is the mean time between two removals of expired records;
	// default 10 min.
	SweepInterval time.Duration
}

func (c *Config) applyDefaults() {
	core.SetDefault(&c.TableTimeout, defaultTableTimeout)
	core.SetDefault(&c.PollInterval, defaultPollInterval)
	core.SetDefault(&c.QueryAfter, defaultQueryAfter)
	core.SetDefault(&c.RecordGrace, defaultRecordGrace)
	core.SetDefault(&c.TTL, defaultTTL)
	core.SetDefault(&c.MaxRowBodyBytes, defaultMaxRowBodyBytes)
	core.SetDefault(&c.MaxRecordTries, defaultMaxRecordTries)
	core.SetDefault(&c.SweepInterval, defaultSweepInterval)
}

// RecordStore reads and writes the records of once-only calls with an idempotency
// key. It is safe for concurrent use.
type RecordStore struct {
	config  Config
	table   platform.Table
	objects platform.ObjectStore
	log     *eventlog.Logger
	clock   clockwork.Clock
}

// New returns a RecordStore that uses the platform's table and object store.
func New(c Config, table platform.Table, objects platform.ObjectStore, log *eventlog.Logger, clock clockwork.Clock) *RecordStore {
	c.applyDefaults()
	return &RecordStore{config: c, table: table, objects: objects, log: log, clock: clock}
}

// NextAttempt is an attempt that a submission may try to claim.
type NextAttempt struct {
	// Attempt is the number of the attempt, from 1.
	Attempt int
	// revision is the revision of the row when it was read; 0 if there was no
	// row.
	revision uint64
}

// Claim is the recorded right to run one attempt.
type Claim struct {
	store  *RecordStore
	call   Call
	record record
	// revision is the revision of the row that the next write expects.
	revision uint64
}

// Claim records that this incarnation of the agent may run the attempt next, so
// that no other submission may run it. If another submission claimed the call
// first, the error is ErrAlreadyClaimed. If it is not certain that the claim was
// recorded, the error is ErrTableUnavailable. After an error the attempt must not
// be run.
func (s *RecordStore) Claim(ctx context.Context, call Call, next NextAttempt, agent core.Instance, incarnation string) (*Claim, error) {
	c := &Claim{store: s, call: call, revision: next.revision + 1, record: record{
		RequestDigest: call.RequestDigest,
		State:         stateRunning,
		ClaimID:       uuid.NewString(),
		Attempt:       next.Attempt,
		EntryInstance: s.config.EntryInstanceID,
		Agent:         agent,
		Incarnation:   incarnation,
		ExpiresAt:     s.clock.Now().Add(s.config.TTL).UTC(),
	}}
	err := s.writeRecord(ctx, call, &c.record, next.revision)
	if errors.Is(err, platform.ErrUnknownOutcome) {
		err = c.confirm(ctx)
	}
	switch {
	case err == nil:
		s.log.Event(eventClaimed, c.logFields())
		return c, nil
	case errors.Is(err, platform.ErrConflict):
		return nil, ErrAlreadyClaimed
	}
	s.log.EventWithError(eventTableFailed, err, c.logFields())
	return nil, errors.Wrap(ErrTableUnavailable, err.Error())
}

// confirm finds out whether the claim was stored, after the table's response to
// the write was lost. It returns nil if the claim was stored and
// platform.ErrConflict if not.
func (c *Claim) confirm(ctx context.Context) error {
	rec, revision, err := c.store.readRecord(ctx, c.call)
	if err != nil {
		return err
	}
	if rec == nil || rec.ClaimID != c.record.ClaimID {
		return platform.ErrConflict
	}
	c.revision = revision
	return nil
}

// RecordOutcome records the outcome of the claimed attempt. A large body is
// written to the object store first, with up to Config.MaxRecordTries tries. The
// row is written next, again with up to Config.MaxRecordTries tries.
// RecordOutcome stops when ctx ends. The error is ErrAlreadyClaimed if another
// submission has claimed the call since.
func (c *Claim) RecordOutcome(ctx context.Context, o Outcome) error {
	if len(o.Body) > c.store.config.MaxRowBodyBytes {
		stored, err := c.store.storeBody(ctx, o)
		if err != nil {
			c.store.log.EventWithError(eventNotRecorded, err, c.logFields())
			return err
		}
		o = stored
	}
	c.record.Outcome = &o
	return c.writeFinalState(ctx, stateDone)
}

// RecordNotRun records that the attempt has not run and never will.
func (c *Claim) RecordNotRun(ctx context.Context) error { return c.writeFinalState(ctx, stateNotRun) }

// RecordLost records that the attempt may have run and that the response was
// lost.
func (c *Claim) RecordLost(ctx context.Context) error { return c.writeFinalState(ctx, stateLost) }

// writeFinalState records s as the final state of the claimed attempt, with up to
// Config.MaxRecordTries tries.
func (c *Claim) writeFinalState(ctx context.Context, s state) error {
	c.record.State = s
	var err error
	for range c.store.config.MaxRecordTries {
		if err = c.tryWriteFinalState(ctx); err == nil {
			c.store.log.Event(eventRecorded, c.logFields())
			return nil
		}
		if errors.Is(err, ErrAlreadyClaimed) || c.store.sleep(ctx, c.store.config.PollInterval) != nil {
			break
		}
	}
	c.store.log.EventWithError(eventNotRecorded, err, c.logFields())
	return err
}

// tryWriteFinalState tries once to write the record. If the row has another
// revision than expected, or the table's response was lost, it reads the row. It
// then returns nil if the row holds this claim in the final state already, and
// ErrAlreadyClaimed if the row does not hold this claim. Otherwise it returns
// another error; the next try expects the revision that was read.
func (c *Claim) tryWriteFinalState(ctx context.Context) error {
	err := c.store.writeRecord(ctx, c.call, &c.record, c.revision)
	if !errors.Is(err, platform.ErrConflict) && !errors.Is(err, platform.ErrUnknownOutcome) {
		return err
	}
	rec, revision, err := c.store.readRecord(ctx, c.call)
	if err != nil {
		return err
	}
	if rec == nil || rec.ClaimID != c.record.ClaimID {
		return ErrAlreadyClaimed
	}
	if rec.State == c.record.State {
		return nil
	}
	c.revision = revision
	return errors.Errorf("the stored record is still in state %q", rec.State)
}

func (c *Claim) logFields() eventlog.Fields {
	return eventlog.Fields{
		"request":     c.call.RequestID,
		"row":         c.call.RowKey(),
		"attempt":     c.record.Attempt,
		"server":      c.record.Agent.ID,
		"incarnation": c.record.Incarnation,
		"state":       c.record.State,
	}
}

// Attempt returns the number of the claimed attempt.
func (c *Claim) Attempt() int { return c.record.Attempt }

// readRecord returns the record of the call and the revision of the row, or nil
// and 0 if there is no row.
func (s *RecordStore) readRecord(ctx context.Context, call Call) (*record, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, s.config.TableTimeout)
	defer cancel()
	row, err := s.table.Get(ctx, call.RowKey(), 0)
	if errors.Is(err, platform.ErrNotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, core.WrapStep("read once-only record", "table", err)
	}
	rec, err := decodeRecord(row.Value)
	return rec, row.Revision, err
}

// writeRecord writes the row of the call if the revision of the row is the given
// one. revision 0 means that there must be no row. If the row has another
// revision, the error is platform.ErrConflict.
func (s *RecordStore) writeRecord(ctx context.Context, call Call, r *record, revision uint64) error {
	value, err := r.encode()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, s.config.TableTimeout)
	defer cancel()
	err = s.table.Commit(ctx, []platform.Write{{
		Key: call.RowKey(), Value: value, If: platform.IfRevision(revision),
	}})
	return core.WrapStep("write once-only record", "table", err)
}

// storeBody stores the body of o in the object store and returns o with the
// name of the object in place of the body.
func (s *RecordStore) storeBody(ctx context.Context, o Outcome) (Outcome, error) {
	name := rowPrefix + string(core.DigestOf(o.Body))
	var err error
	for range s.config.MaxRecordTries {
		if err = s.objects.Put(ctx, name, o.Body); err == nil {
			o.Object = name
			o.Body = nil
			return o, nil
		}
		if s.sleep(ctx, s.config.PollInterval) != nil {
			break
		}
	}
	return o, core.WrapStep("store once-only body", "objects", err)
}

// sleep waits for d. If ctx ends first, it returns the error of ctx at once.
func (s *RecordStore) sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-s.clock.After(d):
		return nil
	}
}
