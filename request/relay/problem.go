package relay

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/process/eventlog"
)

// problemType is the media type of a problem document, RFC 9457.
const problemType = "application/problem+json"

// Problem is the problem document, RFC 9457, in the response to a refused call.
type Problem struct {
	// Type is always "about:blank", which means that only the status describes
	// the problem.
	Type string `json:"type"`
	// Title is the standard text of the HTTP status.
	Title string `json:"title"`
	// Status is the HTTP status.
	Status int `json:"status"`
	// Detail is the reason for the refusal.
	Detail string `json:"detail"`
	// Outcome shows whether any part of the call ran or may have run.
	Outcome core.FailureOutcome `json:"outcome"`
	// RequestID is the id of the call, for inquiries to the operators.
	RequestID string `json:"requestId"`
	// RetryAfter is the value of the Retry-After header, which is sent in whole
	// seconds, rounded up; 0 omits the header.
	RetryAfter time.Duration `json:"-"`
}

// newProblem returns a Problem with the standard title of status.
func newProblem(status int, outcome core.FailureOutcome, detail string) *Problem {
	return &Problem{
		Type:    "about:blank",
		Title:   http.StatusText(status),
		Status:  status,
		Detail:  detail,
		Outcome: outcome,
	}
}

// withRetryAfter sets the time after which the caller may try again, and
// returns p, for use in an expression.
func (p *Problem) withRetryAfter(d time.Duration) *Problem {
	p.RetryAfter = d
	return p
}

// refuseCall logs and counts the refusal of a call and sends p to the caller.
func (r *Relay) refuseCall(c echo.Context, id string, p *Problem) error {
	p.RequestID = id
	r.log.Event(eventCallRefused, eventlog.Fields{
		"request": id, "status": p.Status, "outcome": p.Outcome, "detail": p.Detail,
	})
	countRefusal(p.Outcome)
	body, err := json.Marshal(p)
	if err != nil {
		return err
	}
	if p.RetryAfter > 0 {
		seconds := int(math.Ceil(p.RetryAfter.Seconds()))
		c.Response().Header().Set(echo.HeaderRetryAfter, strconv.Itoa(seconds))
	}
	return c.Blob(p.Status, problemType, body)
}
