package ops

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/version/declare"
	"github.com/rattanway/rattanway/version/plan"
)

// plan serves POST /ops/plan.
func (s *Server) plan(c echo.Context) error {
	var req PlanRequest
	if err := decodeBody(c, &req); err != nil {
		return err
	}
	parsed, problems := declare.Check(req.Files)
	if len(problems) > 0 {
		return &declare.InvalidError{Problems: problems}
	}
	ctx := c.Request().Context()
	head, err := s.publisher.Head(ctx)
	if err != nil {
		return err
	}
	base, err := s.publisher.Load(ctx, head.Number)
	if err != nil {
		return err
	}
	if problems := declare.ValidateChange(base.Set, parsed.Set); len(problems) > 0 {
		return &declare.InvalidError{Problems: parsed.Positions.Locate(problems)}
	}
	return c.JSON(http.StatusOK, PlanResponse{
		Base:    base.Number,
		Changes: declare.Diff(base.Set, parsed.Set),
		Effects: plan.Effects(ctx, plan.Input{
			Old: base.Set, New: parsed.Set, LiveInstances: s.liveInstances(), WeightStore: s.config.WeightStore,
		}),
	})
}

// liveInstances returns the instances of the agents that take part in placement:
// those of Config.LiveInstances, or else the registered backend servers.
func (s *Server) liveInstances() []core.Instance {
	if s.config.LiveInstances != nil {
		return s.config.LiveInstances()
	}
	var instances []core.Instance
	for _, server := range s.servers() {
		instances = append(instances, server.Instance)
	}
	return instances
}
