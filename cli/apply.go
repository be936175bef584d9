package cli

import (
	"github.com/rattanway/rattanway/request/ops"
	"github.com/rattanway/rattanway/version/declare"
)

// ApplyCmd puts a folder of declarations in force.
type ApplyCmd struct {
	operatorFlags
	changeMetadataFlags
	Folder string  `arg:"" help:"Folder of YAML declarations." type:"existingdir"`
	Base   *uint64 `help:"Version on which the change is based, as plan prints it; default is the newest."`
}

// Run implements the command.
func (c *ApplyCmd) Run(s *streams) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	files, err := declare.ReadFolder(c.Folder)
	if err != nil {
		return err
	}
	base, err := c.baseVersion(client)
	if err != nil {
		return err
	}
	metadata := c.changeMetadata()
	response, err := client.Apply(commandContext(), ops.ApplyRequest{ChangeMetadata: metadata, Base: &base, Files: files})
	if err != nil {
		return changeError(retryFlags(metadata, &base), err)
	}
	return printChange(s, metadata, response)
}

// baseVersion returns the value of --base or, if the flag is absent, the number of
// the newest version; 0 if there is no version yet.
func (c *ApplyCmd) baseVersion(client *ops.Client) (uint64, error) {
	if c.Base != nil {
		return *c.Base, nil
	}
	history, err := client.History(commandContext(), 1)
	if err != nil || len(history.Entries) == 0 {
		return 0, err
	}
	return history.Entries[0].Number, nil
}
