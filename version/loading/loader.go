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
	// settleQuiet is how long the number of agents must have stayed the same
	// before an agent that has just started fetches, and settleMost the
	// longest that it waits; agents of one start come within 0.3 s.
	settleQuiet = 200 * time.Millisecond
	settleMost  = 900 * time.Millisecond
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
	// fetched are the versions whose pieces are all held here, preparing
	// those that are being fetched, and staged the version of each model of
	// which every piece was put to the server.
	fetched   map[key]bool
	preparing map[key]bool
	staged    map[string]int
	state     State
	started   int64
	seen      bool
	// begun is when this agent first heard of a fleet, and grown when the
	// number of agents last changed.
	begun, grown time.Time
}

// New returns a Loader.
func New(cfg Config) *Loader {
	return &Loader{
		cfg:      cfg,
		book:     digestBook{self: cfg.Self, token: cfg.Token, origin: cfg.Origin, client: cfg.Client},
		declared: map[string]*declaredVersions{}, changed: make(chan struct{}, 1),
		digests: map[key][]core.Digest{}, asking: map[key]chan struct{}{},
		fetched: map[key]bool{}, preparing: map[key]bool{}, staged: map[string]int{},
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
		if d.add(w) {
			l.cfg.Log.Event(eventWanted, eventlog.Fields{
				"model": model, "version": w.Version, "agents": len(t.Agents), "holders": len(t.Holders),
				"ageMs": l.cfg.Clock.Now().Sub(w.Known).Milliseconds(),
			})
		}
	}
	if len(t.Agents) != len(l.target.Agents) || l.grown.IsZero() {
		l.grown = l.cfg.Clock.Now()
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

// work does what is due for each model and returns the pause to the next look.
func (l *Loader) work(ctx context.Context, r Report) time.Duration {
	pause := pollIdle
	for model := range l.currentTarget().Wanted {
		pause = min(pause, l.workOn(ctx, model, r))
	}
	return pause
}

// Declared returns every version that this agent has heard of, so that entry
// instances that start anew learn since when.
func (l *Loader) Declared() []Wanted {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []Wanted
	for _, d := range l.declared {
		all = append(all, *d...)
	}
	return all
}

func (l *Loader) currentTarget() Target {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.target
}

// workOn does what is due for one model.
func (l *Loader) workOn(ctx context.Context, model string, r Report) time.Duration {
	held := r.Weights[model]
	if left := l.unsettled(); left > 0 {
		return left
	}
	l.mu.Lock()
	target, pending := l.target, l.declared[model].after(held)
	l.mu.Unlock()
	if len(pending) == 0 {
		l.prepare(ctx, target.Wanted[model], true)
		return pollIdle
	}
	for _, w := range pending {
		l.prepare(ctx, w, false)
	}
	w, ok := l.newestFetched(pending)
	if !ok {
		return pollIdle
	}
	if err := l.stage(ctx, w); err != nil {
		l.fail("stage", key{model, w.Version}, err)
		return retryPause
	}
	if r.Busy {
		return pollLoading
	}
	if held > 0 {
		turn := l.cfg.Turns.Turn(pending, target.Agents, l.cfg.Self)
		if left := turn.Sub(l.cfg.Clock.Now()); left > 0 {
			return min(pollIdle, left)
		}
	}
	if err := l.load(ctx, w, r); err != nil {
		l.fail("load", key{model, w.Version}, err)
		return retryPause
	}
	return pollLoading
}

// unsettled answers a fleet that starts all at once, as after a loss of power:
// pieces are dealt among the agents, so an agent that has just started waits
// until no more of them appear. It returns how long to wait.
func (l *Loader) unsettled() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Clock.Now()
	if l.begun.IsZero() {
		l.begun = now
	}
	if now.Sub(l.begun) >= settleMost {
		return 0
	}
	return settleQuiet - now.Sub(l.grown)
}

// newestFetched returns the newest of some versions of which every piece is
// held.
func (l *Loader) newestFetched(pending []Wanted) (Wanted, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := len(pending) - 1; i >= 0; i-- {
		if l.fetched[key{pending[i].Model, pending[i].Version}] {
			return pending[i], true
		}
	}
	return Wanted{}, false
}

// prepare begins to fetch a version; one that the server holds is only read
// back, so that other agents can have it.
func (l *Loader) prepare(ctx context.Context, w Wanted, held bool) {
	k := key{w.Model, w.Version}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fetched[k] || l.preparing[k] {
		return
	}
	l.preparing[k] = true
	go func() {
		start := l.cfg.Clock.Now()
		err := l.bring(ctx, w, held)
		l.mu.Lock()
		delete(l.preparing, k)
		l.fetched[k] = err == nil
		l.mu.Unlock()
		if err != nil {
			if ctx.Err() == nil {
				l.fail("fetch", k, err)
			}
			return
		}
		l.cfg.Log.Event(eventFetched, eventlog.Fields{
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
		w, wanted := l.find(k)
		if !wanted {
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

// find returns a declared version; l.mu is held.
func (l *Loader) find(k key) (Wanted, bool) {
	d, ok := l.declared[k.model]
	if !ok {
		return Wanted{}, false
	}
	for _, w := range *d {
		if w.Version == k.version {
			return w, true
		}
	}
	return Wanted{}, false
}

// bring fetches a version into the store.
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
	store.Retain(l.retained())
	if err := store.Put(digest, body); err != nil {
		return err
	}
	if held {
		return l.readBack(ctx, w, digests)
	}
	l.cfg.Log.Event(eventFetching, eventlog.Fields{
		"model": w.Model, "version": w.Version, "sources": len(l.Sources()), "agents": len(l.currentTarget().Agents),
	})
	_, err = l.cfg.Swarm.Fetch(ctx, digest, l.Sources)
	return err
}

// Sources returns the agents that pieces are dealt among. An agent that is asked
// for a piece before it begins to fetch needs the same list as the others:
// without one it would take itself for the owner and read the origin.
func (l *Loader) Sources() []spread.Peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.target.sources()
}

// retained returns what the store keeps: of each model the newest version, and
// those before it that are newer than the one that the server holds. An older
// one is wanted by nobody any more.
func (l *Loader) retained() []*manifest.Manifest {
	l.mu.Lock()
	defer l.mu.Unlock()
	var keep []*manifest.Manifest
	for model, d := range l.declared {
		newest := len(*d) - 1
		for i, w := range *d {
			k := key{model, w.Version}
			if i < newest && w.Version <= l.state.Weights[model] {
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

// stage puts the pieces of a version to the server, unless it was done before.
func (l *Loader) stage(ctx context.Context, w Wanted) error {
	l.mu.Lock()
	digests, done := l.digests[key{w.Model, w.Version}], l.staged[w.Model] == w.Version
	delete(l.staged, w.Model)
	l.mu.Unlock()
	start := l.cfg.Clock.Now()
	for i, d := range digests {
		if done {
			break
		}
		piece, ok := l.cfg.Swarm.Store().Get(d)
		if !ok {
			return l.missing(w, i)
		}
		if err := l.cfg.Server.Stage(ctx, w.Model, i, piece); err != nil {
			return err
		}
	}
	l.mu.Lock()
	l.staged[w.Model] = w.Version
	l.mu.Unlock()
	if !done {
		l.cfg.Log.Event(eventStaged, eventlog.Fields{
			"model": w.Model, "version": w.Version, "ms": l.cfg.Clock.Since(start).Milliseconds(),
		})
	}
	return nil
}

// missing notes that a version must be fetched again.
func (l *Loader) missing(w Wanted, piece int) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.fetched, key{w.Model, w.Version})
	return errors.Errorf("piece %d is not held", piece)
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
