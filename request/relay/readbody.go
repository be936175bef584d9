package relay

import (
	"net/http"
	"os"
	"time"

	"github.com/go-faster/errors"
	"github.com/labstack/echo/v4"

	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/request/intake"
)

// unreadBodyTimeout limits the time for reading the rest of a body after a refusal.
const unreadBodyTimeout = 500 * time.Millisecond

// readBody reads the body of a call into body, and returns it in one piece. It takes at most
// CallTimeout. A body of which a copy does not fit beside it into the budget is too large.
func (r *Relay) readBody(c echo.Context, body *intake.Body) ([]byte, error) {
	req, conn := c.Request(), http.NewResponseController(c.Response())
	budget := r.config.Intake
	limit := min(r.config.MaxRequestBodyBytes, budget.MaxBodyBytes()/2)
	if req.ContentLength > limit {
		return nil, intake.ErrTooLarge
	}
	// If setting a deadline fails, the connection has ended and so does the read.
	_ = conn.SetReadDeadline(time.Now().Add(r.config.CallTimeout))
	end := func() { _ = conn.SetReadDeadline(time.Unix(1, 0)) }
	if err := budget.Read(body, req.Body, req.ContentLength, limit, end); err != nil {
		return nil, err
	}
	_ = conn.SetReadDeadline(time.Time{})
	joined, err := body.Join()
	if err != nil {
		body.Release()
	}
	return joined, err
}

// problemFromBodyError returns the Problem for an error of readBody. The rest of the body may
// not come to an end, so the connection is closed after the response.
func (r *Relay) problemFromBodyError(c echo.Context, err error) *Problem {
	c.Response().Header().Set("Connection", "close")
	_ = http.NewResponseController(c.Response()).SetReadDeadline(time.Now().Add(unreadBodyTimeout))
	ended, slow := intake.Ended(err)
	switch {
	case errors.Is(err, intake.ErrTooLarge):
		return newProblem(http.StatusRequestEntityTooLarge, core.OutcomeNotRun, err.Error())
	case errors.Is(err, intake.ErrFull), ended && !slow:
		return newProblem(http.StatusServiceUnavailable, core.OutcomeNotRun, err.Error()).withRetryAfter(intake.RetryAfter)
	case slow, errors.Is(err, os.ErrDeadlineExceeded):
		return newProblem(http.StatusRequestTimeout, core.OutcomeNotRun, "read body: "+err.Error())
	}
	return newProblem(http.StatusBadRequest, core.OutcomeNotRun, "read body: "+err.Error())
}
