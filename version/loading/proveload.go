package loading

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/rattanway/rattanway/process/eventlog"
)

// errNotYetDeclared means that the server holds a version of which this agent has not
// received the declaration yet.
var errNotYetDeclared = errors.New("the loaded version is not declared yet")

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
		if l.mayBeDeclared(versionKey{model, version}) {
			return false, errNotYetDeclared
		}
		var err error
		if objection, err = l.compareStaged(ctx, versionKey{model, version}, r); err != nil {
			return false, err
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.proof.isConfirmed(r) {
		l.proof.observe(r)
		return l.proof.usable(r), nil
	}
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

// mayBeDeclared reports whether the declaration of a version may still arrive: the agent has
// just started, and the version is newer than those whose declaration it has received.
func (l *Loader) mayBeDeclared(k versionKey) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := l.declared[k.model]
	if d == nil {
		return true
	}
	return k.version > d.newest() && l.cfg.Clock.Since(l.firstTargetAt) < maxSettleTime
}

// isConfirmed reports whether an earlier agent has proven the load that led to r.
func (l *Loader) isConfirmed(r Report) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.proof.isConfirmed(r)
}

// compareStaged compares the staged chunks with those of a version. It returns how they
// differ, or "" if they are the same or an earlier agent has proven the load that led to r.
func (l *Loader) compareStaged(ctx context.Context, k versionKey, r Report) (difference string, err error) {
	if !l.isDeclared(k) {
		return "the loaded version is not declared", nil
	}
	digests, err := l.digestsFor(ctx, k)
	if err != nil {
		return "", err
	}
	for i, d := range digests {
		if l.isConfirmed(r) {
			return "", nil
		}
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
