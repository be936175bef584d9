package engine

import (
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"github.com/labstack/echo/v4"

	"github.com/rattanway/rattanway/connection/engine"
	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/version/manifest"
)

// Actions of an order.
const (
	actionLoad   = "load"
	actionUnload = "unload"
)

// loadTimeout limits the time to read the chunks of one version.
const loadTimeout = 10 * time.Minute

// postOrder carries out an order to load or unload a version. It responds before a
// load is complete. If Config.Fencing is set, it refuses an order with an outdated
// fencing number with status 409.
func (e *Engine) postOrder(c echo.Context) error {
	var order engine.Order
	if err := c.Bind(&order); err != nil {
		return err
	}
	if order.Action != actionLoad && order.Action != actionUnload {
		return echo.NewHTTPError(http.StatusBadRequest, "unknown action "+order.Action)
	}
	if !e.acceptFence(order.Fence) {
		return echo.NewHTTPError(http.StatusConflict, "fencing number too old")
	}
	if order.Action == actionUnload {
		e.unload(order)
		return c.NoContent(http.StatusAccepted)
	}
	go e.load(order)
	return c.NoContent(http.StatusAccepted)
}

// acceptFence reports whether an order with this fencing number may be carried out.
// It records the number of an accepted order if no accepted order had a higher one.
func (e *Engine) acceptFence(fence uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.Fencing && fence < e.highestFence {
		return false
	}
	e.highestFence = max(e.highestFence, fence)
	return true
}

// unload removes a version from the loaded versions. If the order has no digest,
// unload removes the versions with the name in the order.
func (e *Engine) unload(order engine.Order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loaded = slices.DeleteFunc(e.loaded, func(loaded frame.LoadedVersion) bool {
		return loaded.Model == order.Model && (loaded.Digest == order.Digest || order.Digest == "" && loaded.Version == order.Version)
	})
}

// load reads and verifies a version and then adds it to the loaded versions. If the
// version cannot be read or verified, load sets Counters.LoadError.
func (e *Engine) load(order engine.Order) {
	ctx, cancel := context.WithTimeout(context.Background(), loadTimeout)
	defer cancel()
	digest, err := e.verifyVersion(ctx, order)
	if err == nil {
		<-e.clock.After(e.cfg.LoadTime)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if err != nil {
		e.counters.LoadError = err.Error()
		return
	}
	e.counters.LoadError = ""
	version := frame.LoadedVersion{Model: order.Model, Version: order.Version, Digest: digest}
	if !slices.Contains(e.loaded, version) {
		e.loaded = append(e.loaded, version)
	}
}

// verifyVersion reads every chunk of a version and returns the manifest digest
// computed from the content of the chunks. It returns an error if this digest
// differs from the digest in the order.
func (e *Engine) verifyVersion(ctx context.Context, order engine.Order) (core.Digest, error) {
	raw, err := e.readObject(ctx, order.Source+"/manifests/"+string(order.Digest))
	if err != nil {
		return "", err
	}
	m, err := manifest.Decode(raw, order.Digest)
	if err != nil {
		return "", err
	}
	chunks := map[core.Digest]manifest.Chunk{}
	for _, c := range m.Chunks() {
		body, err := e.readObject(ctx, order.Source+"/chunks/"+string(c.Digest))
		if err != nil {
			return "", err
		}
		chunks[c.Digest] = manifest.Chunk{Digest: core.DigestOf(body), Size: int64(len(body))}
	}
	for _, f := range m.Files {
		for i, c := range f.Chunks {
			f.Chunks[i] = chunks[c.Digest]
		}
	}
	_, digest, err := m.Encode()
	if err != nil {
		return "", err
	}
	if digest != order.Digest {
		return "", errors.Errorf("chunks make up manifest %s, ordered %s", digest.Short(), order.Digest.Short())
	}
	return digest, nil
}

// readObject reads a manifest or a chunk from the agent.
func (e *Engine) readObject(ctx context.Context, url string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, core.WrapStep("read weights", url, err)
	}
	req.Header.Set(core.HeaderPeerToken, e.cfg.PeerToken)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, core.WrapStep("read weights", url, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, core.WrapStep("read weights", url, errors.Errorf("status %d", resp.StatusCode))
	}
	body, err := io.ReadAll(resp.Body)
	return body, core.WrapStep("read weights", url, err)
}
