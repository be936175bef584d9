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

// maxWait bounds how long a peer may hold a request open.
const maxWait = 30 * time.Second

// Handler serves the verified chunks and manifests of s, below ChunkPath and
// ManifestPath, to callers that give the peer token. The answers are:
//
//	200 the bytes
//	202 the object is on its way; ask again
//	307 too many were served; X-Chunk-Holders names peers to ask instead
//	404 the object is neither held nor on its way
//	503 the object could not be brought here; ask another agent
//
// A request without X-Peer-Addr is the local engine's: it gets what is held,
// outside the budget for peers.
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

// parseObject reads the object that a request names.
func parseObject(r *http.Request) (object, error) {
	var o object
	name, ok := strings.CutPrefix(r.URL.Path, ChunkPath)
	if !ok {
		name, o.manifest = strings.CutPrefix(r.URL.Path, ManifestPath)
		if !o.manifest {
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

// serveEngine gives the local engine what is held.
func (s *Swarm) serveEngine(w http.ResponseWriter, o object) {
	body, ok := s.store.Get(o.digest)
	if !ok {
		http.Error(w, "not held", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

// servePeer gives a peer the object, or says where or when to ask.
func (s *Swarm) servePeer(w http.ResponseWriter, r *http.Request, o object) {
	query := r.URL.Query()
	wait, err := time.ParseDuration(query.Get(queryWait))
	if err != nil || wait > maxWait {
		wait = maxWait
	}
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	asked := parseTier(query.Get(queryTier))
	body, status := s.await(ctx, o, asked)
	if status != http.StatusOK {
		w.WriteHeader(status)
		return
	}
	peer := holder{
		addr:       r.Header.Get(headerPeerAddr),
		dataCentre: r.Header.Get(headerPeerDataCentre),
		region:     r.Header.Get(headerPeerRegion),
	}
	queued := query.Get(queryQueue) != ""
	named, status := s.takeSlot(ctx, o.digest, peer, asked, queued)
	if status != http.StatusOK {
		w.Header().Set(headerHolders, strings.Join(named, ","))
		w.WriteHeader(status)
		return
	}
	defer func() { <-s.slots }()
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	n, err := send(r.Context(), w, body, s.upload, s.cfg.Stall)
	s.counters.sentBytes.Inc(int64(n))
	if err == nil {
		s.served(o.digest, peer)
	}
}

// await returns the object once it is held, bringing it when the tier says
// so, or the status that tells the peer what to do.
func (s *Swarm) await(ctx context.Context, o object, t tier) ([]byte, int) {
	switch t {
	case tierHeld:
		return s.awaitArrival(ctx, o, s.onItsWay)
	case tierReading:
		return s.awaitArrival(ctx, o, s.isReading)
	}
	body, err := s.get(ctx, o, t)
	switch {
	case err == nil:
		return body, http.StatusOK
	case ctx.Err() != nil:
		return nil, http.StatusAccepted
	}
	return nil, http.StatusServiceUnavailable
}

// awaitArrival waits for an object while coming says that it comes.
func (s *Swarm) awaitArrival(ctx context.Context, o object, coming func(core.Digest) bool) ([]byte, int) {
	if body, ok := s.store.Get(o.digest); ok {
		return body, http.StatusOK
	}
	if !coming(o.digest) {
		return nil, http.StatusNotFound
	}
	select {
	case <-s.store.Arrival(o.digest):
	case <-ctx.Done():
		return nil, http.StatusAccepted
	}
	if body, ok := s.store.Get(o.digest); ok {
		return body, http.StatusOK
	}
	return nil, http.StatusNotFound
}

// takeSlot takes an upload slot for a peer. Otherwise it returns the holders
// that the peer is to ask and 307, or 202 when there is nothing to name yet.
func (s *Swarm) takeSlot(ctx context.Context, d core.Digest, p holder, asked tier, queued bool) ([]string, int) {
	if queued {
		select {
		case s.slots <- struct{}{}:
			return nil, http.StatusOK
		case <-ctx.Done():
			return nil, http.StatusAccepted
		}
	}
	for {
		admitted, named, changed := s.admitPeer(d, p, asked)
		switch {
		case admitted:
			return nil, http.StatusOK
		case len(named) > 0:
			return named, http.StatusTemporaryRedirect
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, http.StatusAccepted
		}
	}
}
