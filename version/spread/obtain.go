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
	// corruptTries is how often one owner is asked again after bytes that do
	// not match the digest.
	corruptTries = 2
	// maxAsked is how many holders are asked in one search.
	maxAsked = 12
	// promptly is the time in which an owner that failed has cost nothing:
	// the next one, which is the same for all regions, is asked.
	promptly = 200 * time.Millisecond
	// neighbours is how many other peers are asked in one round while the
	// origin cannot be read.
	neighbours = 4
)

// get returns a verified object, joining a fetch of it at this tier that is
// already under way. The fetch goes on when ctx ends.
func (s *Swarm) get(ctx context.Context, o object, t tier) ([]byte, error) {
	if body, ok := s.store.Get(o.digest); ok {
		return body, nil
	}
	arrived := s.store.Arrival(o.digest)
	result := s.flights.DoChan(tierNames[t]+" "+string(o.digest), func() (any, error) {
		return s.fly(o, t)
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
		return nil, errors.New("chunk was dropped as it arrived")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// fly fetches an object at a tier, round after round.
func (s *Swarm) fly(o object, t tier) ([]byte, error) {
	ctx, cancel := context.WithTimeout(s.ctx, s.cfg.FlightTimeout)
	defer cancel()
	s.takeOff(o.digest, 1)
	defer s.takeOff(o.digest, -1)
	pause := s.cfg.RetryPause
	for {
		if body, ok := s.store.Get(o.digest); ok {
			return body, nil
		}
		body, err := s.round(ctx, o, t)
		if err == nil || errors.Is(err, ErrFull) {
			return body, err
		}
		// An owner reports its failure at once, so that others are asked.
		if t != tierReader {
			return nil, err
		}
		s.log.Fail(eventRetry, err, eventlog.Fields{"version": o.version, "chunk": o.digest})
		select {
		case <-s.clock.After(pause/2 + rand.N(pause)):
		case <-ctx.Done():
			return nil, err
		}
		pause = min(2*pause, s.cfg.Wait*2)
	}
}

// takeOff counts the fetches of an object that are under way.
func (s *Swarm) takeOff(d core.Digest, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flying[d] += n
	if s.flying[d] == 0 {
		delete(s.flying, d)
	}
}

// onItsWay reports whether a fetch of the object is under way.
func (s *Swarm) onItsWay(d core.Digest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.flying[d] > 0
}

// round asks each source of an object at a tier once: the owners of the scope
// in hash order; as an owner, the next tier; at the last tier the origin.
func (s *Swarm) round(ctx context.Context, o object, t tier) ([]byte, error) {
	if t == tierFleet || t == tierRegion && !s.cfg.OneOriginCopy {
		return s.fromOrigin(ctx, o)
	}
	scope := s.inDataCentre
	switch t {
	case tierDataCentre:
		scope = s.inRegion
	case tierRegion:
		scope = func(Peer) bool { return true }
	}
	owners := s.candidates(o, scope)
	switch {
	case t == tierReader:
		o.owners = addrs(s.candidates(o, s.inRegion))
	case len(owners) == 0:
		owners = named(o.owners)
	}
	if len(owners) == 0 {
		return s.get(ctx, o, t+1)
	}
	var last error
	for _, p := range owners {
		if p.Addr == s.cfg.Self.Addr {
			return s.get(ctx, o, t+1)
		}
		asked := s.clock.Now()
		body, err := s.fromOwner(ctx, p.Addr, o, t+1)
		if err == nil {
			return body, nil
		}
		last = err
		if t != tierRegion {
			continue
		}
		s.log.Fail(eventFleetOwner, err, eventlog.Fields{"version": o.version, "chunk": o.digest, "peer": p.Addr})
		if s.clock.Since(asked) > promptly && !errors.Is(err, errFailing) {
			// The origin may be gone soon: an owner that does not answer is
			// not waited for.
			return s.fromOrigin(ctx, o)
		}
	}
	return nil, last
}

// addrs returns the addresses of peers in one line.
func addrs(peers []Peer) string {
	var all []string
	for _, p := range peers {
		all = append(all, p.Addr)
	}
	return strings.Join(all, ",")
}

// named returns the peers of a line that addrs made.
func named(line string) []Peer {
	var peers []Peer
	for _, addr := range strings.FieldsFunc(line, func(r rune) bool { return r == ',' }) {
		peers = append(peers, Peer{Addr: addr})
	}
	return peers
}

// fromOwner reads an object from the agent at addr, or from the holders that
// it names, for as long as it says that the object is on its way. When none of
// the holders answers, the agent itself is to send.
func (s *Swarm) fromOwner(ctx context.Context, addr string, o object, t tier) ([]byte, error) {
	corrupt, queue := 0, false
	for {
		q := question{object: o, tier: t, wait: s.cfg.Wait, queue: queue}
		body, holders, err := s.fetchOnce(ctx, addr, q)
		switch {
		case err == nil:
			return body, nil
		case errors.Is(err, errPending):
		case errors.Is(err, ErrCorrupt) && corrupt < corruptTries:
			corrupt++
		case errors.Is(err, errBusy):
			body, err := s.fromHolders(ctx, holders, o)
			if err == nil {
				return body, nil
			}
			queue = !errors.Is(err, errBusy)
		default:
			return nil, err
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
}

// fromHolders reads an object from a holder that sends it at once. A holder
// that is busy names the peers that it served, so the search spreads over all
// that hold the object. When every one asked is busy, it queues at one of
// them. It returns errBusy when that took too long, and another error when no
// holder can give the object.
func (s *Swarm) fromHolders(ctx context.Context, holders []string, o object) ([]byte, error) {
	asked := map[string]bool{s.cfg.Self.Addr: true}
	var busy []string
	for len(holders) > 0 && len(asked) <= maxAsked {
		i := rand.IntN(len(holders))
		addr := holders[i]
		holders = append(holders[:i], holders[i+1:]...)
		if asked[addr] || s.suspected(addr) {
			continue
		}
		asked[addr] = true
		body, more, err := s.fetchOnce(ctx, addr, question{object: o, tier: tierHeld})
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
	body, _, err := s.fetchOnce(ctx, addr, question{object: o, tier: tierHeld, wait: s.cfg.Wait, queue: true})
	if errors.Is(err, errPending) {
		err = errBusy
	}
	return body, err
}

// fetchOnce asks one peer, checks and keeps what it gives, and remembers
// whether it answered.
func (s *Swarm) fetchOnce(ctx context.Context, addr string, q question) ([]byte, []string, error) {
	start := s.clock.Now()
	body, holders, err := s.ask(ctx, addr, q)
	if err == nil {
		s.counters.peerBytes.Inc(int64(len(body)))
		err = s.keep(q.object, body, addr, start)
	}
	if err == nil {
		s.trust(addr)
		return body, nil, nil
	}
	if ctx.Err() == nil && !answered(err) {
		s.suspect(addr, err)
	}
	return nil, holders, err
}

// answered reports whether a peer that gave err is there and well.
func answered(err error) bool {
	for _, known := range []error{errPending, errMissing, errBusy, errFailing, ErrCorrupt, ErrFull} {
		if errors.Is(err, known) {
			return true
		}
	}
	return false
}

// keep checks an object and puts it into the store.
func (s *Swarm) keep(o object, body []byte, from string, start time.Time) error {
	err := s.store.Put(o.digest, body)
	if errors.Is(err, ErrCorrupt) {
		s.counters.corrupt.Inc(1)
		s.log.Fail(eventCorrupt, err, eventlog.Fields{"version": o.version, "chunk": o.digest, "from": from})
		return core.Step("check chunk", from, err)
	}
	if err != nil {
		return err
	}
	s.log.Event(eventObject, eventlog.Fields{
		"version": o.version, "chunk": o.digest, "manifest": o.manifest, "from": from,
		"bytes": len(body), "ms": s.clock.Since(start).Milliseconds(),
	})
	return nil
}

// fromOrigin reads an object from the weight store, and while that cannot be
// read, from any neighbour that holds it.
func (s *Swarm) fromOrigin(ctx context.Context, o object) ([]byte, error) {
	if s.originFailedLately() {
		if body, err := s.fromReaders(ctx, o); err == nil {
			return body, nil
		}
	}
	var last error
	for range corruptTries + 1 {
		body, err := s.readOrigin(ctx, o)
		if err == nil {
			return body, nil
		}
		last = err
		if !errors.Is(err, ErrCorrupt) {
			break
		}
	}
	if errors.Is(last, ErrFull) || ctx.Err() != nil {
		return nil, last
	}
	s.originFailed()
	s.log.Fail(eventOrigin, last, eventlog.Fields{"version": o.version, "chunk": o.digest})
	if body, err := s.fromNeighbours(ctx, o); err == nil {
		return body, nil
	}
	return nil, last
}

// readOrigin reads an object from the weight store once.
func (s *Swarm) readOrigin(ctx context.Context, o object) ([]byte, error) {
	s.beginReading(o.digest)
	defer s.endReading(o.digest)
	start := s.clock.Now()
	name := manifest.ChunkName(o.digest)
	if o.manifest {
		name = manifest.ObjectName(o.digest)
	}
	body, err := s.origin.Get(ctx, name, 0, -1)
	if err != nil {
		return nil, core.Step("read origin", "weight store", err)
	}
	n := int64(len(body))
	s.counters.originBytes.Inc(n)
	// The budget is paid after the read, when the size is known: it delays
	// the next read.
	if err := s.originLink.Wait(ctx, n); err != nil {
		return nil, err
	}
	if err := s.payInbound(ctx, s.cfg.OriginRegion, n); err != nil {
		return nil, err
	}
	return body, s.keep(o, body, "origin", start)
}

// fromNeighbours asks the owners in other regions and a few other peers for
// what they hold.
func (s *Swarm) fromNeighbours(ctx context.Context, o object) ([]byte, error) {
	others := s.ranking(o.version).first(o.digest, 0, func(p Peer) bool {
		return p.ID != s.cfg.Self.ID && !s.suspected(p.Addr)
	})
	if len(others) > neighbours {
		rest := others[1:]
		rand.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
		others = others[:neighbours]
	}
	var addrs []string
	for _, p := range others {
		addrs = append(addrs, p.Addr)
	}
	return s.fromHolders(ctx, addrs, o)
}
