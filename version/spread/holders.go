package spread

import (
	"math/rand/v2"

	"github.com/rattanway/rattanway/core"
)

const (
	// maxHolders bounds the holders remembered for one object.
	maxHolders = 64
	// namedHolders is how many holders a redirect names.
	namedHolders = 3
	// maxStaleLists is how many lists may be kept beyond the objects held.
	maxStaleLists = 1024
)

// holder is a peer that was given an object.
type holder struct {
	addr, dataCentre, region string
}

// holderList is what an agent knows of where one object went.
type holderList struct {
	// admitted counts the peers that were given a slot for the object.
	admitted int
	holders  []holder
	// changed is closed when a holder is added.
	changed chan struct{}
}

// admitPeer takes an upload slot for an object when one is free. An owner
// sends an object only to a few peers while it sends anything else. A peer
// that is not admitted is named holders to ask; when there is none, the
// channel is closed once there may be.
func (s *Swarm) admitPeer(d core.Digest, p holder, asked tier) (bool, []string, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.holderList(d)
	if asked == tierHeld || asked == tierReading || list.admitted < s.cfg.Fanout || len(s.slots) == 0 {
		select {
		case s.slots <- struct{}{}:
			list.admitted++
			return true, nil, nil
		default:
		}
	}
	return false, list.near(p), list.changed
}

// served remembers that p holds an object now.
func (s *Swarm) served(d core.Digest, p holder) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.holderList(d)
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

// holderList returns the list for d. s.mu is held. Lists of objects that are
// no longer held are dropped when there are too many.
func (s *Swarm) holderList(d core.Digest) *holderList {
	list, ok := s.holders[d]
	if ok {
		return list
	}
	if len(s.holders) > s.store.Len()+maxStaleLists {
		s.forget()
	}
	list = &holderList{changed: make(chan struct{})}
	s.holders[d] = list
	return list
}

// forget drops the lists of objects that are no longer held. s.mu is held.
func (s *Swarm) forget() {
	for d := range s.holders {
		if _, ok := s.store.Get(d); !ok {
			delete(s.holders, d)
		}
	}
}

// near returns a few holders in p's data centre or, when there is none, in its
// region, in random order. p itself is left out.
func (l *holderList) near(p holder) []string {
	var same, region []string
	for _, h := range l.holders {
		switch {
		case h.addr == p.addr || h.region != p.region:
		case h.dataCentre == p.dataCentre:
			same = append(same, h.addr)
		default:
			region = append(region, h.addr)
		}
	}
	if len(same) == 0 {
		same = region
	}
	rand.Shuffle(len(same), func(i, j int) { same[i], same[j] = same[j], same[i] })
	return same[:min(len(same), namedHolders)]
}
