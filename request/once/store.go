// Package once records, in rows of the platform's table, the calls that carry an
// idempotency key and may run at most once. A row names the attempt that may run
// and the incarnation of the agent that may run it. Later it holds the outcome,
// which is the answer to every resubmission of the call.
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
	defaultAskAfter        = time.Second
	defaultRecordGrace     = 5 * time.Second
	defaultTTL             = 48 * time.Hour
	defaultMaxRowBodyBytes = 32 << 10
	defaultMaxRecordTries  = 20
	defaultSweepInterval   = 10 * time.Minute
)

// Errors of a Keeper.
var (
	// ErrKeyReused is returned when the key was used before for another request.
	ErrKeyReused = errors.New("the key was used before for another request")
	// ErrOutcomeUnknown is returned when an earlier attempt may have run and its outcome
	// cannot be determined.
	ErrOutcomeUnknown = errors.New("an earlier attempt may have run; its outcome is not known")
	// ErrTableUnavailable is returned when the record could not be read or written. The
	// attempt was not started.
	ErrTableUnavailable = errors.New("the record of once-only calls cannot be reached")
	// ErrAlreadyClaimed is returned when another submission claimed the call first.
	ErrAlreadyClaimed = errors.New("another submission claimed the call")
)

var (
	eventClaimed = eventlog.Define(520, "once-claimed", logrus.InfoLevel,
		"an attempt at a keyed once-only call was recorded before it was allowed to run")
	eventAsked = eventlog.Define(521, "once-asked", logrus.InfoLevel,
		"an agent was asked whether it ran an earlier attempt, and was forbidden to run it from now on")
	eventRecorded = eventlog.Define(522, "once-recorded", logrus.InfoLevel,
		"the outcome of a keyed once-only call was recorded")
	eventReplayed = eventlog.Define(523, "once-replayed", logrus.InfoLevel,
		"a resubmission was answered with the recorded outcome")
	eventNotRecorded = eventlog.Define(524, "once-not-recorded", logrus.ErrorLevel,
		"the outcome of a keyed once-only call could not be recorded; resubmissions will be told that the outcome is unknown")
	eventSwept = eventlog.Define(525, "once-swept", logrus.InfoLevel,
		"expired records of once-only calls were removed")
	eventAdopted = eventlog.Define(527, "once-adopted", logrus.InfoLevel,
		"a resubmission recorded the outcome that the agent had kept, because the entry instance that claimed the attempt had not recorded it")
	eventTableFailed = eventlog.Define(526, "once-table-failed", logrus.WarnLevel,
		"the record of a keyed once-only call could not be read or written")
)

// Config holds the settings of a Keeper.
type Config struct {
	// Entry is the id of the entry instance.
	Entry string
	// TableTimeout bounds one operation on the table; default 2 s.
	TableTimeout time.Duration
	// PollInterval is the interval at which the record of a running call is read; default
	// 200 ms.
	PollInterval time.Duration
	// AskAfter is the time for which a resubmission must have found the call running
	// before it asks the agent about the call; default 1 s.
	AskAfter time.Duration
	// RecordGrace is the time allowed for recording an outcome after its attempt
	// has ended; default 5 s.
	RecordGrace time.Duration
	// TTL is the time for which records are kept. A resubmission after that time
	// runs again. Default 48 h.
	TTL time.Duration
	// MaxRowBodyBytes is the size of the largest body that is stored in a row. Larger
	// bodies are stored in the object store. Default 32 KiB.
	MaxRowBodyBytes int
	// MaxRecordTries is the maximum number of tries to record one outcome; default 20.
	MaxRecordTries int
	// SweepInterval is the mean interval between removals of expired records; default
	// 10 min.
	SweepInterval time.Duration
}

func (c *Config) applyDefaults() {
	core.SetDefault(&c.TableTimeout, defaultTableTimeout)
	core.SetDefault(&c.PollInterval, defaultPollInterval)
	core.SetDefault(&c.AskAfter, defaultAskAfter)
	core.SetDefault(&c.RecordGrace, defaultRecordGrace)
	core.SetDefault(&c.TTL, defaultTTL)
	core.SetDefault(&c.MaxRowBodyBytes, defaultMaxRowBodyBytes)
	core.SetDefault(&c.MaxRecordTries, defaultMaxRecordTries)
	core.SetDefault(&c.SweepInterval, defaultSweepInterval)
}

// RecordStore reads and writes the records. It is safe for concurrent use.
type RecordStore struct {
	config  Config
	table   platform.Table
	objects platform.ObjectStore
	log     *eventlog.Logger
	clock   clockwork.Clock
}

// New returns a Keeper that uses the platform's table and object store.
func New(c Config, table platform.Table, objects platform.ObjectStore, log *eventlog.Logger, clock clockwork.Clock) *RecordStore {
	c.applyDefaults()
	return &RecordStore{config: c, table: table, objects: objects, log: log, clock: clock}
}

// NextAttempt is an attempt that a submission may try to claim.
type NextAttempt struct {
	// Attempt is the number of the attempt, from 1.
	Attempt int
	// revision is the revision of the row when it was read; 0 if there was no row.
	revision uint64
}

// Claim is the recorded right to run one attempt.
type Claim struct {
	keeper   *RecordStore
	call     Call
	record   record
	revision uint64
}

// Claim records that the agent's incarnation may run the attempt. It returns
// ErrTaken if another submission claimed the call first, and ErrTable if it is
// not certain that the claim was recorded. After either error the attempt must
// not be run.
func (k *RecordStore) Claim(ctx context.Context, call Call, next NextAttempt, agent core.Instance, incarnation string) (*Claim, error) {
	c := &Claim{keeper: k, call: call, revision: next.revision + 1, record: record{
		Request:     call.RequestDigest,
		State:       stateRunning,
		Claim:       uuid.NewString(),
		Attempt:     next.Attempt,
		Entry:       k.config.Entry,
		Agent:       agent,
		Incarnation: incarnation,
		Expires:     k.clock.Now().Add(k.config.TTL).UTC(),
	}}
	err := k.writeRecord(ctx, call, &c.record, next.revision)
	if errors.Is(err, platform.ErrUnknownOutcome) {
		err = c.confirm(ctx)
	}
	switch {
	case err == nil:
		k.log.Event(eventClaimed, c.logFields())
		return c, nil
	case errors.Is(err, platform.ErrConflict):
		return nil, ErrAlreadyClaimed
	}
	k.log.EventWithError(eventTableFailed, err, c.logFields())
	return nil, errors.Wrap(ErrTableUnavailable, err.Error())
}

// confirm reads the record to find out whether a claim was stored although the
// table's reply was lost.
func (c *Claim) confirm(ctx context.Context) error {
	rec, revision, err := c.keeper.readRecord(ctx, c.call)
	if err != nil {
		return err
	}
	if rec == nil || rec.Claim != c.record.Claim {
		return platform.ErrConflict
	}
	c.revision = revision
	return nil
}

// RecordOutcome records the outcome. It retries while the table is unavailable, up to
// Config.RecordTries times or until ctx ends.
func (c *Claim) RecordOutcome(ctx context.Context, o Outcome) error {
	if len(o.Body) > c.keeper.config.MaxRowBodyBytes {
		stored, err := c.keeper.storeBody(ctx, o)
		if err != nil {
			c.keeper.log.EventWithError(eventNotRecorded, err, c.logFields())
			return err
		}
		o = stored
	}
	c.record.Outcome = &o
	return c.writeFinalState(ctx, stateDone)
}

// RecordNotRun records that the attempt did not run and never will.
func (c *Claim) RecordNotRun(ctx context.Context) error { return c.writeFinalState(ctx, stateNotRun) }

// RecordLost records that the attempt may have run and that its answer was lost.
func (c *Claim) RecordLost(ctx context.Context) error { return c.writeFinalState(ctx, stateLost) }

// writeFinalState records the final state of the claimed attempt.
func (c *Claim) writeFinalState(ctx context.Context, s state) error {
	c.record.State = s
	var err error
	for range c.keeper.config.MaxRecordTries {
		if err = c.tryWriteFinalState(ctx); err == nil {
			c.keeper.log.Event(eventRecorded, c.logFields())
			return nil
		}
		if errors.Is(err, ErrAlreadyClaimed) || c.keeper.sleep(ctx, c.keeper.config.PollInterval) != nil {
			break
		}
	}
	c.keeper.log.EventWithError(eventNotRecorded, err, c.logFields())
	return err
}

func (c *Claim) tryWriteFinalState(ctx context.Context) error {
	err := c.keeper.writeRecord(ctx, c.call, &c.record, c.revision)
	if !errors.Is(err, platform.ErrConflict) && !errors.Is(err, platform.ErrUnknownOutcome) {
		return err
	}
	rec, revision, err := c.keeper.readRecord(ctx, c.call)
	if err != nil {
		return err
	}
	if rec == nil || rec.Claim != c.record.Claim {
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

// readRecord returns the record of the call and its revision, or nil and 0 if
// there is none.
func (k *RecordStore) readRecord(ctx context.Context, call Call) (*record, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, k.config.TableTimeout)
	defer cancel()
	row, err := k.table.Get(ctx, call.RowKey(), 0)
	if errors.Is(err, platform.ErrNotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, core.WrapStep("read once-only record", "table", err)
	}
	rec, err := decodeRecord(row.Value)
	return rec, row.Revision, err
}

// writeRecord replaces the row of the call if its revision is still the given
// one.
func (k *RecordStore) writeRecord(ctx context.Context, call Call, r *record, revision uint64) error {
	value, err := r.encode()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, k.config.TableTimeout)
	defer cancel()
	err = k.table.Commit(ctx, []platform.Write{{
		Key: call.RowKey(), Value: value, If: platform.IfRevision(revision),
	}})
	return core.WrapStep("write once-only record", "table", err)
}

// storeBody moves the body of o to the object store.
func (k *RecordStore) storeBody(ctx context.Context, o Outcome) (Outcome, error) {
	name := rowPrefix + string(core.DigestOf(o.Body))
	var err error
	for range k.config.MaxRecordTries {
		if err = k.objects.Put(ctx, name, o.Body); err == nil {
			o.Object = name
			o.Body = nil
			return o, nil
		}
		if k.sleep(ctx, k.config.PollInterval) != nil {
			break
		}
	}
	return o, core.WrapStep("store once-only body", "objects", err)
}

// sleep waits for d or until ctx ends.
func (k *RecordStore) sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-k.clock.After(d):
		return nil
	}
}
