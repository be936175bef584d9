package relay

import (
	"context"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/connection/registry"
	"github.com/rattanway/rattanway/connection/work"
	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/process/eventlog"
	"github.com/rattanway/rattanway/request/routing"
)

// Errors of one attempt.
var (
	errWrongRequestID  = errors.New("frame carries the id of another request")
	errWrongDigest     = errors.New("response was produced from other weights")
	errIncomplete      = errors.New("response is incomplete or corrupt")
	errResponseFailed  = errors.New("response ended early")
	errServerStatus    = errors.New("server responded with an error")
	errUnexpectedFrame = errors.New("unexpected frame")
)

// callerWriteError wraps an error of writing the response to the caller.
type callerWriteError struct{ err error }

// Error implements error.
func (e callerWriteError) Error() string { return "write to caller: " + e.err.Error() }

// attemptResult is the result of one attempt to run a call on a backend server.
type attemptResult struct {
	result routing.Result
	// load is the load in the agent's last frame; nil if there was none.
	load *frame.Load
	// refusal is the agent's Refuse frame; nil unless the agent refused the
	// call.
	refusal *frame.Refuse
	// failOutcome is the outcome in the agent's Fail frame; "" if there was none.
	failOutcome core.FailureOutcome
	err         error
}

func failedAttempt(err error) attemptResult {
	return attemptResult{result: routing.ResultFailed, err: err}
}

// receiveWithTimeout calls receive with a context that ends after timeout.
func receiveWithTimeout(ctx context.Context, x work.Exchange, id string, timeout time.Duration) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return receive(ctx, x, id)
}

// receive returns the next frame of an exchange, or errWrongRequestID when the
// request id in the frame is not id.
func receive(ctx context.Context, x work.Exchange, id string) (any, error) {
	msg, err := x.Receive(ctx)
	if err != nil {
		return nil, err
	}
	if gotID := frameID(msg); gotID != id {
		return nil, fmt.Errorf("%w: %q", errWrongRequestID, gotID)
	}
	return msg, nil
}

// frameID returns the request id of a message from an agent, or "" for an
// unexpected message type.
func frameID(msg any) string {
	switch m := msg.(type) {
	case *frame.Admit:
		return m.ID
	case *frame.Refuse:
		return m.ID
	case *frame.Head:
		return m.ID
	case *frame.Data:
		return m.ID
	case *frame.End:
		return m.ID
	case *frame.Fail:
		return m.ID
	case *frame.AttemptStatus:
		return m.ID
	}
	return ""
}

// bodyChecksum computes the length and hash of a response body, to be compared
// with those in the agent's End frame.
type bodyChecksum struct {
	byteCount int64
	sum       *xxhash.Digest
}

func newBodyChecksum() *bodyChecksum { return &bodyChecksum{sum: xxhash.New()} }

func (c *bodyChecksum) add(body []byte) {
	c.byteCount += int64(len(body))
	c.sum.Write(body)
}

func (c *bodyChecksum) matches(end frame.End) bool {
	return c.byteCount == end.BodyBytes && c.sum.Sum64() == end.BodyChecksum
}

// responseReader reads one response from an exchange.
type responseReader struct {
	id string
	// digest is the manifest digest that the response must carry; empty for
	// calls to plain services.
	digest core.Digest
	// onProgress is called for each Data frame, before onData.
	onProgress func()
	// onHead and onData process the Head and Data frames, in the order of their
	// arrival; an error ends the attempt.
	onHead func(frame.Head) error
	onData func(frame.Data) error
}

// read reads frames until the response is complete, the agent has refused or
// failed the call, or ctx ends.
func (rd *responseReader) read(ctx context.Context, x work.Exchange) attemptResult {
	checksum := newBodyChecksum()
	headReceived := false
	for {
		msg, err := receive(ctx, x, rd.id)
		if err != nil {
			return failedAttempt(err)
		}
		switch m := msg.(type) {
		case *frame.Refuse:
			return attemptResult{result: routing.ResultRefused, load: &m.Load, refusal: m}
		case *frame.Fail:
			err := fmt.Errorf("%w: %s", errResponseFailed, m.Detail)
			return attemptResult{result: routing.ResultFailed, load: &m.Load, failOutcome: m.FailureOutcome, err: err}
		case *frame.Head:
			if m.Digest != rd.digest {
				return failedAttempt(fmt.Errorf("%w: %s", errWrongDigest, m.Digest.Short()))
			}
			if err := core.CheckFinalStatus(m.Status); err != nil {
				return failedAttempt(err)
			}
			headReceived = true
			err = rd.onHead(*m)
		case *frame.Data:
			if !headReceived {
				return failedAttempt(errUnexpectedFrame)
			}
			checksum.add(m.Body)
			rd.onProgress()
			err = rd.onData(*m)
		case *frame.End:
			if !headReceived || !checksum.matches(*m) {
				return attemptResult{result: routing.ResultFailed, load: &m.Load, err: errIncomplete}
			}
			return attemptResult{result: routing.ResultOK, load: &m.Load}
		default:
			return failedAttempt(errUnexpectedFrame)
		}
		if err != nil {
			return failedAttempt(err)
		}
	}
}

// closeExchange closes x. If the agent ended the exchange with a final frame, the
// connection returns to the pool; otherwise the call is cancelled at the agent.
func (res attemptResult) closeExchange(x work.Exchange) {
	x.Close(res.result == routing.ResultOK || res.refusal != nil || res.failOutcome != "")
}

// recordAttempt reports the result of an attempt to routing and logs it.
func (r *Relay) recordAttempt(c *call, server registry.Server, res attemptResult) {
	r.picker.Done(server.Instance.ID, res.result, res.load)
	fields := eventlog.Fields{
		"request": c.id, "server": server.Instance.ID, "result": res.result.String(),
	}
	if res.refusal != nil {
		fields["reason"] = res.refusal.Reason
	}
	if res.err != nil {
		fields["error"] = res.err.Error()
	}
	r.log.Event(eventAttemptEnded, fields)
}
