package cli

import (
	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/daemon"
	"github.com/rattanway/rattanway/process/settings"
	"github.com/rattanway/rattanway/request/ops"
	"github.com/rattanway/rattanway/request/relay"
	"github.com/rattanway/rattanway/request/routing"
)

// EntryCmd runs an entry instance.
type EntryCmd struct {
	daemonFlags
	Operators         []string          `help:"Tokens of operators, NAME=TOKEN or TOKEN, separated by commas." env:"RATTANWAY_OPERATORS"`
	BalancerLag       settings.Duration `help:"Longest time for which the load balancer still sends calls after this instance stops being ready." default:"3s" env:"RATTANWAY_BALANCER_LAG"`
	Deadline          settings.Duration `help:"Longest time that a call may take." default:"2m" env:"RATTANWAY_DEADLINE"`
	FirstTokenTimeout settings.Duration `help:"Longest wait for the first part of a streamed response." default:"10s" env:"RATTANWAY_FIRST_TOKEN_TIMEOUT"`
	StallTimeout      settings.Duration `help:"Longest wait between two parts of a response." default:"3s" env:"RATTANWAY_STALL_TIMEOUT"`
	MemoryMiB         settings.Int      `name:"memory-mib" help:"Memory of the machine, in MiB: request bodies together may take a quarter of it, but at least 8 MiB; 0 if not known, which counts as 256." default:"0" env:"RATTANWAY_MEMORY_MIB"`
	Policy            string            `help:"Routing policy: two-choices, least-loaded, round-robin, random." default:"two-choices" env:"RATTANWAY_POLICY"`
	PrefixAffinity    bool              `help:"Send calls whose prompts share a prefix to the same backend server while its load allows." default:"true" negatable:"" env:"RATTANWAY_PREFIX_AFFINITY"`
}

// Run implements the command.
func (c *EntryCmd) Run() error {
	var problems settings.Problems
	cfg := daemon.EntryConfig{
		CommonConfig: c.commonConfig(core.RoleEntry, &problems),
		Operators:    c.parseOperators(&problems),
		BalancerLag:  c.BalancerLag.Value(),
		MemoryBytes:  int64(c.MemoryMiB.Value()) * mebibyte,
		Relay: relay.Config{
			CallTimeout:       c.Deadline.Value(),
			FirstTokenTimeout: c.FirstTokenTimeout.Value(),
			StallTimeout:      c.StallTimeout.Value(),
		},
		Routing: routing.Config{Policy: routing.Policy(c.Policy), PrefixAffinity: c.PrefixAffinity},
	}
	problems.Add(c.BalancerLag.Check("--balancer-lag", 0, maxInterval))
	problems.Add(c.Deadline.Check("--deadline", minInterval, maxTimeout))
	problems.Add(c.FirstTokenTimeout.Check("--first-token-timeout", minInterval, maxTimeout))
	problems.Add(c.StallTimeout.Check("--stall-timeout", minInterval, maxTimeout))
	problems.Add(c.MemoryMiB.Check("--memory-mib", 0, maxStoreMiB))
	problems.Add(c.checkPolicy())
	log := c.newLogger(&problems)
	if err := problems.Err(); err != nil {
		return usageError{err}
	}
	return daemon.RunEntry(cfg, log)
}

// parseOperators returns the operators of --operators and adds a problem for each
// invalid one. The problems do not contain the tokens.
func (c *EntryCmd) parseOperators(problems *settings.Problems) []ops.Operator {
	var operators []ops.Operator
	for _, text := range c.Operators {
		operator, err := ops.ParseOperator(text)
		if err != nil {
			problems.Add(settings.Problem{Name: "--operators", Value: "(hidden)", Allowed: "NAME=TOKEN or TOKEN"})
		}
		operators = append(operators, operator)
	}
	return operators
}

// checkPolicy returns an error if the routing policy is unknown.
func (c *EntryCmd) checkPolicy() error {
	switch routing.Policy(c.Policy) {
	case routing.PolicyTwoChoices, routing.PolicyLeastLoaded, routing.PolicyRoundRobin, routing.PolicyRandom:
		return nil
	default:
		return settings.Problem{Name: "--policy", Value: c.Policy, Allowed: "two-choices, least-loaded, round-robin or random"}
	}
}
