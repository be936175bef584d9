package eventlog

import (
	"bytes"
	"encoding/json"
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

	Convey("An event beyond its rate is left out, and every line is accounted for", t, func() {
		var out bytes.Buffer
		l, closer := NewBounded(&out, logrus.InfoLevel, "test")
		const events = 3 * linesBurst
		start := time.Now()
		for range events {
			l.Event(eventTest, Fields{})
		}
		allowed := linesBurst + int(time.Since(start).Seconds()*linesPerSecond) + 1
		one, _ := l.limits.events.Load(eventTest.Number)
		one.(*limit).rate.SetLimit(1e9)
		<-time.After(time.Millisecond)
		l.Event(eventTest, Fields{})
		So(closer.Close(), ShouldBeNil)
		lines := strings.Split(strings.TrimSpace(out.String()), "\n")
		leftOut := 0
		for _, line := range lines {
			var fields struct {
				LeftOut int `json:"leftOut"`
			}
			So(json.Unmarshal([]byte(line), &fields), ShouldBeNil)
			leftOut += fields.LeftOut
		}
		So(len(lines), ShouldBeLessThanOrEqualTo, allowed+1)
		So(len(lines)+leftOut, ShouldEqual, events+1)
	})
}
