package exchange

import (
	"time"

	"github.com/rattanway/rattanway/version/catalog"
)

// behindFor is how long a revision that another instance knows may be missing
// here before the table is asked for: usually the store brings it first.
const behindFor = 400 * time.Millisecond

// lag notes the newest revision of a table that a peer named and that was
// missing here, and since when. In a large deployment the table of servers
// changes all the time and every instance is a little behind some other; only a
// revision that stays missing says that the store does not bring it.
type lag struct {
	revision uint64
	since    time.Time
}

// missing reports whether a revision that the peer named before has been missing
// for behindFor, or nothing is known here at all.
func (l *lag) missing(ours, theirs uint64, now time.Time) bool {
	switch {
	case theirs <= ours:
		*l = lag{}
	case ours == 0:
		return true
	case ours >= l.revision:
		*l = lag{theirs, now}
	}
	return l.revision > 0 && now.Sub(l.since) >= behindFor
}

// mayAsk reports whether a table may be asked for at now, and notes it. One peer
// is asked at a time: a table of a large deployment has a megabyte.
func (x *Exchange) mayAsk(t catalog.Table, now time.Time) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if last, ok := x.asked[t]; ok && now.Sub(last) < behindFor {
		return false
	}
	x.asked[t] = now
	return true
}
