package relay

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"

	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/core"
)

// Delimiters in a stream of server-sent events.
var (
	sseEventEnd = []byte("\n\n")
	sseDone     = []byte("data: [DONE]")
)

// callerResponse writes the response of a call to the caller. A response that is
// not streamed is buffered until it is known to be complete or exceeds
// maxBufferedBytes. In a stream of events, each complete event is sent at once, but
// the closing [DONE] is buffered until the agent's End frame has been verified.
type callerResponse struct {
	w *echo.Response
	// streamRequested is true when the caller requested server-sent events.
	streamRequested bool
	// maxBufferedBytes bounds the buffer for a response that is not streamed. A
	// response that exceeds this size is sent as it arrives.
	maxBufferedBytes int
	// beforeFirstByte is called once, before the first byte is sent to the
	// caller.
	beforeFirstByte func()

	// headerSent is true once the header has been sent to the caller.
	headerSent bool
	// tokensSent is the number of tokens sent to the caller.
	tokensSent int
	// head is the Head frame of the current attempt.
	head frame.Head
	// buffered is the part of the body that was received and not sent yet.
	buffered []byte
}

// isEventStream reports whether the current attempt returns a stream of events.
func (resp *callerResponse) isEventStream() bool {
	return resp.streamRequested && resp.head.Status == http.StatusOK
}

// beginAttempt stores the Head frame of a new attempt, and discards the part of
// the body that an earlier attempt left in the buffer.
func (resp *callerResponse) beginAttempt(head frame.Head) {
	resp.head = head
	resp.buffered = resp.buffered[:0]
}

// write buffers a chunk of the body and sends the part that may already be sent.
func (resp *callerResponse) write(data frame.Data) error {
	resp.buffered = append(resp.buffered, data.Body...)
	if resp.isEventStream() {
		return resp.sendCompleteEvents(data.Tokens)
	}
	if !resp.headerSent && len(resp.buffered) <= resp.maxBufferedBytes {
		return nil
	}
	return resp.send(len(resp.buffered))
}

// sendCompleteEvents sends the complete events in the buffer, except for [DONE].
// tokens is the number of tokens in the chunk that was buffered last.
func (resp *callerResponse) sendCompleteEvents(tokens int) error {
	end := bytes.LastIndex(resp.buffered, sseEventEnd) + len(sseEventEnd)
	if end < len(sseEventEnd) {
		resp.tokensSent += tokens
		return nil
	}
	if i := doneIndex(resp.buffered[:end]); i >= 0 {
		end = i
	}
	resp.tokensSent += tokens
	if end == 0 {
		return nil
	}
	return resp.send(end)
}

// doneIndex returns the index of the closing [DONE] event in events, or -1.
func doneIndex(events []byte) int {
	if bytes.HasPrefix(events, sseDone) {
		return 0
	}
	index := bytes.Index(events, append(sseEventEnd[:len(sseEventEnd):len(sseEventEnd)], sseDone...))
	if index < 0 {
		return -1
	}
	return index + len(sseEventEnd)
}

// send writes the first n buffered bytes to the caller.
func (resp *callerResponse) send(n int) error {
	resp.sendHeader("")
	if _, err := resp.w.Write(resp.buffered[:n]); err != nil {
		return err
	}
	resp.buffered = append(resp.buffered[:0], resp.buffered[n:]...)
	resp.w.Flush()
	return nil
}

// finish sends the buffered rest of a response that is known to be complete.
func (resp *callerResponse) finish() error {
	resp.sendHeader(strconv.Itoa(len(resp.buffered)))
	_, err := resp.w.Write(resp.buffered)
	return err
}

// sendHeader sends the header unless it has been sent before. length is the value
// of Content-Length; "" means that the length is not known.
func (resp *callerResponse) sendHeader(length string) {
	if resp.headerSent {
		return
	}
	resp.headerSent = true
	resp.beforeFirstByte()
	header := resp.w.Header()
	for name, values := range forwardedHeader(resp.head.Header) {
		header[name] = values
	}
	if length != "" {
		header.Set(echo.HeaderContentLength, length)
	}
	if resp.head.Digest != "" {
		header.Set(core.HeaderDigest, string(resp.head.Digest))
	}
	resp.w.WriteHeader(resp.head.Status)
}

// abort ends an incomplete response in a way that shows the caller that the
// response is incomplete: a stream ends with an error event, and the connection
// is closed without the final chunk of the HTTP body. abort does not return but
// panics with http.ErrAbortHandler.
func (resp *callerResponse) abort(p *Problem) {
	if resp.isEventStream() {
		body, err := json.Marshal(p)
		if err == nil {
			resp.w.Write([]byte("event: error\ndata: "))
			resp.w.Write(body)
			resp.w.Write(sseEventEnd)
		}
	}
	resp.w.Flush()
	panic(http.ErrAbortHandler)
}
