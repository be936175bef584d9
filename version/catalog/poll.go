package catalog

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/rattanway/rattanway/core"
)

const (
	// longPollTimeout is the longest time that one ChangesSince call waits for a change.
	// Servers may lapse unnoticed while the store is away between two responses, so that
	// calls for the table of servers wait for less; see pollTimeout. A shorter timeout puts
	// more load on the store.
	longPollTimeout    = 2200 * time.Millisecond
	minLongPollTimeout = 500 * time.Millisecond
	// checkPollTimeout is the longest wait of a Follower whose table a peer reads. If it
	// waited longer, the store would send large changes to it as well as to the peer.
	checkPollTimeout = 50 * time.Millisecond
	// overdueAfter is the time beyond its wait after which a call without a response is
	// repeated on another connection: open connections may have gone silent. A slow store
	// needs up to half a second for a response.
	overdueAfter = 300 * time.Millisecond
	// pollMargin is the part of the time between two responses that is spent on calls and
	// messages.
	pollMargin = 300 * time.Millisecond
)

// errNoResponse is the failure of a call whose connection is dead.
var errNoResponse = errors.Wrap(context.DeadlineExceeded, "no response on an open connection, but on a new one")

// beginCall records that a call to the store begins.
func (f *Follower) beginCall() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.callBegunAt = f.clock.Now()
}

// markResponding records that the response to the call in flight has begun.
func (f *Follower) markResponding() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.respondingSince = f.clock.Now()
	f.endOvertakenCall()
}

// feed is the result of a ChangesSince call, or the begin of its response.
type feed struct {
	begun    bool
	rows     []Row
	position Position
	err      error
	repeated bool
}

// changesSince calls ChangesSince. If the call is overdue, it makes another one, which does
// not wait for changes, and ends one of the two as soon as the response to the other begins. A
// response to the second one shows that the store is there and the connection of the first is
// dead.
func (f *Follower) changesSince(ctx context.Context, since uint64) ([]Row, Position, error) {
	wait := f.pollTimeout()
	if wait == 0 {
		return f.source.ChangesSince(WithResponseBegun(ctx, f.markResponding), f.table, since, 0)
	}
	firstCtx, endFirst := context.WithCancel(ctx)
	defer endFirst()
	repeatedCtx, endRepeated := context.WithCancel(ctx)
	defer endRepeated()
	results := make(chan feed, 4)
	call := func(ctx context.Context, wait time.Duration, repeated bool) {
		ctx = WithResponseBegun(ctx, func() { results <- feed{begun: true, repeated: repeated} })
		rows, position, err := f.source.ChangesSince(ctx, f.table, since, wait)
		results <- feed{false, rows, position, err, repeated}
	}
	go call(firstCtx, wait, false)
	overdue := f.clock.After(wait + overdueAfter)
	// The failure of the first call counts, unless the second one was the first to respond.
	var countsRepeated, responding bool
	for {
		select {
		case <-overdue:
			overdue = nil
			f.beginCall()
			go call(repeatedCtx, 0, true)
		case r := <-results:
			if r.begun && responding {
				continue
			}
			if r.begun {
				overdue, responding, countsRepeated = nil, true, r.repeated
				f.markResponding()
				if r.repeated {
					endFirst()
				} else {
					endRepeated()
				}
				continue
			}
			if r.err != nil && r.repeated != countsRepeated {
				continue
			}
			if r.repeated && r.err == nil {
				f.markUnavailable(core.WrapStep("follow "+f.table.Name(), "", errNoResponse))
			}
			return r.rows, r.position, r.err
		}
	}
}

// pollTimeout returns the longest time that the next ChangesSince call may wait for a change; 0
// during an outage, and little if a peer reads the table. While servers are missing, the call
// waits no longer than the rest of their grace period. For the table of servers, a dead
// connection must be noticed, and a response reported to peers, before rows could have lapsed
// since the response before.
func (f *Follower) pollTimeout() time.Duration {
	readByPeer := f.readByPeer != nil && f.readByPeer()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unavailable {
		return 0
	}
	wait := longPollTimeout
	if readByPeer {
		wait = checkPollTimeout
	}
	if f.table == TableServers {
		wait = min(wait, max(minLongPollTimeout, f.lapseTime()-serversBatchDelay-overdueAfter-pollMargin))
	}
	if f.awaitsGraceEnd() {
		wait = min(wait, f.remainingGrace(f.clock.Now()))
	}
	return wait
}
