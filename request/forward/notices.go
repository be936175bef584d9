package forward

import (
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rattanway/rattanway/request/dispatch"
)

// leavingValue is the value of the header Headers.Leaving.
const leavingValue = "1"

// maxPauseSeconds keeps every pause within a [time.Duration]; the scheduler has a lower
// limit.
const maxPauseSeconds = 1e6

// recordLeaving records that a server says in a response that it will stop. Any response
// counts, and any of several values: a server that leaves must not get a request because
// a proxy has added a header.
func (c *call) recordLeaving(slot dispatch.Slot, resp *http.Response) {
	if slices.Contains(resp.Header.Values(c.cfg.Headers.Leaving), leavingValue) {
		c.cfg.Scheduler.RecordLeaving(slot.Server)
	}
}

// recordPause records the pause that a server asks for in a response with status 503,
// and reports whether it does. Of several valid values the longest counts.
func (c *call) recordPause(slot dispatch.Slot, resp *http.Response) bool {
	if resp.StatusCode != http.StatusServiceUnavailable {
		return false
	}
	var pause time.Duration
	for _, value := range resp.Header.Values(c.cfg.Headers.RetryAfter) {
		pause = max(pause, parsePause(value))
	}
	if pause > 0 {
		c.cfg.Scheduler.RecordPause(slot.Server, pause)
	}
	return pause > 0
}

// parsePause parses a number of seconds. It returns 0 if the value is invalid: not
// positive, infinite or, for example, a date.
func parsePause(value string) time.Duration {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	if err != nil || !(seconds > 0) || math.IsInf(seconds, 0) {
		return 0
	}
	return time.Duration(min(seconds, maxPauseSeconds) * float64(time.Second))
}
