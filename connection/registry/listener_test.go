package registry

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/connection/confsync"
	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/process/eventlog"
	"github.com/rattanway/rattanway/version/confstore"
)

// eventually reports whether cond returns true within 10 seconds.
func eventually(cond func() bool) bool {
	deadline := time.Now().Add(10 * time.Second)
	for time.Now().Before(deadline) {
		if cond() {
			return true
		}
		<-time.After(5 * time.Millisecond)
	}
	return false
}

func TestHeartbeat(t *testing.T) {
	Convey("Given an entry instance with a default heartbeat interval of one hour, and a registered agent", t, func() {
		registry := New()
		source := confsync.HolderSource{Holder: confstore.NewHolder()}
		hub := confsync.NewHub(source, eventlog.Discard())
		listener := NewListener(ListenerConfig{HeartbeatInterval: time.Hour}, registry, hub, source, nil, eventlog.Discard())
		server := httptest.NewServer(listener)
		defer server.Close()
		defer listener.Close()

		conn, err := frame.Dial(strings.TrimPrefix(server.URL, "http://"), Path, "peer-token", time.Second)
		So(err, ShouldBeNil)
		defer conn.Close()
		report := frame.Report{State: frame.StateReady, Limit: 4, HeartbeatMillis: 100}
		hello := frame.Hello{Instance: core.Instance{ID: "gpu-1"}, Incarnation: "i1", Report: report}
		So(conn.Send(frame.KindHello, hello), ShouldBeNil)
		var welcome frame.Welcome
		So(conn.Expect(frame.KindWelcome, &welcome, time.Now().Add(time.Second)), ShouldBeNil)
		isSuspect := func() bool {
			srv, ok := registry.Get("gpu-1")
			return ok && srv.Suspect
		}

		Convey("an agent that announced a heartbeat interval of 100 ms and sends no reports becomes suspect and is then removed", func() {
			So(eventually(isSuspect), ShouldBeTrue)
			So(eventually(func() bool { _, ok := registry.Get("gpu-1"); return !ok }), ShouldBeTrue)
		})
		Convey("a suspect agent that reports again is no longer suspect", func() {
			So(eventually(isSuspect), ShouldBeTrue)
			report.HeartbeatMillis = maxHeartbeatInterval.Milliseconds()
			So(conn.Send(frame.KindReport, report), ShouldBeNil)
			So(eventually(func() bool { return !isSuspect() }), ShouldBeTrue)
		})
	})
}
