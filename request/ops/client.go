package ops

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/rattanway/rattanway/core"
)

// clientTimeout limits one request. It exceeds requestTimeout, the limit of the
// server, so that the server's error reaches the client.
const clientTimeout = requestTimeout + 5*time.Second

// maxResponseBytes is the largest part of a response body that is read; the rest
// is ignored.
const maxResponseBytes = 32 << 20

// Client calls the operator API of one entry instance. When the server refuses
// a request, the error wraps a *Problem.
type Client struct {
	addr  string
	token string
	http  *http.Client
}

// NewClient returns a Client for the entry instance at addr ("ip:port").
func NewClient(addr, token string) *Client {
	return &Client{addr: addr, token: token, http: &http.Client{Timeout: clientTimeout}}
}

// Plan previews the changes that the declarations in req would make.
func (c *Client) Plan(ctx context.Context, req PlanRequest) (PlanResponse, error) {
	var response PlanResponse
	err := c.callJSON(ctx, http.MethodPost, "/ops/plan", req, &response)
	return response, err
}

// Apply makes the declarations in req the next configuration version.
func (c *Client) Apply(ctx context.Context, req ApplyRequest) (ChangeResponse, error) {
	var response ChangeResponse
	err := c.callJSON(ctx, http.MethodPost, "/ops/apply", req, &response)
	return response, err
}

// Revert makes the content of an old version the next version.
func (c *Client) Revert(ctx context.Context, req RevertRequest) (ChangeResponse, error) {
	var response ChangeResponse
	err := c.callJSON(ctx, http.MethodPost, "/ops/revert", req, &response)
	return response, err
}

// SetDataCentreOut takes a data centre out of service if out is true, and puts it
// back into service otherwise.
func (c *Client) SetDataCentreOut(ctx context.Context, name string, out bool, metadata ChangeMetadata) (ChangeResponse, error) {
	action := "in"
	if out {
		action = "out"
	}
	var response ChangeResponse
	err := c.callJSON(ctx, http.MethodPost, "/ops/datacentres/"+url.PathEscape(name)+"/"+action, metadata, &response)
	return response, err
}

// SetBackendServerLeaving takes a backend server out of service if leaving is
// true, and puts it back into service otherwise.
func (c *Client) SetBackendServerLeaving(ctx context.Context, name string, leaving bool, metadata ChangeMetadata) (ChangeResponse, error) {
	action := "staying"
	if leaving {
		action = "leaving"
	}
	var response ChangeResponse
	err := c.callJSON(ctx, http.MethodPost, "/ops/backendservers/"+url.PathEscape(name)+"/"+action, metadata, &response)
	return response, err
}

// History returns up to limit accepted versions, the newest first.
func (c *Client) History(ctx context.Context, limit int) (HistoryResponse, error) {
	var response HistoryResponse
	err := c.callJSON(ctx, http.MethodGet, "/ops/history?limit="+strconv.Itoa(limit), nil, &response)
	return response, err
}

// Snapshot returns the declarations of a version as YAML documents.
func (c *Client) Snapshot(ctx context.Context, number uint64) ([]byte, error) {
	return c.send(ctx, http.MethodGet, "/ops/snapshots/"+strconv.FormatUint(number, 10), nil)
}

// Status returns the status of the entry instance and its backend servers.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var response Status
	err := c.callJSON(ctx, http.MethodGet, "/ops/status", nil, &response)
	return response, err
}

// callJSON sends req as JSON, or an empty body if req is nil, and decodes the JSON
// of the response into response.
func (c *Client) callJSON(ctx context.Context, method, path string, req, response any) error {
	var body []byte
	if req != nil {
		var err error
		if body, err = json.Marshal(req); err != nil {
			return errors.Wrap(err, "encode request")
		}
	}
	raw, err := c.send(ctx, method, path, body)
	if err != nil {
		return err
	}
	return core.WrapStep("read response", c.addr, json.Unmarshal(raw, response))
}

// send sends a request and returns the response body. If the status is not 200, it
// returns an error that wraps the result of parseProblem.
func (c *Client) send(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	operation := method + " " + path
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.addr+path, bytes.NewReader(body))
	if err != nil {
		return nil, core.WrapStep(operation, c.addr, err)
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, core.WrapStep(operation, c.addr, err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, core.WrapStep(operation, c.addr, err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, core.WrapStep(operation, c.addr, parseProblem(resp.StatusCode, raw))
	}
	return raw, nil
}

// parseProblem returns the problem document in a response body as an error, or
// an error with the status if the body is not a problem document.
func parseProblem(status int, raw []byte) error {
	var p Problem
	if err := json.Unmarshal(raw, &p); err != nil || p.Type == "" {
		return errors.Errorf("status %d", status)
	}
	return &p
}
