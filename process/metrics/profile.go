package metrics

import (
	"net/http"
	"net/http/pprof"
)

// ProfilePath is the HTTP path below which the process's profiles are served.
const ProfilePath = "/internal/debug/pprof/"

// ProfileHandler returns a handler that serves the profiles of net/http/pprof
// below ProfilePath. It does not check the peer token; the caller must.
func ProfileHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(ProfilePath+"profile", pprof.Profile)
	for _, name := range []string{"heap", "allocs", "goroutine", "mutex", "block"} {
		mux.Handle(ProfilePath+name, pprof.Handler(name))
	}
	return mux
}
