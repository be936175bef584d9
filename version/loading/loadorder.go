package loading

import (
	"context"
	"time"

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
	return l.awaitLoaded(ctx, versionKey{w.Model, w.Version}, r.RunningCount)
}

const (
	// maxVerificationAge is the time from the start of a verification of the staged
	// chunks until the load order beyond which they are verified again. An older
	// verification would likely lead to a load that must be repeated.
	maxVerificationAge = time.Second
	// maxVerifications is the maximum number of verifications before one order. A slow
	// server must load in the end; the load is proven afterwards.
	maxVerifications = 3
)

// orderLoad verifies the staged chunks, orders the load and proves that the server took
// the right chunks. If the server holds any weights, it first publishes that the server
// is about to load, so that entry instances send no more requests to the server.
func (l *Loader) orderLoad(ctx context.Context, w WantedVersion, r Report) error {
	verifiedAt := l.cfg.Clock.Now()
	if err := l.verifyStaged(ctx, w); err != nil {
		return err
	}
	if len(r.Weights) > 0 {
		l.publishLoading()
		l.cfg.Clock.Sleep(loadNoticeTime)
	}
	for n := 1; n < maxVerifications && l.cfg.Clock.Since(verifiedAt) > maxVerificationAge; n++ {
		verifiedAt = l.cfg.Clock.Now()
		if err := l.verifyStaged(ctx, w); err != nil {
			return err
		}
	}
	now, err := l.cfg.Server.Report(ctx)
	if err != nil {
		return err
	}
	if stateOf(now) != stateOf(r) || now.Busy {
		return errors.New("the server has restarted or accepted another order since the chunks were staged")
	}
	l.mu.Lock()
	l.proof.observe(now)
	l.ordered = versionKey{w.Model, w.Version}
	l.mu.Unlock()
	// If the order fails, the server may accept it later. The next report tells.
	if err := l.cfg.Server.Load(ctx, w.Model, w.Version, now.AcceptedOrderCount); err != nil {
		return err
	}
	return l.checkLoad(ctx)
}

// checkLoad proves the load that the server has just accepted. The server loads
// meanwhile.
func (l *Loader) checkLoad(ctx context.Context) error {
	r, err := l.cfg.Server.Report(ctx)
	if err != nil || l.recordReport(r) {
		return err
	}
	proven, err := l.proveLoad(ctx, r)
	if err == nil && !proven {
		err = errors.New("the server may have loaded wrong chunks")
	}
	return err
}

// unload orders the server to drop a version that it must load again, or instead of which
// it loads another one. Staged chunks must not be written before that: if this process
// ended then, the next one would find the right chunks staged and take the load for proven.
func (l *Loader) unload(ctx context.Context, k versionKey, r Report) error {
	return l.cfg.Server.Unload(ctx, k.model, k.version, r.AcceptedOrderCount)
}

// publishLoading publishes that the server is about to load.
func (l *Loader) publishLoading() {
	l.mu.Lock()
	last := l.state
	l.mu.Unlock()
	l.publish(ServerState{Weights: last.Weights, Loading: true, Proven: last.Proven})
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
		fields := eventlog.Fields{"model": w.Model, "version": w.Version, "piece": i}
		if err != nil {
			l.cfg.Log.EventWithError(eventCorrupt, err, fields)
		} else {
			l.cfg.Log.Event(eventCorrupt, fields)
		}
		body, ok := l.cfg.Swarm.Store().Get(d)
		if !ok {
			return l.markNotFetched(w, i)
		}
		if err := l.stageChunk(ctx, w.Model, i, body); err != nil {
			return err
		}
	}
	return nil
}

// awaitLoaded waits until the server reports that it holds the version. Meanwhile it
// starts to fetch newer versions, because the server may take seconds to end its streams.
// It returns an error after loadTimeout, or if the server ends the load order without
// holding the version. running is the number of requests at the server at the load order.
func (l *Loader) awaitLoaded(ctx context.Context, k versionKey, running int) error {
	start := l.cfg.Clock.Now()
	for l.cfg.Clock.Since(start) < loadTimeout {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-l.cfg.Clock.After(loadingPollInterval):
		}
		l.fetchNewer(ctx, k)
		r, err := l.cfg.Server.Report(ctx)
		if err != nil {
			return err
		}
		if r.Weights[k.model] == k.version && !r.Busy {
			l.recordLoad(k, l.cfg.Clock.Since(start), running)
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
