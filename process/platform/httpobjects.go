package platform

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/rattanway/rattanway/core"
)

// httpObjectStore implements ObjectStore over HTTP.
type httpObjectStore struct {
	client *client
	// prefix is the URL path of the store, before the names of objects.
	prefix  string
	timeout time.Duration
}

// Get implements ObjectStore with a range request.
func (o *httpObjectStore) Get(ctx context.Context, name string, offset, length int64) ([]byte, error) {
	if length == 0 {
		return nil, nil
	}
	req := request{
		step:     "read object " + name,
		method:   http.MethodGet,
		path:     o.prefix + name,
		header:   http.Header{},
		maxBytes: maxObjectBytes,
	}
	if offset > 0 || length > 0 {
		req.header.Set("Range", rangeHeader(offset, length))
	}
	resp, err := o.client.do(ctx, o.timeout, req)
	if err != nil {
		return nil, err
	}
	if resp.status == http.StatusPartialContent {
		return resp.body, nil
	}
	body, err := sliceRange(resp.body, offset, length)
	return body, core.WrapStep(req.step, o.client.addr, err)
}

// Put implements ObjectStore.
func (o *httpObjectStore) Put(ctx context.Context, name string, body []byte) error {
	_, err := o.client.do(ctx, o.timeout, request{
		step:     "write object " + name,
		method:   http.MethodPut,
		path:     o.prefix + name,
		header:   http.Header{"Content-Type": {"application/octet-stream"}},
		body:     body,
		maxBytes: maxErrorBytes,
	})
	return err
}

// rangeHeader returns the value of the Range header for length bytes from offset;
// a negative length means to the end.
func rangeHeader(offset, length int64) string {
	if length < 0 {
		return fmt.Sprintf("bytes=%d-", offset)
	}
	return fmt.Sprintf("bytes=%d-%d", offset, offset+length-1)
}

// sliceRange returns length bytes of body from offset; a negative length means to
// the end. It is used when the platform responds to a range request with the
// complete object.
func sliceRange(body []byte, offset, length int64) ([]byte, error) {
	if offset > int64(len(body)) {
		return nil, fmt.Errorf("%w: offset %d is beyond the object's %d bytes", ErrRefused, offset, len(body))
	}
	body = body[offset:]
	if length >= 0 && length < int64(len(body)) {
		body = body[:length]
	}
	return body, nil
}

// Delete deletes an object. It returns nil if the object does not exist. The
// interface ObjectStore does not include Delete, because only the history of the
// configuration deletes objects, and only its own.
func (o *httpObjectStore) Delete(ctx context.Context, name string) error {
	_, err := o.client.do(ctx, o.timeout, request{
		step:     "delete object " + name,
		method:   http.MethodDelete,
		path:     o.prefix + name,
		maxBytes: maxErrorBytes,
	})
	if errors.Is(err, ErrNotFound) {
		return nil
	}
	return err
}
