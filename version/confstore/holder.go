// Package confstore publishes versions of the configuration through the
// platform's table and object store, and keeps their history. In each process a
// Follower reads new versions, and a Holder holds the current version.
package confstore

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/rattanway/rattanway/process/eventlog"
	"github.com/rattanway/rattanway/version/declare"
)

var eventInForce = eventlog.Define(206, "configuration-in-force", logrus.InfoLevel,
	"A newer configuration took effect in this process; the fields give its number and the number of the version before it.")

// maxRecentSnapshots is the maximum number of older snapshots that a Holder
// keeps. With these, peers that are a few versions behind get a delta instead of
// the full configuration.
const maxRecentSnapshots = 8

// Holder holds the current configuration of this process. Its version number never
// decreases. It is safe for concurrent use.
type Holder struct {
	clock clockwork.Clock
	log   *eventlog.Logger

	mu      sync.RWMutex
	current *declare.Snapshot
	// recentSnapshots holds up to maxRecentSnapshots snapshots before current,
	// oldest first.
	recentSnapshots []*declare.Snapshot
	// encodings holds the cached encodings of current. The key is the number of
	// the base version of a delta, or 0 for the full configuration.
	encodings map[uint64]EncodedVersion
	// confirmedAt is the latest time at which current is known to have been the
	// newest version.
	confirmedAt time.Time
	// changed is closed and replaced when current changes.
	changed chan struct{}
}

// NewHolder returns a Holder with the empty configuration, which is version 0.
func NewHolder() *Holder { return NewHolderWithClock(clockwork.NewRealClock()) }

// NewHolderWithClock is like NewHolder, but the Holder reads the time from clock.
func NewHolderWithClock(clock clockwork.Clock) *Holder {
	return &Holder{
		clock:     clock,
		log:       eventlog.Discard(),
		current:   &declare.Snapshot{Set: declare.NewSet()},
		encodings: map[uint64]EncodedVersion{},
		changed:   make(chan struct{}),
	}
}

// SetLogger makes the Holder log an event for each new current version. It must be
// called before the first use.
func (h *Holder) SetLogger(log *eventlog.Logger) { h.log = log }

// Current returns the current snapshot, which must not be changed.
func (h *Holder) Current() *declare.Snapshot {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.current
}

// Offer makes s the current snapshot if s is newer than the current snapshot. It
// reports whether s was newer.
func (h *Holder) Offer(s *declare.Snapshot) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s.Number <= h.current.Number {
		return false
	}
	h.log.Event(eventInForce, eventlog.Fields{
		"number": s.Number,
		"digest": s.Digest.Short(),
		"from":   h.current.Number,
	})
	h.recentSnapshots = append(h.recentSnapshots, h.current)
	if len(h.recentSnapshots) > maxRecentSnapshots {
		h.recentSnapshots = h.recentSnapshots[1:]
	}
	h.current = s
	h.encodings = map[uint64]EncodedVersion{}
	close(h.changed)
	h.changed = make(chan struct{})
	return true
}

// Changed returns a channel that is closed when the current snapshot changes.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.changed
}

// Confirm records that the platform or a peer had no newer version, according to
// its response to a request sent at requestedAt. The time of the request counts,
// because the response may have waited in a buffer while this process was paused.
func (h *Holder) Confirm(requestedAt time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if requestedAt.After(h.confirmedAt) {
		h.confirmedAt = requestedAt
	}
}

// RecordPeerVersion records that a peer's newest version is number, according to
// the peer's response to a request sent at requestedAt. It confirms the current
// version unless number is newer.
func (h *Holder) RecordPeerVersion(number uint64, requestedAt time.Time) {
	if number <= h.Current().Number {
		h.Confirm(requestedAt)
	}
}

// ConfirmationAge returns the time since the last confirmation of the current
// version, and false if there has been none.
func (h *Holder) ConfirmationAge() (time.Duration, bool) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	if h.confirmedAt.IsZero() {
		return 0, false
	}
	return elapsed(h.confirmedAt, h.clock.Now()), true
}

// ConfirmedWithin reports whether the last confirmation of the current version
// was at most d ago. Time in which the process was paused counts.
func (h *Holder) ConfirmedWithin(d time.Duration) bool {
	age, ok := h.ConfirmationAge()
	return ok && age <= d
}

// elapsed returns the time between from and to, measured by the monotonic clock
// and by the wall clock, whichever is longer. The wall clock is needed because
// the monotonic clock stops while the machine is suspended.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}
