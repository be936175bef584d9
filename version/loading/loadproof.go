package loading

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
// The methods are not safe for concurrent use.
type loadProof struct {
	// hasReport is true after the first report.
	hasReport bool
	// proven is the last state whose weights may be used.
	proven orderState
	// weights are the weights that were proven for it; nil if the server held them
	// before this process could observe an order.
	weights map[string]int
	// disproved is the last state whose weights contain a wrong chunk, or possibly
	// contain one.
	disproved orderState
	// stagedSince is true if a chunk was staged since the last report in one of the two
	// states. An order accepted since then may have taken the chunks as they were before.
	stagedSince bool
}

// noOrders is a state that no server reports.
var noOrders = orderState{acceptedOrders: -1}

func newLoadProof() loadProof { return loadProof{proven: noOrders, disproved: noOrders} }

// observe records a report of the server.
func (p *loadProof) observe(r Report) {
	state, first := stateOf(r), !p.hasReport
	p.hasReport = true
	restarted := state.startUnixMs != p.proven.startUnixMs
	if !r.Busy && (first || len(r.Weights) == 0 || restarted && state.acceptedOrders == 0) {
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
}

// disprove records that the load that led to r may have taken wrong chunks.
func (p *loadProof) disprove(r Report) { p.disproved, p.stagedSince = stateOf(r), false }
