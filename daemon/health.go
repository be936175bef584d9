package daemon

import (
	"fmt"
	"net/http"
)

// URL paths of the health and readiness checks, which need no token.
const (
	healthPath = "/healthz"
	readyPath  = "/readyz"
)

// serveHealth responds with status 200 while the process runs.
func serveHealth(w http.ResponseWriter, _ *http.Request) {
	_, _ = fmt.Fprintln(w, "ok")
}

// newReadyHandler returns the handler of the readiness check. It responds with
// status 200 if notReadyReason returns an empty string, and otherwise with status
// 503 and the reason.
func newReadyHandler(notReadyReason func() string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if reason := notReadyReason(); reason != "" {
			http.Error(w, reason, http.StatusServiceUnavailable)
			return
		}
		_, _ = fmt.Fprintln(w, "ready")
	})
}
