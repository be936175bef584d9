package forward

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/request/dispatch"
	"github.com/rattanway/rattanway/test/wait"
)

func TestSharedPromptParts(t *testing.T) {
	Convey("The last part and parts without a usable ID are left out", t, func() {
		So(sharedPromptParts("m", "5c1e:800,91bd:410,e440:250"), ShouldResemble, []dispatch.PromptPart{{ID: "m/5c1e", Position: 0}, {ID: "m/91bd", Position: 1}})
		So(sharedPromptParts("m", " :800 ,5c1e:410,"+strings.Repeat("f", maxPartIDBytes+1)+":1,e440:250"), ShouldResemble, []dispatch.PromptPart{{ID: "m/5c1e", Position: 1}})
		So(sharedPromptParts("m", "e440:250"), ShouldBeEmpty)
		So(sharedPromptParts("m", ""), ShouldBeEmpty)
	})
	Convey("The number of parts is limited", t, func() {
		So(sharedPromptParts("m", strings.Repeat("a:1,", 10*maxPromptParts)), ShouldHaveLength, maxPromptParts)
	})
}

// TestServerThatEnds guards against taking a connection that broke for a server that
// ended, and the reverse.
func TestServerThatEnds(t *testing.T) {
	prompt := []string{"X-Parts", "aa:1,bb:2,cc:3"}
	Convey("A short stream without a length that ends together with the server is a possible cause", t, func() {
		var s *fakeServer
		s = newServer(t, "s", func(r receivedRequest, n int) string {
			_ = s.listener.Close()
			return respondWithoutLength("HTTP/1.1", "Content-Type: text/event-stream\r\n", event(1), false)(r, n)
		})
		f := newFixture(t, nil, s)
		f.send(t, http.MethodPost, "/resumable/", "", prompt...)
		So(wait.Until(func() bool { return f.handler.stats.serversEnded.Count() == 1 }), ShouldBeTrue)
	})
	Convey("A stream that breaks off long after it began clears no part, and one that is complete does", t, func() {
		for _, breaksOff := range []bool{true, false} {
			s := newServer(t, "s", func(r receivedRequest, _ int) string {
				if !breaksOff {
					return streamHeader(r) + chunk(event(1)) + lastChunk
				}
				if _, err := io.WriteString(r.conn, streamHeader(r)+chunk(event(1))); err == nil {
					<-time.After(minSurvival + 100*time.Millisecond)
				}
				return ""
			})
			f := newFixture(t, nil, s)
			recordEnd := func(boot string, age time.Duration) {
				f.scheduler.RecordServerEnd(boot, sharedPromptParts("", prompt[1]), time.Now().Add(-age))
			}
			recordEnd("1", 2*time.Second)
			recordEnd("2", time.Second)
			f.send(t, http.MethodPost, "/stream/", "", prompt...)
			So(s.requestCount(), ShouldEqual, 1)
			recordEnd("3", 0)
			o := f.send(t, http.MethodPost, "/stream/", "", prompt...)
			So(o.status == http.StatusServiceUnavailable, ShouldEqual, breaksOff)
			So(s.requestCount() == 1, ShouldEqual, breaksOff)
		}
	})
	Convey("Given a server that breaks off a stream", t, func() {
		ends := false
		var s *fakeServer
		s = newServer(t, "s", func(r receivedRequest, _ int) string {
			if ends {
				_ = s.listener.Close()
			}
			return streamHeader(r) + chunk(event(1)) + closeMarker
		})
		f := newFixture(t, nil, s)

		Convey("a server that still accepts connections has not ended", func() {
			f.send(t, http.MethodPost, "/resumable/", "", prompt...)
			So(wait.Until(func() bool { return len(f.handler.endChecksInProgress()) == 0 }), ShouldBeTrue)
			So(f.handler.stats.serversEnded.Count(), ShouldEqual, 0)
		})
		Convey("a server that refuses connections has ended", func() {
			ends = true
			f.send(t, http.MethodPost, "/resumable/", "", prompt...)
			So(wait.Until(func() bool { return f.handler.stats.serversEnded.Count() == 1 }), ShouldBeTrue)
		})
		Convey("a request without shared parts causes a check too, as it may come again", func() {
			ends = true
			f.send(t, http.MethodPost, "/resumable/", "")
			So(wait.Until(func() bool { return f.handler.stats.serversEnded.Count() == 1 }), ShouldBeTrue)
		})
	})
}

// Guards against requests that are refused for 10 min because nothing but a 2xx response with
// a length ever cleared them.
func TestCompleteResponsesClearRequests(t *testing.T) {
	for name, respond := range map[string]func(receivedRequest, int) string{
		"status 404": func(r receivedRequest, _ int) string { return fullResponse(r, http.StatusNotFound, "none") },
		"status 500": func(r receivedRequest, _ int) string {
			return fullResponse(r, http.StatusInternalServerError, "failed")
		},
		"status 200 and no length": func(r receivedRequest, n int) string {
			return respondWithoutLength("HTTP/1.1", "", "lot 7", false)(r, n)
		},
	} {
		Convey("Servers that end long apart under equal requests, which otherwise get "+name+", quarantine nothing", t, func() {
			f := newFixture(t, nil, newServer(t, "s", respond))
			req, err := http.NewRequest(http.MethodPost, "http://example/unsafe/", nil)
			So(err, ShouldBeNil)
			req.RequestURI = "/unsafe/"
			request := []dispatch.PromptPart{{ID: wholeRequestPrefix + fingerprint(nil, "growers", req, nil), Position: dispatch.WholeRequest}}
			for i := range 4 {
				f.scheduler.RecordServerEnd(strconv.Itoa(i), request, time.Now().Add(time.Duration(i-4)*time.Second))
				o := f.send(t, http.MethodPost, "/unsafe/", "")
				So(o.status, ShouldNotEqual, http.StatusServiceUnavailable)
				So(wait.Until(func() bool { return len(f.handler.endChecksInProgress()) == 0 }), ShouldBeTrue)
			}
		})
	}
}

// Guards against long prompts that leave no room for the request that ends the server.
func TestPartsAtRiskAreLimitedByKind(t *testing.T) {
	Convey("Requests with many prompt parts are recorded as a whole as well, and both are limited", t, func() {
		var check endCheck
		for i := range 2 * maxPartsAtRisk {
			check.add([]dispatch.PromptPart{{ID: "m/" + strconv.Itoa(i)}, {ID: strconv.Itoa(i), Position: dispatch.WholeRequest}}, i%2 == 0)
		}
		So(check.atRisk, ShouldHaveLength, 2*maxPartsAtRisk)
		So(check.atRisk, ShouldContain, dispatch.PromptPart{ID: "0", Position: dispatch.WholeRequest})
		So(check.completed, ShouldHaveLength, 2*maxPartsAtRisk)
	})
}

// endChecksInProgress returns the boots of the servers that are being checked.
func (h *Handler) endChecksInProgress() []string {
	h.endChecks.mu.Lock()
	defer h.endChecks.mu.Unlock()
	var boots []string
	for boot := range h.endChecks.running {
		boots = append(boots, boot)
	}
	return boots
}
