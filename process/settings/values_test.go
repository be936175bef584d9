package settings

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestProblemsAreReportedTogether(t *testing.T) {
	Convey("Given invalid values of several types", t, func() {
		var number Int
		So(number.UnmarshalText([]byte("many")), ShouldBeNil)
		var wait Duration
		So(wait.UnmarshalText([]byte("1h")), ShouldBeNil)
		var problems Problems
		problems.Add(number.Check("--limit", 1, 10))
		problems.Add(wait.Check("--wait", 0, time.Minute))
		problems.Add(CheckAddr("--listen", "localhost:1"))
		problems.Add(CheckName("--id", ""))
		problems.Add(CheckToken("--peer-token", "short"))
		_, err := ParseSeed("--entries", "e1@127.0.0.1:7000/palermo")
		problems.Add(err)

		Convey("the error lists each setting with its value and the allowed values", func() {
			text := problems.Err().Error()
			So(text, ShouldContainSubstring, `--limit="many": want a whole number from 1 to 10`)
			So(text, ShouldContainSubstring, `--wait="1h": want a duration from 0s to 1m0s`)
			So(text, ShouldContainSubstring, `--listen="localhost:1"`)
			So(text, ShouldContainSubstring, `--id is missing`)
			So(text, ShouldContainSubstring, `--peer-token="(hidden)"`)
			So(text, ShouldContainSubstring, `--entries="e1@127.0.0.1:7000/palermo"`)
		})
	})
	Convey("Valid values give no error", t, func() {
		in, err := ParseSeed("--entries", "e1@127.0.0.1:7000/palermo/west")
		So(err, ShouldBeNil)
		So(in.Addr, ShouldEqual, "127.0.0.1:7000")
		So(Problems{}.Err(), ShouldBeNil)
	})
}
