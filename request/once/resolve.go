package once

import (
	"context"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/process/eventlog"
)

// Asker asks the agent whether it ran an attempt at the call that key identifies,
// and forbids the agent to run that attempt from now on.
type Asker func(ctx context.Context, agent core.Instance, key string, attempt int) (frame.AttemptStatus, error)

// waitState is the state of a resubmission that waits for the outcome of an
// attempt.
type waitState struct {
	// attempt is the number of the attempt that the times below belong to.
	attempt int
	// firstSeen is when this resubmission first found the attempt running.
	firstSeen time.Time
	// unconfirmedSince is the time from which the agent no longer confirmed that the
	// attempt is running; zero before.
	unconfirmedSince time.Time
}

// Resolve determines the outcome of a submission. It returns the recorded outcome,
// or a Turn if no earlier attempt ran or can still run, or ErrMismatch, ErrTable
// (the first read failed) or ErrUnknown. While an earlier attempt is running, it
// waits for its outcome until ctx ends.
func (k *RecordStore) Resolve(ctx context.Context, call Call, ask Asker) (*Outcome, NextAttempt, error) {
	w := waitState{}
	for polls := 0; ; polls++ {
		rec, revision, err := k.readRecord(ctx, call)
		if err != nil && polls == 0 {
			k.log.EventWithError(eventTableFailed, err, eventlog.Fields{"request": call.RequestID, "row": call.RowKey()})
			return nil, NextAttempt{}, errors.Wrap(ErrTableUnavailable, err.Error())
		}
		if err == nil {
			done, outcome, next, err := k.decide(ctx, call, rec, revision, &w, ask)
			if done {
				next.revision = revision
				return outcome, next, err
			}
		}
		if k.sleep(ctx, k.config.PollInterval) != nil {
			return nil, NextAttempt{}, ErrOutcomeUnknown
		}
	}
}

// ChangedSince reports whether another submission has changed the record since Settle
// returned next, so that "not run" may no longer be true. claim is the claim made
// with next, or nil. If the record cannot be read, ChangedSince returns false, because
// no attempt had run when Settle returned next.
func (k *RecordStore) ChangedSince(ctx context.Context, call Call, next NextAttempt, claim *Claim) bool {
	rec, revision, err := k.readRecord(ctx, call)
	if err != nil || revision == next.revision || rec == nil {
		return false
	}
	return claim == nil || rec.Claim != claim.record.Claim
}

// decide determines the result of Settle from one read of the record. done is
// false if the record must be read again.
func (k *RecordStore) decide(ctx context.Context, call Call, rec *record, revision uint64, w *waitState, ask Asker) (done bool, o *Outcome, next NextAttempt, err error) {
	if rec == nil {
		return true, nil, NextAttempt{Attempt: 1}, nil
	}
	if rec.Request != call.RequestDigest {
		return true, nil, NextAttempt{}, ErrKeyReused
	}
	switch rec.State {
	case stateDone:
		o, err := k.replayOutcome(ctx, call, rec)
		return true, o, NextAttempt{}, err
	case stateNotRun:
		return true, nil, NextAttempt{Attempt: rec.Attempt + 1}, nil
	}
	result := k.probeAgent(ctx, call, rec, w, ask)
	switch {
	case result.neverRuns:
		return true, nil, NextAttempt{Attempt: rec.Attempt + 1}, nil
	case result.outcomeUnknown:
		return true, nil, NextAttempt{}, ErrOutcomeUnknown
	case result.outcome != nil && k.recordAgentOutcome(ctx, call, *rec, revision, *result.outcome) == nil:
		return true, result.outcome, NextAttempt{}, nil
	}
	return false, nil, NextAttempt{}, nil
}

// probeResult is the result of asking an agent about an attempt without a
// recorded outcome.
type probeResult struct {
	// neverRuns is true if the attempt did not run and never will.
	neverRuns bool
	// outcomeUnknown is true if waiting longer cannot yield the outcome.
	outcomeUnknown bool
	// outcome is the outcome that the agent has kept; nil if there is none.
	outcome *Outcome
}

// probeAgent asks the agent about an attempt without a recorded outcome. A zero
// result means that the resubmission must keep waiting.
func (k *RecordStore) probeAgent(ctx context.Context, call Call, rec *record, w *waitState, ask Asker) probeResult {
	now := k.clock.Now()
	if w.attempt != rec.Attempt {
		*w = waitState{attempt: rec.Attempt, firstSeen: now}
	}
	lost := rec.State == stateLost
	if !lost && now.Sub(w.firstSeen) < k.config.AskAfter {
		return probeResult{}
	}
	answer, err := ask(ctx, rec.Agent, call.RowKey(), rec.Attempt)
	k.log.Event(eventAsked, eventlog.Fields{
		"request": call.RequestID, "row": call.RowKey(), "attempt": rec.Attempt, "server": rec.Agent.ID,
		"incarnation": rec.Incarnation, "answered": answer.Incarnation, "ran": answer.State, "error": errorText(err),
	})
	sameIncarnation := err == nil && answer.Incarnation == rec.Incarnation
	if sameIncarnation && answer.State == frame.AttemptNotRun {
		return probeResult{neverRuns: true}
	}
	if sameIncarnation && answer.State == frame.AttemptRunning {
		w.unconfirmedSince = time.Time{}
		return probeResult{}
	}
	if w.unconfirmedSince.IsZero() {
		w.unconfirmedSince = now
	}
	if kept := answer.Outcome; sameIncarnation && kept != nil {
		return probeResult{outcome: &Outcome{Status: kept.Status, Header: kept.Header, Body: kept.Body}}
	}
	return probeResult{outcomeUnknown: lost && err == nil || now.Sub(w.unconfirmedSince) >= k.config.RecordGrace}
}

// recordAgentOutcome records the outcome that the agent has kept, in place of the
// entry instance that claimed the attempt and has not recorded it.
func (k *RecordStore) recordAgentOutcome(ctx context.Context, call Call, rec record, revision uint64, o Outcome) error {
	if len(o.Body) > k.config.MaxRowBodyBytes {
		stored, err := k.storeBody(ctx, o)
		if err != nil {
			return err
		}
		o = stored
	}
	rec.State = stateDone
	rec.Outcome = &o
	if err := k.writeRecord(ctx, call, &rec, revision); err != nil {
		return err
	}
	k.log.Event(eventAdopted, eventlog.Fields{
		"request": call.RequestID, "row": call.RowKey(), "attempt": rec.Attempt, "server": rec.Agent.ID,
	})
	return nil
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// replayOutcome returns the recorded outcome with its body.
func (k *RecordStore) replayOutcome(ctx context.Context, call Call, rec *record) (*Outcome, error) {
	o := *rec.Outcome
	if o.Object != "" {
		body, err := k.objects.Get(ctx, o.Object, 0, -1)
		if err != nil {
			return nil, errors.Wrap(ErrOutcomeUnknown, core.WrapStep("read once-only body", "objects", err).Error())
		}
		if !core.Digest(strings.TrimPrefix(o.Object, rowPrefix)).Matches(body) {
			return nil, errors.Wrap(ErrOutcomeUnknown, "the recorded body does not match its digest")
		}
		o.Body = body
	}
	k.log.Event(eventReplayed, eventlog.Fields{
		"request": call.RequestID, "row": call.RowKey(), "attempt": rec.Attempt, "status": o.Status,
	})
	return &o, nil
}
