package configuration

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/request/ops"
)

const (
	// platformDelay is the delay that is added to each platform call.
	platformDelay = 60 * time.Millisecond
	// applyDuration is about how long an apply takes with platformDelay.
	applyDuration = 8 * platformDelay
)

// TestEntryKilledInAnApply kills an entry instance at a random moment while it
// carries out an apply. The operator retries the change through another entry
// instance.
func TestEntryKilledInAnApply(t *testing.T) {
	Convey("Given two entry instances and a platform with some delay", t, func() {
		r := newRig(t, rigConfig{entryCount: 2, agentCount: 1})
		r.awaitRegistered()
		number, err := r.apply(r.entries[1], 0, "first")
		So(err, ShouldBeNil)
		r.delayPlatform(platformDelay)
		rng := rand.New(rand.NewPCG(seed(), 1))

		Convey("a change that is retried through the other entry instance is in the history once", func() {
			accepted := 0
			for n := range rounds(4) {
				id := fmt.Sprintf("change-%d", n)
				first := make(chan error, 1)
				go func() {
					_, err := r.apply(r.entries[0], number, id, id)
					first <- err
				}()
				<-time.After(time.Duration(rng.Int64N(int64(applyDuration))))
				r.kill(r.entries[0])
				if <-first == nil {
					accepted++
				}
				next, err := r.apply(r.entries[1], number, id, id)
				So(err, ShouldBeNil)
				So(next, ShouldEqual, number+1)
				number = next
				r.start(r.entries[0])
				r.awaitInForce(number, startTimeout, r.daemons...)
			}
			t.Logf("%d of %d changes were accepted before the kill", accepted, number-1)
			history, err := r.operatorClient(r.entries[1]).History(t.Context(), 1000)
			So(err, ShouldBeNil)
			So(len(history.Entries), ShouldEqual, int(number))
		})
	})
}

// TestEntryCutOffFromThePlatform runs one entry instance that never reaches the
// platform and others that reach it.
func TestEntryCutOffFromThePlatform(t *testing.T) {
	Convey("Given an entry instance that cannot reach the platform", t, func() {
		r := newRig(t, rigConfig{entryCount: 2, agentCount: 2})
		r.awaitRegistered()
		first, err := r.apply(r.entries[0], 0, "first")
		So(err, ShouldBeNil)
		isolated := r.addProcess("entry-cut", "entry", 1, "--platform", unreachableAddr, "--entries", r.entriesSetting())
		r.must(r.register(isolated))
		r.start(isolated)
		r.awaitInForce(first, peerTimeout, isolated)

		Convey("the entry instance follows each change within the bound and refuses to apply one", func() {
			second, err := r.apply(r.entries[0], first, "second", "east")
			So(err, ShouldBeNil)
			r.awaitInForce(second, propagationTimeout, r.daemons...)
			_, err = r.apply(isolated, second, "third", "north")
			So(problemType(err), ShouldEqual, ops.TypePlatformUnavailable)
		})
	})
}
