package fleet

import (
	"github.com/sirupsen/logrus"

	"github.com/rattanway/rattanway/process/eventlog"
)

var (
	eventAgent = eventlog.Define(140, "fleet-agent", logrus.InfoLevel,
		"An agent beside a backend server connected to this entry instance.")
	eventAgentGone = eventlog.Define(141, "fleet-agent-gone", logrus.InfoLevel,
		"The connection of an agent ended; from now on the loaded versions of its backend server are taken from the list of servers.")
	eventAgentState = eventlog.Define(142, "fleet-agent-state", logrus.InfoLevel,
		"An agent reported that the loaded versions of its backend server changed, or that loading began or ended.")
	eventEntry = eventlog.Define(143, "fleet-entry", logrus.InfoLevel,
		"This agent connected to an entry instance.")
	eventEntryGone = eventlog.Define(144, "fleet-entry-gone", logrus.InfoLevel,
		"The connection to an entry instance failed or ended; the agent dials the entry instance again.")
	eventIsolated = eventlog.Define(145, "fleet-isolated", logrus.WarnLevel,
		"This agent has had no connection to an entry instance for some seconds, so it learns of no new versions; entries lists the addresses that it dials. With isolated false it is connected again.")
)
