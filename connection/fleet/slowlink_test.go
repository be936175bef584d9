package fleet

import (
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/test/slowlink"
	"github.com/rattanway/rattanway/test/wait"
)

// Guards against an agent that never learns of new weights in a large deployment, because each
// fleet message takes longer than the time after which a silent connection is closed.
func TestLargeFleetMessageOnASlowLink(t *testing.T) {
	Convey("A fleet message that takes longer than receiveTimeout arrives on the first connection", t, func() {
		e := newTestEntry(t)
		e.hub.cfg.DataCentre = strings.Repeat("d", int(2*receiveTimeout/time.Second)*slowlink.BytesPerSecond)
		link := slowlink.New(t, e.server.Listener.Addr().String())
		a := newTestAgentOf(t, "a", link.Addr())
		So(wait.Until(func() bool {
			return a.fleetMeets(func(f frame.Fleet) bool { return f.DataCentre == e.hub.cfg.DataCentre })
		}), ShouldBeTrue)
		So(link.ConnectionCount(), ShouldEqual, 1)
	})
}
