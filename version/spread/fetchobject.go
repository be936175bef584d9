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
	// maxCorruptRetries is the maximum number of retries at one source after
	// responses that did not match the digest.
	maxCorruptRetries = 2
	// maxHoldersTried is the maximum number of holders that one call of
	// fetchFromHolders tries.
	maxHoldersTried = 12
	// fastFailureTime is the time within which a failed request to the global
	// owner of an object counts as a fast failure. The global owner is the one
	// agent of all regions that reads the object from the origin, with
	// Config.ReadOriginOnce. After a fast failure, or when the owner reports that
	// its own fetch failed, the agent tries the next owner in the ranking, which
	// is the same in every region, so the origin is still read about once. After
	// a slower failure the agent reads the origin itself.
	fastFailureTime = 200 * time.Millisecond
	// maxPeersTried is the maximum number of peers at which an agent starts to
	// search for an object when the origin cannot be read. These peers need not
	// be known holders.
	maxPeersTried = 4
)

// getObject returns a verified object from the store, or fetches the object if
// the store does not hold it. Concurrent calls for the same object and tier share
// one fetch, which continues after ctx ends.
func (s *Swarm) getObject(ctx context.Context, o object, t tier) ([]byte, error) {
	if body, ok := s.store.Get(o.digest); ok {
		return body, nil
	}
	arrived := s.store.ArrivalChannel(o.digest)
	result := s.fetchGroup.DoChan(tierNames[t]+" "+string(o.digest), func() (any, error) {
		return s.fetchAtTier(o, t)
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

// fetchAtTier fetches an object at a tier. At tierReader it repeats fetchRound
// until the object arrives, the store is full, no version that is being fetched
// contains the object any more, or Config.FetchTimeout has passed. At the other tiers it calls fetchRound once.
func (s *Swarm) fetchAtTier(o object, t tier) ([]byte, error) {
	ctx, cancel := context.WithTimeout(s.ctx, s.cfg.FetchTimeout)
	defer cancel()
	s.adjustFetchCount(o.digest, 1)
	defer s.adjustFetchCount(o.digest, -1)
	pause := s.cfg.RetryPause
	for {
		if body, ok := s.store.Get(o.digest); ok {
			return body, nil
		}
		body, err := s.fetchRound(ctx, o, t)
		if err == nil || errors.Is(err, ErrFull) {
			return body, err
		}
		// An owner reports a failed fetch at once, so that the requesting
		// agent can try other owners.
		if t != tierReader || !s.isWanted(o.digest) {
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

// adjustFetchCount adds delta to the number of fetches in progress for an object.
func (s *Swarm) adjustFetchCount(d core.Digest, delta int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fetchCounts[d] += delta
	if s.fetchCounts[d] == 0 {
		delete(s.fetchCounts, d)
	}
}

// isFetching reports whether a fetch of the object is in progress.
func (s *Swarm) isFetching(d core.Digest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fetchCounts[d] > 0
}

// fetchRound tries the sources of tier t in turn until one returns the object.
// The sources are, in the order of the ranking, the owners in the data centre (at
// tierReader), in the region (at tierDataCentre) or in all regions together (at
// tierRegion with Config.ReadOriginOnce). At tierAllRegions, and at tierRegion
// without ReadOriginOnce, the source is the origin. If there is no owner, or if
// this agent is the next owner, it fetches the object at the next tier instead.
func (s *Swarm) fetchRound(ctx context.Context, o object, t tier) ([]byte, error) {
	if t == tierAllRegions || t == tierRegion && !s.cfg.ReadOriginOnce {
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
		// The request carries these addresses, so that an owner without a list
		// of peers finds the owners in the region.
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
		s.log.EventWithError(eventAllRegionsOwnerFailed, err, eventlog.Fields{"version": o.version, "chunk": o.digest, "peer": p.Addr})
		if s.clock.Since(start) > fastFailureTime && !errors.Is(err, errPeerFailed) {
			// Further owners may not respond either, and while this agent waited for
			// them, the origin could become unavailable.
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

// parseAddrs returns a Peer with only an address for each address in list, which
// has the format of joinAddrs.
func parseAddrs(list string) []Peer {
	var peers []Peer
	for _, addr := range strings.FieldsFunc(list, func(r rune) bool { return r == ',' }) {
		peers = append(peers, Peer{Addr: addr})
	}
	return peers
}

// fetchFromOwner fetches an object from the agent at addr, or from the holders that
// this agent's response lists. It retries while the agent at addr is still fetching
// the object. If no listed holder can send the object, the next request waits for
// an upload slot of the agent at addr.
func (s *Swarm) fetchFromOwner(ctx context.Context, addr string, o object, t tier) ([]byte, error) {
	corruptResponses, waitForSlot := 0, false
	for {
		req := peerRequest{object: o, tier: t, maxWait: s.cfg.LongPollTimeout, waitForSlot: waitForSlot}
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
	body, _, err := s.fetchFromPeer(ctx, addr, peerRequest{object: o, tier: tierHeld, maxWait: s.cfg.LongPollTimeout, waitForSlot: true})
	if errors.Is(err, errPending) {
		err = errBusy
	}
	return body, err
}

// fetchFromPeer requests an object from one peer, and verifies and stores it. If the
// peer is busy, it returns errBusy and the addresses of other holders. A peer that
// does not respond is suspected; a delivered object ends the suspicion.
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

// peerResponded reports whether err shows that the peer responded, although the
// request failed.
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
		"version": o.version, "chunk": o.digest, "manifest": o.isManifest, "from": from,
		"bytes": len(body), "ms": s.clock.Since(start).Milliseconds(),
	})
	return nil
}

// fetchFromOrigin reads an object from the origin. If the origin cannot be read,
// it fetches the object from any peer that holds the object.
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
	if body, err := s.fetchFromAnyPeer(ctx, o); err == nil {
		return body, nil
	}
	return nil, lastErr
}

// readOrigin makes one attempt to read an object from the origin, and verifies and
// stores the object.
func (s *Swarm) readOrigin(ctx context.Context, o object) ([]byte, error) {
	s.beginOriginRead(o.digest)
	defer s.endOriginRead(o.digest)
	start := s.clock.Now()
	name := manifest.ChunkName(o.digest)
	if o.isManifest {
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
	if err := s.waitForDownloadBandwidth(ctx, s.cfg.OriginRegion, n); err != nil {
		return nil, err
	}
	return body, s.verifyAndStore(o, body, "origin", start)
}

// fetchFromAnyPeer fetches an object from any other agent that holds the object.
// It starts with at most maxPeersTried agents: the highest-ranked agent, and
// others chosen at random.
func (s *Swarm) fetchFromAnyPeer(ctx context.Context, o object) ([]byte, error) {
	others := s.ranking(o.version).topPeers(o.digest, 0, func(p Peer) bool {
		return p.ID != s.cfg.Self.ID && !s.isSuspected(p.Addr)
	})
	if len(others) > maxPeersTried {
		rest := others[1:]
		rand.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
		others = others[:maxPeersTried]
	}
	var addrs []string
	for _, p := range others {
		addrs = append(addrs, p.Addr)
	}
	return s.fetchFromHolders(ctx, addrs, o)
}
