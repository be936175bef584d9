package exchange

import (
	"time"

	"github.com/rattanway/rattanway/version/catalog"
)

// maxLag is how long a revision that a peer has may be missing here before the
// table is requested from the peer. Usually the store delivers the revision
// sooner.
const maxLag = 400 * time.Millisecond

// lag tracks a revision of a table that a peer has and that is missing here. In
// a large deployment the table of servers changes all the time and every entry
// instance is slightly behind some other entry instance. A missing revision
// therefore counts as not delivered by the store only after maxLag.
type lag struct {
	// revision is 0 if no revision is missing.
	revision uint64
	// since is the time at which the revision was first seen to be missing.
	since time.Time
}

// overdue updates the tracked revision and reports whether that revision has
// been missing here for at least maxLag. overdue also returns true if the peer
// has a revision and this entry instance has none. ownRevision and peerRevision
// are the newest revisions here and at the peer; 0 means none.
func (l *lag) overdue(ownRevision, peerRevision uint64, now time.Time) bool {
	switch {
	case peerRevision <= ownRevision:
		*l = lag{}
	case ownRevision == 0:
		return true
	case ownRevision >= l.revision:
		*l = lag{peerRevision, now}
	}
	return l.revision > 0 && now.Sub(l.since) >= maxLag
}

// allowRequest reports whether a table may be requested at the time now, and
// records the request if so. Within maxLag a table is requested from only one
// peer, because a table takes a megabyte in a large deployment.
func (x *Exchange) allowRequest(t catalog.Table, now time.Time) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if last, ok := x.lastRequested[t]; ok && now.Sub(last) < maxLag {
		return false
	}
	x.lastRequested[t] = now
	return true
}
