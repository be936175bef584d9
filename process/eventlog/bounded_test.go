package eventlog

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	. "github.com/smartystreets/goconvey/convey"
)

var eventTest = Define(9900, "test-event", logrus.InfoLevel, "An event of the tests.")

func TestBoundedLogger(t *testing.T) {
	Convey("A reader that stops reading never blocks a caller, and learns how much it missed", t, func() {
		reader, writer := io.Pipe()
		l, closer := NewBounded(writer, logrus.InfoLevel, "test")
		l.limits = nil // the queue alone is tested here
		done := make(chan struct{})
		go func() {
			defer close(done)
			for range 2 * queueLines {
				l.Event(eventTest, Fields{})
			}
		}()
		select {
		case <-done:
		case <-time.After(10 * time.Second):
			t.Fatal("a log line blocked its caller")
		}
		read := make(chan string, 1)
		go func() {
			raw, _ := io.ReadAll(reader)
			read <- string(raw)
		}()
		So(closer.Close(), ShouldBeNil)
		So(writer.Close(), ShouldBeNil)
		So(<-read, ShouldContainSubstring, `"msg":"log-lines-dropped"`)
	})

	Convey("An event beyond its rate is left out, and the count is told", t, func() {
		var out bytes.Buffer
		l, closer := NewBounded(&out, logrus.InfoLevel, "test")
		for range 3 * linesBurst {
			l.Event(eventTest, Fields{})
		}
		one, _ := l.limits.events.Load(eventTest.Number)
		So(one.(*limit).leftOut.Load(), ShouldBeGreaterThan, linesBurst)
		one.(*limit).rate.SetBurst(10 * linesBurst)
		one.(*limit).rate.SetLimit(1e9)
		l.Event(eventTest, Fields{})
		So(closer.Close(), ShouldBeNil)
		So(strings.Count(out.String(), "\n"), ShouldBeLessThan, 2*linesBurst)
		So(out.String(), ShouldContainSubstring, `"leftOut":`)
	})
}
