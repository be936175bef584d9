package dispatch

import (
	"testing"
	"time"

	"github.com/go-faster/errors"
	. "github.com/smartystreets/goconvey/convey"
)

func TestStalledServerBehindASlowLink(t *testing.T) {
	// newFixture returns a fixture with one server, which has many free slots.
	newFixture := func() *schedulerFixture {
		f := newSchedulerFixture()
		a := f.server("a", "palermo")
		a.Slots = 100
		f.setServers(a)
		return f
	}
	newRequest := func(f *schedulerFixture) *Request {
		req := f.request()
		req.FirstByteObjective = 400 * time.Millisecond
		req.ArrivedAt = req.ArrivedAt.Add(-time.Second) // so long ago that the request may not wait for a slot
		return req
	}
	const quietTime = 601 * time.Millisecond // more than stallObjectiveFactor times the objective

	Convey("A server that sends nothing while requests run there gets no more requests until it sends something", t, func() {
		f := newFixture()
		first, err := f.scheduler.Acquire(t.Context(), newRequest(f))
		So(err, ShouldBeNil)
		f.clock.Advance(quietTime)
		_, err = f.acquire(newRequest(f))
		So(errors.Is(err, ErrFull), ShouldBeTrue)
		f.scheduler.RecordActivity(first)
		_, err = f.acquire(newRequest(f))
		So(err, ShouldBeNil)
	})

	Convey("A server without running requests is not stalled, although it sends nothing", t, func() {
		f := newFixture()
		first, err := f.scheduler.Acquire(t.Context(), newRequest(f))
		So(err, ShouldBeNil)
		f.clock.Advance(quietTime)
		f.scheduler.Release(first, Cancelled)
		_, err = f.acquire(newRequest(f))
		So(err, ShouldBeNil)
	})

	Convey("With a longer objective a server may send nothing for longer", t, func() {
		f := newFixture()
		newLongRequest := func() *Request {
			req := newRequest(f)
			req.FirstByteObjective = 3 * time.Second
			req.ArrivedAt = req.ArrivedAt.Add(-10 * time.Second)
			return req
		}
		_, err := f.acquire(newLongRequest())
		So(err, ShouldBeNil)
		f.clock.Advance(4 * time.Second)
		_, err = f.acquire(newLongRequest())
		So(err, ShouldBeNil)
	})

	Convey("Under full load a stalled server gets requests only until it counts as stalled, and not one for each slot", t, func() {
		f := newFixture()
		sentCount := 0
		for range 100 { // 50 requests per second for two seconds
			if _, err := f.acquire(newRequest(f)); err == nil {
				sentCount++
			}
			f.clock.Advance(20 * time.Millisecond)
		}
		So(sentCount, ShouldBeLessThanOrEqualTo, int(quietTime/(20*time.Millisecond))+1)
	})
}
