package forward

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/test/wait"
)

// newSilentServer starts a server that responds to nothing until the test ends.
func newSilentServer(t *testing.T) *fakeServer {
	t.Helper()
	return newServer(t, "silent", func(receivedRequest, int) string {
		<-t.Context().Done()
		return ""
	})
}

// Guards against requests that are cut off without any response because the process ends.
func TestRequestsAreAnsweredBeforeTheStop(t *testing.T) {
	// sendAll sends n requests and returns a channel with their responses.
	sendAll := func(f *handlerFixture, n int) <-chan clientResponse {
		responses := make(chan clientResponse, n)
		for range n {
			go func() { responses <- f.send(t, http.MethodPost, "/unsafe/", "", "X-Deadline", "4000") }()
		}
		return responses
	}

	for _, late := range []bool{false, true} {
		Convey("Requests at a silent server get a response when the process stops; sent after the signal: "+strconv.FormatBool(late), t, func() {
			silent := newSilentServer(t)
			f := newFixture(t, nil, silent)
			start := time.Now()
			var responses <-chan clientResponse
			if !late {
				responses = sendAll(f, 1)
				So(wait.Until(func() bool { return silent.requestCount() == 1 }), ShouldBeTrue)
			}
			f.handler.EndRequestsAt(time.Now().Add(300 * time.Millisecond))
			if late {
				responses = sendAll(f, 1)
			}
			r := <-responses
			So(r.err, ShouldBeNil)
			So(r.status, ShouldEqual, http.StatusGatewayTimeout)
			So(time.Since(start), ShouldBeLessThan, 2*time.Second)
			if late {
				ms, err := strconv.Atoi(silent.lastRequest().req.Header.Get("X-Deadline"))
				So(err, ShouldBeNil)
				So(ms, ShouldBeLessThanOrEqualTo, 300)
			}
		})
	}
}
