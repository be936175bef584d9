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
	"github.com/rattanway/rattanway/test/slowlink"
	"github.com/rattanway/rattanway/test/wait"
	"github.com/rattanway/rattanway/version/confstore"
)

// Guards against the end of a registration while a large frame of the agent, such as a
// configuration, arrives over a busy link.
func TestLargeFrameOfAnAgentOnASlowLink(t *testing.T) {
	Convey("A frame that takes longer than goneAfterHeartbeats heartbeat intervals arrives, and the agent stays registered", t, func() {
		const heartbeat = 500 * time.Millisecond
		registry := New()
		source := confsync.HolderSource{Holder: confstore.NewHolder()}
		listener := NewListener(ListenerConfig{}, registry, confsync.NewHub(source, eventlog.Discard()), source, nil, eventlog.Discard())
		server := httptest.NewServer(listener)
		defer server.Close()
		defer listener.Close()
		link := slowlink.New(t, server.Listener.Addr().String())

		conn, err := frame.Dial(link.Addr(), Path, "peer-token", time.Second)
		So(err, ShouldBeNil)
		defer func() { _ = conn.Close() }()
		report := frame.Report{State: frame.StateReady, Limit: 4, HeartbeatMillis: heartbeat.Milliseconds()}
		So(conn.Send(frame.KindHello, frame.Hello{Instance: core.Instance{ID: "gpu-1"}, Incarnation: "i1", Report: report}), ShouldBeNil)
		var welcome frame.Welcome
		So(conn.Expect(frame.KindWelcome, &welcome, time.Now().Add(10*time.Second)), ShouldBeNil)
		// The agent is registered after the Welcome frame.
		isRegistered := func() bool { _, ok := registry.Get("gpu-1"); return ok }
		So(wait.Until(isRegistered), ShouldBeTrue)
		registered, _ := registry.Get("gpu-1")

		large := strings.Repeat("m", int(2*goneAfterHeartbeats*heartbeat/time.Second)*slowlink.BytesPerSecond)
		report.Limit, report.LoadedChanged, report.Loaded = 5, true, []frame.LoadedVersion{{Model: large, Version: "1"}}
		So(conn.Send(frame.KindReport, report), ShouldBeNil)
		So(wait.Until(func() bool {
			current, ok := registry.Get("gpu-1")
			return !ok || current.Report.Limit == 5
		}), ShouldBeTrue)
		current, ok := registry.Get("gpu-1")
		So(ok, ShouldBeTrue)
		So(current.RegistrationNumber, ShouldEqual, registered.RegistrationNumber)
	})
}
