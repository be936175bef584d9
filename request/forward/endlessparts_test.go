package forward

import (
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against memory that grows with what a faulty server sends in the parts of a
// response that are neither its first line, its headers nor its body.
func TestServerThatSendsOddPartsWithoutEnd(t *testing.T) {
	const (
		callerCount  = 10
		maxHeldBytes = 16 << 20
	)
	head := func(id, framing string) string {
		return "HTTP/1.1 200 X\r\nX-Receipt: r\r\nX-Id: " + id + "\r\n" + framing + "\r\n"
	}
	const chunked = "Transfer-Encoding: chunked\r\n"
	own := func(r receivedRequest) string { return r.req.Header.Get("X-Id") }
	for name, kind := range map[string]struct {
		begin  func(receivedRequest) string
		filler string
	}{
		"interim responses":               {func(receivedRequest) string { return "" }, "HTTP/1.1 102 X\r\nX-Id: id-1\r\n\r\n"},
		"headers of an interim response":  {func(receivedRequest) string { return "HTTP/1.1 103 X\r\n" }, "X-Many: a\r\n"},
		"responses to other requests":     {func(receivedRequest) string { return "" }, head("other", "Content-Length: 1\r\n") + "x"},
		"a body of another request":       {func(receivedRequest) string { return head("other", chunked) }, chunk("body")},
		"an extension of a chunk":         {func(r receivedRequest) string { return head(own(r), chunked) + "4;" }, "extension"},
		"the size of a chunk":             {func(r receivedRequest) string { return head(own(r), chunked) }, "0"},
		"a trailer":                       {func(r receivedRequest) string { return head(own(r), chunked) + "0\r\n" }, "X-Trailer: a\r\n"},
		"a body that says it was not run": {func(r receivedRequest) string { return head(own(r), chunked+"X-Not-Run: 1\r\n") }, chunk("body")},
	} {
		Convey("Given a server that sends "+name+" without end, requests end and memory stays bounded", t, func() {
			f := newFixture(t, nil, newEndlessServer(t, "endless", kind.begin, kind.filler))
			before := heldBytes()
			var callers sync.WaitGroup
			for range callerCount {
				callers.Go(func() {
					r := f.send(t, http.MethodPost, "/unsafe/", "", "X-Deadline", "2000")
					if r.err == nil && r.status == http.StatusOK {
						t.Error("a client got status " + strconv.Itoa(r.status))
					}
				})
			}
			done := make(chan struct{})
			go func() {
				callers.Wait()
				close(done)
			}()
			most := uint64(0)
			for ended := false; !ended; {
				select {
				case <-done:
					ended = true
				case <-time.After(50 * time.Millisecond):
					most = max(most, heldBytes())
				}
			}
			So(most, ShouldBeLessThan, before+maxHeldBytes)
		})
	}
}
