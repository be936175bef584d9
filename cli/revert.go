package cli

import "github.com/rattanway/rattanway/request/ops"

// RevertCmd puts the content of an old version in force as a new version.
type RevertCmd struct {
	operatorFlags
	changeMetadataFlags
	Number uint64  `arg:"" help:"Number of the old version."`
	Base   *uint64 `help:"Version on which the change is based; default is the newest."`
}

// Run implements the command.
func (c *RevertCmd) Run(s *streams) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	metadata := c.changeMetadata()
	response, err := client.Revert(commandContext(), ops.RevertRequest{ChangeMetadata: metadata, Base: c.Base, Number: c.Number})
	if err != nil {
		return changeError(retryFlags(metadata, c.Base), err)
	}
	return printChange(s, metadata, response)
}
