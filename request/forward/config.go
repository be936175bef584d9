package forward

import (
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"

	"github.com/rattanway/rattanway/connection/backend"
	"github.com/rattanway/rattanway/process/eventlog"
	"github.com/rattanway/rattanway/request/dispatch"
	"github.com/rattanway/rattanway/version/catalog"
)

// Headers holds the names of the HTTP headers that the deployment uses.
type Headers struct {
	// RequestID identifies one attempt of a client.
	RequestID string
	// Deadline is the remaining time for which the sender waits for the response,
	// in milliseconds.
	Deadline string
	// Receipt is set by a server on each response to a request that it ran.
	Receipt string
	// NotRun is set by a server on a response to a request that it did not run.
	NotRun string
	// ExpectServer is the ID of the server that must run the request.
	ExpectServer string
	// ExpectVersion is the version of the weights that must be used.
	ExpectVersion string
	// Account is the name of the client account, sent to the server.
	Account string
	// Model is the name of the model.
	Model string
	// Tokens is the number of prompt tokens and the maximum number of answer
	// tokens, separated by a comma. AnswerTokens is the client's estimate of the
	// number of answer tokens.
	Tokens, AnswerTokens string
	// LastEvent is the ID of the last stream event that the sender has received.
	LastEvent string
	// KeyScheme is not a header name but the scheme before a client's key in the
	// Authorization header, with the space that follows.
	KeyScheme string
	// Reserved lists further headers that clients must not set.
	Reserved []string
}

// Config holds the settings and dependencies of a [Handler].
type Config struct {
	// Headers holds the header names.
	Headers Headers
	// Holder provides the configuration and the list of servers.
	Holder *catalog.Holder
	// Scheduler assigns slots at servers to requests.
	Scheduler *dispatch.Scheduler
	// Pool provides connections to servers.
	Pool *backend.Pool
	// Log receives an event for each failed attempt and for the end of each
	// request.
	Log *eventlog.Logger
	// Clock provides the time.
	Clock clockwork.Clock
	// Metrics receives counters and latencies.
	Metrics metrics.Registry
}

const (
	// maxResponseBytes limits a response body that is buffered before it is
	// forwarded; the responses of the services are about 1 KB.
	maxResponseBytes = 16 << 20
	// defaultMaxBodyBytes limits a request body if the configuration has no
	// limit.
	defaultMaxBodyBytes = 4 << 20
	// initialWriteTimeout limits the writing of a response until the deadline of
	// the request is known. writeMargin is the time after the deadline in which
	// the last bytes may be written.
	initialWriteTimeout = 10 * time.Second
	writeMargin         = 400 * time.Millisecond
	// answerTokenWork is the work of one answer token, in prompt tokens: an
	// answer token takes one of 16 slots for a step of 7 ms, and 30 prompt
	// tokens are read per millisecond.
	answerTokenWork = 10
	// maxAttempts limits how often one request is sent, including attempts at
	// servers that did not run it.
	maxAttempts = 5
	// minRetryTime is the shortest time to the deadline at which a request is
	// retried.
	minRetryTime = 40 * time.Millisecond
	// retryAfterUnready is the Retry-After value while the configuration is not
	// known yet.
	retryAfterUnready = 300 * time.Millisecond
	// A stream that sends nothing for firstEventTimeout before its first event,
	// or for eventTimeout between two events, is continued at another server.
	// Clients give up after 2 s or more; an event is due every 50 ms.
	firstEventTimeout = 1200 * time.Millisecond
	eventTimeout      = 900 * time.Millisecond
	// stallRecheckInterval is the time between two searches for another server
	// while a stalled request has no other server to go to.
	stallRecheckInterval = 200 * time.Millisecond
	// retryWait is how long a request that may have run waits for a slot at
	// another server; clients give up a stream after 2 s without an event.
	retryWait = time.Second
	// responseTimeoutObjectives times the objective is the time after which a
	// repeatable request without a response is sent to another server.
	responseTimeoutObjectives = 2
)
