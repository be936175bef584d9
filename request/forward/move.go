package forward

import (
	"context"
	"strconv"

	"github.com/rattanway/rattanway/request/dispatch"
)

// streamMover searches for a slot at another server for a stream whose present
// server loads new weights.
type streamMover struct {
	call  *call
	watch *stallWatch
	// from is the slot in which the stream runs at present.
	from dispatch.Slot
	// search is nil while no search for another slot is in progress.
	search *dispatch.MoveSearch
}

// tryMove is called after each event of the stream. If a slot at another server has been
// assigned to the stream, it begins a hedge there. Otherwise it starts a search for a slot if
// none is in progress and a move is allowed.
func (m *streamMover) tryMove(ctx context.Context) {
	c := m.call
	if c.stop.Load() != nil {
		// The new server would read the prompt again, which may take longer than is left.
		return
	}
	if _, err := strconv.ParseInt(c.lastEventID, 10, 64); err != nil {
		// The present server goes on while the new one begins. Only numeric IDs show which
		// events of the new one the client has by then.
		return
	}
	if c.checkRetry(ctx, &attemptResult{mayHaveArrived: true, mayHaveRun: true, retryCounted: true}) != nil {
		return
	}
	if m.search == nil {
		req, ok := m.watch.moveRequest()
		if !ok {
			return
		}
		m.search = c.cfg.Scheduler.StartMoveSearch(req, m.from)
	}
	if m.search == nil {
		return
	}
	if slot, ok := m.search.Take(); ok {
		m.search = nil
		m.watch.beginMove(slot)
	}
}

// cancel ends the search for a slot, if one is in progress.
func (m *streamMover) cancel() {
	if m.search != nil {
		m.search.Cancel()
	}
}
