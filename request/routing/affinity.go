package routing

import (
	"github.com/cespare/xxhash/v2"
)

const (
	// affinityRelativeMargin and affinityAbsoluteMargin determine the highest load
	// ratio at which a server still receives calls because of the prompt's prefix:
	// mean ratio * (1 + affinityRelativeMargin) + affinityAbsoluteMargin.
	affinityRelativeMargin = 0.1
	affinityAbsoluteMargin = 0.05
)

// pickByPrefix returns the candidate with the highest rendezvous weight for the
// prefix among those whose load ratio is not far above the mean (consistent
// hashing with bounded loads). It returns false if there are no candidates.
func pickByPrefix(prefix uint64, candidates []candidate) (candidate, bool) {
	sum := 0.0
	for _, c := range candidates {
		sum += c.loadRatio()
	}
	maxRatio := sum/float64(len(candidates))*(1+affinityRelativeMargin) + affinityAbsoluteMargin
	var best candidate
	var bestWeight uint64
	for _, c := range candidates {
		if c.loadRatio() > maxRatio {
			continue
		}
		if w := rendezvousWeight(prefix, c.server.Instance.ID); best.server == nil || w > bestWeight {
			best = c
			bestWeight = w
		}
	}
	return best, best.server != nil
}

// rendezvousWeight returns the weight of a server for a prefix in rendezvous
// hashing.
func rendezvousWeight(prefix uint64, id string) uint64 {
	h := xxhash.NewWithSeed(prefix)
	_, _ = h.WriteString(id)
	return h.Sum64()
}
