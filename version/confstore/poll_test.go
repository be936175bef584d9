package confstore

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/process/eventlog"
	"github.com/rattanway/rattanway/process/platform"
	standin "github.com/rattanway/rattanway/standin/platform"
)

// maxControlBytesPerSecond is the limit on the control traffic of one instance.
const maxControlBytesPerSecond = 3 << 10

// countingListener counts the bytes read and written on its connections.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &countingConn{Conn: conn, bytes: &l.bytes}, err
}

// countingConn is a connection accepted by a countingListener.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

func TestControlTrafficOfPolling(t *testing.T) {
	Convey("Given a follower that polls once a second", t, func() {
		listener := &countingListener{}
		web := httptest.NewUnstartedServer(http.Handler(standin.New(standin.Config{}, clockwork.NewRealClock())))
		listener.Listener = web.Listener
		web.Listener = listener
		web.Start()
		defer web.Close()
		p := platform.NewHTTP(platform.Config{
			Addr:    strings.TrimPrefix(web.URL, "http://"),
			Token:   "a-token-of-the-platform",
			Timeout: time.Second,
			Metrics: metrics.NewRegistry(),
		})
		ctx := context.Background()
		applyVersions(newPublisher(p), 3)
		f := NewFollower(FollowerConfig{}, p.Table, p.ObjectStore, NewHolder(), eventlog.Discard(), clockwork.NewRealClock())
		So(f.poll(ctx), ShouldBeNil)

		Convey("a poll that finds no newer version transfers far less than the limit for one second", func() {
			const polls = 100
			before := listener.bytes.Load()
			for range polls {
				So(f.poll(ctx), ShouldBeNil)
			}
			bytesPerPoll := (listener.bytes.Load() - before) / polls
			t.Logf("%d bytes of TCP payload for each poll", bytesPerPoll)
			So(bytesPerPoll, ShouldBeLessThan, maxControlBytesPerSecond/4)
		})
	})
}
