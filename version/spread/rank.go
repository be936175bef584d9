package spread

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/rattanway/rattanway/core"
)

// ranking orders peers for each object by rendezvous hashing. Every agent with
// the same list of peers computes the same order. When a peer joins or leaves,
// the owner changes only for the objects that this peer then owns or owned
// before.
type ranking struct {
	peers []Peer
	// peerHashes holds the hash of each peer's identifier, in the order of peers.
	peerHashes []uint64
}

// newRanking returns a ranking of the peers that are not leaving.
func newRanking(peers []Peer) *ranking {
	r := &ranking{}
	for _, p := range peers {
		if p.Leaving {
			continue
		}
		r.peers = append(r.peers, p)
		r.peerHashes = append(r.peerHashes, xxhash.Sum64String(p.ID))
	}
	return r
}

// score returns the score of a peer for an object in rendezvous hashing. peerHash
// is the hash of the peer's identifier, and objectHash the hash of the object's
// digest.
func score(peerHash, objectHash uint64) uint64 {
	x := peerHash ^ objectHash
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}

// topPeers returns the peers that satisfy include, in descending order of score.
// It returns at most limit peers; limit 0 means all of them.
func (r *ranking) topPeers(d core.Digest, limit int, include func(Peer) bool) []Peer {
	type scored struct {
		peer  Peer
		score uint64
	}
	objectHash := xxhash.Sum64String(string(d))
	var all []scored
	for i, p := range r.peers {
		if include(p) {
			all = append(all, scored{p, score(r.peerHashes[i], objectHash)})
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].score > all[j].score })
	if limit > 0 && len(all) > limit {
		all = all[:limit]
	}
	out := make([]Peer, len(all))
	for i, s := range all {
		out[i] = s.peer
	}
	return out
}

// ownerIndex returns the index in r.peers of the peer that has the highest score
// among those that satisfy include, or -1 if no peer satisfies include.
func (r *ranking) ownerIndex(d core.Digest, include func(Peer) bool) int {
	objectHash := xxhash.Sum64String(string(d))
	best, found := uint64(0), -1
	for i, p := range r.peers {
		if !include(p) {
			continue
		}
		if s := score(r.peerHashes[i], objectHash); found < 0 || s > best {
			best, found = s, i
		}
	}
	return found
}
