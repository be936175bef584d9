package hosted

import (
	"net"
	"net/http"
	"sync"
)

// connCounts counts the connections of an HTTP server by their state. It is safe for
// concurrent use.
type connCounts struct {
	mu     sync.Mutex
	states map[net.Conn]http.ConnState
}

// record implements the ConnState hook of [http.Server].
func (c *connCounts) record(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(c.states, conn)
		return
	}
	if c.states == nil {
		c.states = map[net.Conn]http.ConnState{}
	}
	c.states[conn] = state
}

// counts returns the number of connections on which no complete head of a request has
// arrived, of those with a request in progress, and of those that wait for a further
// request.
func (c *connCounts) counts() (unused, active, idle int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, state := range c.states {
		switch state {
		case http.StateNew:
			unused++
		case http.StateActive:
			active++
		case http.StateIdle:
			idle++
		}
	}
	return unused, active, idle
}

// total returns the number of connections.
func (c *connCounts) total() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.states)
}

// inState returns the connections in the given state.
func (c *connCounts) inState(state http.ConnState) []net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	var conns []net.Conn
	for conn, s := range c.states {
		if s == state {
			conns = append(conns, conn)
		}
	}
	return conns
}
