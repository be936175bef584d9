// Package dial opens TCP connections that detect an unreachable peer within
// seconds even if no reset arrives, and reopens connections with backoff.
package dial

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Timeouts of a connection. A round trip takes a few milliseconds; the platform
// treats a machine as unreachable after 3 s.
const (
	// Timeout limits how long the opening of a connection takes.
	Timeout = 800 * time.Millisecond
	// unackedTimeout is how long sent bytes may remain unacknowledged before TCP
	// closes the connection (TCP_USER_TIMEOUT).
	unackedTimeout      = 2 * time.Second
	keepAliveIdle       = time.Second
	keepAliveInterval   = time.Second
	keepAliveProbeCount = 2
)

var dialer = &net.Dialer{
	Timeout: Timeout,
	KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbeCount,
	},
	Control: func(_, _ string, c syscall.RawConn) error {
		var sockoptErr error
		err := c.Control(func(fd uintptr) {
			sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return sockoptErr
	},
}

// Func opens a connection to addr; DialContext is one.
type Func func(ctx context.Context, network, addr string) (net.Conn, error)

// DialContext opens a connection to addr within Timeout, or until ctx ends.
func DialContext(ctx context.Context, network, addr string) (net.Conn, error) {
	return dialer.DialContext(ctx, network, addr)
}
