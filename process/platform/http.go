package platform

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/rattanway/rattanway/core"
)

// ErrRefused is returned when the platform rejects a call as invalid, for example
// because of the call's token or size. The call had no effect, and a retry would
// fail too.
var ErrRefused = errors.New("platform refused the call")

// Defaults of Config.
const (
	defaultTimeout       = 2 * time.Second
	defaultObjectTimeout = 60 * time.Second
	dialTimeout          = time.Second
	idleTimeout          = 90 * time.Second
	maxIdlePerHost       = 32
)

// Size limits of responses, in bytes.
const (
	maxRowBytes    = 64 << 10
	maxListBytes   = 64 << 20
	maxObjectBytes = 256 << 20
	maxErrorBytes  = 4 << 10
)

// Config holds the settings of NewHTTP.
type Config struct {
	// Addr is the platform's "ip:port".
	Addr string
	// Token authenticates this process to the platform, as a bearer token.
	Token string
	// Timeout bounds each call to the table or the instance list. Default 2 s.
	Timeout time.Duration
	// ObjectTimeout bounds each call to an object store. Default 60 s.
	ObjectTimeout time.Duration
	// Metrics is the registry of the counters of calls and bytes; nil means
	// metrics.DefaultRegistry.
	Metrics metrics.Registry
}

// applyDefaults sets the fields that are not set to their defaults.
func (c *Config) applyDefaults() {
	core.SetDefault(&c.Timeout, defaultTimeout)
	core.SetDefault(&c.ObjectTimeout, defaultObjectTimeout)
	if c.Metrics == nil {
		c.Metrics = metrics.DefaultRegistry
	}
}

// NewHTTP returns a Platform whose adapters call the platform at config.Addr over
// plain HTTP. The adapters share one connection pool.
func NewHTTP(config Config) *Platform {
	config.applyDefaults()
	c := newClient(config)
	return &Platform{
		Table:       &httpTable{client: c, timeout: config.Timeout},
		ObjectStore: &httpObjectStore{client: c, prefix: "/objects/", timeout: config.ObjectTimeout},
		WeightStore: &httpObjectStore{client: c, prefix: "/weights/", timeout: config.ObjectTimeout},
		Instances:   &httpInstanceLister{client: c, timeout: config.Timeout},
	}
}

// client sends requests to the platform and maps their results to the errors of
// this package.
type client struct {
	addr       string
	token      string
	httpClient *http.Client
	// reads and writes count the requests; failed counts the requests without a
	// complete response.
	reads  metrics.Counter
	writes metrics.Counter
	failed metrics.Counter
	// bytes counts the bytes of the bodies of requests and responses.
	bytes metrics.Counter
}

// newClient returns a client with its own connection pool.
func newClient(config Config) *client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext:            dialer.DialContext,
		MaxIdleConnsPerHost:    maxIdlePerHost,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: core.MaxResponseHeadBytes,
	}
	return &client{
		addr:       config.Addr,
		token:      config.Token,
		httpClient: &http.Client{Transport: transport, CheckRedirect: noRedirect},
		reads:      metrics.GetOrRegisterCounter("platform.reads", config.Metrics),
		writes:     metrics.GetOrRegisterCounter("platform.writes", config.Metrics),
		failed:     metrics.GetOrRegisterCounter("platform.failed", config.Metrics),
		bytes:      metrics.GetOrRegisterCounter("platform.bytes", config.Metrics),
	}
}

// noRedirect makes an http.Client return a redirect instead of following it.
// statusError maps the status of a redirect to ErrRefused.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// request is a request to the platform.
type request struct {
	// step names the operation in errors.
	step   string
	method string
	// path is the unescaped URL path.
	path   string
	query  url.Values
	header http.Header
	body   []byte
	// maxBytes is the maximum size of the response's body.
	maxBytes int64
}

// response is a response of the platform with its complete body.
type response struct {
	status int
	header http.Header
	body   []byte
}

// isWrite reports whether r may change data of the platform.
func (r request) isWrite() bool { return r.method != http.MethodGet }

// do sends a request, reads the complete response and updates the metrics. Its
// errors are errors of this package, wrapped in a core.StepError with the step and
// the platform's address.
func (c *client) do(ctx context.Context, timeout time.Duration, req request) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c.countRequest(req)
	resp, err := c.roundTrip(ctx, req)
	if err != nil {
		c.failed.Inc(1)
		return response{}, core.WrapStep(req.step, c.addr, err)
	}
	c.bytes.Inc(int64(len(req.body) + len(resp.body)))
	return resp, core.WrapStep(req.step, c.addr, statusError(req, resp))
}

// countRequest counts a request as a read or a write.
func (c *client) countRequest(req request) {
	if req.isWrite() {
		c.writes.Inc(1)
		return
	}
	c.reads.Inc(1)
}

// roundTrip sends a request and reads the complete response. Without a complete
// response it returns ErrRefused, ErrUnavailable or ErrUnknownOutcome.
func (c *client) roundTrip(ctx context.Context, req request) (response, error) {
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteHeaders: func() { sent.Store(true) },
	})
	httpReq, err := c.newHTTPRequest(ctx, req)
	if err != nil {
		return response{}, err
	}
	httpResp, err := c.httpClient.Do(httpReq)
	if err != nil {
		return response{}, transportError(req, sent.Load(), err)
	}
	defer httpResp.Body.Close()
	body, err := readBody(httpResp, req.maxBytes)
	if err != nil {
		return response{}, transportError(req, true, err)
	}
	return response{status: httpResp.StatusCode, header: httpResp.Header, body: body}, nil
}

// newHTTPRequest returns req as a request of package net/http.
func (c *client) newHTTPRequest(ctx context.Context, req request) (*http.Request, error) {
	target := url.URL{Scheme: "http", Host: c.addr, Path: req.path, RawQuery: req.query.Encode()}
	httpReq, err := http.NewRequestWithContext(ctx, req.method, target.String(), bytes.NewReader(req.body))
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrRefused, err)
	}
	for name, values := range req.header {
		httpReq.Header[name] = values
	}
	if c.token != "" {
		httpReq.Header.Set("Authorization", "Bearer "+c.token)
	}
	return httpReq, nil
}

// readBody reads the body of a response. It returns an error if the body is longer
// than limit bytes, or than maxErrorBytes in an error response.
func readBody(httpResp *http.Response, limit int64) ([]byte, error) {
	if httpResp.StatusCode >= http.StatusBadRequest {
		limit = maxErrorBytes
	}
	if httpResp.ContentLength > limit {
		return nil, errors.Errorf("response body has %d bytes, limit is %d", httpResp.ContentLength, limit)
	}
	if httpResp.ContentLength >= 0 {
		body := make([]byte, httpResp.ContentLength)
		_, err := io.ReadFull(httpResp.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(httpResp.Body, limit+1))
	if err == nil && int64(len(body)) > limit {
		err = errors.Errorf("response body is longer than the limit of %d bytes", limit)
	}
	return body, err
}

// transportError returns the error for a request without a complete response. It
// is ErrUnknownOutcome for a write whose headers were sent. Any other request
// had no effect, and the error is ErrUnavailable.
func transportError(req request, sent bool, err error) error {
	if req.isWrite() && sent {
		return fmt.Errorf("%w: %v", ErrUnknownOutcome, err)
	}
	return fmt.Errorf("%w: %v", ErrUnavailable, err)
}

// statusError returns the error for the status of resp, the response to req, or
// nil if the request succeeded.
func statusError(req request, resp response) error {
	switch s := resp.status; {
	case s >= 200 && s < 300:
		return nil
	case s == http.StatusNotModified:
		return ErrNotModified
	case s == http.StatusNotFound:
		return ErrNotFound
	case s == http.StatusConflict, s == http.StatusPreconditionFailed:
		return fmt.Errorf("%w: %s", ErrConflict, errorText(resp))
	case s == http.StatusServiceUnavailable, s == http.StatusTooManyRequests:
		return fmt.Errorf("%w: status %d", ErrUnavailable, s)
	case s >= 500 && req.isWrite():
		return fmt.Errorf("%w: status %d", ErrUnknownOutcome, s)
	case s >= 500:
		return fmt.Errorf("%w: status %d", ErrUnavailable, s)
	default:
		return fmt.Errorf("%w: status %d: %s", ErrRefused, s, errorText(resp))
	}
}

// errorText returns the start of the body of an error response.
func errorText(resp response) string {
	const maxTextBytes = 200
	body := bytes.TrimSpace(resp.body)
	if len(body) > maxTextBytes {
		body = body[:maxTextBytes]
	}
	return string(body)
}
