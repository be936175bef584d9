package forward

import (
	"io"
	"net/http"
	"strconv"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a response that looks complete although its server stopped within the
// head.
func TestHeadThatEndsEarly(t *testing.T) {
	for _, framing := range []string{"Content-Length: 4\r\n", "", "Transfer-Encoding: chunked\r\n", "Content-Type: text/event-stream\r\n"} {
		for _, protocol := range []string{"HTTP/1.1", "HTTP/1.0"} {
			Convey("A client gets no success if a server closes within a "+protocol+" head with "+strconv.Quote(framing), t, func() {
				head := protocol + " 200 OK\r\nX-Id: id-1\r\nX-Receipt: r\r\n" + framing + "\r\n"
				for length := range len(head) {
					cut := newServer(t, "cut", func(r receivedRequest, _ int) string {
						_, _ = io.WriteString(r.conn, head[:length])
						return ""
					})
					r := newFixture(t, nil, cut).send(t, http.MethodPost, "/unsafe/", "")
					if r.err == nil && r.status != http.StatusBadGateway {
						t.Errorf("head %q: status %d, body %q", head[:length], r.status, r.body)
					}
				}
			})
		}
	}
}
