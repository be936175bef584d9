package configuration

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/request/ops"
	standin "github.com/rattanway/rattanway/standin/platform"
)

const (
	// tolerableDelay is a delay of each platform call with which changes still
	// succeed.
	tolerableDelay = 500 * time.Millisecond
	// excessiveDelay is a delay beyond the timeout of a platform call.
	excessiveDelay = 3 * time.Second
	// maxCallTime is the longest time that a client's call may take while the
	// platform is slow.
	maxCallTime = time.Second
)

// TestSlowPlatform delays every response of the platform. Clients' calls must take
// less than maxCallTime. If the responses arrive before the timeout, changes must
// come into force. Otherwise, changes must be refused as not applied.
func TestSlowPlatform(t *testing.T) {
	Convey("Given two entry instances, two services and a slow platform", t, func() {
		r := newRig(t, rigConfig{entryCount: 2, serviceCount: 2})
		r.awaitRegistered()
		first, err := r.apply(r.entries[0], 0, "first")
		So(err, ShouldBeNil)
		r.awaitInForce(first, startTimeout, r.daemons...)
		r.awaitResponseFrom(r.entries[0], r.agents[0])

		Convey("a change is in force within the bound, or refused, and calls are served meanwhile", func() {
			r.delayPlatform(tolerableDelay)
			begin := time.Now()
			second, err := r.apply(r.entries[0], first, "second", "east")
			So(err, ShouldBeNil)
			r.awaitInForce(second, propagationTimeout-time.Since(begin), r.daemons...)
			t.Logf("in force everywhere %s after the request, each platform call %s", time.Since(begin), tolerableDelay)
			So(r.callTime(), ShouldBeLessThan, maxCallTime)

			r.delayPlatform(excessiveDelay)
			_, err = r.apply(r.entries[0], second, "third", "north")
			So(problemType(err), ShouldEqual, ops.TypePlatformUnavailable)
			So(r.callTime(), ShouldBeLessThan, maxCallTime)

			r.delayPlatform(0)
			third, err := r.apply(r.entries[1], second, "third", "north")
			So(err, ShouldBeNil)
			So(third, ShouldEqual, second+1)
			r.awaitInForce(third, propagationTimeout, r.daemons...)
		})
	})
}

// delayPlatform delays each response of the platform by d.
func (r *rig) delayPlatform(d time.Duration) {
	r.t.Helper()
	millis := d.Milliseconds()
	r.setPlatformFaults(standin.FaultRequest{LatencyMillis: &millis})
}

// callTime makes one call and returns how long it took.
func (r *rig) callTime() time.Duration {
	begin := time.Now()
	_, err := r.call(r.entries[0])
	So(err, ShouldBeNil)
	return time.Since(begin)
}
