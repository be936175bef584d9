// Package history records the executions and answers of once-only calls as JSON
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

// Kind is the kind of event that a Line records.
type Kind string

// Kinds of lines.
const (
	// KindExecution means that a backend server executed a call.
	KindExecution Kind = "run"
	// KindAnswer means that a submission of a call received an answer, or that
	// its connection broke.
	KindAnswer Kind = "answer"
)

// Record is one line of a history: an execution or an answer.
type Record struct {
	// Timestamp is the time of the event, in nanoseconds since the start of the
	// history.
	Timestamp int64 `json:"at"`
	// SentAt is the time at which the submission was sent, in nanoseconds since
	// the start of the history. It is set for answers.
	SentAt int64 `json:"sent,omitempty"`
	// Kind determines which of the fields below are set.
	Kind Kind `json:"kind"`
	// CallID identifies the call; all submissions with the same idempotency key
	// belong to one call.
	CallID string `json:"call"`
	// SubmissionID is the request id of the submission.
	SubmissionID string `json:"submission,omitempty"`
	// Entry is the name of the entry instance that received the submission.
	Entry string `json:"entry,omitempty"`
	// Server and Incarnation identify the agent that ran the call.
	Server      string `json:"server,omitempty"`
	Incarnation string `json:"incarnation,omitempty"`
	// Status is the HTTP status of the answer, or 0 if the connection broke.
	Status int `json:"status,omitempty"`
	// Outcome is the outcome that a refusal reports; empty for other answers.
	Outcome core.Refusal `json:"outcome,omitempty"`
	// BodyDigest is the digest of the body of the answer, or of the result of the
	// execution.
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

// Add sets the time of l to the current time and writes l. Err returns a
// failure to write.
func (w *Writer) Add(l Record) {
	w.mu.Lock()
	defer w.mu.Unlock()
	l.Timestamp = w.Elapsed()
	if err := w.out.Encode(l); err != nil && w.err == nil {
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
	// Calls, Runs and Answers are the numbers of calls, of their executions and
	// of their submissions.
	Calls       int `json:"calls"`
	Executions  int `json:"runs"`
	Submissions int `json:"answers"`
	// Whole, NotRun, Unknown and Broken count submissions by their answer: a
	// whole answer, a "not-run" refusal, any other refusal, or a broken
	// connection.
	Whole   int `json:"whole"`
	NotRun  int `json:"notRun"`
	Unknown int `json:"unknown"`
	Broken  int `json:"broken"`
	// Violations describes every violation of a rule.
	Violations []string `json:"violations"`
}

// callHistory holds the lines of one call.
type callHistory struct {
	runs    []Record
	answers []Record
}

// Check reads a history and checks three rules: each call ran at most once;
// every whole answer to a call has the bytes that its execution returned; and a
// "not-run" answer is true, which means that the submission itself did not run
// and that no other submission of the call had run when it was sent. Another
// submission in flight at the same time may still run after that answer.
func Check(r io.Reader) (Result, error) {
	calls := map[string]*callHistory{}
	result := Result{Violations: []string{}}
	scanner := bufio.NewScanner(r)
	for lineNumber := 1; scanner.Scan(); lineNumber++ {
		var l Record
		if err := json.Unmarshal(scanner.Bytes(), &l); err != nil {
			return result, errors.Wrapf(err, "line %d", lineNumber)
		}
		h := calls[l.CallID]
		if h == nil {
			h = &callHistory{}
			calls[l.CallID] = h
		}
		h.add(l, &result)
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

// add stores a line of the call and counts it in result.
func (h *callHistory) add(l Record, result *Result) {
	if l.Kind == KindExecution {
		h.runs = append(h.runs, l)
		result.Executions++
		return
	}
	h.answers = append(h.answers, l)
	result.Submissions++
	switch {
	case l.Status == 0:
		result.Broken++
	case l.Outcome == core.RefusalNotRun:
		result.NotRun++
	case l.Outcome != "":
		result.Unknown++
	default:
		result.Whole++
	}
}

// findViolations returns a description of every rule that the call violates.
func (h *callHistory) findViolations() []string {
	var violations []string
	if len(h.runs) > 1 {
		violations = append(violations, fmt.Sprintf("ran %d times", len(h.runs)))
	}
	for _, answer := range h.answers {
		switch {
		case answer.Status == 0 || (answer.Outcome != "" && answer.Outcome != core.RefusalNotRun):
		case answer.Outcome == core.RefusalNotRun:
			if len(h.runs) > 0 && (h.runs[0].Timestamp < answer.SentAt || h.runs[0].SubmissionID == answer.SubmissionID) {
				violations = append(violations, "submission "+answer.SubmissionID+" was answered not-run although the call had run")
			}
		case len(h.runs) == 0:
			violations = append(violations, "submission "+answer.SubmissionID+" was answered without an execution")
		case answer.BodyDigest != h.runs[0].BodyDigest:
			violations = append(violations, "submission "+answer.SubmissionID+" was answered with other bytes than the execution returned")
		}
	}
	return violations
}
