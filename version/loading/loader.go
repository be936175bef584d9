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
	// idlePollInterval is the pause between reads of the server's report while
	// no load is in progress, and loadingPollInterval the pause during a load.
	// Reads are cheap, since the agent and the server run on one machine.
	idlePollInterval    = 400 * time.Millisecond
	loadingPollInterval = 40 * time.Millisecond
	// loadNoticeTime is the pause between publishing that the server is about
	// to load and sending the load order.
	loadNoticeTime = 30 * time.Millisecond
	// An agent that has just started fetches no chunks until the number of
	// agents has stayed the same for settleTime, or maxSettleTime has passed.
	// Agents that start together appear within 0.3 s.
	settleTime    = 200 * time.Millisecond
	maxSettleTime = 900 * time.Millisecond
	// retryPause is the pause before a failed step is retried.
	retryPause = 200 * time.Millisecond
	// loadTimeout limits the time from the acceptance of a load order until the
	// version is loaded. The server first completes its running requests.
	loadTimeout = 10 * time.Second
)

// Config holds the settings and dependencies of a Loader.
type Config struct {
	// Self is this agent's ID.
	Self string
	// Token authenticates the agents to each other.
	Token  string
	Server Server
	// Origin is the remote store of the weights.
	Origin Origin
	// OriginChunks gives the swarm read access to Origin.
	OriginChunks *OriginChunks
	// Swarm fetches chunks from other agents and the origin, and stores them.
	Swarm *spread.Swarm
	// RollingUpdate determines the time of this agent's load.
	RollingUpdate RollingUpdate
	// Publish is called with the server's state whenever the state changes.
	Publish func(ServerState)
	// Client sends the requests for digests to other agents.
	Client *http.Client
	// Log receives an event for each step of a load and each failure.
	Log   *eventlog.Logger
	Clock clockwork.Clock
}

// Loader fetches wanted versions and loads them into the server. It is safe for
// concurrent use.
type Loader struct {
	cfg    Config
	finder digestFinder

	mu     sync.Mutex
	target Target
	// declared maps each model to its declared versions.
	declared map[string]*declaredVersions
	// wake ends the pause of Run early.
	wake    chan struct{}
	digests map[versionKey][]core.Digest
	// digestLookups holds a channel for each running lookup of digests; the
	// channel is closed when the lookup ends.
	digestLookups map[versionKey]chan struct{}
	// fetched holds the versions whose chunks are in the store.
	fetched map[versionKey]bool
	// fetching holds the versions whose fetch is in progress.
	fetching map[versionKey]bool
	// stagedVersions maps each model to the version whose chunks are all staged.
	stagedVersions map[string]int
	state          ServerState
	// serverStartUnixMs is the server's start time in the last report.
	serverStartUnixMs int64
	// hasReport is true once the server has sent a report.
	hasReport bool
	// firstTargetAt is the time at which this agent first had a target with a
	// wanted version. agentsChangedAt is the time at which the number of agents
	// last changed.
	firstTargetAt, agentsChangedAt time.Time
}

// New returns a Loader without a target. Run starts its work.
func New(cfg Config) *Loader {
	return &Loader{
		cfg:      cfg,
		finder:   digestFinder{self: cfg.Self, token: cfg.Token, origin: cfg.Origin, client: cfg.Client},
		declared: map[string]*declaredVersions{}, wake: make(chan struct{}, 1),
		digests: map[versionKey][]core.Digest{}, digestLookups: map[versionKey]chan struct{}{},
		fetched: map[versionKey]bool{}, fetching: map[versionKey]bool{}, stagedVersions: map[string]int{},
	}
}

// SetTarget sets the versions that the server should hold and their sources.
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
				"ageMs": l.cfg.Clock.Now().Sub(w.DeclaredAt).Milliseconds(),
			})
		}
	}
	if len(t.Agents) != len(l.target.Agents) || l.agentsChangedAt.IsZero() {
		l.agentsChangedAt = l.cfg.Clock.Now()
	}
	l.target = t
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Run repeatedly reads the server's report and carries out the due steps until ctx ends.
func (l *Loader) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		report, err := l.cfg.Server.Report(ctx)
		pause := idlePollInterval
		if err != nil {
			l.logFailure("read report", versionKey{}, err)
			l.publish(ServerState{})
		} else {
			l.recordReport(report)
			pause = l.reconcile(ctx, report)
		}
		select {
		case <-ctx.Done():
		case <-l.wake:
		case <-l.cfg.Clock.After(pause):
		}
	}
	return nil
}

func (l *Loader) logFailure(step string, k versionKey, err error) {
	l.cfg.Log.EventWithError(eventFailed, err, eventlog.Fields{"step": step, "model": k.model, "version": k.version})
}

// recordReport logs changes since the previous report and publishes the state.
func (l *Loader) recordReport(r Report) {
	l.mu.Lock()
	restarted := l.hasReport && r.StartUnixMs != l.serverStartUnixMs
	l.hasReport, l.serverStartUnixMs = true, r.StartUnixMs
	loading := l.state.Loading
	same := maps.Equal(l.state.Weights, r.Weights)
	l.mu.Unlock()
	if restarted || !same {
		l.cfg.Log.Event(eventServerChanged, eventlog.Fields{"weights": r.Weights, "startedAnew": restarted, "orders": r.AcceptedOrderCount})
	}
	l.publish(ServerState{Weights: r.Weights, Loading: loading && r.Busy})
}

// publish stores the state s and, if it has changed, calls Config.Publish.
func (l *Loader) publish(s ServerState) {
	l.mu.Lock()
	same := maps.Equal(l.state.Weights, s.Weights) && l.state.Loading == s.Loading
	l.state = s
	l.mu.Unlock()
	if !same {
		l.cfg.Publish(s)
	}
}

// reconcile carries out the due steps for all models. It returns the pause until
// the next read of the server's report.
func (l *Loader) reconcile(ctx context.Context, r Report) time.Duration {
	pause := idlePollInterval
	for model := range l.currentTarget().Wanted {
		pause = min(pause, l.reconcileModel(ctx, model, r))
	}
	return pause
}

// DeclaredVersions returns every version whose declaration this agent has received.
// Entry instances that restart obtain the declaration times from this list.
func (l *Loader) DeclaredVersions() []WantedVersion {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []WantedVersion
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

// reconcileModel carries out reconcile for one model.
func (l *Loader) reconcileModel(ctx context.Context, model string, r Report) time.Duration {
	heldVersion := r.Weights[model]
	if wait := l.settleWait(); wait > 0 {
		return wait
	}
	l.mu.Lock()
	target, pending := l.target, l.declared[model].newerThan(heldVersion)
	l.mu.Unlock()
	if len(pending) == 0 {
		l.startFetch(ctx, target.Wanted[model], true)
		return idlePollInterval
	}
	for _, w := range pending {
		l.startFetch(ctx, w, false)
	}
	w, ok := l.newestFetched(pending)
	if !ok {
		return idlePollInterval
	}
	if err := l.stage(ctx, w); err != nil {
		l.logFailure("stage", versionKey{model, w.Version}, err)
		return retryPause
	}
	if r.Busy {
		return loadingPollInterval
	}
	if heldVersion > 0 {
		loadAt := l.cfg.RollingUpdate.LoadAt(pending, target.Agents, l.cfg.Self)
		if wait := loadAt.Sub(l.cfg.Clock.Now()); wait > 0 {
			return min(idlePollInterval, wait)
		}
	}
	if err := l.loadVersion(ctx, w, r); err != nil {
		l.logFailure("load", versionKey{model, w.Version}, err)
		return retryPause
	}
	return loadingPollInterval
}

// settleWait returns how long this agent should still wait before it fetches
// chunks; 0 or less means no wait. When all agents start at once, for example
// after a power failure, an agent waits until no more agents appear, because
// chunks are divided among the agents.
func (l *Loader) settleWait() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Clock.Now()
	if l.firstTargetAt.IsZero() {
		l.firstTargetAt = now
	}
	if now.Sub(l.firstTargetAt) >= maxSettleTime {
		return 0
	}
	return settleTime - now.Sub(l.agentsChangedAt)
}

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
	if l.fetched[k] || l.fetching[k] {
		return
	}
	l.fetching[k] = true
	go func() {
		start := l.cfg.Clock.Now()
		err := l.fetch(ctx, w, heldByServer)
		l.mu.Lock()
		delete(l.fetching, k)
		l.fetched[k] = err == nil
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
			l.cfg.OriginChunks.AddVersion(target.OriginAddr, k, found)
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

// forgetOldVersions returns the manifests of the versions that the store keeps:
// for each model the newest version, and every version newer than the one that
// the server holds. It marks all other versions as not fetched.
func (l *Loader) forgetOldVersions() []*manifest.Manifest {
	l.mu.Lock()
	defer l.mu.Unlock()
	var keep []*manifest.Manifest
	for model, d := range l.declared {
		newest := len(*d) - 1
		for i, w := range *d {
			k := versionKey{model, w.Version}
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

// stage stages the chunks of a version at the server unless all are staged already.
func (l *Loader) stage(ctx context.Context, w WantedVersion) error {
	l.mu.Lock()
	digests, alreadyStaged := l.digests[versionKey{w.Model, w.Version}], l.stagedVersions[w.Model] == w.Version
	delete(l.stagedVersions, w.Model)
	l.mu.Unlock()
	start := l.cfg.Clock.Now()
	for i, d := range digests {
		if alreadyStaged {
			break
		}
		chunk, ok := l.cfg.Swarm.Store().Get(d)
		if !ok {
			return l.markNotFetched(w, i)
		}
		if err := l.cfg.Server.Stage(ctx, w.Model, i, chunk); err != nil {
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

// markNotFetched causes a version to be fetched again because a chunk is missing
// from the store. It returns an error that names the chunk.
func (l *Loader) markNotFetched(w WantedVersion, chunkNumber int) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.fetched, versionKey{w.Model, w.Version})
	return errors.Errorf("chunk %d is missing from the store", chunkNumber)
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
