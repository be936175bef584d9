package manifest

import (
	"context"
	"io/fs"

	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/process/platform"
)

// Publish splits the files of fsys into chunks with Split. It stores every chunk
// in weights and then the manifest, so that a stored manifest never refers to
// missing chunks. It returns the manifest and its digest. Publishing the same
// folder again is safe.
func Publish(ctx context.Context, weights platform.ObjectStore, fsys fs.FS, chunkBytes int64, base core.Digest) (*Manifest, core.Digest, error) {
	m, err := Split(fsys, chunkBytes, base, func(c Chunk, body []byte) error {
		return core.WrapStep("store chunk", c.Digest.Short(), weights.Put(ctx, ChunkName(c.Digest), body))
	})
	if err != nil {
		return nil, "", err
	}
	body, d, err := m.Encode()
	if err != nil {
		return nil, "", err
	}
	if err := weights.Put(ctx, ManifestName(d), body); err != nil {
		return nil, "", core.WrapStep("store manifest", d.Short(), err)
	}
	return m, d, nil
}
