package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/rattanway/rattanway/core"
)

// URL paths of the table.
const (
	rowsPath   = "/table/rows"
	commitPath = "/table/commit"
)

// RowList is the body of the response to a list request.
type RowList struct {
	// Rows holds the rows sorted by key.
	Rows []Row `json:"rows"`
}

// CommitRequest is the body of a commit request.
type CommitRequest struct {
	// Writes holds the writes; all of them are applied or none.
	Writes []Write `json:"writes"`
}

// httpTable implements Table over HTTP. The ETag of a row is its revision.
type httpTable struct {
	client  *client
	timeout time.Duration
}

// Get implements Table.
func (t *httpTable) Get(ctx context.Context, key string, knownRevision uint64) (Row, error) {
	req := request{
		step:     "read row " + key,
		method:   http.MethodGet,
		path:     rowsPath + "/" + key,
		maxBytes: maxRowBytes,
		header:   http.Header{},
	}
	if knownRevision != 0 {
		req.header.Set("If-None-Match", ETag(knownRevision))
	}
	resp, err := t.client.do(ctx, t.timeout, req)
	if err != nil {
		return Row{}, err
	}
	revision, err := ParseETag(resp.header.Get("ETag"))
	if err != nil {
		return Row{}, core.WrapStep(req.step, t.client.addr, fmt.Errorf("%w: %v", ErrUnavailable, err))
	}
	return Row{Key: key, Value: resp.body, Revision: revision}, nil
}

// List implements Table.
func (t *httpTable) List(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	req := request{
		step:     "list rows " + prefix,
		method:   http.MethodGet,
		path:     rowsPath,
		query:    url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}},
		maxBytes: maxListBytes,
	}
	resp, err := t.client.do(ctx, t.timeout, req)
	if err != nil {
		return nil, err
	}
	var list RowList
	if err := json.Unmarshal(resp.body, &list); err != nil {
		return nil, core.WrapStep(req.step, t.client.addr, fmt.Errorf("%w: %v", ErrUnavailable, err))
	}
	return list.Rows, nil
}

// Commit implements Table.
func (t *httpTable) Commit(ctx context.Context, writes []Write) error {
	body, err := json.Marshal(CommitRequest{Writes: writes})
	if err != nil {
		return core.WrapStep("commit", t.client.addr, fmt.Errorf("%w: %v", ErrRefused, err))
	}
	_, err = t.client.do(ctx, t.timeout, request{
		step:     "commit",
		method:   http.MethodPost,
		path:     commitPath,
		header:   http.Header{"Content-Type": {"application/json"}},
		body:     body,
		maxBytes: maxErrorBytes,
	})
	return err
}

// ETag returns the entity tag of a row with the given revision.
func ETag(revision uint64) string { return strconv.Quote(strconv.FormatUint(revision, 10)) }

// ParseETag returns the revision of a row with the given entity tag.
func ParseETag(tag string) (uint64, error) {
	return strconv.ParseUint(strings.Trim(tag, `"`), 10, 64)
}
