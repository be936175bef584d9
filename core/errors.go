package core

import (
	"fmt"
	"strings"
)

// StepError adds the failed operation and the peer involved to an error.
type StepError struct {
	// Step names the operation, for example "fetch chunk".
	Step string
	// Peer is the identifier or address of the other process; empty if no
	// other process is involved.
	Peer string
	// Err is the wrapped error.
	Err error
}

// WrapStep wraps err in a StepError with the operation that failed and the peer
// involved. It returns nil if err is nil.
func WrapStep(step, peer string, err error) error {
	if err == nil {
		return nil
	}
	return &StepError{Step: step, Peer: peer, Err: err}
}

// Error returns the step, the peer and the wrapped error as text.
func (e *StepError) Error() string {
	if e.Peer == "" {
		return fmt.Sprintf("%s: %v", e.Step, e.Err)
	}
	return fmt.Sprintf("%s (peer %s): %v", e.Step, e.Peer, e.Err)
}

// MaxResponseHeadBytes is the maximum size of the header of an HTTP response that any
// process of this system accepts.
const MaxResponseHeadBytes = 64 << 10

// maxPeerTextBytes limits the text of an error that quotes what a peer has sent.
const maxPeerTextBytes = 256

// ClipError returns err with its text cut to a few hundred bytes. It is for errors
// that quote what a peer has sent, such as a malformed status line.
func ClipError(err error) error {
	if err == nil || len(err.Error()) <= maxPeerTextBytes {
		return err
	}
	return &clippedError{err}
}

// clippedError is an error whose text is cut.
type clippedError struct{ err error }

// Error implements error.
func (e *clippedError) Error() string {
	return strings.ToValidUTF8(e.err.Error()[:maxPeerTextBytes], "") + " ..."
}

// Unwrap returns the error with the complete text.
func (e *clippedError) Unwrap() error { return e.err }

// Unwrap returns the wrapped error.
func (e *StepError) Unwrap() error { return e.Err }
