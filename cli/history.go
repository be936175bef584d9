package cli

import (
	"strconv"
	"time"

	"github.com/olekukonko/tablewriter"

	"github.com/rattanway/rattanway/process/settings"
)

// maxHistory is the largest number of versions that history shows.
const maxHistory = 1000

// HistoryCmd lists the configuration versions with author, time and reason.
type HistoryCmd struct {
	operatorFlags
	Limit settings.Int `help:"Number of versions to show, the newest first." default:"20"`
}

// Run implements the command.
func (c *HistoryCmd) Run(s *streams) error {
	if err := c.Limit.Check("--limit", 1, maxHistory); err != nil {
		return usageError{err}
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	history, err := client.History(commandContext(), c.Limit.Value())
	if err != nil {
		return err
	}
	table := tablewriter.NewWriter(s.Out)
	table.SetHeader([]string{"version", "time", "author", "reason", "changes", "change id", "digest"})
	table.SetAutoWrapText(false)
	for _, e := range history.Entries {
		table.Append([]string{
			strconv.FormatUint(e.Number, 10),
			e.Time.Format(time.RFC3339),
			e.Author,
			e.Reason,
			strconv.Itoa(e.ChangeCount),
			e.ChangeID,
			e.Digest.Short(),
		})
	}
	table.Render()
	return nil
}
