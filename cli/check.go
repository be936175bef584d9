package cli

import (
	"fmt"

	"github.com/rattanway/rattanway/version/declare"
)

// CheckCmd validates a folder of declarations offline.
type CheckCmd struct {
	Folder string `arg:"" help:"Folder of YAML declarations." type:"existingdir"`
}

// Run implements the command.
func (c *CheckCmd) Run(s *streams) error {
	files, err := declare.ReadFolder(c.Folder)
	if err != nil {
		return err
	}
	parsed, problems := declare.Check(files)
	if len(problems) > 0 {
		return &declare.InvalidError{Problems: problems}
	}
	_, digest, err := declare.Encode(parsed.Set)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(s.Out, "%d objects are valid, digest %s\n", parsed.Set.Len(), digest.Short())
	return err
}
