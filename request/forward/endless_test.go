package forward

import (
	"fmt"
	"io"
	"math"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/test/wait"
	"github.com/rattanway/rattanway/version/catalog"
)

// newEndlessServer starts a backend server that begins each response with the text
// that begin returns and then sends filler until the caller closes the connection.
func newEndlessServer(t *testing.T, id string, begin func(receivedRequest) string, filler string) *fakeServer {
	t.Helper()
	block := strings.Repeat(filler, 1+(16<<10)/len(filler))
	return newServer(t, id, func(r receivedRequest, _ int) string {
		if _, err := io.WriteString(r.conn, begin(r)); err != nil {
			return ""
		}
		for {
			if _, err := io.WriteString(r.conn, block); err != nil {
				return ""
			}
		}
	})
}

// heldBytes returns the memory that objects and stacks take. It is the least of three
// garbage collections in a row, because what is allocated during a collection is
// counted although it may be garbage.
func heldBytes() uint64 {
	least := uint64(math.MaxUint64)
	for range 3 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		least = min(least, m.HeapAlloc+m.StackInuse)
	}
	return least
}

func TestServerThatSendsWithoutEnd(t *testing.T) {
	const (
		callerCount = 50
		// maxHeldBytes is the stated bound for callerCount requests at once.
		maxHeldBytes = 32 << 20
	)
	status := func(receivedRequest) string { return "HTTP/1.1 200 X\r\n" }
	head := func(r receivedRequest) string {
		return "HTTP/1.1 200 X\r\nX-Receipt: r\r\nX-Id: " + r.req.Header.Get("X-Id") + "\r\n"
	}
	stream := func(r receivedRequest) string { return head(r) + "Content-Type: text/event-stream\r\n\r\n" }
	kinds := []struct {
		name, path string
		begin      func(receivedRequest) string
		filler     string
	}{
		{"bytes that are not HTTP", "/safe/", func(receivedRequest) string { return "" }, "noise "},
		{"a status line", "/safe/", func(receivedRequest) string { return "HTTP/1.1 200 " }, "O"},
		{"one header", "/safe/", func(receivedRequest) string { return "HTTP/1.1 200 X\r\nX-Long: " }, "a"},
		{"headers", "/safe/", status, "X-Many: a\r\n"},
		{"a body", "/safe/", func(r receivedRequest) string { return head(r) + "\r\n" }, "body"},
		{"a body in chunks", "/safe/", func(r receivedRequest) string { return head(r) + "Transfer-Encoding: chunked\r\n\r\n" }, chunk("body")},
		{"an event", "/resumable/", stream, "data: a\n"},
		{"events without data", "/resumable/", stream, ": comment\n\n"},
	}
	for _, kind := range kinds {
		Convey("Given a server that sends "+kind.name+" without end, and a good one", t, func() {
			endless := newEndlessServer(t, "endless", kind.begin, kind.filler)
			good := newServer(t, "good", func(r receivedRequest, _ int) string {
				if strings.HasPrefix(r.req.URL.Path, "/resumable/") {
					return streamHeader(r) + chunk(event(1)) + lastChunk
				}
				return fullResponse(r, http.StatusOK, "good")
			})
			f := newFixture(t, func(c *catalog.Config) {
				c.Routes[0].Targets[0].Service = "both"
				c.Routes[3].Targets[0].Service = "both"
				c.Services["both"] = &catalog.Service{Name: "both"}
			})
			f.holder.Apply([]catalog.Change{
				{Server: &catalog.Server{ID: "endless", Service: "both", Addr: endless.listener.Addr().String(), DataCentre: "palermo", Slots: 200}},
				{Server: &catalog.Server{ID: "good", Service: "both", Addr: good.listener.Addr().String(), DataCentre: "palermo", Slots: 200}},
				{Server: &catalog.Server{ID: "endless-2", Service: "registry", Addr: endless.listener.Addr().String(), DataCentre: "palermo", Slots: 200}},
			}, true, true, time.Now())
			before := heldBytes()
			callAll := func(path string) (statuses map[int]int, most uint64) {
				statuses = map[int]int{}
				failures := map[string]int{}
				var mu sync.Mutex
				var callers sync.WaitGroup
				for range callerCount {
					callers.Go(func() {
						r := f.send(t, http.MethodPost, path, "")
						mu.Lock()
						defer mu.Unlock()
						statuses[r.status]++
						if r.status != http.StatusOK {
							failures[fmt.Sprintf("%d %q, error %v", r.status, strings.TrimSpace(r.body), r.err)]++
						}
					})
				}
				done := make(chan struct{})
				go func() {
					callers.Wait()
					close(done)
				}()
				for {
					select {
					case <-done:
						t.Logf("%s, %s: statuses %v, at most %d bytes held; failures: %v", kind.name, path, statuses, most-min(most, before), failures)
						return statuses, most
					case <-time.After(50 * time.Millisecond):
						most = max(most, heldBytes())
					}
				}
			}

			Convey("requests that may be repeated are served by the good one, and memory stays bounded", func() {
				statuses, most := callAll(kind.path)
				So(statuses, ShouldResemble, map[int]int{http.StatusOK: callerCount})
				So(most, ShouldBeLessThan, before+maxHeldBytes)
			})
			Convey("a request that may not be repeated fails after one attempt or is refused without any, and memory stays bounded", func() {
				if kind.path != "/safe/" {
					return
				}
				statuses, most := callAll("/unsafe/")
				// Once some have failed, the server is taken for failing, and the requests
				// that have not been sent are refused.
				// On a busy machine some reach their deadline instead.
				sent := statuses[http.StatusBadGateway] + statuses[http.StatusGatewayTimeout]
				So(sent+statuses[http.StatusServiceUnavailable], ShouldEqual, callerCount)
				So(endless.requestCount(), ShouldEqual, sent)
				So(sent, ShouldBeGreaterThan, 0)
				So(most, ShouldBeLessThan, before+maxHeldBytes)
			})
		})
	}
}

func TestErrorTextOfAMalformedResponseIsShort(t *testing.T) {
	Convey("What a server sends instead of a response is quoted only in part", t, func() {
		noise := newServer(t, "noise", func(r receivedRequest, _ int) string {
			return strings.Repeat("noise", 4000) + "\r\n" + closeMarker
		})
		f := newFixture(t, nil, noise)
		r := f.send(t, http.MethodPost, "/unsafe/", "")
		So(r.status, ShouldEqual, http.StatusBadGateway)
		So(len(r.body), ShouldBeLessThan, 600)
	})
}

func TestLargeBodies(t *testing.T) {
	body := strings.Repeat("0123456789", 100_000)
	large := newServer(t, "large", func(r receivedRequest, _ int) string {
		if r.req.URL.Path == "/unsafe/cut" {
			out := fullResponse(r, http.StatusOK, body)
			return out[:len(out)-len(closeMarker)-7] + closeMarker
		}
		return fullResponse(r, http.StatusInternalServerError, "error "+body)
	})

	Convey("A body of many parts arrives whole, also after an attempt that another server did not run", t, func() {
		other := newServer(t, "other", func(r receivedRequest, _ int) string { return notRunResponse(r) })
		f := newFixture(t, nil, large, other)
		for range 3 {
			r := f.send(t, http.MethodPost, "/unsafe/", "")
			So(r.status, ShouldEqual, http.StatusInternalServerError)
			So(r.body == "error "+body, ShouldBeTrue)
		}
		So(wait.Until(func() bool { return f.handler.bodyParts.inUseCount() == 0 }), ShouldBeTrue)
	})
	Convey("A body that is cut off within a part is not taken for complete", t, func() {
		f := newFixture(t, nil, large)
		r := f.send(t, http.MethodPost, "/unsafe/cut", "")
		So(r.status, ShouldEqual, http.StatusBadGateway)
		So(wait.Until(func() bool { return f.handler.bodyParts.inUseCount() == 0 }), ShouldBeTrue)
	})
}

// inUseCount returns the number of parts in use.
func (p *bodyParts) inUseCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.inUse
}
