package hosted

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// drainer answers requests and can be told that the process stops.
type drainer interface {
	Drain()
}

// shutter stops taking connections and waits for the requests that are running.
type shutter interface {
	Shutdown(ctx context.Context) error
}

// stopClients answers a planned stop under load: connections are taken until
// the balancer has heard of the stop, then no longer, although clients that
// have no other entry instance may still be coming; what runs is answered.
func stopClients(clock clockwork.Clock, handler drainer, server shutter, grace time.Duration) error {
	handler.Drain()
	clock.Sleep(listenFor)
	ctx, cancel := clockwork.WithTimeout(context.Background(), clock, grace-listenFor)
	defer cancel()
	return server.Shutdown(ctx)
}
