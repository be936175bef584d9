package serve

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"github.com/rattanway/rattanway/connection/engine"
	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/connection/work"
	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/process/eventlog"
	"github.com/rattanway/rattanway/request/admission"
)

// readBufferBytes is the initial size of the buffer for reading a response.
const readBufferBytes = 16 << 10

// Errors of a call to the engine or service, for logs and Fail frames.
var (
	errWrongRequest = errors.New("answer to another request")
	errWrongDigest  = errors.New("answer from other weights")
	errOverloaded   = errors.New("engine refused the call because of overload")
	errNotLoaded    = errors.New("engine reported the weights as loaded but does not hold them")
	errEngineFailed = errors.New("engine failed")
)

// frameSendError wraps an error of sending a frame to the entry instance.
type frameSendError struct{ error }

// Unwrap returns the wrapped error.
func (e frameSendError) Unwrap() error { return e.error }

// responseForwarder forwards to the entry instance the response of the engine
// or service to one repeatable call.
type responseForwarder struct {
	handler  *Handler
	req      *frame.Request
	exchange work.AgentExchange
	call     *watchedCall
	// headSent is set to true just before the Head frame is sent, so it is also
	// true when sending that frame fails.
	headSent bool
	// bodyBytes is the length of the body sent so far.
	bodyBytes int64
	// checksum is the xxhash64 of the body sent so far.
	checksum *xxhash.Digest
}

// runRepeatable calls the engine or service and forwards the response. cancel
// must cancel ctx. release returns the slot to the limiter and is called once,
// when the call has ended.
func (h *Handler) runRepeatable(ctx context.Context, cancel context.CancelCauseFunc, req *frame.Request,
	exchange work.AgentExchange, release func(admission.Outcome)) error {
	f := &responseForwarder{handler: h, req: req, exchange: exchange, call: h.watcher.add(cancel, h.firstByteTimeout(req)), checksum: xxhash.New()}
	err := f.forward(ctx)
	h.watcher.remove(f.call)
	if err != nil && ctx.Err() != nil {
		err = errors.Wrap(context.Cause(ctx), "call ended")
	}
	release(limiterOutcome(ctx, err))
	return f.finish(ctx, err)
}

// firstByteTimeout returns the longest wait for the first byte of the response
// to req. For an engine's response that is not streamed, it is OnceTimeout,
// because the engine sends nothing until the response is complete. Otherwise it
// is FirstByteTimeout.
func (h *Handler) firstByteTimeout(req *frame.Request) time.Duration {
	var options struct {
		Stream bool `json:"stream"`
	}
	if req.Digest != "" && json.Unmarshal(req.Body, &options) == nil && !options.Stream {
		return h.cfg.OnceTimeout
	}
	return h.cfg.FirstByteTimeout
}

// limiterOutcome returns the outcome to report to the limiter for a call that
// ended with err. For an error that does not indicate an overload, Ignored is
// set, so that the limiter does not adapt to the call.
func limiterOutcome(ctx context.Context, err error) admission.Outcome {
	switch {
	case err == nil:
		return admission.Outcome{}
	case errors.Is(err, errOverloaded), errors.Is(err, errFirstByteTimeout), errors.Is(err, errStalled):
		return admission.Outcome{Overloaded: true}
	default:
		return admission.Outcome{Ignored: true}
	}
}

// finish sends the last frame of the exchange: End when err is nil, Refuse when
// err shows that the call did not run, and Fail otherwise. Once the Head frame has
// been sent, every error leads to Fail. finish sends nothing when the entry
// instance has disconnected.
func (f *responseForwarder) finish(ctx context.Context, err error) error {
	var sendErr frameSendError
	switch {
	case err == nil:
		f.handler.logCall(eventCallCompleted, f.req, eventlog.Fields{"bytes": f.bodyBytes, "tokens": f.call.tokenCount.Load()})
		end := frame.End{ID: f.req.ID, BodyBytes: f.bodyBytes, BodyChecksum: f.checksum.Sum64(), Load: f.handler.limiter.Load()}
		return f.exchange.Send(frame.KindEnd, end)
	case errors.As(err, &sendErr), errors.Is(err, context.Canceled):
		f.handler.log.EventWithError(eventCallFailed, err, eventlog.Fields{"request": f.req.ID, "account": f.req.Account, "why": "entry instance disconnected"})
		return err
	case f.headSent:
		return f.handler.sendFailure(f.exchange, f.req, core.OutcomeIncomplete, err)
	case errors.Is(err, errOverloaded):
		return f.handler.sendRefusal(f.exchange, f.req, frame.ReasonFull)
	case errors.Is(err, errNotLoaded):
		return f.handler.sendRefusal(f.exchange, f.req, frame.ReasonDigestMismatch)
	case errors.Is(err, engine.ErrNotSent):
		return f.handler.sendRefusal(f.exchange, f.req, frame.ReasonDown)
	default:
		return f.handler.sendFailure(f.exchange, f.req, core.OutcomeIncomplete, err)
	}
}

// forward calls the engine or service and forwards the response to the entry
// instance.
func (f *responseForwarder) forward(ctx context.Context) error {
	resp, err := f.handler.engine.Do(ctx, newEngineCall(f.req, false))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if err := f.checkResponse(resp); err != nil {
		return err
	}
	head := frame.Head{ID: f.req.ID, Status: resp.Status, Header: forwardedHeader(resp.Header), Digest: resp.Digest}
	f.headSent = true
	if err := f.sendFrame(frame.KindHead, head); err != nil {
		return err
	}
	if resp.Status == http.StatusOK && isEventStream(http.Header(resp.Header).Get("Content-Type")) {
		return f.forwardEvents(resp.Body)
	}
	return f.forwardBytes(resp.Body)
}

// newEngineCall returns the call to the engine or service for req.
func newEngineCall(req *frame.Request, onceOnly bool) engine.Call {
	return engine.Call{
		ID:           req.ID,
		Method:       req.Method,
		Path:         req.Path,
		Header:       req.Header,
		Body:         req.Body,
		Digest:       req.Digest,
		OnceOnly:     onceOnly,
		ResumeTokens: req.ResumeTokens,
		Priority:     req.Priority,
	}
}

// checkResponse returns an error if resp must not be forwarded. It is called
// before any part of the response is forwarded. A response with the id of another
// request says nothing about this one, whatever its status. For a response of an
// engine, the statuses 404, 409, 429 and 5xx are errors, and other 4xx responses are
// accepted without further checks. An engine's response with any other status
// must carry the id of this request and come from the pinned model version.
func (f *responseForwarder) checkResponse(resp engine.Response) error {
	if resp.ID != "" && resp.ID != f.req.ID {
		return f.logMismatch(errWrongRequest, resp)
	}
	if f.req.Digest == "" {
		return nil
	}
	switch {
	case resp.Status == http.StatusTooManyRequests, resp.Status == http.StatusServiceUnavailable:
		return errOverloaded
	case resp.Status == http.StatusNotFound, resp.Status == http.StatusConflict:
		f.reportWrongVersion()
		return f.logMismatch(errNotLoaded, resp)
	case resp.Status >= http.StatusInternalServerError:
		return errors.Wrapf(errEngineFailed, "status %d", resp.Status)
	case resp.Status >= http.StatusBadRequest:
		return nil
	case resp.ID != f.req.ID:
		return f.logMismatch(errWrongRequest, resp)
	case resp.Digest != f.req.Digest:
		f.reportWrongVersion()
		return f.logMismatch(errWrongDigest, resp)
	}
	return nil
}

// reportWrongVersion calls Config.OnWrongVersion with the manifest digest of the
// pinned version, which the engine reports as loaded but did not use.
func (f *responseForwarder) reportWrongVersion() {
	if f.handler.cfg.OnWrongVersion != nil {
		f.handler.cfg.OnWrongVersion(f.req.Digest)
	}
}

// logMismatch logs err for a response that must not be forwarded, and returns err
// so that it can be used in a return statement.
func (f *responseForwarder) logMismatch(err error, resp engine.Response) error {
	f.handler.log.EventWithError(eventResponseMismatch, err, eventlog.Fields{
		"request": f.req.ID, "answered": resp.ID, "want": f.req.Digest.Short(), "digest": resp.Digest.Short(), "status": resp.Status,
	})
	return err
}

// sendFrame sends one frame to the entry instance. It returns a frameSendError
// on failure.
func (f *responseForwarder) sendFrame(kind frame.Kind, msg any) error {
	f.call.sending.Store(true)
	err := f.exchange.Send(kind, msg)
	f.call.sending.Store(false)
	if err != nil {
		return frameSendError{err}
	}
	return nil
}

// sendData sends a chunk of the response body. tokens is the number of tokens
// in the chunk. An empty chunk is not sent.
func (f *responseForwarder) sendData(chunk []byte, tokens int) error {
	if len(chunk) == 0 {
		return nil
	}
	_, _ = f.checksum.Write(chunk)
	f.bodyBytes += int64(len(chunk))
	return f.sendFrame(frame.KindData, frame.Data{ID: f.req.ID, Body: chunk, Tokens: tokens})
}

// forwardEvents forwards an event stream: each event is sent as soon as it has
// arrived completely.
func (f *responseForwarder) forwardEvents(body io.Reader) error {
	parser := eventParser{digest: f.req.Digest}
	buf := make([]byte, 0, readBufferBytes)
	for {
		if len(buf) == cap(buf) {
			buf = append(buf, make([]byte, cap(buf))...)[:len(buf)]
		}
		n, readErr := body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		completeBytes, tokens, err := parser.consume(buf)
		if n > 0 {
			f.recordArrival(tokens)
		}
		if sendErr := f.sendData(buf[:completeBytes], tokens); sendErr != nil {
			return sendErr
		}
		if err != nil {
			return err
		}
		buf = buf[:copy(buf, buf[completeBytes:])]
		if readErr != nil {
			return streamEndError(readErr, parser.doneSeen, len(buf))
		}
	}
}

// recordArrival records that a chunk with the given number of tokens arrived,
// and reports the time to the first token to the limiter.
func (f *responseForwarder) recordArrival(tokens int) {
	if tokens > 0 && f.call.tokenCount.Load() == 0 {
		f.handler.limiter.Observe(admission.Sample{TimeToFirstToken: f.handler.clock.Since(f.call.startedAt)})
	}
	f.call.recordArrival(f.handler.clock, tokens)
}

// streamEndError returns the error of an event stream whose last read returned
// err. It returns nil, because the stream is complete, only if err is io.EOF, the
// [DONE] event was seen and no bytes of an incomplete event are left over.
func streamEndError(err error, doneSeen bool, leftoverBytes int) error {
	if err != io.EOF {
		return err
	}
	if !doneSeen || leftoverBytes > 0 {
		return errMissingDone
	}
	return nil
}

// forwardBytes forwards a body that is not an event stream as it arrives.
func (f *responseForwarder) forwardBytes(body io.Reader) error {
	buf := make([]byte, readBufferBytes)
	for {
		n, readErr := body.Read(buf)
		if n > 0 {
			f.call.recordArrival(f.handler.clock, 0)
		}
		if err := f.sendData(buf[:n], 0); err != nil {
			return err
		}
		if readErr == io.EOF {
			return nil
		}
		if readErr != nil {
			return readErr
		}
	}
}

// unforwardedHeaders are the header fields of a response that are not forwarded:
// Date and the hop-by-hop fields.
var unforwardedHeaders = []string{"Connection", "Keep-Alive", "Transfer-Encoding", "Trailer", "Upgrade", "Date"}

// forwardedHeader returns a copy of a response's header without the
// unforwardedHeaders.
func forwardedHeader(header map[string][]string) map[string][]string {
	forwarded := http.Header(header).Clone()
	for _, name := range unforwardedHeaders {
		forwarded.Del(name)
	}
	return forwarded
}
