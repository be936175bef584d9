package dial

import (
	"net"

	"github.com/go-faster/errors"
)

// ErrTooLong is returned by a read beyond the limit of a LimitedConn.
var ErrTooLong = errors.New("peer sent more bytes than allowed")

// LimitedConn is a connection of which a limited number of bytes can be read. It
// protects parsers that have no limit of their own, such as http.ReadResponse, from
// peers that send without end. The limit may only be changed by the goroutine that
// reads.
type LimitedConn struct {
	net.Conn
	limited bool
	left    int
}

// SetReadLimit limits the following reads to n bytes in total.
func (c *LimitedConn) SetReadLimit(n int) { c.limited, c.left = true, n }

// ClearReadLimit removes the limit.
func (c *LimitedConn) ClearReadLimit() { c.limited = false }

// Read implements net.Conn. It returns ErrTooLong once the limit is used up.
func (c *LimitedConn) Read(p []byte) (int, error) {
	if !c.limited {
		return c.Conn.Read(p)
	}
	if c.left <= 0 {
		return 0, ErrTooLong
	}
	n, err := c.Conn.Read(p[:min(len(p), c.left)])
	c.left -= n
	return n, err
}
