package hosted

import (
	"cmp"
	"net/http"
	"slices"
	"sync"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/rattanway/rattanway/platform"
	"github.com/rattanway/rattanway/process/eventlog"
	"github.com/rattanway/rattanway/request/intake"
)

const (
	// fileFDs is the number of descriptors that the platform reserves for files.
	fileFDs = 200
	// connMemoryShare is the share of the machine's memory that connections of clients may
	// take, a quarter, and connMemoryBytes what one takes with a request in progress: 8 KiB of
	// buffers, the same for the connection to a server, stacks of three goroutines, the head.
	connMemoryShare = 4
	connMemoryBytes = 32 << 10
	// evictedShare is the share of the limit by which the number of connections is reduced
	// below it at once, so that not every new connection makes a search necessary.
	evictedShare = 64
	// maxOverLimit is by how many connections the limit may be exceeded for the few
	// milliseconds in which a connection that is closed may still send a request.
	maxOverLimit = 32
	// crowdEventInterval is the least time between two events about closed connections.
	crowdEventInterval = 10 * time.Second
	// smallHeadBytes is the size of a head up to which it does not count toward the budget of
	// the process. headMemoryFactor times its size is what a larger one takes: the HTTP server
	// holds it as lines and as a map.
	smallHeadBytes   = 8 << 10
	headMemoryFactor = 2
)

// memoryRefusal is the response to a request for whose head the budget has no room.
const memoryRefusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Type: text/plain; charset=utf-8\r\nRetry-After: 1\r\nConnection: close\r\n\r\nno memory for the head of the request\n"

// memoryBytes returns the memory of the machine; 0 if the settings do not tell it.
func memoryBytes(s *platform.Settings) int64 { return int64(s.Limits.MemoryMB * (1 << 20)) }

// connLimit returns how many connections of clients may be open on a machine with the given
// memory in bytes and number of descriptors; 0 for no limit. Unknown ones are 0. Half of the
// descriptors are for connections to servers, of which each request in progress has one, and
// for those between the processes of this system.
func connLimit(memoryBytes int64, fds int) int {
	limit := int(memoryBytes / connMemoryShare / connMemoryBytes)
	if fds > 0 {
		byFDs := max(1, (fds-fileFDs)/2-maxOverLimit)
		if limit == 0 || byFDs < limit {
			limit = byFDs
		}
	}
	return limit
}

// connCrowd limits the number of connections of clients and the memory for their heads.
type connCrowd struct {
	// maxConns is the number of connections above which some are closed; 0 for no limit.
	maxConns int
	// budget is the budget for large heads; nil for no limit.
	budget *intake.Budget
	// log may be nil.
	log    *eventlog.Logger
	closed gometrics.Counter

	mu sync.Mutex
	// loggedAt is when the last event about closed connections was written.
	loggedAt time.Time
}

// maxKept returns the number of connections above which connections are closed after their
// response.
func (c *connCrowd) maxKept() int {
	if c.maxConns == 0 {
		return maxKeptConns
	}
	return min(maxKeptConns, c.maxConns-c.maxConns/8)
}

// countToClose returns how many of the open connections are to be closed under the given limit,
// and whether that must happen without waiting for requests that may just arrive.
func countToClose(open, limit int) (count int, atOnce bool) {
	if limit <= 0 || open <= limit {
		return 0, false
	}
	return open - limit + limit/evictedShare, open > limit+maxOverLimit
}

// connAge tells since when a connection has sent no complete head of a request.
type connAge struct {
	conn  *clientConn
	since time.Time
}

// oldest returns the first n connections in the order in which they are closed: those that have
// gone longest without a complete head first. It answers clients that open connections and
// send nothing, or heads without end.
func oldest(conns []connAge, n int) []connAge {
	slices.SortFunc(conns, func(a, b connAge) int { return cmp.Compare(a.since.UnixNano(), b.since.UnixNano()) })
	return conns[:min(n, len(conns))]
}

// closeCrowd closes connections without a request if more are open than allowed. If all have
// requests in progress, the newest, which has none yet, is closed.
func (c *clientConns) closeCrowd() {
	open := c.total()
	count, atOnce := countToClose(open, c.crowd.maxConns)
	if count == 0 {
		return
	}
	var conns []connAge
	for _, state := range []http.ConnState{http.StateNew, http.StateIdle} {
		for _, conn := range c.inState(state) {
			if conn, ok := conn.(*clientConn); ok {
				conns = append(conns, connAge{conn, conn.headSince()})
			}
		}
	}
	closed := 0
	for _, o := range oldest(conns, count) {
		evicted, first := o.conn.evict(atOnce)
		if first {
			closed++
		}
		if evicted && atOnce {
			// Its descriptor is free already, although its goroutine may not have run yet.
			c.connCounts.record(o.conn, http.StateClosed)
		}
	}
	c.crowd.closed.Inc(int64(closed))
	c.crowd.logClosed(open, closed)
}

// logClosed writes an event about closed connections, unless one was written a short time ago.
func (c *connCrowd) logClosed(open, closed int) {
	c.mu.Lock()
	now := time.Now()
	due := c.log != nil && now.Sub(c.loggedAt) >= crowdEventInterval
	if due {
		c.loggedAt = now
	}
	c.mu.Unlock()
	if due {
		c.log.Event(eventCrowd, eventlog.Fields{"open": open, "limit": c.maxConns, "closed": closed})
	}
}

// headSince returns since when the client has sent no complete head.
func (c *clientConn) headSince() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastHeadAt
}

// evict closes a connection without a request in progress. Unless atOnce is set, a request that
// arrives at this moment is still read if no part of it was read before. It reports whether the
// connection is evicted, and whether it was not before.
func (c *clientConn) evict(atOnce bool) (evicted, first bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == connInRequest {
		return false, false
	}
	first = !c.evicted
	c.evicted = true
	if atOnce {
		_ = c.Conn.Close()
	} else {
		_ = c.applyDeadline() // if this fails, the connection is closed
	}
	return true, first
}

// endHead ends a connection whose head holds memory that others need.
func (c *clientConn) endHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == connInHead {
		c.evicted = true
		_ = c.applyDeadline() // if this fails, the connection is closed
	}
}

// trackHead follows the memory of a head by the state that the HTTP server reports. The memory
// is in use until the request has ended. The caller holds c.mu.
func (c *clientConn) trackHead(state http.ConnState) {
	if state == http.StateActive {
		c.lastHeadAt = time.Now()
	}
	if c.headTaken == 0 {
		return
	}
	if state == http.StateActive {
		c.conns.crowd.budget.Finish(&c.head)
		return
	}
	c.conns.crowd.budget.Release(&c.head)
	c.headTaken = 0
}
