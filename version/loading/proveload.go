package loading

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/rattanway/rattanway/process/eventlog"
)

// proveLoad reads the staged chunks back and reports whether they prove the load that
// led to r. An error means that the load is neither proven nor disproved yet.
func (l *Loader) proveLoad(ctx context.Context, r Report) (bool, error) {
	l.mu.Lock()
	objection, loaded := l.proof.objection(r), r.Weights
	if r.Busy {
		loaded = map[string]int{}
		if l.ordered.version > 0 {
			loaded[l.ordered.model] = l.ordered.version
		}
	}
	l.mu.Unlock()
	if len(loaded) == 0 {
		// The load of an order that this process did not send is still in progress.
		return false, nil
	}
	for model, version := range loaded {
		if objection != "" {
			break
		}
		var err error
		if objection, err = l.compareStaged(ctx, versionKey{model, version}); err != nil {
			return false, err
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if objection == "" {
		l.proof.prove(r, loaded)
		return true, nil
	}
	if l.proof.disproved != stateOf(r) {
		l.proof.disprove(r)
		l.cfg.Log.Event(eventDisproved, eventlog.Fields{"reason": objection, "loaded": loaded, "orders": r.AcceptedOrderCount})
	}
	return false, nil
}

// compareStaged compares the staged chunks with those of a version. It returns how they
// differ, or "" if they are the same.
func (l *Loader) compareStaged(ctx context.Context, k versionKey) (difference string, err error) {
	if !l.isDeclared(k) {
		return "the loaded version is not declared", nil
	}
	digests, err := l.digestsFor(ctx, k)
	if err != nil {
		return "", err
	}
	for i, d := range digests {
		chunk, err := l.cfg.Server.ReadStaged(ctx, k.model, i)
		switch {
		case errors.Is(err, ErrNotStaged):
			return "a chunk is no longer staged", nil
		case err != nil:
			return "", err
		case !d.Matches(chunk):
			return "a staged chunk does not match its digest", nil
		}
	}
	return "", nil
}
