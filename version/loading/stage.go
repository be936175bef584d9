package loading

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/rattanway/rattanway/process/eventlog"
)

// stage stages the chunks of a version at the server unless all are staged already.
func (l *Loader) stage(ctx context.Context, w WantedVersion) error {
	l.mu.Lock()
	digests, alreadyStaged := l.digests[versionKey{w.Model, w.Version}], l.stagedVersions[w.Model] == w.Version
	delete(l.stagedVersions, w.Model)
	l.mu.Unlock()
	if len(digests) == 0 {
		return l.markNotFetched(w, 0)
	}
	start := l.cfg.Clock.Now()
	for i, d := range digests {
		if alreadyStaged {
			break
		}
		chunk, ok := l.cfg.Swarm.Store().Get(d)
		if !ok {
			return l.markNotFetched(w, i)
		}
		if err := l.stageChunk(ctx, w.Model, i, chunk); err != nil {
			return err
		}
	}
	l.mu.Lock()
	l.stagedVersions[w.Model] = w.Version
	l.mu.Unlock()
	if !alreadyStaged {
		l.cfg.Log.Event(eventStaged, eventlog.Fields{
			"model": w.Model, "version": w.Version, "ms": l.cfg.Clock.Since(start).Milliseconds(),
		})
	}
	return nil
}

// stageChunk stages one chunk.
func (l *Loader) stageChunk(ctx context.Context, model string, chunkNumber int, chunk []byte) error {
	l.mu.Lock()
	l.proof.stagedSince = true
	l.mu.Unlock()
	return l.cfg.Server.Stage(ctx, model, chunkNumber, chunk)
}

// markNotFetched causes a version to be fetched again because a chunk is missing
// from the store. It returns an error that names the chunk.
func (l *Loader) markNotFetched(w WantedVersion, chunkNumber int) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.fetched, versionKey{w.Model, w.Version})
	return errors.Errorf("chunk %d is missing from the store", chunkNumber)
}
