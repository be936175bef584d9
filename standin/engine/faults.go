package engine

import (
	"net/http"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"

	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/core"
)

// Faults selects the active faults. A fault that is not set becomes inactive.
type Faults struct {
	// Cold resets the engine to the cold state once, at the time when the faults
	// are set. The boot ID does not change.
	Cold bool `json:"cold,omitempty"`
	// Reboot resets the engine to the cold state and changes the boot ID, once, at
	// the time when the faults are set.
	Reboot bool `json:"reboot,omitempty"`
	// StayCold stops the warm-up: neither finished requests nor time increase
	// the capacity.
	StayCold bool `json:"stayCold,omitempty"`
	// ForeignResponse makes responses contain the ID and the text of another
	// request.
	ForeignResponse bool `json:"crossed,omitempty"`
	// Stall makes requests hang after StallAfter tokens.
	Stall bool `json:"stall,omitempty"`
	// StallAfter is the number of tokens before a stall.
	StallAfter int `json:"stallAfter,omitempty"`
	// Cut makes streams end without their last event after CutAfter tokens.
	Cut bool `json:"cut,omitempty"`
	// CutAfter is the number of tokens before a cut.
	CutAfter int `json:"cutAfter,omitempty"`
	// Refuse makes the engine respond to every request with status 503.
	Refuse bool `json:"refuse,omitempty"`
	// FalseLoaded is a version that the engine reports as loaded without having
	// loaded it.
	FalseLoaded *frame.LoadedVersion `json:"claim,omitempty"`
	// Swap is the manifest digest of another version. If it is not empty, streams
	// continue after SwapAfter tokens with the tokens of that version.
	Swap core.Digest `json:"swap,omitempty"`
	// SwapAfter is the number of tokens before the version changes.
	SwapAfter int `json:"swapAfter,omitempty"`
}

// postFaults replaces the active faults with those in the request body.
func (e *Engine) postFaults(c echo.Context) error {
	var f Faults
	if err := c.Bind(&f); err != nil {
		return err
	}
	e.SetFaults(f)
	return c.NoContent(http.StatusNoContent)
}

// SetFaults replaces the active faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if f.Cold || f.Reboot {
		e.warmUp.reset(e.clock.Now())
	}
	if f.Reboot {
		e.bootID = uuid.NewString()
	}
	e.warmUp.paused = f.StayCold
	e.faults = f
}

// currentFaults returns the active faults.
func (e *Engine) currentFaults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}
