package confsync

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/process/eventlog"
	"github.com/rattanway/rattanway/version/confstore"
	"github.com/rattanway/rattanway/version/declare"
)

// responseTimeout limits the time to connect to a peer and to receive a frame.
const responseTimeout = 5 * time.Second

// connect returns the dialling and the accepting end of a connection.
func connect(t *testing.T) (*frame.Conn, *frame.Conn) {
	t.Helper()
	accepted := make(chan *frame.Conn, 1)
	web := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn, err := frame.Accept(w, r); err == nil {
			accepted <- conn
		}
	}))
	t.Cleanup(web.Close)
	dialling, err := frame.Dial(strings.TrimPrefix(web.URL, "http://"), "/", "token", responseTimeout)
	if err != nil {
		t.Fatal(err)
	}
	accepting := <-accepted
	t.Cleanup(func() {
		_ = dialling.Close()
		_ = accepting.Close()
	})
	return dialling, accepting
}

// newHolderAt returns a holder with the version of the given number in force.
func newHolderAt(number uint64) *confstore.Holder {
	set := declare.NewSet()
	set.Regions["west"] = &declare.Region{Name: "west"}
	_, digest, err := declare.Encode(set)
	So(err, ShouldBeNil)
	h := confstore.NewHolder()
	h.Offer(&declare.Snapshot{Number: number, Digest: digest, Set: set})
	return h
}

// pullFromPeer lets a process that holds version ownVersion pull from a peer that
// holds version peerVersion, and returns the holder of the process after the
// response. mayConfirm sets whether the peer may confirm versions.
func pullFromPeer(t *testing.T, ownVersion, peerVersion uint64, mayConfirm bool) *confstore.Holder {
	t.Helper()
	ownEnd, peerEnd := connect(t)
	ownHolder, peerHolder := newHolderAt(ownVersion), newHolderAt(peerVersion)
	ownHub := NewHub(HolderSource{Holder: ownHolder}, eventlog.Discard())
	peerHub := NewHub(HolderSource{Holder: peerHolder}, eventlog.Discard())
	peerHub.ConfirmPeersWhen(func() bool { return mayConfirm })
	ownSession := NewSession(ownHub, ownEnd, 0)
	peerSession := NewSession(peerHub, peerEnd, 0)

	ownHub.PullFromPeers()
	pull, err := peerEnd.Receive(time.Now().Add(responseTimeout))
	So(err, ShouldBeNil)
	_, err = peerSession.Handle(pull)
	So(err, ShouldBeNil)
	response, err := ownEnd.Receive(time.Now().Add(responseTimeout))
	So(err, ShouldBeNil)
	_, err = ownSession.Handle(response)
	So(err, ShouldBeNil)
	return ownHolder
}

func TestConfirmationByPeer(t *testing.T) {
	Convey("Given a process that pulls the version of a peer", t, func() {
		Convey("a peer that may confirm versions and has the same version in force confirms it", func() {
			_, ok := pullFromPeer(t, 4, 4, true).ConfirmationAge()
			So(ok, ShouldBeTrue)
		})
		Convey("a peer that may not confirm versions, because it was paused as well, confirms nothing", func() {
			_, ok := pullFromPeer(t, 4, 4, false).ConfirmationAge()
			So(ok, ShouldBeFalse)
		})
		Convey("a newer version from a peer that was paused is put in force, but not confirmed", func() {
			h := pullFromPeer(t, 4, 5, false)
			So(h.Current().Number, ShouldEqual, 5)
			_, ok := h.ConfirmationAge()
			So(ok, ShouldBeFalse)
		})
		Convey("a newer version from a peer that may confirm versions is put in force and confirmed", func() {
			h := pullFromPeer(t, 4, 5, true)
			So(h.Current().Number, ShouldEqual, 5)
			_, ok := h.ConfirmationAge()
			So(ok, ShouldBeTrue)
		})
	})
}
