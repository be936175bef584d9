package spread

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/rattanway/rattanway/core"
)

// maxRequestWait is how long a request of a peer may wait for the object and an
// upload slot.
const maxRequestWait = 30 * time.Second

// Handler serves the verified chunks and manifests of s, below ChunkPath and
// ManifestPath, to callers that send the peer token. The status codes are:
//
//	200 the body is the object
//	202 the object is still being fetched, or no upload slot is available; retry
//	307 no upload slot is available; X-Chunk-Holders lists other peers that hold the object
//	404 the object is neither held nor being fetched
//	503 the object could not be fetched; try another agent
//
// A request without X-Peer-Addr comes from the local engine. The engine receives
// only objects that are held already; the limits for peers do not apply.
func Handler(s *Swarm, token string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !core.SameSecret(r.Header.Get(core.HeaderPeerToken), token) {
			http.Error(w, "wrong peer token", http.StatusUnauthorized)
			return
		}
		o, err := parseObject(r)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		w.Header().Set(headerPeerRegion, s.cfg.Self.Region)
		if r.Header.Get(headerPeerAddr) == "" {
			s.serveEngine(w, o)
			return
		}
		s.servePeer(w, r, o)
	})
}

// parseObject returns the object that a request identifies.
func parseObject(r *http.Request) (object, error) {
	var o object
	name, ok := strings.CutPrefix(r.URL.Path, ChunkPath)
	if !ok {
		name, o.isManifest = strings.CutPrefix(r.URL.Path, ManifestPath)
		if !o.isManifest {
			return o, errors.Errorf("path %q names no chunk or manifest", r.URL.Path)
		}
	}
	var err error
	if o.digest, err = core.ParseDigest(name); err != nil {
		return o, err
	}
	o.version = o.digest
	o.owners = r.URL.Query().Get(queryOwners)
	if v := r.URL.Query().Get(queryVersion); v != "" {
		o.version, err = core.ParseDigest(v)
	}
	return o, err
}

// serveEngine sends the object to the local engine if the object is held.
func (s *Swarm) serveEngine(w http.ResponseWriter, o object) {
	body, ok := s.store.Get(o.digest)
	if !ok {
		http.Error(w, "not held", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

// servePeer sends the object to a peer, or responds with other holders or a
// status that makes the peer retry.
func (s *Swarm) servePeer(w http.ResponseWriter, r *http.Request, o object) {
	query := r.URL.Query()
	wait, err := time.ParseDuration(query.Get(queryWait))
	if err != nil || wait > maxRequestWait {
		wait = maxRequestWait
	}
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	requestedTier := parseTier(query.Get(queryTier))
	body, status := s.awaitObject(ctx, o, requestedTier)
	if status != http.StatusOK {
		w.WriteHeader(status)
		return
	}
	peer := peerLocation{
		addr:       r.Header.Get(headerPeerAddr),
		dataCentre: r.Header.Get(headerPeerDataCentre),
		region:     r.Header.Get(headerPeerRegion),
	}
	waitForSlot := query.Get(queryWaitForSlot) != ""
	holders, status := s.takeUploadSlot(ctx, o.digest, peer, requestedTier, waitForSlot)
	if status != http.StatusOK {
		w.Header().Set(headerHolders, strings.Join(holders, ","))
		w.WriteHeader(status)
		return
	}
	defer func() { <-s.uploadSlots }()
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	n, err := sendLimited(r.Context(), w, body, s.uploadLimiter, s.cfg.StallTimeout)
	s.counters.sentBytes.Inc(int64(n))
	if err == nil {
		s.addHolder(o.digest, peer)
	}
}

// awaitObject returns the object and status 200 once the object is held. If the
// object is not held, awaitObject fetches the object, except at tierHeld and
// tierOriginRead. If awaitObject cannot return the object, it returns only the
// HTTP status for the peer.
func (s *Swarm) awaitObject(ctx context.Context, o object, t tier) ([]byte, int) {
	switch t {
	case tierHeld:
		return s.awaitArrival(ctx, o, s.isFetching)
	case tierOriginRead:
		return s.awaitArrival(ctx, o, s.isReadingOrigin)
	}
	body, err := s.getObject(ctx, o, t)
	switch {
	case err == nil:
		return body, http.StatusOK
	case ctx.Err() != nil:
		return nil, http.StatusAccepted
	}
	return nil, http.StatusServiceUnavailable
}

// awaitArrival returns a held object and status 200. If the object is not held,
// the result depends on inProgress, called with the object's digest. If
// inProgress returns true, awaitArrival waits for the object, and returns status
// 202 if ctx ends first. If inProgress returns false, awaitArrival returns status
// 404 at once.
func (s *Swarm) awaitArrival(ctx context.Context, o object, inProgress func(core.Digest) bool) ([]byte, int) {
	if body, ok := s.store.Get(o.digest); ok {
		return body, http.StatusOK
	}
	if !inProgress(o.digest) {
		return nil, http.StatusNotFound
	}
	select {
	case <-s.store.ArrivalChannel(o.digest):
	case <-ctx.Done():
		return nil, http.StatusAccepted
	}
	if body, ok := s.store.Get(o.digest); ok {
		return body, http.StatusOK
	}
	return nil, http.StatusNotFound
}

// takeUploadSlot takes an upload slot for a peer and returns status 200. If
// waitForSlot is true, it waits for a free slot. Otherwise, if admitPeer refuses
// the peer, takeUploadSlot returns status 307 and other holders of the object; if
// there are no other holders yet, it waits until there is one. If ctx ends during
// a wait, it returns status 202.
func (s *Swarm) takeUploadSlot(ctx context.Context, d core.Digest, p peerLocation, requestedTier tier, waitForSlot bool) ([]string, int) {
	if waitForSlot {
		select {
		case s.uploadSlots <- struct{}{}:
			return nil, http.StatusOK
		case <-ctx.Done():
			return nil, http.StatusAccepted
		}
	}
	for {
		admitted, holders, changed := s.admitPeer(d, p, requestedTier)
		switch {
		case admitted:
			return nil, http.StatusOK
		case len(holders) > 0:
			return holders, http.StatusTemporaryRedirect
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, http.StatusAccepted
		}
	}
}
