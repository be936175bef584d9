package core

import "fmt"

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

// Unwrap returns the wrapped error.
func (e *StepError) Unwrap() error { return e.Err }
