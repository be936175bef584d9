package relay

import (
	"context"
	"encoding/json"
	"net/http"
	"sort"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"github.com/labstack/echo/v4"

	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/request/accounts"
)

// servicesPrefix begins the path of every call to a plain service.
const servicesPrefix = "/services/"

// completionBody is the part of a completion request that the entry instance
// reads.
type completionBody struct {
	Model    string          `json:"model"`
	Stream   bool            `json:"stream"`
	Prompt   json.RawMessage `json:"prompt"`
	Messages json.RawMessage `json:"messages"`
}

// affinityPrefixBytes is the length of the prompt prefix that routing uses to
// send calls with the same prefix to the same server.
const affinityPrefixBytes = 256

// prefixHash returns the hash of the first affinityPrefixBytes of the prompt or,
// without a prompt, of the messages, as raw JSON.
func (b completionBody) prefixHash() uint64 {
	text := b.Prompt
	if len(text) == 0 {
		text = b.Messages
	}
	return xxhash.Sum64(text[:min(len(text), affinityPrefixBytes)])
}

// modelList is the response body of GET /v1/models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

// modelItem is one model of a modelList.
type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// handleModels lists the declared models.
func (r *Relay) handleModels(c echo.Context) error {
	id := assignRequestID(c)
	if _, err := r.accounts.Authenticate(c.Request().Header.Get(echo.HeaderAuthorization)); err != nil {
		return r.refuseCall(c, id, newProblem(http.StatusUnauthorized, core.OutcomeNotRun, err.Error()))
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	for name := range r.configStore.Current().Set.Models {
		list.Data = append(list.Data, modelItem{ID: name, Object: "model", OwnedBy: "rattanway"})
	}
	sort.Slice(list.Data, func(i, j int) bool { return list.Data[i].ID < list.Data[j].ID })
	return c.JSON(http.StatusOK, list)
}

// handleCompletion serves a call to a model, which is always repeatable.
func (r *Relay) handleCompletion(c echo.Context) error {
	return r.serveCall(c, func(call *call) (bool, *Problem) {
		var body completionBody
		if err := json.Unmarshal(call.request.Body, &body); err != nil {
			return false, newProblem(http.StatusBadRequest, core.OutcomeNotRun, "body: "+err.Error())
		}
		if r.configStore.Current().Set.Models[body.Model] == nil {
			return false, newProblem(http.StatusNotFound, core.OutcomeNotRun, "no model "+body.Model)
		}
		digest, ok := r.picker.PinnedDigest(body.Model)
		if !ok {
			p := newProblem(http.StatusServiceUnavailable, core.OutcomeNotRun, "no server can answer for model "+body.Model)
			return false, p.withRetryAfter(r.config.RetryAfter)
		}
		call.request.Path = c.Request().URL.RequestURI()
		call.request.Model = body.Model
		call.request.Digest = digest
		call.streamRequested = body.Stream
		call.prefixHash = body.prefixHash()
		return true, nil
	})
}

// handleService serves a call to a plain service. The declared route decides
// whether the call is repeatable.
func (r *Relay) handleService(c echo.Context) error {
	return r.serveCall(c, func(call *call) (bool, *Problem) {
		url := c.Request().URL
		name := c.Param("service")
		service := r.configStore.Current().Set.Services[name]
		if service == nil {
			return false, newProblem(http.StatusNotFound, core.OutcomeNotRun, "no service "+name)
		}
		subpath := strings.TrimPrefix(url.Path, servicesPrefix+name)
		route, ok := findRoute(service, c.Request().Method, subpath)
		if !ok {
			return false, newProblem(http.StatusNotFound, core.OutcomeNotRun, "no such route of service "+name)
		}
		call.request.Path = strings.TrimPrefix(url.RequestURI(), servicesPrefix+name)
		call.service = name
		if !route.Repeatable {
			call.idempotencyKey = c.Request().Header.Get(core.HeaderIdempotencyKey)
		}
		return route.Repeatable, nil
	})
}

// serveCall serves a call from its arrival to the end of its response. prepare
// sets the fields of the call that newCall does not set, and returns whether the
// call is repeatable, or the Problem with which serveCall refuses the call.
func (r *Relay) serveCall(c echo.Context, prepare func(*call) (repeatable bool, p *Problem)) error {
	id, release := r.reserveRequestID(c)
	defer release()
	if !r.beginCall() {
		c.Response().Header().Set("Connection", "close")
		p := newProblem(http.StatusServiceUnavailable, core.OutcomeNotRun, "this entry instance is stopping")
		return r.refuseCall(c, id, p.withRetryAfter(r.config.RetryAfter))
	}
	defer r.endWork()
	call, p := r.newCall(c, id)
	if p != nil {
		return r.refuseCall(c, id, p)
	}
	defer call.body.Release()
	repeatable, p := prepare(call)
	if p != nil {
		return r.refuseCall(c, id, p)
	}
	admitted, err := r.accounts.Admit(call.account, r.picker.NoFreeSlot(call.routingQuery(nil)))
	if err != nil {
		return r.refuseCall(c, id, r.problemFromAccountError(err))
	}
	defer admitted.Release()
	call.withinFairShare = admitted.WithinFairShare
	defer r.retryBudget.addCall()()
	ctx, cancel := context.WithTimeout(c.Request().Context(), r.config.CallTimeout)
	defer cancel()
	if repeatable {
		return r.serveRepeatable(ctx, c, call)
	}
	return r.serveOnce(ctx, c, call)
}

// problemFromAccountError returns the Problem for an error of
// accounts.Controller.Admit.
func (r *Relay) problemFromAccountError(err error) *Problem {
	status := http.StatusTooManyRequests
	if errors.Is(err, accounts.ErrFairShare) {
		status = http.StatusServiceUnavailable
	}
	return newProblem(status, core.OutcomeNotRun, err.Error()).withRetryAfter(r.config.RetryAfter)
}
