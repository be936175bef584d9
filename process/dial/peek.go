package dial

import (
	"net"
	"syscall"

	"github.com/go-faster/errors"
)

// Peek looks at the next byte of a connection without reading it and without waiting.
// pending is true if there is one; closed is true if the peer has closed or reset the
// connection and everything before has been read. For a connection that is no socket
// it returns false for both.
func Peek(conn net.Conn) (pending, closed bool) {
	sysConn, ok := conn.(syscall.Conn)
	if !ok {
		return false, false
	}
	rawConn, err := sysConn.SyscallConn()
	if err != nil {
		return false, true
	}
	// Control does not wait for a Read of another goroutine, as Read would.
	err = rawConn.Control(func(fd uintptr) {
		var peeked [1]byte
		n, _, err := syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		pending = n > 0
		closed = n <= 0 && (err == nil || !errors.Is(err, syscall.EAGAIN))
	})
	return pending, closed || err != nil
}
