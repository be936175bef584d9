// Package eventlog writes log lines of numbered events through logrus. The
// catalogue holds the number, name, level and description of every event;
// docs/EVENTS.md lists them.
package eventlog

import (
	"io"
	"sort"
	"sync"

	"github.com/sirupsen/logrus"
)

// Event describes one kind of log line.
type Event struct {
	// Number is unique. Its first digit is the area: 1xx connection,
	// 2xx configuration, 3xx weights, 4xx agent, 5xx entry instance, 6xx process.
	Number int
	// Name is a short name in kebab case.
	Name string
	// Level is the level at which the event is written.
	Level logrus.Level
	// Description explains the event to operators.
	Description string
}

var (
	catalogueMu sync.Mutex
	// catalogue holds the defined events by number.
	catalogue = map[int]Event{}
)

// Define adds an event to the catalogue and returns the event. It panics if the
// number is already in use. That is a programming error, which shows at every
// start.
func Define(number int, name string, level logrus.Level, description string) Event {
	e := Event{Number: number, Name: name, Level: level, Description: description}
	catalogueMu.Lock()
	defer catalogueMu.Unlock()
	if other, ok := catalogue[number]; ok {
		panic("event number used twice: " + other.Name + " and " + name)
	}
	catalogue[number] = e
	return e
}

// Catalogue returns all defined events, sorted by number.
func Catalogue() []Event {
	catalogueMu.Lock()
	defer catalogueMu.Unlock()
	all := make([]Event, 0, len(catalogue))
	for _, e := range catalogue {
		all = append(all, e)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Number < all[j].Number })
	return all
}

// Fields holds the values of a log line by field name.
type Fields = logrus.Fields

// Logger writes events for one process.
type Logger struct {
	entry *logrus.Entry
	// limits holds the rate limits of the events; nil means no limits.
	limits *rateLimits
}

// New returns a Logger that writes events to w as JSON lines, each with process in
// the field "process". It leaves out events that are less severe than level.
func New(w io.Writer, level logrus.Level, process string) *Logger {
	l := logrus.New()
	l.SetOutput(w)
	l.SetLevel(level)
	l.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "2006-01-02T15:04:05.000000Z07:00"})
	return &Logger{entry: l.WithField("process", process)}
}

// Discard returns a Logger for tests that writes nothing.
func Discard() *Logger { return New(io.Discard, logrus.PanicLevel, "test") }

// With returns a Logger that adds the fields f to each line.
func (l *Logger) With(f Fields) *Logger {
	return &Logger{entry: l.entry.WithFields(f), limits: l.limits}
}

// Event writes a line for event e with the fields f.
func (l *Logger) Event(e Event, f Fields) {
	l.write(l.entry, e, f)
}

// EventWithError writes a line for event e with the error err and the fields f.
func (l *Logger) EventWithError(e Event, err error, f Fields) {
	l.write(l.entry.WithError(err), e, f)
}

// write writes a line for event e unless the logger's level or the rate limit of
// e excludes it.
func (l *Logger) write(entry *logrus.Entry, e Event, f Fields) {
	if !entry.Logger.IsLevelEnabled(e.Level) {
		return
	}
	if l.limits != nil {
		leftOutCount, ok := l.limits.allow(e)
		if !ok {
			return
		}
		if leftOutCount > 0 {
			entry = entry.WithField("leftOut", leftOutCount)
		}
	}
	entry.WithFields(f).WithField("event", e.Number).Log(e.Level, e.Name)
}
