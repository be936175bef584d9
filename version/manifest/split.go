package manifest

import (
	"io"
	"io/fs"

	"github.com/go-faster/errors"

	"github.com/rattanway/rattanway/core"
)

// EmitFunc is the type of the function that Split calls once for each distinct
// chunk, in the order in which the chunks first appear. It may retain body.
type EmitFunc func(c Chunk, body []byte) error

// Split cuts every regular file of fsys into chunks, calls emit once for each
// distinct chunk, and returns the manifest. chunkBytes is the size of a chunk in
// bytes; 0 means DefaultChunkBytes. base is the manifest digest of the base
// version of an adapter, and empty for a full model. Split holds only one chunk
// in memory at a time, apart from chunks that emit retains. It returns an error
// if fsys has no regular files.
func Split(fsys fs.FS, chunkBytes int64, base core.Digest, emit EmitFunc) (*Manifest, error) {
	if chunkBytes <= 0 {
		chunkBytes = DefaultChunkBytes
	}
	s := splitter{chunkBytes: chunkBytes, emit: emit, emitted: map[core.Digest]bool{}}
	m := &Manifest{Base: base}
	// WalkDir visits the entries of each folder in lexical order, so the result
	// is the same on every machine.
	err := fs.WalkDir(fsys, ".", func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if !d.Type().IsRegular() {
			return nil
		}
		file, err := s.splitFile(fsys, path)
		if err != nil {
			return core.WrapStep("split file", path, err)
		}
		m.Files = append(m.Files, file)
		return nil
	})
	if err != nil {
		return nil, err
	}
	if len(m.Files) == 0 {
		return nil, errors.New("folder has no regular files")
	}
	return m, nil
}

// splitter is the state of one call of Split.
type splitter struct {
	chunkBytes int64
	emit       EmitFunc
	// emitted holds the digests of the chunks emitted so far, from all files.
	emitted map[core.Digest]bool
}

// splitFile splits one file into chunks, and emits the chunks that were not emitted
// before.
func (s *splitter) splitFile(fsys fs.FS, path string) (File, error) {
	source, err := fsys.Open(path)
	if err != nil {
		return File{}, err
	}
	defer func() { _ = source.Close() }()
	file := File{Path: path}
	for {
		body, err := io.ReadAll(io.LimitReader(source, s.chunkBytes))
		if err != nil {
			return File{}, err
		}
		if len(body) == 0 {
			return file, nil
		}
		chunk := Chunk{Digest: core.DigestOf(body), Size: int64(len(body))}
		file.Chunks = append(file.Chunks, chunk)
		file.Size += chunk.Size
		if s.emitted[chunk.Digest] {
			continue
		}
		s.emitted[chunk.Digest] = true
		if err := s.emit(chunk, body); err != nil {
			return File{}, err
		}
	}
}

// Assemble writes the content of one file to w. get returns the bytes of a chunk.
// If the bytes do not match the chunk's digest, Assemble does not write them and
// returns an error.
func Assemble(w io.Writer, file File, get func(Chunk) ([]byte, error)) error {
	for _, c := range file.Chunks {
		body, err := get(c)
		if err != nil {
			return core.WrapStep("read chunk "+c.Digest.Short(), "", err)
		}
		if !c.Digest.Matches(body) {
			return errors.Errorf("chunk %s of %s: digest does not match its bytes", c.Digest.Short(), file.Path)
		}
		if _, err := w.Write(body); err != nil {
			return errors.Wrapf(err, "write %s", file.Path)
		}
	}
	return nil
}
