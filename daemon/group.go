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

// addRunner adds an actor to the group that calls runner. The context of runner
// ends when the group stops.
func addRunner(g *run.Group, runner func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error { return runner(ctx) }, func(error) { cancel() })
}

// stopTimeout bounds the shutdown of the HTTP server after the work in flight has
// ended.
const stopTimeout = 5 * time.Second

// stopServer shuts an HTTP server down within stopTimeout.
func stopServer(server *httpserver.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	_ = server.Shutdown(ctx)
}

// addSignals adds an actor to the group that calls drain at SIGTERM or SIGINT and
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
