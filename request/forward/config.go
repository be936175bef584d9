package forward

import (
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"

	"github.com/rattanway/rattanway/connection/backend"
	"github.com/rattanway/rattanway/process/eventlog"
	"github.com/rattanway/rattanway/request/dispatch"
	"github.com/rattanway/rattanway/request/intake"
	"github.com/rattanway/rattanway/version/catalog"
)

// Headers holds the names of the HTTP headers that the deployment uses. The
// comment on a field describes the value of the header with this name.
type Headers struct {
	// RequestID identifies one attempt of a client. Attempts of the handler at
	// several servers have the same value.
	RequestID string
	// Deadline is the time for which the sender of the request still waits for the
	// response, in milliseconds.
	Deadline string
	// Receipt is set by a server on each response to a request that it ran.
	Receipt string
	// NotRun is set by a server on a response to a request that it did not run.
	NotRun string
	// RequestLimit is set by a server that can take only a limited number of requests: the
	// number per second, a decimal number, from all entry instances together.
	RequestLimit string
	// Leaving is set by a server that will stop, on each response: the value is 1.
	Leaving string
	// RetryAfter is set by a server on a response with status 503 to a request that it
	// turns away: the number of seconds, a decimal number, for which it wants no request
	// from this entry instance. Clients get it with a refusal.
	RetryAfter string
	// ExpectServer is the ID of the server that must run the request.
	ExpectServer string
	// ExpectVersion is the version of the weights that must be used.
	ExpectVersion string
	// Account is the name of the client account, sent to the server.
	Account string
	// Priority is the priority of the request, from 0, the most urgent, to 9. It is sent
	// to the servers of services whose requests have more than one priority; the value of
	// a client is never forwarded.
	Priority string
	// Model is the name of the model that the request requires.
	Model string
	// Tokens is the number of prompt tokens and the maximum number of answer tokens,
	// separated by a comma. AnswerTokens is the number of answer tokens that the
	// client expects.
	Tokens, AnswerTokens string
	// PromptParts lists the parts of the prompt in order, separated by commas: the ID
	// of the part, a colon and its number of tokens.
	PromptParts string
	// LastEventID is the ID of the last event of the stream that the sender of the
	// request already has.
	LastEventID string
	// KeyScheme is not the name of a header. It is the scheme before a client's key
	// in the Authorization header, with the space that follows.
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
	// Clock provides the current time.
	Clock clockwork.Clock
	// FingerprintKey is the key for the hashes by which equal requests are recognised. All
	// entry instances have the same.
	FingerprintKey []byte
	// Intake is the memory for request bodies; nil for a budget of the default size.
	Intake *intake.Budget
	// Metrics is the registry for the counters and timers of the handler.
	Metrics metrics.Registry
}

const (
	// defaultMaxRequestBodyBytes limits the size of a request body if the configuration
	// has no limit.
	defaultMaxRequestBodyBytes = 4 << 20
	// unreadBodyTimeout limits the time for reading the rest of a body after a refusal.
	unreadBodyTimeout = 500 * time.Millisecond
	// initialWriteTimeout limits the time for writing a response while the deadline
	// of the request is not known yet. Once the deadline is known, the limit is the
	// time from the arrival to the deadline plus writeMargin.
	initialWriteTimeout = 10 * time.Second
	writeMargin         = 400 * time.Millisecond
	// answerTokenWork is the work of one answer token, expressed as a number of
	// prompt tokens. Generating an answer token takes 7 ms on one of 16 slots; a
	// server reads 30 prompt tokens in a millisecond.
	answerTokenWork = 10
	// maxSentPriority is the largest priority that is sent to servers.
	maxSentPriority = 9
	// maxAttempts limits how often one request is sent, including attempts at
	// servers that did not run the request.
	maxAttempts = 5
	// minRetryTime is the shortest time before the deadline at which a request is
	// still sent again.
	minRetryTime = 40 * time.Millisecond
	// retryAfterUnready is the Retry-After value while the configuration is not
	// known yet.
	retryAfterUnready = 300 * time.Millisecond
	// firstEventTimeout and eventTimeout apply to a stream that can be continued at
	// another server. The stream is hedged there if no event has arrived for
	// firstEventTimeout before its first event, or for eventTimeout after an event,
	// and if another server has a free slot. Clients give up after 2 s or more; an
	// event is due every 50 ms.
	firstEventTimeout = 1200 * time.Millisecond
	eventTimeout      = 900 * time.Millisecond
	// stallRecheckInterval is the time between two searches for another server for a
	// request whose present server sends nothing.
	stallRecheckInterval = 200 * time.Millisecond
	// maxTimerDelay is by how much the timer of a stallWatch may be late unless this
	// process did not run for a while.
	maxTimerDelay = 200 * time.Millisecond
	// retryWait is the wait for a slot at another server for a request that has possibly
	// run already. It applies even if the objective of the request allows only a shorter
	// wait. A stream that has begun may wait longer; see streamRetryWait.
	retryWait = time.Second
	// Clients give up a stream minStreamPatience after an event, or after
	// objectivePatience times the objective or gapPatience times the objective for pauses
	// if that is longer. streamRestartTime is the time that a stream needs to go on at
	// another server.
	minStreamPatience = 2 * time.Second
	objectivePatience = 4
	gapPatience       = 8
	streamRestartTime = 300 * time.Millisecond
	// responseTimeoutFactor times the objective is the time without a response after
	// which a repeatable request that is not a stream is hedged at another server.
	responseTimeoutFactor = 2
)
