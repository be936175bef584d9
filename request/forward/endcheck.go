package forward

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rattanway/rattanway/process/eventlog"
	"github.com/rattanway/rattanway/request/dispatch"
	"github.com/rattanway/rattanway/version/catalog"
)

const (
	// endCheckDelay is the time between the first connection to a server that breaks
	// and the check whether the server has ended. The other connections break within
	// this time, so that one check covers all of them.
	endCheckDelay = 20 * time.Millisecond
	// endCheckTimeout limits the time for the check.
	endCheckTimeout = time.Second
	// maxPartsAtRisk limits the number of prompt parts that are recorded for one end
	// of a server.
	maxPartsAtRisk = 256
)

// endChecks finds out whether a server has ended when connections to it break. A
// connection alone does not show that: it also breaks when the network fails or when
// the server cuts off one response.
type endChecks struct {
	mu sync.Mutex
	// partsAtRisk holds, by the boot of each server that is being checked, the prompt
	// parts of the requests whose connections broke.
	partsAtRisk map[string][]dispatch.PromptPart
}

// checkEnd starts a check whether a server has ended, unless one is in progress, and
// adds the prompt parts of a request whose connection to the server broke.
func (h *Handler) checkEnd(server *catalog.Server, parts []dispatch.PromptPart) {
	h.endChecks.mu.Lock()
	defer h.endChecks.mu.Unlock()
	known, inProgress := h.endChecks.partsAtRisk[server.Boot()]
	for _, part := range parts {
		if len(known) < maxPartsAtRisk && !slices.Contains(known, part) {
			known = append(known, part)
		}
	}
	h.endChecks.partsAtRisk[server.Boot()] = known
	if !inProgress {
		brokenAt := h.cfg.Clock.Now()
		time.AfterFunc(endCheckDelay, func() { h.finishEndCheck(server, brokenAt) })
	}
}

// finishEndCheck connects to a server. The server has ended if it refuses the
// connection.
func (h *Handler) finishEndCheck(server *catalog.Server, brokenAt time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), endCheckTimeout)
	defer cancel()
	ended := h.cfg.Pool.Refuses(ctx, server.Addr)
	h.endChecks.mu.Lock()
	parts := h.endChecks.partsAtRisk[server.Boot()]
	delete(h.endChecks.partsAtRisk, server.Boot())
	h.endChecks.mu.Unlock()
	if !ended {
		return
	}
	h.cfg.Scheduler.RecordServerEnd(server.Boot(), parts, brokenAt)
	h.stats.serversEnded.Inc(1)
	h.cfg.Log.Event(eventServerEnded, eventlog.Fields{
		"server": server.ID, "addr": server.Addr, "parts": clipParts(parts), "partCount": len(parts),
		"ageMs": h.cfg.Clock.Now().Sub(brokenAt).Milliseconds(),
	})
}

// minSurvival is how long a server must go on after its first event for the request
// to be no possible cause of the server's end. A slow server ends later.
const minSurvival = time.Second

// recordEffect records that a server goes on after it has run the request, or starts
// a check whether the server has ended, if the connection ended and the request is a
// possible cause. The end of a response without a length is the end of its connection,
// so it does not show that the server goes on.
func (c *call) recordEffect(server *catalog.Server, r *attemptResult) {
	parts := c.dispatchReq.PromptParts
	survived := !r.begunAt.IsZero() && c.cfg.Clock.Now().Sub(r.begunAt) >= minSurvival
	served := r.outcome == dispatch.Served && r.status < http.StatusMultipleChoices
	leftRunning := r.outcome == dispatch.Cancelled || r.outcome == dispatch.Moved
	switch {
	case served && !r.endedWithConn, survived && (served || leftRunning):
		c.cfg.Scheduler.RecordSound(parts)
	case !survived && (served || r.outcome == dispatch.Broken && r.err != nil):
		c.checkEnd(server, parts)
	}
}

// maxLoggedParts limits the number of prompt parts in one log line.
const maxLoggedParts = 16

// clipParts returns the IDs of the parts that one log line contains, the last ones, which
// are the rarest.
func clipParts(parts []dispatch.PromptPart) []string {
	ids := []string{}
	for _, part := range parts[max(0, len(parts)-maxLoggedParts):] {
		ids = append(ids, part.ID)
	}
	return ids
}
