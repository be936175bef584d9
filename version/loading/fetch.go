package loading

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/process/eventlog"
	"github.com/rattanway/rattanway/version/manifest"
	"github.com/rattanway/rattanway/version/spread"
)

// newestFetched returns the newest pending version among those whose chunks are
// in the store.
func (l *Loader) newestFetched(pending []WantedVersion) (WantedVersion, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := len(pending) - 1; i >= 0; i-- {
		if l.fetched[versionKey{pending[i].Model, pending[i].Version}] {
			return pending[i], true
		}
	}
	return WantedVersion{}, false
}

// startFetch starts to fetch a version into the store, unless the version is in
// the store or its fetch is in progress. If heldByServer is true, the chunks are
// copied from the server, so that other agents can fetch them from this agent.
func (l *Loader) startFetch(ctx context.Context, w WantedVersion, heldByServer bool) {
	k := versionKey{w.Model, w.Version}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fetched[k] || l.fetching[k] != nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	l.fetching[k] = cancel
	go func() {
		defer cancel()
		start := l.cfg.Clock.Now()
		err := l.fetch(ctx, w, heldByServer)
		l.mu.Lock()
		delete(l.fetching, k)
		l.fetched[k] = err == nil
		if err == nil {
			l.recordFetched(w, heldByServer)
		}
		if err != nil && !errors.Is(err, spread.ErrFull) && ctx.Err() == nil {
			// The digests may be the reason: no chunk matches wrong ones.
			delete(l.digests, k)
		}
		l.mu.Unlock()
		if err != nil {
			if ctx.Err() == nil {
				l.logFailure("fetch", k, err)
			}
			return
		}
		l.cfg.Log.Event(eventFetched, eventlog.Fields{
			"model": w.Model, "version": w.Version, "held": heldByServer, "ms": l.cfg.Clock.Since(start).Milliseconds(),
		})
		select {
		case l.wake <- struct{}{}:
		default:
		}
	}()
}

// fetchNewer starts to fetch the versions that are needed and newer than version k, which
// the server is about to hold.
func (l *Loader) fetchNewer(ctx context.Context, k versionKey) {
	l.mu.Lock()
	needed := l.neededVersions(l.declared[k.model].newerThan(k.version))
	l.mu.Unlock()
	for _, w := range needed {
		l.startFetch(ctx, w, false)
	}
}

// digestsFor returns the digests of a declared version. Concurrent callers share
// one lookup.
func (l *Loader) digestsFor(ctx context.Context, k versionKey) ([]core.Digest, error) {
	for {
		l.mu.Lock()
		if d, ok := l.digests[k]; ok {
			l.mu.Unlock()
			return d, nil
		}
		target := l.target
		w, declared := l.declaredVersion(k)
		if !declared {
			l.mu.Unlock()
			return nil, errors.New("version is not wanted here")
		}
		inProgress, ok := l.digestLookups[k]
		if ok {
			l.mu.Unlock()
			select {
			case <-inProgress:
				continue
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}
		done := make(chan struct{})
		l.digestLookups[k] = done
		l.mu.Unlock()
		found, err := l.finder.findDigests(ctx, w, target)
		l.mu.Lock()
		delete(l.digestLookups, k)
		if err == nil {
			l.digests[k] = found
			l.cfg.OriginChunks.AddVersion(k, found)
		}
		l.mu.Unlock()
		close(done)
		if err != nil {
			return nil, err
		}
	}
}

// declaredVersion returns the version with key k, and whether it has been
// declared. The caller must hold l.mu.
func (l *Loader) declaredVersion(k versionKey) (WantedVersion, bool) {
	d, ok := l.declared[k.model]
	if !ok {
		return WantedVersion{}, false
	}
	for _, w := range *d {
		if w.Version == k.version {
			return w, true
		}
	}
	return WantedVersion{}, false
}

// isDeclared reports whether a version has been declared.
func (l *Loader) isDeclared(k versionKey) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, ok := l.declaredVersion(k)
	return ok
}

// fetch puts the manifest and the chunks of a version into the store. If
// heldByServer is true, it copies the chunks from the server.
func (l *Loader) fetch(ctx context.Context, w WantedVersion, heldByServer bool) error {
	digests, err := l.digestsFor(ctx, versionKey{w.Model, w.Version})
	if err != nil {
		return err
	}
	m := manifestOf(w, digests)
	body, digest, err := m.Encode()
	if err != nil {
		return err
	}
	store := l.cfg.Swarm.Store()
	store.Retain(l.forgetOldVersions())
	if err := store.Put(digest, body); err != nil {
		return err
	}
	if heldByServer {
		return l.copyStagedToStore(ctx, w, digests)
	}
	l.cfg.Log.Event(eventFetching, eventlog.Fields{
		"model": w.Model, "version": w.Version, "sources": len(l.ChunkSources()), "agents": len(l.currentTarget().Agents),
	})
	_, err = l.cfg.Swarm.Fetch(ctx, digest, l.ChunkSources)
	return err
}

// ChunkSources returns the agents among which the chunks are divided. Every agent
// needs this list even before it starts to fetch. Without it, an agent would act
// as the owner of every chunk that another agent requests, and read that chunk
// from the origin.
func (l *Loader) ChunkSources() []spread.Peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.target.sources()
}

// forgetOldVersions returns the manifests of the versions that the store keeps: for each
// model the newest version and the needed ones. It marks all other versions as not
// fetched.
func (l *Loader) forgetOldVersions() []*manifest.Manifest {
	l.mu.Lock()
	defer l.mu.Unlock()
	var keep []*manifest.Manifest
	for model, d := range l.declared {
		needed := l.neededVersions(d.newerThan(l.state.Weights[model]))
		for i, w := range *d {
			k := versionKey{model, w.Version}
			if i < len(*d)-1 && !containsVersion(needed, w.Version) {
				delete(l.fetched, k)
				continue
			}
			if digests, ok := l.digests[k]; ok {
				keep = append(keep, manifestOf(w, digests))
			}
		}
	}
	return keep
}

// manifestOf returns a manifest that describes the chunks of a version as one
// file. Every agent builds the same manifest, so that the manifest's digest
// identifies the version in the swarm.
func manifestOf(w WantedVersion, digests []core.Digest) *manifest.Manifest {
	f := manifest.File{Path: w.Model}
	for _, d := range digests {
		f.Chunks = append(f.Chunks, manifest.Chunk{Digest: d, Size: int64(w.ChunkBytes)})
		f.Size += int64(w.ChunkBytes)
	}
	return &manifest.Manifest{Files: []manifest.File{f}}
}

// copyStagedToStore copies the staged chunks of a version from the server into
// the store. It skips chunks that are missing or do not match their digests.
func (l *Loader) copyStagedToStore(ctx context.Context, w WantedVersion, digests []core.Digest) error {
	for i, d := range digests {
		chunk, err := l.cfg.Server.ReadStaged(ctx, w.Model, i)
		if err != nil || !d.Matches(chunk) {
			continue
		}
		if err := l.cfg.Swarm.Store().Put(d, chunk); err != nil {
			return err
		}
	}
	return nil
}
