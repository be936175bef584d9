package forward

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/rattanway/rattanway/request/dispatch"
	"github.com/rattanway/rattanway/version/catalog"
)

// eventStreamType is the media type of a stream of server-sent events.
const eventStreamType = "text/event-stream"

// maxEventBytes limits the size of one event, and of what a server sends between two
// events that carry data; an event of the services has about 100 bytes.
const maxEventBytes = 64 << 10

// Reasons for which a server's stream is not forwarded completely.
var (
	errPartialEvent = errors.New("stream ended within an event")
	errEventTooLong = errors.New("event is too long")
	errNoData       = errors.New("stream has events without data only")
	errNoEventID    = errors.New("event in a resumed stream has no ID, or none that follows the previous one")
	errEventGap     = errors.New("event ID does not follow the previous one")
	errMoved        = errors.New("server is loading new weights")
)

// isEventStream reports whether a response is a stream of events.
func (c *call) isEventStream(resp *http.Response) bool {
	return c.route.Kind == catalog.KindStream && resp.StatusCode == http.StatusOK &&
		strings.HasPrefix(resp.Header.Get("Content-Type"), eventStreamType)
}

// forwardStream forwards each event once the event has arrived completely. If the
// stream goes on at another server, the connection ends, at any place.
func (c *call) forwardStream(ctx context.Context, resp *http.Response, slot dispatch.Slot, watch *stallWatch) attemptResult {
	r := attemptResult{outcome: dispatch.Broken, mayHaveArrived: true, mayHaveRun: true}
	reader := bufio.NewReaderSize(resp.Body, 1<<10)
	c.resumed = c.headerSent
	mover := streamMover{call: c, watch: watch, from: slot}
	defer mover.cancel()
	// bytesWithoutData is the size of the events since the last one with data.
	bytesWithoutData := 0
	// blocked is the time for which the client blocked the write of the last event.
	var blocked time.Duration
	for {
		event, err := readEvent(reader)
		if errors.Is(err, io.EOF) && len(event) == 0 {
			r.outcome = dispatch.Served
			c.startStream(resp)
			return r
		}
		if err != nil {
			r.err = err
			return r
		}
		if bytesWithoutData += len(event); bytesWithoutData > maxEventBytes {
			r.err = errNoData
			return r
		}
		withData := hasData(event)
		if withData {
			// A server that sends only comments is stalled.
			bytesWithoutData = 0
			if r.begunAt.IsZero() {
				r.begunAt = c.cfg.Clock.Now()
				watch.recordFirstByte(r.begunAt)
			}
			watch.recordActivity()
			c.cfg.Scheduler.RecordEvent(slot, blocked)
		}
		readAt := c.cfg.Clock.Now()
		if r.err = c.forwardEvent(resp, event); r.err != nil {
			if c.clientGone {
				r.outcome = dispatch.Cancelled
			}
			return r
		}
		blocked = c.cfg.Clock.Now().Sub(readAt)
		watch.recordForwarded(c.lastEventID, c.headerSent)
		if withData {
			// The time for which a slow client blocks the write is no silence of the server.
			watch.awaitNext()
		}
		mover.tryMove(ctx)
	}
}

// readEvent reads one event, including the empty line that ends it. It returns
// [io.EOF] at the end of the stream, and errPartialEvent if the stream ends
// within an event.
func readEvent(reader *bufio.Reader) ([]byte, error) {
	var event []byte
	for lineStart := 0; ; {
		part, err := reader.ReadSlice('\n')
		event = append(event, part...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull): // the line is longer than the buffer
		case errors.Is(err, io.EOF) && len(event) > 0:
			return nil, errPartialEvent
		case err != nil:
			return nil, err
		case len(bytes.TrimRight(event[lineStart:], "\r\n")) == 0:
			return event, nil
		default:
			lineStart = len(event)
		}
		if len(event) > maxEventBytes {
			return nil, errEventTooLong
		}
	}
}

// forwardEvent forwards one event. It skips an event that the client already has,
// that is, one whose numeric ID is not above c.lastEventID. If the stream to the
// client has begun and IDs are missing between c.lastEventID and the ID of this
// event, it returns errEventGap. In a stream that another server has begun, it returns
// errNoEventID for an event with data whose ID does not show its place.
func (c *call) forwardEvent(resp *http.Response, event []byte) error {
	id := eventID(event)
	if c.resumed && id == "" && hasData(event) {
		return errNoEventID
	}
	if id != "" {
		previous, errPrevious := strconv.ParseInt(c.lastEventID, 10, 64)
		current, errCurrent := strconv.ParseInt(id, 10, 64)
		if c.resumed && errPrevious == nil && errCurrent != nil {
			return errNoEventID
		}
		if errPrevious == nil && errCurrent == nil {
			if current <= previous {
				return nil
			}
			if c.headerSent && current != previous+1 {
				return errEventGap
			}
		}
	}
	c.startStream(resp)
	if _, err := c.w.Write(event); err != nil {
		c.clientGone = true
		return err
	}
	if err := http.NewResponseController(c.w).Flush(); err != nil {
		c.clientGone = true
		return err
	}
	c.lastWriteAt = c.cfg.Clock.Now()
	if id != "" {
		c.lastEventID = id
	}
	return nil
}

// startStream writes the header of resp to the client, unless a response header
// was written before.
func (c *call) startStream(resp *http.Response) {
	if c.headerSent {
		return
	}
	c.headerSent = true
	c.firstByteAt = c.cfg.Clock.Now()
	copyHeader(c.w.Header(), resp.Header)
	c.w.WriteHeader(resp.StatusCode)
}

// hasData reports whether an event has a line with data.
func hasData(event []byte) bool {
	for _, line := range bytes.Split(event, []byte("\n")) {
		if bytes.HasPrefix(line, []byte("data")) {
			return true
		}
	}
	return false
}

// eventID returns the ID of an event; empty if the event has none.
func eventID(event []byte) string {
	for _, line := range bytes.Split(event, []byte("\n")) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}
