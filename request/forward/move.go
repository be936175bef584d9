package forward

import (
	"context"

	"github.com/rattanway/rattanway/request/dispatch"
)

// mover takes a stream off a server that changes its weights, once there is a
// place for it elsewhere.
type mover struct {
	call *call
	from dispatch.Place
	move *dispatch.Move
}

// leaves reports whether the stream is to go on elsewhere; the place is then the
// call's next one. It is asked after each event.
func (m *mover) leaves(ctx context.Context) bool {
	c := m.call
	if c.mayRepeat(ctx, &result{arrived: true, mayHaveRun: true, repeatTaken: true}) != nil {
		return false
	}
	if m.move == nil {
		m.move = c.cfg.Desk.Move(&c.demand, m.from)
	}
	if m.move == nil {
		return false
	}
	place, ok := m.move.Take()
	if !ok {
		return false
	}
	m.move = nil
	c.moved = &place
	return true
}

// cancel ends the search for a place.
func (m *mover) cancel() {
	if m.move != nil {
		m.move.Cancel()
	}
}
