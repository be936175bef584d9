// Package dial opens TCP connections that notice within seconds that the other
// side is gone, also when no reset arrives.
package dial

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Bounds of a connection. A round trip takes a few milliseconds; the platform
// counts a machine as out of touch after 3 s.
const (
	// Timeout bounds the opening of a connection.
	Timeout = 800 * time.Millisecond
	// unacknowledged is how long sent bytes may stay without an
	// acknowledgement.
	unacknowledged = 2 * time.Second
	keepAliveIdle  = time.Second
	keepAliveEvery = time.Second
	keepAliveTries = 2
)

var dialer = &net.Dialer{
	Timeout: Timeout,
	KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveEvery, Count: keepAliveTries,
	},
	Control: func(_, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledged.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return failed
	},
}

// Context opens a connection.
func Context(ctx context.Context, network, addr string) (net.Conn, error) {
	return dialer.DialContext(ctx, network, addr)
}
