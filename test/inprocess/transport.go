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

// NewEngineClient returns a client of the engine that handler serves. The client
// calls handler in this process.
func NewEngineClient(handler http.Handler) engine.Engine {
	return engine.NewHTTPClientWithTransport(Transport{"engine": handler})
}

// Transport is an http.RoundTripper that maps each host to a handler and calls
// the handler instead of opening a connection.
type Transport map[string]http.Handler

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	handler, ok := t[req.URL.Host]
	if !ok {
		return nil, errors.Errorf("no handler for host %q", req.URL.Host)
	}
	ctx, cancel := context.WithCancel(req.Context())
	body, err := readBody(req)
	if err != nil {
		cancel()
		return nil, err
	}
	serverReq := req.Clone(ctx)
	serverReq.Body = io.NopCloser(bytes.NewReader(body))
	serverReq.RequestURI = req.URL.RequestURI()
	reader, writer := io.Pipe()
	w := &responseWriter{header: http.Header{}, body: writer, headerWritten: make(chan struct{})}
	// Cancelling the request aborts its response, as a closed connection does.
	stop := context.AfterFunc(req.Context(), func() { _ = writer.CloseWithError(req.Context().Err()) })
	go func() {
		defer cancel()
		defer stop()
		handler.ServeHTTP(w, serverReq)
		w.WriteHeader(http.StatusOK)
		_ = writer.Close()
	}()
	select {
	case <-w.headerWritten:
	case <-req.Context().Done():
		return nil, req.Context().Err()
	}
	return &http.Response{
		StatusCode: w.status, Header: w.sentHeader, Request: req,
		Body: responseBody{PipeReader: reader, cancel: cancel},
	}, nil
}

// readBody reads a request's body.
func readBody(req *http.Request) ([]byte, error) {
	if req.Body == nil {
		return nil, nil
	}
	defer req.Body.Close()
	return io.ReadAll(req.Body)
}

// responseBody cancels the handler's context when it is closed.
type responseBody struct {
	*io.PipeReader
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (b responseBody) Close() error {
	b.cancel()
	return b.PipeReader.Close()
}

// responseWriter is an http.ResponseWriter whose body is read while the
// handler writes it.
type responseWriter struct {
	header        http.Header
	body          *io.PipeWriter
	headerOnce    sync.Once
	headerWritten chan struct{}
	status        int
	sentHeader    http.Header
}

// Header implements http.ResponseWriter.
func (w *responseWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *responseWriter) WriteHeader(status int) {
	w.headerOnce.Do(func() {
		w.status, w.sentHeader = status, w.header.Clone()
		close(w.headerWritten)
	})
}

// Write implements http.ResponseWriter.
func (w *responseWriter) Write(p []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	n, err := w.body.Write(p)
	if errors.Is(err, io.ErrClosedPipe) {
		// A real server gets no write error when its client has closed the
		// connection: the request's context is cancelled, and the rest of the
		// response goes into the connection's buffer.
		return len(p), nil
	}
	return n, err
}

// Flush implements http.Flusher; nothing is buffered.
func (w *responseWriter) Flush() { w.WriteHeader(http.StatusOK) }
