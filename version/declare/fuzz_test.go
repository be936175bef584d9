package declare

import (
	"bytes"
	"strings"
	"testing"

	"github.com/rattanway/rattanway/core"
)

// hostileInputs are inputs like those on which YAML parsers are known to fail.
var hostileInputs = []string{
	"",
	"kind: Region\nname: r\n",
	"kind: Model\nname: m\nreplicas: 1e99\nversion: !!binary aGk=\n",
	"a: &a [*a]\n",
	"a: &a [x,x,x]\nb: &b [*a,*a,*a]\nc: [*b,*b,*b]\n",
	"<<: {kind: Region}\nname: r\n",
	"kind: [Region]\nname: {r: 1}\n",
	"? [kind]\n: Region\n",
	"kind: Region\nname: \"\\xff\\u0000\"\n",
	"kind: Region\r\nname: r\r\n...\n---\n---\n",
	"%YAML 9.9\n---\nkind: Region\n",
	strings.Repeat("[", 20000),
	strings.Repeat("{a: ", 5000),
	"kind: Region\nname: " + strings.Repeat("n", 5000) + "\n",
	"kind: Service\nname: s\nroutes: [[{method: [GET]}], null, 3]\n",
	"\xff\xfe\x00k",
}

// FuzzCheck checks that no text makes Check panic, and that the number of
// problems and the length of each problem are limited. It also checks that a set
// without problems is unchanged after encoding and decoding.
func FuzzCheck(f *testing.F) {
	f.Add(validYAML)
	for _, text := range hostileInputs {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		parsed, problems := Check([]File{{Name: "f.yaml", Body: []byte(text)}})
		if len(problems) > MaxProblems {
			t.Fatalf("%d problems", len(problems))
		}
		for _, p := range problems {
			if len(p.String()) > 2000 {
				t.Fatalf("a problem of %d bytes", len(p.String()))
			}
		}
		if len(problems) == 0 {
			checkRoundTrip(t, parsed.Set)
		}
	})
}

// checkRoundTrip fails the test if a set differs after a round trip through its
// canonical encoding and its YAML documents.
func checkRoundTrip(t *testing.T, set *Set) {
	t.Helper()
	body, digest, err := Encode(set)
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := Decode(body, digest)
	if err != nil {
		t.Fatal(err)
	}
	documents, err := EncodeYAML(decoded)
	if err != nil {
		t.Fatal(err)
	}
	again, problems := Check([]File{{Name: "again.yaml", Body: documents}})
	if len(problems) > 0 {
		t.Fatalf("%s\n%s", problemText(problems), documents)
	}
	second, _, err := Encode(again.Set)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(body, second) {
		t.Fatalf("the set differs after the round trip:\n%s", documents)
	}
}

// unusedDigest is the digest of bytes that are not the encoding of a set.
var unusedDigest = core.DigestOf([]byte("no set"))

// FuzzDecode checks that no input makes Decode or ApplyDelta panic, and that
// ApplyDelta refuses a result whose digest is not the expected digest.
func FuzzDecode(f *testing.F) {
	parsed, _ := Parse(oneFile(validYAML))
	full, _, err := Encode(parsed.Set)
	if err != nil {
		f.Fatal(err)
	}
	delta, err := EncodeDelta(NewSet(), parsed.Set)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(full)
	f.Add(delta)
	f.Add([]byte("\xa1\x67regions\xa1\x61r\xf6"))
	f.Add([]byte("\xa1\x01\xa1\x01\xa1\x60\xf6"))
	f.Add(bytes.Repeat([]byte{0x81}, 1000))
	f.Add([]byte{0xbb, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, body []byte) {
		if set, err := Decode(body, core.DigestOf(body)); err == nil {
			Validate(set)
			Diff(NewSet(), set)
		}
		if _, err := ApplyDelta(parsed.Set, body, unusedDigest); err == nil {
			t.Fatal("ApplyDelta accepted a result with another digest than expected")
		}
	})
}
