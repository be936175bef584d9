package frame

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
	"github.com/gorilla/websocket"

	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/process/dial"
)

// bufferBytes is the size of a connection's read and write buffers.
const bufferBytes = 4 << 10

// writeTimeout bounds the writing of one frame to a peer that reads nothing.
const writeTimeout = 10 * time.Second

// Errors that a Conn returns, wrapped with step and peer.
var (
	// ErrMalformed says that a frame could not be decoded.
	ErrMalformed = errors.New("malformed frame")
	// ErrVersion says that the peer speaks another protocol version.
	ErrVersion = errors.New("protocol version not supported")
	// ErrUnexpected says that a frame of another kind was expected.
	ErrUnexpected = errors.New("unexpected frame")
)

// envelope is the outer form of every frame.
type envelope struct {
	Version uint8           `cbor:"1,keyasint"`
	Kind    Kind            `cbor:"2,keyasint"`
	Body    cbor.RawMessage `cbor:"3,keyasint"`
}

// outgoing is an envelope whose body has not been encoded yet.
type outgoing struct {
	Version uint8 `cbor:"1,keyasint"`
	Kind    Kind  `cbor:"2,keyasint"`
	Body    any   `cbor:"3,keyasint"`
}

// Frame is a received frame whose body has not been decoded yet.
type Frame struct {
	// Kind says which message it is.
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

// newDecMode bounds what a malicious frame may cost to decode.
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

// Encode returns the encoding of one frame.
func Encode(kind Kind, msg any) ([]byte, error) {
	body, err := cbor.Marshal(outgoing{Version: ProtocolVersion, Kind: kind, Body: msg})
	if err != nil {
		return nil, errors.Wrapf(err, "encode frame of kind %d", kind)
	}
	return body, nil
}

// Parse decodes the envelope of one frame.
func Parse(raw []byte) (Frame, error) {
	var e envelope
	if err := decMode.Unmarshal(raw, &e); err != nil {
		return Frame{}, fmt.Errorf("%w: %v", ErrMalformed, err)
	}
	if e.Version != ProtocolVersion {
		return Frame{}, fmt.Errorf("%w: got %d, want %d", ErrVersion, e.Version, ProtocolVersion)
	}
	return Frame{Kind: e.Kind, body: e.Body}, nil
}

// Conn carries frames over one WebSocket. One goroutine may receive while
// others send.
type Conn struct {
	ws     *websocket.Conn
	peer   string
	sendMu sync.Mutex
}

// Peer names the other side in errors and log lines.
func (c *Conn) Peer() string { return c.peer }

// SetPeer changes the name of the other side once it is known.
func (c *Conn) SetPeer(name string) { c.peer = name }

// Send writes one frame.
func (c *Conn) Send(kind Kind, msg any) error {
	raw, err := Encode(kind, msg)
	if err != nil {
		return core.Step("send frame", c.peer, err)
	}
	c.sendMu.Lock()
	defer c.sendMu.Unlock()
	if err := c.ws.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return core.Step("send frame", c.peer, err)
	}
	return core.Step("send frame", c.peer, c.ws.WriteMessage(websocket.BinaryMessage, raw))
}

// Receive reads the next frame. A zero deadline waits for ever.
func (c *Conn) Receive(deadline time.Time) (Frame, error) {
	if err := c.ws.SetReadDeadline(deadline); err != nil {
		return Frame{}, core.Step("receive frame", c.peer, err)
	}
	kind, raw, err := c.ws.ReadMessage()
	if err != nil {
		return Frame{}, core.Step("receive frame", c.peer, err)
	}
	if kind != websocket.BinaryMessage {
		return Frame{}, core.Step("receive frame", c.peer, ErrMalformed)
	}
	f, err := Parse(raw)
	return f, core.Step("receive frame", c.peer, err)
}

// Expect reads the next frame and decodes it into msg, or fails when it is of
// another kind.
func (c *Conn) Expect(kind Kind, msg any, deadline time.Time) error {
	f, err := c.Receive(deadline)
	if err != nil {
		return err
	}
	if f.Kind != kind {
		return core.Step("receive frame", c.peer, fmt.Errorf("%w: got kind %d, want %d", ErrUnexpected, f.Kind, kind))
	}
	return core.Step("receive frame", c.peer, f.Decode(msg))
}

// Close closes the connection at once.
func (c *Conn) Close() error { return c.ws.Close() }

var upgrader = websocket.Upgrader{
	ReadBufferSize:  bufferBytes,
	WriteBufferSize: bufferBytes,
	WriteBufferPool: &sync.Pool{},
}

// Accept upgrades an HTTP request to a Conn. The caller has checked the
// peer's token.
func Accept(w http.ResponseWriter, r *http.Request) (*Conn, error) {
	ws, err := upgrader.Upgrade(w, r, nil)
	if err != nil {
		return nil, core.Step("accept connection", r.RemoteAddr, err)
	}
	ws.SetReadLimit(MaxBytes)
	return &Conn{ws: ws, peer: r.RemoteAddr}, nil
}

// Dial opens a Conn to path at addr ("ip:port") with the peer token.
func Dial(addr, path, token string, timeout time.Duration) (*Conn, error) {
	d := websocket.Dialer{
		NetDialContext:   dial.Context,
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
		return nil, core.Step("dial", addr, err)
	}
	ws.SetReadLimit(MaxBytes)
	return &Conn{ws: ws, peer: addr}, nil
}
