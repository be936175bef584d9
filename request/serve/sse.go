package serve

import (
	"bytes"
	"strings"

	"github.com/go-faster/errors"

	"github.com/rattanway/rattanway/core"
)

const (
	eventStreamType = "text/event-stream"
	// fingerprintField is the JSON that precedes the fingerprint in an event.
	fingerprintField = `"system_fingerprint":"`
	// digestPrefix is the prefix of a fingerprint that is a manifest digest.
	digestPrefix = "sha256:"
	// maxEventBytes is the largest size of an incomplete event, in bytes.
	maxEventBytes = 1 << 20
)

var (
	eventSeparator = []byte("\n\n")
	dataField      = []byte("data:")
	doneData       = []byte("[DONE]")
)

// Errors of an event stream, for logs and Fail frames.
var (
	errDigestChanged = errors.New("answer went on from other weights")
	errMissingDone   = errors.New("stream ended without its last event")
	errEventTooLong  = errors.New("event too long")
)

// eventParser splits a stream of server-sent events into events, counts their
// tokens and checks which model version they come from.
type eventParser struct {
	// digest is the pinned manifest digest. An event with a different digest
	// is an error; an event without a digest is accepted.
	digest core.Digest
	// doneSeen is true once the [DONE] event has been parsed.
	doneSeen bool
}

// isEventStream reports whether contentType is the media type of server-sent
// events.
func isEventStream(contentType string) bool {
	return strings.HasPrefix(contentType, eventStreamType)
}

// consume parses the complete events at the start of buf. It returns the length
// of the parsed events, in bytes, and the number of their tokens. With an
// error, both numbers count only the events before the error.
func (p *eventParser) consume(buf []byte) (n, tokens int, err error) {
	for {
		i := bytes.Index(buf[n:], eventSeparator)
		if i < 0 {
			break
		}
		count, err := p.parseEvent(buf[n : n+i])
		if err != nil {
			return n, tokens, err
		}
		tokens += count
		n += i + len(eventSeparator)
	}
	if len(buf)-n > maxEventBytes {
		return n, tokens, errEventTooLong
	}
	return n, tokens, nil
}

// parseEvent returns the number of tokens in one event, 0 or 1, or an error when
// the event comes from another model version.
func (p *eventParser) parseEvent(event []byte) (int, error) {
	data, ok := bytes.CutPrefix(event, dataField)
	if !ok {
		return 0, nil
	}
	if bytes.Equal(bytes.TrimSpace(data), doneData) {
		p.doneSeen = true
		return 0, nil
	}
	if !p.digestMatches(data) {
		return 0, errDigestChanged
	}
	return 1, nil
}

// digestMatches reports whether the event contains the pinned manifest digest
// or contains no manifest digest.
func (p *eventParser) digestMatches(data []byte) bool {
	i := bytes.Index(data, []byte(fingerprintField))
	if i < 0 {
		return true
	}
	value := data[i+len(fingerprintField):]
	if !bytes.HasPrefix(value, []byte(digestPrefix)) {
		return true
	}
	rest, ok := bytes.CutPrefix(value, []byte(p.digest))
	return ok && len(rest) > 0 && rest[0] == '"'
}
