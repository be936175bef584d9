package dispatch

import (
	"math"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/rattanway/rattanway/connection/exchange"
	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/process/eventlog"
	"github.com/rattanway/rattanway/version/catalog"
)

const (
	// minLimitWindow and maxLimitWindow bound the period over which requests are counted
	// towards a limit. A short period keeps the requests apart in time; a longer one
	// lets each of many entry instances have a share.
	minLimitWindow = time.Second
	maxLimitWindow = 4 * time.Second
	// limitRefresh is the time after which a limit that a server still names is reported
	// to other entry instances again.
	limitRefresh = 4 * time.Second
	// limitMemory is how long a limit holds that no response confirms. After that it
	// doubles with each limitMemory, so that a server from which nothing is heard gets
	// more requests again, but not all at once.
	limitMemory = 15 * time.Second
	// minAgingLimit is the least limit per second that doubles.
	minAgingLimit = 0.25
	// maxRequestLimit is the largest limit per second; a larger one is no limit.
	maxRequestLimit = 1e6
	// maxLimitAge is the age at which every limit has doubled beyond maxRequestLimit.
	maxLimitAge = 6 * time.Minute
	// maxServerIDLength is the longest ID of a server in a peer's report, in bytes.
	maxServerIDLength = 128
)

var eventRequestLimit = eventlog.Define(548, "server-limit", logrus.InfoLevel,
	"A server names a limit of the requests per second that it takes from all entry instances together, names another one than before, or names none any more. The field near is missing if this entry instance got the response, and tells otherwise whether another one of this data centre did.")

// requestLimit is the limit of requests that a server names in its responses.
type requestLimit struct {
	// boot is the boot of the server that names the limit; empty before the first one.
	boot string
	// limited is false if the server names none. perSecond is the number of requests
	// per second.
	limited   bool
	perSecond float64
	// namedAt is the time of the response that named it, and reportedAt that of the one
	// that was last reported to other entry instances.
	namedAt, reportedAt time.Time
	changeMark
}

// update applies what a boot of a server named at time at, unless a later response is
// known. changed is true if other entry instances must learn it, and differs if the
// limit is another one than before.
func (l *requestLimit) update(boot string, limited bool, perSecond float64, at time.Time) (changed, differs bool) {
	if l.boot == boot && !at.After(l.namedAt) || l.boot != boot && !limited {
		return false, false
	}
	differs = l.boot != boot || l.limited != limited || limited && l.perSecond != perSecond
	l.boot, l.limited, l.perSecond, l.namedAt = boot, limited, perSecond, at
	changed = differs || limited && at.Sub(l.reportedAt) >= limitRefresh
	if changed {
		l.reportedAt = at
	}
	return changed, differs
}

// rate returns the number of requests per second that a boot of a server takes at time
// now, and whether it is limited.
func (l *requestLimit) rate(boot string, now time.Time) (float64, bool) {
	if !l.limited || l.boot != boot {
		return 0, false
	}
	periods := math.Floor(now.Sub(l.namedAt).Seconds() / limitMemory.Seconds())
	if periods <= 0 {
		return l.perSecond, true
	}
	rate := max(minAgingLimit, l.perSecond) * math.Exp2(periods)
	return rate, rate < maxRequestLimit
}

// limitWindow returns the period over which each of count entry instances counts its
// requests to a server with a limit: as long as one request of each takes at this
// limit, within the bounds.
func limitWindow(perSecond float64, count int) time.Duration {
	window := maxLimitWindow.Seconds()
	if perSecond > 0 {
		window = min(window, float64(count)/perSecond)
	}
	return max(minLimitWindow, time.Duration(window*float64(time.Second)))
}

// limitAllows reports whether this entry instance may send one more request to a server
// at time now, as far as a limit that the server names is concerned. The caller holds
// s.mu.
func (s *Scheduler) limitAllows(st *serverState, server *catalog.Server, now time.Time) bool {
	if !st.requestLimit.limited {
		return true
	}
	rate, limited := st.requestLimit.rate(server.Boot(), now)
	count := s.knownEntryInstanceCount()
	return !limited || st.limitRateLimiter.Allows(now, limitWindow(rate, count), rate, count, s.shareRankAt(server))
}

// shareRankAt returns the rank of this entry instance at a server. The caller holds
// s.mu.
func (s *Scheduler) shareRankAt(server *catalog.Server) float64 {
	return shareRank(server.ID, s.listedPlace)
}

// RecordLimit records the limit of requests per second that a server names in a
// response; limited is false if it names none.
func (s *Scheduler) RecordLimit(server *catalog.Server, perSecond float64, limited bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	limited = limited && perSecond <= maxRequestLimit
	if !limited {
		perSecond = 0
	}
	s.updateLimit(server, limited, perSecond, s.clock.Now(), observedHere)
}

// updateLimit applies a limit that o has observed. The caller holds s.mu.
func (s *Scheduler) updateLimit(server *catalog.Server, limited bool, perSecond float64, at time.Time, o observer) {
	l := &s.stateOf(server.ID).requestLimit
	changed, differs := l.update(server.Boot(), limited, perSecond, at)
	if changed {
		s.changes.mark(&l.changeMark, o)
	}
	if !differs {
		return
	}
	f := eventlog.Fields{"server": server.ID, "limited": limited, "perSecond": perSecond}
	if o != observedHere {
		f["near"] = o == observedNear
	}
	s.cfg.Log.Event(eventRequestLimit, f)
}

// changedLimits returns the limits that have changed since the change with number
// since, for peers. The caller holds s.mu.
func (s *Scheduler) changedLimits(since uint64, scope exchange.EvidenceScope, now time.Time) []frame.RequestLimit {
	var changed []frame.RequestLimit
	for id, st := range s.servers {
		if l := &st.requestLimit; l.lastChange(scope) > since && now.Sub(l.namedAt) <= maxLimitAge {
			changed = append(changed, frame.RequestLimit{
				Server: id, Boot: l.boot, Limited: l.limited, PerSecond: l.perSecond, AgeMs: now.Sub(l.namedAt).Milliseconds(),
			})
		}
	}
	return changed
}

// mergeLimits applies the limits that o reports. It ignores those of servers that are
// not listed here. The error names the first invalid value. The caller holds s.mu.
func (s *Scheduler) mergeLimits(limits []frame.RequestLimit, o observer, now time.Time) error {
	listed := s.holder.Current().Servers
	var invalid error
	for _, l := range limits {
		if err := checkRequestLimit(l); err != nil {
			invalid = err
			continue
		}
		if server := listed[l.Server]; server != nil && server.Boot() == l.Boot {
			s.updateLimit(server, l.Limited, l.PerSecond, now.Add(-time.Duration(l.AgeMs)*time.Millisecond), o)
		}
	}
	return invalid
}

// checkRequestLimit returns an error that names the first invalid value of a limit that
// a peer has reported.
func checkRequestLimit(l frame.RequestLimit) error {
	switch {
	case l.Server == "" || len(l.Server) > maxServerIDLength:
		return errors.Errorf("ID of a server with a limit has %d bytes, allowed are 1 to %d", len(l.Server), maxServerIDLength)
	case !(l.PerSecond >= 0 && l.PerSecond <= maxRequestLimit):
		return errors.Errorf("limit of server %q is %v requests per second, allowed are 0 to %v", l.Server, l.PerSecond, maxRequestLimit)
	case l.AgeMs < 0 || l.AgeMs > maxLimitAge.Milliseconds():
		return errors.Errorf("limit of server %q was named %d ms ago, allowed are 0 to %d", l.Server, l.AgeMs, maxLimitAge.Milliseconds())
	}
	return nil
}
