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

// shutdownTime bounds the end of the internal listeners.
const shutdownTime = 200 * time.Millisecond

// addServer adds an HTTP listener.
func addServer(g *run.Group, addr string, handler http.Handler) error {
	server, err := httpserver.Listen(addr, handler)
	if err != nil {
		return err
	}
	g.Add(server.Run, func(error) {
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTime)
		defer cancel()
		// Connections of our own processes stay open; they are cut here.
		_ = server.Shutdown(ctx)
	})
	return nil
}

// addMetrics adds the listener for metrics unless port is 0.
func addMetrics(g *run.Group, ip string, port int, registry gometrics.Registry) error {
	if port == 0 {
		return nil
	}
	mux := http.NewServeMux()
	mux.Handle("GET "+metrics.Path, metrics.Handler(registry))
	return addServer(g, net.JoinHostPort(ip, strconv.Itoa(port)), mux)
}

// httpErrors returns a standard logger that writes to the event log.
func httpErrors(l *eventlog.Logger) *log.Logger { return log.New(errorLines{l}, "", 0) }

// errorLines takes the lines of a standard logger.
type errorLines struct{ log *eventlog.Logger }

// Write implements io.Writer.
func (e errorLines) Write(line []byte) (int, error) {
	e.log.Event(eventServer, eventlog.Fields{"error": strings.TrimSpace(string(line))})
	return len(line), nil
}
