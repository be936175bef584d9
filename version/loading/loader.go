package loading

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
	gometrics "github.com/rcrowley/go-metrics"

	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/process/eventlog"
	"github.com/rattanway/rattanway/version/spread"
)

const (
	// idlePollInterval is the pause between reads of the server's report while
	// no load is in progress, and loadingPollInterval the pause during a load.
	// Reads are cheap, since the agent and the server run on one machine.
	idlePollInterval    = 400 * time.Millisecond
	loadingPollInterval = 40 * time.Millisecond
	// pacePollInterval is the longest pause if the server reports its pace. Servers are
	// slow for 600 ms at a time.
	pacePollInterval = 100 * time.Millisecond
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
	// maxReportAge is how long the last report remains valid while further reports time
	// out. A sound server may be silent for longer than a report may take.
	maxReportAge = 3 * time.Second
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
	// Metrics receives the figures of the decisions on loads, if it is not nil.
	Metrics gometrics.Registry
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
	// fetching holds, for the versions whose fetch is in progress, the function that
	// ends the fetch.
	fetching map[versionKey]context.CancelFunc
	// stagedVersions maps each model to the version whose chunks are all staged.
	stagedVersions map[string]int
	state          ServerState
	proof          loadProof
	// ordered is the version that the last load order named.
	ordered versionKey
	// serverStartUnixMs is the server's start time in the last report.
	serverStartUnixMs int64
	// hasReport is true once the server has sent a report. reportedAt is when it sent the
	// last one.
	hasReport  bool
	reportedAt time.Time
	// firstTargetAt is the time at which this agent first had a target with a
	// wanted version. agentsChangedAt is the time at which the number of agents
	// last changed.
	firstTargetAt, agentsChangedAt time.Time
	loadHistory
}

// loadHistory holds what the decision on a load depends on. Loader.mu guards it.
type loadHistory struct {
	// fleetLoad is the last message about the load of the fleet.
	fleetLoad FleetLoad
	// fleetLoadSource is the entry instance that sent it.
	fleetLoadSource string
	// longestRest is the measured emptying.longestRest; 0 if there is none.
	longestRest time.Duration
	// lastFetchTime is the time that the last version took to arrive; 0 if there was none.
	lastFetchTime time.Duration
	// progress holds the state of versions that have not arrived.
	progress map[versionKey]fetchProgress
	// bridge holds the last decision on an older version, by model.
	bridge  map[string]bridgeDecision
	metrics loadMetrics
}

// New returns a Loader without a target. Run starts its work.
func New(cfg Config) *Loader {
	if cfg.Metrics == nil {
		cfg.Metrics = gometrics.NewRegistry()
	}
	return &Loader{
		cfg:      cfg,
		finder:   digestFinder{self: cfg.Self, token: cfg.Token, origin: cfg.Origin, client: cfg.Client},
		declared: map[string]*declaredVersions{}, wake: make(chan struct{}, 1),
		digests: map[versionKey][]core.Digest{}, digestLookups: map[versionKey]chan struct{}{},
		fetched: map[versionKey]bool{}, fetching: map[versionKey]context.CancelFunc{}, stagedVersions: map[string]int{},
		proof:       newLoadProof(),
		loadHistory: loadHistory{progress: map[versionKey]fetchProgress{}, bridge: map[string]bridgeDecision{}, metrics: newLoadMetrics(cfg.Metrics)},
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
	if l.firstTargetAt.IsZero() && len(t.Wanted) > 0 {
		l.firstTargetAt = l.cfg.Clock.Now()
	}
	l.target = t
	if t.OriginAddr != "" {
		l.cfg.OriginChunks.SetOrigin(t.OriginAddr)
	}
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// ConfirmLoad records the last load that an earlier agent of the server has proven. Entry
// instances keep the proofs of the agents that were connected to them.
func (l *Loader) ConfirmLoad(load ProvenLoad) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.proof.confirm(load)
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
			if !l.mayBeSilent(err) {
				l.publish(ServerState{})
			}
		} else {
			pause = l.reconcile(ctx, report, l.recordReport(report))
			if validPace(report.Pace) {
				pause = min(pause, pacePollInterval)
			}
		}
		select {
		case <-ctx.Done():
		case <-l.wake:
		case <-l.cfg.Clock.After(pause):
		}
	}
	return nil
}

// mayBeSilent reports whether the server may still hold what it reported last although its
// report could not be read because of err. That is so if only the time limit has passed, and
// not for long. A server that refuses or breaks off the connection has ended.
func (l *Loader) mayBeSilent(err error) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return errors.Is(err, context.DeadlineExceeded) && l.hasReport && l.cfg.Clock.Since(l.reportedAt) < maxReportAge
}

func (l *Loader) logFailure(step string, k versionKey, err error) {
	l.cfg.Log.EventWithError(eventFailed, err, eventlog.Fields{"step": step, "model": k.model, "version": k.version})
}

// reconcile carries out the due steps for all models. usable is false if the weights of
// the server may not be used unless its last load is proven. It returns the pause until
// the next read of the server's report.
func (l *Loader) reconcile(ctx context.Context, r Report, usable bool) time.Duration {
	held := r.Weights
	if !usable {
		proven, err := l.proveLoad(ctx, r)
		switch {
		case errors.Is(err, errNotYetDeclared):
			return idlePollInterval
		case err != nil:
			l.logFailure("prove load", l.lastOrdered(), err)
			return retryPause
		case proven:
			l.recordReport(r)
		case r.Busy:
			return loadingPollInterval
		default:
			held = nil
		}
	}
	pause := idlePollInterval
	for model := range l.currentTarget().Wanted {
		pause = min(pause, l.reconcileModel(ctx, model, r, held[model]))
	}
	return pause
}

func (l *Loader) lastOrdered() versionKey {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ordered
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

// reconcileModel carries out reconcile for one model. heldVersion is the version that
// the server may use; 0 means none.
func (l *Loader) reconcileModel(ctx context.Context, model string, r Report, heldVersion int) time.Duration {
	if wait := l.settleWait(); wait > 0 {
		return wait
	}
	l.mu.Lock()
	target, pending := l.target, l.declared[model].newerThan(heldVersion)
	needed := l.neededVersions(pending)
	l.cancelFetches(model, heldVersion, needed)
	l.mu.Unlock()
	if len(pending) == 0 {
		l.startFetch(ctx, target.Wanted[model], true)
		return idlePollInterval
	}
	for _, w := range needed {
		l.startFetch(ctx, w, false)
	}
	w, ok := l.newestFetched(pending)
	if !ok {
		return idlePollInterval
	}
	if held := r.Weights[model]; heldVersion == 0 && held > 0 && !r.Busy {
		if err := l.unload(ctx, versionKey{model, held}, r); err != nil {
			l.logFailure("unload", versionKey{model, held}, err)
			return retryPause
		}
		return loadingPollInterval
	}
	if err := l.stage(ctx, w); err != nil {
		l.logFailure("stage", versionKey{model, w.Version}, err)
		return retryPause
	}
	if r.Busy {
		return loadingPollInterval
	}
	if heldVersion > 0 {
		if wait := l.loadWait(pending, w, r, target); wait > 0 {
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
	if now.Sub(l.firstTargetAt) >= maxSettleTime {
		return 0
	}
	return settleTime - now.Sub(l.agentsChangedAt)
}
