package declare

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/core"
)

// digestA and digestB are two well-formed digests.
var (
	digestA = core.DigestOf([]byte("a"))
	digestB = core.DigestOf([]byte("b"))
)

// validYAML is the YAML of a small set of declarations without problems.
var validYAML = fmt.Sprintf(`kind: Region
name: west
linkBytesPerSecond: 3000000
---
kind: DataCentre
name: palermo
region: west
---
kind: DataCentre
name: trapani
region: west
---
kind: Model
name: herbs
version: herbs-1
replicas: 2
---
kind: Version
name: herbs-1
model: herbs
manifest: %s
---
kind: BackendServer
name: gpu-1
dataCentre: palermo
limit: 8
coldLimit: 2
---
kind: BackendServer
name: gpu-2
dataCentre: trapani
limit: 8
coldLimit: 2
---
kind: BackendServer
name: lots-1
dataCentre: palermo
service: lots
limit: 8
coldLimit: 8
---
kind: ClientAccount
name: grower
keyHash: %s
maxInFlight: 10
---
kind: Service
name: lots
routes:
  - method: POST
    path: /register
  - method: GET
    path: /lots/
    repeatable: true
`, digestA, digestB)

// oneFile returns a list of one file that contains text.
func oneFile(text string) []File { return []File{{Name: "all.yaml", Body: []byte(text)}} }

// validSet returns the set that validYAML declares.
func validSet() *Set {
	parsed, problems := Check(oneFile(validYAML))
	So(problems, ShouldBeEmpty)
	return parsed.Set
}

// problemText returns the problems as text, one line for each.
func problemText(problems []Problem) string {
	var b strings.Builder
	for _, p := range problems {
		b.WriteString(p.String() + "\n")
	}
	return b.String()
}

func TestParse(t *testing.T) {
	Convey("Given declarations", t, func() {
		Convey("a valid set has no problems", func() {
			So(validSet().Len(), ShouldEqual, 10)
		})
		Convey("parsing the documents of a set gives the same set", func() {
			set := validSet()
			body, err := EncodeYAML(set)
			So(err, ShouldBeNil)
			parsed, problems := Check(oneFile(string(body)))
			So(problems, ShouldBeEmpty)
			So(Diff(set, parsed.Set), ShouldBeEmpty)
			again, err := EncodeYAML(parsed.Set)
			So(err, ShouldBeNil)
			So(bytes.Equal(body, again), ShouldBeTrue)
		})
		Convey("all problems of syntax and type are reported at once, each with its line", func() {
			_, problems := Parse([]File{
				{Name: "a.yaml", Body: []byte("kind: Model\nname: m\nreplicas: two\ncolour: red\ndataCentres: x\n---\nkind: Modell\nname: m\n")},
				{Name: "b.yaml", Body: []byte("kind: Region\nname: -bad\n---\nkind: Region\nname: r\nname: s\n---\n- 1\n")},
				{Name: "c.yaml", Body: []byte("kind: Region\nname: [\n")},
			})
			So(problemText(problems), ShouldEqual, strings.Join([]string{
				`a.yaml:3: Model "m": replicas: want a whole number, got "two"`,
				`a.yaml:4: Model "m": colour: unknown field`,
				`a.yaml:5: Model "m": dataCentres: want a list, got "x"`,
				`a.yaml:7: kind "Modell": want one of Region, DataCentre, Model, Version, BackendServer, ClientAccount, Service`,
				`b.yaml:2: Region "-bad": name: want 1 to 63 letters, digits, dots, dashes and underscores, the first a letter or digit`,
				`b.yaml:6: Region "r": name: given twice`,
				`b.yaml:8: want a document with the fields of one object`,
				`c.yaml:2: yaml: line 2: did not find expected node content`,
				``,
			}, "\n"))
		})
		Convey("the problem of an object declared twice contains both positions", func() {
			_, problems := Parse([]File{
				{Name: "a.yaml", Body: []byte("kind: Region\nname: r\n")},
				{Name: "b.yaml", Body: []byte("\nkind: Region\nname: r\n")},
			})
			So(problemText(problems), ShouldEqual, "b.yaml:2: Region \"r\": name: declared twice, first in a.yaml:1\n")
		})
		Convey("anchors are refused, and with them YAML bombs", func() {
			bomb := "a: &a [x,x]\nb: &b [*a,*a]\nc: &c [*b,*b]\nkind: Region\n"
			_, problems := Parse(oneFile(bomb))
			So(problemText(problems), ShouldEqual, "all.yaml:1: anchors and aliases are not allowed\n")
		})
		Convey("the problem of a name of one megabyte is a short line", func() {
			text := "kind: Region\nname: " + strings.Repeat("x", 1000000) + "\n"
			_, problems := Parse(oneFile(text))
			So(len(problems), ShouldEqual, 1)
			So(len(problems[0].String()), ShouldBeLessThan, 400)
		})
		Convey("a file that is too large is refused", func() {
			_, problems := Parse(oneFile(strings.Repeat("#", MaxFileBytes+1)))
			So(problemText(problems), ShouldContainSubstring, "larger than 1048576 bytes")
		})
		Convey("the number of reported problems is bounded", func() {
			_, problems := Parse(oneFile(strings.Repeat("kind: x\n---\n", 1000)))
			So(len(problems), ShouldEqual, MaxProblems)
		})
	})
}

func TestDelta(t *testing.T) {
	Convey("Given two sets", t, func() {
		old := validSet()
		changed := old.Clone()
		So(changed.SetDataCentreOut("trapani", true), ShouldBeNil)
		delete(changed.BackendServers, "lots-1")
		changed.Regions["east"] = &Region{Name: "east"}
		_, want, err := Encode(changed)
		So(err, ShouldBeNil)

		Convey("their changes are reported by field", func() {
			var text []string
			for _, c := range Diff(old, changed) {
				text = append(text, c.String())
			}
			So(text, ShouldResemble, []string{
				"add Region east",
				"change DataCentre trapani: out false -> true",
				"remove BackendServer lots-1",
			})
		})
		Convey("applying the delta to the old set gives the new set", func() {
			body, err := EncodeDelta(old, changed)
			So(err, ShouldBeNil)
			got, err := ApplyDelta(old, body, want)
			So(err, ShouldBeNil)
			So(Diff(got, changed), ShouldBeEmpty)
			So(old.DataCentres["trapani"].Out, ShouldBeFalse)
		})
		Convey("a delta applied to another set is refused", func() {
			body, err := EncodeDelta(old, changed)
			So(err, ShouldBeNil)
			other := old.Clone()
			delete(other.Models, "herbs")
			_, err = ApplyDelta(other, body, want)
			So(err, ShouldWrap, ErrDigestMismatch)
		})
		Convey("an encoding with a changed byte is refused", func() {
			body, digest, err := Encode(old)
			So(err, ShouldBeNil)
			body[len(body)/2] ^= 1
			_, err = Decode(body, digest)
			So(err, ShouldWrap, ErrDigestMismatch)
		})
	})
}

func TestDeltaIsSmallAtSixHundredServers(t *testing.T) {
	Convey("Given 600 backend servers", t, func() {
		set := validSet()
		for i := range 600 {
			name := fmt.Sprintf("gpu-%04d", i)
			set.BackendServers[name] = &BackendServer{Name: name, DataCentre: "palermo", Limit: 8, ColdLimit: 2}
		}
		changed := set.Clone()
		So(changed.SetBackendServerLeaving("gpu-0300", true), ShouldBeNil)
		delta, err := EncodeDelta(set, changed)
		So(err, ShouldBeNil)
		full, _, err := Encode(changed)
		So(err, ShouldBeNil)
		Convey("the delta of a change to one server is smaller than 1 KiB", func() {
			t.Logf("delta %d bytes, full encoding %d bytes", len(delta), len(full))
			So(len(delta), ShouldBeLessThan, 1024)
		})
	})
}
