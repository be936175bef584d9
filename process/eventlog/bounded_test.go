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

var eventTest = Define(9900, "test-event", logrus.InfoLevel, "An event for tests.")

func TestBoundedLogger(t *testing.T) {
	Convey("A blocked log output never blocks a caller, and the number of dropped lines is logged", t, func() {
		reader, writer := io.Pipe()
		l, closer := NewBounded(writer, logrus.InfoLevel, "test")
		l.limits = nil // tests the queue without the rate limits
		logged := make(chan struct{})
		go func() {
			defer close(logged)
			for range 2 * maxQueuedLines {
				l.Event(eventTest, Fields{})
			}
		}()
		select {
		case <-logged:
		case <-time.After(10 * time.Second):
			t.Fatal("a log line blocked its caller")
		}
		output := make(chan string, 1)
		go func() {
			raw, _ := io.ReadAll(reader)
			output <- string(raw)
		}()
		So(closer.Close(), ShouldBeNil)
		So(writer.Close(), ShouldBeNil)
		So(<-output, ShouldContainSubstring, `"msg":"log-lines-dropped"`)
	})

	Convey("Lines above the rate limit of an event are left out and counted", t, func() {
		var out bytes.Buffer
		l, closer := NewBounded(&out, logrus.InfoLevel, "test")
		const events = 3 * maxLineBurst
		start := time.Now()
		for range events {
			l.Event(eventTest, Fields{})
		}
		allowed := maxLineBurst + int(time.Since(start).Seconds()*maxLinesPerSecond) + 1
		limit, _ := l.limits.byNumber.Load(eventTest.Number)
		limit.(*rateLimit).limiter.SetLimit(1e9)
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
