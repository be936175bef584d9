package control

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"github.com/rattanway/rattanway/core"
)

// maxIdleConns is the maximum number of idle connections that the client keeps.
const maxIdleConns = 4096

// client makes streamed calls and records when their tokens arrive.
type client struct {
	http *http.Client
	// promptNumber makes each prompt different, so that no prefix is cached.
	promptNumber atomic.Int64
}

func newClient() *client {
	return &client{http: &http.Client{Transport: &http.Transport{
		MaxIdleConns: maxIdleConns, MaxIdleConnsPerHost: maxIdleConns,
	}}}
}

// streamTimes holds the time to the first token of a stream and the times between
// its tokens.
type streamTimes struct {
	firstToken time.Duration
	gaps       []time.Duration
}

// makeCall makes one call, reads the response to its end and returns the times of
// its tokens. It returns an error if the response does not have the given number of
// tokens.
func (c *client) makeCall(ctx context.Context, addr string, tokens int) (streamTimes, error) {
	req, err := c.newRequest(ctx, addr, tokens)
	if err != nil {
		return streamTimes{}, err
	}
	start := time.Now()
	resp, err := c.http.Do(req)
	if err != nil {
		return streamTimes{}, core.WrapStep("call", addr, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		detail, _ := io.ReadAll(io.LimitReader(resp.Body, kib))
		return streamTimes{}, core.WrapStep("call", addr, errors.Errorf("status %d: %s", resp.StatusCode, detail))
	}
	times, err := readEvents(resp.Body, start)
	if err == nil && len(times.gaps) != tokens-1 {
		err = errors.Errorf("%d tokens, want %d", len(times.gaps)+1, tokens)
	}
	return times, core.WrapStep("call", addr, err)
}

// newRequest builds a chat call with a unique prompt.
func (c *client) newRequest(ctx context.Context, addr string, tokens int) (*http.Request, error) {
	body, err := json.Marshal(map[string]any{
		"model": modelName, "stream": true, "max_tokens": tokens,
		"messages": []map[string]string{{"role": "user", "content": fmt.Sprintf("label %d", c.promptNumber.Add(1))}},
	})
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+accountKey)
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}

// readEvents reads a streamed response to its end and returns the times of its
// tokens. It returns io.EOF if the stream ends without [DONE].
func readEvents(body io.Reader, start time.Time) (streamTimes, error) {
	var times streamTimes
	var last time.Time
	done := false
	reader := bufio.NewReader(body)
	for {
		line, err := reader.ReadSlice('\n')
		if errors.Is(err, io.EOF) && done {
			return times, nil
		}
		if err != nil {
			return times, err
		}
		now := time.Now()
		switch {
		case bytes.HasPrefix(line, []byte("data: [DONE]")):
			done = true
		case !bytes.HasPrefix(line, []byte("data: ")):
		case last.IsZero():
			times.firstToken = now.Sub(start)
			last = now
		default:
			times.gaps = append(times.gaps, now.Sub(last))
			last = now
		}
	}
}

// runStreams runs n concurrent streams, each of which makes the given number of
// calls one after another, and returns the times of all calls. The starts of the
// streams are distributed evenly over startSpread.
func (c *client) runStreams(ctx context.Context, addr string, n, tokens, calls int, startSpread time.Duration) ([]streamTimes, error) {
	all := make([]streamTimes, n*calls)
	group, ctx := errgroup.WithContext(ctx)
	for i := range n {
		group.Go(func() error {
			if err := sleep(ctx, startSpread*time.Duration(i)/time.Duration(n)); err != nil {
				return err
			}
			for j := range calls {
				times, err := c.makeCall(ctx, addr, tokens)
				if err != nil {
					return err
				}
				all[i*calls+j] = times
			}
			return nil
		})
	}
	return all, group.Wait()
}

// waitUntilReady waits until a call through the entry instance succeeds.
func (c *client) waitUntilReady(ctx context.Context, addr string) error {
	return waitUntil(ctx, "the model responds", func() bool {
		_, err := c.makeCall(ctx, addr, 1)
		return err == nil
	})
}
