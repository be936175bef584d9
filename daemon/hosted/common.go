package hosted

import (
	"bytes"
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/oklog/run"
	"github.com/sirupsen/logrus"

	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/platform"
	"github.com/rattanway/rattanway/process/eventlog"
)

const (
	// settingsEvery is the time between two looks at the settings file, which
	// may change without a signal.
	settingsEvery = time.Second
	// stopMargin is left of the time between SIGTERM and SIGKILL.
	stopMargin = 500 * time.Millisecond
	// defaultStopGrace is assumed when the settings give none.
	defaultStopGrace = 8 * time.Second
)

var (
	eventStarted = eventlog.Define(620, "hosted-started", logrus.InfoLevel,
		"A process on the users' platform has started; fields give its settings.")
	eventStopping = eventlog.Define(621, "hosted-stopping", logrus.InfoLevel,
		"The process was asked to stop; it takes no new connections soon and ends what is running.")
	eventStopped = eventlog.Define(622, "hosted-stopped", logrus.InfoLevel,
		"The process ends; fields give the requests that were still running.")
	eventReloaded = eventlog.Define(623, "hosted-settings", logrus.InfoLevel,
		"The settings file was read again; a file that is wrong is left unused.")
	eventReady = eventlog.Define(624, "hosted-ready", logrus.InfoLevel,
		"This entry instance changed whether it takes new connections.")
	eventEntries = eventlog.Define(625, "hosted-entries", logrus.InfoLevel,
		"This entry instance has written its address to the store and read those of the others.")
	eventServer = eventlog.Define(626, "hosted-server-error", logrus.WarnLevel,
		"The HTTP server reports an error on a connection.")
)

// Options are the settings that come from the command line.
type Options struct {
	// SettingsPath is the platform's settings file.
	SettingsPath string
	// Token authenticates our processes to each other.
	Token string
	// MetricsPort is where the metrics are served; 0 for nowhere.
	MetricsPort int
	// Level is the least level that is logged.
	Level logrus.Level
	// Out takes the log.
	Out io.Writer
}

// stopGrace is how long a process may take to stop.
func stopGrace(s *platform.Settings) time.Duration {
	grace := time.Duration(s.Bounds.StopGraceS * float64(time.Second))
	if grace <= 0 {
		grace = defaultStopGrace
	}
	return max(time.Second, grace-stopMargin)
}

// addRunner adds a part that runs until its context ends.
func addRunner(g *run.Group, f func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error { return f(ctx) }, func(error) { cancel() })
}

// addStop adds the wait for SIGTERM or SIGINT; stop then ends what is running.
func addStop(g *run.Group, log *eventlog.Logger, stop func()) {
	done := make(chan struct{})
	g.Add(func() error {
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
		defer signal.Stop(signals)
		select {
		case s := <-signals:
			log.Event(eventStopping, eventlog.Fields{"signal": s.String()})
			stop()
		case <-done:
		}
		return nil
	}, func(error) { close(done) })
}

// follower reads the settings file again when it changes.
type follower struct {
	path   string
	log    *eventlog.Logger
	before []byte
	apply  func(platform.Settings)
}

// followSettings returns a follower of the file at path, which has been read.
func followSettings(path string, log *eventlog.Logger, apply func(platform.Settings)) (*follower, error) {
	raw, err := os.ReadFile(path)
	return &follower{path: path, log: log, before: raw, apply: apply}, core.Step("read settings", "", err)
}

// Run looks at the file on SIGHUP and now and then until ctx ends.
func (f *follower) Run(ctx context.Context) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	ticker := time.NewTicker(settingsEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-signals:
			f.look("signal")
		case <-ticker.C:
			f.look("file changed")
		}
	}
}

// look reads the file and applies it if it changed and is right.
func (f *follower) look(why string) {
	raw, err := os.ReadFile(f.path)
	if err != nil {
		f.log.Fail(eventReloaded, err, eventlog.Fields{"why": why, "applied": false})
		return
	}
	if bytes.Equal(raw, f.before) {
		if why == "signal" {
			f.log.Event(eventReloaded, eventlog.Fields{"why": why, "changed": false})
		}
		return
	}
	f.before = raw
	s, err := platform.ReadSettings(f.path)
	if err != nil {
		f.log.Fail(eventReloaded, err, eventlog.Fields{"why": why, "applied": false})
		return
	}
	f.apply(s)
	f.log.Event(eventReloaded, eventlog.Fields{"why": why, "changed": true, "applied": true})
}
