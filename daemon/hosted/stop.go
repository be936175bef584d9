package hosted

import (
	"context"
	"io"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/rattanway/rattanway/request/forward"
)

const (
	// answerTime is the time before the end of the grace at which requests that are still
	// in progress are answered, and closeTime the time before it from which connections
	// are closed.
	answerTime = 300 * time.Millisecond
	closeTime  = 100 * time.Millisecond
	// unusedConnTime is the time after the listener was closed for which connections without
	// any request are kept open.
	unusedConnTime = time.Second
	// stopPollInterval is the time between two checks whether requests are in progress.
	stopPollInterval = 20 * time.Millisecond
)

// drainer has the methods that clientStop calls on the handler of client requests.
type drainer interface {
	// BeginStop makes the handler refuse the requests that would take longer than the stop,
	// and answer those that are in progress at its end.
	BeginStop(forward.Stop)
	// EndStop makes the handler answer what is in progress now and refuse all others.
	EndStop()
}

// shutdowner has the method that clientStop calls on the HTTP server.
type shutdowner interface {
	// Shutdown closes the connections without a request and waits for the others.
	Shutdown(ctx context.Context) error
}

// clientStop is the planned stop of the server for clients.
type clientStop struct {
	clock    clockwork.Clock
	handler  drainer
	listener io.Closer
	server   shutdowner
	// countConns returns the number of connections without a complete head of a request, and
	// of those with a request in progress.
	countConns func() (unused, active int)
}

// isBusy reports whether requests are in progress, or may be about to arrive on connections
// that were opened just before the listener was closed, sinceClose ago.
func (s *clientStop) isBusy(sinceClose time.Duration) bool {
	unused, active := s.countConns()
	return active > 0 || unused > 0 && sinceClose < unusedConnTime
}

// run stops the server within grace. New connections are accepted until the load balancer
// has detected that the instance is not ready. Requests on open connections are answered
// as long as any request is in progress: a connection that closes would not tell its
// client whether a request that crosses the close has run. Requests that are still in
// progress shortly before the end of grace are answered then.
func (s *clientStop) run(grace time.Duration) error {
	begunAt := s.clock.Now()
	endAt := begunAt.Add(grace)
	acceptPeriod := min(acceptPeriodAfterSignal, grace/2)
	s.handler.BeginStop(forward.Stop{
		BegunAt: begunAt, AcceptUntil: begunAt.Add(acceptPeriod), AnswerAt: endAt.Add(-answerTime),
	})
	s.clock.Sleep(acceptPeriod)
	closeErr := s.listener.Close()
	for s.isBusy(s.clock.Now().Sub(begunAt.Add(acceptPeriod))) && s.clock.Now().Before(endAt.Add(-closeTime)) {
		s.clock.Sleep(stopPollInterval)
	}
	// The server may close a connection whose request has just been read.
	s.handler.EndStop()
	ctx, cancel := clockwork.WithTimeout(context.Background(), s.clock, closeTime)
	defer cancel()
	if err := s.server.Shutdown(ctx); err != nil {
		return err
	}
	return closeErr
}
