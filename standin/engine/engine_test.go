package engine

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/connection/engine"
	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/version/manifest"
)

const testToken = "peer-token"

// weightSource serves the manifest and the only chunk of one version, as an agent
// does.
type weightSource struct {
	// objects holds the response bodies by path.
	objects map[string][]byte
	// digest is the manifest digest.
	digest core.Digest
	// chunkDigest is the digest of the only chunk.
	chunkDigest core.Digest
}

// newWeightSource returns the source of a version with one chunk.
func newWeightSource(body string) *weightSource {
	chunk := manifest.Chunk{Digest: core.DigestOf([]byte(body)), Size: int64(len(body))}
	m := &manifest.Manifest{Files: []manifest.File{{Path: "weights.bin", Size: chunk.Size, Chunks: []manifest.Chunk{chunk}}}}
	raw, digest, err := m.Encode()
	So(err, ShouldBeNil)
	return &weightSource{digest: digest, chunkDigest: chunk.Digest, objects: map[string][]byte{
		"/manifests/" + string(digest):    raw,
		"/chunks/" + string(chunk.Digest): []byte(body),
	}}
}

// ServeHTTP implements http.Handler.
func (s *weightSource) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, ok := s.objects[r.URL.Path]
	if !ok || r.Header.Get(core.HeaderPeerToken) != testToken {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_, _ = w.Write(body)
}

// eventually waits until a condition is met, for at most 5 s.
func eventually(t *testing.T, description string, condition func() bool) {
	t.Helper()
	deadline := time.After(5 * time.Second)
	for !condition() {
		select {
		case <-deadline:
			t.Fatalf("not met within 5 s: %s", description)
		case <-time.After(time.Millisecond):
		}
	}
}

func TestOrders(t *testing.T) {
	Convey("Given an engine and an agent that serves weights", t, func() {
		startEngine := func(fencing bool) (*Engine, *engine.HTTPClient) {
			e := New(Config{Fencing: fencing, PeerToken: testToken}, clockwork.NewRealClock())
			server := httptest.NewServer(e.Handler())
			t.Cleanup(server.Close)
			return e, engine.NewHTTPClient(strings.TrimPrefix(server.URL, "http://"), testToken)
		}
		weights := newWeightSource("oregano")
		agent := httptest.NewServer(weights)
		defer agent.Close()
		ctx := context.Background()
		order := engine.Order{Fence: 5, Action: "load", Model: "herbs", Version: "v1", Digest: weights.digest, Source: agent.URL}

		Convey("the engine loads and verifies a version and reports its digest", func() {
			e, client := startEngine(true)
			So(client.Order(ctx, order), ShouldBeNil)
			eventually(t, "loaded", func() bool { return len(e.delayedStatus().Loaded) == 1 })
			s, err := client.Status(ctx)
			So(err, ShouldBeNil)
			So(s.Loaded, ShouldResemble, []frame.LoadedVersion{{Model: "herbs", Version: "v1", Digest: weights.digest}})
			So(s.Fence, ShouldEqual, 5)
		})
		Convey("the engine does not load a version with a corrupt chunk", func() {
			weights.objects["/chunks/"+string(weights.chunkDigest)] = []byte("basil")
			e, client := startEngine(true)
			So(client.Order(ctx, order), ShouldBeNil)
			eventually(t, "load failed", func() bool { return e.Counters().LoadError != "" })
			So(e.delayedStatus().Loaded, ShouldBeEmpty)
		})
		Convey("with fencing, the engine refuses an older fencing number and accepts the same one again", func() {
			_, client := startEngine(true)
			So(client.Order(ctx, order), ShouldBeNil)
			So(client.Order(ctx, order), ShouldBeNil)
			order.Fence = 4
			So(errors.Is(client.Order(ctx, order), engine.ErrFenced), ShouldBeTrue)
		})
		Convey("without fencing, the engine accepts an older fencing number", func() {
			_, client := startEngine(false)
			So(client.Order(ctx, order), ShouldBeNil)
			order.Fence = 4
			So(client.Order(ctx, order), ShouldBeNil)
		})
	})
}

func TestReportLag(t *testing.T) {
	Convey("A change of the status is reported after the report lag", t, func() {
		clock := clockwork.NewFakeClock()
		e := New(Config{ReportLag: time.Second}, clock)
		So(e.delayedStatus().Loaded, ShouldBeEmpty)
		e.Preload(frame.LoadedVersion{Model: "herbs"})
		clock.Advance(500 * time.Millisecond)
		So(e.delayedStatus().Loaded, ShouldBeEmpty)
		clock.Advance(time.Second)
		So(e.delayedStatus().Loaded, ShouldHaveLength, 1)
	})
}

func TestWarmUp(t *testing.T) {
	Convey("The capacity grows with each finished request and returns to the cold limit after a reset", t, func() {
		now := time.Now()
		w := warmUp{coldLimit: 4, warmLimit: 8, gainPerRequest: 1, coldSince: now}
		So(w.capacity(now), ShouldEqual, 4)
		w.recordFinished()
		So(w.capacity(now), ShouldEqual, 5)
		for range 10 {
			w.recordFinished()
		}
		So(w.capacity(now), ShouldEqual, 8)
		w.reset(now)
		So(w.capacity(now), ShouldEqual, 4)
		So(slowdown(4, 4), ShouldEqual, 1)
		So(slowdown(8, 4), ShouldEqual, 8)
	})
}
