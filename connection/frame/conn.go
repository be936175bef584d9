package frame

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
	"github.com/gorilla/websocket"

	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/process/dial"
)

// bufferBytes is the size of a connection's read and write buffers, in bytes.
const bufferBytes = 4 << 10

// writeTimeout limits how long writing one frame takes, so that a peer that
// stops reading does not block the sender forever.
const writeTimeout = 10 * time.Second

// maxMessageTime limits how long one message takes to arrive at ReceiveWithin, so that a peer
// that sends a few bytes at a time does not hold a connection forever. It lets a message of
// MaxBytes through a link of 5 Mbit/s.
const maxMessageTime = 30 * time.Second

// The errors of a Conn. They are wrapped with the failed operation and the peer.
var (
	// ErrMalformed is returned when a frame cannot be decoded.
	ErrMalformed = errors.New("malformed frame")
	// ErrProtocolVersion is returned when the protocol version of a frame is not
	// ProtocolVersion.
	ErrProtocolVersion = errors.New("protocol version not supported")
	// ErrUnexpectedKind is returned when a received frame is not of the expected
	// kind.
	ErrUnexpectedKind = errors.New("unexpected frame")
)

// receivedEnvelope is the envelope of a received frame, with its body still
// encoded.
type receivedEnvelope struct {
	Version uint8           `cbor:"1,keyasint"`
	Kind    Kind            `cbor:"2,keyasint"`
	Body    cbor.RawMessage `cbor:"3,keyasint"`
}

// outgoingEnvelope is the envelope of a frame to send. It is encoded together
// with its body.
type outgoingEnvelope struct {
	Version uint8 `cbor:"1,keyasint"`
	Kind    Kind  `cbor:"2,keyasint"`
	Body    any   `cbor:"3,keyasint"`
}

// Frame is a received frame whose body has not been decoded yet.
type Frame struct {
	// Kind is the kind of the message in the frame.
	Kind Kind
	body cbor.RawMessage
}

// Decode decodes the frame's body into msg, a pointer to a message type.
func (f Frame) Decode(msg any) error {
	if err := decMode.Unmarshal(f.body, msg); err != nil {
		return fmt.Errorf("%w: kind %d: %v", ErrMalformed, f.Kind, err)
	}
	return nil
}

var decMode = newDecMode()

// newDecMode returns a decoding mode that limits the nesting and the sizes in a
// frame. These limits bound the cost of decoding a malicious frame.
func newDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxNestedLevels:  8,
		MaxArrayElements: 1 << 16,
		MaxMapPairs:      1 << 16,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode returns an encoded frame with the message msg.
func Encode(kind Kind, msg any) ([]byte, error) {
	body, err := cbor.Marshal(outgoingEnvelope{Version: ProtocolVersion, Kind: kind, Body: msg})
	if err != nil {
		return nil, errors.Wrapf(err, "encode frame of kind %d", kind)
	}
	return body, nil
}

// Parse decodes the envelope of a frame and checks its protocol version.
func Parse(raw []byte) (Frame, error) {
	var e receivedEnvelope
	if err := decMode.Unmarshal(raw, &e); err != nil {
		return Frame{}, fmt.Errorf("%w: %v", ErrMalformed, err)
	}
	if e.Version != ProtocolVersion {
		return Frame{}, fmt.Errorf("%w: got %d, want %d", ErrProtocolVersion, e.Version, ProtocolVersion)
	}
	return Frame{Kind: e.Kind, body: e.Body}, nil
}

// Conn sends and receives frames over a WebSocket connection. Several goroutines
// may send concurrently, while one goroutine receives.
type Conn struct {
	ws   *websocket.Conn
	peer string
	// sendSlot holds a value while a frame is written. It is a channel because a goroutine
	// that waits for a mutex stops the clock of a test in virtual time.
	sendSlot chan struct{}
}

// newConn returns the Conn of an open WebSocket connection.
func newConn(ws *websocket.Conn, peer string) *Conn {
	ws.SetReadLimit(MaxBytes)
	return &Conn{ws: ws, peer: peer, sendSlot: make(chan struct{}, 1)}
}

// Peer returns the name of the peer for errors and log lines.
func (c *Conn) Peer() string { return c.peer }

// SetPeer sets the name of the peer, which at first is its address.
func (c *Conn) SetPeer(name string) { c.peer = name }

// Send writes one frame.
func (c *Conn) Send(kind Kind, msg any) error {
	raw, err := Encode(kind, msg)
	if err != nil {
		return core.WrapStep("send frame", c.peer, err)
	}
	c.sendSlot <- struct{}{}
	defer func() { <-c.sendSlot }()
	if err := c.ws.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return core.WrapStep("send frame", c.peer, err)
	}
	return core.WrapStep("send frame", c.peer, c.ws.WriteMessage(websocket.BinaryMessage, raw))
}

// Receive reads the next frame. The deadline is for the complete frame; a zero deadline means
// no time limit. It is for frames that are small; see ReceiveWithin.
func (c *Conn) Receive(deadline time.Time) (Frame, error) {
	if err := c.ws.SetReadDeadline(deadline); err != nil {
		return Frame{}, core.WrapStep("receive frame", c.peer, err)
	}
	messageType, raw, err := c.ws.ReadMessage()
	if err != nil {
		return Frame{}, core.WrapStep("receive frame", c.peer, err)
	}
	return c.parse(messageType, raw)
}

// ReceiveWithin reads the next frame. It fails if no byte has arrived for the time silence. A
// frame that keeps arriving may take longer, at most maxMessageTime in all, so that a large one
// on a slow link does not end the connection. The error tells how much of an unfinished frame
// had arrived.
func (c *Conn) ReceiveWithin(silence time.Duration) (Frame, error) {
	if err := c.ws.SetReadDeadline(time.Now().Add(silence)); err != nil {
		return Frame{}, core.WrapStep("receive frame", c.peer, err)
	}
	messageType, message, err := c.ws.NextReader()
	if err != nil {
		return Frame{}, core.WrapStep("receive frame", c.peer, err)
	}
	r := &messageReader{message: message, ws: c.ws, silence: silence, end: time.Now().Add(maxMessageTime)}
	raw, err := io.ReadAll(r)
	if err != nil {
		return Frame{}, core.WrapStep("receive frame", c.peer, errors.Wrapf(err, "message broken off after %d bytes", len(raw)))
	}
	return c.parse(messageType, raw)
}

// messageReader reads one message and moves the read deadline of its connection on.
type messageReader struct {
	message io.Reader
	ws      *websocket.Conn
	silence time.Duration
	// end is when the message must be complete.
	end time.Time
}

// Read implements io.Reader.
func (r *messageReader) Read(p []byte) (int, error) {
	deadline := time.Now().Add(r.silence)
	if deadline.After(r.end) {
		deadline = r.end
	}
	if err := r.ws.SetReadDeadline(deadline); err != nil {
		return 0, err
	}
	return r.message.Read(p)
}

// parse returns the frame in a received message.
func (c *Conn) parse(messageType int, raw []byte) (Frame, error) {
	if messageType != websocket.BinaryMessage {
		return Frame{}, core.WrapStep("receive frame", c.peer, ErrMalformed)
	}
	f, err := Parse(raw)
	return f, core.WrapStep("receive frame", c.peer, err)
}

// Expect reads the next frame and decodes it into msg. It returns
// ErrUnexpectedKind if the frame is not of the given kind. A zero deadline means
// no time limit.
func (c *Conn) Expect(kind Kind, msg any, deadline time.Time) error {
	f, err := c.Receive(deadline)
	if err != nil {
		return err
	}
	if f.Kind != kind {
		return core.WrapStep("receive frame", c.peer, fmt.Errorf("%w: got kind %d, want %d", ErrUnexpectedKind, f.Kind, kind))
	}
	return core.WrapStep("receive frame", c.peer, f.Decode(msg))
}

// PeerClosed reports whether the peer has closed the connection and all its frames
// have been received.
func (c *Conn) PeerClosed() bool {
	_, closed := dial.Peek(c.ws.NetConn())
	return closed
}

// Close closes the connection immediately, without a WebSocket close handshake.
func (c *Conn) Close() error { return c.ws.Close() }

var upgrader = websocket.Upgrader{
	ReadBufferSize:  bufferBytes,
	WriteBufferSize: bufferBytes,
	WriteBufferPool: &sync.Pool{},
}

// Accept upgrades an HTTP request to a Conn. The caller must have checked the
// peer's token.
func Accept(w http.ResponseWriter, r *http.Request) (*Conn, error) {
	ws, err := upgrader.Upgrade(w, r, nil)
	if err != nil {
		return nil, core.WrapStep("accept connection", r.RemoteAddr, err)
	}
	return newConn(ws, r.RemoteAddr), nil
}

// Dial opens a Conn to path at addr ("ip:port") and sends the peer token.
// timeout limits the time until the connection is open.
func Dial(addr, path, token string, timeout time.Duration) (*Conn, error) {
	return DialWith(dial.DialContext, addr, path, token, timeout)
}

// DialWith is like Dial, but opens the network connection with dialContext.
func DialWith(dialContext dial.Func, addr, path, token string, timeout time.Duration) (*Conn, error) {
	var limited *dial.LimitedConn
	d := websocket.Dialer{
		NetDialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			limited = &dial.LimitedConn{Conn: conn}
			limited.SetReadLimit(core.MaxResponseHeadBytes)
			return limited, nil
		},
		HandshakeTimeout: timeout,
		ReadBufferSize:   bufferBytes,
		WriteBufferSize:  bufferBytes,
		WriteBufferPool:  upgrader.WriteBufferPool,
	}
	header := http.Header{core.HeaderPeerToken: []string{token}}
	ws, resp, err := d.Dial("ws://"+addr+path, header)
	if err != nil {
		if resp != nil {
			err = errors.Wrapf(err, "status %d", resp.StatusCode)
		}
		return nil, core.WrapStep("dial", addr, core.ClipError(err))
	}
	limited.ClearReadLimit()
	return newConn(ws, addr), nil
}
