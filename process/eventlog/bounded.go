package eventlog

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
)

const (
	// queueLines is how many lines may wait for a slow reader, about 1 MB.
	queueLines = 2048
	// linesPerSecond and linesBurst bound the lines of one event: an entry
	// instance answers about 100 requests a second.
	linesPerSecond = 150
	linesBurst     = 300
)

// NewBounded returns a Logger like New whose lines never block the caller: each
// event has a rate, and lines beyond it, or beyond a reader that does not read,
// are counted and left out. The next line of the event says how many in its
// field "leftOut". Close writes what is queued.
func NewBounded(w io.Writer, level logrus.Level, process string) (*Logger, io.Closer) {
	q := newQueue(w)
	l := New(q, level, process)
	l.limits = &limits{}
	return l, q
}

// limits bound the lines of each event.
type limits struct {
	events sync.Map
}

// limit is the bound of one event.
type limit struct {
	rate    *rate.Limiter
	leftOut atomic.Int64
}

// admit reports whether a line may be written, and how many were left out
// before it.
func (l *limits) admit(e Event) (leftOut int64, ok bool) {
	v, found := l.events.Load(e.Number)
	if !found {
		v, _ = l.events.LoadOrStore(e.Number, &limit{rate: rate.NewLimiter(linesPerSecond, linesBurst)})
	}
	one := v.(*limit)
	if !one.rate.Allow() {
		one.leftOut.Add(1)
		return 0, false
	}
	return one.leftOut.Swap(0), true
}

// queue hands lines to a writer in the background.
type queue struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	once    sync.Once
	closing chan struct{}
}

func newQueue(w io.Writer) *queue {
	q := &queue{lines: make(chan []byte, queueLines), done: make(chan struct{}), closing: make(chan struct{})}
	go q.run(w)
	return q
}

// Write implements io.Writer; it never blocks.
func (q *queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// run writes lines until Close.
func (q *queue) run(w io.Writer) {
	defer close(q.done)
	for {
		select {
		case line := <-q.lines:
			q.write(w, line)
		case <-q.closing:
			for {
				select {
				case line := <-q.lines:
					q.write(w, line)
				default:
					return
				}
			}
		}
	}
}

// write writes a line, after one that says how many were dropped.
func (q *queue) write(w io.Writer, line []byte) {
	if n := q.dropped.Swap(0); n > 0 {
		if _, err := fmt.Fprintf(w, "{\"event\":611,\"level\":\"warning\",\"msg\":\"log-lines-dropped\",\"lines\":%d}\n", n); err != nil {
			q.dropped.Add(n)
		}
	}
	if _, err := w.Write(line); err != nil {
		// There is nowhere left to tell it; the count shows once the reader
		// is back.
		q.dropped.Add(1)
	}
}

var _ = Define(611, "log-lines-dropped", logrus.WarnLevel,
	"The reader of the log was too slow; the field gives the number of lines that were dropped.")

// Close writes what is queued and ends the writer.
func (q *queue) Close() error {
	q.once.Do(func() { close(q.closing) })
	<-q.done
	return nil
}
