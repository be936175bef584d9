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

// Defaults of Config.
const (
	DefaultParallel        = 16
	DefaultOriginParallel  = 2
	DefaultIdleConnections = 64
	DefaultUploadSlots     = 4
	DefaultFanout          = 3
	DefaultOwners          = 3
	DefaultWait            = time.Second
	DefaultAnswerMargin    = time.Second
	DefaultStall           = 2 * time.Second
	DefaultSuspect         = 15 * time.Second
	DefaultFlightTimeout   = 5 * time.Minute
	DefaultRetryPause      = 250 * time.Millisecond
)

// Config holds the settings of an agent's part in spreading.
type Config struct {
	// Self is this agent.
	Self core.Instance
	// Token authenticates the agents to each other.
	Token string
	// OriginRegion is the region in which the weight store stands; empty
	// when it is not known, and then the store is never behind a region link.
	OriginRegion string
	// UploadBytesPerSecond is what weights may use of this machine's link
	// outwards; 0 means no limit.
	UploadBytesPerSecond int64
	// DownloadBytesPerSecond is the same inwards.
	DownloadBytesPerSecond int64
	// RegionBytesPerSecond is what the weights for all agents of this region
	// together may use of the link to other regions; 0 means that
	// SetRegionBudget and SetRegionRate say it.
	RegionBytesPerSecond int64
	// OriginBytesPerSecond is the budget of the weight store's link for all
	// agents together. An agent never draws more than this, and the agents
	// take turns by it; 0 means no limit and no turns.
	OriginBytesPerSecond int64
	// OneOriginCopy lets each chunk be read from the origin once for all
	// regions, whose owners then ask each other; otherwise each region reads
	// the origin. It suits an origin that is slower than the links between
	// regions.
	OneOriginCopy bool
	// Parallel is the number of chunks asked of peers at once.
	Parallel int
	// OriginParallel is the number of owned chunks fetched at once.
	OriginParallel int
	// IdleConnections is the number of unused connections that are kept to
	// all peers together.
	IdleConnections int
	// UploadSlots is the number of chunks sent to peers at once.
	UploadSlots int
	// Fanout is the number of peers to which an agent sends one chunk before
	// it names those peers to others.
	Fanout int
	// Owners is how many agents, in hash order, may stand in for a chunk's
	// owner.
	Owners int
	// Wait is how long an agent holds a peer's request open for a chunk that
	// is on its way.
	Wait time.Duration
	// AnswerMargin is how much longer than Wait an answer may take before
	// the peer is suspected.
	AnswerMargin time.Duration
	// Stall is how long a transfer may bring no byte.
	Stall time.Duration
	// Suspect is how long a suspected peer is passed over.
	Suspect time.Duration
	// FlightTimeout ends the attempts for one chunk.
	FlightTimeout time.Duration
	// RetryPause is the pause after a round in which no source gave a chunk.
	RetryPause time.Duration
	// Peers returns the agents that need or hold a version this agent is not
	// fetching itself; nil means none are known.
	Peers func(version core.Digest) []Peer
	// Metrics takes the counters; nil means metrics.DefaultRegistry.
	Metrics metrics.Registry
}

// applyDefaults fills in what was left out.
func (c *Config) applyDefaults() {
	core.SetDefault(&c.Parallel, DefaultParallel)
	core.SetDefault(&c.OriginParallel, DefaultOriginParallel)
	core.SetDefault(&c.IdleConnections, DefaultIdleConnections)
	core.SetDefault(&c.UploadSlots, DefaultUploadSlots)
	core.SetDefault(&c.Fanout, DefaultFanout)
	core.SetDefault(&c.Owners, DefaultOwners)
	core.SetDefault(&c.Wait, DefaultWait)
	core.SetDefault(&c.AnswerMargin, DefaultAnswerMargin)
	core.SetDefault(&c.Stall, DefaultStall)
	core.SetDefault(&c.Suspect, DefaultSuspect)
	core.SetDefault(&c.FlightTimeout, DefaultFlightTimeout)
	core.SetDefault(&c.RetryPause, DefaultRetryPause)
	if c.Peers == nil {
		c.Peers = func(core.Digest) []Peer { return nil }
	}
	if c.Metrics == nil {
		c.Metrics = metrics.DefaultRegistry
	}
}

// Swarm is one agent's part in spreading: it fetches versions for its own
// engine and serves what it holds to peers. It implements Fetcher; Handler
// gives its HTTP side. It is safe for concurrent use.
type Swarm struct {
	cfg     Config
	store   *MemStore
	origin  platform.Objects
	log     *eventlog.Logger
	clock   clockwork.Clock
	client  *http.Client
	flights singleflight.Group
	slots   chan struct{}
	ctx     context.Context
	cancel  context.CancelFunc

	upload, download, originLink *Link
	region                       *regionLink

	counters counters

	mu     sync.Mutex
	flying map[core.Digest]int
	// reading counts the reads of the origin under way, and originFailure is
	// the time of the last one that failed.
	reading       map[core.Digest]int
	originFailure time.Time
	suspects      map[string]time.Time
	holders       map[core.Digest]*holderList
	versions      map[core.Digest]*fetch
}

// counters are the metrics of a Swarm.
type counters struct {
	originBytes, peerBytes, sentBytes, corrupt metrics.Counter
}

// fetch is a version that is being fetched.
type fetch struct {
	peers func() []Peer
	// missing are the chunks that were not held at the start, with their
	// sizes; the lock of the Swarm guards it.
	missing map[core.Digest]int64

	mu       sync.Mutex
	at       time.Time
	ranking  *ranking
	progress Progress
}

// NewFetcher returns a Swarm over store that reads the origin from weights.
// Close ends it.
func NewFetcher(cfg Config, store *MemStore, weights platform.Objects, log *eventlog.Logger, clock clockwork.Clock) *Swarm {
	cfg.applyDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	count := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("weights."+name, cfg.Metrics)
	}
	s := &Swarm{
		cfg:        cfg,
		store:      store,
		origin:     weights,
		log:        log,
		clock:      clock,
		client:     newClient(cfg.IdleConnections),
		slots:      make(chan struct{}, cfg.UploadSlots),
		ctx:        ctx,
		cancel:     cancel,
		upload:     NewLink(cfg.UploadBytesPerSecond),
		download:   NewLink(cfg.DownloadBytesPerSecond),
		region:     newRegionLink(),
		originLink: NewLink(cfg.OriginBytesPerSecond),
		counters: counters{
			originBytes: count("origin-bytes"),
			peerBytes:   count("peer-bytes"),
			sentBytes:   count("sent-bytes"),
			corrupt:     count("corrupt-chunks"),
		},
		flying:   map[core.Digest]int{},
		reading:  map[core.Digest]int{},
		suspects: map[string]time.Time{},
		holders:  map[core.Digest]*holderList{},
		versions: map[core.Digest]*fetch{},
	}
	s.region.set(func() { s.region.budget = cfg.RegionBytesPerSecond })
	return s
}

// Store returns the store that the chunks are kept in.
func (s *Swarm) Store() *MemStore { return s.store }

// Close ends every transfer and closes idle connections.
func (s *Swarm) Close() {
	s.cancel()
	s.client.CloseIdleConnections()
}

// Progress says how far a fetch has come.
type Progress struct {
	// Chunks and Bytes are what the version has.
	Chunks int
	Bytes  int64
	// HeldChunks and HeldBytes are what is held and verified of it.
	HeldChunks int
	HeldBytes  int64
}

// Progress returns how far the fetch of version d has come; false when it is
// not being fetched.
func (s *Swarm) Progress(d core.Digest) (Progress, bool) {
	s.mu.Lock()
	v, ok := s.versions[d]
	s.mu.Unlock()
	if !ok {
		return Progress{}, false
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.progress, true
}

// Fetch implements Fetcher. It retries until ctx ends. It gives up with ErrFull
// before any chunk is read when the version does not fit into the store beside
// what is held and what other fetches are still to bring.
func (s *Swarm) Fetch(ctx context.Context, d core.Digest, peers func() []Peer) (*manifest.Manifest, error) {
	start := s.clock.Now()
	v := s.begin(d, peers)
	defer s.end(d)
	body, err := s.get(ctx, object{version: d, digest: d, manifest: true}, tierReader)
	if err != nil {
		return nil, core.Step("fetch manifest", d.Short(), err)
	}
	m, err := manifest.Decode(body, d)
	if err != nil {
		return nil, err
	}
	if err := s.reserve(v, m); err != nil {
		return m, core.Step("fetch version", d.Short(), err)
	}
	if err := s.fetchChunks(ctx, v, d, m.Chunks()); err != nil {
		return nil, core.Step("fetch version", d.Short(), err)
	}
	s.log.Event(eventFetched, eventlog.Fields{
		"version": d, "bytes": m.Size(), "ms": s.clock.Since(start).Milliseconds(),
	})
	return m, nil
}

// begin registers the version as being fetched.
func (s *Swarm) begin(d core.Digest, peers func() []Peer) *fetch {
	v := &fetch{peers: peers}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.versions[d] = v
	return v
}

func (s *Swarm) end(d core.Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.versions, d)
}

// reserve checks that the chunks that are missing fit, and counts them for the
// fetches that come after.
func (s *Swarm) reserve(v *fetch, m *manifest.Manifest) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	v.missing = map[core.Digest]int64{}
	for _, c := range m.Chunks() {
		if _, held := s.store.Get(c.Digest); !held {
			v.missing[c.Digest] = c.Size
		}
	}
	need := s.store.Bytes()
	for _, other := range s.versions {
		need += other.stillMissing(s.store)
	}
	if need > s.store.MaxBytes() {
		v.missing = nil
		return errors.Wrapf(ErrFull, "%d bytes would be needed, the bound is %d", need, s.store.MaxBytes())
	}
	return nil
}

// stillMissing returns the bytes that a fetch has yet to bring. The lock of the
// Swarm is held.
func (v *fetch) stillMissing(store *MemStore) int64 {
	var n int64
	for d, size := range v.missing {
		if _, held := store.Get(d); !held {
			n += size
		}
	}
	return n
}

// fetchChunks fetches all chunks: the owned ones and the others by separate
// groups of workers, so that waiting for peers never holds up the scatter.
func (s *Swarm) fetchChunks(ctx context.Context, v *fetch, d core.Digest, chunks []manifest.Chunk) error {
	own, others := s.deal(s.ranking(d), chunks, s.clock.Now())
	s.region.own(d, own, len(chunks))
	defer s.region.own(d, nil, 0)
	v.mu.Lock()
	v.progress.Chunks = len(chunks)
	for _, c := range chunks {
		v.progress.Bytes += c.Size
	}
	size := v.progress.Bytes
	v.mu.Unlock()
	s.log.Event(eventFetch, eventlog.Fields{
		"version": d, "chunks": len(chunks), "bytes": size, "owned": len(own),
	})
	group, ctx := errgroup.WithContext(ctx)
	s.work(ctx, group, s.cfg.OriginParallel, v, d, newSchedule(own, false, s.clock))
	s.work(ctx, group, s.cfg.Parallel, v, d, newSchedule(others, true, s.clock))
	return group.Wait()
}

// work starts workers that fetch the chunks of a schedule.
func (s *Swarm) work(ctx context.Context, group *errgroup.Group, workers int, v *fetch, d core.Digest, queue *schedule) {
	for range workers {
		group.Go(func() error {
			for {
				c, ok, err := queue.next(ctx)
				if !ok || err != nil {
					return err
				}
				if _, err := s.get(ctx, object{version: d, digest: c.Digest}, tierReader); err != nil {
					return core.Step("fetch chunk", c.Digest.Short(), err)
				}
				v.count(c)
			}
		})
	}
}

// count adds a held chunk to the progress.
func (v *fetch) count(c manifest.Chunk) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.progress.HeldChunks++
	v.progress.HeldBytes += c.Size
}
