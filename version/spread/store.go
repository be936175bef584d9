package spread

import (
	"sync"

	"github.com/go-faster/errors"

	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/version/manifest"
)

// Errors that Store.Put returns.
var (
	// ErrCorrupt is returned when the bytes of an object do not match its
	// digest.
	ErrCorrupt = errors.New("digest does not match the bytes")
	// ErrFull is returned when an object does not fit into the store's memory
	// limit.
	ErrFull = errors.New("chunk memory is full")
)

// MemStore is a Store in memory. It holds both manifests and chunks, each under
// its digest. It is safe for concurrent use.
type MemStore struct {
	maxBytes int64

	mu     sync.Mutex
	bytes  int64
	bodies map[core.Digest][]byte
	// arrivals maps the digest of each awaited object to the channel that
	// ArrivalChannel returned. The channel is closed when the object is stored.
	arrivals map[core.Digest]chan struct{}
}

// NewMemStore returns an empty MemStore that holds at most maxBytes bytes.
func NewMemStore(maxBytes int64) *MemStore {
	return &MemStore{
		maxBytes: maxBytes,
		bodies:   map[core.Digest][]byte{},
		arrivals: map[core.Digest]chan struct{}{},
	}
}

// Get implements Store.
func (s *MemStore) Get(d core.Digest) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	body, ok := s.bodies[d]
	return body, ok
}

// Put implements Store. It returns ErrCorrupt if body does not match d, and
// ErrFull if the memory limit would be exceeded.
func (s *MemStore) Put(d core.Digest, body []byte) error {
	if !d.Matches(body) {
		return ErrCorrupt
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.bodies[d]; ok {
		return nil
	}
	if s.bytes+int64(len(body)) > s.maxBytes {
		return ErrFull
	}
	s.bodies[d] = body
	s.bytes += int64(len(body))
	if arrived, ok := s.arrivals[d]; ok {
		close(arrived)
		delete(s.arrivals, d)
	}
	return nil
}

// ArrivalChannel returns a channel that is closed once the object with digest d
// is held.
func (s *MemStore) ArrivalChannel(d core.Digest) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.bodies[d]; ok {
		held := make(chan struct{})
		close(held)
		return held
	}
	arrived, ok := s.arrivals[d]
	if !ok {
		arrived = make(chan struct{})
		s.arrivals[d] = arrived
	}
	return arrived
}

// Retain implements Store. MemStore also drops every manifest that is not in
// keep.
func (s *MemStore) Retain(keep []*manifest.Manifest) {
	retained := map[core.Digest]bool{}
	for _, m := range keep {
		if _, d, err := m.Encode(); err == nil {
			retained[d] = true
		}
		for _, c := range m.Chunks() {
			retained[c.Digest] = true
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for d, body := range s.bodies {
		if retained[d] {
			continue
		}
		s.bytes -= int64(len(body))
		delete(s.bodies, d)
	}
}

// Bytes implements Store.
func (s *MemStore) Bytes() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bytes
}

// Len returns the number of objects held.
func (s *MemStore) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.bodies)
}

// MaxBytes returns the memory limit, in bytes.
func (s *MemStore) MaxBytes() int64 { return s.maxBytes }
