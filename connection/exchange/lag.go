package exchange

import (
	"time"

	"github.com/rattanway/rattanway/version/catalog"
)

// maxLag is how long a revision that a peer has may be missing here before the
// table is requested from the peer. Usually the store delivers it sooner.
const maxLag = 400 * time.Millisecond

// lag tracks a revision of a table that a peer has and that is missing here, and
// since when it is missing. In a large deployment the table of servers changes all
// the time and every entry instance is slightly behind some other entry instance.
// Only a revision that stays missing shows that the store does not deliver it.
type lag struct {
	revision uint64
	since    time.Time
}

// overdue reports whether the tracked revision has been missing for at least
// maxLag, or whether the peer has a revision and this entry instance has none. ours
// and theirs are the newest revisions here and at the peer; 0 means none.
func (l *lag) overdue(ours, theirs uint64, now time.Time) bool {
	switch {
	case theirs <= ours:
		*l = lag{}
	case ours == 0:
		return true
	case ours >= l.revision:
		*l = lag{theirs, now}
	}
	return l.revision > 0 && now.Sub(l.since) >= maxLag
}

// allowRequest reports whether a table may be requested at now, and records the
// request if so. Within maxLag a table is requested from only one peer, because
// in a large deployment its size is a megabyte.
func (x *Exchange) allowRequest(t catalog.Table, now time.Time) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if last, ok := x.lastRequested[t]; ok && now.Sub(last) < maxLag {
		return false
	}
	x.lastRequested[t] = now
	return true
}
