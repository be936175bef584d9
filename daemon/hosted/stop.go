package hosted

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// drainer has the method that shutDownClientServer calls on the handler of client
// requests.
type drainer interface {
	// Drain makes each further response close its connection.
	Drain()
}

// shutdowner has the method that shutDownClientServer calls on the HTTP server.
type shutdowner interface {
	// Shutdown closes the listener and waits for the running requests.
	Shutdown(ctx context.Context) error
}

// shutDownClientServer stops the server for clients within grace. The server accepts
// new connections until the load balancer has detected that the instance is not
// ready. Then it closes the listener and waits for the running requests. Clients
// that know no other entry instance may still try to connect after that.
func shutDownClientServer(clock clockwork.Clock, handler drainer, server shutdowner, grace time.Duration) error {
	handler.Drain()
	clock.Sleep(acceptPeriodAfterSignal)
	ctx, cancel := clockwork.WithTimeout(context.Background(), clock, grace-acceptPeriodAfterSignal)
	defer cancel()
	return server.Shutdown(ctx)
}
