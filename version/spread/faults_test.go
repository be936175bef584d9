package spread

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/process/platform"
	"github.com/rattanway/rattanway/version/manifest"
)

// maxCopiesReadWithFault limits the bytes read from the origin in tests with a
// fault, as a multiple of the size of the version and its manifest (see
// copiesRead).
const maxCopiesReadWithFault = 1.3

// shortTimeouts makes an agent detect stalls within about a second.
func shortTimeouts(_ int, c *Config) { c.ResponseMargin, c.StallTimeout = time.Second, time.Second }

// wrapHandler replaces the agent's handler with h; next is the original handler.
func (a *fakeAgent) wrapHandler(h func(next http.Handler, w http.ResponseWriter, r *http.Request)) {
	next := a.server.Config.Handler
	a.server.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { h(next, w, r) })
}

// corruptingWriter is a ResponseWriter that changes one byte of the body.
type corruptingWriter struct {
	http.ResponseWriter
	// corrupted is true once the byte has been changed.
	corrupted bool
}

func (w *corruptingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *corruptingWriter) Write(p []byte) (int, error) {
	if w.corrupted || len(p) == 0 {
		return w.ResponseWriter.Write(p)
	}
	w.corrupted = true
	corrupt := slices.Clone(p)
	corrupt[len(corrupt)/2] ^= 0xff
	return w.ResponseWriter.Write(corrupt)
}

// stallAfterFirstByte responds with one byte of a body and then blocks until the
// request ends.
func stallAfterFirstByte(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Length", "1024")
	_, _ = w.Write([]byte{0})
	_ = http.NewResponseController(w).Flush()
	<-r.Context().Done()
}

func TestOwnerDiesWithTheOnlyCopy(t *testing.T) {
	Convey("Given an owner that stops while no other agent holds its chunks", t, func() {
		origin := newFakeOrigin()
		d, m := origin.publish(t, "v1", 64)
		agents := startAgents(t, 12, origin, []string{"r1/a"}, nil)
		owner, others := agents[0], agents[1:]
		var once sync.Once
		owner.wrapHandler(func(_ http.Handler, _ http.ResponseWriter, r *http.Request) {
			once.Do(func() { go owner.stop() })
			<-r.Context().Done()
		})
		So(fetchAll(agents[:1], d), ShouldBeNil)
		origin.mu.Lock()
		origin.bytesRead = 0
		origin.mu.Unlock()

		Convey("the next owners read its chunks again, within the limit on origin reads", func() {
			So(fetchWithPeerList(others, agents, d), ShouldBeNil)
			So(allHold(others, m), ShouldBeTrue)
			So(copiesRead(origin, m), ShouldBeLessThanOrEqualTo, maxCopiesReadWithFault)
		})
	})
}

func TestStalledLink(t *testing.T) {
	Convey("Given an agent whose connection stalls in the middle of every response", t, func() {
		origin := newFakeOrigin()
		d, m := origin.publish(t, "v1", 64)
		agents := startAgents(t, 12, origin, []string{"r1/a"}, shortTimeouts)
		agents[0].wrapHandler(func(_ http.Handler, w http.ResponseWriter, r *http.Request) { stallAfterFirstByte(w, r) })

		Convey("all agents fetch the complete version, within the limit on origin reads", func() {
			So(fetchAll(agents, d), ShouldBeNil)
			So(allHold(agents, m), ShouldBeTrue)
			So(copiesRead(origin, m), ShouldBeLessThanOrEqualTo, maxCopiesReadWithFault)
		})
	})
}

func TestCorruptChunks(t *testing.T) {
	const corruptEvery = 50
	Convey("Given chunks that are corrupted", t, func() {
		origin := newFakeOrigin()
		d, m := origin.publish(t, "v1", 128)
		agents := startAgents(t, 8, origin, []string{"r1/a"}, nil)
		fetchAndCheck := func() {
			So(fetchAll(agents, d), ShouldBeNil)
			So(allHold(agents, m), ShouldBeTrue)
			So(copiesRead(origin, m), ShouldBeLessThanOrEqualTo, maxCopiesReadWithFault)
		}
		Convey("at the origin, sometimes: they are read again", func() {
			reads := 0
			origin.fault = func(_ string, body []byte) ([]byte, error) {
				if reads++; reads%corruptEvery != 0 {
					return body, nil
				}
				corrupt := slices.Clone(body)
				corrupt[0] ^= 0xff
				return corrupt, nil
			}
			fetchAndCheck()
		})
		Convey("in transfers between agents, sometimes: they are requested again", func() {
			var responses atomic.Int64
			for _, a := range agents {
				a.wrapHandler(func(next http.Handler, w http.ResponseWriter, r *http.Request) {
					if responses.Add(1)%corruptEvery == 0 {
						w = &corruptingWriter{ResponseWriter: w}
					}
					next.ServeHTTP(w, r)
				})
			}
			fetchAndCheck()
		})
		Convey("by one peer, always: other peers send them", func() {
			agents[0].wrapHandler(func(next http.Handler, w http.ResponseWriter, r *http.Request) {
				next.ServeHTTP(&corruptingWriter{ResponseWriter: w}, r)
			})
			fetchAndCheck()
		})
	})
}

func TestTwoVersionsAtOnce(t *testing.T) {
	Convey("Given two versions that are fetched at the same time", t, func() {
		origin := newFakeOrigin()
		first, m1 := origin.publish(t, "v1", 64)
		second, m2 := origin.publish(t, "v2", 64)
		agents := startAgents(t, 10, origin, []string{"r1/a"}, nil)
		errs := make(chan error, 1)
		go func() { errs <- fetchAll(agents, first) }()
		So(fetchAll(agents, second), ShouldBeNil)
		So(<-errs, ShouldBeNil)
		So(allHold(agents, m1), ShouldBeTrue)
		So(allHold(agents, m2), ShouldBeTrue)
		So(copiesRead(origin, m1), ShouldBeLessThanOrEqualTo, 2*1.05)
	})
}

func TestAgentReplacedNearTheEnd(t *testing.T) {
	Convey("Given a version that all agents hold except one that was replaced", t, func() {
		origin := newFakeOrigin()
		d, m := origin.publish(t, "v1", 64)
		agents := startAgents(t, 10, origin, []string{"r1/a"}, nil)
		So(fetchAll(agents[:9], d), ShouldBeNil)
		So(fetchWithPeerList(agents[9:], agents, d), ShouldBeNil)
		So(allHold(agents, m), ShouldBeTrue)
		So(copiesRead(origin, m), ShouldBeLessThanOrEqualTo, maxCopiesReadWithFault)
	})
}

func TestRegionCutOffFromTheOrigin(t *testing.T) {
	Convey("Given a region whose agents cannot reach the origin", t, func() {
		origin := newFakeOrigin()
		d, m := origin.publish(t, "v1", 64)
		agents := startAgents(t, 8, origin, []string{"r1/a", "r2/b"}, nil)
		for _, a := range agents {
			if a.cfg.Self.Region == "r2" {
				a.origin = unreachableOrigin{}
			}
		}
		Convey("they fetch the chunks from the other region", func() {
			So(fetchAll(agents, d), ShouldBeNil)
			So(allHold(agents, m), ShouldBeTrue)
			So(copiesRead(origin, m), ShouldBeLessThanOrEqualTo, 1.05)
		})
	})
}

// unreachableOrigin is an origin whose calls all return platform.ErrUnavailable.
type unreachableOrigin struct{}

func (unreachableOrigin) Get(context.Context, string, int64, int64) ([]byte, error) {
	return nil, platform.ErrUnavailable
}

func (unreachableOrigin) Put(context.Context, string, []byte) error { return platform.ErrUnavailable }

func TestAgentsWithDifferentPeerLists(t *testing.T) {
	Convey("Given agents whose lists of peers each lack two other agents", t, func() {
		origin := newFakeOrigin()
		d, m := origin.publish(t, "v1", 64)
		agents := startAgents(t, 12, origin, []string{"r1/a"}, nil)
		errs := make(chan error, len(agents))
		for i, a := range agents {
			var listed []*fakeAgent
			for j, other := range agents {
				if j != (i+1)%len(agents) && j != (i+5)%len(agents) {
					listed = append(listed, other)
				}
			}
			go func() { errs <- fetchWithPeerList([]*fakeAgent{a}, listed, d) }()
		}
		for range agents {
			So(<-errs, ShouldBeNil)
		}
		So(allHold(agents, m), ShouldBeTrue)
		So(copiesRead(origin, m), ShouldBeLessThanOrEqualTo, 2)
	})
}

func TestOriginFailsAfterOneReadOfEachObject(t *testing.T) {
	Convey("Given an origin that returns each object once and then fails", t, func() {
		origin := newFakeOrigin()
		d, m := origin.publish(t, "v1", 64)
		origin.fault = func(name string, body []byte) ([]byte, error) {
			if origin.readCounts[name] > 0 {
				return nil, platform.ErrUnavailable
			}
			return body, nil
		}
		agents := startAgents(t, 9, origin, []string{"r1/a", "r1/b", "r2/c"}, nil)
		So(fetchAll(agents, d), ShouldBeNil)
		So(allHold(agents, m), ShouldBeTrue)
		So(copiesRead(origin, m), ShouldBeLessThanOrEqualTo, 1)
	})
}

func TestVersionLargerThanTheMemory(t *testing.T) {
	Convey("A version that does not fit into the store is rejected at once", t, func() {
		origin := newFakeOrigin()
		d, _ := origin.publish(t, "v1", 64)
		agents := startAgents(t, 1, origin, []string{"r1/a"}, nil)
		agents[0].store.maxBytes = 32 * testChunkBytes
		err := fetchAll(agents, d)
		So(errors.Is(err, ErrFull), ShouldBeTrue)
		So(agents[0].store.Bytes(), ShouldBeLessThanOrEqualTo, int64(32*testChunkBytes))
	})
	Convey("Of two versions that do not fit together, no chunk of the second is read", t, func() {
		origin := newFakeOrigin()
		first, m := origin.publish(t, "v1", 64)
		second, _ := origin.publish(t, "v2", 64)
		agents := startAgents(t, 1, origin, []string{"r1/a"}, nil)
		agents[0].store.maxBytes = 100 * testChunkBytes
		So(fetchAll(agents, first), ShouldBeNil)
		for range 3 {
			So(errors.Is(fetchAll(agents, second), ErrFull), ShouldBeTrue)
		}
		So(allHold(agents, m), ShouldBeTrue)
		So(copiesRead(origin, m), ShouldBeLessThanOrEqualTo, 1.1)
	})
}

func TestRetainKeepsOnlyTheNamedVersions(t *testing.T) {
	Convey("Given a store with two versions", t, func() {
		origin := newFakeOrigin()
		first, m1 := origin.publish(t, "v1", 8)
		second, m2 := origin.publish(t, "v2", 8)
		agents := startAgents(t, 1, origin, []string{"r1/a"}, nil)
		So(fetchAll(agents, first), ShouldBeNil)
		So(fetchAll(agents, second), ShouldBeNil)

		Convey("fetching the first again reads nothing from the origin", func() {
			bytesRead := origin.bytesRead
			So(fetchAll(agents, first), ShouldBeNil)
			So(origin.bytesRead, ShouldEqual, bytesRead)
		})
		Convey("after Retain only the given version is left", func() {
			agents[0].store.Retain([]*manifest.Manifest{m2})
			So(allHold(agents, m2), ShouldBeTrue)
			So(allHold(agents, m1), ShouldBeFalse)
			_, held := agents[0].store.Get(core.Digest(first))
			So(held, ShouldBeFalse)
		})
	})
}

func TestOwnersWithoutPeersOfTheVersion(t *testing.T) {
	Convey("Given agents without a list of peers that fetch the version when the others hold it already", t, func() {
		origin := newFakeOrigin()
		d, m := origin.publish(t, "v1", 64)
		withoutPeers := func(i int, c *Config) {
			if i >= 8 {
				c.Peers = nil
			}
		}
		agents := startAgents(t, 12, origin, []string{"r1/a", "r1/b"}, withoutPeers)
		So(fetchWithPeerList(agents[:8], agents, d), ShouldBeNil)
		So(fetchWithPeerList(agents[8:], agents, d), ShouldBeNil)
		So(allHold(agents, m), ShouldBeTrue)
		So(copiesRead(origin, m), ShouldBeLessThanOrEqualTo, 1.05)
	})
}

func TestPeersThatStopReading(t *testing.T) {
	Convey("Given peers that request a chunk and never read it, one for each upload slot", t, func() {
		const chunkBytes = 16 << 20
		agents := startAgents(t, 2, newFakeOrigin(), []string{"r1/a"}, shortTimeouts)
		body := make([]byte, chunkBytes)
		d := core.DigestOf(body)
		So(agents[0].store.Put(d, body), ShouldBeNil)
		addr := agents[0].cfg.Self.Addr
		for range DefaultUploadSlots {
			conn, err := net.Dial("tcp", addr)
			So(err, ShouldBeNil)
			defer func() { _ = conn.Close() }()
			_, err = fmt.Fprintf(conn, "GET %s%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 127.0.0.1:1\r\n\r\n",
				ChunkPath, d, addr, core.HeaderPeerToken, testToken, headerPeerAddr)
			So(err, ShouldBeNil)
			_, err = conn.Read(make([]byte, 1))
			So(err, ShouldBeNil)
		}
		Convey("another peer is served once the stalled transfers are aborted", func() {
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			req := peerRequest{object: object{version: d, digest: d}, tier: tierHeld, maxWait: agents[1].cfg.LongPollTimeout, waitForSlot: true}
			err := errBusy
			for err != nil && ctx.Err() == nil {
				_, _, err = agents[1].fetchFromPeer(ctx, addr, req)
			}
			So(err, ShouldBeNil)
		})
	})
}
