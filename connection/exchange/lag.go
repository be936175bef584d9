package exchange

import (
	"time"

	"github.com/rattanway/rattanway/version/catalog"
)

const (
	// maxLag is how long a revision that a peer has may be missing here before the
	// table is requested from the peer. Usually the store delivers the revision
	// sooner.
	maxLag = 400 * time.Millisecond
	// relayLag is the same for the declarations at the entry instance that relays them
	// from peers in other data centres to those in its own, and remoteLag for the others
	// there with regard to peers in other data centres.
	relayLag  = 50 * time.Millisecond
	remoteLag = 2 * maxLag
	// maxRequestPause is the longest time between two requests for a table of which the
	// first has no response.
	maxRequestPause = 4 * maxLag
)

// lag tracks a change of a table that a peer has and that is missing here, by its
// position in the store. In a large deployment the table of servers changes all the
// time and every entry instance is slightly behind some other entry instance. A
// missing change therefore counts as not delivered by the store only after maxLag.
type lag struct {
	// position has the revision 0 if nothing is missing.
	position catalog.Position
	// since is the time at which the position was first seen to be missing.
	since time.Time
}

// tableRequest is a request for a table that waits for a response.
type tableRequest struct {
	at time.Time
	// pause is the time after which the table may be requested again.
	pause time.Duration
}

// overdue is missingFor with maxLag.
func (l *lag) overdue(own, peer catalog.Position, now time.Time) bool {
	return l.missingFor(own, peer, now, maxLag)
}

// missingFor updates the tracked position and reports whether that position has
// been missing here for at least limit. missingFor also returns true if the peer
// has a position and this entry instance has none. own and peer are the positions
// of the newest changes here and at the peer; a revision of 0 means none.
func (l *lag) missingFor(own, peer catalog.Position, now time.Time, limit time.Duration) bool {
	switch {
	case !own.Before(peer):
		*l = lag{}
	case own.Revision == 0:
		return true
	case !own.Before(l.position):
		*l = lag{peer, now}
	}
	return l.position.Revision > 0 && now.Sub(l.since) >= limit
}

// lagLimit returns how long a revision of a table that a peer has may be missing here. For
// the declarations, one entry instance of a data centre requests them from other data
// centres and sends the changes on to its peers.
func (x *Exchange) lagLimit(t catalog.Table, remote bool) time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	relays, shared := relaysTable(x.cfg.Self.ID, t, x.peerReads, x.cfg.Clock.Now())
	switch {
	case t != catalog.TableDeclared || !remote || !shared:
		return maxLag
	case relays:
		return relayLag
	}
	return remoteLag
}

// allowRequest reports whether a table may be requested at the time now, and
// records the request if so. Within maxLag a table is requested from only one
// peer, because a table takes a megabyte in a large deployment. The time doubles with
// each request that has no response: it may be on its way over a busy link. It does not
// once such a request is long past.
func (x *Exchange) allowRequest(t catalog.Table, now time.Time) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	last := x.requests[t]
	if !last.at.IsZero() && now.Sub(last.at) < last.pause {
		return false
	}
	pause := maxLag
	if now.Sub(last.at) < 2*last.pause {
		pause = min(2*last.pause, maxRequestPause)
	}
	x.requests[t] = tableRequest{now, pause}
	return true
}

// awaitNoResponse records that the table was not requested from a peer after all.
func (x *Exchange) awaitNoResponse(t catalog.Table) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.requests[t] = tableRequest{x.requests[t].at, maxLag}
}

// endRequest records the response to a request for a table.
func (x *Exchange) endRequest(t catalog.Table) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.requests, t)
}
