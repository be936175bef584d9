package ops

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/labstack/echo/v4"
	"github.com/sirupsen/logrus"

	"github.com/rattanway/rattanway/connection/registry"
	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/process/eventlog"
	"github.com/rattanway/rattanway/process/platform"
	"github.com/rattanway/rattanway/version/confstore"
	"github.com/rattanway/rattanway/version/declare"
)

const (
	// maxRequestBodyBytes is the maximum size of a request body:
	// declare.MaxTotalBytes of files in base64, and 1 MiB for everything else.
	maxRequestBodyBytes = declare.MaxTotalBytes/3*4 + 1<<20
	// requestTimeout limits the handling of one request, including its calls
	// to the platform.
	requestTimeout = 10 * time.Second
	// defaultHistoryLimit and maxHistoryLimit are the default and the maximum
	// number of versions in a history response.
	defaultHistoryLimit = 20
	maxHistoryLimit     = 1000
)

var (
	eventChangeAccepted = eventlog.Define(210, "configuration-accepted", logrus.InfoLevel,
		"This entry instance accepted an operator's change as the next version.")
	eventChangeRefused = eventlog.Define(211, "configuration-refused", logrus.WarnLevel,
		"An operator's change was refused. The configuration did not change, unless the error reports an unknown outcome.")
	eventTokenRefused = eventlog.Define(212, "operator-token-refused", logrus.WarnLevel,
		"A request to the operator API had no valid token.")
)

// Operator is a user of the operator API.
type Operator struct {
	// Name is recorded as the author of changes; when empty, the author named
	// in the request is recorded.
	Name string
	// Token is the bearer token.
	Token string
}

// ParseOperator parses "NAME=TOKEN" or "TOKEN".
func ParseOperator(text string) (Operator, error) {
	name, token, ok := strings.Cut(text, "=")
	if !ok {
		name, token = "", text
	}
	if token == "" {
		return Operator{}, errors.New("operator: token is empty, expected NAME=TOKEN or TOKEN")
	}
	return Operator{Name: name, Token: token}, nil
}

// Config configures the operator API of an entry instance.
type Config struct {
	// Instance is the entry instance that serves the API.
	Instance core.Instance
	// Operators are the permitted users; if there are none, every request is
	// refused.
	Operators []Operator
	// LiveInstances returns the instances of the agents that take part in
	// placement. Plans are computed for these instances, or for the registered
	// backend servers if LiveInstances is nil.
	LiveInstances func() []core.Instance
	// WeightStore stores the weight manifests, from which plans compute the
	// amounts of data to load. If WeightStore is nil, plans do not contain the
	// amounts.
	WeightStore platform.ObjectStore
}

// Server serves the operator API.
type Server struct {
	config    Config
	publisher *confstore.Publisher
	holder    *confstore.Holder
	servers   func() []registry.Server
	log       *eventlog.Logger
}

// New returns a Server. servers returns the registered backend servers; nil
// means that there are none.
func New(config Config, publisher *confstore.Publisher, holder *confstore.Holder, servers func() []registry.Server, log *eventlog.Logger) *Server {
	if servers == nil {
		servers = func() []registry.Server { return nil }
	}
	return &Server{config: config, publisher: publisher, holder: holder, servers: servers, log: log}
}

// Register adds the routes of the operator API to g, below /ops.
func (s *Server) Register(g *echo.Group) {
	ops := g.Group("/ops", s.middleware)
	ops.POST("/plan", s.plan)
	ops.POST("/apply", s.apply)
	ops.POST("/revert", s.revert)
	ops.GET("/history", s.history)
	ops.GET("/snapshots/:number", s.snapshot)
	ops.POST("/datacentres/:name/out", s.setDataCentreOut(true))
	ops.POST("/datacentres/:name/in", s.setDataCentreOut(false))
	ops.POST("/backendservers/:name/leaving", s.setBackendServerLeaving(true))
	ops.POST("/backendservers/:name/staying", s.setBackendServerLeaving(false))
	ops.GET("/status", s.status)
}

// operatorKey is the key of the authenticated Operator in the echo context.
const operatorKey = "operator"

// middleware refuses requests without an operator's token, limits the handling
// time to requestTimeout and turns errors into problem documents.
func (s *Server) middleware(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		operator, ok := s.authenticate(c.Request())
		if !ok {
			s.log.Event(eventTokenRefused, eventlog.Fields{"peer": c.Request().RemoteAddr, "path": c.Path()})
			return writeProblem(c, &Problem{
				Type: TypeWrongToken, Title: "wrong token", Status: http.StatusUnauthorized,
				Detail: "want an operator's token in the Authorization header",
			})
		}
		c.Set(operatorKey, operator)
		ctx, cancel := context.WithTimeout(c.Request().Context(), requestTimeout)
		defer cancel()
		c.SetRequest(c.Request().WithContext(ctx))
		if err := next(c); err != nil {
			return writeProblem(c, problemOf(err))
		}
		return nil
	}
}

// authenticate returns the operator whose token the request carries, or false
// if the token is missing or unknown. It compares the token with all configured
// tokens, each in constant time, so that the duration reveals nothing about the
// configured tokens.
func (s *Server) authenticate(r *http.Request) (Operator, bool) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return Operator{}, false
	}
	got := sha256.Sum256([]byte(token))
	var found Operator
	matchCount := 0
	for _, o := range s.config.Operators {
		want := sha256.Sum256([]byte(o.Token))
		if subtle.ConstantTimeCompare(got[:], want[:]) == 1 {
			found = o
			matchCount++
		}
	}
	return found, matchCount > 0
}

// decodeBody decodes the request's JSON body into v. It returns a bad-request
// problem if the body is too large, has unknown fields or is not exactly one JSON
// value.
func decodeBody(c echo.Context, v any) error {
	d := json.NewDecoder(http.MaxBytesReader(c.Response(), c.Request().Body, maxRequestBodyBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return badRequest("body: " + err.Error())
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return badRequest("body: more than one JSON value")
	}
	return nil
}

// newChange returns a change with the author, reason and id in metadata, but
// without a base and declarations. If the authenticated operator has a name, the
// name replaces the author.
func newChange(c echo.Context, metadata ChangeMetadata) confstore.Change {
	author := metadata.Author
	if operator, ok := c.Get(operatorKey).(Operator); ok && operator.Name != "" {
		author = operator.Name
	}
	return confstore.Change{Author: author, Reason: metadata.Reason, ChangeID: metadata.ChangeID}
}

// apply serves POST /ops/apply.
func (s *Server) apply(c echo.Context) error {
	var req ApplyRequest
	if err := decodeBody(c, &req); err != nil {
		return err
	}
	if req.Base == nil {
		return badRequest("base is missing: want the number of the version that the change was made for")
	}
	parsed, problems := declare.Check(req.Files)
	if len(problems) > 0 {
		return s.refuseChange(req.ChangeMetadata, &declare.InvalidError{Problems: problems})
	}
	change := newChange(c, req.ChangeMetadata)
	change.Base = *req.Base
	change.Set = parsed.Set
	snapshot, err := s.publisher.Apply(c.Request().Context(), change)
	var invalid *declare.InvalidError
	if errors.As(err, &invalid) {
		err = &declare.InvalidError{Problems: parsed.Positions.Locate(invalid.Problems)}
	}
	return s.respond(c, change, snapshot, err)
}

// revert serves POST /ops/revert.
func (s *Server) revert(c echo.Context) error {
	var req RevertRequest
	if err := decodeBody(c, &req); err != nil {
		return err
	}
	ctx := c.Request().Context()
	change := newChange(c, req.ChangeMetadata)
	if req.Base != nil {
		change.Base = *req.Base
	} else {
		head, err := s.publisher.Head(ctx)
		if err != nil {
			return s.refuseChange(req.ChangeMetadata, err)
		}
		change.Base = head.Number
	}
	snapshot, err := s.publisher.Revert(ctx, req.Number, change)
	return s.respond(c, change, snapshot, err)
}

// setDataCentreOut serves POST /ops/datacentres/NAME/out and
// POST /ops/datacentres/NAME/in.
func (s *Server) setDataCentreOut(out bool) echo.HandlerFunc {
	return s.editHandler(func(set *declare.Set, name string) error { return set.SetDataCentreOut(name, out) })
}

// setBackendServerLeaving serves POST /ops/backendservers/NAME/leaving and
// POST /ops/backendservers/NAME/staying.
func (s *Server) setBackendServerLeaving(leaving bool) echo.HandlerFunc {
	return s.editHandler(func(set *declare.Set, name string) error { return set.SetBackendServerLeaving(name, leaving) })
}

// editHandler returns a handler that makes a change with edit. edit receives
// the name in the request path.
func (s *Server) editHandler(edit func(set *declare.Set, name string) error) echo.HandlerFunc {
	return func(c echo.Context) error {
		var metadata ChangeMetadata
		if err := decodeBody(c, &metadata); err != nil {
			return err
		}
		change := newChange(c, metadata)
		snapshot, err := s.publisher.Edit(c.Request().Context(), change, func(set *declare.Set) error {
			return edit(set, c.Param("name"))
		})
		return s.respond(c, change, snapshot, err)
	}
}

// respond sends the result of a change, or returns the problem document of err. An
// accepted version comes into force at this entry instance at once, without
// waiting for the next poll of the platform.
func (s *Server) respond(c echo.Context, change confstore.Change, snapshot *declare.Snapshot, err error) error {
	if errors.Is(err, confstore.ErrUnchanged) {
		return s.respondUnchanged(c)
	}
	if err != nil {
		return s.refuseChange(ChangeMetadata{Author: change.Author, Reason: change.Reason, ChangeID: change.ChangeID}, err)
	}
	s.holder.Offer(snapshot)
	s.log.Event(eventChangeAccepted, eventlog.Fields{
		"number": snapshot.Number,
		"digest": snapshot.Digest.Short(),
		"author": change.Author,
		"change": change.ChangeID,
		"reason": change.Reason,
	})
	return c.JSON(http.StatusOK, ChangeResponse{Number: snapshot.Number, Digest: snapshot.Digest})
}

// respondUnchanged sends the version in force as the result of a change that
// made no difference.
func (s *Server) respondUnchanged(c echo.Context) error {
	head, err := s.publisher.Head(c.Request().Context())
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, ChangeResponse{Number: head.Number, Digest: head.Digest, Unchanged: true})
}

// refuseChange logs the refusal of a change and returns the problem document of
// err.
func (s *Server) refuseChange(metadata ChangeMetadata, err error) error {
	s.log.EventWithError(eventChangeRefused, err, eventlog.Fields{"author": metadata.Author, "change": metadata.ChangeID})
	problem := problemOf(err)
	if problem.Type == TypePlatformUnavailable {
		problem.Detail = "nothing was changed: " + problem.Detail
	}
	return problem
}

// history serves GET /ops/history.
func (s *Server) history(c echo.Context) error {
	limit := defaultHistoryLimit
	if text := c.QueryParam("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxHistoryLimit {
			return badRequest("limit: want a number from 1 to " + strconv.Itoa(maxHistoryLimit))
		}
		limit = n
	}
	entries, err := s.publisher.History(c.Request().Context(), limit)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, HistoryResponse{Entries: entries})
}

// snapshot serves GET /ops/snapshots/NUMBER as YAML documents.
func (s *Server) snapshot(c echo.Context) error {
	number, err := strconv.ParseUint(c.Param("number"), 10, 64)
	if err != nil {
		return badRequest("want the number of a version")
	}
	body, historyEntry, err := s.publisher.Replay(c.Request().Context(), number)
	if err != nil {
		return err
	}
	c.Response().Header().Set("ETag", strconv.Quote(string(historyEntry.Digest)))
	return c.Blob(http.StatusOK, "application/yaml", body)
}

// status serves GET /ops/status.
func (s *Server) status(c echo.Context) error {
	current := s.holder.Current()
	response := Status{
		Instance:        s.config.Instance,
		Config:          current.Number,
		Digest:          current.Digest,
		ConfirmedMillis: -1,
		Servers:         []ServerStatus{},
	}
	if age, ok := s.holder.ConfirmationAge(); ok {
		response.ConfirmedMillis = age.Milliseconds()
	}
	for _, server := range s.servers() {
		response.Servers = append(response.Servers, serverStatus(server))
	}
	sort.Slice(response.Servers, func(i, j int) bool { return response.Servers[i].Name < response.Servers[j].Name })
	return c.JSON(http.StatusOK, response)
}

// serverStatus returns the status of one registered backend server.
func serverStatus(server registry.Server) ServerStatus {
	status := ServerStatus{
		Name:       server.Instance.ID,
		DataCentre: server.Instance.DataCentre,
		Service:    server.Service,
		State:      server.Report.State,
		Suspect:    server.Suspect,
		InFlight:   server.Report.InFlight,
		Limit:      server.Report.Limit,
		Config:     server.Report.ConfigNumber,
	}
	for _, version := range server.Report.Loaded {
		status.Loaded = append(status.Loaded, version.Model+" "+version.Version+" "+version.Digest.Short())
	}
	return status
}
