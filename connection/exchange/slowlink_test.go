package exchange

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/test/slowlink"
	"github.com/rattanway/rattanway/test/wait"
	"github.com/rattanway/rattanway/version/catalog"
)

// Guards against an instance that never gets a large table from its peers, because each transfer
// takes longer than the time after which a silent connection is closed.
func TestLargeTableOnASlowLink(t *testing.T) {
	Convey("A table that takes longer than receiveTimeout arrives on the first connection", t, func() {
		a, b := newIdleTestInstance(t, "a"), newIdleTestInstance(t, "b")
		link := slowlink.New(t, b.cfg.Self.Addr)
		b.cfg.Self.Addr = link.Addr()
		value := make([]byte, slowlink.BytesPerSecond*int(2*receiveTimeout/time.Second))
		a.declaredFollower.AdoptIfNewer(catalog.TableContent{
			Rows: []catalog.Row{{Key: "config", Value: value, Revision: 7}}, ChangeRevision: 7, ReadRevision: 9,
		}, "store")
		a.start()
		b.start()
		a.AddPeer(link.Addr(), "")
		So(wait.Until(func() bool { return b.holder.Current().Config != nil }), ShouldBeTrue)
		So(b.holder.Current().Config.Version, ShouldEqual, 7)
		So(link.ConnectionCount(), ShouldEqual, 1)
	})
}
