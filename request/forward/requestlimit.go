package forward

import (
	"math"
	"net/http"
	"strconv"

	"github.com/rattanway/rattanway/request/dispatch"
)

// recordLimit records the limit that a server names in a response, or that it names
// none. A response of which the server says nothing about having run or refused the
// request is not from the server's own account of its state; a limit in it counts, a
// missing one does not.
func (c *call) recordLimit(slot dispatch.Slot, resp *http.Response) {
	names := &c.cfg.Headers
	value := resp.Header.Get(names.RequestLimit)
	perSecond, err := strconv.ParseFloat(value, 64)
	valid := err == nil && perSecond >= 0 && !math.IsInf(perSecond, 0)
	complete := resp.Header.Get(names.Receipt) != "" || resp.Header.Get(names.NotRun) != ""
	if valid || value == "" && complete {
		c.cfg.Scheduler.RecordLimit(slot.Server, perSecond, valid)
	}
}
