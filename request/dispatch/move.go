package dispatch

import (
	"maps"
	"slices"
	"time"
)

// moveAfter is the time that a stream at a server which changes its weights has
// to end there. Most streams end within it; the longest take 3 s.
const moveAfter = 700 * time.Millisecond

// moveRank is the rank of a stream that is to go on elsewhere: it leaves a place
// that nobody else can take, and a pause between its events makes it late.
const moveRank = -1

// Move is a stream that waits for a place at another server while it goes on at
// its own. It answers new weights under full load: a server that changes over
// serves nothing until its longest stream has ended, so the last few go on at
// servers that work.
type Move struct {
	desk *Desk
	w    *waiter
}

// Move begins to look for another server for a stream whose server changes its
// weights, and counts a repeat for it. It returns nil while the stream is to
// stay. The Move must be ended with Take or Cancel.
func (d *Desk) Move(q *Demand, from Place) *Move {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	agent, ok := d.agents[from.Server.Addr]
	if !ok || !agent.state.Loading || now.Sub(agent.loadingSince) < moveAfter ||
		!d.repeatsOf(q.Service).TakeSpare(now, d.entries()) {
		return nil
	}
	moved := *q
	moved.Rank, moved.Tried = moveRank, maps.Clone(q.Tried)
	moved.Tried[from.Server.ID] = true
	w := &waiter{demand: &moved, place: make(chan Place, 1)}
	d.enqueue(w)
	d.pump()
	return &Move{d, w}
}

// Take returns the place that the stream was given, if it has one by now. The
// Move has then ended.
func (m *Move) Take() (Place, bool) {
	select {
	case place := <-m.w.place:
		return place, true
	default:
		return Place{}, false
	}
}

// Cancel ends a Move that was not taken.
func (m *Move) Cancel() {
	m.desk.mu.Lock()
	defer m.desk.mu.Unlock()
	m.desk.withdraw(m.w)
}

// withdraw ends the wait of a request and gives back a place that it was given
// meanwhile; d.mu is held.
func (d *Desk) withdraw(w *waiter) {
	if !w.given {
		d.waiting = slices.DeleteFunc(d.waiting, func(other *waiter) bool { return other == w })
		return
	}
	d.state((<-w.place).Server.ID).running--
	d.pump()
}
