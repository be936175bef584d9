package frame

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
	"github.com/gorilla/websocket"
	. "github.com/smartystreets/goconvey/convey"
)

func TestParse(t *testing.T) {
	Convey("A decoded frame equals the encoded one", t, func() {
		raw, err := Encode(KindData, Data{ID: "r1", Body: []byte("abc"), Tokens: 2})
		So(err, ShouldBeNil)
		f, err := Parse(raw)
		So(err, ShouldBeNil)
		So(f.Kind, ShouldEqual, KindData)
		var got Data
		So(f.Decode(&got), ShouldBeNil)
		So(got, ShouldResemble, Data{ID: "r1", Body: []byte("abc"), Tokens: 2})
	})
	Convey("Unknown fields are ignored", t, func() {
		raw, err := cbor.Marshal(map[int]any{1: ProtocolVersion, 2: KindGo, 3: map[int]any{1: "r1", 99: "new"}, 77: "new"})
		So(err, ShouldBeNil)
		f, err := Parse(raw)
		So(err, ShouldBeNil)
		var got Go
		So(f.Decode(&got), ShouldBeNil)
		So(got.ID, ShouldEqual, "r1")
	})
	Convey("A frame with another protocol version is rejected", t, func() {
		raw, err := cbor.Marshal(map[int]any{1: ProtocolVersion + 1, 2: KindGo, 3: map[int]any{}})
		So(err, ShouldBeNil)
		_, err = Parse(raw)
		So(errors.Is(err, ErrProtocolVersion), ShouldBeTrue)
	})
	Convey("Data that is not CBOR is rejected", t, func() {
		_, err := Parse([]byte("not cbor"))
		So(errors.Is(err, ErrMalformed), ShouldBeTrue)
	})
}

func TestConnRejectsOversizedFrames(t *testing.T) {
	Convey("Receiving a frame over the size limit returns an error that contains the name of the peer", t, func() {
		result := make(chan error, 1)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			conn, err := Accept(w, r)
			if err != nil {
				return // not a WebSocket request; the test's connection follows
			}
			defer func() { _ = conn.Close() }()
			conn.SetPeer("agent-1")
			_, err = conn.Receive(time.Now().Add(5 * time.Second))
			result <- err
		}))
		defer server.Close()
		conn, err := Dial(strings.TrimPrefix(server.URL, "http://"), "/", "token", time.Second)
		So(err, ShouldBeNil)
		defer func() { _ = conn.Close() }()
		_ = conn.ws.WriteMessage(websocket.BinaryMessage, make([]byte, MaxBytes+1))
		err = <-result
		So(err, ShouldNotBeNil)
		So(err.Error(), ShouldContainSubstring, "agent-1")
		So(errors.Is(err, websocket.ErrReadLimit), ShouldBeTrue)
	})
}

func FuzzParse(f *testing.F) {
	for kind, msg := range map[Kind]any{
		KindHello:   Hello{Incarnation: "i"},
		KindRequest: Request{ID: "r", Body: []byte("b")},
		KindEnd:     End{ID: "r", BodyBytes: 3},
	} {
		raw, err := Encode(kind, msg)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Add([]byte{0xbf, 0xff})
	f.Fuzz(func(t *testing.T, raw []byte) {
		got, err := Parse(raw)
		if err != nil {
			return
		}
		for _, msg := range []any{&Hello{}, &Report{}, &Request{}, &Config{}, &Head{}, &End{}} {
			_ = got.Decode(msg)
		}
	})
}
