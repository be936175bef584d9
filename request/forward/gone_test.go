package forward

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/test/wait"
	"github.com/rattanway/rattanway/version/catalog"
)

// TestRequestOfAClientThatLeft guards against requests that reach a server long after
// their client has left: while the link to the server is narrow, the request waits in
// the socket, and a plain close would still deliver it.
func TestRequestOfAClientThatLeft(t *testing.T) {
	Convey("Given a server that does not read for a while, as behind a narrow link", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer func() { _ = listener.Close() }()
		accepted := make(chan net.Conn, 1)
		go func() {
			if conn, err := listener.Accept(); err == nil {
				accepted <- conn
			}
		}()
		f := newFixture(t, func(c *catalog.Config) { c.Limits.MaxBodyBytes = 32 << 20 })
		f.holder.Apply([]catalog.Change{{Server: &catalog.Server{
			ID: "narrow", Service: "registry", Addr: listener.Addr().String(), DataCentre: "palermo", Slots: 4,
		}}}, true, true, time.Now())

		Convey("when the client leaves, the rest of its request is not delivered", func() {
			// The body does not fit into the buffers of the sockets.
			const bodyBytes = 16 << 20
			ctx, leave := context.WithCancel(t.Context())
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, f.httpServer.URL+"/unsafe/", strings.NewReader(strings.Repeat("x", bodyBytes)))
			So(err, ShouldBeNil)
			req.Host = "example"
			req.Header.Set("Authorization", "Token k1")
			transport := &http.Transport{DisableKeepAlives: true}
			left := make(chan struct{})
			go func() {
				defer close(left)
				if resp, err := transport.RoundTrip(req); err == nil {
					_ = resp.Body.Close()
				}
			}()
			conn := <-accepted
			defer func() { _ = conn.Close() }()
			// Part of the request has been sent.
			_, err = io.ReadFull(conn, make([]byte, 1024))
			So(err, ShouldBeNil)
			leave()
			<-left
			So(wait.Until(func() bool { return f.handler.ActiveCount() == 0 }), ShouldBeTrue)

			n, err := io.Copy(io.Discard, conn)
			So(err, ShouldNotBeNil)
			So(n, ShouldBeLessThan, bodyBytes)
		})
	})
}
