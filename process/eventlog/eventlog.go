// Package eventlog writes numbered events through logrus. Each event has a
// number, a name and a meaning in the catalogue; docs/EVENTS.md lists them.
package eventlog

import (
	"io"
	"sort"
	"sync"

	"github.com/sirupsen/logrus"
)

// Event is one numbered kind of log line.
type Event struct {
	// Number is unique: 1xx connection, 2xx configuration, 3xx weights,
	// 4xx agent, 5xx entry, 6xx process.
	Number int
	// Name is a short kebab-case name.
	Name string
	// Level is the level at which the event is written.
	Level logrus.Level
	// Meaning tells an operator what happened.
	Meaning string
}

var (
	catalogueMu sync.Mutex
	catalogue   = map[int]Event{}
)

// Define adds an event to the catalogue. It panics on a number used twice,
// which is a programming error found at start-up.
func Define(number int, name string, level logrus.Level, meaning string) Event {
	e := Event{Number: number, Name: name, Level: level, Meaning: meaning}
	catalogueMu.Lock()
	defer catalogueMu.Unlock()
	if old, ok := catalogue[number]; ok {
		panic("event number used twice: " + old.Name + " and " + name)
	}
	catalogue[number] = e
	return e
}

// Catalogue returns every defined event in the order of its number.
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

// Fields are the typed values of a log line, by name.
type Fields = logrus.Fields

// Logger writes events for one process.
type Logger struct {
	entry *logrus.Entry
	// limits bound the lines; nil for no bound.
	limits *limits
}

// New returns a Logger that writes JSON lines to w, each naming the process.
func New(w io.Writer, level logrus.Level, process string) *Logger {
	l := logrus.New()
	l.SetOutput(w)
	l.SetLevel(level)
	l.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "2006-01-02T15:04:05.000000Z07:00"})
	return &Logger{entry: l.WithField("process", process)}
}

// Discard returns a Logger that writes nothing, for tests.
func Discard() *Logger { return New(io.Discard, logrus.PanicLevel, "test") }

// With returns a Logger that adds fields to each line.
func (l *Logger) With(f Fields) *Logger {
	return &Logger{entry: l.entry.WithFields(f), limits: l.limits}
}

// Event writes one line for e.
func (l *Logger) Event(e Event, f Fields) {
	l.write(l.entry, e, f)
}

// Fail writes one line for e with the error err.
func (l *Logger) Fail(e Event, err error, f Fields) {
	l.write(l.entry.WithError(err), e, f)
}

// write writes a line unless its level or rate leaves it out.
func (l *Logger) write(entry *logrus.Entry, e Event, f Fields) {
	if !entry.Logger.IsLevelEnabled(e.Level) {
		return
	}
	if l.limits != nil {
		leftOut, ok := l.limits.admit(e)
		if !ok {
			return
		}
		if leftOut > 0 {
			entry = entry.WithField("leftOut", leftOut)
		}
	}
	entry.WithFields(f).WithField("event", e.Number).Log(e.Level, e.Name)
}
