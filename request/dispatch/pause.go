package dispatch

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/rattanway/rattanway/process/eventlog"
	"github.com/rattanway/rattanway/version/catalog"
)

// ErrPaused is returned when every server that can run the request has asked for a pause
// that lasts longer than the request may wait.
var ErrPaused = errors.New("every server has asked for a pause")

const (
	// maxPause is the longest pause that a server can ask for.
	maxPause = time.Hour
	// pauseSpread is the time after the end of a pause within which entry instances
	// that were told the same end send requests again, one after the other.
	pauseSpread = 50 * time.Millisecond
	// pauseJitterShare times the rest of a pause, but at least retryAfterJitter and at
	// most maxPauseJitter, is the period over which clients that wait for its end come
	// back.
	pauseJitterShare = 0.1
	maxPauseJitter   = time.Second
)

var eventServerPaused = eventlog.Define(555, "server-paused", logrus.InfoLevel,
	"A server turns a request away and asks for a pause: this entry instance sends it no request until the pause is over. The field pauseMs gives its length. Further pauses that begin within this one are not logged.")

// RecordPause records that a server has turned a request away and wants none from this
// entry instance for d. It replaces an earlier pause.
func (s *Scheduler) RecordPause(server *catalog.Server, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	notice := s.notices.of(server, now)
	begins := !now.Before(notice.pausedUntil)
	notice.pausedUntil = now.Add(min(d, maxPause))
	if begins {
		s.cfg.Log.Event(eventServerPaused, eventlog.Fields{
			"server": server.ID, "addr": server.Addr, "boot": server.Boot(), "pauseMs": min(d, maxPause).Milliseconds(),
		})
	}
	s.refusePaused(now)
}

// MaySend reports whether the server of a slot still wants the request, for which the
// slot was assigned a moment ago.
func (s *Scheduler) MaySend(slot Slot) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.notices.leaving(slot.Server) && s.pauseEnd(slot.Server, s.clock.Now()).IsZero()
}

// pauseEnd returns when this entry instance may send requests to a server again, or zero
// if the server is not paused at time now. The caller holds s.mu.
func (s *Scheduler) pauseEnd(server *catalog.Server, now time.Time) time.Time {
	notice, ok := s.notices.byBoot[bootKeyOf(server)]
	if !ok || now.Sub(notice.pausedUntil) >= pauseSpread {
		return time.Time{}
	}
	end := notice.pausedUntil
	if s.knownEntryInstanceCount() > 1 {
		end = end.Add(time.Duration(s.shareRankAt(server) * float64(pauseSpread)))
	}
	if !now.Before(end) {
		return time.Time{}
	}
	return end
}

// earliestPauseEnd returns the earliest end of the candidates' pauses. It returns false
// unless all of them are paused.
func earliestPauseEnd(all []Candidate) (time.Time, bool) {
	var earliest time.Time
	for i := range all {
		end := all[i].PausedUntil
		if end.IsZero() {
			return time.Time{}, false
		}
		if i == 0 || end.Before(earliest) {
			earliest = end
		}
	}
	return earliest, len(all) > 0
}

// servedFrom returns the time before which no server can run the request, because all
// that can are paused. It returns false if there is another server, or one that only
// lacks the weights and is worth a wait; see mayGetServer. The caller holds s.mu.
func (s *Scheduler) servedFrom(req *Request) (time.Time, bool) {
	end, paused := earliestPauseEnd(s.candidates(req))
	if !paused || req.MaxRetryWait <= 0 {
		return end, paused
	}
	snapshot, now := s.holder.Current(), s.clock.Now()
	return end, !slices.ContainsFunc(snapshot.ServersOf(req.Service), func(server *catalog.Server) bool {
		return s.allowed(server, req, snapshot) && s.pauseEnd(server, now).IsZero()
	})
}

// pausedBeyond reports whether no server can run the request until after the given time,
// because all that can are paused. The caller holds s.mu.
func (s *Scheduler) pausedBeyond(req *Request, until time.Time) bool {
	end, paused := s.servedFrom(req)
	return paused && end.After(until)
}

// refusePaused refuses the waiting requests whose wait ends before a server can run
// them. The caller holds s.mu.
func (s *Scheduler) refusePaused(now time.Time) {
	type pause struct {
		end    time.Time
		paused bool
	}
	known := map[requirements]pause{}
	s.waiting = slices.DeleteFunc(s.waiting, func(w *waiter) bool {
		if !w.waitsUntil.After(now) {
			return false
		}
		needs, shared := w.request.requirements()
		p, ok := known[needs]
		if !ok || !shared {
			p.end, p.paused = s.servedFrom(w.request)
			if shared {
				known[needs] = p
			}
		}
		refused := p.paused && p.end.After(w.waitsUntil)
		if refused {
			close(w.paused)
		}
		return refused
	})
}

// RetryAfter returns the Retry-After value for a client whose request is refused because
// of err. If every server that can run the request is paused, also those that it has
// tried, it follows the earliest end of the pauses.
func (s *Scheduler) RetryAfter(req *Request, err error) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retryAfter(req, err, rand.Float64())
}

// retryAfter is RetryAfter with a random number in [0, 1). The caller holds s.mu.
func (s *Scheduler) retryAfter(req *Request, err error, random float64) time.Duration {
	if errors.Is(err, ErrQuarantined) {
		return max(s.quarantine.heldFor(req.PromptParts, s.clock.Now()), RetryAfter(err, random))
	}
	fresh := *req
	fresh.TriedServers = nil
	if end, paused := earliestPauseEnd(s.candidates(&fresh)); paused {
		return RetryAfterPause(end.Sub(s.clock.Now()), random)
	}
	if u := s.urgencyOf(req.Service); u != nil && errors.Is(err, ErrFull) {
		return s.retryAfterBusy(u, req, random)
	}
	return RetryAfter(err, random)
}

// RetryAfterPause returns the Retry-After value for a request that was refused because
// every server is paused, the first of them for another d. random is a random number in
// [0, 1).
func RetryAfterPause(d time.Duration, random float64) time.Duration {
	jitter := min(maxPauseJitter, max(retryAfterJitter, time.Duration(pauseJitterShare*float64(d))))
	return d + time.Duration(random*float64(jitter))
}
