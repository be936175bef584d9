package spread

import (
	"math/rand/v2"

	"github.com/rattanway/rattanway/core"
)

const (
	// maxHolders is the maximum number of holders recorded for one object;
	// further holders are not recorded.
	maxHolders = 64
	// maxListedHolders is the maximum number of holders that a redirect lists.
	maxListedHolders = 3
	// maxStaleLists is the number by which holder lists may outnumber held
	// objects. If there are more lists, those of objects that are no longer
	// held are removed.
	maxStaleLists = 1024
)

// peerLocation says where a peer is that requests an object or that received one.
type peerLocation struct {
	addr, dataCentre, region string
}

// holderList records the peers to which an agent sent one object.
type holderList struct {
	// admittedCount is the number of times that admitPeer gave an upload slot
	// for the object.
	admittedCount int
	holders       []peerLocation
	// changed is closed when a holder is added.
	changed chan struct{}
}

// admitPeer takes an upload slot for sending an object to p if a slot is free,
// and reports whether it took one. While this agent is sending any object, at
// most Config.Fanout peers are admitted for one object; requests at tierHeld and
// tierOriginRead are exempt from this limit. If p is not admitted, admitPeer also
// returns holders near p, and a channel that is closed when a holder is added.
func (s *Swarm) admitPeer(d core.Digest, p peerLocation, requestedTier tier) (bool, []string, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.holderListFor(d)
	if requestedTier == tierHeld || requestedTier == tierOriginRead || list.admittedCount < s.cfg.Fanout || len(s.uploadSlots) == 0 {
		select {
		case s.uploadSlots <- struct{}{}:
			list.admittedCount++
			return true, nil, nil
		default:
		}
	}
	return false, list.nearbyHolders(p), list.changed
}

// addHolder records that p holds the object with digest d.
func (s *Swarm) addHolder(d core.Digest, p peerLocation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.holderListFor(d)
	for _, h := range list.holders {
		if h.addr == p.addr {
			return
		}
	}
	if len(list.holders) == maxHolders {
		return
	}
	list.holders = append(list.holders, p)
	close(list.changed)
	list.changed = make(chan struct{})
}

// holderListFor returns the list for d, and creates the list if necessary. If there
// are too many lists, it drops those of objects that are no longer held.
// The caller must hold s.mu.
func (s *Swarm) holderListFor(d core.Digest) *holderList {
	list, ok := s.holders[d]
	if ok {
		return list
	}
	if len(s.holders) > s.store.Len()+maxStaleLists {
		s.dropStaleLists()
	}
	list = &holderList{changed: make(chan struct{})}
	s.holders[d] = list
	return list
}

// dropStaleLists drops the lists of objects that are no longer held. The caller
// must hold s.mu.
func (s *Swarm) dropStaleLists() {
	for d := range s.holders {
		if _, ok := s.store.Get(d); !ok {
			delete(s.holders, d)
		}
	}
}

// nearbyHolders returns the addresses of at most maxListedHolders holders in p's
// data centre or, if there are none, in p's region, in random order. p itself is
// left out.
func (l *holderList) nearbyHolders(p peerLocation) []string {
	var nearest, inRegion []string
	for _, h := range l.holders {
		switch {
		case h.addr == p.addr || h.region != p.region:
		case h.dataCentre == p.dataCentre:
			nearest = append(nearest, h.addr)
		default:
			inRegion = append(inRegion, h.addr)
		}
	}
	if len(nearest) == 0 {
		nearest = inRegion
	}
	rand.Shuffle(len(nearest), func(i, j int) { nearest[i], nearest[j] = nearest[j], nearest[i] })
	return nearest[:min(len(nearest), maxListedHolders)]
}
