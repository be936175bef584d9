package freshness

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/process/eventlog"
	"github.com/rattanway/rattanway/process/pause"
)

func TestFreshAfterAStart(t *testing.T) {
	Convey("Given a process that has just started", t, func() {
		var age time.Duration
		confirmed := false
		requests := make(chan struct{}, 100)
		gate := New(pause.New(eventlog.Discard()),
			func() (time.Duration, bool) { return age, confirmed },
			func() { requests <- struct{}{} })

		Convey("it requests a confirmation, may not act on its configuration, and may not confirm that of a peer", func() {
			So(gate.Fresh(), ShouldBeFalse)
			So(gate.MayConfirmPeers(), ShouldBeFalse)
			<-requests
		})
		Convey("a confirmation from before the start does not count", func() {
			confirmed, age = true, time.Hour
			So(gate.Fresh(), ShouldBeFalse)
		})
		Convey("once confirmed, it may act on its configuration and confirm that of a peer", func() {
			confirmed = true
			So(gate.Fresh(), ShouldBeTrue)
			So(gate.MayConfirmPeers(), ShouldBeTrue)
		})
		Convey("without a confirmation, it may act on its configuration after confirmTimeout, but may not confirm that of a peer", func() {
			gate.waitingSince = gate.waitingSince.Add(-2 * confirmTimeout)
			So(gate.Fresh(), ShouldBeTrue)
			So(gate.MayConfirmPeers(), ShouldBeFalse)
		})
	})
}
