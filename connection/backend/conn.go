package backend

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/rattanway/rattanway/core"
)

// Buffer sizes of a connection, in bytes: an event of a stream and the header
// of an answer are a few hundred.
const (
	readBytes  = 2 << 10
	writeBytes = 2 << 10
)

// maxForeign is how many answers to other requests are passed over before a
// connection is given up.
const maxForeign = 3

// Errors of an exchange.
var (
	// ErrNotSent says that no byte of the request left this process.
	ErrNotSent = errors.New("request was not sent")
	// ErrForeign says that only answers to other requests came.
	ErrForeign = errors.New("answer belongs to another request")
)

// Conn is one connection to a server.
type Conn struct {
	net     net.Conn
	reader  *bufio.Reader
	writer  *bufio.Writer
	addr    string
	used    bool
	idleAt  time.Time
	idleFor time.Duration
}

// Close closes the connection.
func (c *Conn) Close() { _ = c.net.Close() }

// Do sends a request and reads the header of its answer. It returns ErrNotSent
// when nothing left this process. same reports whether an answer belongs to
// the request; others are passed over. When ctx ends the connection is closed.
// The caller reads the answer's body and then calls Pool.Put or Close.
func (c *Conn) Do(ctx context.Context, head string, req *http.Request, body []byte, same func(*http.Response) bool) (*http.Response, error) {
	if c.used && c.dirty() {
		return nil, core.Step("send request", c.addr, ErrNotSent)
	}
	c.used = true
	if _, err := c.writer.WriteString(head); err != nil {
		return nil, core.Step("send request", c.addr, err)
	}
	if _, err := c.writer.Write(body); err != nil {
		return nil, core.Step("send request", c.addr, err)
	}
	if err := c.writer.Flush(); err != nil {
		return nil, core.Step("send request", c.addr, err)
	}
	for range maxForeign {
		resp, err := http.ReadResponse(c.reader, req)
		if err != nil {
			return nil, core.Step("read answer", c.addr, err)
		}
		if same(resp) {
			return resp, nil
		}
		if err := discard(resp); err != nil {
			return nil, core.Step("pass over answer", c.addr, err)
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
	return nil, core.Step("read answer", c.addr, ErrForeign)
}

// maxDiscard bounds the body of an answer that is passed over, in bytes.
const maxDiscard = 1 << 20

// discard reads the body of an answer that belongs to nobody.
func discard(resp *http.Response) error {
	if resp.Close || resp.ContentLength > maxDiscard {
		return errors.New("answer has no usable end")
	}
	buf := make([]byte, 4<<10)
	for total := 0; total <= maxDiscard; {
		n, err := resp.Body.Read(buf)
		total += n
		if err != nil {
			return resp.Body.Close()
		}
	}
	return errors.New("answer is too long")
}

// dirty reports whether anything arrived on the idle connection: bytes that
// belong to no request, or its end.
func (c *Conn) dirty() bool {
	if c.reader.Buffered() > 0 {
		return true
	}
	raw, ok := c.net.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return true
	}
	waiting := true
	err = control.Read(func(fd uintptr) bool {
		var one [1]byte
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		waiting = n > 0 || err == nil || !errors.Is(err, syscall.EAGAIN)
		return true
	})
	return waiting || err != nil
}

// keepFor reads how long an answer allows the connection to stay idle; 0 when
// it must be closed.
func keepFor(resp *http.Response, most time.Duration) time.Duration {
	unframed := resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
	if resp.Close || unframed {
		return 0
	}
	for _, part := range strings.Split(resp.Header.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			// A server may close the connection just as it is used.
			return min(most, time.Duration(seconds)*time.Second-keepMargin)
		}
	}
	return most
}
