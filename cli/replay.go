package cli

// ReplayCmd prints the declarations of a past version.
type ReplayCmd struct {
	operatorFlags
	Number uint64 `arg:"" help:"Number of the version."`
}

// Run implements the command.
func (c *ReplayCmd) Run(s *streams) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	body, err := client.Snapshot(commandContext(), c.Number)
	if err != nil {
		return err
	}
	_, err = s.Out.Write(body)
	return err
}
