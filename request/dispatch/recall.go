package dispatch

import (
	"sync/atomic"
	"time"

	"github.com/rattanway/rattanway/version/catalog"
)

// maxBeginTime is the time that a request has to begin at a server after the server's
// weights have become too old for further requests. One that has not begun by then, for
// example because the server is silent, is recalled: newer weights are mandatory soon.
const maxBeginTime = 400 * time.Millisecond

// PendingBegin is a request that has been sent to a server with weights and that the
// server has not begun. It is safe for concurrent use.
type PendingBegin struct {
	scheduler *Scheduler
	model     string
	version   int
	recall    func()
	state     atomic.Int32
}

// The states of a [PendingBegin]. It leaves beginPending once.
const (
	beginPending int32 = iota
	// beginEnded means that the request has begun or the attempt has ended.
	beginEnded
	beginRecalled
)

// AwaitBegin records that a request for model is sent to the server of slot. If the
// server does not begin it before its weights are outdated, recall is called, which must
// withdraw the request and must not block. It returns false if the weights are too old
// already; the request must not be sent then. The caller must call End.
func (s *Scheduler) AwaitBegin(slot Slot, model string, recall func()) (*PendingBegin, bool) {
	p := &PendingBegin{scheduler: s, model: model, version: slot.Version, recall: recall}
	if slot.Version == 0 {
		return p, true
	}
	weights := s.holder.Current().Weights[model]
	if slot.Version < weights.MinVersion(s.clock.Now(), s.cfg.WeightsDueAfter) {
		return p, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pendingBegins[p] = true
	return p, true
}

// End records that the server has begun the request, or that the attempt has ended. After
// End, recall is not called; it may still be running if Recalled returns true.
func (p *PendingBegin) End() {
	if !p.state.CompareAndSwap(beginPending, beginEnded) {
		return
	}
	p.scheduler.mu.Lock()
	defer p.scheduler.mu.Unlock()
	delete(p.scheduler.pendingBegins, p)
}

// Recalled reports whether the request has been recalled.
func (p *PendingBegin) Recalled() bool { return p.state.Load() == beginRecalled }

// recallOutdated recalls the requests that have not begun at servers with outdated
// weights.
func (s *Scheduler) recallOutdated(now time.Time) {
	for _, p := range s.takeOutdated(s.holder.Current().Weights, now) {
		if p.state.CompareAndSwap(beginPending, beginRecalled) {
			p.recall()
		}
	}
}

// takeOutdated removes the requests that are to be recalled at time now from those that
// have not begun, and returns them. weights are the declared weights by model.
func (s *Scheduler) takeOutdated(weights map[string]catalog.Weights, now time.Time) []*PendingBegin {
	s.mu.Lock()
	defer s.mu.Unlock()
	var outdated []*PendingBegin
	for p := range s.pendingBegins {
		if p.version < weights[p.model].MinVersion(now, s.cfg.WeightsDueAfter+maxBeginTime) {
			outdated = append(outdated, p)
			delete(s.pendingBegins, p)
		}
	}
	return outdated
}
