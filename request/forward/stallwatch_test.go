package forward

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	gometrics "github.com/rcrowley/go-metrics"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/process/eventlog"
	"github.com/rattanway/rattanway/request/dispatch"
	"github.com/rattanway/rattanway/version/catalog"
)

// watchFixture holds the watch over a request at the server "silent", in virtual time. The
// server "busy" has no free slot.
type watchFixture struct {
	scheduler *dispatch.Scheduler
	call      *call
	watch     *stallWatch
	// slot is that of the request, anyBusy one at "busy", and busy holds those at "busy" that
	// are in use.
	slot, anyBusy dispatch.Slot
	busy          []dispatch.Slot
	// leave is called when the client leaves.
	leave context.CancelFunc
	start time.Time
	// abortedAfter is when after the start the watch closed the connection, and hedgedAfter
	// when it began the last hedge; 0 if it did not.
	abortedAfter, hedgedAfter time.Duration
	// hedgeBegins makes the hedge in progress begin at its server.
	hedgeBegins chan struct{}
}

// watchSlots is the number of requests that a server of a watchFixture takes.
const watchSlots = 2

// newWatchFixture returns a fixture for a request on r. retries is the number of retries
// that the budget allows.
func newWatchFixture(t *testing.T, r catalog.Route, retries float64) *watchFixture {
	holder := catalog.NewHolder(eventlog.Discard())
	apply := func(ids ...string) {
		var changes []catalog.Change
		for _, id := range ids {
			changes = append(changes, catalog.Change{Server: &catalog.Server{
				ID: id, Service: "registry", Addr: id, DataCentre: "palermo", Slots: watchSlots - 1,
			}})
		}
		holder.Apply(changes, true, true, time.Now())
	}
	holder.Apply([]catalog.Change{{Config: &catalog.Config{
		Version: 1, Services: map[string]*catalog.Service{"registry": {Name: "registry"}},
	}}}, true, false, time.Now())
	f := &watchFixture{start: time.Now(), hedgeBegins: make(chan struct{})}
	f.scheduler = dispatch.NewScheduler(dispatch.Config{
		DataCentre: "palermo", Regions: map[string]string{"palermo": "sicily"}, MaxWaitShare: 0.1,
		// The budget uses four fifths of its limits.
		RetryLimits: dispatch.RetryLimits{Slack: retries / 0.8, Window: 10 * time.Second},
	}, holder, clockwork.NewRealClock())
	ctx, leave := context.WithTimeout(t.Context(), r.Timeout)
	f.leave = leave
	f.call = &call{
		Handler: New(Config{
			Scheduler: f.scheduler, Clock: clockwork.NewRealClock(), Log: eventlog.Discard(), Metrics: gometrics.NewRegistry(),
		}),
		snapshot: holder.Current(), route: &r, mayHaveRunAt: map[string]bool{}, dispatchReq: f.request(r.Timeout),
	}
	f.call.dispatchReq.PromptParts = []dispatch.PromptPart{{ID: "whole", Position: dispatch.WholeRequest}}
	apply("busy")
	for range watchSlots {
		f.busy = append(f.busy, f.acquire(t))
	}
	f.anyBusy = f.busy[0]
	apply("busy", "silent")
	f.slot = f.acquire(t)
	f.watch = f.call.newStallWatch(ctx, func() { f.abortedAfter = time.Since(f.start) }, f.slot)
	f.watch.runHedge = f.runHedge
	return f
}

// runHedge stands in for the attempt of a hedge, which lasts until it is cancelled or
// hedgeBegins is sent to.
func (f *watchFixture) runHedge(h *hedge) {
	f.hedgedAfter = time.Since(f.start)
	go func() {
		select {
		case <-f.hedgeBegins:
			h.exchange = &serverExchange{slot: h.slot}
		case <-h.ctx.Done():
			h.result = attemptResult{outcome: dispatch.Cancelled, err: h.ctx.Err()}
		}
		close(h.done)
		f.watch.hedgeEnded(h)
	}()
}

// serverEvent makes the server of the request send an event, which the client gets.
func (f *watchFixture) serverEvent() {
	f.watch.recordActivity()
	f.scheduler.RecordActivity(f.slot)
	f.watch.recordForwarded("1", true)
	f.watch.awaitNext()
	synctest.Wait()
}

func (f *watchFixture) request(timeout time.Duration) dispatch.Request {
	now := time.Now()
	return dispatch.Request{
		Service: "registry", ArrivedAt: now, Deadline: now.Add(timeout), FirstByteObjective: 300 * time.Millisecond,
		TriedServers: map[string]bool{},
	}
}

func (f *watchFixture) acquire(t *testing.T) dispatch.Slot {
	req := f.request(time.Second)
	slot, err := f.scheduler.Acquire(t.Context(), &req)
	if err != nil {
		t.Error(err)
	}
	return slot
}

// waitInQueue makes n requests wait for a slot. The returned channel receives the slots
// that they get.
func (f *watchFixture) waitInQueue(t *testing.T, n int) <-chan dispatch.Slot {
	slots := make(chan dispatch.Slot, n)
	for range n {
		req := f.request(time.Minute)
		req.MaxRetryWait = time.Minute
		req.TriedServers["silent"] = true
		go func() {
			if slot, err := f.scheduler.Acquire(t.Context(), &req); err == nil {
				slots <- slot
			}
		}()
	}
	synctest.Wait()
	return slots
}

// releaseBusy releases one of the slots at "busy".
func (f *watchFixture) releaseBusy() {
	f.scheduler.Release(f.busy[0], dispatch.Served)
	f.busy = f.busy[1:]
	synctest.Wait()
}

// silentFor lets d pass, while "busy" sends something every now and then.
func (f *watchFixture) silentFor(d time.Duration) {
	const step = 50 * time.Millisecond
	for ; d > 0; d -= step {
		f.scheduler.RecordActivity(f.anyBusy)
		<-time.After(min(d, step))
		synctest.Wait()
	}
}

// finish ends the attempt and then the request, and returns the requests that still count
// at each server.
func (f *watchFixture) finish() map[string]int {
	f.watch.stop()
	f.scheduler.Release(f.slot, dispatch.Cancelled)
	f.call.discardUnusedHedge()
	f.leave()
	synctest.Wait()
	for _, slot := range f.busy {
		f.scheduler.Release(slot, dispatch.Served)
	}
	return f.scheduler.RunningByServer()
}

// virtually runs steps in virtual time.
func virtually(t *testing.T, steps func(t *testing.T)) { synctest.Test(t, steps) }

func TestRequestLeavesASilentServer(t *testing.T) {
	stream := route("/resumable/", catalog.KindStream)
	stream.Resumable = true
	const plenty = 10

	Convey("Under full load it gets the next slot, before those that wait, and those get the ones after that", t, func() {
		var moved, target, stalled, kept bool
		var hedgedAfter, abortedAfter time.Duration
		var waited int
		var left map[string]int
		virtually(t, func(t *testing.T) {
			f := newWatchFixture(t, stream, plenty)
			others := f.waitInQueue(t, 2)
			f.silentFor(firstEventTimeout + 50*time.Millisecond)
			moved = f.hedgedAfter > 0
			f.releaseBusy()
			hedgedAfter = f.hedgedAfter
			waited = len(others)
			f.silentFor(300 * time.Millisecond)
			kept = f.abortedAfter == 0 && !f.watch.closedConn()
			f.hedgeBegins <- struct{}{}
			synctest.Wait()
			abortedAfter = f.abortedAfter
			r := f.watch.markClosed(attemptResult{outcome: dispatch.Broken})
			stalled = r.outcome == dispatch.Stalled
			f.watch.stop()
			h := f.call.nextHedge
			target = h != nil && h.slot.Server.ID == "busy" && f.call.checkRetry(t.Context(), &r) == nil
			f.call.nextHedge = nil
			h.cancel()
			f.scheduler.Release(h.slot, dispatch.Cancelled)
			f.releaseBusy()
			f.scheduler.Release(<-others, dispatch.Served)
			synctest.Wait()
			f.scheduler.Release(<-others, dispatch.Served)
			left = f.finish()
		})
		So(moved, ShouldBeFalse)
		So(hedgedAfter, ShouldEqual, firstEventTimeout+50*time.Millisecond)
		So(waited, ShouldEqual, 0)
		So(kept, ShouldBeTrue)
		So(abortedAfter, ShouldEqual, hedgedAfter+300*time.Millisecond)
		So(stalled, ShouldBeTrue)
		So(target, ShouldBeTrue)
		So(left, ShouldBeEmpty)
	})

	Convey("It stays if the server sends an event while it waits, and the next slot goes to another request", t, func() {
		var aborted, target bool
		var others int
		var left map[string]int
		virtually(t, func(t *testing.T) {
			f := newWatchFixture(t, stream, plenty)
			waiting := f.waitInQueue(t, 1)
			f.silentFor(firstEventTimeout + 50*time.Millisecond)
			f.serverEvent()
			f.releaseBusy()
			others = len(waiting)
			f.scheduler.Release(<-waiting, dispatch.Served)
			aborted, target = f.hedgedAfter > 0, f.call.nextHedge != nil
			left = f.finish()
		})
		So(aborted, ShouldBeFalse)
		So(target, ShouldBeFalse)
		So(others, ShouldEqual, 1)
		So(left, ShouldBeEmpty)
	})

	Convey("A server that falls silent again after an event is left again", t, func() {
		var hedgedAfter time.Duration
		var left map[string]int
		virtually(t, func(t *testing.T) {
			f := newWatchFixture(t, stream, plenty)
			f.silentFor(firstEventTimeout + 50*time.Millisecond)
			f.serverEvent()
			f.releaseBusy()
			// There is a free slot now, but no reason to use it before eventTimeout.
			f.silentFor(eventTimeout + 10*time.Millisecond)
			hedgedAfter = f.hedgedAfter
			left = f.finish()
		})
		So(hedgedAfter, ShouldBeBetweenOrEqual, firstEventTimeout+50*time.Millisecond+eventTimeout, firstEventTimeout+60*time.Millisecond+eventTimeout)
		So(left, ShouldBeEmpty)
	})

	Convey("It leaves nothing behind if its client leaves while it waits, or just when it has got a slot", t, func() {
		for _, slotFirst := range []bool{false, true} {
			var others int
			var left map[string]int
			virtually(t, func(t *testing.T) {
				f := newWatchFixture(t, stream, plenty)
				waiting := f.waitInQueue(t, 1)
				f.silentFor(firstEventTimeout + 50*time.Millisecond)
				if slotFirst {
					f.releaseBusy()
				}
				f.leave()
				synctest.Wait()
				if !slotFirst {
					f.releaseBusy()
					others = len(waiting)
				}
				f.watch.stop()
				f.call.discardUnusedHedge()
				f.call.nextHedge = nil
				synctest.Wait()
				f.scheduler.Release(<-waiting, dispatch.Served)
				left = f.finish()
			})
			if !slotFirst {
				So(others, ShouldEqual, 1)
			}
			So(left, ShouldBeEmpty)
		}
	})

	Convey("It leaves nothing behind if the attempt ends while it waits, and the next slot goes to another request", t, func() {
		var others int
		var left map[string]int
		virtually(t, func(t *testing.T) {
			f := newWatchFixture(t, stream, plenty)
			waiting := f.waitInQueue(t, 1)
			f.silentFor(firstEventTimeout + 50*time.Millisecond)
			f.watch.stop()
			synctest.Wait()
			f.releaseBusy()
			others = len(waiting)
			f.scheduler.Release(<-waiting, dispatch.Served)
			left = f.finish()
		})
		So(others, ShouldEqual, 1)
		So(left, ShouldBeEmpty)
	})

	Convey("It stays if the server sends an event just when it has got a slot, which is given back", t, func() {
		var aborted bool
		var left []map[string]int
		for range 20 { // what comes first differs
			virtually(t, func(t *testing.T) {
				f := newWatchFixture(t, stream, plenty)
				f.silentFor(firstEventTimeout + 50*time.Millisecond)
				f.watch.mu.Lock()
				f.scheduler.Release(f.busy[0], dispatch.Served)
				f.busy = f.busy[1:]
				f.watch.endSearch()
				f.watch.mu.Unlock()
				synctest.Wait()
				aborted = aborted || f.hedgedAfter > 0
				if running := f.finish(); len(running) > 0 {
					left = append(left, running)
				}
			})
		}
		So(aborted, ShouldBeFalse)
		So(left, ShouldBeEmpty)
	})

	Convey("Without a retry left in the budget it stays, and holds up the others no longer than a moment", t, func() {
		var aborted bool
		var others int
		var left map[string]int
		virtually(t, func(t *testing.T) {
			f := newWatchFixture(t, stream, 0)
			waiting := f.waitInQueue(t, 1)
			f.silentFor(firstEventTimeout + 50*time.Millisecond)
			f.releaseBusy()
			others = len(waiting)
			aborted = f.hedgedAfter > 0
			f.scheduler.Release(<-waiting, dispatch.Served)
			left = f.finish()
		})
		So(aborted, ShouldBeFalse)
		So(others, ShouldEqual, 1)
		So(left, ShouldBeEmpty)
	})

	Convey("A retry is counted only when it moves", t, func() {
		var allowed bool
		virtually(t, func(t *testing.T) {
			f := newWatchFixture(t, stream, 1)
			f.silentFor(2 * time.Second)
			f.watch.stop()
			allowed = f.scheduler.TakeRetry("registry")
			f.finish()
		})
		So(allowed, ShouldBeTrue)
	})

	Convey("A slot that is found when the stream moves to another one already is given back", t, func() {
		var target string
		var left map[string]int
		virtually(t, func(t *testing.T) {
			f := newWatchFixture(t, stream, plenty)
			f.silentFor(firstEventTimeout + 50*time.Millisecond)
			other := f.busy[0]
			f.busy = f.busy[1:]
			f.watch.beginMove(other)
			f.releaseBusy()
			f.watch.stop()
			target = f.call.nextHedge.slot.Server.ID
			left = f.finish()
		})
		So(target, ShouldEqual, "busy")
		So(left, ShouldBeEmpty)
	})

	Convey("After a pause of this process, what the server has sent is read before another one gets the request", t, func() {
		var afterPause, hedgedAfter time.Duration
		var left map[string]int
		virtually(t, func(t *testing.T) {
			f := newWatchFixture(t, stream, plenty)
			f.releaseBusy()
			// The timer fires when the process runs again, long after it was due.
			f.watch.mu.Lock()
			f.watch.timer.Stop()
			f.watch.mu.Unlock()
			f.silentFor(firstEventTimeout + maxTimerDelay + 50*time.Millisecond)
			f.watch.onTimeout()
			synctest.Wait()
			afterPause = f.hedgedAfter
			f.silentFor(stallRecheckInterval + 50*time.Millisecond)
			hedgedAfter = f.hedgedAfter
			left = f.finish()
		})
		So(afterPause, ShouldEqual, 0)
		So(hedgedAfter, ShouldEqual, firstEventTimeout+maxTimerDelay+50*time.Millisecond+stallRecheckInterval)
		So(left, ShouldBeEmpty)
	})

	Convey("The first server wins if it sends an event before the hedge has begun, and no third server gets the request", t, func() {
		var aborted, next bool
		var runs map[string]bool
		var hedgedAfter time.Duration
		var left map[string]int
		virtually(t, func(t *testing.T) {
			f := newWatchFixture(t, stream, plenty)
			f.releaseBusy()
			f.silentFor(firstEventTimeout + 50*time.Millisecond)
			f.serverEvent()
			hedgedAfter = f.hedgedAfter
			f.silentFor(2 * eventTimeout)
			aborted = f.abortedAfter > 0 || f.hedgedAfter != hedgedAfter
			f.watch.stop()
			next, runs = f.call.nextHedge != nil, f.call.mayHaveRunAt
			left = f.finish()
		})
		So(hedgedAfter, ShouldBeBetweenOrEqual, firstEventTimeout, firstEventTimeout+50*time.Millisecond)
		So(aborted, ShouldBeFalse)
		So(next, ShouldBeFalse)
		So(runs, ShouldResemble, map[string]bool{"busy": true})
		So(left, ShouldBeEmpty)
	})

	Convey("The wait ends when too little time is left", t, func() {
		var aborted bool
		var left map[string]int
		virtually(t, func(t *testing.T) {
			f := newWatchFixture(t, stream, plenty)
			f.silentFor(stream.Timeout - minRetryTime)
			f.releaseBusy()
			aborted = f.hedgedAfter > 0
			left = f.finish()
		})
		So(aborted, ShouldBeFalse)
		So(left, ShouldBeEmpty)
	})

	for name, change := range map[string]func(r *catalog.Route){
		"may not be repeated":              func(r *catalog.Route) { r.Resumable = false },
		"may be sent to one server only":   func(r *catalog.Route) { r.MaxServers = 1 },
		"has a response that is no stream": func(r *catalog.Route) { r.Kind = catalog.KindSafe },
	} {
		Convey("A request that "+name+" does not go before those that wait", t, func() {
			r := stream
			change(&r)
			var aborted bool
			var others int
			var left map[string]int
			virtually(t, func(t *testing.T) {
				f := newWatchFixture(t, r, plenty)
				waiting := f.waitInQueue(t, 1)
				f.silentFor(2 * time.Second)
				f.releaseBusy()
				others = len(waiting)
				f.scheduler.Release(<-waiting, dispatch.Served)
				aborted = f.hedgedAfter > 0
				left = f.finish()
			})
			So(aborted, ShouldBeFalse)
			So(others, ShouldEqual, 1)
			So(left, ShouldBeEmpty)
		})
	}
}
