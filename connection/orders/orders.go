// Package orders runs the reconcile loop that makes the engine beside an agent
// load the versions that placement assigns to its backend server (the wanted
// versions). Each pass compares the wanted versions with the engine's report,
// starts missing fetches and sends at most one load or unload order. Each order
// carries a fencing number, which lets the engine refuse the orders of an agent
// that has been replaced. A later pass sends an order again if the order was
// lost or refused, or if its effect was undone.
package orders

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"

	"github.com/rattanway/rattanway/connection/engine"
	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/process/eventlog"
	"github.com/rattanway/rattanway/process/platform"
	"github.com/rattanway/rattanway/version/confstore"
	"github.com/rattanway/rattanway/version/declare"
	"github.com/rattanway/rattanway/version/manifest"
	"github.com/rattanway/rattanway/version/placement"
	"github.com/rattanway/rattanway/version/spread"
)

// The default values of Config.
const (
	DefaultInterval       = time.Second
	DefaultLoadTimeout    = 5 * time.Minute
	DefaultUnloadTimeout  = 30 * time.Second
	DefaultRetireDelay    = 30 * time.Second
	DefaultPeerTimeout    = 15 * time.Second
	DefaultMinLoadedShare = 0.75
	DefaultReplaceDivisor = 4
)

// The values of engine.Order.Action.
const (
	actionLoad   = "load"
	actionUnload = "unload"
)

// Config holds the settings of a Controller.
type Config struct {
	// Self is this agent; its ID is the backend server's name.
	Self core.Instance
	// Incarnation is different each time the agent starts; if it is empty, a
	// random one is generated.
	Incarnation string
	// Token is the shared secret with which agents authenticate to each other.
	Token string
	// WeightsURL is the URL prefix from which the engine reads manifests and
	// chunks; empty means "http://" + Self.Addr + "/internal".
	WeightsURL string
	// Interval is the longest time between two passes.
	Interval time.Duration
	// LoadTimeout is how long the engine may take to report a version as loaded
	// after it has accepted the order to load the version.
	LoadTimeout time.Duration
	// UnloadTimeout is how long the engine may take to stop reporting a version as
	// loaded after it has accepted the order to unload the version.
	UnloadTimeout time.Duration
	// RetireDelay is how long a version must have been unwanted before it is
	// unloaded while no other version needs its slot. A change of the list of
	// live instances causes no unload if it is undone within this time.
	RetireDelay time.Duration
	// PeerTimeout is how long another agent may fail to respond before this
	// agent no longer waits for it to load a version; see mayReplace.
	PeerTimeout time.Duration
	// MinLoadedShare is the share, from 0 to 1, of a version's servers that
	// must report the version as loaded before it counts as rolled out; see
	// versionRolledOut. Until then, an old version of the model is unloaded
	// only to load the new version into the same slot.
	MinLoadedShare float64
	// ReplaceDivisor limits how many servers without a free slot replace a
	// version at the same time. The limit is the number of servers of the new
	// version divided by ReplaceDivisor, but at least 1.
	ReplaceDivisor int
	// Metrics receives the gauges; nil means metrics.DefaultRegistry.
	Metrics metrics.Registry
}

// applyDefaults sets the fields that have no valid value to their defaults.
func (c *Config) applyDefaults() {
	for _, d := range []struct {
		value    *time.Duration
		fallback time.Duration
	}{
		{&c.Interval, DefaultInterval},
		{&c.LoadTimeout, DefaultLoadTimeout},
		{&c.UnloadTimeout, DefaultUnloadTimeout},
		{&c.RetireDelay, DefaultRetireDelay},
		{&c.PeerTimeout, DefaultPeerTimeout},
	} {
		if *d.value <= 0 {
			*d.value = d.fallback
		}
	}
	if c.Incarnation == "" {
		c.Incarnation = uuid.NewString()
	}
	if c.WeightsURL == "" {
		c.WeightsURL = "http://" + c.Self.Addr + "/internal"
	}
	if c.MinLoadedShare <= 0 {
		c.MinLoadedShare = DefaultMinLoadedShare
	}
	if c.ReplaceDivisor <= 0 {
		c.ReplaceDivisor = DefaultReplaceDivisor
	}
	if c.Metrics == nil {
		c.Metrics = metrics.DefaultRegistry
	}
}

// StatusSource provides the newest status report of the engine. *engine.Monitor
// implements it.
type StatusSource interface {
	// Status returns the newest report and its age. ok is false if there is no
	// report, or if the report is too old to use.
	Status() (s engine.Status, age time.Duration, ok bool)
	// Changed returns a channel that is closed when the report changes.
	Changed() <-chan struct{}
}

// OrderSender sends orders to the engine. engine.Engine implements it.
type OrderSender interface {
	// Order returns nil once the engine has accepted the order, and an error
	// if the engine refused it or did not respond.
	Order(ctx context.Context, o engine.Order) error
}

// Drainer stops new calls of a version at this agent and waits until the
// running calls have ended.
type Drainer interface {
	// Drain refuses new calls of the version and returns nil once no call of
	// the version runs. New calls stay refused until Resume is called, also
	// after ctx has ended.
	Drain(ctx context.Context, d core.Digest) error
	// Resume ends the refusal of new calls that Drain began.
	Resume(d core.Digest)
}

// noopDrainer replaces a nil Deps.Drainer. Its methods do nothing.
type noopDrainer struct{}

// Drain implements Drainer.
func (noopDrainer) Drain(context.Context, core.Digest) error { return nil }

// Resume implements Drainer.
func (noopDrainer) Resume(core.Digest) {}

// Deps holds the dependencies of a Controller.
type Deps struct {
	// Holder provides the configuration in force.
	Holder *confstore.Holder
	// LiveInstances returns the platform's list of live instances.
	LiveInstances func() []core.Instance
	// Fetcher fetches the chunks of a version and puts them into Store.
	Fetcher spread.Fetcher
	Store   spread.Store
	// Engine receives the orders.
	Engine OrderSender
	// StatusSource provides the reports that show the effects of the orders.
	StatusSource StatusSource
	// Drainer drains a version before it is unloaded. If Drainer is nil,
	// versions are unloaded without a drain.
	Drainer Drainer
	// SetRegionShare is called with the rate at which this agent may use the
	// link between regions, in bytes per second; 0 means no limit. The function
	// may be nil.
	SetRegionShare func(bytesPerSecond int64)
	// Table stores the counters of fencing numbers.
	Table platform.Table
	Log   *eventlog.Logger
	Clock clockwork.Clock
}

// Controller reconciles the versions loaded by one engine with the versions
// that placement assigns to its backend server.
type Controller struct {
	cfg            Config
	holder         *confstore.Holder
	liveInstances  func() []core.Instance
	fetcher        spread.Fetcher
	store          spread.Store
	engine         OrderSender
	statusSource   StatusSource
	drainer        Drainer
	setRegionShare func(bytesPerSecond int64)
	log            *eventlog.Logger
	clock          clockwork.Clock
	client         *http.Client
	fenceCounter   *fenceCounter

	// The fields from pending to cachedPlan are used only by the goroutine of
	// Run.
	pending *pendingOrder
	// drains holds the drains of versions that are to be unloaded.
	drains map[core.Digest]*drain
	// unwantedSince holds, for each loaded version that is not wanted, the time
	// at which the version was first seen to be unwanted.
	unwantedSince map[core.Digest]time.Time
	// unresponsiveSince holds, by agent ID, since when the agent has not
	// responded: the time of the first failed request after the last valid
	// response.
	unresponsiveSince map[string]time.Time
	// waitReasons holds the reason why the next order for a version is delayed.
	waitReasons map[core.Digest]string
	// loggedWanted is the list of wanted versions that was logged last.
	loggedWanted string
	startedAt    time.Time
	cachedPlan   cachedPlan

	// wake makes Run start its next pass.
	wake chan struct{}

	// mu guards the fields below.
	mu sync.Mutex
	// fetched holds the manifests of the versions whose chunks are stored.
	fetched map[core.Digest]*manifest.Manifest
	// fetching holds the cancel functions of the running fetches.
	fetching map[core.Digest]context.CancelFunc
	// digestMismatch holds the versions for which a response of the engine carried
	// another digest. A version stays in the map until the engine accepts a new
	// order for it.
	digestMismatch map[core.Digest]bool
	progress       []Progress
	plan           *placement.Plan
}

// pendingOrder is an accepted order whose effect the engine has not reported yet.
type pendingOrder struct {
	order engine.Order
	// boot is the boot ID in the newest report when the order was sent.
	boot   string
	sentAt time.Time
}

// New returns a Controller, which does nothing until Run is called.
func New(cfg Config, d Deps) *Controller {
	cfg.applyDefaults()
	if d.Drainer == nil {
		d.Drainer = noopDrainer{}
	}
	if d.SetRegionShare == nil {
		d.SetRegionShare = func(int64) {}
	}
	return &Controller{
		cfg:               cfg,
		holder:            d.Holder,
		liveInstances:     d.LiveInstances,
		fetcher:           d.Fetcher,
		store:             d.Store,
		engine:            d.Engine,
		statusSource:      d.StatusSource,
		drainer:           d.Drainer,
		setRegionShare:    d.SetRegionShare,
		log:               d.Log,
		clock:             d.Clock,
		client:            &http.Client{Timeout: versionsTimeout},
		fenceCounter:      &fenceCounter{table: d.Table, key: fencePrefix + cfg.Self.ID, incarnation: cfg.Incarnation},
		drains:            map[core.Digest]*drain{},
		unwantedSince:     map[core.Digest]time.Time{},
		unresponsiveSince: map[string]time.Time{},
		waitReasons:       map[core.Digest]string{},
		startedAt:         d.Clock.Now(),
		wake:              make(chan struct{}, 1),
		fetched:           map[core.Digest]*manifest.Manifest{},
		fetching:          map[core.Digest]context.CancelFunc{},
		digestMismatch:    map[core.Digest]bool{},
		plan:              placement.Compute(declare.NewSet(), nil),
	}
}

// Run makes reconcile passes until ctx ends, and returns the error of ctx.
func (c *Controller) Run(ctx context.Context) error {
	defer c.client.CloseIdleConnections()
	for {
		// The channels are obtained before the pass, so that a change during
		// the pass is not missed.
		configChanged, statusChanged := c.holder.Changed(), c.statusSource.Changed()
		c.reconcileOnce(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-configChanged:
		case <-statusChanged:
		case <-c.wake:
		case <-c.clock.After(c.cfg.Interval):
		}
	}
}

// wakeRun makes Run start its next pass without waiting for the interval.
func (c *Controller) wakeRun() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// RecordDigestMismatch records that the engine's response to a call for version d
// carried another digest, although the engine reports d as loaded. The engine is
// ordered to load d again.
func (c *Controller) RecordDigestMismatch(d core.Digest) {
	c.mu.Lock()
	alreadyRecorded := c.digestMismatch[d]
	c.digestMismatch[d] = true
	c.mu.Unlock()
	if alreadyRecorded {
		return
	}
	c.log.Event(eventVersionDistrusted, eventlog.Fields{"version": d})
	c.wakeRun()
}

// AssignedAgents returns the agents to whose servers the version d is assigned, in
// the order of their rank. A fetch of d uses these agents as peers, also when this
// agent fetches a chunk of d only because another agent has requested that chunk.
func (c *Controller) AssignedAgents(d core.Digest) []core.Instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.plan.AssignedAgents(d)
}

// computePlan returns the placement plan for set, the declarations in force,
// and the current list of live instances. This agent counts as live even if the
// platform does not list it yet. The plan is computed again only if the set or
// the list has changed.
func (c *Controller) computePlan(set *declare.Set) *placement.Plan {
	current := c.liveInstances()
	if c.cachedPlan.set == set && slices.Equal(c.cachedPlan.live, current) {
		return c.cachedPlan.plan
	}
	live := append([]core.Instance{}, current...)
	listed := false
	for _, i := range live {
		listed = listed || i.ID == c.cfg.Self.ID
	}
	if !listed {
		live = append(live, c.cfg.Self)
	}
	plan := placement.Compute(set, live)
	c.setRegionShare(placement.RegionShare(set, plan, c.cfg.Self))
	c.cachedPlan = cachedPlan{set: set, live: current, plan: plan}
	c.mu.Lock()
	c.plan = plan
	c.mu.Unlock()
	return plan
}

// cachedPlan is a placement plan with the set and the list of live instances
// that it was computed from.
type cachedPlan struct {
	set  *declare.Set
	live []core.Instance
	plan *placement.Plan
}

// startFetch fetches a version in the background unless it is already fetched
// or being fetched.
func (c *Controller) startFetch(ctx context.Context, w placement.Assignment) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fetched[w.ManifestDigest] != nil || c.fetching[w.ManifestDigest] != nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	c.fetching[w.ManifestDigest] = cancel
	go func() {
		defer cancel()
		m, err := c.fetcher.Fetch(ctx, w.ManifestDigest, func() []core.Instance { return c.AssignedAgents(w.ManifestDigest) })
		c.finishFetch(ctx, w, m, err)
	}()
}

// finishFetch records the outcome of a fetch. If the store was full, finishFetch
// drops unwanted chunks. The next pass starts a failed fetch again.
func (c *Controller) finishFetch(ctx context.Context, w placement.Assignment, m *manifest.Manifest, err error) {
	c.mu.Lock()
	delete(c.fetching, w.ManifestDigest)
	if err == nil {
		c.fetched[w.ManifestDigest] = m
	}
	c.mu.Unlock()
	if err == nil {
		c.wakeRun()
		return
	}
	if ctx.Err() != nil {
		return
	}
	c.log.EventWithError(eventVersionFetchFailed, err, eventlog.Fields{"model": w.Model, "version": w.ManifestDigest})
	if errors.Is(err, spread.ErrFull) {
		c.dropUnwantedChunks()
	}
}

// dropUnwantedChunks removes the chunks of unwanted versions from the store.
func (c *Controller) dropUnwantedChunks() {
	c.mu.Lock()
	wanted := map[core.Digest]bool{}
	for _, w := range c.plan.Assignments(c.cfg.Self.ID) {
		wanted[w.ManifestDigest] = true
	}
	var keep []*manifest.Manifest
	for d, m := range c.fetched {
		if wanted[d] {
			keep = append(keep, m)
		} else {
			delete(c.fetched, d)
		}
	}
	c.mu.Unlock()
	bytesBefore := c.store.Bytes()
	c.store.Retain(keep)
	c.log.Event(eventChunksDropped, eventlog.Fields{"bytes": bytesBefore - c.store.Bytes()})
}
