package confsync

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/process/eventlog"
)

// TestReplayedFrames checks that an older configuration and notice, sent again by a
// peer or from a recording, change nothing and do not end the session.
func TestReplayedFrames(t *testing.T) {
	Convey("Given a process with version 4 in force and a peer that replays version 3", t, func() {
		old, current := newHolderAt(3), newHolderAt(4)
		ownEnd, peerEnd := connect(t)
		source := HolderSource{Holder: current}
		session := NewSession(NewHub(source, eventlog.Discard()), ownEnd, 3)
		defer session.Close()
		replayed, err := HolderSource{Holder: old}.Encode(0)
		So(err, ShouldBeNil)
		So(replayed.Number, ShouldEqual, 3)

		Convey("version 3, sent twice, is not put in force, and a notice of version 3 causes no pull", func() {
			for range 2 {
				So(peerEnd.Send(frame.KindConfig, replayed), ShouldBeNil)
			}
			So(peerEnd.Send(frame.KindNotice, frame.Notice{ConfigNumber: 3}), ShouldBeNil)
			for range 3 {
				f, err := ownEnd.Receive(time.Now().Add(responseTimeout))
				So(err, ShouldBeNil)
				handled, err := session.Handle(f)
				So(handled, ShouldBeTrue)
				So(err, ShouldBeNil)
				So(source.Number(), ShouldEqual, 4)
			}
			So(session.pull(), ShouldBeNil)
			f, err := peerEnd.Receive(time.Now().Add(responseTimeout))
			So(err, ShouldBeNil)
			So(f.Kind, ShouldEqual, frame.KindPull)
		})
	})
}
