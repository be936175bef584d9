package dispatch

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/test/wait"
)

// fillServers acquires every slot, and returns the slots in the order in which they were
// acquired.
func (f *schedulerFixture) fillServers() []Slot {
	var slots []Slot
	for range 2 * (2 + maxServerQueueLength) {
		slot, err := f.scheduler.Acquire(context.Background(), f.request())
		So(err, ShouldBeNil)
		slots = append(slots, slot)
	}
	return slots
}

// slotAt returns the first of the slots that is at the server with the given ID.
func slotAt(slots []Slot, id string) Slot {
	for _, slot := range slots {
		if slot.Server.ID == id {
			return slot
		}
	}
	return Slot{}
}

func TestUntilSilent(t *testing.T) {
	Convey("A server is silent once it has sent nothing for silentPeriod to any request of this entry instance", t, func() {
		f := newSchedulerFixture()
		slots := f.fillServers()
		first := slotAt(slots, "a")
		So(f.scheduler.UntilSilent(first), ShouldEqual, silentPeriod)
		f.clock.Advance(silentPeriod - time.Millisecond)
		So(f.scheduler.UntilSilent(first), ShouldEqual, time.Millisecond)
		f.clock.Advance(time.Millisecond)
		So(f.scheduler.UntilSilent(first), ShouldEqual, 0)

		// What other servers send does not count.
		f.scheduler.RecordActivity(slotAt(slots, "b"))
		So(f.scheduler.UntilSilent(first), ShouldEqual, 0)
		f.scheduler.RecordActivity(slotAt(slots, "a"))
		So(f.scheduler.UntilSilent(first), ShouldEqual, silentPeriod)
	})

	Convey("The silence of a server without requests does not count", t, func() {
		f := newSchedulerFixture()
		f.clock.Advance(time.Hour)
		slot, err := f.scheduler.Acquire(context.Background(), f.request())
		So(err, ShouldBeNil)
		So(f.scheduler.UntilSilent(slot), ShouldEqual, silentPeriod)
	})
}

func TestAcquireBeforeWaiting(t *testing.T) {
	type result struct {
		slot Slot
		err  error
	}
	// moving starts AcquireBeforeWaiting for a request that server "a" has got, and
	// returns once it waits.
	moving := func(ctx context.Context, f *schedulerFixture, change func(*Request)) <-chan result {
		req := f.request()
		req.TriedServers["a"] = true
		if change != nil {
			change(req)
		}
		results := make(chan result, 1)
		waitingCount := f.scheduler.waitingCount()
		go func() {
			slot, err := f.scheduler.AcquireBeforeWaiting(ctx, req)
			results <- result{slot, err}
		}()
		So(wait.Until(func() bool { return f.scheduler.waitingCount() > waitingCount || len(results) > 0 }), ShouldBeTrue)
		return results
	}
	// waiting starts Acquire for an urgent request, and returns once it waits.
	waiting := func(f *schedulerFixture) <-chan result {
		req := f.request()
		req.FirstByteObjective = 5 * time.Second // so that the request may wait
		results := make(chan result, 1)
		waitingCount := f.scheduler.waitingCount()
		go func() {
			slot, err := f.scheduler.Acquire(context.Background(), req)
			results <- result{slot, err}
		}()
		So(wait.Until(func() bool { return f.scheduler.waitingCount() > waitingCount }), ShouldBeTrue)
		return results
	}

	Convey("A free slot is assigned at once", t, func() {
		f := newSchedulerFixture()
		r := <-moving(t.Context(), f, nil)
		So(r.err, ShouldBeNil)
		So(r.slot.Server.ID, ShouldEqual, "b")
		So(f.scheduler.RunningByServer(), ShouldResemble, map[string]int{"b": 1})
	})

	Convey("Under full load the request gets the next slot at another server, and those that waited before it the ones after that", t, func() {
		f := newSchedulerFixture()
		slots := f.fillServers()
		others := []<-chan result{waiting(f), waiting(f)}
		moved := moving(t.Context(), f, nil)
		// A slot at the server that the request must leave goes to one that waits.
		f.scheduler.Release(slotAt(slots, "a"), Served)
		So((<-others[0]).slot.Server.ID, ShouldEqual, "a")
		So(moved, ShouldBeEmpty)
		So(others[1], ShouldBeEmpty)
		f.scheduler.Release(slotAt(slots, "b"), Served)
		So((<-moved).slot.Server.ID, ShouldEqual, "b")
		So(others[1], ShouldBeEmpty)
		f.scheduler.Release(slotAt(slots, "b"), Served)
		So((<-others[1]).slot.Server.ID, ShouldEqual, "b")
		So(f.scheduler.waitingCount(), ShouldEqual, 0)
	})

	Convey("A request for which no server is left holds up no other", t, func() {
		f := newSchedulerFixture()
		slots := f.fillServers()
		ctx, cancel := context.WithCancel(t.Context())
		moved := moving(ctx, f, func(req *Request) { req.TriedServers["b"] = true })
		other := waiting(f)
		f.scheduler.Release(slots[0], Served)
		So((<-other).err, ShouldBeNil)
		cancel()
		So((<-moved).err, ShouldEqual, context.Canceled)
		So(f.scheduler.waitingCount(), ShouldEqual, 0)
	})

	Convey("A request whose client leaves keeps no slot and no place in the queue", t, func() {
		f := newSchedulerFixture()
		slots := f.fillServers()
		ctx, cancel := context.WithCancel(t.Context())
		moved := moving(ctx, f, nil)
		cancel()
		So((<-moved).err, ShouldEqual, context.Canceled)
		So(f.scheduler.waitingCount(), ShouldEqual, 0)
		for _, slot := range slots {
			f.scheduler.Release(slot, Served)
		}
		So(f.scheduler.RunningByServer(), ShouldBeEmpty)
	})

	Convey("A slot that is assigned while the client leaves is used or given back", t, func() {
		for range 50 {
			f := newSchedulerFixture()
			slots := f.fillServers()
			ctx, cancel := context.WithCancel(t.Context())
			moved := moving(ctx, f, nil)
			go cancel()
			f.scheduler.Release(slotAt(slots, "b"), Served)
			want := map[string]int{"a": 3, "b": 2}
			if r := <-moved; r.err == nil {
				want["b"]++
			}
			So(f.scheduler.RunningByServer(), ShouldResemble, want)
			So(f.scheduler.waitingCount(), ShouldEqual, 0)
		}
	})

	Convey("A request whose prompt part is quarantined meanwhile is not moved", t, func() {
		f := newSchedulerFixture()
		f.fillServers()
		parts := []PromptPart{{ID: "part"}}
		moved := moving(t.Context(), f, func(req *Request) { req.PromptParts = parts })
		for _, boot := range []string{"x", "y", "z"} {
			f.clock.Advance(minEndSpacing)
			f.scheduler.RecordServerEnd(boot, parts, f.clock.Now())
		}
		So((<-moved).err, ShouldEqual, ErrQuarantined)
		So(f.scheduler.waitingCount(), ShouldEqual, 0)
	})
}

// Guards against requests that are sent to a silent server one after the other, because
// it has none in progress once those that it had have moved.
func TestServerThatWasSilent(t *testing.T) {
	// newStalled returns a fixture whose server "a" has sent nothing to requests that have
	// moved, and whose backoff is over. Server "b" is gone.
	newStalled := func() (*schedulerFixture, Slot) {
		f := newSchedulerFixture()
		a := f.server("a", "palermo")
		a.Slots = 10
		f.setServers(a)
		var slots []Slot
		for range 3 {
			slot, err := f.scheduler.Acquire(t.Context(), f.request())
			So(err, ShouldBeNil)
			slots = append(slots, slot)
		}
		for _, slot := range slots {
			f.scheduler.Release(slot, Stalled)
		}
		f.clock.Advance(maxBackoff)
		return f, slots[0]
	}

	Convey("It gets one request at a time until it sends something", t, func() {
		f, _ := newStalled()
		probe, err := f.scheduler.Acquire(t.Context(), f.request())
		So(err, ShouldBeNil)
		_, err = f.acquire(f.request())
		So(err, ShouldEqual, ErrFull)
		f.scheduler.Release(probe, Stalled)
		f.clock.Advance(maxBackoff)
		probe, err = f.scheduler.Acquire(t.Context(), f.request())
		So(err, ShouldBeNil)
		f.scheduler.RecordActivity(probe)
		for range 10 {
			_, err = f.acquire(f.request())
			So(err, ShouldBeNil)
		}
	})

	Convey("It gets none that has been sent before", t, func() {
		f, slot := newStalled()
		req := f.request()
		req.TriedServers["other"] = true
		_, err := f.acquire(req)
		So(err, ShouldEqual, ErrFull)
		_, found := f.scheduler.TryAcquire(req)
		So(found, ShouldBeFalse)
		f.scheduler.RecordActivity(slot)
		_, err = f.acquire(req)
		So(err, ShouldBeNil)
	})
	Convey("After unheardPeriod it may get any request", t, func() {
		f, _ := newStalled()
		req := f.request()
		req.TriedServers["other"] = true
		f.clock.Advance(unheardPeriod - maxBackoff - time.Millisecond)
		req.Deadline = f.clock.Now().Add(time.Second)
		_, err := f.acquire(req)
		So(err, ShouldEqual, ErrFull)
		f.clock.Advance(time.Millisecond)
		for range 5 {
			_, err = f.acquire(req)
			So(err, ShouldBeNil)
		}
	})
}

// Guards against a silence of one server that counts once for each of its requests: the
// server gets none for longer than it was silent, and is then used last.
func TestSilenceOfASoundServerCountsOnce(t *testing.T) {
	// maxSoundSilence is how long a sound server may be silent.
	const maxSoundSilence = 1700 * time.Millisecond
	// newSilent returns a fixture with one server that has been silent for silentPeriod,
	// and its slots in use.
	newSilent := func(count int) (*schedulerFixture, []Slot) {
		f := newSchedulerFixture()
		a := f.server("a", "palermo")
		a.Slots = 20
		f.setServers(a)
		var slots []Slot
		for range count {
			slot, err := f.scheduler.Acquire(t.Context(), f.request())
			So(err, ShouldBeNil)
			slots = append(slots, slot)
		}
		f.clock.Advance(silentPeriod)
		return f, slots
	}

	Convey("It may get a request once it has been silent for maxSoundSilence", t, func() {
		for _, count := range []int{1, 2, 14} {
			f, slots := newSilent(count)
			for _, slot := range slots {
				f.scheduler.Release(slot, Stalled)
				f.clock.Advance(10 * time.Millisecond)
			}
			waited := silentPeriod + time.Duration(count)*10*time.Millisecond
			for waited < 2*maxSoundSilence {
				if _, err := f.acquire(f.request()); err == nil {
					break
				}
				f.clock.Advance(10 * time.Millisecond)
				waited += 10 * time.Millisecond
			}
			So(waited, ShouldBeGreaterThanOrEqualTo, maxSoundSilence)
			So(waited, ShouldBeLessThanOrEqualTo, maxSoundSilence+250*time.Millisecond)
		}
	})

	Convey("It is used as before as soon as it goes on with a request that has not left", t, func() {
		f, slots := newSilent(14)
		for _, slot := range slots[1:] {
			f.scheduler.Release(slot, Stalled)
		}
		_, err := f.acquire(f.request())
		So(err, ShouldEqual, ErrFull)
		f.scheduler.RecordActivity(slots[0])
		for range 10 {
			_, err = f.acquire(f.request())
			So(err, ShouldBeNil)
		}
		So(f.scheduler.stateOf("a").health.Penalty(), ShouldBeLessThan, localPreference)
	})

	Convey("A server that stalls again before it has served a request stays in backoff, whatever it sends", t, func() {
		f, slots := newSilent(3)
		f.scheduler.Release(slots[0], Stalled)
		f.scheduler.RecordActivity(slots[1])
		f.clock.Advance(silentPeriod)
		f.scheduler.Release(slots[1], Stalled)
		for range int(maxBackoff/(100*time.Millisecond)) - 1 {
			f.clock.Advance(100 * time.Millisecond)
			f.scheduler.RecordActivity(slots[2])
			_, err := f.acquire(f.request())
			So(err, ShouldEqual, ErrFull)
		}
		f.clock.Advance(100 * time.Millisecond)
		_, err := f.acquire(f.request())
		So(err, ShouldBeNil)
	})

	Convey("One late response is no silence: the server is tried again soon", t, func() {
		f := newSchedulerFixture()
		f.setServers(f.server("a", "palermo"))
		slot, err := f.scheduler.Acquire(t.Context(), f.request())
		So(err, ShouldBeNil)
		f.clock.Advance(200 * time.Millisecond)
		f.scheduler.Release(slot, Stalled)
		f.clock.Advance(backoffFailed)
		_, err = f.acquire(f.request())
		So(err, ShouldBeNil)
	})

	Convey("A server that stays silent gets a request every 3 s at most", t, func() {
		const step, period = 10 * time.Millisecond, 30 * time.Second
		f, slots := newSilent(2)
		for _, slot := range slots {
			f.scheduler.Release(slot, Stalled)
		}
		count, inUse := 0, time.Duration(0)
		var probe Slot
		for waited := time.Duration(0); waited < period; waited += step {
			f.clock.Advance(step)
			if inUse > 0 {
				if inUse -= step; inUse <= 0 {
					f.scheduler.Release(probe, Stalled)
				}
				continue
			}
			if slot, err := f.scheduler.Acquire(t.Context(), f.request()); err == nil {
				probe, inUse = slot, 1200*time.Millisecond
				count++
			}
		}
		So(count, ShouldBeLessThanOrEqualTo, int(period/(3*time.Second)))
		So(count, ShouldBeGreaterThan, 5)
	})
}
