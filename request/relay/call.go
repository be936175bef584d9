package relay

import (
	"context"
	"net/http"
	"path"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"

	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/request/accounts"
	"github.com/rattanway/rattanway/request/intake"
	"github.com/rattanway/rattanway/request/routing"
	"github.com/rattanway/rattanway/version/declare"
)

// maxRequestIDBytes is the greatest length of a request id that a caller may
// send; a longer id is replaced.
const maxRequestIDBytes = 128

// resumePriority is the highest priority. It is the priority of a call whose
// response has begun: such a call takes precedence over calls that have not
// started.
const resumePriority = 9

// call is one HTTP call received from a client account.
type call struct {
	id        string
	account   *declare.ClientAccount
	arrivedAt time.Time
	// request is the request for agents. attemptRequest sets the fields that differ
	// between attempts.
	request frame.Request
	// service is the name of the plain service; empty for model calls.
	service string
	// prefixHash is the hash of the prompt's prefix; 0 for calls to plain
	// services.
	prefixHash uint64
	// streamRequested is true when the caller requested server-sent events.
	streamRequested bool
	// withinFairShare is true when the call is within the fair share of its
	// client account.
	withinFairShare bool
	// idempotencyKey is the Idempotency-Key of a once-only call; empty for none.
	idempotencyKey string
	// body is the memory of request.Body.
	body intake.Body
}

// routingQuery returns the query with which routing chooses a backend server
// for the call. tried holds the ids of the servers that must not be chosen
// again.
func (c *call) routingQuery(tried map[string]bool) routing.Query {
	return routing.Query{
		RequestID:    c.id,
		Model:        c.request.Model,
		Digest:       c.request.Digest,
		Service:      c.service,
		Prefix:       c.prefixHash,
		TriedServers: tried,
	}
}

// attemptRequest returns the request for one attempt. The request's timeout is
// the time left until the deadline of ctx. resumeTokens is the number of tokens
// that the caller has already received; if it is not 0, the request has
// resumePriority.
func (c *call) attemptRequest(ctx context.Context, resumeTokens int) frame.Request {
	req := c.request
	req.ResumeTokens = resumeTokens
	if resumeTokens > 0 {
		req.Priority = resumePriority
	}
	if deadline, ok := ctx.Deadline(); ok {
		req.TimeoutMillis = max(1, time.Until(deadline).Milliseconds())
	}
	return req
}

// assignRequestID returns the request id that the caller sent, or a new id when
// the caller sent no valid id. It sets the returned id in the response header.
func assignRequestID(c echo.Context) string {
	id := c.Request().Header.Get(core.HeaderRequestID)
	if id == "" || len(id) > maxRequestIDBytes || strings.ContainsFunc(id, isUnprintable) {
		id = uuid.NewString()
	}
	c.Response().Header().Set(core.HeaderRequestID, id)
	return id
}

// reserveRequestID returns a request id that no other call in flight has: the
// result of assignRequestID or, if another call has that id, a new id. The ids
// must differ because responses are matched to calls by request id. The caller
// must call release once, when the call has ended.
func (r *Relay) reserveRequestID(c echo.Context) (id string, release func()) {
	id = assignRequestID(c)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.requestIDs[id] {
		id = uuid.NewString()
		c.Response().Header().Set(core.HeaderRequestID, id)
	}
	r.requestIDs[id] = true
	return id, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.requestIDs, id)
	}
}

// isUnprintable reports whether r is a space or outside the printable ASCII
// characters.
func isUnprintable(r rune) bool { return r <= ' ' || r > '~' }

// newCall authenticates the caller, reads the request body and returns the
// call. It returns a Problem when the authentication or the reading fails. The caller
// releases call.body when the call has ended.
func (r *Relay) newCall(c echo.Context, id string) (*call, *Problem) {
	req := c.Request()
	account, err := r.accounts.Authenticate(req.Header.Get(echo.HeaderAuthorization))
	if err != nil {
		return nil, newProblem(http.StatusUnauthorized, core.OutcomeNotRun, err.Error())
	}
	call := &call{id: id, account: account}
	body, err := r.readBody(c, &call.body)
	if err != nil {
		return nil, r.problemFromBodyError(c, err)
	}
	call.arrivedAt = r.clock.Now()
	call.request = frame.Request{
		ID:           id,
		Account:      account.Name,
		Share:        accounts.Share(account),
		Priority:     requestPriority(req.Header, account),
		Method:       req.Method,
		Header:       forwardedHeader(req.Header),
		Body:         body,
		ConfigNumber: r.configStore.Current().Number,
	}
	return call, nil
}

// requestPriority returns the priority in the request header, limited to the
// account's MaxPriority. It returns 0 if the header has no valid priority.
func requestPriority(h http.Header, a *declare.ClientAccount) int {
	n, err := strconv.Atoi(h.Get(core.HeaderPriority))
	if err != nil {
		return 0
	}
	return max(0, min(n, a.MaxPriority))
}

// notForwarded lists the header fields that are not copied between caller and
// backend server, because they concern a single connection or are set by the
// system itself.
var notForwarded = map[string]bool{
	"Authorization": true, "Connection": true, "Content-Length": true, "Keep-Alive": true,
	"Proxy-Authenticate": true, "Proxy-Authorization": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Host": true, "Accept-Encoding": true, "Expect": true,
	core.HeaderRequestID: true, core.HeaderPeerToken: true, core.HeaderPriority: true, core.HeaderDigest: true,
}

// forwardedHeader returns the fields of h that are copied between caller and
// backend server.
func forwardedHeader(h http.Header) map[string][]string {
	forwarded := map[string][]string{}
	for name, values := range h {
		if !notForwarded[http.CanonicalHeaderKey(name)] {
			forwarded[name] = values
		}
	}
	return forwarded
}

// findRoute returns the declared route of a service for a method and path. An
// exact path takes precedence over prefixes, and a longer prefix over a shorter
// prefix. A path that path.Clean would change, other than by removing a final
// slash, matches no route.
func findRoute(service *declare.Service, method, requestPath string) (declare.Route, bool) {
	if clean := path.Clean(requestPath); clean != requestPath && clean+"/" != requestPath {
		return declare.Route{}, false
	}
	var best declare.Route
	found := false
	for _, route := range service.Routes {
		if route.Method != method || !routeMatches(route.Path, requestPath) {
			continue
		}
		if !found || len(route.Path) > len(best.Path) {
			best = route
			found = true
		}
	}
	return best, found
}

// routeMatches reports whether a declared path matches requestPath: exactly, or
// as a prefix if it ends in a slash.
func routeMatches(declared, requestPath string) bool {
	if strings.HasSuffix(declared, "/") {
		return strings.HasPrefix(requestPath, declared)
	}
	return declared == requestPath
}
