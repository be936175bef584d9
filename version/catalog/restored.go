package catalog

import (
	"bytes"
	"time"

	"github.com/rattanway/rattanway/process/eventlog"
)

// maxCopyAge is how long a server that has left is remembered. The copies from which a
// store comes back are some seconds old.
const maxCopyAge = time.Minute

// goneServer is a server that is no longer listed.
type goneServer struct {
	boot string
	at   time.Time
}

// enterEra prepares the table for the content of a newer era. The store has been away
// for a moment, even if no call has failed: the servers of which its copy knows nothing
// write their rows again. The caller must hold f.mu.
func (f *Follower) enterEra(content TableContent, now time.Time) {
	f.log.Event(eventStoreRestored, eventlog.Fields{
		"table": f.table.Name(), "era": content.Era, "before": f.era,
		"revision": content.ChangeRevision, "revisionBefore": f.changeRevision,
	})
	f.changeRevision = 0
	f.restoredAt, f.outage = now, 0
}

// recordGone remembers the servers that changes remove. The caller must hold f.mu.
func (f *Follower) recordGone(changes []Change, now time.Time) {
	for _, c := range changes {
		if c.Server == nil {
			continue
		}
		if !c.Removed {
			delete(f.gone, c.Server.ID)
		} else if server := f.holder.Current().Servers[c.Server.ID]; server != nil {
			f.gone[server.ID] = goneServer{server.Boot(), now}
		}
	}
	for id, server := range f.gone {
		if now.Sub(server.at) >= maxCopyAge {
			delete(f.gone, id)
		}
	}
}

// recordUnlisted remembers the servers whose rows were in old and are in the table no
// more. The caller must hold f.mu.
func (f *Follower) recordUnlisted(old map[string]Row, now time.Time) {
	var removed []Change
	for key := range old {
		_, listed := f.rows[key]
		_, missing := f.missingRows[key]
		if f.table == TableServers && !listed && !missing {
			removed = append(removed, Change{Server: &Server{ID: key}, Removed: true})
		}
	}
	f.recordGone(removed, now)
}

// holdBack makes the server in c count as leaving until the end of the grace period, or
// until its row changes, if the same boot of it had left, or announced that, before the
// store came back: its row is then the one of the copy. Servers write their rows again
// within the grace period. The caller must hold f.mu.
func (f *Follower) holdBack(c *Change, r Row) {
	if c.Server == nil || c.Removed || c.Server.Leaving {
		return
	}
	boot := c.Server.Boot()
	listed := f.holder.Current().Servers[r.Key]
	if f.gone[r.Key].boot == boot || listed != nil && listed.Leaving && listed.Boot() == boot {
		c.Server.Leaving = true
		f.heldBack[r.Key] = r
	}
}

// releaseHeldBack returns the changes that list the servers that were held back and have
// not changed since, and forgets them. The caller must hold f.mu.
func (f *Follower) releaseHeldBack(now time.Time) []Change {
	var changes []Change
	for key, r := range f.heldBack {
		if c, ok := f.decode(r, now); ok && bytes.Equal(f.rows[key].Value, r.Value) {
			changes = append(changes, c)
		}
		delete(f.heldBack, key)
	}
	return changes
}

// awaitsGraceEnd reports whether something changes at the end of the grace period. The
// caller must hold f.mu.
func (f *Follower) awaitsGraceEnd() bool { return len(f.missingRows)+len(f.heldBack) > 0 }

// keepMissing returns the changes that keep what missingRows describe in the catalogue.
// The caller must hold f.mu.
func (f *Follower) keepMissing(now time.Time) []Change {
	var changes []Change
	for key, r := range f.missingRows {
		if server := f.holder.Current().Servers[key]; server != nil && f.table == TableServers {
			changes = append(changes, Change{Server: server})
		} else if c, ok := f.decode(r, now); ok && c.DataCentreOut != "" {
			changes = append(changes, c)
		}
	}
	return changes
}

// endGrace returns the changes that are due because the grace period has ended, for all rows
// or for the servers of some data centres, and forgets these rows. The caller must hold f.mu.
func (f *Follower) endGrace(now time.Time) []Change {
	var changes []Change
	for key := range f.missingRows {
		if f.inGracePeriod(f.dataCentreOf(key), now) {
			continue
		}
		if c, ok := f.decode(Row{Key: key, Deleted: true}, now); ok {
			changes = append(changes, c)
		}
		delete(f.missingRows, key)
	}
	if f.inGracePeriod("", now) {
		return changes
	}
	return append(changes, f.releaseHeldBack(now)...)
}

// dataCentreOf returns the data centre of a listed server; it is empty for other rows.
func (f *Follower) dataCentreOf(key string) string {
	if server := f.holder.Current().Servers[key]; server != nil && f.table == TableServers {
		return server.DataCentre
	}
	return ""
}

// inGracePeriod reports whether a row may be missing only because of an outage of the
// store: the store is unavailable, became available again less than missingGracePeriod
// ago, or has come back from a copy since then. Only the last is true of tables other
// than TableServers: their rows do not lapse. Rows of servers in dataCentre do not lapse in an
// outage of this process alone, or in one that was too short; without a data centre, the
// contacts of peers do not count. The caller must hold f.mu.
func (f *Follower) inGracePeriod(dataCentre string, now time.Time) bool {
	if f.table == TableServers && f.unavailable {
		return f.contacts.mayHaveBeenAway(dataCentre, f.lastResponseAt, now, f.lapseTime())
	}
	return !f.restoredAt.IsZero() && now.Sub(f.restoredAt) < missingGracePeriod && f.mayHaveLapsed(dataCentre, f.restoredAt, f.outage)
}

// mayHaveLapsed reports whether rows of live servers in a data centre may have lapsed in an
// outage that ended at end; 0 is the length of one that is not known. The caller must hold f.mu.
func (f *Follower) mayHaveLapsed(dataCentre string, end time.Time, outage time.Duration) bool {
	return outage == 0 || f.contacts.mayHaveBeenAway(dataCentre, end.Add(-outage), end, f.lapseTime())
}

// recordMissingRow records a row that is gone, and what it describes stays in the
// catalogue until the end of the grace period. The caller must hold f.mu.
func (f *Follower) recordMissingRow(r Row) {
	if r.Key != "" {
		f.missingRows[r.Key] = r
	}
}
