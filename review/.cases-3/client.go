package main

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// digestOf returns the SHA-256 of a piece in hexadecimal.
func digestOf(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

var requestCount atomic.Int64

// channel is a kept channel of a client to an entry instance.
type channel struct {
	conn   net.Conn
	reader *bufio.Reader
	// answered is the number of requests that were answered on it.
	answered int
}

// openChannel opens a channel within the second that clients allow.
func openChannel(addr string) (*channel, error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{conn: conn, reader: bufio.NewReader(conn)}, nil
}

// answer is what a client got.
type answer struct {
	id     string
	status int
	stamp  string
	body   string
	// whole is true if the answer was complete.
	whole bool
	// kept is true if other requests had been answered on the channel before.
	kept bool
	err  error
	took time.Duration
	// closes is true if the answer says that the channel is closed after it.
	closes bool
}

// send sends one request on the channel and reads the answer.
func (c *channel) send(method, host, path, body string, deadline time.Duration, header map[string]string) answer {
	a := answer{id: fmt.Sprintf("%016x", 0x1c41d07b00000000+requestCount.Add(1)), kept: c.answered > 0}
	begun := time.Now()
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nRattanway-Request-Id: %s\r\nRattanway-Deadline-Ms: %d\r\nAuthorization: Token %s\r\n",
		method, path, host, a.id, deadline.Milliseconds(), clientKey)
	for name, value := range header {
		fmt.Fprintf(&head, "%s: %s\r\n", name, value)
	}
	if method != http.MethodGet {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(body))
	}
	note("%s sent: %s %s%s (kept channel: %v)", a.id, method, host, path, a.kept)
	_ = c.conn.SetDeadline(begun.Add(deadline + 500*time.Millisecond))
	if _, a.err = io.WriteString(c.conn, head.String()+"\r\n"+body); a.err == nil {
		var resp *http.Response
		if resp, a.err = http.ReadResponse(c.reader, &http.Request{Method: method}); a.err == nil {
			a.status, a.stamp = resp.StatusCode, resp.Header.Get("Rattanway-Server-Stamp")
			a.closes = resp.Close
			var raw []byte
			raw, a.err = io.ReadAll(resp.Body)
			a.body, a.whole = string(raw), a.err == nil
		}
	}
	a.took = time.Since(begun)
	if a.whole {
		c.answered++
	}
	note("%s got: status %d, stamp %q, %d bytes, whole %v, error %v, after %d ms", a.id, a.status, a.stamp, len(a.body), a.whole, a.err, a.took.Milliseconds())
	return a
}

// close closes the channel.
func (c *channel) close() { _ = c.conn.Close() }
