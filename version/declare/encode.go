package declare

import (
	"bytes"
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
	"gopkg.in/yaml.v3"

	"github.com/rattanway/rattanway/core"
)

// MaxEncodedBytes is the maximum size, in bytes, of the encodings that Decode and
// ApplyDelta accept.
const MaxEncodedBytes = 8 << 20

// ErrDigestMismatch is returned when an encoding or a set does not have the expected
// digest.
var ErrDigestMismatch = errors.New("digest does not match")

var (
	encMode = newEncMode()
	decMode = newDecMode()
)

// newEncMode returns the mode of the canonical encoding, in which equal sets give
// equal bytes.
func newEncMode() cbor.EncMode {
	mode, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// newDecMode returns a decoding mode that limits the time and the memory that
// decoding a malicious encoding can take.
func newDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  8,
		MaxArrayElements: MaxObjects,
		MaxMapPairs:      MaxObjects,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode returns the canonical encoding of s, and the digest of the encoding.
func Encode(s *Set) ([]byte, core.Digest, error) {
	body, err := encMode.Marshal(s.Clone())
	if err != nil {
		return nil, "", errors.Wrap(err, "encode declarations")
	}
	return body, core.DigestOf(body), nil
}

// Decode decodes an encoded set. It returns ErrDigestMismatch if the digest of body
// differs from expected.
func Decode(body []byte, expected core.Digest) (*Set, error) {
	if len(body) > MaxEncodedBytes {
		return nil, errors.Errorf("decode declarations: %d bytes, more than %d", len(body), MaxEncodedBytes)
	}
	if !expected.Matches(body) {
		return nil, errors.Wrapf(ErrDigestMismatch, "decode declarations %s", expected.Short())
	}
	s := NewSet()
	if err := decMode.Unmarshal(body, s); err != nil {
		return nil, errors.Wrap(err, "decode declarations")
	}
	if err := checkMapKeys(s); err != nil {
		return nil, err
	}
	return s.Clone(), nil
}

// checkMapKeys checks the maps of the set. It returns an error if the key of an
// object is empty or differs from the object's name.
func checkMapKeys(s *Set) error {
	for _, c := range collections {
		for _, name := range c.names(s) {
			if name == "" || nameOf(c.get(s, name)) != name {
				return errors.Errorf("decode declarations: %s %q stands under another name", c.kind, shorten(name))
			}
		}
	}
	return nil
}

// EncodeYAML encodes the set as YAML, with one document for each object, ordered
// by kind and name. Equal sets give equal bytes, and Parse restores the same set.
func EncodeYAML(s *Set) ([]byte, error) {
	var out bytes.Buffer
	for _, c := range collections {
		for _, name := range c.names(s) {
			body, err := yaml.Marshal(c.get(s, name))
			if err != nil {
				return nil, errors.Wrapf(err, "write %s %q", c.kind, name)
			}
			fmt.Fprintf(&out, "---\nkind: %s\n%s", c.kind, body)
		}
	}
	return out.Bytes(), nil
}
