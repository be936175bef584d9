package hosted

import (
	"bytes"
	"context"
	"io"
	"os"
	"os/signal"
	"reflect"
	"syscall"
	"time"

	"github.com/oklog/run"
	"github.com/sirupsen/logrus"

	"github.com/rattanway/rattanway/platform"
	"github.com/rattanway/rattanway/process/eventlog"
)

const (
	// settingsPollInterval is the time between two checks of the settings file.
	// The platform may change the file without sending a signal.
	settingsPollInterval = time.Second
	// stopMargin is the time that must remain until SIGKILL when a process has
	// stopped.
	stopMargin = 500 * time.Millisecond
	// defaultStopGrace is the time from SIGTERM to SIGKILL if the settings
	// contain none.
	defaultStopGrace = 8 * time.Second
)

var (
	eventStarted = eventlog.Define(620, "hosted-started", logrus.InfoLevel,
		"A process on the users' platform has started; fields give its settings.")
	eventStopping = eventlog.Define(621, "hosted-stopping", logrus.InfoLevel,
		"The process received a signal to stop; it soon accepts no new connections and completes the running requests.")
	eventStopped = eventlog.Define(622, "hosted-stopped", logrus.InfoLevel,
		"The process exits; on entry instances, a field gives the number of requests that were still running. A line with an error precedes this if connections were still open at the end of the grace: those without a complete head of a request (connsNew), those with a request in progress (connsActive), and idle ones (connsIdle).")
	eventSettingsReloaded = eventlog.Define(623, "hosted-settings", logrus.InfoLevel,
		"The settings file was read again; an invalid file is not applied. needRestart names the changed settings that take effect at the next start.")
	eventReady = eventlog.Define(624, "hosted-ready", logrus.InfoLevel,
		"This entry instance started or stopped reporting that it is ready for new connections.")
	eventEntries = eventlog.Define(625, "hosted-entries", logrus.InfoLevel,
		"This entry instance has written its address to the store and read the addresses of the others. If the line has an error, this failed and is tried again.")
	eventServerError = eventlog.Define(626, "hosted-server-error", logrus.WarnLevel,
		"The HTTP server for clients reported an error on a connection.")
	eventClientLimits = eventlog.Define(627, "hosted-client-limits", logrus.InfoLevel,
		"Other limits of client connections are in force. Fields give the declared ones (0 for none) and the number of open connections (conns), to which they apply too.")
	eventCrowd = eventlog.Define(628, "hosted-connections-closed", logrus.WarnLevel,
		"More connections of clients are open than memory and descriptors allow; those that have gone longest without sending a complete head of a request are closed. Fields give the number of open ones, the limit, and how many are closed now; at most one line is written in 10 s.")
)

// Options holds the settings from the command line.
type Options struct {
	// SettingsPath is the path of the settings file that the platform writes.
	SettingsPath string
	// Token authenticates the processes of this system to each other.
	Token string
	// MetricsPort is the port that serves the metrics; 0 disables them.
	MetricsPort int
	// Level is the least severe level that is logged.
	Level logrus.Level
	// Out receives the log lines.
	Out io.Writer
}

// stopGrace returns how long a process may take to stop after SIGTERM.
func stopGrace(s *platform.Settings) time.Duration {
	grace := time.Duration(s.Bounds.StopGraceS * float64(time.Second))
	if grace <= 0 {
		grace = defaultStopGrace
	}
	return max(time.Second, grace-stopMargin)
}

// addRunner adds to the group an actor that calls runner. The context of runner
// ends when the group stops.
func addRunner(g *run.Group, runner func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error { return runner(ctx) }, func(error) { cancel() })
}

// processSignals receives the signals to the process until it exits.
type processSignals struct {
	// stop receives SIGTERM and SIGINT, reload SIGHUP.
	stop, reload chan os.Signal
}

// receiveSignals returns the signals to the process from now on. The default action of a
// signal that comes before ends the process.
func receiveSignals() processSignals {
	s := processSignals{make(chan os.Signal, 1), make(chan os.Signal, 1)}
	signal.Notify(s.stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reload, syscall.SIGHUP)
	return s
}

// addStop adds to the group an actor that calls drain at SIGTERM or SIGINT and stops the
// group once drain has returned.
func (s processSignals) addStop(g *run.Group, log *eventlog.Logger, drain func()) {
	done := make(chan struct{})
	g.Add(func() error {
		select {
		case s := <-s.stop:
			log.Event(eventStopping, eventlog.Fields{"signal": s.String()})
			drain()
		case <-done:
		}
		return nil
	}, func(error) { close(done) })
}

// settingsWatcher reads the settings file again when it changes.
type settingsWatcher struct {
	path string
	log  *eventlog.Logger
	// content is the content of the file at the last successful read.
	content []byte
	// current holds the settings that are in effect.
	current platform.Settings
	apply   func(platform.Settings)
	// signals receives a value when the process is told to read the file again.
	signals <-chan os.Signal
}

// newSettingsWatcher returns a settingsWatcher of the file at path. current holds the
// settings that the process has read; the file may have changed since.
func newSettingsWatcher(path string, current platform.Settings, signals <-chan os.Signal, log *eventlog.Logger, apply func(platform.Settings)) *settingsWatcher {
	return &settingsWatcher{path: path, log: log, current: current, apply: apply, signals: signals}
}

// Run checks the file on SIGHUP and at each settingsPollInterval until ctx ends.
func (w *settingsWatcher) Run(ctx context.Context) error {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	w.reload("start")
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-w.signals:
			w.reload("signal")
		case <-ticker.C:
			w.reload("file changed")
		}
	}
}

// reload reads the file and applies it if it has changed and is valid. cause is
// logged.
func (w *settingsWatcher) reload(cause string) {
	raw, err := os.ReadFile(w.path)
	if err != nil {
		w.log.EventWithError(eventSettingsReloaded, err, eventlog.Fields{"why": cause, "applied": false})
		return
	}
	s := w.current
	if !bytes.Equal(raw, w.content) {
		w.content = raw
		if s, err = platform.ReadSettings(w.path); err != nil {
			w.log.EventWithError(eventSettingsReloaded, err, eventlog.Fields{"why": cause, "applied": false})
			return
		}
	}
	if reflect.DeepEqual(s, w.current) {
		if cause == "signal" {
			w.log.Event(eventSettingsReloaded, eventlog.Fields{"why": cause, "changed": false})
		}
		return
	}
	needRestart := fieldsThatNeedRestart(w.current, s)
	w.current = s
	w.apply(s)
	w.log.Event(eventSettingsReloaded, eventlog.Fields{"why": cause, "changed": true, "applied": true, "needRestart": needRestart})
}

// fieldsThatNeedRestart returns the names of the fields that differ and take effect only
// at the next start of the process.
func fieldsThatNeedRestart(old, changed platform.Settings) []string {
	appliedAtOnce := map[string]bool{"EntryAddrs": true, "Store": true}
	var names []string
	a, b := reflect.ValueOf(old), reflect.ValueOf(changed)
	for i := range a.NumField() {
		name := a.Type().Field(i).Name
		if !appliedAtOnce[name] && !reflect.DeepEqual(a.Field(i).Interface(), b.Field(i).Interface()) {
			names = append(names, name)
		}
	}
	return names
}
