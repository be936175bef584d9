package loading

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/rattanway/rattanway/process/eventlog"
)

// load checks what is staged and orders the load.
func (l *Loader) load(ctx context.Context, w Wanted, r Report) error {
	if err := l.order(ctx, w, r); err != nil {
		return err
	}
	l.cfg.Log.Event(eventOrdered, eventlog.Fields{
		"model": w.Model, "version": w.Version, "held": r.Weights[w.Model], "running": r.Running,
		"ageMs": l.cfg.Clock.Now().Sub(w.Known).Milliseconds(),
	})
	return l.confirm(ctx, key{w.Model, w.Version})
}

// order checks what is staged and gives the order.
func (l *Loader) order(ctx context.Context, w Wanted, r Report) error {
	if err := l.check(ctx, w); err != nil {
		return err
	}
	if len(r.Weights) > 0 {
		l.publish(State{Weights: r.Weights, Loading: true})
		l.cfg.Clock.Sleep(noticeTime)
	}
	err := l.cfg.Server.Load(ctx, w.Model, w.Version, r.Orders)
	if err != nil {
		l.publish(State{Weights: r.Weights})
	}
	return err
}

// check reads every staged piece back and stages spoilt ones again.
func (l *Loader) check(ctx context.Context, w Wanted) error {
	l.mu.Lock()
	digests := l.digests[key{w.Model, w.Version}]
	l.mu.Unlock()
	for i, d := range digests {
		piece, err := l.cfg.Server.Staged(ctx, w.Model, i)
		if err == nil && d.Matches(piece) {
			continue
		}
		l.cfg.Log.Event(eventRotten, eventlog.Fields{"model": w.Model, "version": w.Version, "piece": i})
		body, ok := l.cfg.Swarm.Store().Get(d)
		if !ok {
			return l.missing(w, i)
		}
		if err := l.cfg.Server.Stage(ctx, w.Model, i, body); err != nil {
			return err
		}
	}
	return nil
}

// confirm waits until the server reports that it holds the version.
func (l *Loader) confirm(ctx context.Context, k key) error {
	start := l.cfg.Clock.Now()
	for l.cfg.Clock.Since(start) < loadTimeout {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-l.cfg.Clock.After(pollLoading):
		}
		r, err := l.cfg.Server.Report(ctx)
		if err != nil {
			return err
		}
		if r.Weights[k.model] == k.version && !r.Busy {
			l.cfg.Log.Event(eventLoaded, eventlog.Fields{
				"model": k.model, "version": k.version, "ms": l.cfg.Clock.Since(start).Milliseconds(),
			})
			l.observe(r)
			return nil
		}
		if !r.Busy {
			l.observe(r)
			return errors.New("the server does not hold the version after its order")
		}
	}
	return errors.New("the order takes too long")
}
