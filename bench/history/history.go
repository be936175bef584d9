// Package history records the executions and responses of once-only calls as JSON
// lines, and checks a recorded history offline.
//
// Each rule concerns a single call: it counts executions or compares bytes, and
// needs no search for a valid order of concurrent operations. The checker is
// therefore a single pass over the lines and not a linearizability checker such
// as porcupine, whose cost grows with the number of overlapping operations.
// Each violation names its call.
package history

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/rattanway/rattanway/core"
)

// Kind is the kind of event that a Record describes.
type Kind string

// Kinds of records.
const (
	// KindExecution means that a backend server executed a call.
	KindExecution Kind = "run"
	// KindResponse means that a submission of a call received a response, or that
	// its connection broke.
	KindResponse Kind = "answer"
)

// Record is one line of a history: an execution or a response.
type Record struct {
	// Timestamp is the time of the event, in nanoseconds since the start of the
	// history.
	Timestamp int64 `json:"at"`
	// SentAt is the time at which the submission was sent, in nanoseconds since
	// the start of the history. It is set for responses.
	SentAt int64 `json:"sent,omitempty"`
	// Kind determines which of the fields below are set.
	Kind Kind `json:"kind"`
	// CallID identifies the call; all submissions with the same idempotency key
	// belong to one call.
	CallID string `json:"call"`
	// SubmissionID is the request id of the submission.
	SubmissionID string `json:"submission,omitempty"`
	// EntryID identifies the entry instance that received the submission.
	EntryID string `json:"entry,omitempty"`
	// AgentID is the ID of the agent that ran the call.
	AgentID string `json:"server,omitempty"`
	// Incarnation identifies the run of that agent's process.
	Incarnation string `json:"incarnation,omitempty"`
	// Status is the HTTP status of the response, or 0 if the connection broke.
	Status int `json:"status,omitempty"`
	// Outcome is the outcome of the call that a refusal states. It is empty for
	// other responses.
	Outcome core.FailureOutcome `json:"outcome,omitempty"`
	// BodyDigest is the digest of the body of the response, or of the result of
	// the execution.
	BodyDigest core.Digest `json:"body,omitempty"`
}

// Writer writes a history to an io.Writer. It is safe for concurrent use.
type Writer struct {
	mu    sync.Mutex
	out   *json.Encoder
	start time.Time
	err   error
}

// NewWriter returns a Writer that writes to w. The history starts now.
func NewWriter(w io.Writer) *Writer {
	return &Writer{out: json.NewEncoder(w), start: time.Now()}
}

// Elapsed returns the time in nanoseconds since the start of the history.
func (w *Writer) Elapsed() int64 { return time.Since(w.start).Nanoseconds() }

// Add sets the timestamp of r to the current time and writes r. If that fails, Err
// returns the error.
func (w *Writer) Add(r Record) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r.Timestamp = w.Elapsed()
	if err := w.out.Encode(r); err != nil && w.err == nil {
		w.err = err
	}
}

// Err returns the first error that occurred while writing, or nil.
func (w *Writer) Err() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.err
}

// Result holds the counts and violations of a checked history.
type Result struct {
	// Calls, Executions and Submissions are the numbers of calls, of executions and
	// of submissions in the history.
	Calls       int `json:"calls"`
	Executions  int `json:"runs"`
	Submissions int `json:"answers"`
	// Whole is the number of submissions that got a complete response.
	Whole int `json:"whole"`
	// NotRun is the number of submissions that were refused as "not-run".
	NotRun int `json:"notRun"`
	// OtherRefusals is the number of submissions that were refused with another outcome
	// than "not-run".
	OtherRefusals int `json:"unknown"`
	// Broken is the number of submissions whose connection broke.
	Broken int `json:"broken"`
	// Violations describes every violation of a rule.
	Violations []string `json:"violations"`
}

// callHistory holds the records of one call.
type callHistory struct {
	executions []Record
	responses  []Record
}

// Check reads a history and checks three rules. Each call ran at most once. Every
// complete response to a call has the bytes that the execution of the call
// returned. If a submission was refused as "not-run", that submission did not run,
// and no other submission of the call had run before the refused one was sent. A
// submission that is in flight at the same time as the refused one may still run.
func Check(in io.Reader) (Result, error) {
	calls := map[string]*callHistory{}
	result := Result{Violations: []string{}}
	scanner := bufio.NewScanner(in)
	for lineNumber := 1; scanner.Scan(); lineNumber++ {
		var r Record
		if err := json.Unmarshal(scanner.Bytes(), &r); err != nil {
			return result, errors.Wrapf(err, "line %d", lineNumber)
		}
		h := calls[r.CallID]
		if h == nil {
			h = &callHistory{}
			calls[r.CallID] = h
		}
		h.add(r, &result)
	}
	if err := scanner.Err(); err != nil {
		return result, errors.Wrap(err, "read history")
	}
	result.Calls = len(calls)
	for id, h := range calls {
		for _, violation := range h.findViolations() {
			result.Violations = append(result.Violations, id+": "+violation)
		}
	}
	sort.Strings(result.Violations)
	return result, nil
}

// add stores a record of the call and counts it in result.
func (h *callHistory) add(r Record, result *Result) {
	if r.Kind == KindExecution {
		h.executions = append(h.executions, r)
		result.Executions++
		return
	}
	h.responses = append(h.responses, r)
	result.Submissions++
	switch {
	case r.Status == 0:
		result.Broken++
	case r.Outcome == core.OutcomeNotRun:
		result.NotRun++
	case r.Outcome != "":
		result.OtherRefusals++
	default:
		result.Whole++
	}
}

// findViolations returns a description of every rule that the call violates.
func (h *callHistory) findViolations() []string {
	var violations []string
	if len(h.executions) > 1 {
		violations = append(violations, fmt.Sprintf("ran %d times", len(h.executions)))
	}
	for _, response := range h.responses {
		switch {
		case response.Status == 0 || (response.Outcome != "" && response.Outcome != core.OutcomeNotRun):
		case response.Outcome == core.OutcomeNotRun:
			if len(h.executions) > 0 && (h.executions[0].Timestamp < response.SentAt || h.executions[0].SubmissionID == response.SubmissionID) {
				violations = append(violations, "submission "+response.SubmissionID+" was refused as not-run although the call had run")
			}
		case len(h.executions) == 0:
			violations = append(violations, "submission "+response.SubmissionID+" got a whole response without an execution")
		case response.BodyDigest != h.executions[0].BodyDigest:
			violations = append(violations, "submission "+response.SubmissionID+" got other bytes than the execution returned")
		}
	}
	return violations
}
