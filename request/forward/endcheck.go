package forward

import (
	"context"
	"net/http"
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
	// of a server, and the number of whole requests.
	maxPartsAtRisk = 256
)

// endChecks finds out whether a server has ended when connections to it break. A
// connection alone does not show that: it also breaks when the network fails or when
// the server cuts off one response.
type endChecks struct {
	mu sync.Mutex
	// running holds the checks in progress, by the boot of the server.
	running map[string]*endCheck
}

// endCheck is the check of one server.
type endCheck struct {
	// atRisk holds the prompt parts of the requests whose connections broke, and these
	// requests as a whole.
	atRisk []dispatch.PromptPart
	// completed holds those of requests whose responses were complete with the end of the
	// connection. They are sound if the server goes on.
	completed []dispatch.PromptPart
}

// add adds parts to those at risk, or to the completed ones as well.
func (e *endCheck) add(parts []dispatch.PromptPart, completed bool) {
	for _, part := range parts {
		e.atRisk = addPart(e.atRisk, part)
		if completed {
			e.completed = addPart(e.completed, part)
		}
	}
}

// addPart adds a part to known, unless that has it, or maxPartsAtRisk of its kind.
func addPart(known []dispatch.PromptPart, part dispatch.PromptPart) []dispatch.PromptPart {
	sameKind := 0
	for _, other := range known {
		if other == part {
			return known
		}
		if (other.Position == dispatch.WholeRequest) == (part.Position == dispatch.WholeRequest) {
			sameKind++
		}
	}
	if sameKind >= maxPartsAtRisk {
		return known
	}
	return append(known, part)
}

// checkEnd starts a check whether a server has ended, unless one is in progress, and
// adds the parts of a request whose connection to the server ended. completed tells whether
// the response was complete.
func (h *Handler) checkEnd(server *catalog.Server, parts []dispatch.PromptPart, completed bool) {
	h.endChecks.mu.Lock()
	defer h.endChecks.mu.Unlock()
	check, inProgress := h.endChecks.running[server.Boot()]
	if !inProgress {
		check = &endCheck{}
		h.endChecks.running[server.Boot()] = check
		brokenAt := h.cfg.Clock.Now()
		time.AfterFunc(endCheckDelay, func() { h.finishEndCheck(server, brokenAt) })
	}
	check.add(parts, completed)
}

// finishEndCheck connects to a server. The server has ended if it refuses the
// connection, and goes on if it accepts it.
func (h *Handler) finishEndCheck(server *catalog.Server, brokenAt time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), endCheckTimeout)
	defer cancel()
	accepted, refused := h.cfg.Pool.Probe(ctx, server.Addr)
	h.endChecks.mu.Lock()
	check := h.endChecks.running[server.Boot()]
	delete(h.endChecks.running, server.Boot())
	h.endChecks.mu.Unlock()
	if accepted && len(check.completed) > 0 {
		h.cfg.Scheduler.RecordSound(check.completed)
	}
	if !refused {
		return
	}
	h.cfg.Scheduler.RecordServerEnd(server.Boot(), check.atRisk, brokenAt)
	h.stats.serversEnded.Inc(1)
	h.cfg.Log.Event(eventServerEnded, eventlog.Fields{
		"server": server.ID, "addr": server.Addr, "parts": clipParts(check.atRisk), "partCount": len(check.atRisk),
		"ageMs": h.cfg.Clock.Now().Sub(brokenAt).Milliseconds(),
	})
}

// minSurvival is how long a server must go on after its first event for the request
// to be no possible cause of the server's end. A slow server ends later.
const minSurvival = time.Second

// recordEffect records that a server goes on after it has run the request, or starts
// a check whether the server has ended, if the connection ended and the request is a
// possible cause. The end of a response without a length is the end of its connection,
// so it does not show that the server goes on. A response other than 2xx shows nothing of
// the prompt's parts, which the server may not have looked at.
func (c *call) recordEffect(server *catalog.Server, r *attemptResult) {
	parts := c.dispatchReq.PromptParts
	survived := !r.begunAt.IsZero() && c.cfg.Clock.Now().Sub(r.begunAt) >= minSurvival
	complete := r.err == nil && r.outcome == dispatch.Served
	leftRunning := r.outcome == dispatch.Cancelled || r.outcome == dispatch.Moved
	whole := parts[len(parts)-1]
	if complete && r.status >= http.StatusMultipleChoices {
		parts = []dispatch.PromptPart{whole}
	}
	switch {
	case complete && !r.endedWithConn, survived && (complete || leftRunning):
		c.cfg.Scheduler.RecordSound(parts)
	case survived || !complete && (r.outcome != dispatch.Broken || r.err == nil):
	case complete && len(parts) == 1 && !c.cfg.Scheduler.IsSuspect(whole):
		// A check of the server for each such response would cost many connections.
	default:
		c.checkEnd(server, parts, complete)
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
