package hosted

import (
	"context"
	"log"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/oklog/run"
	gometrics "github.com/rcrowley/go-metrics"

	"github.com/rattanway/rattanway/process/eventlog"
	"github.com/rattanway/rattanway/process/httpserver"
	"github.com/rattanway/rattanway/process/metrics"
)

// shutdownTimeout limits how long the shutdown of each internal HTTP server
// takes.
const shutdownTimeout = 200 * time.Millisecond

// addServer adds to the group an actor that serves handler on addr.
func addServer(g *run.Group, addr string, handler http.Handler) error {
	server, err := httpserver.Listen(addr, handler)
	if err != nil {
		return err
	}
	g.Add(server.Run, func(error) {
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		// Other processes of this system keep their connections open. When ctx
		// ends, Shutdown closes them and returns an error, which is expected.
		_ = server.Shutdown(ctx)
	})
	return nil
}

// addMetrics adds to the group an actor that serves the metrics of registry on
// port. If port is 0, addMetrics does nothing.
func addMetrics(g *run.Group, ip string, port int, registry gometrics.Registry) error {
	if port == 0 {
		return nil
	}
	mux := http.NewServeMux()
	mux.Handle("GET "+metrics.Path, metrics.Handler(registry))
	return addServer(g, net.JoinHostPort(ip, strconv.Itoa(port)), mux)
}

// newErrorLog returns the error log of an HTTP server, which writes each line as an
// event.
func newErrorLog(l *eventlog.Logger) *log.Logger { return log.New(errorLogWriter{l}, "", 0) }

// errorLogWriter is the output of a standard logger. It writes each line as an
// event.
type errorLogWriter struct{ log *eventlog.Logger }

// Write writes line as an event. It returns no error.
func (w errorLogWriter) Write(line []byte) (int, error) {
	w.log.Event(eventServerError, eventlog.Fields{"error": strings.TrimSpace(string(line))})
	return len(line), nil
}
