package requests

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"

	"github.com/olekukonko/tablewriter"
)

// WriteTable writes the result as a table with a row for each account and one
// for all accounts.
func (r *Result) WriteTable(w io.Writer) {
	fmt.Fprintf(w, "%s: seed %d, %.1f s, at most %d in flight; once-only: %d executions, %d doubled, %d false not-run\n",
		r.Scenario, r.Seed, r.Seconds, r.MaxInFlight, r.ExecutionCount, r.DuplicateExecutions, r.FalseNotRun)
	table := tablewriter.NewWriter(w)
	table.SetHeader([]string{"account", "calls", "whole", "not-run", "unknown", "incomplete",
		"wrong", "cut", "lost", "doubled", "first p50 ms", "first p95 ms", "refusal p95 ms", "whole/s"})
	table.SetAutoFormatHeaders(false)
	for _, name := range slices.Sorted(maps.Keys(r.Accounts)) {
		table.Append(r.Accounts[name].row(name))
	}
	table.Append(r.All.row("all"))
	table.Render()
}

// row returns the table row of an account.
func (c *Counts) row(name string) []string {
	row := []string{name, strconv.Itoa(c.Calls)}
	for _, outcome := range []Outcome{OutcomeWhole, "not-run", "unknown", "incomplete", OutcomeWrong, OutcomeCut, OutcomeLost, OutcomeDoubled} {
		row = append(row, strconv.Itoa(c.Outcomes[outcome]))
	}
	for _, value := range []float64{c.FirstToken.P50, c.FirstToken.P95, c.NotWhole.P95, c.GoodputPerSecond} {
		row = append(row, strconv.FormatFloat(value, 'f', 1, 64))
	}
	return row
}
