package ops

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/go-faster/errors"
	"github.com/labstack/echo/v4"

	"github.com/rattanway/rattanway/process/platform"
	"github.com/rattanway/rattanway/version/confstore"
	"github.com/rattanway/rattanway/version/declare"
)

// problemOf returns the problem document for err: the Problem that err wraps,
// or a new Problem according to the type of err.
func problemOf(err error) *Problem {
	var problem *Problem
	var httpErr *echo.HTTPError
	var invalid *declare.InvalidError
	var conflict *confstore.ConflictError
	switch {
	case errors.As(err, &problem):
		return problem
	case errors.As(err, &httpErr):
		return &Problem{Type: TypeNotFound, Title: "no such call", Status: httpErr.Code, Detail: fmt.Sprint(httpErr.Message)}
	case errors.As(err, &invalid):
		return &Problem{
			Type: TypeInvalidDeclarations, Title: "declarations refused", Status: http.StatusUnprocessableEntity,
			Detail:   fmt.Sprintf("%d problems; nothing was changed", len(invalid.Problems)),
			Problems: invalid.Problems,
		}
	case errors.As(err, &conflict):
		return conflictProblem(conflict)
	default:
		return sentinelProblem(err)
	}
}

// conflictProblem returns the problem document of a conflict, with the version
// that was accepted first and the changes since the base.
func conflictProblem(e *confstore.ConflictError) *Problem {
	return &Problem{
		Type: TypeConflict, Title: "another change came first", Status: http.StatusConflict,
		Detail: fmt.Sprintf("the change was made for version %d; version %d by %s (%s, change id %s) came first; nothing was changed",
			e.BaseNumber, e.Winner.Number, e.Winner.Author, e.Winner.Reason, e.Winner.ChangeID),
		Winner:  &e.Winner,
		InForce: e.InForce,
		Changes: e.Changes,
	}
}

// sentinelProblem returns the problem document of an error that wraps a known
// sentinel value. Any other error is reported as an internal error.
func sentinelProblem(err error) *Problem {
	p := &Problem{Detail: err.Error()}
	switch {
	case errors.Is(err, confstore.ErrInvalidChange):
		p.Type, p.Title, p.Status = TypeBadRequest, "bad request", http.StatusBadRequest
	case errors.Is(err, confstore.ErrChangeIDReused):
		p.Type, p.Title, p.Status = TypeChangeIDUsed, "change id used before", http.StatusConflict
	case errors.Is(err, confstore.ErrVersionNotFound), errors.Is(err, declare.ErrNoObject):
		p.Type, p.Title, p.Status = TypeNotFound, "not found", http.StatusNotFound
	case errors.Is(err, platform.ErrUnknownOutcome):
		p.Type, p.Title, p.Status = TypeOutcomeUnknown, "outcome unknown", http.StatusGatewayTimeout
		p.Detail = "the platform's answer was lost; repeat the command with the same change id: " + err.Error()
	case errors.Is(err, platform.ErrUnavailable):
		p.Type, p.Title, p.Status = TypePlatformUnavailable, "platform unavailable", http.StatusServiceUnavailable
	case errors.Is(err, confstore.ErrIntegrity):
		p.Type, p.Title, p.Status = TypeRecordDamaged, "record damaged", http.StatusBadGateway
	default:
		p.Type, p.Title, p.Status = TypeInternal, "internal error", http.StatusInternalServerError
	}
	return p
}

// badRequest returns the problem document of a malformed request.
func badRequest(detail string) *Problem {
	return &Problem{Type: TypeBadRequest, Title: "bad request", Status: http.StatusBadRequest, Detail: detail}
}

// writeProblem sends p as the response.
func writeProblem(c echo.Context, p *Problem) error {
	body, err := json.Marshal(p)
	if err != nil {
		return err
	}
	return c.Blob(p.Status, problemMediaType, body)
}
