package manifest

import (
	"bytes"
	"testing"
	"testing/fstest"

	"github.com/go-faster/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/core"
)

func TestSplit(t *testing.T) {
	Convey("Given a folder of two files that share a chunk", t, func() {
		fsys := fstest.MapFS{
			"b/weights.bin": {Data: []byte("aaaabbbbcc")},
			"a.txt":         {Data: []byte("aaaa")},
		}
		chunks := map[core.Digest][]byte{}
		emitCount := 0
		m, err := Split(fsys, 4, "", func(c Chunk, body []byte) error {
			emitCount++
			chunks[c.Digest] = body
			return nil
		})
		So(err, ShouldBeNil)

		Convey("each distinct chunk is emitted once", func() {
			So(emitCount, ShouldEqual, 3)
			So(m.Size(), ShouldEqual, 10)
			So(len(m.Chunks()), ShouldEqual, 3)
		})
		Convey("the files are sorted, and assembling the chunks restores their content", func() {
			So(m.Files[0].Path, ShouldEqual, "a.txt")
			var out bytes.Buffer
			get := func(c Chunk) ([]byte, error) { return chunks[c.Digest], nil }
			So(Assemble(&out, m.Files[1], get), ShouldBeNil)
			So(out.String(), ShouldEqual, "aaaabbbbcc")
		})
		Convey("a chunk that does not match its digest is never written", func() {
			var out bytes.Buffer
			get := func(Chunk) ([]byte, error) { return []byte("wrong"), nil }
			So(Assemble(&out, m.Files[1], get), ShouldNotBeNil)
			So(out.Len(), ShouldEqual, 0)
		})
		Convey("the digest depends only on the content and the base", func() {
			discard := func(Chunk, []byte) error { return nil }
			again, err := Split(fsys, 4, "", discard)
			So(err, ShouldBeNil)
			adapter, err := Split(fsys, 4, core.DigestOf(nil), discard)
			So(err, ShouldBeNil)
			_, first, _ := m.Encode()
			_, second, _ := again.Encode()
			_, third, _ := adapter.Encode()
			So(second, ShouldEqual, first)
			So(third, ShouldNotEqual, first)
		})
	})
	Convey("A failed emit and an empty folder return an error", t, func() {
		fsys := fstest.MapFS{"a": {Data: []byte("a")}}
		_, err := Split(fsys, 0, "", func(Chunk, []byte) error { return errors.New("full") })
		So(err, ShouldNotBeNil)
		_, err = Split(fstest.MapFS{}, 0, "", nil)
		So(err, ShouldNotBeNil)
	})
}
