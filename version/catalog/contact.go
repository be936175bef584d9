package catalog

import (
	"slices"
	"time"
)

// contact is a period in which the store responded to one process, with no pause in which
// the rows of live servers could lapse.
type contact struct{ from, until time.Time }

const (
	// maxOwnContacts is the number of the last contacts of this process that a Follower
	// remembers, and maxPeerChanges that of the last changes of peers that arrived.
	maxOwnContacts = 4
	maxPeerChanges = 16
)

// storeContacts holds when the store responded to this process or to peers.
type storeContacts struct {
	// own are the last contacts of this process, oldest first.
	own []contact
	// changes are the moments at which changes that peers have read arrived here, oldest first.
	changes []contact
	// peers are the contacts that entry instances report, by the name of the source.
	peers map[string]peerContact
}

// peerContact is the contact of an entry instance in a data centre.
type peerContact struct {
	contact
	dataCentre string
}

// addOwn records a response at time now to a call that began at begunAt. It continues the last
// contact unless a pause of limit lies between them.
func (c *storeContacts) addOwn(begunAt, now time.Time, limit time.Duration) {
	if last := len(c.own) - 1; last >= 0 && begunAt.Sub(c.own[last].until) < limit {
		c.own[last].until = now
		return
	}
	c.own = appendBounded(c.own, contact{begunAt, now}, maxOwnContacts)
}

// addChange records that changes that a peer has just read from the store arrived at time now.
func (c *storeContacts) addChange(now time.Time) {
	c.changes = appendBounded(c.changes, contact{now, now}, maxPeerChanges)
}

// appendBounded appends k, and drops the first contact if there are more than bound.
func appendBounded(all []contact, k contact, bound int) []contact {
	if len(all) == bound {
		copy(all, all[1:])
		all = all[:bound-1]
	}
	return append(all, k)
}

// addPeer records the contact that source reports.
func (c *storeContacts) addPeer(source string, k peerContact) {
	if c.peers == nil {
		c.peers = map[string]peerContact{}
	}
	c.peers[source] = k
	for other, old := range c.peers {
		if k.until.Sub(old.until) >= maxCopyAge {
			delete(c.peers, other)
		}
	}
}

// last returns the last contact of this process; zero if there was none.
func (c *storeContacts) last() contact {
	if len(c.own) == 0 {
		return contact{}
	}
	return c.own[len(c.own)-1]
}

// mayHaveBeenAway reports whether between from and to there may have been a time of limit or
// more in which the store could not be reached from a data centre: in which it responded neither
// to this process nor to an entry instance there.
func (c *storeContacts) mayHaveBeenAway(dataCentre string, from, to time.Time, limit time.Duration) bool {
	all := slices.Concat(c.own, c.changes)
	for _, k := range c.peers {
		if k.dataCentre == dataCentre {
			all = append(all, k.contact)
		}
	}
	slices.SortFunc(all, func(a, b contact) int { return a.from.Compare(b.from) })
	for _, k := range all {
		if k.from.Sub(from) >= limit {
			break
		}
		if k.until.After(from) {
			from = k.until
		}
	}
	return to.Sub(from) >= limit
}

// contactMargin is the age that a response may have when it is recorded.
const contactMargin = 200 * time.Millisecond

// during reports whether the store responded here or to a reader of this data centre within an
// outage that a peer saw, which lasted for d and ended at end. Only the peer was cut off from the
// store then. One response suffices: a Follower that relies on a peer knows only the moments of
// changes.
func (c *storeContacts) during(end time.Time, d time.Duration) bool {
	return slices.ContainsFunc(slices.Concat(c.own, c.changes), func(k contact) bool {
		return k.until.After(end.Add(contactMargin-d)) && k.until.Before(end)
	})
}

// defaultServerHeartbeat is the time between two writes of a live server to the store where the
// settings name none.
const defaultServerHeartbeat = 1200 * time.Millisecond

// SetServerHeartbeat sets the time between two writes of a live server to the store. The row of
// a server lapses after three of them without a write. It must be called before Run.
func (f *Follower) SetServerHeartbeat(d time.Duration) {
	if d > 0 {
		f.serverHeartbeat = d
	}
}

// lapseTime returns the shortest time for which the store must be away before rows of live
// servers lapse: the last write may be one heartbeat old by then.
func (f *Follower) lapseTime() time.Duration { return 2 * f.serverHeartbeat }

// Contact returns since when the store has responded to this process without a pause in which
// rows could lapse, and the time of its last response. ok is false if the store does not
// respond, or if the Follower relies on a peer.
func (f *Follower) Contact() (from, until time.Time, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	last := f.contacts.last()
	return last.from, last.until, !f.unavailable && !f.idle && f.changeRevision > 0
}

// ObserveContact records that the store responded to another entry instance, in the given data
// centre, from the time from until the time until. Rows of servers there that were deleted
// meanwhile did not lapse, so that the servers are removed at once.
func (f *Follower) ObserveContact(source, dataCentre string, from, until time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.contacts.addPeer(source, peerContact{contact{from, until}, dataCentre})
	if !f.awaitsGraceEnd() {
		return
	}
	now := f.clock.Now()
	if changes := f.endGrace(now); len(changes) > 0 {
		f.recordGone(changes, now)
		f.holder.Apply(changes, false, f.table == TableServers, now)
	}
}
