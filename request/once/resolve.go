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

// AttemptQueryFunc queries an agent for the status of an attempt. key is the row
// key of the call, which identifies the call. If the agent has not started the
// attempt when it receives the query, it never starts the attempt.
type AttemptQueryFunc func(ctx context.Context, agent core.Instance, key string, attempt int) (frame.AttemptStatus, error)

// waitState is the state of a resubmission, which waits for the outcome of an
// earlier attempt.
type waitState struct {
	// attempt is the number of the attempt to which the times below belong.
	attempt int
	// firstSeen is when this resubmission first found the attempt running.
	firstSeen time.Time
	// unconfirmedSince is the time of the first query by which the agent did not
	// confirm that the attempt is running. It is zero before such a query, and again
	// once the agent has confirmed it.
	unconfirmedSince time.Time
}

// Resolve determines what to do with a submission. If an outcome is recorded,
// Resolve returns this outcome. If no earlier attempt has run or can still run,
// it returns a NextAttempt to claim. While an earlier attempt is running, Resolve
// waits for the outcome of that attempt. The error is ErrKeyReused,
// ErrOutcomeUnknown or ErrTableUnavailable. ErrTableUnavailable means that the
// first read of the record failed. If ctx ends during the wait, the error is
// ErrOutcomeUnknown.
func (s *RecordStore) Resolve(ctx context.Context, call Call, query AttemptQueryFunc) (*Outcome, NextAttempt, error) {
	w := waitState{}
	for pollCount := 0; ; pollCount++ {
		rec, revision, err := s.readRecord(ctx, call)
		if err != nil && pollCount == 0 {
			s.log.EventWithError(eventTableFailed, err, eventlog.Fields{"request": call.RequestID, "row": call.RowKey()})
			return nil, NextAttempt{}, errors.Wrap(ErrTableUnavailable, err.Error())
		}
		if err == nil {
			done, outcome, next, err := s.decide(ctx, call, rec, revision, &w, query)
			if done {
				next.revision = revision
				return outcome, next, err
			}
		}
		if s.sleep(ctx, s.config.PollInterval) != nil {
			return nil, NextAttempt{}, ErrOutcomeUnknown
		}
	}
}

// ChangedSince reports whether another submission has changed the record since
// Resolve returned next, so that an attempt may have run since then. claim is the
// claim made with next, or nil if there is none. If the record cannot be read,
// ChangedSince returns false, because no attempt had run when Resolve returned
// next.
func (s *RecordStore) ChangedSince(ctx context.Context, call Call, next NextAttempt, claim *Claim) bool {
	rec, revision, err := s.readRecord(ctx, call)
	if err != nil || revision == next.revision || rec == nil {
		return false
	}
	return claim == nil || rec.ClaimID != claim.record.ClaimID
}

// decide determines the results of Resolve from one read of the record. rec is
// nil if there is no record. If done is false, there are no results yet, and the
// caller must read the record again.
func (s *RecordStore) decide(ctx context.Context, call Call, rec *record, revision uint64, w *waitState, query AttemptQueryFunc) (done bool, o *Outcome, next NextAttempt, err error) {
	if rec == nil {
		return true, nil, NextAttempt{Attempt: 1}, nil
	}
	if rec.RequestDigest != call.RequestDigest {
		return true, nil, NextAttempt{}, ErrKeyReused
	}
	switch rec.State {
	case stateDone:
		o, err := s.replayOutcome(ctx, call, rec)
		return true, o, NextAttempt{}, err
	case stateNotRun:
		return true, nil, NextAttempt{Attempt: rec.Attempt + 1}, nil
	}
	result := s.probeAgent(ctx, call, rec, w, query)
	switch {
	case result.neverRuns:
		return true, nil, NextAttempt{Attempt: rec.Attempt + 1}, nil
	case result.outcomeUnknown:
		return true, nil, NextAttempt{}, ErrOutcomeUnknown
	case result.outcome != nil && s.recordAgentOutcome(ctx, call, *rec, revision, *result.outcome) == nil:
		return true, result.outcome, NextAttempt{}, nil
	}
	return false, nil, NextAttempt{}, nil
}

// probeResult is the result of querying an agent about an attempt without a
// recorded outcome.
type probeResult struct {
	// neverRuns is true if the attempt has not run and never will.
	neverRuns bool
	// outcomeUnknown is true if the outcome must be given up as unknown.
	outcomeUnknown bool
	// outcome is the outcome that the agent has kept; nil if the agent has kept
	// none.
	outcome *Outcome
}

// probeAgent queries the agent about an attempt without a recorded outcome. If
// the attempt is lost, it does so at once, otherwise only after the attempt has
// been found running for QueryAfter. A zero result means that the resubmission
// must keep waiting. The agent's status is used only if it comes from the
// incarnation that may run the attempt, because another incarnation has no record
// of that attempt. If the agent has not kept the outcome, the outcome is given up
// as unknown after RecordGrace without confirmation that the attempt is running.
// For a lost attempt, it is given up as soon as the agent has responded without
// this confirmation.
func (s *RecordStore) probeAgent(ctx context.Context, call Call, rec *record, w *waitState, query AttemptQueryFunc) probeResult {
	now := s.clock.Now()
	if w.attempt != rec.Attempt {
		*w = waitState{attempt: rec.Attempt, firstSeen: now}
	}
	lost := rec.State == stateLost
	if !lost && now.Sub(w.firstSeen) < s.config.QueryAfter {
		return probeResult{}
	}
	status, err := query(ctx, rec.Agent, call.RowKey(), rec.Attempt)
	s.log.Event(eventAgentQueried, eventlog.Fields{
		"request": call.RequestID, "row": call.RowKey(), "attempt": rec.Attempt, "server": rec.Agent.ID,
		"incarnation": rec.Incarnation, "answered": status.Incarnation, "ran": status.State, "error": errorText(err),
	})
	sameIncarnation := err == nil && status.Incarnation == rec.Incarnation
	if sameIncarnation && status.State == frame.AttemptNotRun {
		return probeResult{neverRuns: true}
	}
	if sameIncarnation && status.State == frame.AttemptRunning {
		w.unconfirmedSince = time.Time{}
		return probeResult{}
	}
	if w.unconfirmedSince.IsZero() {
		w.unconfirmedSince = now
	}
	if kept := status.Outcome; sameIncarnation && kept != nil {
		return probeResult{outcome: &Outcome{Status: kept.Status, Header: kept.Header, Body: kept.Body}}
	}
	return probeResult{outcomeUnknown: lost && err == nil || now.Sub(w.unconfirmedSince) >= s.config.RecordGrace}
}

// recordAgentOutcome records o, the outcome that the agent has kept, because the
// entry instance that claimed the attempt has not recorded any. It tries only
// once to write the row; after an error the caller reads the record again.
func (s *RecordStore) recordAgentOutcome(ctx context.Context, call Call, rec record, revision uint64, o Outcome) error {
	if len(o.Body) > s.config.MaxRowBodyBytes {
		stored, err := s.storeBody(ctx, o)
		if err != nil {
			return err
		}
		o = stored
	}
	rec.State = stateDone
	rec.Outcome = &o
	if err := s.writeRecord(ctx, call, &rec, revision); err != nil {
		return err
	}
	s.log.Event(eventAgentOutcomeRecorded, eventlog.Fields{
		"request": call.RequestID, "row": call.RowKey(), "attempt": rec.Attempt, "server": rec.Agent.ID,
	})
	return nil
}

// errorText returns the text of err for a log field, or "" if err is nil.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// replayOutcome returns the recorded outcome with the body. If the body is in an
// object, it reads the body from the object store. The error is ErrOutcomeUnknown
// if the body cannot be read or does not match the digest in the object's name.
func (s *RecordStore) replayOutcome(ctx context.Context, call Call, rec *record) (*Outcome, error) {
	o := *rec.Outcome
	if o.Object != "" {
		body, err := s.objects.Get(ctx, o.Object, 0, -1)
		if err != nil {
			return nil, errors.Wrap(ErrOutcomeUnknown, core.WrapStep("read once-only body", "objects", err).Error())
		}
		if !core.Digest(strings.TrimPrefix(o.Object, rowPrefix)).Matches(body) {
			return nil, errors.Wrap(ErrOutcomeUnknown, "the recorded body does not match its digest")
		}
		o.Body = body
	}
	s.log.Event(eventReplayed, eventlog.Fields{
		"request": call.RequestID, "row": call.RowKey(), "attempt": rec.Attempt, "status": o.Status,
	})
	return &o, nil
}
