package spread

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/singleflight"

	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/process/eventlog"
	"github.com/rattanway/rattanway/process/platform"
	"github.com/rattanway/rattanway/version/manifest"
)

// Default values of the fields of Config.
const (
	DefaultMaxPeerFetches  = 16
	DefaultMaxOwnedFetches = 2
	DefaultIdleConnections = 64
	DefaultUploadSlots     = 4
	DefaultFanout          = 3
	DefaultMaxOwners       = 3
	DefaultLongPollTimeout = time.Second
	DefaultResponseMargin  = time.Second
	DefaultStallTimeout    = 2 * time.Second
	DefaultSuspectPeriod   = 15 * time.Second
	DefaultFetchTimeout    = 5 * time.Minute
	DefaultRetryPause      = 250 * time.Millisecond
)

// Config holds the settings of a Swarm.
type Config struct {
	// Self is this agent.
	Self core.Instance
	// Token authenticates the agents to each other.
	Token string
	// OriginRegion is the region of the weight store. If it is empty, the
	// region is unknown, and reads of the store never count against the limit
	// for traffic between regions.
	OriginRegion string
	// UploadBytesPerSecond limits the outbound bandwidth that transfers of
	// weights may use on this machine; 0 means no limit.
	UploadBytesPerSecond int64
	// DownloadBytesPerSecond limits the inbound bandwidth in the same way.
	DownloadBytesPerSecond int64
	// RegionBytesPerSecond limits the bandwidth that transfers of weights to
	// all agents of this region together may use on the link to other regions.
	// 0 means that SetRegionBudget and SetRegionShare set the limit.
	RegionBytesPerSecond int64
	// OriginBytesPerSecond is the bandwidth of the weight store that all agents
	// together may use. Each agent stays below this rate, and the due times of
	// the chunks spread the reads of all agents over time. 0 means no limit
	// and no spreading.
	OriginBytesPerSecond int64
	// ReadOriginOnce makes the agents read each chunk from the origin once for
	// all regions; the owners of the regions then fetch it from each other.
	// Otherwise each region reads the origin. Reading once suits an origin that
	// is slower than the links between regions.
	ReadOriginOnce bool
	// MaxPeerFetches is the number of chunks owned by other agents that are
	// fetched at once.
	MaxPeerFetches int
	// MaxOwnedFetches is the number of chunks owned by this agent that are
	// fetched at once.
	MaxOwnedFetches int
	// IdleConnections is the number of unused connections that are kept open
	// to all peers together.
	IdleConnections int
	// UploadSlots is the number of chunks sent to peers at once.
	UploadSlots int
	// Fanout is the number of peers to which an agent sends one chunk before
	// it redirects further peers to them.
	Fanout int
	// MaxOwners is the number of agents that may act as the owner of a chunk:
	// the owner, and the agents after the owner in the ranking if the owner
	// fails.
	MaxOwners int
	// LongPollTimeout is how long a peer should keep a request of this agent
	// open for an object that the peer is still fetching.
	LongPollTimeout time.Duration
	// ResponseMargin is how much longer a response may take than the request may
	// be kept open, before the peer is suspected.
	ResponseMargin time.Duration
	// StallTimeout is how long a transfer may make no progress before it is
	// aborted.
	StallTimeout time.Duration
	// SuspectPeriod is how long a suspected peer is skipped.
	SuspectPeriod time.Duration
	// FetchTimeout bounds the time for all attempts to fetch one chunk.
	FetchTimeout time.Duration
	// RetryPause is the initial delay after a round in which no source
	// delivered a chunk.
	RetryPause time.Duration
	// Peers returns the agents that need or hold a version that this agent is
	// not fetching itself; nil means that there are none.
	Peers func(version core.Digest) []Peer
	// Metrics is the registry of the counters; nil means
	// metrics.DefaultRegistry.
	Metrics metrics.Registry
}

// applyDefaults sets every field that has its zero value to its default.
func (c *Config) applyDefaults() {
	core.SetDefault(&c.MaxPeerFetches, DefaultMaxPeerFetches)
	core.SetDefault(&c.MaxOwnedFetches, DefaultMaxOwnedFetches)
	core.SetDefault(&c.IdleConnections, DefaultIdleConnections)
	core.SetDefault(&c.UploadSlots, DefaultUploadSlots)
	core.SetDefault(&c.Fanout, DefaultFanout)
	core.SetDefault(&c.MaxOwners, DefaultMaxOwners)
	core.SetDefault(&c.LongPollTimeout, DefaultLongPollTimeout)
	core.SetDefault(&c.ResponseMargin, DefaultResponseMargin)
	core.SetDefault(&c.StallTimeout, DefaultStallTimeout)
	core.SetDefault(&c.SuspectPeriod, DefaultSuspectPeriod)
	core.SetDefault(&c.FetchTimeout, DefaultFetchTimeout)
	core.SetDefault(&c.RetryPause, DefaultRetryPause)
	if c.Peers == nil {
		c.Peers = func(core.Digest) []Peer { return nil }
	}
	if c.Metrics == nil {
		c.Metrics = metrics.DefaultRegistry
	}
}

// Swarm fetches versions from peers and the origin for one agent, and sends the
// objects that the agent holds to its peers. It implements Fetcher; Handler
// returns its HTTP handler. It is safe for concurrent use.
type Swarm struct {
	cfg         Config
	store       *MemStore
	origin      platform.ObjectStore
	log         *eventlog.Logger
	clock       clockwork.Clock
	client      *http.Client
	fetchGroup  singleflight.Group
	uploadSlots chan struct{}
	ctx         context.Context
	cancel      context.CancelFunc

	uploadLimiter, downloadLimiter, originLimiter *BandwidthLimiter
	regionLimiter                                 *regionLimiter

	counters counters

	mu sync.Mutex
	// fetching counts the fetches in progress for each object.
	fetching map[core.Digest]int
	// originReads counts the reads of the origin in progress for each object,
	// and lastOriginFailure is the time of the last read that failed.
	originReads       map[core.Digest]int
	lastOriginFailure time.Time
	// suspects maps the address of each suspected peer to the time at which
	// the suspicion ends.
	suspects map[string]time.Time
	holders  map[core.Digest]*holderList
	fetches  map[core.Digest]*versionFetch
}

// counters are the metrics of a Swarm.
type counters struct {
	originBytes, peerBytes, sentBytes, corruptChunks metrics.Counter
}

// versionFetch is the state of one version that is being fetched.
type versionFetch struct {
	peers func() []Peer
	// missing maps each chunk that was not held at the start to its size in
	// bytes. Swarm.mu guards it.
	missing map[core.Digest]int64

	mu sync.Mutex
	// rankedAt is the time at which ranking was computed.
	rankedAt time.Time
	ranking  *ranking
	progress Progress
}

// NewSwarm returns a Swarm that keeps objects in store and uses weights as
// the origin. Close stops it.
func NewSwarm(cfg Config, store *MemStore, weights platform.ObjectStore, log *eventlog.Logger, clock clockwork.Clock) *Swarm {
	cfg.applyDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	newCounter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("weights."+name, cfg.Metrics)
	}
	s := &Swarm{
		cfg:             cfg,
		store:           store,
		origin:          weights,
		log:             log,
		clock:           clock,
		client:          newHTTPClient(cfg.IdleConnections),
		uploadSlots:     make(chan struct{}, cfg.UploadSlots),
		ctx:             ctx,
		cancel:          cancel,
		uploadLimiter:   NewBandwidthLimiter(cfg.UploadBytesPerSecond),
		downloadLimiter: NewBandwidthLimiter(cfg.DownloadBytesPerSecond),
		regionLimiter:   newRegionLimiter(),
		originLimiter:   NewBandwidthLimiter(cfg.OriginBytesPerSecond),
		counters: counters{
			originBytes:   newCounter("origin-bytes"),
			peerBytes:     newCounter("peer-bytes"),
			sentBytes:     newCounter("sent-bytes"),
			corruptChunks: newCounter("corrupt-chunks"),
		},
		fetching:    map[core.Digest]int{},
		originReads: map[core.Digest]int{},
		suspects:    map[string]time.Time{},
		holders:     map[core.Digest]*holderList{},
		fetches:     map[core.Digest]*versionFetch{},
	}
	s.regionLimiter.update(func() { s.regionLimiter.budget = cfg.RegionBytesPerSecond })
	return s
}

// Store returns the store that holds the chunks.
func (s *Swarm) Store() *MemStore { return s.store }

// Close cancels every transfer and closes idle connections.
func (s *Swarm) Close() {
	s.cancel()
	s.client.CloseIdleConnections()
}

// Progress is the progress of the fetch of one version.
type Progress struct {
	// Chunks and Bytes are the number and total size of the version's chunks.
	Chunks int
	Bytes  int64
	// HeldChunks and HeldBytes are the number and total size of the chunks
	// that are held and verified.
	HeldChunks int
	HeldBytes  int64
}

// Progress returns the progress of the fetch of the version with manifest digest
// d, or false if the version is not being fetched.
func (s *Swarm) Progress(d core.Digest) (Progress, bool) {
	s.mu.Lock()
	v, ok := s.fetches[d]
	s.mu.Unlock()
	if !ok {
		return Progress{}, false
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.progress, true
}

// Fetch implements Fetcher. It retries until ctx ends. It returns ErrFull before
// it fetches any chunk if the store has no room for the version beside the
// objects that it holds and the missing chunks of other fetches.
func (s *Swarm) Fetch(ctx context.Context, d core.Digest, peers func() []Peer) (*manifest.Manifest, error) {
	start := s.clock.Now()
	v := s.beginFetch(d, peers)
	defer s.endFetch(d)
	body, err := s.getObject(ctx, object{version: d, digest: d, manifest: true}, tierReader)
	if err != nil {
		return nil, core.WrapStep("fetch manifest", d.Short(), err)
	}
	m, err := manifest.Decode(body, d)
	if err != nil {
		return nil, err
	}
	if err := s.reserveSpace(v, m); err != nil {
		return m, core.WrapStep("fetch version", d.Short(), err)
	}
	if err := s.fetchChunks(ctx, v, d, m.Chunks()); err != nil {
		return nil, core.WrapStep("fetch version", d.Short(), err)
	}
	s.log.Event(eventVersionFetched, eventlog.Fields{
		"version": d, "bytes": m.Size(), "ms": s.clock.Since(start).Milliseconds(),
	})
	return m, nil
}

// beginFetch registers the version with manifest digest d as being fetched.
func (s *Swarm) beginFetch(d core.Digest, peers func() []Peer) *versionFetch {
	v := &versionFetch{peers: peers}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fetches[d] = v
	return v
}

// endFetch removes the registration that beginFetch made.
func (s *Swarm) endFetch(d core.Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.fetches, d)
}

// reserveSpace records the missing chunks of m, so that later fetches count
// them. It returns ErrFull, and records nothing, if they do not fit into the
// store.
func (s *Swarm) reserveSpace(v *versionFetch, m *manifest.Manifest) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	v.missing = map[core.Digest]int64{}
	for _, c := range m.Chunks() {
		if _, held := s.store.Get(c.Digest); !held {
			v.missing[c.Digest] = c.Size
		}
	}
	needed := s.store.Bytes()
	for _, other := range s.fetches {
		needed += other.missingBytes(s.store)
	}
	if needed > s.store.MaxBytes() {
		v.missing = nil
		return errors.Wrapf(ErrFull, "%d bytes are needed, the limit is %d", needed, s.store.MaxBytes())
	}
	return nil
}

// missingBytes returns the total size of the chunks that are still missing. The
// caller must hold Swarm.mu.
func (v *versionFetch) missingBytes(store *MemStore) int64 {
	var n int64
	for d, size := range v.missing {
		if _, held := store.Get(d); !held {
			n += size
		}
	}
	return n
}

// fetchChunks fetches all chunks. Separate groups of workers fetch the chunks
// that this agent owns and the other chunks, so that waiting for peers never
// delays the owned chunks, for which other agents wait.
func (s *Swarm) fetchChunks(ctx context.Context, v *versionFetch, d core.Digest, chunks []manifest.Chunk) error {
	own, others := s.splitByOwner(s.ranking(d), chunks, s.clock.Now())
	s.regionLimiter.setOwnedChunks(d, own, len(chunks))
	defer s.regionLimiter.setOwnedChunks(d, nil, 0)
	v.mu.Lock()
	v.progress.Chunks = len(chunks)
	for _, c := range chunks {
		v.progress.Bytes += c.Size
	}
	size := v.progress.Bytes
	v.mu.Unlock()
	s.log.Event(eventVersionFetchStarted, eventlog.Fields{
		"version": d, "chunks": len(chunks), "bytes": size, "owned": len(own),
	})
	group, ctx := errgroup.WithContext(ctx)
	s.startWorkers(ctx, group, s.cfg.MaxOwnedFetches, v, d, newSchedule(own, false, s.clock))
	s.startWorkers(ctx, group, s.cfg.MaxPeerFetches, v, d, newSchedule(others, true, s.clock))
	return group.Wait()
}

// startWorkers starts workers that fetch the chunks of queue.
func (s *Swarm) startWorkers(ctx context.Context, group *errgroup.Group, workers int, v *versionFetch, d core.Digest, queue *schedule) {
	for range workers {
		group.Go(func() error {
			for {
				c, ok, err := queue.next(ctx)
				if !ok || err != nil {
					return err
				}
				if _, err := s.getObject(ctx, object{version: d, digest: c.Digest}, tierReader); err != nil {
					return core.WrapStep("fetch chunk", c.Digest.Short(), err)
				}
				v.addHeld(c)
			}
		})
	}
}

// addHeld adds a held chunk to the progress.
func (v *versionFetch) addHeld(c manifest.Chunk) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.progress.HeldChunks++
	v.progress.HeldBytes += c.Size
}
