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
	// queueLines is how many lines may wait for a slow writer, about 1 MB.
	queueLines = 2048
	// linesPerSecond and linesBurst limit the lines of each event: an entry
	// instance serves about 100 requests a second.
	linesPerSecond = 150
	linesBurst     = 300
)

// NewBounded is like New, but the Logger never blocks its caller: a background
// goroutine writes the lines. Lines above the rate limit of their event are left
// out, and the field "leftOut" of the event's next line holds their number. Lines
// are dropped while the queue is full because w is slow; the event
// log-lines-dropped reports their number. Closing the Closer writes the queued
// lines and ends the goroutine.
func NewBounded(w io.Writer, level logrus.Level, process string) (*Logger, io.Closer) {
	q := newQueue(w)
	l := New(q, level, process)
	l.limits = &rateLimits{}
	return l, q
}

// rateLimits holds the rate limit of each event.
type rateLimits struct {
	// byNumber maps the number of an event to its *rateLimit.
	byNumber sync.Map
}

// rateLimit is the rate limit of one event.
type rateLimit struct {
	limiter *rate.Limiter
	// leftOut counts the lines left out since the last line that was written.
	leftOut atomic.Int64
}

// allow reports whether a line of event e may be written now, and how many
// lines of e were left out since the last one.
func (l *rateLimits) allow(e Event) (leftOut int64, ok bool) {
	v, found := l.byNumber.Load(e.Number)
	if !found {
		v, _ = l.byNumber.LoadOrStore(e.Number, &rateLimit{limiter: rate.NewLimiter(linesPerSecond, linesBurst)})
	}
	limit := v.(*rateLimit)
	if !limit.limiter.Allow() {
		limit.leftOut.Add(1)
		return 0, false
	}
	return limit.leftOut.Swap(0), true
}

// queue is a bounded queue of lines that a background goroutine writes.
type queue struct {
	lines chan []byte
	// dropped counts the lines dropped since the last report.
	dropped atomic.Int64
	// done is closed when the goroutine has ended.
	done      chan struct{}
	closeOnce sync.Once
	// closing is closed by Close.
	closing chan struct{}
}

func newQueue(w io.Writer) *queue {
	q := &queue{lines: make(chan []byte, queueLines), done: make(chan struct{}), closing: make(chan struct{})}
	go q.run(w)
	return q
}

// Write queues a copy of line, or drops the line if the queue is full. It never
// blocks and returns no error.
func (q *queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// run writes the queued lines to w until Close, then those still queued.
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

// write writes a line to w. If lines were dropped, it first writes an event with
// their number.
func (q *queue) write(w io.Writer, line []byte) {
	if n := q.dropped.Swap(0); n > 0 {
		if _, err := fmt.Fprintf(w, "{\"event\":611,\"level\":\"warning\",\"msg\":\"log-lines-dropped\",\"lines\":%d}\n", n); err != nil {
			q.dropped.Add(n)
		}
	}
	if _, err := w.Write(line); err != nil {
		// The error cannot be logged to w; the line is counted as dropped and
		// reported when a later write succeeds.
		q.dropped.Add(1)
	}
}

var _ = Define(611, "log-lines-dropped", logrus.WarnLevel,
	"The log output was too slow; the field gives the number of lines that were dropped.")

// Close writes the queued lines and returns when the goroutine has ended.
func (q *queue) Close() error {
	q.closeOnce.Do(func() { close(q.closing) })
	<-q.done
	return nil
}
