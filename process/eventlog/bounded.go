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
	// maxQueuedLines is the number of lines that may wait for a slow writer;
	// together they take about 1 MB.
	maxQueuedLines = 2048
	// maxLinesPerSecond limits the lines of each event. An entry instance serves
	// about 100 requests per second, so an event may have a line for each
	// request.
	maxLinesPerSecond = 150
	// maxLineBurst is the number of lines of an event that may be written at once
	// after a time without lines.
	maxLineBurst = 300
)

// NewBounded is like New, but the Logger never blocks its caller: a background
// goroutine writes the lines. Lines above the rate limit of their event are left
// out, and the field "leftOut" of the event's next line holds their number. If the
// queue is full because w is slow, further lines are dropped; the event
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
	// leftOutCount counts the lines left out since the last line that was written.
	leftOutCount atomic.Int64
}

// allow reports whether a line of event e may be written now. If so, leftOutCount
// is the number of lines of e that were left out since the last line that was
// written.
func (l *rateLimits) allow(e Event) (leftOutCount int64, ok bool) {
	v, found := l.byNumber.Load(e.Number)
	if !found {
		v, _ = l.byNumber.LoadOrStore(e.Number, &rateLimit{limiter: rate.NewLimiter(maxLinesPerSecond, maxLineBurst)})
	}
	limit := v.(*rateLimit)
	if !limit.limiter.Allow() {
		limit.leftOutCount.Add(1)
		return 0, false
	}
	return limit.leftOutCount.Swap(0), true
}

// queue holds a bounded number of lines until a background goroutine writes
// them.
type queue struct {
	lines chan []byte
	// droppedCount counts the lines dropped since the last report.
	droppedCount atomic.Int64
	// done is closed when the goroutine has ended.
	done      chan struct{}
	closeOnce sync.Once
	// closing is closed by Close.
	closing chan struct{}
}

func newQueue(w io.Writer) *queue {
	q := &queue{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{}), closing: make(chan struct{})}
	go q.run(w)
	return q
}

// Write queues a copy of line, or drops the line if the queue is full. It never
// blocks and returns no error.
func (q *queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.droppedCount.Add(1)
	}
	return len(line), nil
}

// run writes the queued lines to w. After Close it writes the lines that are still
// queued and returns.
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
	if n := q.droppedCount.Swap(0); n > 0 {
		if _, err := fmt.Fprintf(w, "{\"event\":611,\"level\":\"warning\",\"msg\":\"log-lines-dropped\",\"lines\":%d}\n", n); err != nil {
			q.droppedCount.Add(n)
		}
	}
	if _, err := w.Write(line); err != nil {
		// The error cannot be logged to w; the line is counted as dropped and
		// reported when a later write succeeds.
		q.droppedCount.Add(1)
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
