package serve

import (
	"container/list"
	"sync"

	"github.com/rattanway/rattanway/connection/frame"
)

// maxEarlierForbidden is the largest number of earlier attempts with the same
// key that a query about an attempt forbids. The query also forbids the attempt
// itself.
const maxEarlierForbidden = 64

// attemptID identifies one attempt to run a once-only call.
type attemptID struct {
	key     string
	attempt int
}

// attemptState is the progress of an attempt.
type attemptState uint8

// The states of an attempt.
const (
	// attemptNotStarted means that the attempt has not started and may still start.
	attemptNotStarted attemptState = iota
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
	// openOfferCount is the number of exchanges that offer the attempt now.
	openOfferCount int
	// outcome is nil while the attempt has not finished, and when the outcome is
	// unknown or has been evicted.
	outcome *frame.Outcome
}

// isEvictable reports whether the record may be evicted to make room for
// another record: the attempt has finished, is forbidden, or has not started
// and has no open offer.
func (r *attemptRecord) isEvictable() bool {
	return r.state == attemptFinished || r.state == attemptForbidden || r.state == attemptNotStarted && r.openOfferCount == 0
}

// outcomeBytes returns the size of the outcome's body; 0 without an outcome.
func (r *attemptRecord) outcomeBytes() int {
	if r.outcome == nil {
		return 0
	}
	return len(r.outcome.Body)
}

// ledger lets each attempt start at most once in this incarnation of the agent
// and keeps the outcomes of the attempts. The size of the ledger is bounded: the
// oldest evictable records are evicted first. Once a record has been evicted, an
// attempt without a record is reported as unknown, never as not run.
type ledger struct {
	maxRecords           int
	maxTotalOutcomeBytes int

	mu sync.Mutex
	// records maps the id of each attempt to the element of oldestFirst that
	// holds its record.
	records map[attemptID]*list.Element
	// oldestFirst holds the records (*attemptRecord) in the order in which they
	// were added.
	oldestFirst *list.List
	// totalOutcomeBytes is the total size of the kept outcomes' bodies.
	totalOutcomeBytes int
	// hasEvicted is true once a record has been evicted.
	hasEvicted bool
}

// newLedger returns an empty ledger for at most maxRecords records, and outcome
// bodies of at most maxTotalOutcomeBytes together.
func newLedger(maxRecords, maxTotalOutcomeBytes int) *ledger {
	return &ledger{
		maxRecords:           maxRecords,
		maxTotalOutcomeBytes: maxTotalOutcomeBytes,
		records:              map[attemptID]*list.Element{},
		oldestFirst:          list.New(),
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
	if r == nil || r.state != attemptNotStarted {
		return false
	}
	r.openOfferCount++
	return true
}

// endOffer ends an offer that beginOffer recorded, whether or not the attempt
// was started.
func (l *ledger) endOffer(id attemptID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.find(id); r != nil && r.openOfferCount > 0 {
		r.openOfferCount--
	}
}

// start marks the attempt as running. It returns false when the attempt has been
// started or forbidden already, or has no open offer.
func (l *ledger) start(id attemptID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.find(id)
	if r == nil || r.state != attemptNotStarted || r.openOfferCount == 0 {
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

// finish marks a started attempt as finished and keeps the outcome, which is nil
// when the outcome is unknown.
func (l *ledger) finish(id attemptID, outcome *frame.Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.find(id)
	if r == nil {
		return
	}
	r.state = attemptFinished
	r.outcome = outcome
	l.totalOutcomeBytes += r.outcomeBytes()
	l.evictOutcomes()
}

// queryAndForbid returns the state of the attempt, with the outcome if the
// ledger still has the outcome. It forbids the attempt and up to
// maxEarlierForbidden earlier attempts with the same key, unless they have
// started. If the attempt has no record, queryAndForbid adds a record, so that
// a later offer is refused. If it cannot do this because the ledger is full, or
// if records have been evicted, it returns frame.AttemptUnknown for an attempt
// without a record.
func (l *ledger) queryAndForbid(id attemptID) (frame.AttemptState, *frame.Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for n := max(1, id.attempt-maxEarlierForbidden); n < id.attempt; n++ {
		l.forbid(attemptID{key: id.key, attempt: n})
	}
	r := l.find(id)
	if r == nil && l.hasEvicted {
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
	if r := l.find(id); r != nil && r.state == attemptNotStarted {
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

// add adds a record for id and returns the record, or nil when the ledger is full
// of records that may not be evicted. The caller holds l.mu.
func (l *ledger) add(id attemptID) *attemptRecord {
	if len(l.records) >= l.maxRecords && !l.evictOldest() {
		return nil
	}
	r := &attemptRecord{id: id}
	l.records[id] = l.oldestFirst.PushBack(r)
	return r
}

// evictOldest evicts the oldest evictable record, or returns false if there is
// none. The caller holds l.mu.
func (l *ledger) evictOldest() bool {
	for e := l.oldestFirst.Front(); e != nil; e = e.Next() {
		r := e.Value.(*attemptRecord)
		if !r.isEvictable() {
			continue
		}
		l.oldestFirst.Remove(e)
		delete(l.records, r.id)
		l.totalOutcomeBytes -= r.outcomeBytes()
		l.hasEvicted = true
		return true
	}
	return false
}

// evictOutcomes evicts the oldest outcomes until the rest fit into
// maxTotalOutcomeBytes. Their records stay, so the attempts still count as
// finished. The caller holds l.mu.
func (l *ledger) evictOutcomes() {
	for e := l.oldestFirst.Front(); e != nil && l.totalOutcomeBytes > l.maxTotalOutcomeBytes; e = e.Next() {
		r := e.Value.(*attemptRecord)
		l.totalOutcomeBytes -= r.outcomeBytes()
		r.outcome = nil
	}
}
