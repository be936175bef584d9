package eventlog

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/sirupsen/logrus"
	. "github.com/smartystreets/goconvey/convey"
)

func TestEventLines(t *testing.T) {
	Convey("Given a logger and an event", t, func() {
		var out bytes.Buffer
		log := New(&out, logrus.InfoLevel, "entry-1")
		e := Event{Number: 999, Name: "sample", Level: logrus.InfoLevel}

		Convey("a line holds the number, the name, the process and the fields", func() {
			log.Event(e, Fields{"request": "r1"})
			var line map[string]any
			So(json.Unmarshal(out.Bytes(), &line), ShouldBeNil)
			So(line["event"], ShouldEqual, 999)
			So(line["msg"], ShouldEqual, "sample")
			So(line["process"], ShouldEqual, "entry-1")
			So(line["request"], ShouldEqual, "r1")
		})
		Convey("an event below the logger's level is not written", func() {
			e.Level = logrus.DebugLevel
			log.Event(e, nil)
			So(out.Len(), ShouldEqual, 0)
		})
	})
}
