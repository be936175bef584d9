package serve

import (
	"strings"

	"github.com/rattanway/rattanway/connection/engine"
	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/version/declare"
)

// Paths that a model engine serves.
const (
	chatPath       = "/v1/chat/completions"
	completionPath = "/v1/completions"
)

// refusalReason returns why the new call req may not run on this server now, or
// "" when it may. repeatable is true for a repeatable call, which the entry
// instance sends without the offer that precedes a once-only call.
func (h *Handler) refusalReason(req *frame.Request, repeatable bool) frame.Reason {
	// The confirmation is checked before the configuration is read. In the
	// other order, a newer version could arrive between the two steps, and the
	// confirmation of the newer version would count for the older version.
	unconfirmed := h.configUnconfirmed()
	current := h.holder.Current()
	if unconfirmed || req.ConfigNumber > current.Number {
		return frame.ReasonStaleConfig
	}
	if h.Leaving() {
		return frame.ReasonLeaving
	}
	if dc := current.Set.DataCentres[h.cfg.Self.DataCentre]; dc != nil && dc.Out {
		return frame.ReasonDataCentreOut
	}
	if !h.servesCall(current.Set, req, repeatable) {
		return frame.ReasonUnknownOperation
	}
	return h.engineRefusalReason(req)
}

// configUnconfirmed reports whether the configuration was last confirmed more
// than MaxConfirmAge ago, for example because this process was paused.
func (h *Handler) configUnconfirmed() bool {
	if h.cfg.LastConfirmed == nil {
		return false
	}
	return hasElapsed(h.cfg.LastConfirmed(), h.clock.Now(), h.cfg.MaxConfirmAge)
}

// declaredLeaving reports whether the configuration marks this backend server
// as leaving.
func (h *Handler) declaredLeaving() bool {
	server := h.holder.Current().Set.BackendServers[h.cfg.Self.ID]
	return server != nil && server.Leaving
}

// servesCall reports whether this server serves the path and method of req. A
// non-repeatable route is only served after an offer.
func (h *Handler) servesCall(set *declare.Set, req *frame.Request, repeatable bool) bool {
	path, _, _ := strings.Cut(req.Path, "?")
	if h.cfg.Service == "" {
		return repeatable && req.Digest != "" && (path == chatPath || path == completionPath)
	}
	service := set.Services[h.cfg.Service]
	if service == nil {
		return false
	}
	for _, route := range service.Routes {
		if route.Method == req.Method && pathMatches(route.Path, path) {
			return route.Repeatable || !repeatable
		}
	}
	return false
}

// pathMatches reports whether path begins with pattern if pattern ends in a slash,
// or otherwise equals pattern.
func pathMatches(pattern, path string) bool {
	if strings.HasSuffix(pattern, "/") {
		return strings.HasPrefix(path, pattern)
	}
	return path == pattern
}

// engineRefusalReason returns why the engine or service cannot run req, or ""
// when it can, according to the latest status. It passes the boot id in the
// status to SetBootID.
func (h *Handler) engineRefusalReason(req *frame.Request) frame.Reason {
	status, ok := h.status()
	if !ok {
		return frame.ReasonDown
	}
	h.SetBootID(status.Boot)
	if req.Digest != "" && !hasLoaded(status, req) {
		return frame.ReasonDigestMismatch
	}
	return ""
}

// hasLoaded reports whether the engine lists the model version pinned by req as
// loaded.
func hasLoaded(status engine.Status, req *frame.Request) bool {
	for _, loaded := range status.Loaded {
		if loaded.Model == req.Model && loaded.Digest == req.Digest {
			return true
		}
	}
	return false
}

// SetBootID stores the engine's boot id. If the id has changed, SetBootID
// resets the limiter, because the engine has restarted or turned cold (it now
// runs fewer calls at full speed).
func (h *Handler) SetBootID(boot string) {
	h.mu.Lock()
	previous := h.bootID
	h.bootID = boot
	h.mu.Unlock()
	if previous != "" && previous != boot {
		h.limiter.Reset()
	}
}
