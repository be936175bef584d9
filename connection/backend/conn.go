package backend

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/process/dial"
)

// The buffer sizes of a connection, in bytes. They suffice for an event of a
// stream or the header of a response, which have a few hundred bytes.
const (
	readBufferBytes  = 2 << 10
	writeBufferBytes = 2 << 10
)

// maxMismatchedResponses is the number of responses to other requests after which
// Conn.Do fails.
const maxMismatchedResponses = 3

// The errors of Conn.Do.
var (
	// ErrNotSent is returned when no byte of the request was sent.
	ErrNotSent = errors.New("request was not sent")
	// ErrResponseMismatch is returned when maxMismatchedResponses responses
	// arrived, all of them to other requests.
	ErrResponseMismatch = errors.New("response belongs to another request")
)

// Conn is a connection to a backend server. Only one goroutine at a time may call
// Do; Close and Abort may be called at any time.
type Conn struct {
	netConn net.Conn
	// limitedConn is netConn with the limit of a response's header.
	limitedConn *dial.LimitedConn
	reader      *bufio.Reader
	writer      *bufio.Writer
	addr        string
	// used is true once Do has been called.
	used bool
	// idleSince is the time of the last Pool.Put.
	idleSince time.Time
	// idleLimit is how long the connection may stay idle after idleSince.
	idleLimit time.Duration
}

// Close closes the connection.
func (c *Conn) Close() { _ = c.netConn.Close() }

// Abort resets the connection. Other than Close, it discards the part of a request
// that has not left this machine yet, for example because the link to the server has
// become narrow. Without that, the request could reach the server long after its
// client has left.
func (c *Conn) Abort() {
	if tcp, ok := c.netConn.(*net.TCPConn); ok {
		// If this fails, the connection has ended already.
		_ = tcp.SetLinger(0)
	}
	c.Close()
}

// Used reports whether the connection has carried a request before.
func (c *Conn) Used() bool { return c.used }

// Do sends a request and reads the header of the response. head is the encoded
// request line and header, and body the request body in parts, which Do does not change; req is
// only used to parse the response. belongs reports whether a response belongs to the request; Do
// skips other responses. A response with an invalid status is an error, also if it belongs
// to another request. If a reused connection is no longer usable, Do sends
// nothing and returns ErrNotSent. To interrupt a blocked Do, the caller aborts the
// connection; the end of ctx does not interrupt it. After Do, the caller reads the
// response body and then calls Pool.Put or Close.
func (c *Conn) Do(ctx context.Context, head string, req *http.Request, body [][]byte, belongs func(*http.Response) bool) (*http.Response, error) {
	if c.used && c.isUnusable() {
		return nil, core.WrapStep("send request", c.addr, ErrNotSent)
	}
	c.used = true
	if err := c.write(head, body); err != nil {
		return nil, core.WrapStep("send request", c.addr, err)
	}
	for range maxMismatchedResponses {
		c.limitedConn.SetReadLimit(core.MaxResponseHeadBytes)
		resp, err := http.ReadResponse(c.reader, req)
		c.limitedConn.ClearReadLimit()
		if err != nil {
			return nil, core.WrapStep("read response", c.addr, core.ClipError(err))
		}
		if err := core.CheckStatus(resp.StatusCode); err != nil {
			return nil, core.WrapStep("read response", c.addr, err)
		}
		if belongs(resp) {
			return resp, nil
		}
		if err := skipBody(resp); err != nil {
			return nil, core.WrapStep("skip response", c.addr, err)
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
	return nil, core.WrapStep("read response", c.addr, ErrResponseMismatch)
}

// write sends a head and the parts of a body. The first part, which is the whole body of most
// requests, goes with the head; further parts are sent together, without copying them.
func (c *Conn) write(head string, body [][]byte) error {
	if _, err := c.writer.WriteString(head); err != nil {
		return err
	}
	if len(body) > 0 {
		if _, err := c.writer.Write(body[0]); err != nil {
			return err
		}
	}
	if err := c.writer.Flush(); err != nil || len(body) < 2 {
		return err
	}
	rest := net.Buffers(slices.Clone(body[1:])) // WriteTo changes the list
	_, err := rest.WriteTo(c.netConn)
	return err
}

// maxSkippedBytes is the maximum length of a skipped response body, in bytes.
const maxSkippedBytes = 1 << 20

// skipBody reads the body of a response to another request, so that the next
// response on the connection can be read. It returns an error if the body is too
// long or if the server closes the connection after this response.
func skipBody(resp *http.Response) error {
	if resp.Close || resp.ContentLength > maxSkippedBytes {
		return errors.New("response to another request is too long or closes the connection")
	}
	buf := make([]byte, 4<<10)
	for total := 0; total <= maxSkippedBytes; {
		n, err := resp.Body.Read(buf)
		total += n
		if err != nil {
			return resp.Body.Close()
		}
	}
	return errors.New("response to another request is too long")
}

// isUnusable reports whether the idle connection is unusable because bytes
// arrived without a request, or because the server closed it.
func (c *Conn) isUnusable() bool {
	if c.reader.Buffered() > 0 {
		return true
	}
	pending, closed := dial.Peek(c.netConn)
	return pending || closed
}

// EndsWithConn reports whether a response has no length, so that only the end of the
// connection ends it.
func EndsWithConn(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// allowedIdleTime returns how long the connection may stay idle after resp, at
// most maxTime. If the result is zero or negative, the connection must be closed.
func allowedIdleTime(resp *http.Response, maxTime time.Duration) time.Duration {
	if resp.Close || EndsWithConn(resp) {
		return 0
	}
	for _, part := range strings.Split(resp.Header.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return min(maxTime, time.Duration(seconds)*time.Second-idleTimeMargin)
		}
	}
	return maxTime
}
