package once

import (
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"github.com/rattanway/rattanway/core"
)

// rowPrefix is the prefix of the keys of all rows that a Keeper writes.
const rowPrefix = "once/"

// Call describes one submission of a call with an idempotency key.
type Call struct {
	// RequestID is the id of this submission, for log lines.
	RequestID string
	// Account is the name of the client account.
	Account string
	// Service is the name of the plain service.
	Service string
	// Key is the value of the caller's Idempotency-Key header.
	Key string
	// RequestDigest is the digest of method, path and body. A resubmission must have the
	// same digest.
	RequestDigest core.Digest
}

// RowKey returns the key of the call's row. The same text identifies the call in
// messages to agents.
func (c Call) RowKey() string {
	return rowPrefix + c.Account + "/" + c.Service + "/" + string(core.DigestOf([]byte(c.Key)))
}

// RequestDigest returns the digest of a request for Call.Request.
func RequestDigest(method, path string, body []byte) core.Digest {
	all := append([]byte(method+"\n"+path+"\n"), body...)
	return core.DigestOf(all)
}

// Outcome is a complete answer to a call.
type Outcome struct {
	// Status is the HTTP status code.
	Status int `json:"status"`
	// Header holds the HTTP header fields of the answer.
	Header map[string][]string `json:"header,omitempty"`
	// Body is the body of the answer; empty in a row that refers to an object.
	Body []byte `json:"body,omitempty"`
	// Object is the name of the object that holds a body too large for the row.
	Object string `json:"object,omitempty"`
}

// state is the state of a recorded attempt.
type state string

const (
	// stateRunning means that the attempt was claimed and may be running.
	stateRunning state = "running"
	// stateDone means that the outcome is recorded.
	stateDone state = "done"
	// stateLost means that the entry instance that claimed the attempt gave up
	// waiting for the answer.
	stateLost state = "lost"
	// stateNotRun means that the attempt never ran and never will.
	stateNotRun state = "not-run"
)

// record is the content of a row.
type record struct {
	// Request is Call.Request of the first submission.
	Request core.Digest `json:"request"`
	State   state       `json:"state"`
	// Claim is a unique id of the claim. A reader compares it to find out whether a
	// claim was stored although the table's reply was lost.
	Claim   string `json:"claim"`
	Attempt int    `json:"attempt"`
	// Entry is the id of the entry instance that claimed the attempt.
	Entry string `json:"entry"`
	// Agent and Incarnation identify the process that may run the attempt.
	Agent       core.Instance `json:"agent"`
	Incarnation string        `json:"incarnation"`
	Expires     time.Time     `json:"expires"`
	Outcome     *Outcome      `json:"outcome,omitempty"`
}

func decodeRecord(value []byte) (*record, error) {
	var r record
	if err := json.Unmarshal(value, &r); err != nil {
		return nil, errors.Wrap(err, "decode record of a once-only call")
	}
	return &r, nil
}

func (r *record) encode() ([]byte, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return nil, errors.Wrap(err, "encode record of a once-only call")
	}
	return value, nil
}
