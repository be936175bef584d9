package loading

import "maps"

// orderState identifies what a server has loaded: its boot, and the number of load
// orders that it has accepted since.
type orderState struct {
	startUnixMs    int64
	acceptedOrders int64
}

func stateOf(r Report) orderState { return orderState{r.StartUnixMs, r.AcceptedOrderCount} }

// loadProof decides whether the weights that a server reports may be used.
//
// A server loads the chunks that are staged at the moment it accepts an order. That
// moment is unknown: the agent may be paused before it sends the order, and a paused
// server may accept an order seconds after the agent has given it up. What was staged
// before the order was sent therefore proves nothing. A chunk that matches its digest
// after the acceptance, and that the agent has not written since before the
// acceptance, was right when the server took it.
//
// A process that starts beside a server that has accepted orders knows nothing about them.
// The process before it may have ended before it had proven the last load. Entry instances
// return the last proof of that process (confirm); without it, the staged chunks must prove
// the load.
//
// The methods are not safe for concurrent use.
type loadProof struct {
	// proven is the last state whose weights may be used.
	proven orderState
	// weights are the weights that were proven for it; nil if the server has accepted no
	// order since its start, or holds nothing.
	weights map[string]int
	// confirmed is the newest proof of an earlier process; its state is noOrders if there is
	// none.
	confirmed        orderState
	confirmedWeights map[string]int
	// disproved is the last state whose weights contain a wrong chunk, or possibly
	// contain one.
	disproved orderState
	// stagedSince is true if a chunk was staged since the last report in one of the two
	// states. An order accepted since then may have taken the chunks as they were before.
	stagedSince bool
}

// noOrders is a state that no server reports.
var noOrders = orderState{acceptedOrders: -1}

func newLoadProof() loadProof {
	return loadProof{proven: noOrders, confirmed: noOrders, disproved: noOrders}
}

// confirm records what an earlier process has proven.
func (p *loadProof) confirm(load ProvenLoad) {
	state := orderState{load.StartUnixMs, load.AcceptedOrders}
	if state.startUnixMs > p.confirmed.startUnixMs ||
		state.startUnixMs == p.confirmed.startUnixMs && state.acceptedOrders > p.confirmed.acceptedOrders {
		p.confirmed, p.confirmedWeights = state, load.Weights
	}
}

// isConfirmed reports whether an earlier process has proven the load that led to r.
func (p *loadProof) isConfirmed(r Report) bool { return stateOf(r) == p.confirmed }

// observe records a report of the server.
func (p *loadProof) observe(r Report) {
	state := stateOf(r)
	switch {
	case p.isConfirmed(r) && state != p.proven:
		p.prove(r, p.confirmedWeights)
	case !r.Busy && (state.acceptedOrders == 0 || len(r.Weights) == 0):
		p.proven, p.weights = state, nil
		if len(r.Weights) == 0 {
			p.disproved = noOrders
		}
	}
	if state == p.proven || state == p.disproved {
		p.stagedSince = false
	}
}

// usable reports whether the weights in r may be used.
func (p *loadProof) usable(r Report) bool {
	if state := stateOf(r); state != p.proven || state == p.disproved {
		return false
	}
	return r.Busy || p.matches(r.Weights)
}

// load returns the proof of the load that led to r, which must be usable.
func (p *loadProof) load(r Report) *ProvenLoad {
	weights := p.weights
	if weights == nil {
		weights = r.Weights
	}
	return &ProvenLoad{StartUnixMs: r.StartUnixMs, AcceptedOrders: r.AcceptedOrderCount, Weights: maps.Clone(weights)}
}

// matches reports whether weights contain what was proven.
func (p *loadProof) matches(weights map[string]int) bool {
	for model, version := range p.weights {
		if weights[model] != version {
			return false
		}
	}
	return true
}

// objection returns the reason why the chunks that are staged now cannot prove the load
// that led to r, or "" if they can.
func (p *loadProof) objection(r Report) string {
	switch state := stateOf(r); {
	case state == p.disproved:
		return "the load was disproved before"
	case state == p.proven:
		return "the server loaded another version than the one that was proven"
	case p.stagedSince:
		return "a chunk was staged while an order could still be accepted"
	}
	return ""
}

// prove records that the load that led to r took the right chunks of weights.
func (p *loadProof) prove(r Report, weights map[string]int) {
	p.proven, p.weights, p.stagedSince = stateOf(r), weights, false
	if p.disproved == p.proven {
		p.disproved = noOrders
	}
}

// disprove records that the load that led to r may have taken wrong chunks.
func (p *loadProof) disprove(r Report) { p.disproved, p.stagedSince = stateOf(r), false }
