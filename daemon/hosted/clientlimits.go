package hosted

import (
	"cmp"
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
	leastMaxHeaderBytes  = 4 << 10
	mostMaxHeaderBytes   = 256 << 10
)

// limitMargin is added to declared time limits. A client counts from when it received the
// response, and its next request takes time to arrive.
const limitMargin = 2 * time.Second

// limitHistory holds a limit and, for a time after each change, the limits before it: some
// clients still go by these. Until the first call of set, it holds the largest limit
// possible. It is not safe for concurrent use.
type limitHistory[T cmp.Ordered] struct {
	current T
	// earlier holds larger limits than current, the largest first. Each is valid for a
	// longer time than the one before it.
	earlier []earlierLimit[T]
}

// earlierLimit is a limit that was replaced; clients may go by it until validUntil.
type earlierLimit[T cmp.Ordered] struct {
	limit      T
	validUntil time.Time
}

// maxEarlierLimits bounds the memory for changes of a limit.
const maxEarlierLimits = 16

// set replaces the limit at now. Clients may go by the limit before until now+settle.
func (h *limitHistory[T]) set(limit T, now time.Time, settle time.Duration) {
	if limit == h.current {
		return
	}
	h.drop(h.current)
	h.earlier = append(h.earlier, earlierLimit[T]{h.current, now.Add(settle)})
	h.drop(limit)
	h.current = limit
	if len(h.earlier) > maxEarlierLimits {
		h.earlier[1].limit = h.earlier[0].limit
		h.earlier = h.earlier[1:]
	}
}

// drop removes the earlier limits that are not larger than limit.
func (h *limitHistory[T]) drop(limit T) {
	for n := len(h.earlier); n > 0 && h.earlier[n-1].limit <= limit; n-- {
		h.earlier = h.earlier[:n-1]
	}
}

// largest returns the largest limit by which a client may go since the given time.
func (h *limitHistory[T]) largest(since time.Time) T {
	for _, e := range h.earlier {
		if !since.After(e.validUntil) {
			return e.limit
		}
	}
	return h.current
}

// clientLimits decides how long clients may take, and how large the head of a request may
// be. It is safe for concurrent use.
type clientLimits struct {
	// settle is the time after a change of the limits for which clients may go by those
	// before it.
	settle time.Duration

	mu           sync.Mutex
	idle, header limitHistory[time.Duration]
	headBytes    limitHistory[int64]
}

// newClientLimits returns the limits of a process that does not know the declared ones yet.
func newClientLimits(settle time.Duration) *clientLimits {
	return &clientLimits{
		settle:    settle,
		idle:      limitHistory[time.Duration]{current: maxIdleTimeout + limitMargin},
		header:    limitHistory[time.Duration]{current: maxHeaderTimeout + limitMargin},
		headBytes: limitHistory[int64]{current: mostMaxHeaderBytes},
	}
}

// set puts the declared limits in force. It reports whether they differ from those before.
func (l *clientLimits) set(declared catalog.Limits, now time.Time) bool {
	idle := appliedTimeout(declared.IdleTimeout, clientIdleTimeout, maxIdleTimeout)
	header := appliedTimeout(declared.HeaderTimeout, clientHeaderTimeout, maxHeaderTimeout)
	headBytes := int64(maxClientHeaderBytes)
	if declared.MaxHeaderBytes > 0 {
		headBytes = max(leastMaxHeaderBytes, min(declared.MaxHeaderBytes, mostMaxHeaderBytes))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if idle == l.idle.current && header == l.header.current && headBytes == l.headBytes.current {
		return false
	}
	l.idle.set(idle, now, l.settle)
	l.header.set(header, now, l.settle)
	l.headBytes.set(headBytes, now, l.settle)
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

// maxHeadBytes returns how large the head of a request may be whose first byte arrived at
// the given time.
func (l *clientLimits) maxHeadBytes(since time.Time) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.headBytes.largest(since)
}
