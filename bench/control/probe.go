package control

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/process/metrics"
)

// usage holds the resource metrics of a daemon at one time.
type usage struct {
	at             time.Time
	cpuTime        time.Duration
	heapBytes      float64
	stackBytes     float64
	rssBytes       float64
	goroutines     float64
	platformReads  float64
	platformWrites float64
}

// memory returns the size of the live heap and the stacks together, in bytes.
func (u usage) memory() float64 { return u.heapBytes + u.stackBytes }

// cpuCores returns the mean number of processor cores that the daemon used between
// two usages.
func cpuCores(from, to usage) float64 {
	return (to.cpuTime - from.cpuTime).Seconds() / to.at.Sub(from.at).Seconds()
}

// probe reads the metrics of one daemon.
type probe struct {
	addr  string
	token string
}

// readAfterGC makes the daemon run its garbage collector twice and returns its usage.
func (p probe) readAfterGC(ctx context.Context) (usage, error) {
	for range 2 {
		if _, err := p.httpGet(ctx, metrics.ProfilePath+"heap?gc=1"); err != nil {
			return usage{}, err
		}
	}
	return p.read(ctx)
}

// read returns the usage of the daemon.
func (p probe) read(ctx context.Context) (usage, error) {
	body, err := p.httpGet(ctx, metrics.Path)
	if err != nil {
		return usage{}, err
	}
	var values map[string]struct {
		Value float64 `json:"value"`
		Count float64 `json:"count"`
	}
	if err := json.Unmarshal(body, &values); err != nil {
		return usage{}, core.WrapStep("read metrics", p.addr, err)
	}
	return usage{
		at:             time.Now(),
		cpuTime:        time.Duration(values["process.cpu.microseconds"].Value) * time.Microsecond,
		heapBytes:      values["process.heap.live.bytes"].Value,
		stackBytes:     values["process.stack.bytes"].Value,
		rssBytes:       values["process.rss.bytes"].Value,
		goroutines:     values["process.goroutines"].Value,
		platformReads:  values["platform.reads"].Count,
		platformWrites: values["platform.writes"].Count,
	}, nil
}

// httpGet returns the body of a GET request to the daemon.
func (p probe) httpGet(ctx context.Context, path string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.addr+path, nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set(core.HeaderPeerToken, p.token)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, core.WrapStep("read metrics", p.addr, err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = errors.Errorf("status %d", resp.StatusCode)
	}
	return body, core.WrapStep("read metrics", p.addr, err)
}

// window holds the usage of a daemon at the start and at the end of a measurement.
type window struct {
	from, to usage
	// traffic holds the bytes that each traffic counter counted between from and
	// to.
	traffic []float64
}

// measureWindow measures the usage of the daemon, and the counted traffic, over the
// time d.
func measureWindow(ctx context.Context, p probe, d time.Duration, counted ...*traffic) (window, error) {
	var w window
	var err error
	if w.from, err = p.readAfterGC(ctx); err != nil {
		return w, err
	}
	before := wireBytes(counted)
	if err := sleep(ctx, d); err != nil {
		return w, err
	}
	if w.to, err = p.read(ctx); err != nil {
		return w, err
	}
	for i, after := range wireBytes(counted) {
		w.traffic = append(w.traffic, after-before[i])
	}
	return w, nil
}

// seconds returns the length of the window in seconds.
func (w window) seconds() float64 { return w.to.at.Sub(w.from.at).Seconds() }

// cpuSeconds returns the processor time used in the window, in seconds.
func (w window) cpuSeconds() float64 { return (w.to.cpuTime - w.from.cpuTime).Seconds() }

// wireBytes returns the bytes on the wire that each counter has counted so far.
func wireBytes(counted []*traffic) []float64 {
	var bytes []float64
	for _, t := range counted {
		bytes = append(bytes, t.wireBytes())
	}
	return bytes
}

// sleep waits for d, or until ctx is done.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
