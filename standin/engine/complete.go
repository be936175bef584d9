package engine

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"

	"github.com/rattanway/rattanway/connection/engine"
	"github.com/rattanway/rattanway/core"
)

// maxBodyBytes is the maximum size of a request body, in bytes. Longer bodies are
// truncated.
const maxBodyBytes = 16 << 20

// HeaderPrefixCache is the response header that is "hit" if the prefix of the
// prompt was cached, and absent otherwise.
const HeaderPrefixCache = "X-Prefix-Cache"

// activeRequest is a completion request that waits for a batch slot or runs.
type activeRequest struct {
	completionRequest
	id string
	// digest is the manifest digest of the version that produces the response.
	digest core.Digest
	// seed determines the tokens of the response.
	seed uint64
	// receivedTokenCount is the number of tokens that the client has already
	// received from another attempt. The response begins with the next token.
	receivedTokenCount int
	// prefixCached reports whether the prefix of the prompt was cached.
	prefixCached bool
	// faults holds the faults that were active when the request arrived.
	faults Faults
	// chat is true for a chat completion.
	chat bool
}

// handleCompletion handles a completion request.
func (e *Engine) handleCompletion(c echo.Context) error {
	body, err := io.ReadAll(io.LimitReader(c.Request().Body, maxBodyBytes))
	if err != nil {
		return err
	}
	parsed, err := parseCompletionRequest(body)
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	r, err := e.prepareRequest(c, parsed)
	if err != nil {
		return err
	}
	ctx := c.Request().Context()
	if err := e.acquireSlot(ctx); err != nil {
		return err
	}
	finished := false
	defer func() { e.releaseSlot(finished) }()
	e.setHeaders(c, r)
	if r.Stream {
		finished = e.streamTokens(ctx, c, r)
		return nil
	}
	finished = e.sendCompletion(ctx, c, r)
	return nil
}

// prepareRequest selects the version for the response, determines the seed of the
// response and applies the fault ForeignResponse. It returns an error with status
// 404 if no version matches.
func (e *Engine) prepareRequest(c echo.Context, parsed completionRequest) (activeRequest, error) {
	header := c.Request().Header
	r := activeRequest{
		completionRequest: parsed,
		id:                header.Get(core.HeaderRequestID),
		chat:              strings.Contains(c.Path(), "chat"),
		faults:            e.currentFaults(),
	}
	r.receivedTokenCount, _ = strconv.Atoi(header.Get(engine.HeaderResumeTokens))
	r.digest = e.findVersion(parsed.Model, core.Digest(header.Get(core.HeaderDigest)))
	if r.digest == "" {
		return r, echo.NewHTTPError(http.StatusNotFound, "model "+parsed.Model+" is not loaded")
	}
	prompt := parsed.promptText()
	if r.faults.ForeignResponse {
		r.id, prompt = uuid.NewString(), prompt+" of another caller"
	}
	r.seed = tokenSeed(r.digest, prompt)
	e.mu.Lock()
	r.prefixCached = e.cache.lookup(prompt)
	e.mu.Unlock()
	return r, nil
}

// findVersion returns the digest of a loaded version of the model: the version with
// the required digest or, if required is empty, the version that was loaded last.
// It returns an empty digest if no such version is loaded.
func (e *Engine) findVersion(model string, required core.Digest) core.Digest {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := len(e.loaded) - 1; i >= 0; i-- {
		version := e.loaded[i]
		if version.Model == model && (required == "" || version.Digest == required) {
			return version.Digest
		}
	}
	return ""
}

// acquireSlot waits for a batch slot. If the engine is overloaded or the fault
// Refuse is active, it does not wait, and returns an error with status 503.
func (e *Engine) acquireSlot(ctx context.Context) error {
	e.mu.Lock()
	capacity := e.warmUp.capacity(e.clock.Now())
	if e.faults.Refuse || float64(e.inFlightCount+e.queuedCount+1) > refuseRatio*capacity {
		e.counters.Refused++
		e.mu.Unlock()
		return echo.NewHTTPError(http.StatusServiceUnavailable, "overloaded")
	}
	e.queuedCount++
	e.mu.Unlock()
	var err error
	select {
	case e.slots <- struct{}{}:
	case <-ctx.Done():
		err = ctx.Err()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.queuedCount--
	if err != nil {
		e.counters.Cancelled++
		return err
	}
	e.inFlightCount++
	e.counters.Started++
	e.counters.MaxInFlight = max(e.counters.MaxInFlight, e.inFlightCount)
	if float64(e.inFlightCount) > capacity {
		e.counters.Overloaded++
	}
	return nil
}

// releaseSlot frees the batch slot and counts the request as finished or, if
// finished is false, as cancelled.
func (e *Engine) releaseSlot(finished bool) {
	<-e.slots
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inFlightCount--
	if !finished {
		e.counters.Cancelled++
		return
	}
	e.counters.Finished++
	e.warmUp.recordFinished()
}

// setHeaders sets the response headers. If the prefix of the prompt was cached, it
// also counts a hit of the prefix cache.
func (e *Engine) setHeaders(c echo.Context, r activeRequest) {
	header := c.Response().Header()
	header.Set(core.HeaderRequestID, r.id)
	header.Set(core.HeaderDigest, string(r.digest))
	if r.prefixCached {
		header.Set(HeaderPrefixCache, "hit")
		e.mu.Lock()
		e.counters.PrefixHits++
		e.mu.Unlock()
	}
}

// waitForToken waits for the time that the token with index i takes. This time is
// longer while more requests run than the capacity. After the fault Stall,
// waitForToken waits until the client cancels the request. It returns false if the
// client has cancelled the request.
func (e *Engine) waitForToken(ctx context.Context, r activeRequest, i int) bool {
	if r.faults.Stall && i >= r.faults.StallAfter {
		<-ctx.Done()
		return false
	}
	pause := e.cfg.TokenInterval
	if i == r.receivedTokenCount {
		pause = e.cfg.TimeToFirstToken
		if r.prefixCached {
			pause = time.Duration(float64(pause) * cachedTimeShare)
		}
	}
	e.mu.Lock()
	factor := slowdown(e.inFlightCount, e.warmUp.capacity(e.clock.Now()))
	e.mu.Unlock()
	timer := e.clock.NewTimer(time.Duration(float64(pause) * factor))
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return true
	case <-ctx.Done():
		return false
	}
}

// countToken counts one sent token.
func (e *Engine) countToken() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counters.Tokens++
}
