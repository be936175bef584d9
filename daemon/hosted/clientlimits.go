package hosted

import (
	"sync"
	"time"

	"github.com/rattanway/rattanway/version/catalog"
)

// Limits of client connections where the operators declare none, and bounds of those that
// they declare.
const (
	clientHeaderTimeout  = 5 * time.Second
	maxHeaderTimeout     = time.Minute
	clientIdleTimeout    = 30 * time.Second
	maxIdleTimeout       = time.Hour
	maxClientHeaderBytes = 64 << 10
)

// limitMargin is added to declared time limits. A client counts from when it received the
// response, and its next request takes time to arrive.
const limitMargin = 2 * time.Second

// limitHistory holds a limit and, for a time after each change, the limits before it: some
// clients still go by these. Until the first call of set, it holds the largest limit
// possible. It is not safe for concurrent use.
type limitHistory struct {
	current time.Duration
	// earlier holds larger limits than current, the largest first. Each is valid for a
	// longer time than the one before it.
	earlier []earlierLimit
}

// earlierLimit is a limit that was replaced; clients may go by it until validUntil.
type earlierLimit struct {
	limit      time.Duration
	validUntil time.Time
}

// maxEarlierLimits bounds the memory for changes of a limit.
const maxEarlierLimits = 16

// set replaces the limit at now. Clients may go by the limit before until now+settle.
func (h *limitHistory) set(limit time.Duration, now time.Time, settle time.Duration) {
	if limit == h.current {
		return
	}
	h.drop(h.current)
	h.earlier = append(h.earlier, earlierLimit{h.current, now.Add(settle)})
	h.drop(limit)
	h.current = limit
	if len(h.earlier) > maxEarlierLimits {
		h.earlier[1].limit = h.earlier[0].limit
		h.earlier = h.earlier[1:]
	}
}

// drop removes the earlier limits that are not larger than limit.
func (h *limitHistory) drop(limit time.Duration) {
	for n := len(h.earlier); n > 0 && h.earlier[n-1].limit <= limit; n-- {
		h.earlier = h.earlier[:n-1]
	}
}

// largest returns the largest limit by which a client may go since the given time.
func (h *limitHistory) largest(since time.Time) time.Duration {
	for _, e := range h.earlier {
		if !since.After(e.validUntil) {
			return e.limit
		}
	}
	return h.current
}

// clientLimits decides how long clients may take. It is safe for concurrent use.
type clientLimits struct {
	// settle is the time after a change of the limits for which clients may go by those
	// before it.
	settle time.Duration

	mu           sync.Mutex
	idle, header limitHistory
}

// newClientLimits returns the limits of a process that does not know the declared ones yet.
func newClientLimits(settle time.Duration) *clientLimits {
	return &clientLimits{
		settle: settle,
		idle:   limitHistory{current: maxIdleTimeout + limitMargin},
		header: limitHistory{current: maxHeaderTimeout + limitMargin},
	}
}

// set puts the declared limits in force. It reports whether they differ from those before.
func (l *clientLimits) set(declared catalog.Limits, now time.Time) bool {
	idle := appliedTimeout(declared.IdleTimeout, clientIdleTimeout, maxIdleTimeout)
	header := appliedTimeout(declared.HeaderTimeout, clientHeaderTimeout, maxHeaderTimeout)
	l.mu.Lock()
	defer l.mu.Unlock()
	if idle == l.idle.current && header == l.header.current {
		return false
	}
	l.idle.set(idle, now, l.settle)
	l.header.set(header, now, l.settle)
	return true
}

// appliedTimeout returns the time limit to apply for a declared one. A declared limit that
// is not positive counts as none.
func appliedTimeout(declared, byDefault, most time.Duration) time.Duration {
	if declared <= 0 {
		return byDefault
	}
	return min(declared, most) + limitMargin
}

// idleUntil returns until when a connection may stay idle that is idle since the given time.
func (l *clientLimits) idleUntil(since time.Time) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return since.Add(l.idle.largest(since))
}

// headUntil returns until when the head of a request must have arrived whose first byte
// arrived at the given time.
func (l *clientLimits) headUntil(since time.Time) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return since.Add(l.header.largest(since))
}
