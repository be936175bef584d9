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
	DefaultMaxPeerFetches     = 16
	DefaultMaxOwnedFetches    = 2
	DefaultMaxIdleConnections = 64
	DefaultUploadSlots        = 4
	DefaultFanout             = 3
	DefaultMaxOwners          = 3
	DefaultLongPollTimeout    = time.Second
	DefaultResponseMargin     = time.Second
	DefaultStallTimeout       = 2 * time.Second
	DefaultSuspectPeriod      = 15 * time.Second
	DefaultFetchTimeout       = 5 * time.Minute
	DefaultRetryPause         = 250 * time.Millisecond
)

// Config holds the settings of a Swarm.
type Config struct {
	// Self is this agent.
	Self core.Instance
	// Token authenticates the agents to each other.
	Token string
	// OriginRegion is the region of the origin, the store of the weights. If it
	// is empty, the region is unknown, and reads of the origin never count
	// against the limit for traffic between regions.
	OriginRegion string
	// UploadBytesPerSecond limits the outbound bandwidth that transfers of
	// weights may use on this machine; 0 means no limit.
	UploadBytesPerSecond int64
	// DownloadBytesPerSecond limits the inbound bandwidth that transfers of
	// weights may use on this machine; 0 means no limit.
	DownloadBytesPerSecond int64
	// RegionBytesPerSecond limits the bandwidth on the link from other regions
	// that all agents of this region together may use for transfers of weights.
	// 0 means that SetRegionBudget and SetRegionShare set the limit.
	RegionBytesPerSecond int64
	// OriginBytesPerSecond is the bandwidth of the origin that all agents
	// together may use. Each agent alone stays below this rate, and the due
	// times of the chunks spread the reads of all agents over time. 0 means
	// that the reads are neither limited nor spread.
	OriginBytesPerSecond int64
	// If ReadOriginOnce is true, only one agent in all regions together reads
	// each chunk from the origin, and the owners in the regions fetch the chunk
	// from this agent or from each other. Otherwise one agent in each region
	// reads the chunk from the origin. ReadOriginOnce is faster if the origin
	// is slower than the links between regions.
	ReadOriginOnce bool
	// MaxPeerFetches is the maximum number of concurrent fetches of chunks that
	// other agents own.
	MaxPeerFetches int
	// MaxOwnedFetches is the maximum number of concurrent fetches of chunks
	// that this agent owns.
	MaxOwnedFetches int
	// MaxIdleConnections is the maximum number of unused connections that are
	// kept open to all peers together.
	MaxIdleConnections int
	// UploadSlots is the maximum number of concurrent transfers of objects to
	// peers.
	UploadSlots int
	// Fanout is the number of peers to which an agent sends one chunk. The
	// agent redirects further peers to these peers, unless it is sending
	// nothing at that moment.
	Fanout int
	// MaxOwners is the maximum number of agents that may act as the owner of a
	// chunk. If the owner fails, the next agent in the ranking takes its place.
	MaxOwners int
	// LongPollTimeout is how long a peer may keep a request of this agent open
	// while the peer is still fetching the object.
	LongPollTimeout time.Duration
	// ResponseMargin is added to the time for which a peer may keep a request
	// open. The sum is the timeout for the response; a peer that exceeds this
	// timeout is suspected.
	ResponseMargin time.Duration
	// StallTimeout is how long a transfer may make no progress before it is
	// aborted.
	StallTimeout time.Duration
	// SuspectPeriod is how long a suspected peer, one that did not respond, is
	// skipped.
	SuspectPeriod time.Duration
	// FetchTimeout is the maximum time for all attempts to fetch one chunk.
	FetchTimeout time.Duration
	// RetryPause is the delay after the first round of attempts in which no
	// source delivered a chunk. The delay doubles after each further round, up
	// to twice LongPollTimeout.
	RetryPause time.Duration
	// Peers returns the agents that need or hold a version. It is called only
	// for versions that this agent is not fetching itself; a nil Peers means
	// that no agent needs or holds such a version.
	Peers func(version core.Digest) []Peer
	// Metrics is the registry of the counters; nil means
	// metrics.DefaultRegistry.
	Metrics metrics.Registry
}

// applyDefaults sets every field that has its zero value to its default.
func (c *Config) applyDefaults() {
	core.SetDefault(&c.MaxPeerFetches, DefaultMaxPeerFetches)
	core.SetDefault(&c.MaxOwnedFetches, DefaultMaxOwnedFetches)
	core.SetDefault(&c.MaxIdleConnections, DefaultMaxIdleConnections)
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
	cfg        Config
	store      *MemStore
	origin     platform.ObjectStore
	log        *eventlog.Logger
	clock      clockwork.Clock
	client     *http.Client
	fetchGroup singleflight.Group
	// uploadSlots holds an element for each transfer of an object to a peer.
	uploadSlots chan struct{}
	// ctx ends when the Swarm is closed; fetches run under it.
	ctx    context.Context
	cancel context.CancelFunc

	uploadLimiter, downloadLimiter, originLimiter *BandwidthLimiter
	regionLimiter                                 *regionLimiter

	counters counters

	mu sync.Mutex
	// fetchCounts holds the number of fetches in progress for each object.
	fetchCounts map[core.Digest]int
	// originReadCounts holds the number of reads of the origin in progress for
	// each object.
	originReadCounts map[core.Digest]int
	// lastOriginFailure is the time of the last failed read of the origin.
	lastOriginFailure time.Time
	// suspects maps the address of each suspected peer to the time at which
	// the suspicion ends.
	suspects map[string]time.Time
	// holders records the peers to which this agent sent each object.
	holders map[core.Digest]*holderList
	// fetches holds the versions that are being fetched, by manifest digest.
	fetches map[core.Digest]*versionFetch
}

// counters are the metrics of a Swarm.
type counters struct {
	originBytes, peerBytes, sentBytes, corruptChunks metrics.Counter
}

// versionFetch is the state of one version that is being fetched.
type versionFetch struct {
	peers func() []Peer
	// missingAtStart maps each chunk that was not held at the start of the
	// fetch to the chunk's size in bytes. Chunks that arrive stay in the map.
	// Swarm.mu guards the map.
	missingAtStart map[core.Digest]int64

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
		client:          newHTTPClient(cfg.MaxIdleConnections),
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
		fetchCounts:      map[core.Digest]int{},
		originReadCounts: map[core.Digest]int{},
		suspects:         map[string]time.Time{},
		holders:          map[core.Digest]*holderList{},
		fetches:          map[core.Digest]*versionFetch{},
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
	// Chunks is the number of the version's chunks.
	Chunks int
	// Bytes is the total size of the version's chunks.
	Bytes int64
	// HeldChunks is the number of chunks that are held and verified.
	HeldChunks int
	// HeldBytes is the total size of the chunks that are held and verified.
	HeldBytes int64
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

// Fetch implements Fetcher. It retries failed fetches of chunks until ctx ends.
// The store must have room for the held objects, the missing chunks of other
// fetches and this version. Otherwise Fetch returns ErrFull before it fetches any
// chunk.
func (s *Swarm) Fetch(ctx context.Context, d core.Digest, peers func() []Peer) (*manifest.Manifest, error) {
	start := s.clock.Now()
	v := s.beginFetch(d, peers)
	defer s.endFetch(d)
	body, err := s.getObject(ctx, object{version: d, digest: d, isManifest: true}, tierReader)
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

// isWanted reports whether the object with digest d is the manifest or a missing chunk of
// a version that is being fetched.
func (s *Swarm) isWanted(d core.Digest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.fetches[d]; ok {
		return true
	}
	for _, v := range s.fetches {
		if _, ok := v.missingAtStart[d]; ok {
			return true
		}
	}
	return false
}

// endFetch removes the registration that beginFetch made.
func (s *Swarm) endFetch(d core.Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.fetches, d)
}

// reserveSpace records the missing chunks of m, so that the space for them is not
// available to later fetches. If the chunks do not fit into the store, it records
// nothing and returns ErrFull.
func (s *Swarm) reserveSpace(v *versionFetch, m *manifest.Manifest) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	v.missingAtStart = map[core.Digest]int64{}
	for _, c := range m.Chunks() {
		if _, held := s.store.Get(c.Digest); !held {
			v.missingAtStart[c.Digest] = c.Size
		}
	}
	needed := s.store.Bytes()
	for _, other := range s.fetches {
		needed += other.missingBytes(s.store)
	}
	if needed > s.store.MaxBytes() {
		v.missingAtStart = nil
		return errors.Wrapf(ErrFull, "%d bytes are needed, the limit is %d", needed, s.store.MaxBytes())
	}
	return nil
}

// missingBytes returns the total size of the version's chunks that are not in store
// yet. The caller must hold Swarm.mu.
func (v *versionFetch) missingBytes(store *MemStore) int64 {
	var n int64
	for d, size := range v.missingAtStart {
		if _, held := store.Get(d); !held {
			n += size
		}
	}
	return n
}

// fetchChunks fetches all chunks of a version. Separate workers fetch the chunks
// that this agent owns. Other agents wait for these chunks, so waiting for peers
// must not delay them.
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

// startWorkers starts workers in group that fetch the chunks of queue. d is the
// digest of the version's manifest.
func (s *Swarm) startWorkers(ctx context.Context, group *errgroup.Group, workerCount int, v *versionFetch, d core.Digest, queue *schedule) {
	for range workerCount {
		group.Go(func() error {
			for {
				c, ok, err := queue.next(ctx)
				if !ok || err != nil {
					return err
				}
				if _, err := s.getObject(ctx, object{version: d, digest: c.Digest}, tierReader); err != nil {
					return core.WrapStep("fetch chunk", c.Digest.Short(), err)
				}
				v.recordHeld(c)
			}
		})
	}
}

// recordHeld adds chunk c, which is now held, to the progress.
func (v *versionFetch) recordHeld(c manifest.Chunk) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.progress.HeldChunks++
	v.progress.HeldBytes += c.Size
}
