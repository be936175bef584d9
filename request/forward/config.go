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

// Headers are the names of the headers that the deployment uses.
type Headers struct {
	// RequestID identifies one attempt of a client.
	RequestID string
	// Deadline is the time that the sender still waits, in milliseconds.
	Deadline string
	// Receipt is set by a server on each answer of a request that it ran.
	Receipt string
	// NotRun is set by a server on an answer to a request that it did not run.
	NotRun string
	// ExpectServer names the server that is to run the request.
	ExpectServer string
	// ExpectVersion names the version of the weights to run it on.
	ExpectVersion string
	// Account names the client account to the server.
	Account string
	// Model names the model.
	Model string
	// Tokens gives the number of a prompt's tokens and the most that the
	// answer may have, separated by a comma, and AnswerTokens the client's
	// estimate of those of the answer.
	Tokens, AnswerTokens string
	// LastEvent is the last event of a stream that the sender holds.
	LastEvent string
	// KeyScheme is the authentication scheme of clients' keys.
	KeyScheme string
	// Own are further headers that only this system may set.
	Own []string
}

// Config holds what a Handler needs.
type Config struct {
	// Headers are the names of headers.
	Headers Headers
	// Holder gives the configuration and the servers.
	Holder *catalog.Holder
	// Desk gives requests places.
	Desk *dispatch.Desk
	// Pool holds connections to servers.
	Pool *backend.Pool
	// Log takes a line for each decision about a request.
	Log *eventlog.Logger
	// Clock gives the time.
	Clock clockwork.Clock
	// Metrics takes counters and latencies.
	Metrics metrics.Registry
}

const (
	// maxAnswerBytes bounds a whole answer that is held before it is passed
	// on; the answers of the services are about 1 KB.
	maxAnswerBytes = 16 << 20
	// defaultBodyBytes bounds a request's body when the configuration does
	// not.
	defaultBodyBytes = 4 << 20
	// maxAnswering bounds the writing of an answer whose deadline is not
	// known yet, and writeMargin the last bytes after the deadline.
	maxAnswering = 10 * time.Second
	writeMargin  = 400 * time.Millisecond
	// answerWeight is the work of a token of an answer in tokens of a prompt:
	// it takes one of 16 places for a step of 7 ms, and a prompt is read at
	// 30 tokens a millisecond.
	answerWeight = 10
	// maxSends bounds how often one request is sent, also to servers that
	// did not run it.
	maxSends = 5
	// leastTime is the time left below which a request is not sent again.
	leastTime = 40 * time.Millisecond
	// returnUnready is told to clients while the configuration is not known.
	returnUnready = 300 * time.Millisecond
	// silentFirst and silentBetween are how long a stream may bring nothing
	// before its first event and between two before it is continued at
	// another server. Clients give up after 2 s or more; an event is due
	// every 50 ms.
	silentFirst   = 1200 * time.Millisecond
	silentBetween = 900 * time.Millisecond
	// silentAgain is the time to the next look for another server.
	silentAgain = 200 * time.Millisecond
	// repeatPatience is how long a request that may have run waits for a place
	// at another server; clients give up a stream after 2 s without an event.
	repeatPatience = time.Second
	// silentFactor is how many objectives a repeatable request waits for its
	// answer before it is sent to another server.
	silentFactor = 2
)
