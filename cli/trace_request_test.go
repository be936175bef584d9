package cli

import (
	"bytes"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const testLog = `{"event":500,"msg":"server-chosen","process":"entry-1","request":"r1","server":"gpu-1","why":"own data centre","time":"2026-12-04T04:00:00.001Z"}
{"event":500,"msg":"server-chosen","process":"entry-1","request":"r2","server":"gpu-2","time":"2026-12-04T04:00:00.002Z"}
panic: not a log line
{"event":520,"msg":"once-claimed","process":"entry-1","request":"r1","row":"once/a/b/c","attempt":1,"time":"2026-12-04T04:00:00.003Z"}
{"event":407,"msg":"attempt-asked","process":"gpu-1","key":"once/a/b/c","time":"2026-12-04T04:00:00.004Z"}
`

func TestTraceRequest(t *testing.T) {
	Convey("Given the log lines of several processes", t, func() {
		lines, err := parseLog(strings.NewReader(testLog))
		So(err, ShouldBeNil)
		So(lines, ShouldHaveLength, 4)
		Convey("a trace shows the lines of the request and those of its once-only call", func() {
			var out bytes.Buffer
			writeTrace(&out, linesAbout(lines, "r1"))
			So(out.String(), ShouldContainSubstring, "server=gpu-1 why=own data centre")
			So(out.String(), ShouldContainSubstring, "407 attempt-asked")
			So(out.String(), ShouldContainSubstring, "3.000")
			So(out.String(), ShouldNotContainSubstring, "gpu-2")
		})
		Convey("an unknown request has no lines", func() {
			So(linesAbout(lines, "r9"), ShouldBeEmpty)
		})
	})
}
