package pause

import (
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/process/eventlog"
)

// writerFunc is called with each log line.
type writerFunc func()

func (f writerFunc) Write(p []byte) (int, error) {
	f()
	return len(p), nil
}

func TestDetector(t *testing.T) {
	Convey("Given a process that was stopped for two seconds", t, func() {
		stopped := func(w io.Writer) *Detector {
			d := New(eventlog.New(w, logrus.InfoLevel, "lots-1"))
			d.started = d.started.Add(-2 * Threshold)
			return d
		}

		Convey("the pause is counted once", func() {
			d := stopped(io.Discard)
			So(d.Pauses(), ShouldEqual, 1)
			So(d.Pauses(), ShouldEqual, 1)
		})
		Convey("who asks while another task logs the pause hears of it too", func() {
			seen := make(chan int64, 1)
			var d *Detector
			d = stopped(writerFunc(func() {
				asked := make(chan struct{})
				go func() {
					close(asked)
					seen <- d.Pauses()
				}()
				<-asked
				select {
				case n := <-seen:
					seen <- n
				case <-time.After(100 * time.Millisecond):
				}
			}))
			d.Pauses()
			So(<-seen, ShouldEqual, 1)
		})
	})
}
