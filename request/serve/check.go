package serve

import (
	"strings"

	"github.com/rattanway/rattanway/connection/engine"
	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/version/declare"
)

// Paths that a model engine answers.
const (
	chatPath       = "/v1/chat/completions"
	completionPath = "/v1/completions"
)

// check says why a new call may not run here now; the empty reason lets it.
// repeatable is true for a call that the entry sent without an offer.
func (h *Handler) check(req *frame.Request, repeatable bool) frame.Reason {
	// The configuration is read after the check that it is confirmed: a newer
	// version may come in between, and its confirmation says nothing of the old.
	unconfirmed := h.unconfirmed()
	current := h.holder.Current()
	if unconfirmed || req.Config > current.Number {
		return frame.ReasonStale
	}
	if h.Leaving() {
		return frame.ReasonLeaving
	}
	if dc := current.Set.DataCentres[h.cfg.Self.DataCentre]; dc != nil && dc.Out {
		return frame.ReasonOut
	}
	if !h.known(current.Set, req, repeatable) {
		return frame.ReasonUnknown
	}
	return h.checkEngine(req)
}

// unconfirmed reports whether no entry instance has confirmed the
// configuration recently, such as after a pause of this process.
func (h *Handler) unconfirmed() bool {
	if h.cfg.Confirmed == nil {
		return false
	}
	return passed(h.cfg.Confirmed(), h.clock.Now(), h.cfg.MaxConfirmAge)
}

// declaredLeaving reports whether the declarations make this server leave.
func (h *Handler) declaredLeaving() bool {
	server := h.holder.Current().Set.BackendServers[h.cfg.Self.ID]
	return server != nil && server.Leaving
}

// known reports whether the server answers calls like req. A route that may
// not be repeated is only run after an offer.
func (h *Handler) known(set *declare.Set, req *frame.Request, repeatable bool) bool {
	path, _, _ := strings.Cut(req.Path, "?")
	if h.cfg.Service == "" {
		return repeatable && req.Digest != "" && (path == chatPath || path == completionPath)
	}
	service := set.Services[h.cfg.Service]
	if service == nil {
		return false
	}
	for _, route := range service.Routes {
		if route.Method == req.Method && matches(route.Path, path) {
			return route.Repeatable || !repeatable
		}
	}
	return false
}

// matches reports whether path is the pattern, or below it when the pattern
// ends in a slash.
func matches(pattern, path string) bool {
	if strings.HasSuffix(pattern, "/") {
		return strings.HasPrefix(path, pattern)
	}
	return path == pattern
}

// checkEngine checks what the engine reports of itself.
func (h *Handler) checkEngine(req *frame.Request) frame.Reason {
	status, ok := h.status()
	if !ok {
		return frame.ReasonDown
	}
	h.NoteBoot(status.Boot)
	if req.Digest != "" && !holds(status, req) {
		return frame.ReasonDigest
	}
	return ""
}

// holds reports whether the engine reports the weights that req pins.
func holds(status engine.Status, req *frame.Request) bool {
	for _, l := range status.Loaded {
		if l.Model == req.Model && l.Digest == req.Digest {
			return true
		}
	}
	return false
}

// NoteBoot resets the limiter when the engine has started again.
func (h *Handler) NoteBoot(boot string) {
	h.mu.Lock()
	was := h.boot
	h.boot = boot
	h.mu.Unlock()
	if was != "" && was != boot {
		h.limiter.Reset()
	}
}
