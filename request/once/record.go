package once

import (
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"github.com/rattanway/rattanway/core"
)

// rowPrefix is the prefix of the keys of all rows that a RecordStore writes, and
// of the names of all objects that it writes.
const rowPrefix = "once/"

// Call describes one submission of a call with an idempotency key.
type Call struct {
	// RequestID is the ID of this submission, for log lines.
	RequestID string
	// Account is the name of the client account.
	Account string
	// Service is the name of the plain service.
	Service string
	// Key is the value of the caller's Idempotency-Key header.
	Key string
	// RequestDigest is the digest that the function RequestDigest returns for the
	// request's method, path and body. All submissions of a call must have the same
	// digest.
	RequestDigest core.Digest
}

// RowKey returns the key of the call's row. In messages to agents, this key
// identifies the call.
func (c Call) RowKey() string {
	return rowPrefix + c.Account + "/" + c.Service + "/" + string(core.DigestOf([]byte(c.Key)))
}

// RequestDigest returns the digest of a request for Call.RequestDigest.
func RequestDigest(method, path string, body []byte) core.Digest {
	all := append([]byte(method+"\n"+path+"\n"), body...)
	return core.DigestOf(all)
}

// Outcome is the complete response to a call, in the form in which it is
// recorded.
type Outcome struct {
	// Status is the HTTP status code.
	Status int `json:"status"`
	// Header holds the HTTP header fields of the response.
	Header map[string][]string `json:"header,omitempty"`
	// Body is the body of the response. In a row, it is empty if the body is stored
	// in an object.
	Body []byte `json:"body,omitempty"`
	// Object is the name of the object that holds the body, if the body is too large
	// for the row; otherwise it is empty.
	Object string `json:"object,omitempty"`
}

// state is the recorded state of an attempt.
type state string

const (
	// stateRunning means that the attempt has been claimed and may be running.
	stateRunning state = "running"
	// stateDone means that the outcome is recorded.
	stateDone state = "done"
	// stateLost means that the entry instance that claimed the attempt gave up
	// waiting for the response.
	stateLost state = "lost"
	// stateNotRun means that the attempt never ran and never will.
	stateNotRun state = "not-run"
)

// record is the content of a row.
type record struct {
	// RequestDigest is Call.RequestDigest of the submission that claimed the
	// attempt.
	RequestDigest core.Digest `json:"request"`
	// State is the state of the attempt.
	State state `json:"state"`
	// ClaimID is a unique ID of the claim. If an entry instance does not receive the
	// table's response to a write, it reads the row and compares the ClaimID there
	// with its own, to find out whether the write has taken effect.
	ClaimID string `json:"claim"`
	// Attempt is the number of the attempt, from 1.
	Attempt int `json:"attempt"`
	// EntryInstance is the ID of the entry instance that claimed the attempt.
	EntryInstance string `json:"entry"`
	// Agent and Incarnation identify the agent process that may run the attempt.
	Agent       core.Instance `json:"agent"`
	Incarnation string        `json:"incarnation"`
	// ExpiresAt is the time from which Sweep may remove the row.
	ExpiresAt time.Time `json:"expires"`
	// Outcome is the recorded outcome; nil unless State is stateDone.
	Outcome *Outcome `json:"outcome,omitempty"`
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
