package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/rattanway/rattanway/core"
)

// Paths and headers of the engine's protocol.
const (
	// StatusPath is the path at which an engine serves its Status as JSON.
	StatusPath = "/engine/status"
	// OrdersPath is the path at which an engine accepts an Order as JSON.
	OrdersPath = "/engine/orders"
	// HealthPath is the default path at which a plain service responds with
	// status 200 while it is healthy.
	HealthPath = "/healthz"
	// HeaderResumeTokens is the request header that carries Call.ResumeTokens.
	HeaderResumeTokens = "X-Resume-Tokens"
)

const (
	dialTimeout     = 2 * time.Second
	idleConnTimeout = 90 * time.Second
	maxIdleConns    = 1024
	maxStatusBytes  = 1 << 20
	// transportBufferBytes is the size of a connection's read and write buffers, in
	// bytes.
	transportBufferBytes = 8 << 10
)

// The errors of HTTPClient. They are wrapped with the failed operation and the
// address of the engine.
var (
	// ErrNotSent is returned when no connection could be opened, so that no part
	// of the call reached the engine.
	ErrNotSent = errors.New("not sent")
	// ErrFenced is returned when the engine refuses an order because its fencing
	// number is too old.
	ErrFenced = errors.New("fencing number too old")
	// ErrRefused is returned when the engine refuses an order for a reason other
	// than its fencing number.
	ErrRefused = errors.New("refused")
)

// HTTPClient is the client of one engine or plain service. It is safe for
// concurrent use.
type HTTPClient struct {
	addr  string
	token string
	// healthPath is the path of the health check; empty for an engine.
	healthPath string
	// pooledClient reuses connections.
	pooledClient *http.Client
	// unpooledClient opens a connection for each call, so that a once-only call
	// is never sent again after a reused connection breaks.
	unpooledClient *http.Client
}

var _ Engine = (*HTTPClient)(nil)

// NewHTTPClient returns the client of the engine at addr ("ip:port"). It sends
// peerToken with orders and status requests.
func NewHTTPClient(addr, peerToken string) *HTTPClient {
	return &HTTPClient{
		addr:           addr,
		token:          peerToken,
		pooledClient:   &http.Client{Transport: newTransport(false), CheckRedirect: noRedirect},
		unpooledClient: &http.Client{Transport: newTransport(true), CheckRedirect: noRedirect},
	}
}

// NewHTTPClientWithTransport returns the client of an engine that is called
// through transport, such as an engine in the same process. Once-only calls use
// this transport too.
func NewHTTPClientWithTransport(transport http.RoundTripper) *HTTPClient {
	client := &http.Client{Transport: transport, CheckRedirect: noRedirect}
	return &HTTPClient{addr: "engine", pooledClient: client, unpooledClient: client}
}

// NewServiceHTTPClient returns the client of the plain service at addr. Its Status
// method performs a health check at healthPath; empty means HealthPath.
func NewServiceHTTPClient(addr, healthPath string) *HTTPClient {
	if healthPath == "" {
		healthPath = HealthPath
	}
	h := NewHTTPClient(addr, "")
	h.healthPath = healthPath
	return h
}

// noRedirect makes an http.Client return a redirect instead of following it.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// newTransport returns a transport whose dial errors match ErrNotSent.
func newTransport(disableKeepAlives bool) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, errors.Wrap(notSentError{err}, "dial")
			}
			return conn, nil
		},
		DisableCompression:     true,
		MaxResponseHeaderBytes: core.MaxResponseHeadBytes,
		DisableKeepAlives:      disableKeepAlives,
		MaxIdleConns:           maxIdleConns,
		MaxIdleConnsPerHost:    maxIdleConns,
		IdleConnTimeout:        idleConnTimeout,
		ReadBufferSize:         transportBufferBytes,
		WriteBufferSize:        transportBufferBytes,
	}
}

// notSentError is a dial error that matches ErrNotSent.
type notSentError struct{ err error }

// Error implements error.
func (e notSentError) Error() string { return e.err.Error() }

// Unwrap returns the dial error.
func (e notSentError) Unwrap() error { return e.err }

// Is reports whether target is ErrNotSent.
func (e notSentError) Is(target error) bool { return target == ErrNotSent }

// Status implements Engine. For a plain service it performs a health check and
// returns an empty Status.
func (h *HTTPClient) Status(ctx context.Context) (Status, error) {
	path := StatusPath
	if h.healthPath != "" {
		path = h.healthPath
	}
	resp, err := h.sendControl(ctx, http.MethodGet, path, nil)
	if err != nil {
		return Status{}, core.WrapStep("read engine status", h.addr, err)
	}
	defer drainBody(resp.Body)
	if resp.StatusCode != http.StatusOK {
		return Status{}, core.WrapStep("read engine status", h.addr, errors.Errorf("status %d", resp.StatusCode))
	}
	var s Status
	if h.healthPath != "" {
		return s, nil
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxStatusBytes)).Decode(&s)
	return s, core.WrapStep("read engine status", h.addr, err)
}

// Order implements Engine. It returns ErrFenced if the engine refuses the
// fencing number of the order, and ErrRefused for any other refusal.
func (h *HTTPClient) Order(ctx context.Context, o Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return core.WrapStep("order engine", h.addr, err)
	}
	resp, err := h.sendControl(ctx, http.MethodPost, OrdersPath, body)
	if err != nil {
		return core.WrapStep("order engine", h.addr, err)
	}
	defer drainBody(resp.Body)
	switch {
	case resp.StatusCode == http.StatusConflict:
		return core.WrapStep("order engine", h.addr, ErrFenced)
	case resp.StatusCode >= http.StatusMultipleChoices:
		return core.WrapStep("order engine", h.addr, errors.Wrapf(ErrRefused, "status %d", resp.StatusCode))
	}
	return nil
}

// sendControl sends a status request or an order.
func (h *HTTPClient) sendControl(ctx context.Context, method, path string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+h.addr+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	if h.token != "" {
		req.Header.Set(core.HeaderPeerToken, h.token)
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	return h.pooledClient.Do(req)
}

// Do implements Engine. Cancelling ctx closes the connection, which cancels the
// call at the engine. The error is ErrNotSent if no connection could be opened, so
// that the call did not reach the engine.
func (h *HTTPClient) Do(ctx context.Context, c Call) (Response, error) {
	req, err := h.newRequest(ctx, c)
	if err != nil {
		return Response{}, core.WrapStep("call engine", h.addr, err)
	}
	client := h.pooledClient
	if c.OnceOnly {
		client = h.unpooledClient
	}
	resp, err := client.Do(req)
	if err != nil {
		return Response{}, core.WrapStep("call engine", h.addr, core.ClipError(err))
	}
	if err := core.CheckFinalStatus(resp.StatusCode); err != nil {
		_ = resp.Body.Close()
		return Response{}, core.WrapStep("call engine", h.addr, err)
	}
	return Response{
		ID:     resp.Header.Get(core.HeaderRequestID),
		Status: resp.StatusCode,
		Header: resp.Header,
		Digest: core.Digest(resp.Header.Get(core.HeaderDigest)),
		Body:   resp.Body,
	}, nil
}

// newRequest returns the HTTP request of c.
func (h *HTTPClient) newRequest(ctx context.Context, c Call) (*http.Request, error) {
	var body io.Reader = bytes.NewReader(c.Body)
	if c.OnceOnly {
		// NopCloser keeps http.NewRequest from setting GetBody. Without GetBody
		// the transport never sends a request twice, even if the request has an
		// Idempotency-Key.
		body = io.NopCloser(body)
	}
	req, err := http.NewRequestWithContext(ctx, c.Method, "http://"+h.addr+c.Path, body)
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(c.Body))
	for name, values := range c.Header {
		req.Header[http.CanonicalHeaderKey(name)] = values
	}
	req.Header.Set(core.HeaderRequestID, c.ID)
	req.Header.Set(core.HeaderPriority, strconv.Itoa(c.Priority))
	if c.Digest != "" {
		req.Header.Set(core.HeaderDigest, string(c.Digest))
	}
	if c.ResumeTokens > 0 {
		req.Header.Set(HeaderResumeTokens, strconv.Itoa(c.ResumeTokens))
	}
	return req, nil
}

// drainBody reads the rest of body, at most maxStatusBytes, and closes it, so that
// the connection can be reused.
func drainBody(body io.ReadCloser) {
	_, _ = io.Copy(io.Discard, io.LimitReader(body, maxStatusBytes))
	_ = body.Close()
}
