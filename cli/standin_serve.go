package cli

import (
	"context"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/oklog/run"
)

const (
	// standinHeaderTimeout limits the time to read the headers of a request.
	standinHeaderTimeout = 5 * time.Second
	// standinStopTimeout limits the wait for requests in flight at shutdown.
	standinStopTimeout = 30 * time.Second
)

// serveStandin serves handler at the address and runs the background tasks until
// SIGINT or SIGTERM arrives or a task ends. It then waits at most standinStopTimeout
// for the requests in flight.
func serveStandin(address string, handler http.Handler, background ...func(context.Context) error) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrapf(err, "listen %s", address)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: standinHeaderTimeout}
	var group run.Group
	group.Add(func() error { return server.Serve(listener) }, func(error) {
		ctx, cancel := context.WithTimeout(context.Background(), standinStopTimeout)
		defer cancel()
		_ = server.Shutdown(ctx)
	})
	for _, task := range background {
		ctx, cancel := context.WithCancel(context.Background())
		group.Add(func() error { return task(ctx) }, func(error) { cancel() })
	}
	group.Add(run.SignalHandler(context.Background(), os.Interrupt, syscall.SIGTERM))
	err = group.Run()
	var signalError *run.SignalError
	if errors.As(err, &signalError) {
		return nil
	}
	return err
}
