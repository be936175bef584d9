package cli

import (
	"context"
	"encoding/json"
	"os"
	"os/signal"

	"github.com/go-faster/errors"

	"github.com/rattanway/rattanway/bench/history"
	"github.com/rattanway/rattanway/bench/requests"
)

// BenchRequestsCmd sends the load of a scenario to entry instances.
type BenchRequestsCmd struct {
	Scenario string   `arg:"" help:"YAML file of the scenario." type:"existingfile"`
	Entries  []string `help:"Addresses of entry instances, ip:port, instead of those in the scenario." env:"RATTANWAY_BENCH_ENTRIES"`
	Services []string `help:"Addresses of service stand-ins, ip:port, instead of those in the scenario." env:"RATTANWAY_BENCH_SERVICES"`
	JSON     bool     `name:"json" help:"Print the result as JSON instead of a table."`
}

// Run implements the command.
func (c *BenchRequestsCmd) Run(s *streams) error {
	scenario, err := requests.Load(c.Scenario, c.Entries, c.Services)
	if err != nil {
		return usageError{err}
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	result, err := requests.Run(ctx, scenario)
	if err != nil {
		return err
	}
	if !c.JSON {
		result.WriteTable(s.Out)
		return nil
	}
	encoder := json.NewEncoder(s.Out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(result)
}

// BenchHistoryCmd checks a recorded history of once-only calls.
type BenchHistoryCmd struct {
	File string `arg:"" help:"History file with one JSON line for each execution and response." type:"existingfile"`
}

// Run implements the command.
func (c *BenchHistoryCmd) Run(s *streams) error {
	file, err := os.Open(c.File)
	if err != nil {
		return errors.Wrap(err, "history")
	}
	defer file.Close()
	result, err := history.Check(file)
	if err != nil {
		return err
	}
	if err := json.NewEncoder(s.Out).Encode(result); err != nil {
		return err
	}
	if n := len(result.Violations); n > 0 {
		return errors.Errorf("the history has %d violations", n)
	}
	return nil
}
