package inprocess

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"

	"github.com/go-faster/errors"

	"github.com/rattanway/rattanway/connection/engine"
)

// NewEngine returns the client of an engine whose HTTP handler runs in this
// process.
func NewEngine(handler http.Handler) engine.Engine {
	return engine.NewHTTPOver(Transport{"engine": handler})
}

// Transport is an http.RoundTripper that calls the handler of a host instead
// of a server.
type Transport map[string]http.Handler

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	handler, ok := t[req.URL.Host]
	if !ok {
		return nil, errors.Errorf("no host %q", req.URL.Host)
	}
	ctx, cancel := context.WithCancel(req.Context())
	body, err := bodyOf(req)
	if err != nil {
		cancel()
		return nil, err
	}
	served := req.Clone(ctx)
	served.Body = io.NopCloser(bytes.NewReader(body))
	served.RequestURI = req.URL.RequestURI()
	reader, writer := io.Pipe()
	w := &responseWriter{header: http.Header{}, body: writer, started: make(chan struct{})}
	// An ended request breaks its answer off, as a closed connection does.
	stop := context.AfterFunc(req.Context(), func() { _ = writer.CloseWithError(req.Context().Err()) })
	go func() {
		defer cancel()
		defer stop()
		handler.ServeHTTP(w, served)
		w.WriteHeader(http.StatusOK)
		_ = writer.Close()
	}()
	select {
	case <-w.started:
	case <-req.Context().Done():
		return nil, req.Context().Err()
	}
	return &http.Response{
		StatusCode: w.status, Header: w.sent, Request: req,
		Body: answerBody{PipeReader: reader, cancel: cancel},
	}, nil
}

// bodyOf reads a request's body.
func bodyOf(req *http.Request) ([]byte, error) {
	if req.Body == nil {
		return nil, nil
	}
	defer req.Body.Close()
	return io.ReadAll(req.Body)
}

// answerBody cancels the call when it is closed before its end.
type answerBody struct {
	*io.PipeReader
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (b answerBody) Close() error {
	b.cancel()
	return b.PipeReader.Close()
}

// responseWriter is an http.ResponseWriter whose body is read while the
// handler writes it.
type responseWriter struct {
	header  http.Header
	body    *io.PipeWriter
	once    sync.Once
	started chan struct{}
	status  int
	sent    http.Header
}

// Header implements http.ResponseWriter.
func (w *responseWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *responseWriter) WriteHeader(status int) {
	w.once.Do(func() {
		w.status, w.sent = status, w.header.Clone()
		close(w.started)
	})
}

// Write implements http.ResponseWriter.
func (w *responseWriter) Write(p []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	n, err := w.body.Write(p)
	if errors.Is(err, io.ErrClosedPipe) {
		// A server learns from the ended context that its client has left;
		// what it still writes goes into the connection's buffer.
		return len(p), nil
	}
	return n, err
}

// Flush implements http.Flusher; nothing is buffered.
func (w *responseWriter) Flush() { w.WriteHeader(http.StatusOK) }
