package loading

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/rattanway/rattanway/process/eventlog"
)

// loadVersion orders the server to load a staged version and waits until the
// server holds it.
func (l *Loader) loadVersion(ctx context.Context, w WantedVersion, r Report) error {
	if err := l.orderLoad(ctx, w, r); err != nil {
		return err
	}
	l.cfg.Log.Event(eventOrdered, eventlog.Fields{
		"model": w.Model, "version": w.Version, "held": r.Weights[w.Model], "running": r.RunningCount,
		"ageMs": l.cfg.Clock.Now().Sub(w.DeclaredAt).Milliseconds(),
	})
	return l.awaitLoaded(ctx, versionKey{w.Model, w.Version})
}

// orderLoad verifies the staged chunks and orders the load. If the server holds
// any weights, it first publishes that the server is about to load, so that entry
// instances send no more requests to the server.
func (l *Loader) orderLoad(ctx context.Context, w WantedVersion, r Report) error {
	if err := l.verifyStaged(ctx, w); err != nil {
		return err
	}
	if len(r.Weights) > 0 {
		l.publish(ServerState{Weights: r.Weights, Loading: true})
		l.cfg.Clock.Sleep(loadNoticeTime)
	}
	err := l.cfg.Server.Load(ctx, w.Model, w.Version, r.AcceptedOrderCount)
	if err != nil {
		l.publish(ServerState{Weights: r.Weights})
	}
	return err
}

// verifyStaged reads every staged chunk back. It stages a chunk again if the chunk
// is missing or does not match its digest.
func (l *Loader) verifyStaged(ctx context.Context, w WantedVersion) error {
	l.mu.Lock()
	digests := l.digests[versionKey{w.Model, w.Version}]
	l.mu.Unlock()
	for i, d := range digests {
		chunk, err := l.cfg.Server.ReadStaged(ctx, w.Model, i)
		if err == nil && d.Matches(chunk) {
			continue
		}
		l.cfg.Log.Event(eventCorrupt, eventlog.Fields{"model": w.Model, "version": w.Version, "piece": i})
		body, ok := l.cfg.Swarm.Store().Get(d)
		if !ok {
			return l.markNotFetched(w, i)
		}
		if err := l.cfg.Server.Stage(ctx, w.Model, i, body); err != nil {
			return err
		}
	}
	return nil
}

// awaitLoaded waits until the server reports that it holds the version. It
// returns an error after loadTimeout, or if the server ends the load order
// without holding the version.
func (l *Loader) awaitLoaded(ctx context.Context, k versionKey) error {
	start := l.cfg.Clock.Now()
	for l.cfg.Clock.Since(start) < loadTimeout {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-l.cfg.Clock.After(loadingPollInterval):
		}
		r, err := l.cfg.Server.Report(ctx)
		if err != nil {
			return err
		}
		if r.Weights[k.model] == k.version && !r.Busy {
			l.cfg.Log.Event(eventLoaded, eventlog.Fields{
				"model": k.model, "version": k.version, "ms": l.cfg.Clock.Since(start).Milliseconds(),
			})
			l.recordReport(r)
			return nil
		}
		if !r.Busy {
			l.recordReport(r)
			return errors.New("the server has ended the load order but does not hold the version")
		}
	}
	return errors.New("the server has not ended the load order within the load timeout")
}
