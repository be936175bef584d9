package hosted

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/rattanway/rattanway/request/forward"
)

// drainer has the method that shutDownClientServer calls on the handler of client
// requests.
type drainer interface {
	// BeginStop makes the handler refuse the requests that would take longer than the stop,
	// and answer those that are in progress at its end.
	BeginStop(forward.Stop)
}

// answerTime is the time before the end of the grace at which requests that are still in
// progress are answered.
const answerTime = 300 * time.Millisecond

// shutdowner has the method that shutDownClientServer calls on the HTTP server.
type shutdowner interface {
	// Shutdown closes the listener and waits for the running requests.
	Shutdown(ctx context.Context) error
}

// shutDownClientServer stops the server for clients within grace. The server accepts
// new connections until the load balancer has detected that the instance is not
// ready. Then it closes the listener and waits for the running requests. Clients
// that know no other entry instance may still try to connect after that. Requests that
// are still in progress shortly before the end of grace are answered then.
func shutDownClientServer(clock clockwork.Clock, handler drainer, server shutdowner, grace time.Duration) error {
	now := clock.Now()
	handler.BeginStop(forward.Stop{
		BegunAt: now, AcceptUntil: now.Add(acceptPeriodAfterSignal), AnswerAt: now.Add(grace - answerTime),
	})
	clock.Sleep(acceptPeriodAfterSignal)
	ctx, cancel := clockwork.WithTimeout(context.Background(), clock, grace-acceptPeriodAfterSignal)
	defer cancel()
	return server.Shutdown(ctx)
}
