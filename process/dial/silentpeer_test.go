package dial

import (
	"io"
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against requests that are lost because unackedTimeout ends the connection of a
// sound peer that does not read for a moment, while its buffers are full.
func TestPeerThatDoesNotReadForAMoment(t *testing.T) {
	// send sends size bytes to a peer that begins to read after silence. It returns how
	// long the write took, how many bytes the peer has got, and the error of the write.
	send := func(silence time.Duration, size int) (took time.Duration, got int64, err error) {
		listener, errListen := net.Listen("tcp", "127.0.0.1:0")
		So(errListen, ShouldBeNil)
		defer func() { _ = listener.Close() }()
		received := make(chan int64, 1)
		go func() {
			conn, errAccept := listener.Accept()
			if errAccept != nil {
				received <- -1
				return
			}
			<-time.After(silence)
			n, _ := io.Copy(io.Discard, conn)
			_ = conn.Close()
			received <- n
		}()
		conn, errDial := DialContext(t.Context(), "tcp", listener.Addr().String())
		So(errDial, ShouldBeNil)
		start := time.Now()
		_, err = conn.Write(make([]byte, size))
		took = time.Since(start)
		So(conn.Close(), ShouldBeNil)
		return took, <-received, err
	}

	const largerThanBuffers = 8 << 20
	Convey("It gets all bytes after 1.7 s", t, func() {
		_, got, err := send(1700*time.Millisecond, largerThanBuffers)
		So(err, ShouldBeNil)
		So(got, ShouldEqual, largerThanBuffers)
	})

	Convey("The connection of a peer that does not read for longer ends within 3 s", t, func() {
		took, _, err := send(4*time.Second, largerThanBuffers)
		So(err, ShouldNotBeNil)
		So(took, ShouldBeLessThan, 3*time.Second)
	})
}
