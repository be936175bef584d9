package relay

import (
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/connection/frame"
)

// TestResponseGivenUpAtASuspendedServer guards against a response that is given up, although
// its server goes on and no other server can continue it.
func TestResponseGivenUpAtASuspendedServer(t *testing.T) {
	Convey("A response that only its server can continue is awaited beyond a pause of that server", t, func() {
		first, rest := []byte(`{"text":"lot `), []byte(`7"}`)
		agent := func(x *fakeExchange, _ frame.Kind, msg any) {
			req := msg.(frame.Request)
			x.sendToEntryInstance(
				&frame.Head{ID: req.ID, Status: http.StatusOK, Digest: testDigest, Header: map[string][]string{"Content-Type": {"application/json"}}},
				&frame.Data{ID: req.ID, Body: first},
			)
			<-time.After(1700 * time.Millisecond)
			x.sendToEntryInstance(&frame.Data{ID: req.ID, Body: rest}, endFrame(req.ID, append(first, rest...)))
		}
		fx := newFixture(t, Config{}, nil, map[string]fakeAgent{"a": agent})
		// The server's heartbeats are late as well.
		fx.relay.stallMonitor.isServerSuspended = func(string) bool { return true }
		resp, err := fx.post("/v1/completions", `{"model":"labels","prompt":"x","max_tokens":2}`)
		So(err, ShouldBeNil)
		body, err := readBody(resp)
		So(err, ShouldBeNil)
		So(resp.StatusCode, ShouldEqual, http.StatusOK)
		So(body, ShouldEqual, string(first)+string(rest))
	})
}
