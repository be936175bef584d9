package forward

import (
	"context"

	"github.com/rattanway/rattanway/request/dispatch"
)

// streamMover moves a stream away from a server that loads new weights, once
// another server has a slot for the stream.
type streamMover struct {
	call *call
	from dispatch.Slot
	// search is nil while no search for another slot is in progress.
	search *dispatch.Move
}

// tryMove is called after each event of the stream. It returns true if another
// server has a slot at which the stream must continue, and then sets
// call.movedTo to this slot.
func (m *streamMover) tryMove(ctx context.Context) bool {
	c := m.call
	if c.checkRetry(ctx, &attemptResult{received: true, mayHaveRun: true, retryCounted: true}) != nil {
		return false
	}
	if m.search == nil {
		m.search = c.cfg.Scheduler.StartMove(&c.dispatchReq, m.from)
	}
	if m.search == nil {
		return false
	}
	slot, ok := m.search.Take()
	if !ok {
		return false
	}
	m.search = nil
	c.movedTo = &slot
	return true
}

// cancel ends the search for a slot.
func (m *streamMover) cancel() {
	if m.search != nil {
		m.search.Cancel()
	}
}
