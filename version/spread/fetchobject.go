package spread

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/process/eventlog"
	"github.com/rattanway/rattanway/version/manifest"
)

const (
	// maxCorruptRetries is how often a request to one source is retried after a
	// response that did not match the digest.
	maxCorruptRetries = 2
	// maxHoldersTried bounds the number of holders tried in one search.
	maxHoldersTried = 12
	// fastFailureTime is a delay that is too short to matter. If a request to
	// an owner fails within this time, or the owner reports that its own fetch
	// failed, the agent tries the next owner, which is the same for all
	// regions. If the owner does not respond for longer, the agent reads the
	// origin.
	fastFailureTime = 200 * time.Millisecond
	// maxNeighbours is the number of other peers that are tried in one round
	// while the origin cannot be read.
	maxNeighbours = 4
)

// getObject returns a verified object from the store, or fetches it. Concurrent
// calls at one tier share one fetch, which continues after ctx ends.
func (s *Swarm) getObject(ctx context.Context, o object, t tier) ([]byte, error) {
	if body, ok := s.store.Get(o.digest); ok {
		return body, nil
	}
	arrived := s.store.ArrivalChannel(o.digest)
	result := s.fetchGroup.DoChan(tierNames[t]+" "+string(o.digest), func() (any, error) {
		return s.fetchWithRetries(o, t)
	})
	select {
	case r := <-result:
		if r.Err != nil {
			return nil, r.Err
		}
		return r.Val.([]byte), nil
	case <-arrived:
		if body, ok := s.store.Get(o.digest); ok {
			return body, nil
		}
		return nil, errors.New("object was dropped from the store immediately after it arrived")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// fetchWithRetries fetches an object at a tier. Only at tierReader does it try
// more than one round.
func (s *Swarm) fetchWithRetries(o object, t tier) ([]byte, error) {
	ctx, cancel := context.WithTimeout(s.ctx, s.cfg.FetchTimeout)
	defer cancel()
	s.adjustFetching(o.digest, 1)
	defer s.adjustFetching(o.digest, -1)
	pause := s.cfg.RetryPause
	for {
		if body, ok := s.store.Get(o.digest); ok {
			return body, nil
		}
		body, err := s.fetchRound(ctx, o, t)
		if err == nil || errors.Is(err, ErrFull) {
			return body, err
		}
		// An owner reports its failure at once, so that the requesting agent
		// can try other owners.
		if t != tierReader {
			return nil, err
		}
		s.log.EventWithError(eventChunkRetry, err, eventlog.Fields{"version": o.version, "chunk": o.digest})
		select {
		case <-s.clock.After(pause/2 + rand.N(pause)):
		case <-ctx.Done():
			return nil, err
		}
		pause = min(2*pause, s.cfg.LongPollTimeout*2)
	}
}

// adjustFetching adds delta to the number of fetches of an object in progress.
func (s *Swarm) adjustFetching(d core.Digest, delta int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fetching[d] += delta
	if s.fetching[d] == 0 {
		delete(s.fetching, d)
	}
}

// isFetching reports whether a fetch of the object is in progress.
func (s *Swarm) isFetching(d core.Digest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fetching[d] > 0
}

// fetchRound tries each source of an object at a tier once. It tries the owners
// in the tier's scope in the order of the ranking. When this agent itself is next
// in that order, it fetches the object at the next tier instead. At the last tier
// it reads the origin.
func (s *Swarm) fetchRound(ctx context.Context, o object, t tier) ([]byte, error) {
	if t == tierFleet || t == tierRegion && !s.cfg.ReadOriginOnce {
		return s.fetchFromOrigin(ctx, o)
	}
	scope := s.inDataCentre
	switch t {
	case tierDataCentre:
		scope = s.inRegion
	case tierRegion:
		scope = func(Peer) bool { return true }
	}
	owners := s.ownerCandidates(o, scope)
	switch {
	case t == tierReader:
		o.owners = joinAddrs(s.ownerCandidates(o, s.inRegion))
	case len(owners) == 0:
		owners = parseAddrs(o.owners)
	}
	if len(owners) == 0 {
		return s.getObject(ctx, o, t+1)
	}
	var lastErr error
	for _, p := range owners {
		if p.Addr == s.cfg.Self.Addr {
			return s.getObject(ctx, o, t+1)
		}
		start := s.clock.Now()
		body, err := s.fetchFromOwner(ctx, p.Addr, o, t+1)
		if err == nil {
			return body, nil
		}
		lastErr = err
		if t != tierRegion {
			continue
		}
		s.log.EventWithError(eventFleetOwnerFailed, err, eventlog.Fields{"version": o.version, "chunk": o.digest, "peer": p.Addr})
		if s.clock.Since(start) > fastFailureTime && !errors.Is(err, errPeerFailed) {
			// The origin may become unavailable soon, so do not wait for
			// further owners that may not respond.
			return s.fetchFromOrigin(ctx, o)
		}
	}
	return nil, lastErr
}

// joinAddrs returns the addresses of peers, separated by commas.
func joinAddrs(peers []Peer) string {
	var all []string
	for _, p := range peers {
		all = append(all, p.Addr)
	}
	return strings.Join(all, ",")
}

// parseAddrs returns a Peer for each address in line, which has the format of
// joinAddrs.
func parseAddrs(line string) []Peer {
	var peers []Peer
	for _, addr := range strings.FieldsFunc(line, func(r rune) bool { return r == ',' }) {
		peers = append(peers, Peer{Addr: addr})
	}
	return peers
}

// fetchFromOwner fetches an object from the agent at addr, or from the holders
// that its response lists. It retries while the agent at addr is still fetching
// the object. If no listed holder can send the object, the next request waits for
// an upload slot of the agent at addr.
func (s *Swarm) fetchFromOwner(ctx context.Context, addr string, o object, t tier) ([]byte, error) {
	corruptResponses, waitForSlot := 0, false
	for {
		req := peerRequest{object: o, tier: t, wait: s.cfg.LongPollTimeout, waitForSlot: waitForSlot}
		body, holders, err := s.fetchFromPeer(ctx, addr, req)
		switch {
		case err == nil:
			return body, nil
		case errors.Is(err, errPending):
		case errors.Is(err, ErrCorrupt) && corruptResponses < maxCorruptRetries:
			corruptResponses++
		case errors.Is(err, errBusy):
			body, err := s.fetchFromHolders(ctx, holders, o)
			if err == nil {
				return body, nil
			}
			waitForSlot = !errors.Is(err, errBusy)
		default:
			return nil, err
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
}

// fetchFromHolders fetches an object from a holder that sends it at once. A busy
// holder lists the peers to which it sent the object, and the search continues
// with them. If every holder that was tried is busy, fetchFromHolders waits for
// an upload slot of one of them. It returns errBusy if this wait takes too long,
// and another error if no holder can send the object.
func (s *Swarm) fetchFromHolders(ctx context.Context, holders []string, o object) ([]byte, error) {
	tried := map[string]bool{s.cfg.Self.Addr: true}
	var busy []string
	for len(holders) > 0 && len(tried) <= maxHoldersTried {
		i := rand.IntN(len(holders))
		addr := holders[i]
		holders = append(holders[:i], holders[i+1:]...)
		if tried[addr] || s.isSuspected(addr) {
			continue
		}
		tried[addr] = true
		body, more, err := s.fetchFromPeer(ctx, addr, peerRequest{object: o, tier: tierHeld})
		if err == nil {
			return body, nil
		}
		if errors.Is(err, errBusy) || errors.Is(err, errPending) {
			busy = append(busy, addr)
			holders = append(holders, more...)
		}
	}
	if len(busy) == 0 {
		return nil, errMissing
	}
	addr := busy[rand.IntN(len(busy))]
	body, _, err := s.fetchFromPeer(ctx, addr, peerRequest{object: o, tier: tierHeld, wait: s.cfg.LongPollTimeout, waitForSlot: true})
	if errors.Is(err, errPending) {
		err = errBusy
	}
	return body, err
}

// fetchFromPeer requests an object from one peer, and verifies and stores it. A
// peer that does not respond is suspected; a delivered object ends the
// suspicion.
func (s *Swarm) fetchFromPeer(ctx context.Context, addr string, req peerRequest) ([]byte, []string, error) {
	start := s.clock.Now()
	body, holders, err := s.requestObject(ctx, addr, req)
	if err == nil {
		s.counters.peerBytes.Inc(int64(len(body)))
		err = s.verifyAndStore(req.object, body, addr, start)
	}
	if err == nil {
		s.clearSuspicion(addr)
		return body, nil, nil
	}
	if ctx.Err() == nil && !peerResponded(err) {
		s.markSuspect(addr, err)
	}
	return nil, holders, err
}

// peerResponded reports whether err shows that the peer responded.
func peerResponded(err error) bool {
	for _, known := range []error{errPending, errMissing, errBusy, errPeerFailed, ErrCorrupt, ErrFull} {
		if errors.Is(err, known) {
			return true
		}
	}
	return false
}

// verifyAndStore verifies the digest of an object and puts it into the store.
// from is the source: a peer's address or "origin".
func (s *Swarm) verifyAndStore(o object, body []byte, from string, start time.Time) error {
	err := s.store.Put(o.digest, body)
	if errors.Is(err, ErrCorrupt) {
		s.counters.corruptChunks.Inc(1)
		s.log.EventWithError(eventChunkCorrupt, err, eventlog.Fields{"version": o.version, "chunk": o.digest, "from": from})
		return core.WrapStep("check chunk", from, err)
	}
	if err != nil {
		return err
	}
	s.log.Event(eventChunkFetched, eventlog.Fields{
		"version": o.version, "chunk": o.digest, "manifest": o.manifest, "from": from,
		"bytes": len(body), "ms": s.clock.Since(start).Milliseconds(),
	})
	return nil
}

// fetchFromOrigin reads an object from the weight store. If the store cannot be
// read, it fetches the object from any peer that holds it.
func (s *Swarm) fetchFromOrigin(ctx context.Context, o object) ([]byte, error) {
	if s.originFailedRecently() {
		if body, err := s.fetchFromOtherOwners(ctx, o); err == nil {
			return body, nil
		}
	}
	var lastErr error
	for range maxCorruptRetries + 1 {
		body, err := s.readOrigin(ctx, o)
		if err == nil {
			return body, nil
		}
		lastErr = err
		if !errors.Is(err, ErrCorrupt) {
			break
		}
	}
	if errors.Is(lastErr, ErrFull) || ctx.Err() != nil {
		return nil, lastErr
	}
	s.recordOriginFailure()
	s.log.EventWithError(eventOriginUnavailable, lastErr, eventlog.Fields{"version": o.version, "chunk": o.digest})
	if body, err := s.fetchFromNeighbours(ctx, o); err == nil {
		return body, nil
	}
	return nil, lastErr
}

// readOrigin reads an object from the weight store once.
func (s *Swarm) readOrigin(ctx context.Context, o object) ([]byte, error) {
	s.beginOriginRead(o.digest)
	defer s.endOriginRead(o.digest)
	start := s.clock.Now()
	name := manifest.ChunkName(o.digest)
	if o.manifest {
		name = manifest.ManifestName(o.digest)
	}
	body, err := s.origin.Get(ctx, name, 0, -1)
	if err != nil {
		return nil, core.WrapStep("read origin", "weight store", err)
	}
	n := int64(len(body))
	s.counters.originBytes.Inc(n)
	// The size is known only after the read, so the bandwidth limit delays the
	// next read.
	if err := s.originLimiter.Wait(ctx, n); err != nil {
		return nil, err
	}
	if err := s.waitInbound(ctx, s.cfg.OriginRegion, n); err != nil {
		return nil, err
	}
	return body, s.verifyAndStore(o, body, "origin", start)
}

// fetchFromNeighbours fetches an object from a holder among at most
// maxNeighbours other agents: the highest-ranked one, and others chosen at
// random.
func (s *Swarm) fetchFromNeighbours(ctx context.Context, o object) ([]byte, error) {
	others := s.ranking(o.version).top(o.digest, 0, func(p Peer) bool {
		return p.ID != s.cfg.Self.ID && !s.isSuspected(p.Addr)
	})
	if len(others) > maxNeighbours {
		rest := others[1:]
		rand.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
		others = others[:maxNeighbours]
	}
	var addrs []string
	for _, p := range others {
		addrs = append(addrs, p.Addr)
	}
	return s.fetchFromHolders(ctx, addrs, o)
}
