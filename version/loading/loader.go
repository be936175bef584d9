package loading

import (
	"context"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"

	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/process/eventlog"
	"github.com/rattanway/rattanway/version/manifest"
	"github.com/rattanway/rattanway/version/spread"
)

const (
	// pollIdle and pollLoading are the times between two reports of the
	// server; they are read on the same machine.
	pollIdle    = 400 * time.Millisecond
	pollLoading = 40 * time.Millisecond
	// noticeTime is left to entry instances to hear that the server loads.
	noticeTime = 30 * time.Millisecond
	// retryPause is the pause after a failed step.
	retryPause = 200 * time.Millisecond
	// loadTimeout is how long an accepted order may take: the longest
	// request and the load itself.
	loadTimeout = 10 * time.Second
)

// Config holds what a Loader needs.
type Config struct {
	// Self is this agent's name.
	Self string
	// Token authenticates the agents to each other.
	Token string
	// Server is the model server beside the agent.
	Server Server
	// Origin is the source of weights, and Pieces its view for the swarm.
	Origin Origin
	Pieces *Pieces
	// Swarm fetches pieces.
	Swarm *spread.Swarm
	// Turns spread the changes of the servers.
	Turns Turns
	// Publish is told what the server holds whenever it changes.
	Publish func(State)
	// Client asks other agents for digests.
	Client *http.Client
	// Log takes a line for each decision.
	Log *eventlog.Logger
	// Clock gives the time.
	Clock clockwork.Clock
}

// Loader brings wanted versions to the server. It is safe for concurrent use.
type Loader struct {
	cfg  Config
	book digestBook

	mu       sync.Mutex
	target   Target
	declared map[string]*declaredVersions
	changed  chan struct{}
	digests  map[key][]core.Digest
	asking   map[key]chan struct{}
	// ready are the versions that are staged whole, in preparation the one
	// that is being fetched.
	ready     map[key]bool
	preparing map[key]bool
	state     State
	started   int64
	seen      bool

	// staging is held while pieces are staged, and from their check until
	// the order: the server has one place for a model's pieces.
	staging sync.Mutex
}

// New returns a Loader.
func New(cfg Config) *Loader {
	return &Loader{
		cfg:      cfg,
		book:     digestBook{self: cfg.Self, token: cfg.Token, origin: cfg.Origin, client: cfg.Client},
		declared: map[string]*declaredVersions{}, changed: make(chan struct{}, 1),
		digests: map[key][]core.Digest{}, asking: map[key]chan struct{}{},
		ready: map[key]bool{}, preparing: map[key]bool{},
	}
}

// SetTarget says what the server is to hold.
func (l *Loader) SetTarget(t Target) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for model, w := range t.Wanted {
		d, ok := l.declared[model]
		if !ok {
			d = &declaredVersions{}
			l.declared[model] = d
		}
		d.add(w)
		if old, ok := l.target.Wanted[model]; !ok || old.Version != w.Version {
			l.cfg.Log.Event(eventWanted, eventlog.Fields{
				"model": model, "version": w.Version, "agents": len(t.Agents), "holders": len(t.Holders),
				"ageMs": l.cfg.Clock.Now().Sub(w.Known).Milliseconds(),
			})
		}
	}
	l.target = t
	select {
	case l.changed <- struct{}{}:
	default:
	}
}

// Run works until ctx ends.
func (l *Loader) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		report, err := l.cfg.Server.Report(ctx)
		pause := pollIdle
		if err != nil {
			l.fail("read report", key{}, err)
			l.publish(State{})
		} else {
			l.observe(report)
			pause = l.work(ctx, report)
		}
		select {
		case <-ctx.Done():
		case <-l.changed:
		case <-l.cfg.Clock.After(pause):
		}
	}
	return nil
}

func (l *Loader) fail(step string, k key, err error) {
	l.cfg.Log.Fail(eventFailed, err, eventlog.Fields{"step": step, "model": k.model, "version": k.version})
}

// observe takes in a report.
func (l *Loader) observe(r Report) {
	l.mu.Lock()
	anew := l.seen && r.Started != l.started
	l.seen, l.started = true, r.Started
	loading := l.state.Loading
	same := maps.Equal(l.state.Weights, r.Weights)
	l.mu.Unlock()
	if anew || !same {
		l.cfg.Log.Event(eventServer, eventlog.Fields{"weights": r.Weights, "startedAnew": anew, "orders": r.Orders})
	}
	l.publish(State{Weights: r.Weights, Loading: loading && r.Busy})
}

// publish tells what the server holds when that changed.
func (l *Loader) publish(s State) {
	l.mu.Lock()
	same := maps.Equal(l.state.Weights, s.Weights) && l.state.Loading == s.Loading
	l.state = s
	l.mu.Unlock()
	if !same {
		l.cfg.Publish(s)
	}
}

// work does what is due for each wanted version and returns the pause to the
// next look.
func (l *Loader) work(ctx context.Context, r Report) time.Duration {
	l.mu.Lock()
	target := l.target
	l.mu.Unlock()
	pause := pollIdle
	for model, w := range target.Wanted {
		k := key{model, w.Version}
		l.prepare(ctx, w, r.Weights[model] == w.Version)
		if r.Weights[model] == w.Version || !l.isReady(k) {
			continue
		}
		if r.Busy {
			pause = pollLoading
			continue
		}
		left := l.turn(w, target, r).Sub(l.cfg.Clock.Now())
		if left > 0 {
			pause = min(pause, left)
			continue
		}
		if err := l.load(ctx, w, r); err != nil {
			l.fail("load", k, err)
			pause = retryPause
			continue
		}
		pause = pollLoading
	}
	return pause
}

func (l *Loader) isReady(k key) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ready[k]
}

// turn returns when the server is to change over. A server that holds nothing
// does so at once, and one whose version was followed by a newer one long ago
// does not wait for the turn of the newest.
func (l *Loader) turn(w Wanted, t Target, r Report) time.Time {
	held := r.Weights[w.Model]
	if held == 0 {
		return time.Time{}
	}
	at := l.cfg.Turns.Turn(w, t.Agents, l.cfg.Self)
	l.mu.Lock()
	defer l.mu.Unlock()
	if first := l.declared[w.Model].outdated(held); !first.IsZero() {
		if last := first.Add(l.cfg.Turns.Last); last.Before(at) {
			return last
		}
	}
	return at
}

// prepare begins to fetch and stage a version; one that the server holds is
// only read back, so that other agents can have it.
func (l *Loader) prepare(ctx context.Context, w Wanted, held bool) {
	k := key{w.Model, w.Version}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ready[k] || l.preparing[k] {
		return
	}
	l.preparing[k] = true
	go func() {
		start := l.cfg.Clock.Now()
		err := l.bring(ctx, w, held)
		l.mu.Lock()
		delete(l.preparing, k)
		if err == nil {
			l.ready[k] = true
		}
		l.mu.Unlock()
		if err != nil {
			if ctx.Err() == nil {
				l.fail("prepare", k, err)
			}
			return
		}
		l.cfg.Log.Event(eventStaged, eventlog.Fields{
			"model": w.Model, "version": w.Version, "held": held, "ms": l.cfg.Clock.Since(start).Milliseconds(),
		})
		select {
		case l.changed <- struct{}{}:
		default:
		}
	}()
}

// digestsFor returns the digests of a wanted version; one question is made for
// all who ask.
func (l *Loader) digestsFor(ctx context.Context, k key) ([]core.Digest, error) {
	for {
		l.mu.Lock()
		if d, ok := l.digests[k]; ok {
			l.mu.Unlock()
			return d, nil
		}
		target := l.target
		w, wanted := target.Wanted[k.model]
		if !wanted || w.Version != k.version {
			l.mu.Unlock()
			return nil, errors.New("version is not wanted here")
		}
		running, ok := l.asking[k]
		if ok {
			l.mu.Unlock()
			select {
			case <-running:
				continue
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}
		done := make(chan struct{})
		l.asking[k] = done
		l.mu.Unlock()
		found, err := l.book.find(ctx, w, target)
		l.mu.Lock()
		delete(l.asking, k)
		if err == nil {
			l.digests[k] = found
			l.cfg.Pieces.Know(target.Origin, k, found)
		}
		l.mu.Unlock()
		close(done)
		if err != nil {
			return nil, err
		}
	}
}

// bring fetches a version and stages it.
func (l *Loader) bring(ctx context.Context, w Wanted, held bool) error {
	digests, err := l.digestsFor(ctx, key{w.Model, w.Version})
	if err != nil {
		return err
	}
	m := manifestOf(w, digests)
	body, digest, err := m.Encode()
	if err != nil {
		return err
	}
	store := l.cfg.Swarm.Store()
	store.Retain([]*manifest.Manifest{m})
	if err := store.Put(digest, body); err != nil {
		return err
	}
	if held {
		return l.readBack(ctx, w, digests)
	}
	sources := func() []spread.Peer {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.target.sources()
	}
	if _, err := l.cfg.Swarm.Fetch(ctx, digest, sources); err != nil {
		return err
	}
	return l.stage(ctx, w, digests)
}

// errReplaced says that a newer version is wanted.
var errReplaced = errors.New("a newer version is wanted")

// stage puts the pieces of a version to the server, unless a newer one is
// wanted by now.
func (l *Loader) stage(ctx context.Context, w Wanted, digests []core.Digest) error {
	l.staging.Lock()
	defer l.staging.Unlock()
	if l.wants(w.Model) != w.Version {
		return errReplaced
	}
	for i, d := range digests {
		piece, ok := l.cfg.Swarm.Store().Get(d)
		if !ok {
			return errors.Errorf("piece %d was dropped", i)
		}
		if err := l.cfg.Server.Stage(ctx, w.Model, i, piece); err != nil {
			return err
		}
	}
	return nil
}

// wants returns the version of a model that is wanted now.
func (l *Loader) wants(model string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.target.Wanted[model].Version
}

// manifestOf describes the pieces of a version as one file. Every agent builds
// the same one, so its digest names the version among them.
func manifestOf(w Wanted, digests []core.Digest) *manifest.Manifest {
	f := manifest.File{Path: w.Model}
	for _, d := range digests {
		f.Chunks = append(f.Chunks, manifest.Chunk{Digest: d, Size: int64(w.ChunkBytes)})
		f.Size += int64(w.ChunkBytes)
	}
	return &manifest.Manifest{Files: []manifest.File{f}}
}

// readBack puts what is staged at the server into the store. Pieces that are
// missing or rotten there are left out.
func (l *Loader) readBack(ctx context.Context, w Wanted, digests []core.Digest) error {
	for i, d := range digests {
		piece, err := l.cfg.Server.Staged(ctx, w.Model, i)
		if err != nil || !d.Matches(piece) {
			continue
		}
		if err := l.cfg.Swarm.Store().Put(d, piece); err != nil {
			return err
		}
	}
	return nil
}

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
	l.staging.Lock()
	defer l.staging.Unlock()
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
			l.mu.Lock()
			delete(l.ready, key{w.Model, w.Version})
			l.mu.Unlock()
			return errors.Errorf("piece %d is rotten and not held", i)
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
