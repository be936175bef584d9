package pause

import (
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/process/eventlog"
)

// writerFunc is an io.Writer that calls the function for each write and discards
// the data.
type writerFunc func()

func (f writerFunc) Write(p []byte) (int, error) {
	f()
	return len(p), nil
}

func TestDetector(t *testing.T) {
	Convey("Given a process that was suspended for two seconds", t, func() {
		newSuspended := func(w io.Writer) *Detector {
			d := New(eventlog.New(w, logrus.InfoLevel, "lots-1"))
			d.started = d.started.Add(-2 * Threshold)
			return d
		}

		Convey("the pause is counted once", func() {
			d := newSuspended(io.Discard)
			So(d.PauseCount(), ShouldEqual, 1)
			So(d.PauseCount(), ShouldEqual, 1)
		})
		Convey("a caller that reads the count while another goroutine logs the pause gets the new count", func() {
			seen := make(chan int64, 1)
			var d *Detector
			d = newSuspended(writerFunc(func() {
				started := make(chan struct{})
				go func() {
					close(started)
					seen <- d.PauseCount()
				}()
				<-started
				select {
				case n := <-seen:
					seen <- n
				case <-time.After(100 * time.Millisecond):
				}
			}))
			d.PauseCount()
			So(<-seen, ShouldEqual, 1)
		})
	})
}
