package forward

import (
	"net/http"

	"github.com/go-faster/errors"

	"github.com/rattanway/rattanway/request/dispatch"
)

// errNoRequestID means that a response does not show to which request it belongs.
var errNoRequestID = errors.New("response on a reused connection has no request ID")

// errUnfoundedPromise means that the status of a response promises that the request has
// not run, but the response itself does not say so.
var errUnfoundedPromise = errors.New("status promises \"not run\", but the response does not say so")

// promisesNotRun reports whether a status promises clients that the request has not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// lacksID reports whether resp does not repeat the ID of a request that has one.
func (c *call) lacksID(resp *http.Response) bool {
	return c.requestID != "" && resp.Header.Get(c.cfg.Headers.RequestID) == ""
}

// handleUnidentified returns the result of an attempt with a response that has no
// request ID, on a connection that has carried other requests. A faulty server sends the
// response to an earlier request once more, so the response does not show whether this
// request has run.
func (c *call) handleUnidentified(resp *http.Response) attemptResult {
	r := attemptResult{outcome: dispatch.Broken, err: errNoRequestID, mayHaveArrived: true, mayHaveRun: true}
	if c.isNotRun(resp) {
		// The server is most likely full, not broken.
		r.outcome = notRunOutcome(resp)
	}
	return r
}

// isNotRun reports whether a response says that the server did not run its request.
func (c *call) isNotRun(resp *http.Response) bool {
	return resp.StatusCode == http.StatusMisdirectedRequest || resp.Header.Get(c.cfg.Headers.NotRun) != ""
}

// notRunOutcome returns the outcome of an attempt with a response for which isNotRun is
// true.
func notRunOutcome(resp *http.Response) dispatch.Outcome {
	if resp.StatusCode == http.StatusMisdirectedRequest {
		return dispatch.Misdirected
	}
	return dispatch.Full
}
