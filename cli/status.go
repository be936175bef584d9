package cli

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/olekukonko/tablewriter"

	"github.com/rattanway/rattanway/request/ops"
)

// StatusCmd shows the configuration in force and the state of the backend
// servers as known to one entry instance.
type StatusCmd struct {
	operatorFlags
}

// Run implements the command.
func (c *StatusCmd) Run(s *streams) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	status, err := client.Status(commandContext())
	if err != nil {
		return err
	}
	fmt.Fprintf(s.Out, "%s: version %d (%s) in force, %s\n",
		status.Instance.ID, status.Config, status.Digest.Short(), confirmationText(status.ConfirmedMillis))
	printServers(s, status.Servers)
	return nil
}

// confirmationText formats millis, the time in milliseconds since the configuration
// was last confirmed. A negative time means that it was never confirmed.
func confirmationText(millis int64) string {
	if millis < 0 {
		return "not confirmed yet"
	}
	return fmt.Sprintf("confirmed %d ms ago", millis)
}

// printServers prints a table of the backend servers.
func printServers(s *streams, servers []ops.ServerStatus) {
	table := tablewriter.NewWriter(s.Out)
	table.SetHeader([]string{"backend server", "data centre", "state", "in flight", "limit", "version", "loaded"})
	table.SetAutoWrapText(false)
	for _, server := range servers {
		state := string(server.State)
		if server.Suspect {
			state += " (suspect)"
		}
		table.Append([]string{
			server.Name,
			server.DataCentre,
			state,
			strconv.Itoa(server.InFlight),
			strconv.Itoa(server.Limit),
			strconv.FormatUint(server.Config, 10),
			strings.Join(server.Loaded, ", "),
		})
	}
	table.Render()
}
