package hosted

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/oklog/run"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/platform"
	"github.com/rattanway/rattanway/process/eventlog"
)

// Guards against processes that a signal ends while they start.
func TestSignalsDuringTheStart(t *testing.T) {
	Convey("Signals that come before the components run are handled once they do", t, func() {
		signals := receiveSignals()
		for _, sig := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM} {
			So(syscall.Kill(os.Getpid(), sig), ShouldBeNil)
		}
		var g run.Group
		drained := false
		log := eventlog.Discard()
		path := filepath.Join(t.TempDir(), "settings.json")
		watcher := newSettingsWatcher(path, platform.Settings{}, signals.reload, log, func(platform.Settings) {})
		addRunner(&g, watcher.Run)
		signals.addStop(&g, log, func() { drained = true })
		So(g.Run(), ShouldBeNil)
		So(drained, ShouldBeTrue)
	})
}
