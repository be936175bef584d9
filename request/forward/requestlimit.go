package forward

import (
	"math"
	"net/http"
	"strconv"

	"github.com/rattanway/rattanway/request/dispatch"
)

// recordLimit records the limit that a server names in a response, or that it names
// none. A missing limit counts only in a response that says whether the server ran the
// request, because other responses may not be the server's own.
func (c *call) recordLimit(slot dispatch.Slot, resp *http.Response) {
	names := &c.cfg.Headers
	value := resp.Header.Get(names.RequestLimit)
	perSecond, err := strconv.ParseFloat(value, 64)
	valid := err == nil && perSecond >= 0 && !math.IsInf(perSecond, 0)
	own := resp.Header.Get(names.Receipt) != "" || resp.Header.Get(names.NotRun) != ""
	if valid || value == "" && own {
		c.cfg.Scheduler.RecordLimit(slot.Server, perSecond, valid)
	}
}
