package hosted

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// drainer is a handler of client requests.
type drainer interface {
	// Drain makes each further response close its connection.
	Drain()
}

// shutdowner is an HTTP server.
type shutdowner interface {
	// Shutdown closes the listener and waits for the running requests.
	Shutdown(ctx context.Context) error
}

// shutDownClients stops the server for clients within grace. It accepts new
// connections until the load balancer has detected that the instance is not ready,
// and then none, although clients without another entry instance may still try to
// connect. It waits for the running requests.
func shutDownClients(clock clockwork.Clock, handler drainer, server shutdowner, grace time.Duration) error {
	handler.Drain()
	clock.Sleep(acceptAfterSignal)
	ctx, cancel := clockwork.WithTimeout(context.Background(), clock, grace-acceptAfterSignal)
	defer cancel()
	return server.Shutdown(ctx)
}
