package daemon

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/oklog/run"

	"github.com/rattanway/rattanway/process/httpserver"
)

// addRunner adds to the group an actor that calls runner. The context of runner
// ends when the group stops.
func addRunner(g *run.Group, runner func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error { return runner(ctx) }, func(error) { cancel() })
}

// shutdownTimeout limits the time of the HTTP server's shutdown after the work in
// flight has ended.
const shutdownTimeout = 5 * time.Second

// stopServer shuts an HTTP server down within shutdownTimeout.
func stopServer(server *httpserver.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	_ = server.Shutdown(ctx)
}

// addSignals adds to the group an actor that calls drain at SIGTERM or SIGINT and
// stops the group once drain has returned.
func addSignals(g *run.Group, drain func()) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	stop := make(chan struct{})
	g.Add(func() error {
		select {
		case <-signals:
			drain()
		case <-stop:
		}
		return nil
	}, func(error) {
		signal.Stop(signals)
		close(stop)
	})
}
