package forward

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/go-faster/errors"

	"github.com/rattanway/rattanway/request/dispatch"
	"github.com/rattanway/rattanway/version/catalog"
)

// eventStream is the media type of a stream of events.
const eventStream = "text/event-stream"

// maxEventBytes bounds one event; those of the services are about 100 bytes.
const maxEventBytes = 1 << 20

// Errors of streams.
var (
	errPartEvent = errors.New("stream ends within an event")
	errEventLong = errors.New("event is too long")
	errEventGap  = errors.New("event does not follow the last one")
	errMoved     = errors.New("server changes its weights")
)

// streams reports whether an answer is a stream of events.
func (c *call) streams(resp *http.Response) bool {
	return c.route.Kind == catalog.KindStream && resp.StatusCode == http.StatusOK &&
		strings.HasPrefix(resp.Header.Get("Content-Type"), eventStream)
}

// stream passes whole events on as they come.
func (c *call) stream(ctx context.Context, resp *http.Response, place dispatch.Place, watch *watch) result {
	r := result{outcome: dispatch.Broken, arrived: true, mayHaveRun: true}
	reader := bufio.NewReaderSize(resp.Body, 1<<10)
	m := mover{call: c, from: place}
	defer m.cancel()
	for {
		event, err := readEvent(reader)
		if errors.Is(err, io.EOF) && len(event) == 0 {
			r.outcome = dispatch.Served
			c.begin(resp)
			return r
		}
		if err != nil {
			r.err = err
			return r
		}
		watch.progressed()
		c.cfg.Desk.Heard(place)
		if r.err = c.passOn(resp, event); r.err != nil {
			if c.gone {
				r.outcome = dispatch.Ended
			}
			return r
		}
		if m.leaves(ctx) {
			r.outcome, r.err, r.repeatTaken = dispatch.Moved, errMoved, true
			return r
		}
	}
}

// readEvent reads one event with the empty line that ends it. At the end of
// the stream it returns io.EOF, and a part of an event is errPartEvent.
func readEvent(reader *bufio.Reader) ([]byte, error) {
	var event []byte
	for start := 0; ; {
		part, err := reader.ReadSlice('\n')
		event = append(event, part...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull): // the line goes on
		case errors.Is(err, io.EOF) && len(event) > 0:
			return nil, errPartEvent
		case err != nil:
			return nil, err
		case len(bytes.TrimRight(event[start:], "\r\n")) == 0:
			return event, nil
		default:
			start = len(event)
		}
		if len(event) > maxEventBytes {
			return nil, errEventLong
		}
	}
}

// passOn passes one event on, unless the client has it already.
func (c *call) passOn(resp *http.Response, event []byte) error {
	id := eventID(event)
	if id != "" {
		last, errLast := strconv.ParseInt(c.lastEvent, 10, 64)
		now, errNow := strconv.ParseInt(id, 10, 64)
		if errLast == nil && errNow == nil {
			if now <= last {
				return nil
			}
			if c.started && now != last+1 {
				return errEventGap
			}
		}
	}
	c.begin(resp)
	if _, err := c.w.Write(event); err != nil {
		c.gone = true
		return err
	}
	if err := http.NewResponseController(c.w).Flush(); err != nil {
		c.gone = true
		return err
	}
	if id != "" {
		c.lastEvent = id
	}
	return nil
}

// begin passes the header of the first server's answer on.
func (c *call) begin(resp *http.Response) {
	if c.started {
		return
	}
	c.started = true
	c.first = c.cfg.Clock.Now()
	copyHeader(c.w.Header(), resp.Header)
	c.w.WriteHeader(resp.StatusCode)
}

// eventID returns the id of an event; empty when it has none.
func eventID(event []byte) string {
	for _, line := range bytes.Split(event, []byte("\n")) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}
