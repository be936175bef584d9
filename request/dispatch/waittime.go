package dispatch

import (
	"time"

	"github.com/rattanway/rattanway/version/catalog"
)

const (
	// firstByteWeight is the weight of one observed time to the first byte in the mean.
	firstByteWeight = 1.0 / 16
	// maxFirstByte bounds an observed time to the first byte: a server that stays silent
	// for longer is treated as stalled, and says nothing about the others.
	maxFirstByte = 2 * time.Second
)

// firstByteEstimate is the mean of the observed times from sending a request to a server
// until the first byte of its response, weighted exponentially by their order.
type firstByteEstimate struct {
	// declared is the value that follows from the declared figures of the engine, until the
	// first observation; 0 if there are none.
	declared, mean time.Duration
}

// expected returns the mean, or the declared value before the first observation.
func (e *firstByteEstimate) expected() time.Duration {
	if e.mean > 0 {
		return e.mean
	}
	return e.declared
}

// observe adds an observed time.
func (e *firstByteEstimate) observe(d time.Duration) {
	d = min(max(0, d), maxFirstByte)
	before := e.expected()
	if before == 0 {
		e.mean = d
		return
	}
	e.mean = before + time.Duration(firstByteWeight*float64(d-before))
}

// declaredFirstByte returns the time to the first byte at a busy model server with the
// declared figures: half a pass until the next one begins, the reading of a mean prompt, and
// one pass. It returns 0 for services without an engine.
func declaredFirstByte(engine *catalog.Engine) time.Duration {
	if engine == nil {
		return 0
	}
	step := engine.StepTime + time.Duration(engine.Slots)*engine.StepTimePerRequest
	pass := time.Duration(max(1, engine.StepsPerPass)) * step
	prompt := time.Duration(0)
	if engine.PromptTokensPerSecond > 0 {
		prompt = time.Duration(float64(engine.MeanPromptTokens) / engine.PromptTokensPerSecond * float64(time.Second))
	}
	return pass*3/2 + prompt
}

// firstByteOf returns the time from sending a request now until the first byte of its response
// that counts for its wait: the estimate of the best server, or the mean of the observed times
// if that is longer, because the request gets whichever slot becomes free. The caller holds
// s.mu.
func (s *Scheduler) firstByteOf(u *serviceUrgency, req *Request) time.Duration {
	estimated, _ := s.expectedFirstByte(req)
	return max(estimated, u.firstByte.expected())
}

// RecordFirstByte records the time from sending a request until the first byte of the
// response of a server of the service.
func (s *Scheduler) RecordFirstByte(service string, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if u := s.urgencyOf(service); u != nil {
		u.firstByte.observe(d)
	}
}

// waitForObjective returns how long a request with an objective that arrived age ago may
// wait so that it can still meet the objective, but at least until usualWait after its
// arrival. expectedWait is the time until it gets a slot; known is false if that cannot be
// told, because no slot has become free of late. The request may then wait until usualWait,
// and else not at all if the expected wait is too long.
func waitForObjective(objective, firstByte, usualWait, age, expectedWait time.Duration, known bool) time.Duration {
	if !known {
		return usualWait - age
	}
	longest := max(usualWait, objective-firstByte) - age
	if expectedWait > longest {
		return 0
	}
	return longest
}

// expectedWait returns the time until a request gets a slot if ahead requests go before it
// and slots become free at a rate per second. It returns false if none do.
func expectedWait(ahead int, rate float64) (time.Duration, bool) {
	if rate <= 0 {
		return 0, false
	}
	return time.Duration(float64(ahead+1) / rate * float64(time.Second)), true
}
