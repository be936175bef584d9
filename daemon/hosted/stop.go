package hosted

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// drainer is the part of the handler of client requests that shutDownClients uses.
type drainer interface {
	// Drain makes each further response close its connection.
	Drain()
}

// shutdowner is the part of an HTTP server that shutDownClients uses.
type shutdowner interface {
	// Shutdown closes the listener and waits for the running requests.
	Shutdown(ctx context.Context) error
}

// shutDownClients stops the server for clients within grace. The server accepts
// new connections until the load balancer has detected that the instance is not
// ready. Then it closes the listener, although clients without another entry
// instance may still try to connect, and waits for the running requests.
func shutDownClients(clock clockwork.Clock, handler drainer, server shutdowner, grace time.Duration) error {
	handler.Drain()
	clock.Sleep(acceptPeriodAfterSignal)
	ctx, cancel := clockwork.WithTimeout(context.Background(), clock, grace-acceptPeriodAfterSignal)
	defer cancel()
	return server.Shutdown(ctx)
}
