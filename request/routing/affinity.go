package routing

import (
	"github.com/cespare/xxhash/v2"
)

const (
	// affinityRelativeMargin and affinityAbsoluteMargin determine the highest load
	// ratio (load divided by limit) at which a server is still chosen because of the
	// prompt's prefix: mean load ratio of the candidates * (1 +
	// affinityRelativeMargin) + affinityAbsoluteMargin.
	affinityRelativeMargin = 0.1
	affinityAbsoluteMargin = 0.05
)

// pickByPrefix returns the candidate with the highest rendezvous score for the
// prefix among those whose load ratio is not far above the mean (consistent
// hashing with bounded loads). It returns false if there are no candidates.
func pickByPrefix(prefix uint64, candidates []candidate) (candidate, bool) {
	sum := 0.0
	for _, c := range candidates {
		sum += c.loadRatio()
	}
	maxRatio := sum/float64(len(candidates))*(1+affinityRelativeMargin) + affinityAbsoluteMargin
	var best candidate
	var bestScore uint64
	for _, c := range candidates {
		if c.loadRatio() > maxRatio {
			continue
		}
		if w := rendezvousScore(prefix, c.server.Instance.ID); best.server == nil || w > bestScore {
			best = c
			bestScore = w
		}
	}
	return best, best.server != nil
}

// rendezvousScore returns the score of the server with this ID for a prefix in
// rendezvous hashing; the server with the highest score is chosen.
func rendezvousScore(prefix uint64, id string) uint64 {
	h := xxhash.NewWithSeed(prefix)
	_, _ = h.WriteString(id)
	return h.Sum64()
}
