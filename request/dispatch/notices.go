package dispatch

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/rattanway/rattanway/process/eventlog"
	"github.com/rattanway/rattanway/version/catalog"
)

const (
	// noticeMemory is how long a notice of a server is kept that is not listed.
	noticeMemory = time.Hour
	// maxUnlistedNotices limits the number of these notices.
	maxUnlistedNotices = 1024
)

var eventServerLeaving = eventlog.Define(554, "server-leaving", logrus.InfoLevel,
	"A server says in a response that it will stop: this entry instance sends it no further requests until it has started again, whatever the list of servers says.")

// bootKey identifies one start of a server, like [catalog.Server.Boot].
type bootKey struct {
	id          string
	startUnixMs int64
}

func bootKeyOf(server *catalog.Server) bootKey { return bootKey{server.ID, server.StartUnixMs} }

// serverNotice is what one boot of a server has said in its responses about further
// requests.
type serverNotice struct {
	// leaving is true once the server has said that it will stop.
	leaving bool
	// pausedUntil is the end of the pause that the server has asked for last; zero if
	// it has not.
	pausedUntil time.Time
	// listedAt is when the boot was last known to be listed.
	listedAt time.Time
}

// serverNotices holds the notices of servers. A notice outlives the entry in the list,
// because a server that is not listed for a while, or that an older copy of the list
// contains, has not changed its mind.
type serverNotices struct{ byBoot map[bootKey]*serverNotice }

func newServerNotices() *serverNotices {
	return &serverNotices{byBoot: map[bootKey]*serverNotice{}}
}

// leaving reports whether a server has said that it will stop.
func (n *serverNotices) leaving(server *catalog.Server) bool {
	notice, ok := n.byBoot[bootKeyOf(server)]
	return ok && notice.leaving
}

// of returns the notice of a server, and creates it if there is none.
func (n *serverNotices) of(server *catalog.Server, now time.Time) *serverNotice {
	notice, ok := n.byBoot[bootKeyOf(server)]
	if !ok {
		notice = &serverNotice{listedAt: now}
		n.byBoot[bootKeyOf(server)] = notice
	}
	return notice
}

// prune removes the notices that have no effect any more, those of servers that have
// not been listed for noticeMemory, and the oldest of the other servers that are not
// listed, beyond maxUnlistedNotices.
func (n *serverNotices) prune(listed map[string]*catalog.Server, now time.Time) {
	var unlisted []bootKey
	for key, notice := range n.byBoot {
		server := listed[key.id]
		isListed := server != nil && bootKeyOf(server) == key
		switch {
		case !notice.leaving && now.Sub(notice.pausedUntil) >= pauseSpread:
			delete(n.byBoot, key)
		case isListed:
			notice.listedAt = now
		case now.Sub(notice.listedAt) >= noticeMemory:
			delete(n.byBoot, key)
		default:
			unlisted = append(unlisted, key)
		}
	}
	if len(unlisted) <= maxUnlistedNotices {
		return
	}
	slices.SortFunc(unlisted, func(a, b bootKey) int { return n.byBoot[a].listedAt.Compare(n.byBoot[b].listedAt) })
	for _, key := range unlisted[:len(unlisted)-maxUnlistedNotices] {
		delete(n.byBoot, key)
	}
}

// RecordLeaving records that a server has said in a response that it will stop.
func (s *Scheduler) RecordLeaving(server *catalog.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	notice := s.notices.of(server, now)
	if notice.leaving {
		return
	}
	notice.leaving = true
	s.cfg.Log.Event(eventServerLeaving, eventlog.Fields{
		"server": server.ID, "addr": server.Addr, "boot": server.Boot(), "listedAsLeaving": server.Leaving,
	})
	s.refusePaused(now)
}
