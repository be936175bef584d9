package cli

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/core"
)

func TestTraceVersion(t *testing.T) {
	Convey("Given the log of an agent", t, func() {
		digest := core.DigestOf([]byte("version"))
		otherDigest := core.DigestOf([]byte("other"))
		log := `panic: not an event
{"event":301,"msg":"chunk-fetched","process":"gpu-1","time":"2026-01-02T03:04:06.000000Z","version":"` + string(digest) + `","chunk":"` + string(otherDigest) + `","from":"origin","bytes":7,"ms":3}
{"event":320,"msg":"placement-wanted","process":"gpu-1","time":"2026-01-02T03:04:05.000000Z","wanted":["m/m-1 ` + string(digest) + ` rank 0"]}
{"event":301,"msg":"chunk-fetched","process":"gpu-1","time":"2026-01-02T03:04:07.000000Z","version":"` + string(otherDigest) + `","bytes":9}
`
		path := filepath.Join(t.TempDir(), "gpu-1.log")
		So(os.WriteFile(path, []byte(log), 0o600), ShouldBeNil)
		var out bytes.Buffer

		Convey("the lines of the version are printed in order of time, with the totals", func() {
			cmd := TraceVersionCmd{Digest: string(digest), Log: []string{path}, Chunks: true}
			So(cmd.Run(&streams{Out: &out}), ShouldBeNil)
			So(out.String(), ShouldEqual, "03:04:05.000 gpu-1        320 placement-wanted wanted=[m/m-1 "+string(digest)+" rank 0]\n"+
				"03:04:06.000 gpu-1        301 chunk-fetched chunk "+otherDigest.Short()+" from origin, 7 bytes in 3 ms\n"+
				"gpu-1 got 1 objects, 7 bytes from origin\n"+
				"the origin sent 7 verified bytes of this version\n")
		})
		Convey("a version without any line gives an error", func() {
			cmd := TraceVersionCmd{Digest: string(core.DigestOf(nil)), Log: []string{path}}
			So(cmd.Run(&streams{Out: &out}), ShouldNotBeNil)
		})
	})
}
