package platform

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rattanway/rattanway/core"
)

// gzipEncoding is the content encoding that List accepts. Compression saves much
// bandwidth, because every process reads the complete list at each change and the
// list is repetitive.
const gzipEncoding = "gzip"

// InstanceList is the body of a response with the platform's list of instances.
type InstanceList struct {
	// Instances holds the instances sorted by id.
	Instances []core.Instance `json:"instances"`
}

// httpInstanceLister implements InstanceLister over HTTP.
type httpInstanceLister struct {
	client  *client
	timeout time.Duration
}

// List implements InstanceLister. The tag is the list's ETag.
func (i *httpInstanceLister) List(ctx context.Context, tag string) ([]core.Instance, string, error) {
	req := request{
		step:     "list instances",
		method:   http.MethodGet,
		path:     "/instances",
		header:   http.Header{"Accept-Encoding": {gzipEncoding}},
		maxBytes: maxListBytes,
	}
	if tag != "" {
		req.header.Set("If-None-Match", tag)
	}
	resp, err := i.client.do(ctx, i.timeout, req)
	if err != nil {
		return nil, tag, err
	}
	list, err := decodeList(resp)
	if err != nil {
		return nil, tag, core.WrapStep(req.step, i.client.addr, fmt.Errorf("%w: %v", ErrUnavailable, err))
	}
	return list.Instances, resp.header.Get("ETag"), nil
}

// decodeList decodes the instance list in a response, which may be compressed.
func decodeList(resp response) (InstanceList, error) {
	var list InstanceList
	var body io.Reader = bytes.NewReader(resp.body)
	if resp.header.Get("Content-Encoding") == gzipEncoding {
		unzipped, err := gzip.NewReader(body)
		if err != nil {
			return list, err
		}
		body = io.LimitReader(unzipped, maxListBytes)
	}
	err := json.NewDecoder(body).Decode(&list)
	return list, err
}
