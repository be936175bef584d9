package serve

import (
	"container/list"
	"sync"

	"github.com/rattanway/rattanway/connection/frame"
)

// maxEarlierForbidden is the largest number of earlier attempts with the same
// key that a query about an attempt also forbids.
const maxEarlierForbidden = 64

// attemptID identifies one attempt at a non-repeatable call.
type attemptID struct {
	key     string
	attempt int
}

// attemptState is the progress of an attempt.
type attemptState uint8

// The states of an attempt.
const (
	// attemptOffered means that the attempt may still be started.
	attemptOffered attemptState = iota
	// attemptForbidden means that the attempt did not run and never will.
	attemptForbidden
	// attemptRunning means that the attempt was started and has not ended.
	attemptRunning
	// attemptFinished means that the attempt ended; its outcome may be unknown.
	attemptFinished
)

// attemptRecord is the ledger's record of one attempt.
type attemptRecord struct {
	id    attemptID
	state attemptState
	// openOffers is the number of exchanges that offer the attempt now.
	openOffers int
	// outcome is nil while the attempt has not finished, and when its outcome
	// is unknown or has been dropped.
	outcome *frame.Outcome
}

// evictable reports whether the record may be dropped to make room: its attempt
// has finished, is forbidden, or has not started and has no open offer.
func (r *attemptRecord) evictable() bool {
	return r.state == attemptFinished || r.state == attemptForbidden || r.state == attemptOffered && r.openOffers == 0
}

// outcomeBytes returns the size of the outcome's body, 0 without an outcome.
func (r *attemptRecord) outcomeBytes() int {
	if r.outcome == nil {
		return 0
	}
	return len(r.outcome.Body)
}

// ledger lets each attempt start at most once in this incarnation of the agent
// and keeps its outcome. Its size is bounded: the oldest evictable records are
// dropped first. Once a record has been dropped, an attempt without a record is
// reported as unknown, never as not run.
type ledger struct {
	maxEntries int
	maxBytes   int

	mu sync.Mutex
	// records holds the list element of each record, oldestFirst the records
	// (*attemptRecord) in the order in which they were added.
	records     map[attemptID]*list.Element
	oldestFirst *list.List
	// outcomeBytes is the total size of the kept outcomes' bodies.
	outcomeBytes int
	// evicted is true once a record has been dropped.
	evicted bool
}

// newLedger returns an empty ledger for at most maxEntries records and maxBytes
// bytes of outcome bodies.
func newLedger(maxEntries, maxBytes int) *ledger {
	return &ledger{
		maxEntries:  maxEntries,
		maxBytes:    maxBytes,
		records:     map[attemptID]*list.Element{},
		oldestFirst: list.New(),
	}
}

// beginOffer records an open offer of the attempt. It returns false when the
// attempt has been started or forbidden already, or when the ledger is full.
func (l *ledger) beginOffer(id attemptID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.find(id)
	if r == nil {
		r = l.add(id)
	}
	if r == nil || r.state != attemptOffered {
		return false
	}
	r.openOffers++
	return true
}

// endOffer ends an offer that beginOffer recorded, whether or not the attempt
// was started.
func (l *ledger) endOffer(id attemptID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.find(id); r != nil && r.openOffers > 0 {
		r.openOffers--
	}
}

// start marks the attempt as running. It returns false when the attempt has been
// started or forbidden already, or has no open offer.
func (l *ledger) start(id attemptID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.find(id)
	if r == nil || r.state != attemptOffered || r.openOffers == 0 {
		return false
	}
	r.state = attemptRunning
	return true
}

// markNotSent records that the call of a started attempt provably did not reach
// the service. The attempt is forbidden from now on.
func (l *ledger) markNotSent(id attemptID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.find(id); r != nil {
		r.state = attemptForbidden
	}
}

// finish marks a started attempt as finished and keeps its outcome, which is nil
// when it is unknown.
func (l *ledger) finish(id attemptID, outcome *frame.Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.find(id)
	if r == nil {
		return
	}
	r.state = attemptFinished
	r.outcome = outcome
	l.outcomeBytes += r.outcomeBytes()
	l.evictOutcomes()
}

// queryAndForbid returns the state of the attempt, with its outcome if the ledger
// still has it. It forbids the attempt and up to maxEarlierForbidden earlier
// attempts with the same key unless they have started.
func (l *ledger) queryAndForbid(id attemptID) (frame.AttemptState, *frame.Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for n := max(1, id.attempt-maxEarlierForbidden); n < id.attempt; n++ {
		l.forbid(attemptID{key: id.key, attempt: n})
	}
	r := l.find(id)
	if r == nil && l.evicted {
		return frame.AttemptUnknown, nil
	}
	if r == nil {
		r = l.add(id)
	}
	if r == nil {
		return frame.AttemptUnknown, nil
	}
	switch r.state {
	case attemptRunning:
		return frame.AttemptRunning, nil
	case attemptFinished:
		return frame.AttemptRan, r.outcome
	default:
		r.state = attemptForbidden
		return frame.AttemptNotRun, nil
	}
}

// forbid forbids the attempt if it has a record and has not started. The caller
// holds l.mu.
func (l *ledger) forbid(id attemptID) {
	if r := l.find(id); r != nil && r.state == attemptOffered {
		r.state = attemptForbidden
	}
}

// find returns the record of id, or nil if there is none. The caller holds l.mu.
func (l *ledger) find(id attemptID) *attemptRecord {
	e, ok := l.records[id]
	if !ok {
		return nil
	}
	return e.Value.(*attemptRecord)
}

// add adds a record for id and returns it, or nil when the ledger is full of
// records that may not be dropped. The caller holds l.mu.
func (l *ledger) add(id attemptID) *attemptRecord {
	if len(l.records) >= l.maxEntries && !l.evictOldest() {
		return nil
	}
	r := &attemptRecord{id: id}
	l.records[id] = l.oldestFirst.PushBack(r)
	return r
}

// evictOldest drops the oldest evictable record and reports whether there was
// one. The caller holds l.mu.
func (l *ledger) evictOldest() bool {
	for e := l.oldestFirst.Front(); e != nil; e = e.Next() {
		r := e.Value.(*attemptRecord)
		if !r.evictable() {
			continue
		}
		l.oldestFirst.Remove(e)
		delete(l.records, r.id)
		l.outcomeBytes -= r.outcomeBytes()
		l.evicted = true
		return true
	}
	return false
}

// evictOutcomes drops the oldest outcomes until the rest fit into maxBytes. The
// records stay, so the attempts still count as finished. The caller holds l.mu.
func (l *ledger) evictOutcomes() {
	for e := l.oldestFirst.Front(); e != nil && l.outcomeBytes > l.maxBytes; e = e.Next() {
		r := e.Value.(*attemptRecord)
		l.outcomeBytes -= r.outcomeBytes()
		r.outcome = nil
	}
}
