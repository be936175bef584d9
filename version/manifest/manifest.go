// Package manifest describes an immutable version of a model's files as ordered
// lists of chunks. The digest of the encoded manifest identifies the version.
package manifest

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/rattanway/rattanway/core"
)

// DefaultChunkBytes is the default size of a chunk, in bytes. The last chunk of
// a file may be smaller.
const DefaultChunkBytes = 4 << 20

// Chunk identifies a contiguous part of a file by its content.
type Chunk struct {
	// Digest is the digest of the chunk's bytes.
	Digest core.Digest `cbor:"1,keyasint" json:"digest"`
	// Size is the chunk's length in bytes.
	Size int64 `cbor:"2,keyasint" json:"size"`
}

// File describes one file of a model and the chunks that make up its content.
type File struct {
	// Path is the slash-separated path of the file, relative to the model's
	// folder.
	Path string `cbor:"1,keyasint" json:"path"`
	// Size is the file's length in bytes.
	Size int64 `cbor:"2,keyasint" json:"size"`
	// Chunks lists the file's chunks in the order of its content.
	Chunks []Chunk `cbor:"3,keyasint" json:"chunks"`
}

// Manifest lists the files of one version, sorted by path.
type Manifest struct {
	// Base is set for an adapter, which is applied to the weights of another
	// version: it is the manifest digest of that base version. It is empty for
	// a full model.
	Base core.Digest `cbor:"1,keyasint,omitempty" json:"base,omitempty"`
	// Files lists the version's files, sorted by path.
	Files []File `cbor:"2,keyasint" json:"files"`
}

// Chunks returns each distinct chunk of the files once, in the order in which the
// chunks first appear.
func (m *Manifest) Chunks() []Chunk {
	var all []Chunk
	seen := map[core.Digest]bool{}
	for _, f := range m.Files {
		for _, c := range f.Chunks {
			if seen[c.Digest] {
				continue
			}
			seen[c.Digest] = true
			all = append(all, c)
		}
	}
	return all
}

// Size returns the sum of the sizes of the distinct chunks, in bytes.
func (m *Manifest) Size() int64 {
	var size int64
	for _, c := range m.Chunks() {
		size += c.Size
	}
	return size
}

// Encode returns the canonical CBOR encoding of m, and the digest of the encoding.
func (m *Manifest) Encode() ([]byte, core.Digest, error) {
	mode, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		return nil, "", errors.Wrap(err, "create manifest encoder")
	}
	body, err := mode.Marshal(m)
	if err != nil {
		return nil, "", errors.Wrap(err, "encode manifest")
	}
	return body, core.DigestOf(body), nil
}

// Decode decodes the encoded manifest body. It returns an error if the digest of
// body differs from expected.
func Decode(body []byte, expected core.Digest) (*Manifest, error) {
	if !expected.Matches(body) {
		return nil, errors.Errorf("manifest %s: digest does not match its body", expected)
	}
	var m Manifest
	if err := cbor.Unmarshal(body, &m); err != nil {
		return nil, errors.Wrapf(err, "decode manifest %s", expected)
	}
	return &m, nil
}

// ManifestName returns the object name of the manifest with digest d in the weight
// store.
func ManifestName(d core.Digest) string { return "manifests/" + string(d) }

// ChunkName returns the object name of the chunk with digest d in the weight store.
func ChunkName(d core.Digest) string { return "chunks/" + string(d) }
