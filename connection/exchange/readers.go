package exchange

import (
	"time"

	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/version/catalog"
)

const (
	// minSharedReadInstances is the smallest number of entry instances in a data
	// centre of which one reads a table of the store for all. In a smaller data centre
	// there is little to save.
	minSharedReadInstances = 4
	// peerReadTimeout is the time since the last report of a reader after which the
	// others read the store themselves. A reader reports at each heartbeatInterval.
	peerReadTimeout = 900 * time.Millisecond
	// maxReadAge is the time since the store last responded to a reader after which
	// the others read the store themselves. A call that waits for changes takes 2.5 s.
	maxReadAge = 3500 * time.Millisecond
)

// peerRead is what an entry instance of this data centre last reported about its
// reads of the store.
type peerRead struct {
	reportedAt time.Time
	// respondedAt is when the store last responded, for the tables that the entry
	// instance reads.
	respondedAt map[catalog.Table]time.Time
}

// readAges returns the ages of the last responses of the store for the tables that
// this entry instance reads itself, in milliseconds.
func (x *Exchange) readAges(now time.Time) map[catalog.Table]int64 {
	ages := map[catalog.Table]int64{}
	for _, t := range []catalog.Table{catalog.TableDeclared, catalog.TableServers} {
		if respondedAt, ok := x.follower(t).LastRead(); ok {
			ages[t] = now.Sub(respondedAt).Milliseconds()
		}
	}
	return ages
}

// storeContact returns when the store has responded to this entry instance; nil if it does not
// read the table of backend servers itself.
func (x *Exchange) storeContact(now time.Time) *frame.StoreContact {
	from, until, ok := x.cfg.ServersFollower.Contact()
	if !ok {
		return nil
	}
	return &frame.StoreContact{FromAgeMs: now.Sub(from).Milliseconds(), UntilAgeMs: now.Sub(until).Milliseconds()}
}

// recordReads records what a peer of this data centre reported. agesMs is nil in a
// report that is no heartbeat.
func (x *Exchange) recordReads(peer string, agesMs map[catalog.Table]int64) {
	if agesMs == nil {
		return
	}
	now := x.cfg.Clock.Now()
	read := peerRead{reportedAt: now, respondedAt: map[catalog.Table]time.Time{}}
	for t, ms := range agesMs {
		read.respondedAt[t] = now.Add(-time.Duration(ms) * time.Millisecond)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.peerReads[peer] = read
}

// forgetReads removes what a peer reported, because its connection has ended.
func (x *Exchange) forgetReads(peer string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.peerReads, peer)
}

// ReadByPeer reports whether another entry instance of this data centre reads a table
// and sends the changes to this one.
func (x *Exchange) ReadByPeer(t catalog.Table) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return readByPeer(x.cfg.Self.ID, t, x.peerReads, x.cfg.Clock.Now())
}

// readByPeer decides ReadByPeer for the entry instance self. Of the entry instances
// that read a table, the one with the lowest rank goes on, and the others rely on it:
// those that have no reader of a lower rank read themselves. If the views differ,
// more than one reads.
func readByPeer(self string, t catalog.Table, reads map[string]peerRead, now time.Time) bool {
	reporting, found := 1, false
	for peer, r := range reads {
		if now.Sub(r.reportedAt) >= peerReadTimeout {
			continue
		}
		reporting++
		respondedAt, ok := r.respondedAt[t]
		found = found || ok && now.Sub(respondedAt) < maxReadAge && rank(t.Name(), peer) < rank(t.Name(), self)
	}
	return found && reporting >= minSharedReadInstances
}

// relaysTable reports whether the entry instance self is the one of its data centre that
// relays a table between data centres: the one with the lowest rank of those that report.
// shared is false if there are too few of them to share what one has got.
func relaysTable(self string, t catalog.Table, reads map[string]peerRead, now time.Time) (relays, shared bool) {
	relays, reporting := true, 1
	for peer, r := range reads {
		if now.Sub(r.reportedAt) >= peerReadTimeout {
			continue
		}
		reporting++
		relays = relays && rank(t.Name(), self) < rank(t.Name(), peer)
	}
	return relays, reporting >= minSharedReadInstances
}

// SendChanges sends changes that this entry instance has read from the store to the
// others of its data centre, if they are enough to share their reads. A peer whose
// queue is full misses them and reads the store itself.
func (x *Exchange) SendChanges(t catalog.Table, c catalog.RowChanges) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.sharesReads() {
		return
	}
	for queue, addr := range x.changeQueues {
		if x.known[addr] != x.cfg.Self.DataCentre {
			continue
		}
		select {
		case queue <- frame.TableChanges{Table: t, Changes: c}:
		default:
			x.metrics.changesDropped.Inc(1)
		}
	}
}

// sharesReads reports whether there are enough entry instances in this data centre to
// share their reads. x.mu must be held.
func (x *Exchange) sharesReads() bool {
	count := 1
	for _, dataCentre := range x.known {
		if dataCentre == x.cfg.Self.DataCentre {
			count++
		}
	}
	return count >= minSharedReadInstances
}

// addChangeQueue returns a new queue for the peer at addr that receives the changes of
// SendChanges.
func (x *Exchange) addChangeQueue(addr string) chan frame.TableChanges {
	queue := make(chan frame.TableChanges, changeQueueLength)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.changeQueues[queue] = addr
	return queue
}

// removeChangeQueue removes a queue.
func (x *Exchange) removeChangeQueue(queue chan frame.TableChanges) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.changeQueues, queue)
}
