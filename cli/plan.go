package cli

import (
	"fmt"

	"github.com/rattanway/rattanway/request/ops"
	"github.com/rattanway/rattanway/version/declare"
)

// PlanCmd shows what a folder of declarations would change.
type PlanCmd struct {
	operatorFlags
	Folder string `arg:"" help:"Folder of YAML declarations." type:"existingdir"`
}

// Run implements the command.
func (c *PlanCmd) Run(s *streams) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	files, err := declare.ReadFolder(c.Folder)
	if err != nil {
		return err
	}
	plan, err := client.Plan(commandContext(), ops.PlanRequest{Files: files})
	if err != nil {
		return err
	}
	return printPlan(s, plan)
}

// printPlan prints the changes, their effects and the base version.
func printPlan(s *streams, plan ops.PlanResponse) error {
	fmt.Fprintf(s.Out, "compared with version %d: %d changes\n", plan.Base, len(plan.Changes))
	for _, c := range plan.Changes {
		fmt.Fprintf(s.Out, "  %s\n", c)
	}
	if len(plan.Effects) > 0 {
		fmt.Fprintln(s.Out, "effects:")
	}
	for _, e := range plan.Effects {
		fmt.Fprintf(s.Out, "  %s\n", e)
	}
	_, err := fmt.Fprintf(s.Out, "apply with --base %d\n", plan.Base)
	return err
}
