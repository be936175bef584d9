// Package httpserver runs HTTP listeners and holds the middleware that checks the
// token of requests between the processes of this system.
package httpserver

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/rattanway/rattanway/core"
)

// headerTimeout limits how long reading a request's header takes.
const headerTimeout = 5 * time.Second

// maxHeaderBytes is the maximum size of a request's header, in bytes.
const maxHeaderBytes = 64 << 10

// Server is an HTTP server with an open listener.
type Server struct {
	httpServer *http.Server
	listener   net.Listener
}

// Listen returns a Server that listens on addr ("ip:port") and serves handler. It
// serves no request before Run is called.
func Listen(addr string, handler http.Handler) (*Server, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, core.WrapStep("listen", addr, err)
	}
	return &Server{
		httpServer: &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: headerTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
		},
		listener: listener,
	}, nil
}

// Addr returns the address of the listener.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Run serves requests until Shutdown is called, and then returns nil.
func (s *Server) Run() error {
	err := s.httpServer.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return core.WrapStep("serve", s.Addr(), err)
}

// Shutdown closes the listener and waits for the requests in flight. If ctx ends
// first, Shutdown closes the remaining connections and returns an error.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.httpServer.Shutdown(ctx)
	if err != nil {
		_ = s.httpServer.Close()
	}
	return core.WrapStep("shut down", s.Addr(), err)
}

// RequirePeerToken returns a handler that passes requests with the peer token to
// next and responds to all other requests with status 401. If token is empty, it
// passes no request.
func RequirePeerToken(token string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if token == "" || !core.SameSecret(r.Header.Get(core.HeaderPeerToken), token) {
			http.Error(w, "peer token missing or wrong", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}
