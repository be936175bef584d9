package frame

import (
	"bufio"
	"context"
	"crypto/sha1"
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/gorilla/websocket"
	. "github.com/smartystreets/goconvey/convey"
)

// newPipedConn returns a Conn in memory, for virtual time, whose peer writes the bytes of
// WebSocket frames with send.
func newPipedConn(t *testing.T, send func(peer net.Conn)) *Conn {
	t.Helper()
	own, peer := net.Pipe()
	var running sync.WaitGroup
	running.Go(func() {
		defer func() { _ = peer.Close() }()
		r, err := http.ReadRequest(bufio.NewReader(peer))
		if err != nil {
			t.Errorf("read handshake: %v", err)
			return
		}
		accept := sha1.Sum([]byte(r.Header.Get("Sec-WebSocket-Key") + "258EAFA5-E914-47DA-95CA-C5AB0DC85B11"))
		_, _ = fmt.Fprintf(peer, "HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Accept: %s\r\n\r\n",
			base64.StdEncoding.EncodeToString(accept[:]))
		send(peer)
	})
	dialer := websocket.Dialer{
		NetDialContext: func(context.Context, string, string) (net.Conn, error) { return own, nil },
		ReadBufferSize: bufferBytes,
	}
	ws, _, err := dialer.Dial("ws://entry-1/", nil)
	if err != nil {
		t.Fatal(err)
	}
	ws.SetReadLimit(MaxBytes)
	t.Cleanup(func() {
		_ = ws.Close()
		running.Wait()
	})
	return &Conn{ws: ws, peer: "entry-1"}
}

// fragment returns a WebSocket frame that is a part of a binary message, or all of it.
func fragment(payload []byte, first, last bool) []byte {
	var head [10]byte
	if first {
		head[0] |= websocket.BinaryMessage
	}
	if last {
		head[0] |= 0x80
	}
	head[1] = 127
	binary.BigEndian.PutUint64(head[2:], uint64(len(payload)))
	return append(head[:], payload...)
}

// sendInPieces writes pieces of pieceBytes, one after each pause, until the peer closes the
// connection. It returns the number of bytes written.
func sendInPieces(peer net.Conn, raw []byte, pieceBytes int, pause time.Duration) int {
	sent := 0
	for sent < len(raw) {
		<-time.After(pause)
		n, err := peer.Write(raw[sent:min(len(raw), sent+pieceBytes)])
		sent += n
		if err != nil {
			break
		}
	}
	return sent
}

// largeMessage returns an encoded frame with a body of size bytes.
func largeMessage(t *testing.T, size int) []byte {
	t.Helper()
	raw, err := Encode(KindData, Data{ID: "r1", Body: make([]byte, size)})
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

const testSilence = 1200 * time.Millisecond

// Guards against the end of a sound connection while a large table arrives over a busy link: the
// deadline covered the whole message.
func TestLargeFrameOnASlowLink(t *testing.T) {
	const size = 1 << 20
	receive := func(t *testing.T, conn *Conn) {
		t.Helper()
		f, err := conn.ReceiveWithin(testSilence)
		if err != nil {
			t.Error(err)
			return
		}
		var got Data
		if err := f.Decode(&got); err != nil || len(got.Body) != size {
			t.Errorf("%d bytes, error %v", len(got.Body), err)
		}
	}
	Convey("A message that takes 5 s arrives, and one after it", t, func() {
		synctest.Test(t, func(t *testing.T) {
			raw := largeMessage(t, size)
			conn := newPipedConn(t, func(peer net.Conn) {
				sendInPieces(peer, fragment(raw, true, true), size/50, 100*time.Millisecond)
				<-time.After(time.Second)
				sendInPieces(peer, fragment(raw, true, true), size/50, 100*time.Millisecond)
			})
			receive(t, conn)
			receive(t, conn)
		})
	})
	Convey("A message in many WebSocket frames arrives", t, func() {
		synctest.Test(t, func(t *testing.T) {
			raw := largeMessage(t, size)
			conn := newPipedConn(t, func(peer net.Conn) {
				for start := 0; start < len(raw); start += bufferBytes {
					end := min(len(raw), start+bufferBytes)
					<-time.After(20 * time.Millisecond)
					_, _ = peer.Write(fragment(raw[start:end], start == 0, end == len(raw)))
				}
			})
			receive(t, conn)
		})
	})
}

func TestPeerThatStopsInAFrame(t *testing.T) {
	// fail receives one message, and returns after which time that failed and the error.
	fail := func(t *testing.T, send func(peer net.Conn)) (time.Duration, error) {
		t.Helper()
		conn := newPipedConn(t, send)
		start := time.Now()
		_, err := conn.ReceiveWithin(testSilence)
		var netErr net.Error
		if !errors.As(err, &netErr) || !netErr.Timeout() || !strings.Contains(err.Error(), "entry-1") {
			t.Errorf("error %v, want a timeout and the peer", err)
		}
		return time.Since(start), err
	}
	untilClosed := func(peer net.Conn) { _, _ = peer.Read(make([]byte, 1)) }

	Convey("A peer that sends nothing is given up after the silence", t, func() {
		synctest.Test(t, func(t *testing.T) {
			if passed, err := fail(t, untilClosed); passed != testSilence || strings.Contains(fmt.Sprint(err), "bytes") {
				t.Errorf("failed after %v: %v", passed, err)
			}
		})
	})
	Convey("One that stops in a message is given up after the silence from the last byte on", t, func() {
		synctest.Test(t, func(t *testing.T) {
			raw := fragment(largeMessage(t, 1<<20), true, true)
			passed, err := fail(t, func(peer net.Conn) {
				<-time.After(time.Second)
				_, _ = peer.Write(raw[:10])
				<-time.After(time.Second)
				_, _ = peer.Write(raw[10:300_010])
				untilClosed(peer)
			})
			if passed != 2*time.Second+testSilence || !strings.Contains(fmt.Sprint(err), " 300000 bytes") {
				t.Errorf("failed after %v: %v", passed, err)
			}
		})
	})
	Convey("One whose message trickles is given up after maxMessageTime", t, func() {
		synctest.Test(t, func(t *testing.T) {
			raw := fragment(largeMessage(t, 1<<20), true, true)
			passed, err := fail(t, func(peer net.Conn) {
				_, _ = peer.Write(raw[:10])
				sendInPieces(peer, raw[10:], 1000, testSilence/2)
			})
			if passed != maxMessageTime || !strings.Contains(fmt.Sprint(err), "bytes") {
				t.Errorf("failed after %v: %v", passed, err)
			}
		})
	})
}
