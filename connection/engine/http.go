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
	// StatusPath serves the engine's Status as JSON.
	StatusPath = "/engine/status"
	// OrdersPath takes an Order as JSON.
	OrdersPath = "/engine/orders"
	// HealthPath answers 200 while a plain service is healthy.
	HealthPath = "/healthz"
	// HeaderResumeTokens is the number of tokens that the caller has already.
	HeaderResumeTokens = "X-Resume-Tokens"
)

const (
	dialTimeout     = 2 * time.Second
	idleConnTimeout = 90 * time.Second
	maxIdleConns    = 1024
	maxStatusBytes  = 1 << 20
	transportBuffer = 8 << 10
)

// Errors that HTTP returns, wrapped with step and peer.
var (
	// ErrNotSent says that no connection was made: no part of the call
	// reached the engine.
	ErrNotSent = errors.New("not sent")
	// ErrFenced says that the engine refused an order with an old fencing
	// number.
	ErrFenced = errors.New("fencing number too old")
	// ErrRefused says that the engine refused an order for another reason.
	ErrRefused = errors.New("refused")
)

// HTTP is the client of one engine or plain service. It is safe for
// concurrent use.
type HTTP struct {
	addr       string
	token      string
	healthPath string
	// pooled reuses connections; fresh opens one for each call, so that a
	// once-only call is never replayed on a second connection.
	pooled *http.Client
	fresh  *http.Client
}

var _ Engine = (*HTTP)(nil)

// NewHTTP returns the client of the engine at addr ("ip:port"). It sends
// peerToken with orders and status reads.
func NewHTTP(addr, peerToken string) *HTTP {
	return &HTTP{
		addr:   addr,
		token:  peerToken,
		pooled: &http.Client{Transport: newTransport(false), CheckRedirect: noRedirect},
		fresh:  &http.Client{Transport: newTransport(true), CheckRedirect: noRedirect},
	}
}

// NewHTTPOver returns the client of an engine that is reached through
// transport, such as one in the same process.
func NewHTTPOver(transport http.RoundTripper) *HTTP {
	client := &http.Client{Transport: transport, CheckRedirect: noRedirect}
	return &HTTP{addr: "engine", pooled: client, fresh: client}
}

// NewServiceHTTP returns the client of the plain service at addr. Its Status
// is a health check at healthPath; empty means HealthPath.
func NewServiceHTTP(addr, healthPath string) *HTTP {
	if healthPath == "" {
		healthPath = HealthPath
	}
	h := NewHTTP(addr, "")
	h.healthPath = healthPath
	return h
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// newTransport returns a transport that marks failed dials with ErrNotSent.
func newTransport(fresh bool) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, errors.Wrap(notSent{err}, "dial")
			}
			return conn, nil
		},
		DisableCompression:  true,
		DisableKeepAlives:   fresh,
		MaxIdleConns:        maxIdleConns,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleConnTimeout,
		ReadBufferSize:      transportBuffer,
		WriteBufferSize:     transportBuffer,
	}
}

// notSent is a dial error that is also ErrNotSent.
type notSent struct{ err error }

// Error implements error.
func (e notSent) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e notSent) Unwrap() error { return e.err }

// Is reports whether target is ErrNotSent.
func (e notSent) Is(target error) bool { return target == ErrNotSent }

// Status implements Engine. For a plain service it is a health check.
func (h *HTTP) Status(ctx context.Context) (Status, error) {
	path := StatusPath
	if h.healthPath != "" {
		path = h.healthPath
	}
	resp, err := h.send(ctx, http.MethodGet, path, nil)
	if err != nil {
		return Status{}, core.Step("read engine status", h.addr, err)
	}
	defer drain(resp.Body)
	if resp.StatusCode != http.StatusOK {
		return Status{}, core.Step("read engine status", h.addr, errors.Errorf("status %d", resp.StatusCode))
	}
	var s Status
	if h.healthPath != "" {
		return s, nil
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxStatusBytes)).Decode(&s)
	return s, core.Step("read engine status", h.addr, err)
}

// Order implements Engine. It returns ErrFenced when the engine refused the
// order's fencing number, and ErrRefused for any other refusal.
func (h *HTTP) Order(ctx context.Context, o Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return core.Step("order engine", h.addr, err)
	}
	resp, err := h.send(ctx, http.MethodPost, OrdersPath, body)
	if err != nil {
		return core.Step("order engine", h.addr, err)
	}
	defer drain(resp.Body)
	switch {
	case resp.StatusCode == http.StatusConflict:
		return core.Step("order engine", h.addr, ErrFenced)
	case resp.StatusCode >= http.StatusMultipleChoices:
		return core.Step("order engine", h.addr, errors.Wrapf(ErrRefused, "status %d", resp.StatusCode))
	}
	return nil
}

// send makes one control call.
func (h *HTTP) send(ctx context.Context, method, path string, body []byte) (*http.Response, error) {
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
	return h.pooled.Do(req)
}

// Do implements Engine. Ending ctx closes the connection, which cancels the
// call at the engine. An error that is ErrNotSent says that the call did not
// reach the engine.
func (h *HTTP) Do(ctx context.Context, c Call) (Answer, error) {
	req, err := h.request(ctx, c)
	if err != nil {
		return Answer{}, core.Step("call engine", h.addr, err)
	}
	client := h.pooled
	if c.Once {
		client = h.fresh
	}
	resp, err := client.Do(req)
	if err != nil {
		return Answer{}, core.Step("call engine", h.addr, err)
	}
	return Answer{
		ID:     resp.Header.Get(core.HeaderRequestID),
		Status: resp.StatusCode,
		Header: resp.Header,
		Digest: core.Digest(resp.Header.Get(core.HeaderDigest)),
		Body:   resp.Body,
	}, nil
}

// request builds the HTTP request of c.
func (h *HTTP) request(ctx context.Context, c Call) (*http.Request, error) {
	var body io.Reader = bytes.NewReader(c.Body)
	if c.Once {
		// Without GetBody the transport never sends a request twice, also
		// not one that bears an Idempotency-Key.
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

// drain reads what is left of a small body, so that its connection is reused.
func drain(body io.ReadCloser) {
	_, _ = io.Copy(io.Discard, io.LimitReader(body, maxStatusBytes))
	_ = body.Close()
}
